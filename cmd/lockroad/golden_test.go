package main

import (
	"fmt"
	"testing"

	"github.com/alecthomas/kong"

	"lockroad/internal/golden"
)

// Scripts depend on the names of commands, arguments, flags and environment variables.
func TestCommandLineIsStable(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("lockroad"), kong.Vars{"version": "v"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "command-line.txt", golden.CommandLine(parser))
}

// Supervisors and scripts depend on the exit codes.
func TestExitCodesAreStable(t *testing.T) {
	golden.Compare(t, "exit-codes.txt", fmt.Sprintf("ok %d\nfailed %d\nusage %d\nrestart %d\n", exitOK, exitFailed, exitUsage, exitRestart))
}
