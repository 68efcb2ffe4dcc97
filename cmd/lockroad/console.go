package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/x/term"

	"lockroad/internal/console"
	"lockroad/internal/tui"
)

// consoleTarget is the relay that a command talks to.
type consoleTarget struct {
	Socket string `env:"LOCKROAD_SOCKET" placeholder:"PATH" help:"The relay's console socket ($$LOCKROAD_SOCKET)."`
}

// Validate requires a socket.
func (t consoleTarget) Validate() error {
	if t.Socket == "" {
		return errors.New("--socket is missing, and LOCKROAD_SOCKET names none")
	}
	return nil
}

func (t consoleTarget) run(command string, std streams) error {
	if code := console.Run(t.Socket, command, std.in, std.out, std.err); code != exitOK {
		return exitError(code)
	}
	return nil
}

// consoleCommand runs commands of a relay's console.
type consoleCommand struct {
	consoleTarget
	Full    bool          `help:"Fill the terminal. Without one, as in a pipe, the commands are read as ever."`
	JSON    bool          `name:"json" help:"Have the command's answer as JSON, an object a line, times in seconds."`
	Watch   time.Duration `placeholder:"TIME" help:"Run the command again and again, every so often, such as 2s."`
	Command []string      `arg:"" optional:"" passthrough:"partial" help:"One command; without, they are read from standard input, one a line."`
}

// Help has examples.
func (*consoleCommand) Help() string {
	return `Examples:
  lockroad console --socket /run/lockroad/console.sock status
  lockroad console --socket /run/lockroad/console.sock    then help, for the commands
  lockroad console --socket /run/lockroad/console.sock --full
  lockroad console --socket /run/lockroad/console.sock --watch 2s servers
  lockroad console --socket /run/lockroad/console.sock --json --watch 10s status >> status.jsonl

It ends with 0 if done, with 1 if the relay turned the command down, with 2 if it was
called wrongly, and with 3 if no relay answers.`
}

// minWatchInterval keeps a console that watches from costing the relay much.
const minWatchInterval = 100 * time.Millisecond

// Validate requires a command for the flags that are about one.
func (c *consoleCommand) Validate() error {
	switch {
	case len(c.Command) == 0 && (c.JSON || c.Watch != 0):
		return errors.New("--json and --watch want a command")
	case c.Watch != 0 && c.Watch < minWatchInterval:
		return fmt.Errorf("--watch %v is under %v", c.Watch, minWatchInterval)
	}
	return c.consoleTarget.Validate()
}

// Run runs one command, or those that are read from standard input.
func (c *consoleCommand) Run(std streams) error {
	if c.JSON {
		c.Command = append(c.Command, "--json")
	}
	if c.Watch > 0 {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		plain := !isTerminal(std.out) || os.Getenv("TERM") == "dumb"
		if code := console.Watch(ctx, c.Socket, strings.Join(c.Command, " "), c.Watch, !plain, std.out, std.err); code != exitOK {
			return exitError(code)
		}
		return nil
	}
	if c.Full && len(c.Command) == 0 && isTerminal(std.in) && isTerminal(std.out) && os.Getenv("TERM") != "dumb" {
		return c.runFullScreen(std)
	}
	return c.run(strings.Join(c.Command, " "), std)
}

func isTerminal(stream any) bool {
	f, ok := stream.(*os.File)
	return ok && term.IsTerminal(f.Fd())
}

// runFullScreen shows the relay on the whole terminal.
func (c *consoleCommand) runFullScreen(std streams) error {
	ask := func(command string) (string, error) {
		var out, errs strings.Builder
		if code := console.Run(c.Socket, command, strings.NewReader(""), &out, &errs); code != exitOK {
			return "", errors.New(errs.String())
		}
		return out.String(), nil
	}
	name := c.Socket
	if text, err := ask("status"); err == nil {
		if words := strings.Fields(text); len(words) > 1 {
			name = words[1]
		}
	} else {
		fmt.Fprint(std.err, err)
		return exitError(exitUnreachable)
	}
	_, err := tea.NewProgram(tui.New(name, ask), tea.WithInput(std.in), tea.WithOutput(std.out), tea.WithAltScreen()).Run()
	return err
}
