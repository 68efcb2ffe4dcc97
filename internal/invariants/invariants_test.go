package invariants

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lockroad/internal/fake"
)

const ms = time.Millisecond

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return noon.Add(after) }

// validHistory is a history that keeps all rules, each by the smallest amount.
func validHistory() History {
	limits := DefaultLimits()
	limits.Capacity = 10
	return History{
		Limits: limits,
		Sessions: []fake.Session{
			{Name: "a", At: at(0), TimeLimit: time.Second, Answer: "up", SetupTime: time.Second + 50*ms, End: "broken", MaxMessageDelay: 1050 * ms},
			{Name: "b", At: at(0), TimeLimit: time.Second, Answer: "unavailable", SetupTime: 10 * ms},
			{Name: "c", At: at(0), Refused: true, Answer: "none", TimeLimit: time.Second},
			{Name: "d", At: at(0), TimeLimit: time.Second, Answer: "up", SetupTime: 10 * ms, End: "moved"},
		},
		Attempts: []fake.Attempt{
			{Name: "a", Endpoint: "s-1", At: at(0), Answer: "busy", AnsweredAt: at(100 * ms), ClosedAt: at(900 * ms)},
			{Name: "a", Endpoint: "s-2", At: at(100 * ms), ClosedAt: at(600 * ms)},
			{Name: "a", Endpoint: "s-3", At: at(600 * ms), Answer: "up", End: "broken", EndedAt: at(5 * time.Second), ClosedAt: at(5 * time.Second), MaxMessageDelay: 1050 * ms},
			{Name: "d", Endpoint: "s-4", At: at(10*time.Second + 550*ms), Answer: "up", End: "gone", ClosedAt: at(12 * time.Second)},
		},
		EndpointChanges: []fake.EndpointChange{{At: at(-time.Second), Endpoint: "s-4", State: "ready"}, {At: at(10 * time.Second), Endpoint: "s-4", State: "draining"}},
	}
}

// Histories that break each rule by the smallest amount.
func TestEachRuleAtItsLimit(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatalf("a valid history breaks %v", found)
	}
	restart := func(history *History, n int, after time.Duration) {
		history.EndpointChanges = append(history.EndpointChanges, fake.EndpointChange{At: at(20 * time.Second), Endpoint: "s-9", State: fake.Killed}, fake.EndpointChange{At: at(30 * time.Second), Endpoint: "s-9", State: "ready"})
		for i := range n {
			came := at(30*time.Second + after + time.Duration(i)*ms)
			history.Attempts = append(history.Attempts, fake.Attempt{Name: fmt.Sprint("cold ", i), Endpoint: "s-9", At: came, ClosedAt: came.Add(ms)})
		}
	}
	for name, c := range map[string]struct {
		change func(*History)
		rule   Rule
	}{
		"late by a microsecond": {func(history *History) { history.Sessions[0].SetupTime += time.Microsecond }, Answered},
		"none": {func(history *History) {
			history.Sessions[1].Answer, history.Sessions[1].SetupTime = "none", time.Second
		}, Answered},
		"a second answer":          {func(history *History) { history.Sessions[1].ExtraAnswers = 1 }, Answered},
		"two out by a microsecond": {func(history *History) { history.Attempts[2].At = at(550*ms - time.Microsecond) }, SequentialAttempts},
		"two out, one for good":    {func(history *History) { history.Attempts[1].ClosedAt = time.Time{} }, SequentialAttempts},
		"to a draining server":     {func(history *History) { history.Attempts[3].At = history.Attempts[3].At.Add(time.Microsecond) }, DrainRespected},
		"to one that is gone": {func(history *History) {
			history.EndpointChanges[1].State = "gone"
			history.Attempts[3].At = at(11 * time.Second)
		}, DrainRespected},
		"cut off":                   {func(history *History) { history.Attempts[2].End = "gone" }, Migrated},
		"held back down":            {func(history *History) { history.Sessions[0].MaxMessageDelay += time.Microsecond }, PromptDelivery},
		"held back up":              {func(history *History) { history.Attempts[2].MaxMessageDelay += time.Microsecond }, PromptDelivery},
		"garbled down":              {func(history *History) { history.Sessions[3].Garbled = 1 }, Intact},
		"garbled up":                {func(history *History) { history.Attempts[3].Garbled = 1 }, Intact},
		"a cold server pushed over": {func(history *History) { restart(history, 22, 0) }, SlowStart},
	} {
		history := validHistory()
		c.change(&history)
		found := Check(history)
		if len(found) != 1 || found[0].Rule != c.rule || !strings.Contains(found[0].String(), string(c.rule)) {
			t.Errorf("%s: found %v, want one breach of %q", name, found, c.rule)
		}
	}
	// What keeps the rules by as little.
	for name, change := range map[string]func(*History){
		"ready again": func(history *History) {
			history.EndpointChanges = append(history.EndpointChanges, fake.EndpointChange{At: at(10540 * ms), Endpoint: "s-4", State: "ready"})
			history.Attempts[3].At = at(11 * time.Second)
		},
		"as much as a cold server bears": func(history *History) { restart(history, 21, 0) },
		"more, once it is warm":          func(history *History) { restart(history, 80, 23*time.Second) },
		"spoiled on purpose": func(history *History) {
			history.Sessions[3].Garbled, history.ClientFaulted = 1, func(session fake.Session) bool { return session.Name == "d" }
		},
		"broken on purpose": func(history *History) {
			history.Attempts[2].End, history.ServerFaulted = "gone", func(attempt fake.Attempt) bool { return attempt.Endpoint == "s-3" }
		},
	} {
		history := validHistory()
		if change(&history); len(Check(history)) > 0 {
			t.Errorf("%s: found %v", name, Check(history))
		}
	}
}
