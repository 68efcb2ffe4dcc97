// Command faultproxy passes connections on and injects faults, as a script or a person says,
// to rehearse outages. `faultproxy --help` lists its commands.
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

// exitCode is the panic by which kong ends the program after its help.
type exitCode int

func main() { os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, errs: os.Stderr})) }

// run runs a command line and returns the exit code.
func run(args []string, s streams) (code int) {
	defer func() {
		if exit, is := recover().(exitCode); is {
			code = int(exit)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("faultproxy"),
		kong.Description("Sits between sockets and delays, cuts, half-closes and garbles what passes."),
		kong.Writers(s.out, s.errs), kong.Exit(func(code int) { panic(exitCode(code)) }), kong.Bind(s))
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

// Help returns examples.
func (*runCommand) Help() string {
	return `What it did is told on standard output, a JSON object a line, with times in microseconds.

Examples:
  faultproxy --route hall=127.0.0.1:4000,127.0.0.1:3000 --script evening.lisp
  faultproxy --route a=127.0.0.1:4001,127.0.0.1:3001 --route b=127.0.0.1:4002,127.0.0.1:3002 --socket /tmp/fault.sock
  faultproxy tell /tmp/fault.sock '(add (rule hang (route a) (for 8s) (stall)))'`
}

// Run runs until it is interrupted, its input ends, or its time is up.
func (c *runCommand) Run(s streams) error {
	rules, err := c.readScript()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	var commands net.Listener
	if c.Socket != "" { // before a route is reported: who has read of one may send commands
		if commands, err = net.Listen("unix", c.Socket); err != nil {
			return err
		}
		defer commands.Close()
	}
	proxy := faultproxy.NewProxy(rules, c.Seed)
	defer proxy.Close()
	output := &messageWriter{w: s.out, queue: make(chan faultproxy.Message, messageQueue)}
	defer output.close()
	proxy.OnInjection = func(injection faultproxy.Injection) { output.enqueue(injection.Message()) }
	if err := c.openRoutes(proxy, output); err != nil {
		return err
	}
	proxy.ResetClock()
	if commands != nil {
		go func() { _ = proxy.Serve(ctx, commands) }() // ends with ctx
	}
	return c.wait(ctx, proxy, s.in, output)
}

// readScript reads the rules that hold from the start.
func (c *runCommand) readScript() ([]*faultproxy.Rule, error) {
	if c.Script == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Script)
	if err != nil {
		return nil, err
	}
	rules, err := faultproxy.ParseRules(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Script, err)
	}
	return rules, nil
}

// openRoutes opens the routes, and reports each.
func (c *runCommand) openRoutes(proxy *faultproxy.Proxy, output *messageWriter) error {
	for _, route := range c.Route {
		name, rest, ok := strings.Cut(route, "=")
		listen, target, both := strings.Cut(rest, ",")
		if !ok || !both || name == "" {
			return fmt.Errorf("route %q is no NAME=LISTEN,TARGET", route)
		}
		address, err := proxy.OpenRoute(faultproxy.Route{Name: name, Listen: listen, Target: target})
		if err != nil {
			return err
		}
		output.enqueue(faultproxy.Message{Route: name, Listen: address, Target: target, Done: "open"})
	}
	return nil
}

// wait performs the commands of the input, if it is to, and returns when they or ctx end.
func (c *runCommand) wait(ctx context.Context, proxy *faultproxy.Proxy, input io.Reader, output io.Writer) error {
	if !c.Commands {
		<-ctx.Done()
		return nil
	}
	ended := make(chan error, 1)
	go func() { ended <- proxy.ServeCommands(input, output) }() // ends with the input, or the process
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return nil
	}
}

const messageQueue = 1024

// messageWriter writes messages in a goroutine of its own, so that a slow reader holds no
// connection up. Messages that find no room in the queue are counted.
type messageWriter struct {
	queue   chan faultproxy.Message
	once    sync.Once // starts the goroutine, which close waits for
	running sync.WaitGroup

	mu   sync.Mutex // guards the fields below, and keeps messages from mixing with answers
	w    io.Writer
	lost int
}

func (m *messageWriter) enqueue(message faultproxy.Message) {
	m.once.Do(func() { m.running.Go(m.run) })
	select {
	case m.queue <- message:
	default:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lost++
	}
}

func (m *messageWriter) run() {
	encoder := json.NewEncoder(m)
	for message := range m.queue {
		_ = encoder.Encode(message) // its reader may have gone
	}
}

// Write writes one line; answers to commands are written by it, too.
func (m *messageWriter) Write(line []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.w.Write(line)
}

func (m *messageWriter) close() {
	close(m.queue)
	m.running.Wait()
	if m.lost > 0 {
		_ = json.NewEncoder(m.w).Encode(faultproxy.Message{Error: fmt.Sprintf("%d lines found no room", m.lost)})
	}
}

// tellCommand sends a command to a faultproxy that runs.
type tellCommand struct {
	Socket  string   `arg:"" help:"Where it takes commands."`
	Command []string `arg:"" help:"Such as '(trigger hang)'; faultproxy forms lists them."`
}

// Run sends the command and prints the answer.
func (c *tellCommand) Run(s streams) error {
	answer, err := faultproxy.SendCommand(c.Socket, strings.Join(c.Command, " "))
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(s.out)
	for _, message := range answer {
		if err := encoder.Encode(message); err != nil {
			return err
		}
	}
	return nil
}

var errUnreadableScripts = errors.New("not all scripts can be read")

// checkCommand reads scripts.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Scripts of rules."`
}

// Run reports what is wrong with each.
func (c *checkCommand) Run(s streams) error {
	unreadable := 0
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		var rules []*faultproxy.Rule
		if err == nil {
			rules, err = faultproxy.ParseRules(string(text))
		}
		if err != nil {
			unreadable++
			fmt.Fprintf(s.errs, "%s: %v\n", file, err)
			continue
		}
		fmt.Fprintf(s.out, "%s: %d rules\n", file, len(rules))
	}
	if unreadable > 0 {
		return errUnreadableScripts
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
