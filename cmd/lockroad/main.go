// Command lockroad is the relay: it places clients' connections on application
// servers and carries them. Its other commands check files, talk to a relay that runs,
// ask it why it decided as it did, and show one at work among stand-ins.
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

// Exit codes. Those of the console's commands are the console's.
const (
	exitOK     = console.ExitOK
	exitFailed = 1
	exitUsage  = console.ExitUsage
	// exitRestart asks the supervisor to start the relay again: it is EX_TEMPFAIL, which
	// nothing else here uses.
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

// streams are what a command reads and writes.
type streams struct {
	in        io.Reader
	out, errs io.Writer
}

// exit is an error that a command has told of already, with the exit code.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// hangups gets SIGHUP, which says that the configuration has been replaced, from the first moment on: its default would end
// a relay that has just been started.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(call(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// ended carries the exit code out of the parser, which ends the program on --help.
type ended int

// call runs a command line and returns the exit code.
func call(args []string, s streams) (code int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case ended:
			code = int(e)
		default:
			panic(e)
		}
	}()
	var c commands
	parser, err := kong.New(&c, kong.Name("lockroad"),
		kong.Description("A relay for long-lived connections: it places each on an application server, carries it to its end, and moves clients before their server leaves."),
		kong.Writers(s.out, s.errs), kong.Exit(func(code int) { panic(ended(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Vars{"version": version()}, kong.Bind(s))
	if err != nil {
		fmt.Fprintf(s.errs, "lockroad: %v\n", err)
		return exitFailed
	}
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(doubled(args))
	if err != nil {
		fmt.Fprintf(s.errs, "lockroad: %v\ntry lockroad --help\n", err)
		return exitUsage
	}
	if word, _, _ := strings.Cut(parsed.Command(), " "); word != "run" {
		signal.Reset(syscall.SIGHUP) // it ends with its terminal
	}
	if err := parsed.Run(); err != nil {
		var told exit
		if errors.As(err, &told) {
			return int(told)
		}
		fmt.Fprintf(s.errs, "lockroad: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// doubled lets -socket stand for --socket, as it was written in the first releases.
func doubled(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "-socket" || strings.HasPrefix(a, "-socket=") {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// version tells the version, as far as the build knows it.
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
