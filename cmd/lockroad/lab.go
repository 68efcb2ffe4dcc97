package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
)

// labCommand runs the program simulate, which lies beside this one: its plots need fonts that a relay should not carry.
type labCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"run, report, compare, plot or list; simulate --help tells more."`
}

// Run runs simulate, whose exit code is the command's.
func (c *labCommand) Run(std streams) error {
	name := "simulate"
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(beside); err == nil {
			name = beside
		}
	}
	cmd := exec.Command(name, c.Args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = std.in, std.out, std.err
	err := cmd.Run()
	var code *exec.ExitError
	if errors.As(err, &code) {
		return exitError(code.ExitCode())
	}
	return err
}
