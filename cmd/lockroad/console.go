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

// consoleTarget is the relay that a console command connects to.
type consoleTarget struct {
	Socket string `env:"LOCKROAD_SOCKET" placeholder:"PATH" help:"Console socket of the relay."`
}

// Validate requires the path of the console socket.
func (t consoleTarget) Validate() error {
	if t.Socket == "" {
		return errors.New("no console socket: set --socket or LOCKROAD_SOCKET")
	}
	return nil
}

func (t consoleTarget) run(command string, std streams) error {
	if code := console.Run(t.Socket, command, std.in, std.out, std.err); code != exitOK {
		return exitError(code)
	}
	return nil
}

// consoleCommand implements "lockroad console": it runs commands on a relay's console.
type consoleCommand struct {
	consoleTarget
	Full    bool          `help:"Use the full-screen interface. It is ignored with a command, or if standard input or output is not a terminal."`
	JSON    bool          `name:"json" help:"Print the answer as JSON, one object per line, durations in seconds."`
	Watch   time.Duration `placeholder:"TIME" help:"Repeat the command at this interval, such as 2s."`
	Command []string      `arg:"" optional:"" passthrough:"partial" help:"The command to run. Without it, commands are read from standard input, one per line."`
}

// Help returns the examples and exit codes shown by --help.
func (*consoleCommand) Help() string {
	return `Examples:
  lockroad console --socket /run/lockroad/console.sock status
  lockroad console --socket /run/lockroad/console.sock help
  lockroad console --socket /run/lockroad/console.sock --full
  lockroad console --socket /run/lockroad/console.sock --watch 2s servers
  lockroad console --socket /run/lockroad/console.sock --json --watch 10s status >> status.jsonl

Exit codes:
  0    the command succeeded
  1    the relay rejected the command
  2    the command line is malformed
  3    no relay answers at the socket`
}

// minWatchInterval limits the load that --watch puts on the relay.
const minWatchInterval = 100 * time.Millisecond

// Validate requires a command for --json and --watch, and checks the interval.
func (c *consoleCommand) Validate() error {
	switch {
	case len(c.Command) == 0 && (c.JSON || c.Watch != 0):
		return errors.New("--json and --watch require a command")
	case c.Watch != 0 && c.Watch < minWatchInterval:
		return fmt.Errorf("--watch %v: the interval must be at least %v", c.Watch, minWatchInterval)
	}
	return c.consoleTarget.Validate()
}

// Run runs one command, or the commands read from standard input, or the full-screen interface.
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

// runFullScreen runs the full-screen interface until the user quits.
func (c *consoleCommand) runFullScreen(std streams) error {
	send := func(command string) (string, error) {
		var out, errs strings.Builder
		if code := console.Run(c.Socket, command, strings.NewReader(""), &out, &errs); code != exitOK {
			return "", errors.New(errs.String())
		}
		return out.String(), nil
	}
	name := c.Socket
	if text, err := send("status"); err == nil {
		if words := strings.Fields(text); len(words) > 1 {
			name = words[1]
		}
	} else {
		fmt.Fprint(std.err, err)
		return exitError(exitUnreachable)
	}
	_, err := tea.NewProgram(tui.New(name, send), tea.WithInput(std.in), tea.WithOutput(std.out), tea.WithAltScreen()).Run()
	return err
}
