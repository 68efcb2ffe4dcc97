package fake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lockroad/internal/sexp"
)

// ScriptedAction is an action of a script and its time.
type ScriptedAction struct {
	At       time.Duration // since the start of the script
	Kind     string        // hang, no-credit, busy, error, break, slow, drain, restart or drop
	Server   string
	Duration time.Duration // how long the action lasts; of restart: how long the server is down
	Delay    time.Duration // of slow: the delay of each echo
	Share    float64       // of drop: share of the clients, from 0 to 1
}

// String describes the action in a sentence, without its time.
func (a ScriptedAction) String() string {
	switch a.Kind {
	case "hang":
		return fmt.Sprintf("%s hangs for %v: it accepts connections but answers nothing", a.Server, a.Duration)
	case "no-credit":
		return fmt.Sprintf("%s attaches links and grants no credit for %v", a.Server, a.Duration)
	case "busy":
		return fmt.Sprintf("%s rejects all attempts for %v", a.Server, a.Duration)
	case "error":
		return fmt.Sprintf("%s answers with errors for %v", a.Server, a.Duration)
	case "break":
		return fmt.Sprintf("%s resets new connections for %v", a.Server, a.Duration)
	case "slow":
		return fmt.Sprintf("%s delays echoes by %v, for %v", a.Server, a.Delay, a.Duration)
	case "drain":
		return fmt.Sprintf("%s drains", a.Server)
	case "restart":
		return fmt.Sprintf("%s is killed and restarts after %v", a.Server, a.Duration)
	case "drop":
		return fmt.Sprintf("%.0f%% of the clients drop their connections and return", 100*a.Share)
	}
	return a.Kind
}

// ParseScript parses a script of any number of (at TIME ACTION), where ACTION is one of
//
//	(hang SERVER TIME) (busy SERVER TIME) (error SERVER TIME) (break SERVER TIME)
//	(no-credit SERVER TIME) (slow SERVER DELAY TIME) (drain SERVER) (restart SERVER TIME) (drop PERCENT)
//
// The actions are returned in order of time. Syntax errors have the line and column.
func ParseScript(source string, servers []string) ([]ScriptedAction, error) {
	nodes, err := sexp.Parse(source)
	if err != nil {
		return nil, err
	}
	var actions []ScriptedAction
	for _, node := range nodes {
		action, err := parseTimed(node, servers)
		if err != nil {
			return nil, err
		}
		actions = append(actions, action)
	}
	slices.SortStableFunc(actions, func(a, b ScriptedAction) int { return int(a.At - b.At) })
	return actions, nil
}

// parseTimed parses an action with its time.
func parseTimed(node *sexp.Node, servers []string) (ScriptedAction, error) {
	head, args, err := node.Head()
	if err != nil {
		return ScriptedAction{}, err
	}
	if head != "at" || len(args) != 2 {
		return ScriptedAction{}, node.Errorf("expected (at TIME (ACTION ...))")
	}
	at, err := args[0].Duration()
	if err != nil {
		return ScriptedAction{}, err
	}
	action, err := parseAction(args[1], servers)
	action.At = at
	return action, err
}

// actionForms has the arguments of each kind of action.
var actionForms = map[string][]string{
	"hang": {"SERVER", "TIME"}, "no-credit": {"SERVER", "TIME"}, "busy": {"SERVER", "TIME"}, "error": {"SERVER", "TIME"}, "break": {"SERVER", "TIME"},
	"slow": {"SERVER", "DELAY", "TIME"}, "drain": {"SERVER"}, "restart": {"SERVER", "TIME"}, "drop": {"PERCENT"},
}

func parseAction(node *sexp.Node, servers []string) (action ScriptedAction, err error) {
	var args []*sexp.Node
	if action.Kind, args, err = node.Head(); err != nil {
		return action, err
	}
	form, ok := actionForms[action.Kind]
	if !ok {
		return action, node.Errorf("unknown action %q; expected hang, busy, error, break, no-credit, slow, drain, restart or drop", action.Kind)
	}
	if len(args) != len(form) {
		return action, node.Errorf("%s takes arguments %v, got %d", action.Kind, form, len(args))
	}
	for i, argument := range form {
		if err := action.setArgument(argument, args[i], servers); err != nil {
			return action, err
		}
	}
	return action, nil
}

// setArgument parses an argument of a kind in actionForms and sets the field.
func (a *ScriptedAction) setArgument(argument string, node *sexp.Node, servers []string) (err error) {
	switch argument {
	case "SERVER":
		if a.Server, err = node.Value(); err == nil && !slices.Contains(servers, a.Server) {
			err = node.Errorf("unknown server %q; expected one of %v", a.Server, servers)
		}
	case "TIME":
		a.Duration, err = node.Duration()
	case "DELAY":
		a.Delay, err = node.Duration()
	case "PERCENT":
		var percent uint64
		if percent, err = node.Uint(); err == nil && percent > 100 {
			err = node.Errorf("%d is more than 100 percent", percent)
		}
		a.Share = float64(percent) / 100
	}
	return err
}

// Run starts a script's actions at their times and calls notify with each that has started, until
// all have started or ctx ends. Stop waits for the ends of actions that have a duration.
func (s *Site) Run(ctx context.Context, actions []ScriptedAction, notify func(ScriptedAction)) {
	start := time.Now()
	for _, action := range actions {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(action.At))):
		}
		s.perform(ctx, action)
		notify(action)
	}
}

func (s *Site) perform(ctx context.Context, action ScriptedAction) {
	server := s.Server(action.Server)
	after := func(wait time.Duration, do func()) {
		s.pending.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			do()
		})
	}
	switch action.Kind {
	case "hang", "busy", "error", "break", "no-credit":
		server.SetMode(ServerMode(action.Kind), 0)
		after(action.Duration, func() { server.SetMode(ModeAccept, 0) })
	case "slow":
		server.SetMode(ModeAccept, action.Delay)
		after(action.Duration, func() { server.SetMode(ModeAccept, 0) })
	case "drain":
		s.SetState(action.Server, "draining", false)
		server.Drain()
	case "restart":
		server.Stop()
		after(action.Duration, func() {
			if server.Start(server.LineAddress(), server.AMQPAddress()) == nil {
				s.SetState(action.Server, "ready", true)
			}
		})
	case "drop":
		s.Clients.Drop(action.Share)
	}
}
