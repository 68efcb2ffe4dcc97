package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"lockroad/internal/golden"
)

// Guards against changes of commands, arguments and flags, which scripts use.
func TestCommandLineIsStable(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("simulate"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "command-line.txt", golden.CommandLine(parser))
}
