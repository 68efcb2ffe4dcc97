package main

import (
	"fmt"
	"testing"

	"github.com/alecthomas/kong"

	"lockroad/internal/golden"
)

// All commands, arguments and flags, as scripts give them.
func TestCommandLineIsStable(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("lockroad"), kong.Vars{"version": "v"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "command-line.txt", golden.CommandLine(parser))
}

// The exit codes that supervisors and scripts go by.
func TestExitCodesAreStable(t *testing.T) {
	golden.Compare(t, "exit-codes.txt", fmt.Sprintf("ok %d\nfailed %d\nusage %d\nrestart %d\n", exitOK, exitFailed, exitUsage, exitRestart))
}
