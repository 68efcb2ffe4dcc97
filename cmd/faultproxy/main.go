// Command faultproxy is a TCP proxy that injects faults into connections, by a script or on
// command, to test how programs handle outages. `faultproxy --help` lists its commands.
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
	Run   runCommand   `cmd:"" default:"withargs" help:"Run the proxy and inject the faults of a script."`
	Tell  tellCommand  `cmd:"" help:"Send a command to a running faultproxy."`
	Check checkCommand `cmd:"" help:"Check scripts for errors."`
	Forms formsCommand `cmd:"" help:"List the syntax of rules and commands."`
}

// streams are the standard streams of a command.
type streams struct {
	in        io.Reader
	out, errs io.Writer
}

// exitCode is the value that kong's exit function panics with, after help and usage errors.
type exitCode int

func main() { os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, errs: os.Stderr})) }

// run runs a command line and returns the exit code.
func run(args []string, standard streams) (code int) {
	defer func() {
		if exit, is := recover().(exitCode); is {
			code = int(exit)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("faultproxy"),
		kong.Description("A TCP proxy that injects faults: it delays, cuts, half-closes and corrupts connections."),
		kong.Writers(standard.out, standard.errs), kong.Exit(func(code int) { panic(exitCode(code)) }), kong.Bind(standard))
	if err != nil {
		fmt.Fprintf(standard.errs, "faultproxy: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(standard.errs, "faultproxy: %v\ntry faultproxy --help\n", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(standard.errs, "faultproxy: %v\n", err)
		return exitFailed
	}
	return 0
}

// runCommand runs the proxy.
type runCommand struct {
	Route    []string      `required:"" sep:"none" placeholder:"NAME=LISTEN,TARGET" help:"Listen on one address and forward its connections to another; repeatable."`
	Script   string        `type:"existingfile" placeholder:"FILE" help:"Script of the initial rules."`
	Seed     uint64        `default:"1" help:"Seed of the random number generator."`
	Socket   string        `placeholder:"PATH" help:"Unix socket on which to accept commands."`
	Commands bool          `help:"Also read commands from standard input, and exit at its end."`
	For      time.Duration `help:"Exit after this duration."`
}

// Help returns examples.
func (*runCommand) Help() string {
	return `Opened routes and injected faults are reported on standard output, one JSON object
per line, with times in microseconds.

Examples:
  faultproxy --route app=127.0.0.1:4000,127.0.0.1:3000 --script faults.lisp
  faultproxy --route a=127.0.0.1:4001,127.0.0.1:3001 --route b=127.0.0.1:4002,127.0.0.1:3002 --socket /tmp/fault.sock
  faultproxy tell /tmp/fault.sock '(add (rule hang (route a) (for 8s) (stall)))'`
}

// Run runs the proxy until a signal, the end of the commands on standard input, or the end of its time.
func (c *runCommand) Run(standard streams) error {
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
	var commandListener net.Listener
	if c.Socket != "" { // opened before a route is reported, as readers of the report may send commands at once
		if commandListener, err = net.Listen("unix", c.Socket); err != nil {
			return err
		}
		defer commandListener.Close()
	}
	proxy := faultproxy.NewProxy(rules, c.Seed)
	defer proxy.Close()
	output := &messageWriter{w: standard.out, queue: make(chan faultproxy.Message, messageQueue)}
	defer output.close()
	proxy.OnInjection = func(injection faultproxy.Injection) { output.enqueue(injection.Message()) }
	if err := c.openRoutes(proxy, output); err != nil {
		return err
	}
	proxy.ResetClock()
	if commandListener != nil {
		go func() { _ = proxy.ServeCommandListener(ctx, commandListener) }() // ends with ctx
	}
	return c.wait(ctx, proxy, standard.in, output)
}

// readScript parses the script file, if one is given.
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

// openRoutes opens the routes and reports each.
func (c *runCommand) openRoutes(proxy *faultproxy.Proxy, output *messageWriter) error {
	for _, route := range c.Route {
		name, rest, ok := strings.Cut(route, "=")
		listen, target, both := strings.Cut(rest, ",")
		if !ok || !both || name == "" {
			return fmt.Errorf("invalid route %q; expected NAME=LISTEN,TARGET", route)
		}
		address, err := proxy.OpenRoute(faultproxy.Route{Name: name, Listen: listen, Target: target})
		if err != nil {
			return err
		}
		output.enqueue(faultproxy.Message{Route: name, Listen: address, Target: target, Done: "open"})
	}
	return nil
}

// wait executes the commands on standard input, if enabled, and returns at their end or when
// ctx ends.
func (c *runCommand) wait(ctx context.Context, proxy *faultproxy.Proxy, input io.Reader, output io.Writer) error {
	if !c.Commands {
		<-ctx.Done()
		return nil
	}
	ended := make(chan error, 1)
	go func() { ended <- proxy.ServeCommands(input, output) }() // ends with the input or the process
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return nil
	}
}

const messageQueue = 1024 // capacity of the queue of messages

// messageWriter writes messages in a goroutine of its own, so that a slow reader of the output
// does not delay connections. Messages that don't fit into the queue are dropped and counted.
type messageWriter struct {
	queue   chan faultproxy.Message
	once    sync.Once // starts the goroutine, which close waits for
	running sync.WaitGroup

	mu   sync.Mutex // guards the fields below, and keeps lines whole
	w    io.Writer
	lost int // messages dropped
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
		_ = encoder.Encode(message) // the reader of the output may have closed it
	}
}

// Write writes one line. Answers to commands go through it as well.
func (m *messageWriter) Write(line []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.w.Write(line)
}

func (m *messageWriter) close() {
	close(m.queue)
	m.running.Wait()
	if m.lost > 0 {
		_ = json.NewEncoder(m.w).Encode(faultproxy.Message{Error: fmt.Sprintf("%d messages dropped: the output is read too slowly", m.lost)})
	}
}

// tellCommand sends a command to a running faultproxy.
type tellCommand struct {
	Socket  string   `arg:"" help:"Unix socket of the running faultproxy."`
	Command []string `arg:"" help:"Command, such as '(trigger hang)'; see faultproxy forms."`
}

// Run sends the command and prints the answer.
func (c *tellCommand) Run(standard streams) error {
	answer, err := faultproxy.SendCommand(c.Socket, strings.Join(c.Command, " "))
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(standard.out)
	for _, message := range answer {
		if err := encoder.Encode(message); err != nil {
			return err
		}
	}
	return nil
}

var errInvalidScripts = errors.New("some scripts cannot be read or are invalid")

// checkCommand checks the syntax of scripts.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Script files to check."`
}

// Run prints the number of rules or the error of each script.
func (c *checkCommand) Run(standard streams) error {
	invalid := 0
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		var rules []*faultproxy.Rule
		if err == nil {
			rules, err = faultproxy.ParseRules(string(text))
		}
		if err != nil {
			invalid++
			fmt.Fprintf(standard.errs, "%s: %v\n", file, err)
			continue
		}
		fmt.Fprintf(standard.out, "%s: %d rules\n", file, len(rules))
	}
	if invalid > 0 {
		return errInvalidScripts
	}
	return nil
}

// formsCommand lists the syntax of rules and commands.
type formsCommand struct{}

// Run prints the help texts of rules and commands.
func (*formsCommand) Run(s streams) error {
	fmt.Fprintf(s.out, "Rules of a script:\n\n%s\nCommands:\n\n%s", faultproxy.RulesHelp(), faultproxy.CommandsHelp)
	return nil
}
