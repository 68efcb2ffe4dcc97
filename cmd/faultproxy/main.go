// Command faultproxy sits between sockets and spoils what passes, as a script or a
// person has it, to rehearse outages. `faultproxy --help` lists its commands.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lockroad/internal/faultproxy"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Run   runCommand   `cmd:"" default:"withargs" help:"Pass connections on, by a script."`
	Tell  tellCommand  `cmd:"" help:"Have one that runs carry out a command."`
	Check checkCommand `cmd:"" help:"Tell what is wrong with scripts."`
	Forms formsCommand `cmd:"" help:"List the forms of rules and commands."`
}

type streams struct {
	in        io.Reader
	out, errs io.Writer
}

type ended int

func main() { os.Exit(call(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr})) }

// call runs a command line and returns the exit code.
func call(args []string, s streams) (code int) {
	defer func() {
		if e, is := recover().(ended); is {
			code = int(e)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("faultproxy"),
		kong.Description("Sits between sockets and delays, cuts, half-closes and garbles what passes."),
		kong.Writers(s.out, s.errs), kong.Exit(func(code int) { panic(ended(code)) }), kong.Bind(s))
	if err != nil {
		fmt.Fprintf(s.errs, "faultproxy: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.errs, "faultproxy: %v\ntry faultproxy --help\n", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(s.errs, "faultproxy: %v\n", err)
		return exitFailed
	}
	return 0
}

// runCommand passes connections on.
type runCommand struct {
	Route    []string      `required:"" sep:"none" placeholder:"NAME=LISTEN,TARGET" help:"A door and where it leads; any number of them."`
	Script   string        `type:"existingfile" placeholder:"FILE" help:"Rules that hold from the start."`
	Seed     uint64        `default:"1" help:"For what happens by chance."`
	Socket   string        `placeholder:"PATH" help:"A Unix socket that takes commands."`
	Commands bool          `help:"Take commands from standard input as well, and end with it."`
	For      time.Duration `help:"End after this time."`
}

// Help has examples.
func (*runCommand) Help() string {
	return `What it did is told on standard output, a JSON object a line, with times in microseconds.

Examples:
  faultproxy --route hall=127.0.0.1:4000,127.0.0.1:3000 --script evening.lisp
  faultproxy --route a=127.0.0.1:4001,127.0.0.1:3001 --route b=127.0.0.1:4002,127.0.0.1:3002 --socket /tmp/fault.sock
  faultproxy tell /tmp/fault.sock '(add (rule hang (route a) (for 8s) (stall)))'`
}

// Run runs until it is interrupted, its input ends, or its time is up.
func (c *runCommand) Run(s streams) error {
	var rules []*faultproxy.Rule
	if c.Script != "" {
		text, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		if rules, err = faultproxy.ParseRules(string(text)); err != nil {
			return fmt.Errorf("%s: %w", c.Script, err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, c.For)
		defer done()
	}
	var commands net.Listener
	if c.Socket != "" { // before a route is told of: who has read one may command
		l, err := net.Listen("unix", c.Socket)
		if err != nil {
			return err
		}
		defer l.Close()
		commands = l
	}
	p := faultproxy.NewProxy(rules, c.Seed)
	defer p.Close()
	out := &lines{w: s.out, queue: make(chan faultproxy.Message, 1024)}
	defer out.close()
	p.OnInjection = func(d faultproxy.Injection) { out.tell(d.Message()) }
	for _, r := range c.Route {
		name, rest, ok := strings.Cut(r, "=")
		listen, target, both := strings.Cut(rest, ",")
		if !ok || !both || name == "" {
			return fmt.Errorf("route %q is no NAME=LISTEN,TARGET", r)
		}
		at, err := p.Open(faultproxy.Route{Name: name, Listen: listen, Target: target})
		if err != nil {
			return err
		}
		out.tell(faultproxy.Message{Route: name, Listen: at, Target: target, Done: "open"})
	}
	p.Restart()
	if commands != nil {
		go func() { _ = p.Serve(ctx, commands) }()
	}
	if c.Commands {
		ended := make(chan error, 1)
		go func() { ended <- p.ServeCommands(s.in, out) }()
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// lines writes what was done beside those who did it: who reads it slowly holds no
// connection up. What there is no room for is counted.
type lines struct {
	w     io.Writer
	queue chan faultproxy.Message
	once  sync.Once
	all   sync.WaitGroup
	mu    sync.Mutex
	lost  int
}

func (l *lines) tell(one faultproxy.Message) {
	l.once.Do(func() {
		l.all.Go(func() {
			e := json.NewEncoder(l)
			for one := range l.queue {
				_ = e.Encode(one) // its reader may have gone
			}
		})
	})
	select {
	case l.queue <- one:
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lost++
	}
}

// Write keeps lines whole that come from commands as well.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

func (l *lines) close() {
	close(l.queue)
	l.all.Wait()
	if l.lost > 0 {
		_ = json.NewEncoder(l.w).Encode(faultproxy.Message{Error: fmt.Sprintf("%d lines found no room", l.lost)})
	}
}

// tellCommand has one that runs carry out a command.
type tellCommand struct {
	Socket  string   `arg:"" help:"Where it takes commands."`
	Command []string `arg:"" help:"Such as '(trigger hang)'; faultproxy forms lists them."`
}

// Run asks and prints the answer.
func (c *tellCommand) Run(s streams) error {
	answer, err := faultproxy.SendCommand(c.Socket, strings.Join(c.Command, " "))
	if err != nil {
		return err
	}
	e := json.NewEncoder(s.out)
	for _, l := range answer {
		if err := e.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

// checkCommand reads scripts.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Scripts of rules."`
}

// Run tells what is wrong with each.
func (c *checkCommand) Run(s streams) error {
	bad := 0
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		var rules []*faultproxy.Rule
		if err == nil {
			rules, err = faultproxy.ParseRules(string(text))
		}
		if err != nil {
			bad++
			fmt.Fprintf(s.errs, "%s: %v\n", file, err)
			continue
		}
		fmt.Fprintf(s.out, "%s: %d rules\n", file, len(rules))
	}
	if bad > 0 {
		return errors.New("not all scripts can be read")
	}
	return nil
}

// formsCommand lists the forms.
type formsCommand struct{}

// Run lists them.
func (*formsCommand) Run(s streams) error {
	fmt.Fprintf(s.out, "A script holds rules:\n\n%s\nCommands:\n\n%s", faultproxy.Help(), faultproxy.Commands)
	return nil
}
