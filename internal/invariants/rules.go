// Package invariants judges, from what stand-in clients, servers and discovery saw, whether
// a relay kept the operators' rules. It knows nothing of the relay's own counters and
// records, and does no I/O: a history goes in, and what broke a rule comes out.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lockroad/internal/fake"
)

// Rule is one of the operators' rules.
type Rule string

// The operators' rules.
const (
	Answered Rule = "one final answer in time"
	Once     Rule = "never two attempts at once"
	Drained  Rule = "nothing new to a draining or gone server"
	Cold     Rule = "no cold server pushed over"
	Kept     Rule = "nothing cut off without a move"
	Prompt   Rule = "no line held back"
	Whole    Rule = "every byte as sent"
)

// Limits are the figures of the rules.
type Limits struct {
	Late      time.Duration // that an answer may come after the client's give-up time, and a pass cross another's end
	Drain     time.Duration // after which nothing new goes to a server that drains or is gone
	Held      time.Duration // that a line may take through the relay
	ColdFor   time.Duration // a server is cold for so long after its start
	ColdShare float64       // of its capacity that it has at once
	Tip       float64       // it falls over when sent more than so many times what it can do
	TipAfter  time.Duration // for this long
	Capacity  float64       // set-ups a second that a warm server can do; 0: not judged
}

// DefaultLimits are the limits of the platform's pages, each time 50 ms longer.
func DefaultLimits() Limits {
	return Limits{Late: 50 * time.Millisecond, Drain: 550 * time.Millisecond, Held: 1050 * time.Millisecond,
		ColdFor: 23 * time.Second, ColdShare: 0.12, Tip: 3, TipAfter: 3 * time.Second}
}

// History is what there is to judge.
type History struct {
	Sessions        []fake.Session
	Attempts        []fake.Attempt
	EndpointChanges []fake.EndpointChange
	Limits          Limits
	// Spoiled tells whether what a client saw is not the relay's doing, as something
	// between the two was spoilt on purpose. nil: of none.
	Spoiled func(fake.Session) bool
	// Broken tells whether a server's connections broke on their own, as something
	// between it and the relay was spoilt. nil: of none.
	Broken func(fake.Attempt) bool
}

// Violation is a rule that was broken.
type Violation struct {
	Rule Rule
	At   time.Time
	What string
}

// String says what.
func (b Violation) String() string { return fmt.Sprintf("%s: %s", b.Rule, b.What) }

// Check returns all that broke a rule, in order of time.
func Check(h History) []Violation {
	j := &judge{History: h}
	j.byName = make(map[string][]fake.Attempt)
	for _, p := range h.Attempts {
		j.byName[p.Name] = append(j.byName[p.Name], p)
	}
	for _, v := range h.Sessions {
		if h.Spoiled == nil || !h.Spoiled(v) {
			j.visit(v)
		}
	}
	for name, passes := range j.byName {
		j.once(name, passes)
	}
	j.drains()
	j.cold()
	slices.SortStableFunc(j.found, func(x, y Violation) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.What, y.What)) })
	return j.found
}

type judge struct {
	History
	byName map[string][]fake.Attempt
	found  []Violation
}

func (j *judge) add(r Rule, at time.Time, format string, args ...any) {
	j.found = append(j.found, Violation{r, at, fmt.Sprintf(format, args...)})
}

// visit judges what one client saw.
func (j *judge) visit(v fake.Session) {
	switch {
	case v.Refused: // the relay's door was shut: it has taken nothing
		return
	case v.Answer == "":
		return // it is under way
	case v.Answer == "none":
		j.add(Answered, v.At, "%s got none: after %v of its %v it had no more than that", v.Name, v.SetupTime, v.TimeLimit)
	case v.SetupTime > v.TimeLimit+j.Limits.Late:
		j.add(Answered, v.At, "%s got %s after %v of %v", v.Name, v.Answer, v.SetupTime, v.TimeLimit)
	}
	if v.More > 0 {
		j.add(Answered, v.At, "%s got something after %s", v.Name, v.Answer)
	}
	if v.Garbled > 0 {
		j.add(Whole, v.At, "%s got %d lines that were not as sent", v.Name, v.Garbled)
	}
	if v.MaxHeld > j.Limits.Held {
		j.add(Prompt, v.At, "a line to %s was under way for %v", v.Name, v.MaxHeld)
	}
	for _, p := range j.byName[v.Name] {
		if j.Broken != nil && j.Broken(p) {
			continue
		}
		if p.Garbled > 0 {
			j.add(Whole, p.At, "%s got %d lines of %s that were not as sent", p.Server, p.Garbled, v.Name)
		}
		if p.MaxHeld > j.Limits.Held {
			j.add(Prompt, p.At, "a line of %s to %s was under way for %v", v.Name, p.Server, p.MaxHeld)
		}
		// It was cut off although its server would have gone on.
		if v.End == "broken" && p.Answer == "up" && (p.End == "gone" || p.End == "bye") {
			j.add(Kept, p.Ended, "%s was cut off, and %s had not ended it", v.Name, p.Server)
		}
	}
}

// once judges the passes of one transaction: one is out from when it came to a server
// until that has answered that it takes it not, or its connection is at an end.
func (j *judge) once(name string, passes []fake.Attempt) {
	slices.SortStableFunc(passes, func(x, y fake.Attempt) int { return x.At.Compare(y.At) })
	for i, p := range passes[:max(0, len(passes)-1)] {
		until := p.Closed
		if p.Answer == "busy" || p.Answer == "error" || p.Answer == "broken" {
			until = p.Answered
		}
		next := passes[i+1]
		if until.IsZero() || next.At.Before(until.Add(-j.Limits.Late)) {
			j.add(Once, next.At, "%s came to %s while its pass to %s was out", name, next.Server, p.Server)
		}
	}
}

// drains judges what came to servers that drain or are gone.
func (j *judge) drains() {
	type span struct{ from, to time.Time }
	out := make(map[string][]span)
	told := slices.Clone(j.EndpointChanges)
	slices.SortStableFunc(told, func(x, y fake.EndpointChange) int { return x.At.Compare(y.At) })
	for _, t := range told {
		spans := out[t.Endpoint]
		open := len(spans) > 0 && spans[len(spans)-1].to.IsZero()
		switch {
		case t.State == fake.Killed: // nobody was told
		case t.State == "ready" && open:
			spans[len(spans)-1].to = t.At
		case t.State != "ready" && !open:
			out[t.Endpoint] = append(spans, span{from: t.At})
		}
	}
	for _, p := range j.Attempts {
		for _, s := range out[p.Server] {
			if p.At.After(s.from.Add(j.Limits.Drain)) && (s.to.IsZero() || p.At.Before(s.to)) {
				j.add(Drained, p.At, "%s came to %s %v after its drain was told", p.Name, p.Server, p.At.Sub(s.from))
			}
		}
	}
}

// cold judges what came to servers that had just started: within any time in which one
// falls over, no more than a multiple of what it can do then.
func (j *judge) cold() {
	l := j.Limits
	if l.Capacity <= 0 {
		return
	}
	down := make(map[string]bool)
	for _, t := range j.EndpointChanges {
		if t.State == fake.Killed {
			down[t.Endpoint] = true
		}
		if t.State != "ready" || !down[t.Endpoint] {
			continue
		}
		down[t.Endpoint] = false
		var came []time.Time
		for _, p := range j.Attempts {
			if age := p.At.Sub(t.At); p.Server == t.Endpoint && age >= -l.TipAfter && age < l.ColdFor {
				came = append(came, p.At)
			}
		}
		slices.SortFunc(came, time.Time.Compare)
		for i, from := range came {
			n := 0
			for _, at := range came[i:] {
				if at.Sub(from) < l.TipAfter {
					n++
				}
			}
			age := max(0, from.Sub(t.At)) + l.TipAfter
			warmth := min(1, l.ColdShare+(1-l.ColdShare)*age.Seconds()/l.ColdFor.Seconds())
			if most := max(1, l.Tip*warmth*l.Capacity*l.TipAfter.Seconds()); float64(n) > most {
				j.add(Cold, from, "%d set-ups came to %s within %v, %v after its start; it bears %.1f", n, t.Endpoint, l.TipAfter, from.Sub(t.At), most)
				break
			}
		}
	}
}
