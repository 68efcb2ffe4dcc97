package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"lockroad/internal/golden"
)

// All commands, arguments and flags, as scripts give them.
func TestCommandLineIsStable(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("faultproxy"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "command-line.txt", golden.CommandLine(parser))
}
