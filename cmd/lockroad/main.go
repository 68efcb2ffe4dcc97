// Command lockroad is the relay: it places clients' connections on endpoints and forwards their traffic. Its other commands
// validate files, talk to a relay that runs, ask it for explanations of its decisions, and show one at work among fakes.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"

	"lockroad/internal/console"
)

// Exit codes. Supervisors and scripts go by them.
const (
	exitOK          = console.ExitOK
	exitFailed      = 1                       // the relay can't start, or what was asked for can't be done or is not in order
	exitUsage       = console.ExitUsage       // the command line is malformed
	exitUnreachable = console.ExitUnreachable // no relay answers
	// exitRestart asks the supervisor to start the relay again. It is EX_TEMPFAIL, which no other failure has here.
	exitRestart = 75
)

// commands is the command line.
type commands struct {
	Version kong.VersionFlag `help:"Tell the version and exit."`

	Run        runCommand                `cmd:"" default:"withargs" help:"Run the relay; the same as no command."`
	Init       initCommand               `cmd:"" help:"Write the file of a small site, which needs no platform."`
	Check      checkCommand              `cmd:"" help:"Tell all that is wrong with configurations and operator's files."`
	Console    consoleCommand            `cmd:"" help:"Talk to a relay that runs."`
	Why        whyCommand                `cmd:"" help:"Ask a relay why a transaction went where it went."`
	Passwd     passwdCommand             `cmd:"" help:"Set or take out a user's password, for clients that speak AMQP."`
	Store      storeCommand              `cmd:"" help:"Look after what a relay keeps on disk."`
	Demo       demoCommand               `cmd:"" help:"Show a relay at work among stand-ins, on loopback."`
	Lab        labCommand                `cmd:"" help:"Run experiments on the model of the farm (the program simulate)."`
	Completion kongcompletion.Completion `cmd:"" help:"Print what sets up completion in a shell (bash, zsh or fish)."`
}

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// exitError ends a command with its exit code. What went wrong has been printed.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// reloadSignals gets SIGHUP, which says that the configuration has been replaced, from the first moment on: its default action
// would end a relay that has just been started.
var reloadSignals = make(chan os.Signal, 1)

func main() {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	os.Exit(execute(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// parserExit is the panic that brings the exit code out of the parser, which ends the program at --help.
type parserExit int

// execute runs a command line and returns the exit code.
func execute(args []string, s streams) (code int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case parserExit:
			code = int(e)
		default:
			panic(e)
		}
	}()
	var c commands
	parser, err := kong.New(&c, kong.Name("lockroad"),
		kong.Description("A relay for long-lived connections: it places each on an application server, carries it to its end, and moves clients before their server leaves."),
		kong.Writers(s.out, s.err), kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Vars{"version": version()}, kong.Bind(s))
	if err != nil {
		fmt.Fprintf(s.err, "lockroad: %v\n", err)
		return exitFailed
	}
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(acceptSingleDashSocket(args))
	if err != nil {
		fmt.Fprintf(s.err, "lockroad: %v\ntry lockroad --help\n", err)
		return exitUsage
	}
	if word, _, _ := strings.Cut(parsed.Command(), " "); word != "run" {
		signal.Reset(syscall.SIGHUP) // it ends with its terminal
	}
	if err := parsed.Run(); err != nil {
		var told exitError
		if errors.As(err, &told) {
			return int(told)
		}
		fmt.Fprintf(s.err, "lockroad: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// acceptSingleDashSocket turns -socket into --socket, as the first releases had it.
func acceptSingleDashSocket(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "-socket" || strings.HasPrefix(a, "-socket=") {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// version returns the version, as far as the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lockroad, of no known version"
	}
	v, at := info.Main.Version, ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			at = ", commit " + s.Value[:min(12, len(s.Value))]
		}
	}
	return fmt.Sprintf("lockroad %s%s, %s", v, at, info.GoVersion)
}
