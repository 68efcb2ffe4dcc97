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
	supportsJSON     bool // --json may follow, and then the answer is a JSON object a line
}

// handler answers a command. What it writes is the answer; an error rejects the command, and
// the answer is then the error's text alone. The context ends with the server.
type handler func(ctx context.Context, s *Server, call call, out io.Writer) error

// call is one command as it was received.
type call struct {
	args string // that follow the command's name
	user string // who called
}

// noArgs returns a handler that rejects arguments.
func noArgs(run handler) handler {
	return func(ctx context.Context, s *Server, call call, out io.Writer) error {
		if call.args != "" {
			return fmt.Errorf("nothing may follow here, not %q", call.args)
		}
		return run(ctx, s, call, out)
	}
}

// report returns a handler without arguments that can't fail.
func report(write func(s *Server, out io.Writer)) handler {
	return noArgs(func(_ context.Context, s *Server, _ call, out io.Writer) error {
		write(s, out)
		return nil
	})
}

// commands is filled at the start, as help lists it itself.
var commands []command

func init() {
	commands = []command{
		{"status", "", "what the relay has done since its start", report((*Server).status), true},
		{"farm", "", "the application servers, as discovery last named them", report((*Server).endpointList), true},
		{"servers", "", "the servers with what is there of transactions, and what is held of them", noArgs(endpointViews), true},
		{"transactions", "", "those under way", report((*Server).requests), true},
		{"fronts", "", "where clients come in", report((*Server).frontends), true},
		{"why", "NUMBER|NAME|(QUERY)", "why a transaction went where it went; help why tells more", why, false},
		{"pin", "NUMBER", "keep the record of a transaction", pin, false},
		{"unpin", "NUMBER", "let it go again", unpin, false},
		{"record", "", "what the record of decisions holds and has let go", decisionLogStats, true},
		{"drain", "[SERVER [for TIME] [because WORDS]]", "have a server drain whatever the list says; without one, move everyone away and stop", drain, false},
		{"undrain", "SERVER", "withdraw the order", undrain, false},
		{"restart", "", "move everyone away and be started again, where a supervisor does that", noArgs(restart), false},
		{"health", "", "which servers are up by their probes and passes", report((*Server).health), true},
		{"reload", "[--dry-run]", "take the configuration's file anew, or tell what that would change", reload, false},
		{"orders", "", "the orders in force that have servers drain", report((*Server).drainDirectives), true},
		{"store", "", "what is kept on disk", report((*Server).storeStats), true},
		{"log", "[LINES]", "the last lines of the log", logLines, true},
		{"help", "[why]", "this list; those with --json write an object a line", help, false},
	}
}

// execute runs a command line for a user and returns the answer.
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
	return statusError, fmt.Sprintf("unknown command %q; help lists those there are\n", name)
}

// help lists the commands, or explains queries.
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
		fmt.Fprintf(out, "why NUMBER|NAME|FLOW\nwhy [--json] [--most N] [--by FIELD,...] [(QUERY)]\n\nA query is one of\n%s", explain.Help())
	default:
		return fmt.Errorf("there is more to tell of why only, not of %q", call.args)
	}
	return nil
}
