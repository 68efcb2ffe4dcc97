package balancer

import (
	"testing"
	"time"
)

// Guards against attempt timeouts of half the deadline when a shared cause makes setups slower than that: the class
// with a deadline of 600 ms would not be served, although setups take 400 ms.
func TestEveryClassIsServedWhenSetupsAreSlow(t *testing.T) {
	const (
		setupTime = 400 * ms
		relays    = 40
		endpoints = 24
		rounds    = 8 // requests of each relay, one per second
	)
	settings := testSettings()
	settings.RelayCount, settings.MaxAttempts = relays, 5
	settings.Classes = []Class{
		{Name: "long deadline", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 100 * ms},
		{Name: "short deadline", LatencyObjective: 500 * ms, Deadline: 600 * ms, MessageLatencyObjective: 60 * ms},
		{Name: "at most once", LatencyObjective: 500 * ms, Deadline: 700 * ms, MessageLatencyObjective: 60 * ms, Semantics: AtMostOnce},
	}
	sent, served := make([]int, len(settings.Classes)), make([]int, len(settings.Classes))
	for i, relay := range newTestRelays(t, settings, readyEndpoints(endpoints)...) {
		for round := range rounds {
			class := (i + round) % len(settings.Classes)
			sent[class]++
			deadline := settings.Classes[class].Deadline
			id, arrivedAt := RequestID(round+1), relay.now
			actions := relay.handle(Request{ID: id, Group: uint64(i*rounds + round + 1), Class: class, TimeLeft: deadline})
			for len(actions) > 0 {
				attempt, ok := actions[0].(SendAttempt)
				if !ok {
					break // rejected or failed
				}
				wait := setupTime
				established := attempt.Endpoint%8 != 0 && attempt.Timeout >= setupTime
				if !established {
					wait = attempt.Timeout
				}
				relay.now += wait // the outcome is handled before timers that are due
				if established {
					relay.handle(Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: setupTime})
					served[class]++
					break
				}
				actions = relay.handle(Outcome{Request: id, Endpoint: attempt.Endpoint, Status: StatusTimeout})
				for len(actions) == 0 && relay.now < arrivedAt+deadline {
					actions = relay.advance(ms)
				}
			}
			if elapsed := relay.now - arrivedAt; elapsed > deadline+settings.ClockResolution {
				t.Errorf("relay %d answered request %d after %v, deadline is %v", i, id, elapsed, deadline)
			}
			relay.advance(max(0, arrivedAt+time.Second-relay.now))
		}
	}
	for i, class := range settings.Classes {
		if 2*served[i] < sent[i] {
			t.Errorf("%d of %d requests of class %q were served, want at least half", served[i], sent[i], class.Name)
		}
	}
}

// Guards against reserving time for a retry that is not allowed.
func TestNonRepeatableAttemptGetsTheWholeDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Semantics = AtMostOnce
	relay := newTestRelay(t, settings, readyEndpoints(3)...)
	_, actions := relay.request(1)
	if attempt, ok := actions[0].(SendAttempt); !ok || attempt.Timeout < 1900*ms {
		t.Errorf("got actions %v, want an attempt with a timeout of about 2 s", actions)
	}
}

// Guards against an estimate that follows one hung endpoint, misses slow setups or stays high after them.
func TestSetupTimeEstimateGrowsHalvesAndExpires(t *testing.T) {
	var estimate setupTimeEstimate
	estimate.observeTimeout(1, 300*ms, time.Hour)
	estimate.observeTimeout(1, 300*ms, time.Hour)
	if got := estimate.current(time.Hour); got != 0 {
		t.Errorf("estimate after timeouts at one endpoint is %v, want 0", got)
	}
	estimate.observeTimeout(2, 200*ms, time.Hour)
	estimate.observeEstablished(20*ms, time.Hour)
	if got := estimate.current(time.Hour); got != 160*ms {
		t.Errorf("estimate after timeouts at two endpoints and a setup of 20 ms is %v, want 160ms", got)
	}
	estimate.observeEstablished(400*ms, time.Hour)
	if got := estimate.current(time.Hour); got != 400*ms {
		t.Errorf("estimate after a setup of 400 ms is %v, want 400ms", got)
	}
	if got := estimate.current(time.Hour + setupTimeValidity); got != 0 {
		t.Errorf("expired estimate is %v, want 0", got)
	}
}
