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

// passwdCommand changes the file of users.
type passwdCommand struct {
	File   string `arg:"" help:"The file that amqp.sasl.users names; it is made if it is not there."`
	User   string `arg:"" help:"Who is to come in by the password."`
	Remove bool   `help:"Take the user out."`
}

// Help has examples.
func (*passwdCommand) Help() string {
	return `The password is asked for, or read from standard input where that is no terminal. What is
kept is its argon2id hash. A relay that runs takes the file at SIGHUP.

Examples:
  lockroad passwd /etc/lockroad/users ann
  lockroad passwd --remove /etc/lockroad/users ann`
}

// Run sets or removes the password.
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
	fmt.Fprintf(std.out, "%s is written; a relay that runs takes it at SIGHUP\n", c.File)
	return nil
}

// readPassword reads a password: twice and without an echo at a terminal, else a line of standard input.
func readPassword(std streams) (string, error) {
	if f, ok := std.in.(*os.File); ok && isTerminal(f) {
		var typed [2]string
		for i, prompt := range []string{"password: ", "again: "} {
			fmt.Fprint(std.err, prompt)
			text, err := term.ReadPassword(f.Fd())
			fmt.Fprintln(std.err)
			if err != nil {
				return "", err
			}
			typed[i] = string(text)
		}
		if typed[0] != typed[1] {
			return "", errors.New("the two differ")
		}
		return typed[0], nil
	}
	line, err := bufio.NewReader(std.in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}
