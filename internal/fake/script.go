package fake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lockroad/internal/sexp"
)

// ScriptedAction is what happens at a time of a script.
type ScriptedAction struct {
	At       time.Duration
	Kind     string // hang, busy, error, break, slow, accept, drain, restart or drop
	Server   string
	Duration time.Duration // how long it lasts, or of restart how long it is down
	Delay    time.Duration // of slow: of an echo
	Share    float64       // of drop: of the clients
}

// String tells of it in words.
func (a ScriptedAction) String() string {
	switch a.Kind {
	case "hang":
		return fmt.Sprintf("%s hangs for %v: it takes transactions and answers none", a.Server, a.Duration)
	case "no-credit":
		return fmt.Sprintf("%s attaches links and grants no credit for %v", a.Server, a.Duration)
	case "busy":
		return fmt.Sprintf("%s turns everyone away for %v", a.Server, a.Duration)
	case "error":
		return fmt.Sprintf("%s answers with errors for %v", a.Server, a.Duration)
	case "break":
		return fmt.Sprintf("%s breaks every connection for %v", a.Server, a.Duration)
	case "slow":
		return fmt.Sprintf("%s takes %v for an echo, for %v", a.Server, a.Delay, a.Duration)
	case "drain":
		return fmt.Sprintf("%s drains, and leaves", a.Server)
	case "restart":
		return fmt.Sprintf("%s is killed, and starts again after %v", a.Server, a.Duration)
	case "drop":
		return fmt.Sprintf("%.0f%% of the clients drop and come again", 100*a.Share)
	}
	return a.Kind
}

// ParseScript reads a script: (at TIME (ACT ...)) for each act, where ACT is one of
//
//	(hang SERVER TIME) (busy SERVER TIME) (error SERVER TIME) (break SERVER TIME)
//	(slow SERVER DELAY TIME) (drain SERVER) (restart SERVER TIME) (drop PERCENT)
//
// An error says at which line and column what was expected.
func ParseScript(source string, servers []string) ([]ScriptedAction, error) {
	nodes, err := sexp.Parse(source)
	if err != nil {
		return nil, err
	}
	var actions []ScriptedAction
	for _, n := range nodes {
		head, args, err := n.Head()
		if err != nil {
			return nil, err
		}
		if head != "at" || len(args) != 2 {
			return nil, n.Errorf("expected (at TIME (ACT ...))")
		}
		at, err := args[0].Duration()
		if err != nil {
			return nil, err
		}
		action, err := parseAction(args[1], servers)
		if err != nil {
			return nil, err
		}
		action.At = at
		actions = append(actions, action)
	}
	slices.SortStableFunc(actions, func(x, y ScriptedAction) int { return int(x.At - y.At) })
	return actions, nil
}

// actionForms are the arguments that acts take.
var actionForms = map[string][]string{
	"hang": {"SERVER", "TIME"}, "no-credit": {"SERVER", "TIME"}, "busy": {"SERVER", "TIME"}, "error": {"SERVER", "TIME"}, "break": {"SERVER", "TIME"},
	"slow": {"SERVER", "DELAY", "TIME"}, "drain": {"SERVER"}, "restart": {"SERVER", "TIME"}, "drop": {"PERCENT"},
}

func parseAction(n *sexp.Node, servers []string) (a ScriptedAction, err error) {
	var args []*sexp.Node
	if a.Kind, args, err = n.Head(); err != nil {
		return a, err
	}
	form, ok := actionForms[a.Kind]
	if !ok {
		return a, n.Errorf("there is no act %q; expected hang, busy, error, break, no-credit, slow, drain, restart or drop", a.Kind)
	}
	if len(args) != len(form) {
		return a, n.Errorf("%s takes %v, here are %d", a.Kind, form, len(args))
	}
	for i, what := range form {
		switch what {
		case "SERVER":
			if a.Server, err = args[i].Value(); err == nil && !slices.Contains(servers, a.Server) {
				err = args[i].Errorf("there is no server %q; expected one of %v", a.Server, servers)
			}
		case "TIME":
			a.Duration, err = args[i].Duration()
		case "DELAY":
			a.Delay, err = args[i].Duration()
		case "PERCENT":
			var session uint64
			if session, err = args[i].Whole(); err == nil && session > 100 {
				err = args[i].Errorf("%d is more than 100 in 100", session)
			}
			a.Share = float64(session) / 100
		}
		if err != nil {
			return a, err
		}
	}
	return a, nil
}

// Run carries a script out and tells of each act once it has begun, until all are done or
// ctx ends.
func (s *Site) Run(ctx context.Context, actions []ScriptedAction, tell func(ScriptedAction)) {
	began := time.Now()
	for _, a := range actions {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(a.At))):
		}
		s.perform(ctx, a)
		tell(a)
	}
}

func (s *Site) perform(ctx context.Context, a ScriptedAction) {
	server := s.Server(a.Server)
	later := func(wait time.Duration, do func()) {
		s.pending.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			do()
		})
	}
	switch a.Kind {
	case "hang", "busy", "error", "break", "no-credit":
		server.Set(ServerMode(a.Kind), 0)
		later(a.Duration, func() { server.Set(ModeAccept, 0) })
	case "slow":
		server.Set(ModeAccept, a.Delay)
		later(a.Duration, func() { server.Set(ModeAccept, 0) })
	case "drain":
		s.SetState(a.Server, "draining", false)
		server.Drain()
	case "restart":
		server.Stop()
		later(a.Duration, func() {
			if server.Start(server.Address(), server.AMQP()) == nil {
				s.SetState(a.Server, "ready", true)
			}
		})
	case "drop":
		s.Clients.Drop(a.Share)
	}
}
