package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/charmbracelet/x/term"

	"lockroad/internal/auth"
)

// passwdCommand implements "lockroad passwd": it sets or removes a password in a password file.
type passwdCommand struct {
	File   string `arg:"" help:"The password file, users in the [amqp.sasl] section of the operator file. It is created if it does not exist."`
	User   string `arg:"" help:"Name of the user."`
	Remove bool   `help:"Remove the user."`
}

// Help returns the description and the examples shown by --help.
func (*passwdCommand) Help() string {
	return `The command prompts for the password, or reads it from standard input if that is not a
terminal. The file contains argon2id hashes of passwords. A running relay reloads it at
SIGHUP.

Examples:
  lockroad passwd /etc/lockroad/users ann
  lockroad passwd --remove /etc/lockroad/users ann

Exit codes:
  0    the file was updated
  1    the file, the user name or the password is invalid, or the file cannot be written
  2    the command line is malformed`
}

// Run sets or removes the user's password.
func (c *passwdCommand) Run(std streams) error {
	password := ""
	if !c.Remove {
		var err error
		if password, err = readPassword(std); err != nil {
			return err
		}
	}
	if err := auth.SetPassword(c.File, c.User, password, c.Remove); err != nil {
		return err
	}
	fmt.Fprintf(std.out, "%s updated; a running relay reloads it at SIGHUP\n", c.File)
	return nil
}

// readPassword reads a password: at a terminal it prompts twice, without echo; otherwise it reads a line of standard
// input.
func readPassword(std streams) (string, error) {
	if f, ok := std.in.(*os.File); ok && isTerminal(f) {
		var typed [2]string
		for i, prompt := range []string{"Password: ", "Repeat password: "} {
			fmt.Fprint(std.err, prompt)
			text, err := term.ReadPassword(f.Fd())
			fmt.Fprintln(std.err)
			if err != nil {
				return "", err
			}
			typed[i] = string(text)
		}
		if typed[0] != typed[1] {
			return "", errors.New("the passwords do not match")
		}
		return typed[0], nil
	}
	line, err := bufio.NewReader(std.in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}
