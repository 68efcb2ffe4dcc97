package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/x/term"

	"lockroad/internal/config"
	"lockroad/internal/console"
	"lockroad/internal/decisionlog"
	"lockroad/internal/demo"
	"lockroad/internal/explain"
	"lockroad/internal/logging"
	"lockroad/internal/server"
	"lockroad/internal/tui"
)

// logKept is how many lines of the log the console can tell.
const logKept = 500

// runCommand runs the relay.
type runCommand struct {
	Config   string `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON ($$PROXY_CONFIG)."`
	Site     string `placeholder:"FILE" help:"A small site's file, TOML, in place of both: no platform, no discovery."`
	Operator string `env:"LOCKROAD_OPERATOR" placeholder:"FILE" help:"The operator's file, TOML ($$LOCKROAD_OPERATOR)."`
	Admin    string `name:"admin-addr" env:"PROXY_ADMIN_ADDR" placeholder:"HOST:PORT" help:"Where readiness and figures are asked for, over the configuration's admin_addr ($$PROXY_ADMIN_ADDR)."`
	LogLevel string `placeholder:"LEVEL" help:"debug, info, warn or error; over the operator's file."`
	LogForm  string `placeholder:"FORM" help:"text, logfmt or json; over the operator's file."`
}

// Help has examples.
func (*runCommand) Help() string {
	return `Examples:
  lockroad                                       as the platform starts it
  lockroad run --config relay.json --operator operator.toml --log-form text
  lockroad run --site site.toml                  on a box of its own; lockroad init writes the file

It ends with 0 after SIGTERM, once everyone has been moved, with 1 when it can't
start, with 2 when it was called wrongly, and with 75 when it left to be started again
(restart at the console). SIGHUP has it read the configuration anew.`
}

// Validate checks the flags.
func (c *runCommand) Validate() error {
	return errors.Join(logging.CheckLevel(c.LogLevel), logging.CheckFormat(c.LogForm))
}

// Run runs the relay until it is told to leave.
func (c *runCommand) Run(s streams) error {
	var site *config.Site
	var o *config.Operator
	var bad error
	if c.Site != "" {
		if site, bad = config.ReadSite(c.Site); bad == nil {
			o = site.Operator
		}
	} else {
		o, bad = config.ReadOperator(c.Operator)
	}
	options := logging.Options{Level: c.LogLevel, Format: c.LogForm}
	if bad == nil {
		if options.Level == "" {
			options.Level = o.Log.Level
		}
		if options.Format == "" {
			options.Format = o.Log.Format
		}
	}
	if bad == nil && o.Console.Socket != "" {
		options.TailLines = logKept
	}
	log := logging.New(options, s.errs)
	defer log.Close()
	err := errors.Join(bad, c.run(site, o, log, bad != nil))
	if errors.Is(err, server.ErrRestart) {
		return exit(exitRestart)
	}
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			log.Error("relay failed", "error", strings.TrimSpace(line))
		}
		return exit(exitFailed)
	}
	return nil
}

func (c *runCommand) run(site *config.Site, o *config.Operator, log *logging.Logger, checkOnly bool) error {
	if c.Site != "" && checkOnly {
		return nil
	}
	if c.Config == "" && c.Site == "" {
		return errors.New("PROXY_CONFIG names no configuration, and neither does --config")
	}
	var platform *config.Config
	file := c.Config
	if site != nil {
		platform, file = site.Config, c.Site
	} else {
		var err error
		if platform, err = config.ReadConfig(c.Config); err != nil || checkOnly {
			return err
		}
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("PROXY_ADMIN_ADDR: %q is no host:port: %w", c.Admin, err)
		}
		platform.Admin = c.Admin
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM, os.Interrupt)
	leave := make(chan struct{})
	go func() {
		<-terms
		close(leave)
	}()
	words := server.RunOptions{
		Shutdown: leave, Reload: hangups, ConfigPath: file, Site: site, LogTail: log.Tail,
		Supervised: os.Getenv("INVOCATION_ID") != "" || os.Getenv("LOCKROAD_SUPERVISED") != "",
	}
	return server.Run(context.Background(), words, platform, o, log.Logger)
}

// checkCommand tells what is wrong with files.
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

// Run checks the files.
func (c *checkCommand) Run(s streams) error {
	code := exitOK
	for _, file := range c.Files {
		what, err := config.Check(file)
		if err != nil {
			fmt.Fprintln(s.errs, err)
			code = exitFailed
			continue
		}
		fmt.Fprintf(s.out, "%s: a sound %s\n", file, what)
	}
	if code != exitOK {
		return exit(code)
	}
	return nil
}

// target is a relay that runs.
type target struct {
	Socket string `env:"LOCKROAD_SOCKET" placeholder:"PATH" help:"The relay's console socket ($$LOCKROAD_SOCKET)."`
}

// Validate wants a socket.
func (t target) Validate() error {
	if t.Socket == "" {
		return errors.New("--socket is missing, and LOCKROAD_SOCKET names none")
	}
	return nil
}

func (t target) run(command string, s streams) error {
	if code := console.Run(t.Socket, command, s.in, s.out, s.errs); code != exitOK {
		return exit(code)
	}
	return nil
}

// consoleCommand talks to a relay.
type consoleCommand struct {
	target
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

// watchLeast keeps a console that looks on from costing the relay much.
const watchLeast = 100 * time.Millisecond

// Validate wants a command for what is of one.
func (c *consoleCommand) Validate() error {
	switch {
	case len(c.Command) == 0 && (c.JSON || c.Watch != 0):
		return errors.New("--json and --watch want a command")
	case c.Watch != 0 && c.Watch < watchLeast:
		return fmt.Errorf("--watch %v is under %v", c.Watch, watchLeast)
	}
	return c.target.Validate()
}

// Run runs one command, or those that come in.
func (c *consoleCommand) Run(s streams) error {
	if c.JSON {
		c.Command = append(c.Command, "--json")
	}
	if c.Watch > 0 {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		plain := !isTerminal(s.out) || os.Getenv("TERM") == "dumb"
		if code := console.Watch(ctx, c.Socket, strings.Join(c.Command, " "), c.Watch, !plain, s.out, s.errs); code != exitOK {
			return exit(code)
		}
		return nil
	}
	if c.Full && len(c.Command) == 0 && isTerminal(s.in) && isTerminal(s.out) && os.Getenv("TERM") != "dumb" {
		return c.fill(s)
	}
	return c.run(strings.Join(c.Command, " "), s)
}

func isTerminal(stream any) bool {
	f, ok := stream.(*os.File)
	return ok && term.IsTerminal(f.Fd())
}

// fill shows the relay on the whole terminal.
func (c *consoleCommand) fill(s streams) error {
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
		fmt.Fprint(s.errs, err)
		return exit(console.ExitUnreachable)
	}
	_, err := tea.NewProgram(tui.New(name, ask), tea.WithInput(s.in), tea.WithOutput(s.out), tea.WithAltScreen()).Run()
	return err
}

// whyCommand asks for reasons.
type whyCommand struct {
	target
	Of    string   `arg:"" optional:"" name:"name" help:"A transaction's number, its name as the client calls it, or the key of its flow."`
	Where string   `placeholder:"QUERY" help:"Choose by an S-expression."`
	By    []string `placeholder:"FIELD,..." help:"Count by these instead of telling of each."`
	Most  int      `placeholder:"N" help:"Tell of so many at the most, the youngest first."`
	JSON  bool     `name:"json" help:"Write JSON, an object a line."`
}

// Help has examples and the forms of a query.
func (*whyCommand) Help() string {
	return `Examples:
  lockroad why 9b1f03aa5c7e2d41
  lockroad why --where '(and (class "live") (answer "unavailable") (since 5m))'
  lockroad why --by server,reason --where '(since 10m)'

A query is one of:
` + explain.Help()
}

// Validate wants one way to choose.
func (c *whyCommand) Validate() error {
	if c.Of != "" && c.Where != "" {
		return errors.New("a name and --where exclude each other")
	}
	return c.target.Validate()
}

// Run asks.
func (c *whyCommand) Run(s streams) error {
	q := explain.Query{Subject: c.Of, Where: c.Where, By: c.By, Limit: c.Most, JSON: c.JSON}
	return c.run("why "+q.Line(), s)
}

// labCommand hands over to simulate, which stands beside this program: plots bring fonts
// that a relay should not carry.
type labCommand struct {
	Args []string `arg:"" optional:"" passthrough:"" help:"run, report, compare, plot or list; simulate --help tells more."`
}

// Run runs simulate.
func (c *labCommand) Run(s streams) error {
	name := "simulate"
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(beside); err == nil {
			name = beside
		}
	}
	cmd := exec.Command(name, c.Args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = s.in, s.out, s.errs
	err := cmd.Run()
	var code *exec.ExitError
	if errors.As(err, &code) {
		return exit(code.ExitCode())
	}
	return err
}

// demoCommand shows a relay at work.
type demoCommand struct {
	For     time.Duration `default:"20s" help:"Clients come for this long."`
	Rate    float64       `default:"8" help:"New clients a second."`
	Seed    uint64        `default:"1" help:"For the stand-ins' chance; the same seed brings the same clients."`
	Servers int           `default:"4" help:"Stand-ins of application servers; the usual script needs four."`
	AMQP    float64       `name:"amqp" default:"0.3" help:"Part of the clients that speak AMQP 1.0."`
	Asks    int           `default:"200" help:"Answers that are held against what the stand-ins saw."`
	Script  string        `type:"existingfile" placeholder:"FILE" help:"What happens, in place of the usual."`
	Log     bool          `help:"Show the relay's log as well."`
}

// Help has examples.
func (*demoCommand) Help() string {
	return `A relay, stand-ins of application servers, of discovery and of a collector, and clients
of four classes, all in this process and on loopback. One server hangs, one is full, one
drains and one restarts; then a summary, some answers to "why", and how many of them are
as the stand-ins saw it.

Examples:
  lockroad demo
  lockroad demo --for 1m --rate 50 --seed 7
  lockroad demo --script outage.lisp      such as (at 3s (hang s-1 5s)) (at 9s (drop 50))

It ends with 1 if an answer is not as the stand-ins saw it.`
}

// Run runs the demonstration until its end or an interrupt.
func (c *demoCommand) Run(s streams) error {
	o := demo.Options{
		Servers: c.Servers, Rate: c.Rate, For: c.For, Seed: c.Seed, AMQP: c.AMQP, Bytes: decisionlog.DefaultBytes, Asks: c.Asks, Out: s.out,
	}
	if c.Script != "" {
		text, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		o.Script = string(text)
	}
	to := io.Discard
	if c.Log {
		to = s.errs
	}
	log := logging.New(logging.Options{Format: "text"}, to)
	defer log.Close()
	o.Log = log.Logger
	if err := o.Check(); err != nil {
		fmt.Fprintf(s.errs, "lockroad: demo: %v\n", err)
		return exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if len(result.Bad) > 0 {
		return exit(exitFailed)
	}
	return nil
}
