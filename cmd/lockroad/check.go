package main

import (
	"fmt"

	"lockroad/internal/config"
)

// checkCommand implements "lockroad check": it validates configuration files.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"A platform configuration (JSON), an operator file or a site file (TOML)."`
}

// Help returns the examples and exit codes shown by --help.
func (*checkCommand) Help() string {
	return `Errors are printed one per line, as FILE:LINE: KEY: DESCRIPTION.

Examples:
  lockroad check deploy/operator.toml
  lockroad check relay.json operator.toml && systemctl restart lockroad

Exit codes:
  0    all files are valid
  1    a file is invalid or cannot be read
  2    the command line is malformed`
}

// Run prints all errors in the files. It returns exitFailed as an error if there are any.
func (c *checkCommand) Run(std streams) error {
	code := exitOK
	for _, file := range c.Files {
		kind, err := config.Check(file)
		if err != nil {
			fmt.Fprintln(std.err, err)
			code = exitFailed
			continue
		}
		fmt.Fprintf(std.out, "%s: OK (%s)\n", file, kind)
	}
	if code != exitOK {
		return exitError(code)
	}
	return nil
}
