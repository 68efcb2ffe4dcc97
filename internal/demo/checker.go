package demo

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lockroad/internal/explain"
	"lockroad/internal/fake"
)

// checker compares one explanation with what its client and servers saw.
type checker struct {
	explanation *explain.Explanation
	session     fake.Session
	attempts    []fake.Attempt
	kills       map[string][]time.Time
	crossings   int
	mismatches  []string
}

func (c *checker) mismatchf(format string, args ...any) {
	c.mismatches = append(c.mismatches, fmt.Sprintf(format, args...))
}

const (
	crossingTime = 50 * time.Millisecond // within which events of two sides may have crossed
	killWindow   = time.Second           // around a kill, in which attempts may end in any way
)

// explainedAttempt is an attempt as the explanation has it.
type explainedAttempt struct {
	server, outcome string
	began, ended    time.Time
}

// explainedAttempts returns the attempts of the explanation.
func (c *checker) explainedAttempts() []explainedAttempt {
	var all []explainedAttempt
	for _, event := range c.explanation.Events {
		at := c.explanation.ReceivedAt.Add(time.Duration(event.AfterMS * float64(time.Millisecond)))
		switch event.Kind {
		case "pass":
			all = append(all, explainedAttempt{server: event.Endpoint, began: at})
		case "outcome":
			if n := len(all); n > 0 {
				all[n-1].outcome, all[n-1].ended = event.Outcome, at
			}
		}
	}
	return all
}

// check returns what does not match.
func (c *checker) check() []string {
	explanation, session := c.explanation, c.session
	if explanation.Class != session.Class || explanation.Frontend != session.Frontend || strings.TrimLeft(explanation.Flow, "0") != strings.TrimLeft(session.Flow, "0") || explanation.Returning != session.Returning {
		c.mismatchf("the client was %s of %s by %s, again %v", session.Flow, session.Class, session.Frontend, session.Returning)
	}
	if explanation.HeadEvicted {
		return c.mismatches // only the end of it is retained
	}
	seen := c.attempts
	for _, attempt := range c.explainedAttempts() {
		if len(seen) > 0 && seen[0].Endpoint == attempt.server && c.agrees(attempt, seen[0]) {
			seen = seen[1:]
			continue
		}
		switch {
		case attempt.outcome == "connect_failed" || attempt.outcome == "moot": // nothing has come to the server
		case (attempt.outcome == "reset" || attempt.outcome == "cancelled" || attempt.outcome == "timeout") && c.wasKilledNear(attempt):
		case attempt.outcome == "cancelled" && attempt.ended.Sub(attempt.began) < crossingTime: // cancelled before it was sent
			c.crossings++
		default:
			saw := "nothing"
			if len(seen) > 0 {
				saw = fmt.Sprintf("%s at %s", cmp.Or(seen[0].Answer, "no answer"), seen[0].Endpoint)
			}
			c.mismatchf("a pass to %s ended %s, and the servers saw %s", attempt.server, cmp.Or(attempt.outcome, "not at all"), saw)
			return c.mismatches
		}
	}
	for _, attempt := range seen {
		c.mismatchf("%s saw a pass that the answer has not (%s)", attempt.Endpoint, cmp.Or(attempt.Answer, "no answer"))
	}
	c.checkAnswer()
	return c.mismatches
}

// agrees reports whether an attempt ended as its server saw it.
func (c *checker) agrees(attempt explainedAttempt, event fake.Attempt) bool {
	want := map[string]string{"ok": "up", "error": "error", "full": "busy", "reset": "broken"}
	if event.Answer == want[attempt.outcome] && event.Answer != "" {
		return true
	}
	switch attempt.outcome {
	case "timeout", "cancelled", "":
		if event.Answer == "" {
			return true
		}
		// The answer and the time-out, or the client's leaving, have crossed.
		if attempt.ended.IsZero() || event.AnsweredAt.Sub(attempt.ended).Abs() < crossingTime {
			c.crossings++
			return true
		}
	case "reset", "connect_failed":
		if event.Answer == "" || event.Answer == "up" {
			return c.wasKilledNear(attempt)
		}
	}
	return false
}

// wasKilledNear reports whether a server was killed near the time of an attempt.
func (c *checker) wasKilledNear(attempt explainedAttempt) bool {
	return slices.ContainsFunc(c.kills[attempt.server], func(at time.Time) bool {
		return at.Sub(attempt.began) > -killWindow && at.Sub(attempt.began) < attempt.ended.Sub(attempt.began)+killWindow
	})
}

// checkAnswer compares the final answer with what the client got.
func (c *checker) checkAnswer() {
	explanation, session := c.explanation, c.session
	stood := slices.ContainsFunc(explanation.Events, func(event explain.Event) bool { return event.Kind == "up" })
	last := explanation.Events[len(explanation.Events)-1]
	switch session.Answer {
	case "up":
		if !stood {
			c.mismatchf("the client was up, the answer says %s", explanation.Result)
		}
	case "unavailable":
		if explanation.Result != "unavailable" || (time.Duration(explanation.RetryAfterMS*float64(time.Millisecond))-session.RetryAfter).Abs() >= 2*time.Millisecond {
			c.mismatchf("the client was told unavailable, to come back in %v, the answer says %s, in %v ms", session.RetryAfter, explanation.Result, explanation.RetryAfterMS)
		}
	case "failed":
		if explanation.Result != "failed" {
			c.mismatchf("the client was told that it has failed, the answer says %s", explanation.Result)
		}
	case "none": // it left, or the answer came too late to be read
		if explanation.Result != "client_left" && last.AfterMS < session.TimeLimit.Seconds()*1000-100 {
			c.mismatchf("the client had no answer in %v, the answer says %s after %.0f ms", session.SetupTime, explanation.Result, last.AfterMS)
		}
	}
	if session.Answer != "up" || session.End == "" {
		return
	}
	may := map[string][]string{
		"moved": {"moved", "silent", "ended"}, "broken": {"ended", "silent", "moved"},
		"bye": {"ended", "moved", "silent"}, "left": {"ended", "moved", "silent", "client_left"}, "dropped": {"ended", "moved", "silent", "client_left"},
	}[session.End]
	ended := explanation.ReceivedAt.Add(time.Duration(last.AfterMS * float64(time.Millisecond)))
	if session.End == "moved" && (explanation.Result == "client_left" || explanation.Result == "ended" && strings.Contains(last.Text, "its client ends it")) &&
		ended.Sub(session.At.Add(session.SetupTime+session.EstablishedFor)).Abs() < crossingTime {
		c.crossings++ // it left when it was migrated, which the relay saw before its own end of the session
		return
	}
	if !slices.Contains(may, explanation.Result) {
		c.mismatchf("the client's connection ended %s, the answer says %s", session.End, explanation.Result)
	}
	if session.End == "moved" && explanation.Result == "ended" && !strings.Contains(last.Text, "sends the client away") {
		c.mismatchf("the client was moved, the answer says that %s", last.Text)
	}
}
