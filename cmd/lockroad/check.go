package main

import (
	"fmt"

	"lockroad/internal/config"
)

// checkCommand validates configuration files.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"A platform's configuration, which is JSON, or an operator's file, TOML."`
}

// Help has examples.
func (*checkCommand) Help() string {
	return `Each line of what it prints is FILE:LINE: KEY: what is wrong.

Examples:
  lockroad check deploy/operator.toml
  lockroad check relay.json operator.toml && systemctl restart lockroad

It ends with 0 if all is well, with 1 if something is wrong or can't be read.`
}

// Run prints all that is wrong with the files. Its exit code is exitFailed if anything is.
func (c *checkCommand) Run(std streams) error {
	code := exitOK
	for _, file := range c.Files {
		what, err := config.Check(file)
		if err != nil {
			fmt.Fprintln(std.err, err)
			code = exitFailed
			continue
		}
		fmt.Fprintf(std.out, "%s: a sound %s\n", file, what)
	}
	if code != exitOK {
		return exitError(code)
	}
	return nil
}
