// Package explain answers, from a record, why a transaction went to a given application
// server or got the answer that it got: in words, as JSON, or as counts. It asks in
// S-expressions and reads only; nothing that it does can hold the relay up.
package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
	"lockroad/internal/sexp"
)

// EndpointNames are the names of application servers.
type EndpointNames interface {
	Name(balancer.EndpointID) string
	Lookup(name string) (balancer.EndpointID, bool)
}

// Filter chooses transactions.
type Filter func(t *decisionlog.Entry, now time.Duration) bool

// MatchAll chooses all.
func MatchAll(*decisionlog.Entry, time.Duration) bool { return true }

// field is a form that a query may have besides and, or and not.
type field struct {
	name, args, help string
	build            func(q *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error)
}

type compiler struct{ names EndpointNames }

// answers are what a transaction can have for an answer so far.
var answers = append([]string{"waiting", "up"}, registry.EndNames...)

var fields []field

func init() {
	fields = []field{
		{"number", "N ...", "these numbers", oneOf(nil, func(t *decisionlog.Entry) []string { return []string{strconv.FormatUint(t.Number, 10)} })},
		{"name", "NAME ...", "as the client calls it", oneOf(nil, func(t *decisionlog.Entry) []string { return []string{t.Name} })},
		{"flow", "KEY ...", "the flow's key, in hexadecimal", keyed(func(t *decisionlog.Entry) uint64 { return t.Item })},
		{"group", "KEY ...", "the group, in hexadecimal", keyed(func(t *decisionlog.Entry) uint64 { return t.Group })},
		{"class", "CLASS ...", "its class", oneOf(nil, func(t *decisionlog.Entry) []string { return []string{t.Class} })},
		{"tenant", "TENANT ...", "whose it is", oneOf(nil, func(t *decisionlog.Entry) []string { return []string{t.Tenant} })},
		{"front", "FRONT ...", "the front that it came by", oneOf(nil, func(t *decisionlog.Entry) []string { return []string{t.Front} })},
		{"server", "SERVER ...", "sent to one of these", onServer},
		{"answer", "ANSWER ...", "how it ended, or how far it has come: " + strings.Join(answers, ", "),
			oneOf(answers, func(t *decisionlog.Entry) []string { return []string{t.ResultName()} })},
		{"cause", "CAUSE ...", "why it ended where the module did not decide it: " + strings.Join(proxy.CauseNames[:], ", "),
			oneOf(proxy.CauseNames[:], func(t *decisionlog.Entry) []string {
				if f, ok := t.Result(); ok {
					return []string{f.Cause.String()}
				}
				return nil
			})},
		{"reason", "REASON ...", "a decision had this reason: " + strings.Join(balancer.ReasonNames[1:], ", "),
			oneOf(balancer.ReasonNames[1:], decisions(func(d *balancer.Decision) string { return d.Reason.String() }))},
		{"verdict", "VERDICT ...", "a decision was this: " + strings.Join(balancer.VerdictNames[:], ", "),
			oneOf(balancer.VerdictNames[:], decisions(func(d *balancer.Decision) string { return d.Verdict.String() }))},
		{"outcome", "OUTCOME ...", "a pass ended so: " + strings.Join(registry.StatusNames, ", "),
			oneOf(registry.StatusNames, func(t *decisionlog.Entry) (all []string) {
				for _, p := range t.Attempts() {
					if !p.InProgress {
						all = append(all, registry.StatusNames[p.Status])
					}
				}
				return all
			})},
		{"since", "TIME", "it came, or something happened to it, within this time, such as 5m", within(func(t *decisionlog.Entry, from time.Duration) bool { return t.LastEventAt() >= from })},
		{"until", "TIME", "it came longer ago than this", within(func(t *decisionlog.Entry, from time.Duration) bool { return t.StartedAt <= from })},
		{"passes", "OP N", "how many passes it had, with one of = < > <= >=", compared(func(n *sexp.Node) (float64, error) {
			v, err := n.Whole()
			return float64(v), err
		}, func(t *decisionlog.Entry) (float64, bool) { return float64(len(t.Attempts())), true })},
		{"took", "OP TIME", "time from its coming to its answer", compared(func(n *sexp.Node) (float64, error) {
			v, err := n.Duration()
			return float64(v), err
		}, func(t *decisionlog.Entry) (float64, bool) {
			d, ok := answered(t)
			return float64(d), ok
		})},
		{"return", "", "its client was back after a move or a break", flag(func(t *decisionlog.Entry) bool { return t.Returning })},
		{"eventful", "", "refused, failed, retried, made to wait or moved off a slow server", flag(func(t *decisionlog.Entry) bool { return t.Notable })},
		{"pinned", "", "kept by hand", flag(func(t *decisionlog.Entry) bool { return t.Pinned })},
	}
}

// Help lists the forms of a query, a line each.
func Help() string {
	var b strings.Builder
	b.WriteString("(and Q ...), (or Q ...), (not Q)\n")
	for _, f := range fields {
		b.WriteString("(" + strings.TrimSpace(f.name+" "+f.args) + "): " + f.help + "\n")
	}
	return b.String()
}

// Compile reads a query. An error says at which column what was expected.
func Compile(source string, names EndpointNames) (Filter, error) {
	n, err := sexp.ParseOne(source)
	if err != nil {
		return nil, err
	}
	return (&compiler{names}).query(n)
}

func (c *compiler) query(n *sexp.Node) (Filter, error) {
	head, args, err := n.Head()
	if err != nil {
		return nil, err
	}
	switch head {
	case "and", "or":
		all := make([]Filter, len(args))
		for i, a := range args {
			if all[i], err = c.query(a); err != nil {
				return nil, err
			}
		}
		wanted := head == "or"
		return func(t *decisionlog.Entry, now time.Duration) bool {
			for _, q := range all {
				if q(t, now) == wanted {
					return wanted
				}
			}
			return !wanted
		}, nil
	case "not":
		if len(args) != 1 {
			return nil, n.Errorf("not takes one query, here are %d", len(args))
		}
		q, err := c.query(args[0])
		if err != nil {
			return nil, err
		}
		return func(t *decisionlog.Entry, now time.Duration) bool { return !q(t, now) }, nil
	}
	for _, f := range fields {
		if f.name == head {
			return f.build(c, n, args)
		}
	}
	var known []string
	for _, f := range fields {
		known = append(known, f.name)
	}
	return nil, n.List.Items[0].Errorf("no query is called %q; expected and, or, not, %s", head, strings.Join(known, ", "))
}

// oneOf is a field that has one of the words that are given; all of them have to be
// known, where there is a closed set.
func oneOf(closed []string, of func(*decisionlog.Entry) []string) func(*compiler, *sexp.Node, []*sexp.Node) (Filter, error) {
	return func(_ *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
		want, err := at.Values()
		if err != nil {
			return nil, err
		}
		for i, w := range want {
			if closed != nil && !slices.Contains(closed, w) {
				return nil, args[i].Errorf("%s is never %q; expected one of %s", at.List.Items[0], w, strings.Join(closed, ", "))
			}
		}
		return func(t *decisionlog.Entry, _ time.Duration) bool {
			return slices.ContainsFunc(of(t), func(w string) bool { return slices.Contains(want, w) })
		}, nil
	}
}

func decisions(of func(*balancer.Decision) string) func(*decisionlog.Entry) []string {
	return func(t *decisionlog.Entry) (all []string) {
		for i := range t.Events {
			if t.Events[i].Kind == decisionlog.EventDecision {
				all = append(all, of(&t.Events[i].Decision))
			}
		}
		return all
	}
}

// keyed is a field that is a number written in hexadecimal.
func keyed(of func(*decisionlog.Entry) uint64) func(*compiler, *sexp.Node, []*sexp.Node) (Filter, error) {
	return func(_ *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
		want, err := at.Values()
		if err != nil {
			return nil, err
		}
		keys := make([]uint64, len(want))
		for i, w := range want {
			if keys[i], err = strconv.ParseUint(w, 16, 64); err != nil {
				return nil, args[i].Errorf("%q is no hexadecimal number of 64 bits", w)
			}
		}
		return func(t *decisionlog.Entry, _ time.Duration) bool { return slices.Contains(keys, of(t)) }, nil
	}
}

func onServer(c *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
	want, err := at.Values()
	if err != nil {
		return nil, err
	}
	ids := make([]balancer.EndpointID, len(want))
	for i, w := range want {
		var ok bool
		if ids[i], ok = c.names.Lookup(w); !ok {
			return nil, args[i].Errorf("no list has named an application server %q", w)
		}
	}
	return func(t *decisionlog.Entry, _ time.Duration) bool {
		return slices.ContainsFunc(t.Events, func(s decisionlog.Event) bool {
			return s.Kind == decisionlog.EventAttemptStarted && slices.Contains(ids, s.Endpoint) ||
				s.Kind == decisionlog.EventDecision && s.Decision.Verdict != balancer.VerdictHeld && s.Decision.Endpoint != 0 && slices.Contains(ids, s.Decision.Endpoint)
		})
	}, nil
}

func within(holds func(t *decisionlog.Entry, from time.Duration) bool) func(*compiler, *sexp.Node, []*sexp.Node) (Filter, error) {
	return func(_ *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 1 {
			return nil, at.Errorf("%s wants one time, such as 5m", at.List.Items[0])
		}
		d, err := args[0].Duration()
		if err != nil {
			return nil, err
		}
		return func(t *decisionlog.Entry, now time.Duration) bool { return holds(t, now-d) }, nil
	}
}

var operators = map[string]func(x, y float64) bool{
	"=": func(x, y float64) bool { return x == y }, "<": func(x, y float64) bool { return x < y }, ">": func(x, y float64) bool { return x > y },
	"<=": func(x, y float64) bool { return x <= y }, ">=": func(x, y float64) bool { return x >= y },
}

func compared(read func(*sexp.Node) (float64, error), of func(*decisionlog.Entry) (float64, bool)) func(*compiler, *sexp.Node, []*sexp.Node) (Filter, error) {
	return func(_ *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 2 {
			return nil, at.Errorf("%s wants a comparison and a value, such as >= 2", at.List.Items[0])
		}
		word, err := args[0].Value()
		if err != nil {
			return nil, err
		}
		holds := operators[word]
		if holds == nil {
			return nil, args[0].Errorf("%q compares nothing; expected one of = < > <= >=", word)
		}
		limit, err := read(args[1])
		if err != nil {
			return nil, err
		}
		return func(t *decisionlog.Entry, _ time.Duration) bool {
			v, ok := of(t)
			return ok && holds(v, limit)
		}, nil
	}
}

func flag(of func(*decisionlog.Entry) bool) func(*compiler, *sexp.Node, []*sexp.Node) (Filter, error) {
	return func(_ *compiler, at *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 0 {
			return nil, args[0].Errorf("%s takes no value", at.List.Items[0])
		}
		return func(t *decisionlog.Entry, _ time.Duration) bool { return of(t) }, nil
	}
}

// answered is how long a transaction took to its answer: until it was up, or to the
// unavailable or failed answer.
func answered(t *decisionlog.Entry) (time.Duration, bool) {
	for _, s := range t.Events {
		if s.Kind == decisionlog.EventEstablished || s.Kind == decisionlog.EventEnded {
			return s.At - t.StartedAt, true
		}
	}
	return 0, false
}
