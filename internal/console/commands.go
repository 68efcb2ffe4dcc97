package console

import (
	"context"
	"fmt"
	"io"
	"strings"

	"lockroad/internal/explain"
)

// command is one command of the console.
type command struct {
	name, args, help string
	run              handler
	supportsJSON     bool // accepts --json, which makes the answer one JSON object per line
}

// handler runs a command and writes its answer to out. If it returns an error, that is the answer,
// and what it wrote is discarded. The context ends when the server stops.
type handler func(ctx context.Context, s *Server, call call, out io.Writer) error

// call is a command that a client sent.
type call struct {
	args string // the text after the command's name
	user string // the client's user
}

// noArgs wraps a handler to reject arguments.
func noArgs(run handler) handler {
	return func(ctx context.Context, s *Server, call call, out io.Writer) error {
		if call.args != "" {
			return fmt.Errorf("unexpected argument %q", call.args)
		}
		return run(ctx, s, call, out)
	}
}

// report returns the handler of a command that takes no arguments and can't fail.
func report(write func(s *Server, out io.Writer)) handler {
	return noArgs(func(_ context.Context, s *Server, _ call, out io.Writer) error {
		write(s, out)
		return nil
	})
}

// commands lists all commands. It is set in init, as help refers to it.
var commands []command

func init() {
	commands = []command{
		{"status", "", "the relay's counters since its start", report((*Server).status), true},
		{"farm", "", "all known servers, with their addresses and states", report((*Server).endpointList), true},
		{"servers", "", "the servers with their transactions, delay, load, and why they are avoided", noArgs(endpointViews), true},
		{"transactions", "", "the transactions in progress", report((*Server).requests), true},
		{"fronts", "", "the frontends and their listening addresses", report((*Server).frontends), true},
		{"why", "NUMBER|NAME|(QUERY)", "explain how a transaction was routed; see help why", why, false},
		{"pin", "NUMBER", "keep a transaction in the decision log until it is unpinned", pin, false},
		{"unpin", "NUMBER", "let the decision log drop a transaction again", unpin, false},
		{"record", "", "usage of the decision log, and the transactions that it keeps and has dropped", decisionLogStats, true},
		{"drain", "[SERVER [for TIME] [because WORDS]]", "drain a server, whatever the endpoint list says; without SERVER, move all clients away and stop the relay", drain, false},
		{"undrain", "SERVER", "withdraw the order to drain a server", undrain, false},
		{"restart", "", "move all clients away and restart the relay; needs a supervisor", noArgs(restart), false},
		{"health", "", "which servers are up, by their probes and attempts", report((*Server).health), true},
		{"reload", "[--dry-run]", "apply the configuration file again, or only show what would change", reload, false},
		{"orders", "", "the orders in force to drain servers", noArgs(drainDirectives), true},
		{"store", "", "statistics of the store on disk", report((*Server).storeStats), true},
		{"log", "[LINES]", "the last lines of the log", logLines, true},
		{"help", "[why]", "this list; with --json a command writes one JSON object per line", help, false},
	}
}

// execute runs a command line for a user, and returns the status and text of the answer.
func (s *Server) execute(ctx context.Context, line, user string) (answerStatus, string) {
	name, args, _ := strings.Cut(line, " ")
	for _, command := range commands {
		if command.name != name {
			continue
		}
		args = strings.TrimSpace(args)
		var answer strings.Builder
		var out io.Writer = &answer
		if before, found := strings.CutSuffix(args, "--json"); found && command.supportsJSON {
			args, out = strings.TrimSpace(before), &jsonWriter{buffer: &answer}
		}
		if err := command.run(ctx, s, call{args: args, user: user}, out); err != nil {
			return statusError, fmt.Sprintf("%s: %v\n", name, err)
		}
		return statusOK, answer.String()
	}
	return statusError, fmt.Sprintf("unknown command %q; help lists the commands\n", name)
}

// help lists the commands, or explains the queries of why.
func help(_ context.Context, _ *Server, call call, out io.Writer) error {
	switch call.args {
	case "":
		writeTable(out, nil, func(row rowFunc) {
			for _, command := range commands {
				args := command.args
				if command.supportsJSON {
					args = strings.TrimSpace(args + " [--json]")
				}
				row(strings.TrimSpace(command.name+" "+args), command.help)
			}
		})
	case "why":
		fmt.Fprintf(out, "why NUMBER|NAME|FLOW\nwhy [--json] [--most N] [--by FIELD,...] [(QUERY)]\n\nA query is one of\n%s", explain.FilterHelp())
	default:
		return fmt.Errorf("%q: expected nothing or why", call.args)
	}
	return nil
}
