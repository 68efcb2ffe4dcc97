// Package invariants checks the events recorded by fake clients, servers and discovery for
// violations of the relay's guarantees. It does not use the relay's metrics or decision log,
// and does no I/O.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lockroad/internal/fake"
)

// Rule is a guarantee that the relay gives its operators.
type Rule string

// The rules that Check checks.
const (
	Answered           Rule = "exactly one final answer, in time"
	SequentialAttempts Rule = "one attempt at a time"
	DrainRespected     Rule = "no new attempts to a draining or gone server"
	SlowStart          Rule = "no overload during slow start"
	Migrated           Rule = "no session cut off without a move"
	PromptDelivery     Rule = "no message delayed"
	Intact             Rule = "no message altered"
)

// Limits are the limits beyond which the rules are violated.
type Limits struct {
	AnswerTolerance   time.Duration // of an answer after the client's time limit, and of overlapping attempts
	DrainDelay        time.Duration // time until a server that drains or is gone gets no new attempts
	MaxMessageDelay   time.Duration // time that a message may take through the relay
	SlowStartDuration time.Duration // of a server, after its start
	InitialCapacity   float64       // share of its capacity that a server has at its start
	OverloadMultiple  float64       // a server in slow start is overloaded by this multiple of its capacity
	OverloadWindow    time.Duration // period over which the set-ups at a server are counted
	Capacity          float64       // set-ups per second of a server after its slow start; 0: slow start is not checked
}

// DefaultLimits returns the documented limits, with 50 ms of tolerance on times.
func DefaultLimits() Limits {
	return Limits{AnswerTolerance: 50 * time.Millisecond, DrainDelay: 550 * time.Millisecond, MaxMessageDelay: 1050 * time.Millisecond,
		SlowStartDuration: 23 * time.Second, InitialCapacity: 0.12, OverloadMultiple: 3, OverloadWindow: 3 * time.Second}
}

// History holds the recorded events to check.
type History struct {
	Sessions        []fake.Session
	Attempts        []fake.Attempt
	EndpointChanges []fake.EndpointChange
	Limits          Limits
	// ClientFaulted reports whether a session is not checked, as a fault was injected between
	// the client and the relay. nil: all are checked.
	ClientFaulted func(fake.Session) bool
	// ServerFaulted reports whether an attempt is not checked on its own, as a fault was injected
	// between the relay and the server. nil: all are checked.
	ServerFaulted func(fake.Attempt) bool
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Time
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Check returns the violations in a history, ordered by time.
func Check(history History) []Violation {
	check := &checker{History: history, byName: make(map[string][]fake.Attempt)}
	for _, attempt := range history.Attempts {
		check.byName[attempt.Name] = append(check.byName[attempt.Name], attempt)
	}
	for _, session := range history.Sessions {
		if history.ClientFaulted == nil || !history.ClientFaulted(session) {
			check.checkSession(session)
		}
	}
	for name, attempts := range check.byName {
		check.checkSequence(name, attempts)
	}
	check.checkDrains()
	check.checkSlowStart()
	slices.SortStableFunc(check.violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Detail, b.Detail)) })
	return check.violations
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

// checkSession checks one client's session and the attempts that servers recorded for it.
func (c *checker) checkSession(session fake.Session) {
	switch {
	case session.Refused: // the relay did not accept the connection
		return
	case session.Answer == "":
		return // not answered yet
	case session.Answer == "none":
		c.add(Answered, session.At, "session %s got no answer: it gave up after %v, with a time limit of %v", session.Name, session.SetupTime, session.TimeLimit)
	case session.SetupTime > session.TimeLimit+c.Limits.AnswerTolerance:
		c.add(Answered, session.At, "session %s got answer %s after %v, with a time limit of %v", session.Name, session.Answer, session.SetupTime, session.TimeLimit)
	}
	if session.ExtraAnswers > 0 {
		c.add(Answered, session.At, "session %s received data after its final answer %s", session.Name, session.Answer)
	}
	if session.Garbled > 0 {
		c.add(Intact, session.At, "session %s received %d altered messages", session.Name, session.Garbled)
	}
	if session.MaxMessageDelay > c.Limits.MaxMessageDelay {
		c.add(PromptDelivery, session.At, "a message to session %s took %v through the relay", session.Name, session.MaxMessageDelay)
	}
	for _, attempt := range c.byName[session.Name] {
		if c.ServerFaulted == nil || !c.ServerFaulted(attempt) {
			c.checkAttempt(session, attempt)
		}
	}
}

// checkAttempt checks one attempt of a session, as its server recorded it.
func (c *checker) checkAttempt(session fake.Session, attempt fake.Attempt) {
	if attempt.Garbled > 0 {
		c.add(Intact, attempt.At, "server %s received %d altered messages of session %s", attempt.Endpoint, attempt.Garbled, session.Name)
	}
	if attempt.MaxMessageDelay > c.Limits.MaxMessageDelay {
		c.add(PromptDelivery, attempt.At, "a message of session %s to server %s took %v through the relay", session.Name, attempt.Endpoint, attempt.MaxMessageDelay)
	}
	// The relay closed its connections on both sides although the server had not ended the session.
	if session.End == "broken" && attempt.Answer == "up" && (attempt.End == "gone" || attempt.End == "bye") {
		c.add(Migrated, attempt.EndedAt, "session %s was cut off although server %s had not ended it", session.Name, attempt.Endpoint)
	}
}

// checkSequence checks that the attempts of one request don't overlap: an attempt lasts from its
// arrival at a server until the server's rejection or the end of its connection.
func (c *checker) checkSequence(name string, attempts []fake.Attempt) {
	slices.SortStableFunc(attempts, func(a, b fake.Attempt) int { return a.At.Compare(b.At) })
	for i, attempt := range attempts[:max(0, len(attempts)-1)] {
		until := attempt.ClosedAt
		if attempt.Answer == "busy" || attempt.Answer == "error" || attempt.Answer == "broken" {
			until = attempt.AnsweredAt
		}
		next := attempts[i+1]
		if until.IsZero() || next.At.Before(until.Add(-c.Limits.AnswerTolerance)) {
			c.add(SequentialAttempts, next.At, "request %s was sent to server %s while its attempt at server %s was in progress", name, next.Endpoint, attempt.Endpoint)
		}
	}
}

// checkDrains checks that no attempts reach servers that drain or are gone.
func (c *checker) checkDrains() {
	type period struct{ from, to time.Time } // to is zero until the server is ready again
	unavailable := make(map[string][]period)
	changes := slices.Clone(c.EndpointChanges)
	slices.SortStableFunc(changes, func(a, b fake.EndpointChange) int { return a.At.Compare(b.At) })
	for _, change := range changes {
		periods := unavailable[change.Endpoint]
		open := len(periods) > 0 && periods[len(periods)-1].to.IsZero()
		switch {
		case change.State == fake.Killed: // discovery does not report kills
		case change.State == "ready" && open:
			periods[len(periods)-1].to = change.At
		case change.State != "ready" && !open:
			unavailable[change.Endpoint] = append(periods, period{from: change.At})
		}
	}
	for _, attempt := range c.Attempts {
		for _, outage := range unavailable[attempt.Endpoint] {
			if attempt.At.After(outage.from.Add(c.Limits.DrainDelay)) && (outage.to.IsZero() || attempt.At.Before(outage.to)) {
				c.add(DrainRespected, attempt.At, "request %s was sent to server %s %v after discovery reported the server unavailable", attempt.Name, attempt.Endpoint, attempt.At.Sub(outage.from))
			}
		}
	}
}

// checkSlowStart checks each server that was killed and started again for overload: more
// set-ups within OverloadWindow than OverloadMultiple times its reduced capacity.
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

// checkStart checks the attempts around one start of a server, and reports the first violation only.
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
		if limit := max(1, limits.OverloadMultiple*share*limits.Capacity*limits.OverloadWindow.Seconds()); float64(count) > limit {
			c.add(SlowStart, from, "%d set-ups reached server %s within %v, starting %v after its start; the limit is %.1f", count, start.Endpoint, limits.OverloadWindow, from.Sub(start.At), limit)
			return
		}
	}
}

// arrivals returns, in order, the arrival times of attempts at a server from OverloadWindow
// before its start until the end of slow start.
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
