package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
)

// labCommand implements "lockroad lab": it runs the program simulate, which is separate so that the relay does not
// include the fonts that plots need.
type labCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"Arguments for simulate: run, report, compare, plot or list; see simulate --help."`
}

// Run runs simulate and returns its exit code. simulate is taken from the directory of this program, or else from PATH.
func (c *labCommand) Run(std streams) error {
	name := "simulate"
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(sibling); err == nil {
			name = sibling
		}
	}
	cmd := exec.Command(name, c.Args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = std.in, std.out, std.err
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exitError(exit.ExitCode())
	}
	return err
}
