// Command lockroad is the relay: it places clients' connections on endpoints and forwards their traffic. Its other
// commands validate configuration files, query and control a running relay, explain its routing decisions, maintain its
// store, and demonstrate a relay among fake endpoints and clients.
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

// Exit codes. Supervisors and scripts depend on them.
const (
	exitOK          = console.ExitOK
	exitFailed      = 1                       // the relay failed to start, or a command failed or found something invalid
	exitUsage       = console.ExitUsage       // the command line is malformed
	exitUnreachable = console.ExitUnreachable // no relay answers
	// exitRestart asks the supervisor to start the relay again. It is EX_TEMPFAIL, which no failure returns.
	exitRestart = 75
)

// commands defines the command line.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run        runCommand                `cmd:"" default:"withargs" help:"Run the relay. This is the default command."`
	Init       initCommand               `cmd:"" help:"Create a site file, the configuration of a relay without a platform."`
	Check      checkCommand              `cmd:"" help:"Validate configuration files and report all errors."`
	Console    consoleCommand            `cmd:"" help:"Run commands on the console of a running relay."`
	Why        whyCommand                `cmd:"" help:"Explain how a running relay routed a transaction."`
	Passwd     passwdCommand             `cmd:"" help:"Set or remove the password of an AMQP user."`
	Store      storeCommand              `cmd:"" help:"Inspect and maintain the on-disk store of a relay."`
	Demo       demoCommand               `cmd:"" help:"Run a relay among fake servers and clients on loopback."`
	Lab        labCommand                `cmd:"" help:"Run simulation experiments with the program simulate."`
	Completion kongcompletion.Completion `cmd:"" help:"Print the script that sets up shell completion (bash, zsh or fish)."`
}

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// exitError ends a command with an exit code, without a message: the command has already printed the cause.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// reloadSignals receives SIGHUP, which requests a configuration reload. It is registered at the start of main, as the
// default action of SIGHUP would end a relay that is still starting.
var reloadSignals = make(chan os.Signal, 1)

func main() {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	os.Exit(execute(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// parserExit is the panic value that carries an exit code out of the parser, which would exit the program at --help.
type parserExit int

// execute runs a command line and returns its exit code.
func execute(args []string, std streams) (code int) {
	defer func() {
		switch value := recover().(type) {
		case nil:
		case parserExit:
			code = int(value)
		default:
			panic(value)
		}
	}()
	var commandLine commands
	parser, err := kong.New(&commandLine, kong.Name("lockroad"),
		kong.Description("A relay for long-lived connections. It routes each to an application server, forwards its traffic, and migrates clients before their server shuts down."),
		kong.Writers(std.out, std.err), kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Vars{"version": version()}, kong.Bind(std))
	if err != nil {
		fmt.Fprintf(std.err, "lockroad: %v\n", err)
		return exitFailed
	}
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(acceptSingleDashSocket(args))
	if err != nil {
		fmt.Fprintf(std.err, "lockroad: %v\nRun \"lockroad --help\" for usage.\n", err)
		return exitUsage
	}
	if command, _, _ := strings.Cut(parsed.Command(), " "); command != "run" {
		signal.Reset(syscall.SIGHUP) // other commands end when their terminal closes
	}
	if err := parsed.Run(); err != nil {
		var exit exitError
		if errors.As(err, &exit) {
			return int(exit)
		}
		fmt.Fprintf(std.err, "lockroad: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// acceptSingleDashSocket rewrites -socket, the spelling of early releases, to --socket.
func acceptSingleDashSocket(args []string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		if arg == "-socket" || strings.HasPrefix(arg, "-socket=") {
			arg = "-" + arg
		}
		out[i] = arg
	}
	return out
}

// version returns the module version, the commit and the Go version, as far as the build information has them.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lockroad (unknown version)"
	}
	release, commit := info.Main.Version, ""
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			commit = ", commit " + setting.Value[:min(12, len(setting.Value))]
		}
	}
	return fmt.Sprintf("lockroad %s%s, %s", release, commit, info.GoVersion)
}
