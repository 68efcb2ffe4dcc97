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

// validHistory returns a history that is exactly at the limit of each rule.
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

// Guards against limits that are off by one: each rule holds at its limit and is violated just beyond it.
func TestCheckAtLimits(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
	addRestart := func(history *History, n int, after time.Duration) {
		history.EndpointChanges = append(history.EndpointChanges, fake.EndpointChange{At: at(20 * time.Second), Endpoint: "s-9", State: fake.Killed}, fake.EndpointChange{At: at(30 * time.Second), Endpoint: "s-9", State: "ready"})
		for i := range n {
			arrival := at(30*time.Second + after + time.Duration(i)*ms)
			history.Attempts = append(history.Attempts, fake.Attempt{Name: fmt.Sprint("cold ", i), Endpoint: "s-9", At: arrival, ClosedAt: arrival.Add(ms)})
		}
	}
	for name, test := range map[string]struct {
		change func(*History)
		rule   Rule
	}{
		"answer a microsecond late": {func(history *History) { history.Sessions[0].SetupTime += time.Microsecond }, Answered},
		"no answer": {func(history *History) {
			history.Sessions[1].Answer, history.Sessions[1].SetupTime = "none", time.Second
		}, Answered},
		"data after the answer":             {func(history *History) { history.Sessions[1].ExtraAnswers = 1 }, Answered},
		"attempts overlap by a microsecond": {func(history *History) { history.Attempts[2].At = at(550*ms - time.Microsecond) }, SequentialAttempts},
		"attempt that never ends":           {func(history *History) { history.Attempts[1].ClosedAt = time.Time{} }, SequentialAttempts},
		"attempt to a draining server":      {func(history *History) { history.Attempts[3].At = history.Attempts[3].At.Add(time.Microsecond) }, DrainRespected},
		"attempt to a gone server": {func(history *History) {
			history.EndpointChanges[1].State = "gone"
			history.Attempts[3].At = at(11 * time.Second)
		}, DrainRespected},
		"session cut off":            {func(history *History) { history.Attempts[2].End = "gone" }, Migrated},
		"message to client delayed":  {func(history *History) { history.Sessions[0].MaxMessageDelay += time.Microsecond }, PromptDelivery},
		"message to server delayed":  {func(history *History) { history.Attempts[2].MaxMessageDelay += time.Microsecond }, PromptDelivery},
		"message to client altered":  {func(history *History) { history.Sessions[3].Garbled = 1 }, Intact},
		"message to server altered":  {func(history *History) { history.Attempts[3].Garbled = 1 }, Intact},
		"overload during slow start": {func(history *History) { addRestart(history, 22, 0) }, SlowStart},
	} {
		history := validHistory()
		test.change(&history)
		found := Check(history)
		if len(found) != 1 || found[0].Rule != test.rule || !strings.Contains(found[0].String(), string(test.rule)) {
			t.Errorf("%s: found %v, want one violation of %q", name, found, test.rule)
		}
	}
	// Histories just within the limits.
	for name, change := range map[string]func(*History){
		"server ready again": func(history *History) {
			history.EndpointChanges = append(history.EndpointChanges, fake.EndpointChange{At: at(10540 * ms), Endpoint: "s-4", State: "ready"})
			history.Attempts[3].At = at(11 * time.Second)
		},
		"most set-ups during slow start": func(history *History) { addRestart(history, 21, 0) },
		"more set-ups after slow start":  func(history *History) { addRestart(history, 80, 23*time.Second) },
		"fault injected at the client": func(history *History) {
			history.Sessions[3].Garbled, history.ClientFaulted = 1, func(session fake.Session) bool { return session.Name == "d" }
		},
		"fault injected at the server": func(history *History) {
			history.Attempts[2].End, history.ServerFaulted = "gone", func(attempt fake.Attempt) bool { return attempt.Endpoint == "s-3" }
		},
	} {
		history := validHistory()
		if change(&history); len(Check(history)) > 0 {
			t.Errorf("%s: found %v, want no violation", name, Check(history))
		}
	}
}
