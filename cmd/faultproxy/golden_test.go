package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"lockroad/internal/golden"
)

// Guards the commands, arguments and flags, which scripts rely on.
func TestCommandLineIsStable(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("faultproxy"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "command-line.txt", golden.CommandLine(parser))
}
