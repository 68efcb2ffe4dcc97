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

// checker compares the explanation of one request with what its client and servers observed.
type checker struct {
	explanation *explain.Explanation
	session     fake.Session
	attempts    []fake.Attempt
	kills       map[string][]time.Time // times of kills, by server
	races       int                    // differences that a race explains
	mismatches  []string
}

func (c *checker) mismatchf(format string, args ...any) {
	c.mismatches = append(c.mismatches, fmt.Sprintf(format, args...))
}

const (
	raceWindow = 50 * time.Millisecond // two events within this time may be observed in either order
	killWindow = time.Second           // attempts within this time of a kill may end in any way
)

// explainedAttempt is an attempt according to the explanation. outcome is empty and ended zero if it has not ended.
type explainedAttempt struct {
	endpoint, outcome string
	began, ended      time.Time
}

// explainedAttempts returns the attempts in the explanation, in order.
func (c *checker) explainedAttempts() []explainedAttempt {
	var all []explainedAttempt
	for _, event := range c.explanation.Events {
		at := c.explanation.ReceivedAt.Add(time.Duration(event.AfterMS * float64(time.Millisecond)))
		switch event.Kind {
		case "pass":
			all = append(all, explainedAttempt{endpoint: event.Endpoint, began: at})
		case "outcome":
			if n := len(all); n > 0 {
				all[n-1].outcome, all[n-1].ended = event.Outcome, at
			}
		}
	}
	return all
}

// check returns a description of each mismatch.
func (c *checker) check() []string {
	explanation, session := c.explanation, c.session
	if explanation.Class != session.Class || explanation.Frontend != session.Frontend || strings.TrimLeft(explanation.Flow, "0") != strings.TrimLeft(session.Flow, "0") || explanation.Returning != session.Returning {
		c.mismatchf("request: the client has flow %s, class %s, frontend %s, returning %v; the explanation differs", session.Flow, session.Class, session.Frontend, session.Returning)
	}
	if explanation.HeadEvicted {
		return c.mismatches // the first attempts are missing from the explanation
	}
	observed := c.attempts
	for _, attempt := range c.explainedAttempts() {
		if len(observed) > 0 && observed[0].Endpoint == attempt.endpoint && c.agrees(attempt, observed[0]) {
			observed = observed[1:]
			continue
		}
		switch {
		case attempt.outcome == "connect_failed" || attempt.outcome == "moot": // the server received nothing
		case (attempt.outcome == "reset" || attempt.outcome == "cancelled" || attempt.outcome == "timeout") && c.wasKilledNear(attempt):
		case attempt.outcome == "cancelled" && attempt.ended.Sub(attempt.began) < raceWindow: // cancelled before the server received it
			c.races++
		default:
			observation := "no attempt"
			if len(observed) > 0 {
				observation = fmt.Sprintf("%s at %s", cmp.Or(observed[0].Answer, "no answer"), observed[0].Endpoint)
			}
			c.mismatchf("attempt: the explanation has one at %s with outcome %s; the servers observed %s", attempt.endpoint, cmp.Or(attempt.outcome, "none"), observation)
			return c.mismatches
		}
	}
	for _, attempt := range observed {
		c.mismatchf("attempt: %s observed one (%s) that the explanation lacks", attempt.Endpoint, cmp.Or(attempt.Answer, "no answer"))
	}
	c.checkAnswer()
	return c.mismatches
}

// agrees reports whether the explanation of an attempt is consistent with what its server observed.
func (c *checker) agrees(attempt explainedAttempt, observed fake.Attempt) bool {
	answers := map[string]string{"ok": "up", "error": "error", "full": "busy", "reset": "broken"}
	if observed.Answer == answers[attempt.outcome] && observed.Answer != "" {
		return true
	}
	switch attempt.outcome {
	case "timeout", "cancelled", "":
		if observed.Answer == "" {
			return true
		}
		// The server's answer raced with the timeout or the client's disconnect.
		if attempt.ended.IsZero() || observed.AnsweredAt.Sub(attempt.ended).Abs() < raceWindow {
			c.races++
			return true
		}
	case "reset", "connect_failed":
		if observed.Answer == "" || observed.Answer == "up" {
			return c.wasKilledNear(attempt)
		}
	}
	return false
}

// wasKilledNear reports whether an attempt's server was killed during the attempt or within killWindow of it.
func (c *checker) wasKilledNear(attempt explainedAttempt) bool {
	return slices.ContainsFunc(c.kills[attempt.endpoint], func(at time.Time) bool {
		return at.Sub(attempt.began) > -killWindow && at.Sub(attempt.began) < attempt.ended.Sub(attempt.began)+killWindow
	})
}

// checkAnswer compares the result in the explanation with the answer and the end that the client observed.
func (c *checker) checkAnswer() {
	explanation, session := c.explanation, c.session
	established := slices.ContainsFunc(explanation.Events, func(event explain.Event) bool { return event.Kind == "up" })
	last := explanation.Events[len(explanation.Events)-1]
	switch session.Answer {
	case "up":
		if !established {
			c.mismatchf("result: the client's session was established; the explanation has %s", explanation.Result)
		}
	case "unavailable":
		if explanation.Result != "unavailable" || (time.Duration(explanation.RetryAfterMS*float64(time.Millisecond))-session.RetryAfter).Abs() >= 2*time.Millisecond {
			c.mismatchf("result: the client got unavailable, retry after %v; the explanation has %s, retry after %v ms", session.RetryAfter, explanation.Result, explanation.RetryAfterMS)
		}
	case "failed":
		if explanation.Result != "failed" {
			c.mismatchf("result: the client got failed; the explanation has %s", explanation.Result)
		}
	case "none": // the client left, or the answer came after its time limit
		if explanation.Result != "client_left" && last.AfterMS < session.TimeLimit.Seconds()*1000-100 {
			c.mismatchf("result: the client got no answer within %v; the explanation has %s after %.0f ms", session.SetupTime, explanation.Result, last.AfterMS)
		}
	}
	if session.Answer != "up" || session.End == "" {
		return
	}
	allowed := map[string][]string{
		"moved": {"moved", "silent", "ended"}, "broken": {"ended", "silent", "moved"},
		"bye": {"ended", "moved", "silent"}, "left": {"ended", "moved", "silent", "client_left"}, "dropped": {"ended", "moved", "silent", "client_left"},
	}[session.End]
	ended := explanation.ReceivedAt.Add(time.Duration(last.AfterMS * float64(time.Millisecond)))
	if session.End == "moved" && (explanation.Result == "client_left" || explanation.Result == "ended" && strings.Contains(last.Text, "its client ends it")) &&
		ended.Sub(session.At.Add(session.SetupTime+session.EstablishedFor)).Abs() < raceWindow {
		c.races++ // the client left as it was migrated, and the relay saw that before it closed the session
		return
	}
	if !slices.Contains(allowed, explanation.Result) {
		c.mismatchf("end: the client observed %s; the explanation has %s", session.End, explanation.Result)
	}
	if session.End == "moved" && explanation.Result == "ended" && !strings.Contains(last.Text, "sends the client away") {
		c.mismatchf("end: the client was migrated; the explanation has %q", last.Text)
	}
}
