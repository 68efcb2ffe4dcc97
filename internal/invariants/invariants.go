// Package invariants checks, by what fake clients, servers and discovery recorded, whether a
// relay kept the operators' rules. It is independent of the relay's own metrics and decision
// log, and does no I/O: a history goes in, and the violations of rules come out.
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
	Answered           Rule = "one final answer in time"
	SequentialAttempts Rule = "never two attempts at once"
	DrainRespected     Rule = "nothing new to a draining or gone server"
	SlowStart          Rule = "no cold server pushed over"
	Migrated           Rule = "nothing cut off without a move"
	PromptDelivery     Rule = "no line held back"
	Intact             Rule = "every byte as sent"
)

// Limits are the limits of the rules.
type Limits struct {
	AnswerTolerance   time.Duration // that an answer may come after the client's time limit, and an attempt before the end of another
	DrainDelay        time.Duration // after which nothing new goes to a server that drains or is gone
	MaxMessageDelay   time.Duration // that a line may take through the relay
	SlowStartDuration time.Duration // that a server warms up after its start
	InitialCapacity   float64       // share of its capacity that it has at its start
	OverloadMultiple  float64       // a server that warms up fails when sent more than so many times what it can do
	OverloadWindow    time.Duration // for this long
	Capacity          float64       // set-ups a second of a server that has warmed up; 0: not checked
}

// DefaultLimits returns the limits of the operators' pages, each time 50 ms longer.
func DefaultLimits() Limits {
	return Limits{AnswerTolerance: 50 * time.Millisecond, DrainDelay: 550 * time.Millisecond, MaxMessageDelay: 1050 * time.Millisecond,
		SlowStartDuration: 23 * time.Second, InitialCapacity: 0.12, OverloadMultiple: 3, OverloadWindow: 3 * time.Second}
}

// History is what is checked.
type History struct {
	Sessions        []fake.Session
	Attempts        []fake.Attempt
	EndpointChanges []fake.EndpointChange
	Limits          Limits
	// ClientFaulted reports whether what a client saw is not due to the relay, as a fault was
	// injected between the two. nil: for none.
	ClientFaulted func(fake.Session) bool
	// ServerFaulted reports whether an attempt's connection may have broken by itself, as a fault
	// was injected between its server and the relay. nil: for none.
	ServerFaulted func(fake.Attempt) bool
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	At     time.Time
	Detail string
}

// String returns the rule and what violated it.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Check returns the violations of rules, in order of time.
func Check(history History) []Violation {
	c := &checker{History: history, byName: make(map[string][]fake.Attempt)}
	for _, attempt := range history.Attempts {
		c.byName[attempt.Name] = append(c.byName[attempt.Name], attempt)
	}
	for _, session := range history.Sessions {
		if history.ClientFaulted == nil || !history.ClientFaulted(session) {
			c.checkSession(session)
		}
	}
	for name, attempts := range c.byName {
		c.checkOnce(name, attempts)
	}
	c.checkDrains()
	c.checkSlowStart()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Detail, b.Detail)) })
	return c.violations
}

// checker checks one history.
type checker struct {
	History
	byName     map[string][]fake.Attempt
	violations []Violation
}

func (c *checker) add(rule Rule, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
}

// checkSession checks what one client saw, and what servers saw of it.
func (c *checker) checkSession(session fake.Session) {
	switch {
	case session.Refused: // the relay's listener was closed: it has accepted nothing
		return
	case session.Answer == "":
		return // it has not been answered yet
	case session.Answer == "none":
		c.add(Answered, session.At, "%s got none: after %v of its %v it had no more than that", session.Name, session.SetupTime, session.TimeLimit)
	case session.SetupTime > session.TimeLimit+c.Limits.AnswerTolerance:
		c.add(Answered, session.At, "%s got %s after %v of %v", session.Name, session.Answer, session.SetupTime, session.TimeLimit)
	}
	if session.ExtraAnswers > 0 {
		c.add(Answered, session.At, "%s got something after %s", session.Name, session.Answer)
	}
	if session.Garbled > 0 {
		c.add(Intact, session.At, "%s got %d lines that were not as sent", session.Name, session.Garbled)
	}
	if session.MaxMessageDelay > c.Limits.MaxMessageDelay {
		c.add(PromptDelivery, session.At, "a line to %s was under way for %v", session.Name, session.MaxMessageDelay)
	}
	for _, attempt := range c.byName[session.Name] {
		if c.ServerFaulted == nil || !c.ServerFaulted(attempt) {
			c.checkAttempt(session, attempt)
		}
	}
}

// checkAttempt checks what a server saw of a client.
func (c *checker) checkAttempt(session fake.Session, attempt fake.Attempt) {
	if attempt.Garbled > 0 {
		c.add(Intact, attempt.At, "%s got %d lines of %s that were not as sent", attempt.Endpoint, attempt.Garbled, session.Name)
	}
	if attempt.MaxMessageDelay > c.Limits.MaxMessageDelay {
		c.add(PromptDelivery, attempt.At, "a line of %s to %s was under way for %v", session.Name, attempt.Endpoint, attempt.MaxMessageDelay)
	}
	// It was cut off although its server would have gone on.
	if session.End == "broken" && attempt.Answer == "up" && (attempt.End == "gone" || attempt.End == "bye") {
		c.add(Migrated, attempt.EndedAt, "%s was cut off, and %s had not ended it", session.Name, attempt.Endpoint)
	}
}

// checkOnce checks the attempts of one request: one is in progress from when it came to a
// server until that has rejected it, or its connection is at an end.
func (c *checker) checkOnce(name string, attempts []fake.Attempt) {
	slices.SortStableFunc(attempts, func(a, b fake.Attempt) int { return a.At.Compare(b.At) })
	for i, attempt := range attempts[:max(0, len(attempts)-1)] {
		until := attempt.ClosedAt
		if attempt.Answer == "busy" || attempt.Answer == "error" || attempt.Answer == "broken" {
			until = attempt.AnsweredAt
		}
		next := attempts[i+1]
		if until.IsZero() || next.At.Before(until.Add(-c.Limits.AnswerTolerance)) {
			c.add(SequentialAttempts, next.At, "%s came to %s while its pass to %s was out", name, next.Endpoint, attempt.Endpoint)
		}
	}
}

// checkDrains checks what came to servers that drain or are gone.
func (c *checker) checkDrains() {
	type period struct{ from, to time.Time } // to is zero while it lasts
	unavailable := make(map[string][]period)
	changes := slices.Clone(c.EndpointChanges)
	slices.SortStableFunc(changes, func(a, b fake.EndpointChange) int { return a.At.Compare(b.At) })
	for _, change := range changes {
		periods := unavailable[change.Endpoint]
		open := len(periods) > 0 && periods[len(periods)-1].to.IsZero()
		switch {
		case change.State == fake.Killed: // no relay was notified
		case change.State == "ready" && open:
			periods[len(periods)-1].to = change.At
		case change.State != "ready" && !open:
			unavailable[change.Endpoint] = append(periods, period{from: change.At})
		}
	}
	for _, attempt := range c.Attempts {
		for _, out := range unavailable[attempt.Endpoint] {
			if attempt.At.After(out.from.Add(c.Limits.DrainDelay)) && (out.to.IsZero() || attempt.At.Before(out.to)) {
				c.add(DrainRespected, attempt.At, "%s came to %s %v after its drain was told", attempt.Name, attempt.Endpoint, attempt.At.Sub(out.from))
			}
		}
	}
}

// checkSlowStart checks what came to servers that had just started: within any time in which
// one fails, no more than a multiple of what it can do then.
func (c *checker) checkSlowStart() {
	if c.Limits.Capacity <= 0 {
		return
	}
	killed := make(map[string]bool)
	for _, change := range c.EndpointChanges {
		if change.State == fake.Killed {
			killed[change.Endpoint] = true
		}
		if change.State != "ready" || !killed[change.Endpoint] {
			continue
		}
		killed[change.Endpoint] = false
		c.checkStart(change)
	}
}

// checkStart checks what came to a server around its start. Its first violation is enough.
func (c *checker) checkStart(start fake.EndpointChange) {
	limits := c.Limits
	arrivals := c.arrivals(start)
	for i, from := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < limits.OverloadWindow {
				count++
			}
		}
		age := max(0, from.Sub(start.At)) + limits.OverloadWindow
		share := min(1, limits.InitialCapacity+(1-limits.InitialCapacity)*age.Seconds()/limits.SlowStartDuration.Seconds())
		if most := max(1, limits.OverloadMultiple*share*limits.Capacity*limits.OverloadWindow.Seconds()); float64(count) > most {
			c.add(SlowStart, from, "%d set-ups came to %s within %v, %v after its start; it bears %.1f", count, start.Endpoint, limits.OverloadWindow, from.Sub(start.At), most)
			return
		}
	}
}

// arrivals returns the times at which attempts came to a server while it warmed up, or
// shortly before, in order.
func (c *checker) arrivals(start fake.EndpointChange) []time.Time {
	var arrivals []time.Time
	for _, attempt := range c.Attempts {
		age := attempt.At.Sub(start.At)
		if attempt.Endpoint == start.Endpoint && age >= -c.Limits.OverloadWindow && age < c.Limits.SlowStartDuration {
			arrivals = append(arrivals, attempt.At)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}
