package balancer

import (
	"testing"
	"time"
)

// Many clients return to relays that have just started, with no list but the one of their start, while one endpoint in
// eight is hung and a session store that all share makes set-ups take 400 ms. That is within the deadline of every
// class, so each is served: an attempt timeout of half the deadline would leave the class of 600 ms unserved.
func TestEveryClassIsServedWhenSetupsAreSlow(t *testing.T) {
	const (
		took    = 400 * ms
		relays  = 40
		servers = 24
		rounds  = 8 // requests of each relay, one a second
	)
	settings := testSettings()
	settings.Relays, settings.MaxAttempts = relays, 5
	settings.Classes = []Class{
		{Name: "patient", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 100 * ms},
		{Name: "short of time", LatencyObjective: 500 * ms, Deadline: 600 * ms, MessageLatencyObjective: 60 * ms},
		{Name: "once", LatencyObjective: 500 * ms, Deadline: 700 * ms, MessageLatencyObjective: 60 * ms, Semantics: AtMostOnce},
	}
	asked, served := make([]int, len(settings.Classes)), make([]int, len(settings.Classes))
	for i, relay := range newTestRelays(t, settings, readyEndpoints(servers)...) {
		for round := range rounds {
			class := (i + round) % len(settings.Classes)
			asked[class]++
			left := settings.Classes[class].Deadline
			id, began := RequestID(round+1), relay.now
			actions := relay.handle(Request{ID: id, Group: uint64(i*rounds + round + 1), Class: class, TimeLeft: left})
			for len(actions) > 0 {
				send, ok := actions[0].(SendAttempt)
				if !ok {
					break // rejected or failed
				}
				wait := took
				up := send.Endpoint%8 != 0 && send.Timeout >= took
				if !up {
					wait = send.Timeout
				}
				relay.now += wait // the outcome comes before timers that are due
				if up {
					relay.handle(Established{Request: id, Endpoint: send.Endpoint, SetupTime: took})
					served[class]++
					break
				}
				actions = relay.handle(Outcome{Request: id, Endpoint: send.Endpoint, Status: StatusTimeout})
				for len(actions) == 0 && relay.now < began+left {
					actions = relay.advance(ms)
				}
			}
			if late := relay.now - began; late > left+settings.MinTick {
				t.Errorf("relay %d answered after %v of %v", i, late, left)
			}
			relay.advance(max(0, began+time.Second-relay.now))
		}
	}
	for class, c := range settings.Classes {
		if 2*served[class] < asked[class] {
			t.Errorf("of class %q %d of %d were served", c.Name, served[class], asked[class])
		}
	}
}

// Where a time-out may not be repeated no attempt follows it: the first gets all the time left.
func TestNonRepeatableAttemptGetsTheWholeDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Semantics = AtMostOnce
	relay := newTestRelay(t, settings, readyEndpoints(3)...)
	_, actions := relay.request(1)
	if send, ok := actions[0].(SendAttempt); !ok || send.Timeout < 1900*ms {
		t.Errorf("of 2 s the attempt gets %v", actions)
	}
}

// The estimate grows with a set-up that is slow or times out, halves with each quick one, and expires.
func TestSetupTimeEstimateGrowsHalvesAndExpires(t *testing.T) {
	var u setupTimeEstimate
	u.observeTimeout(1, 300*ms, time.Hour)
	u.observeTimeout(1, 300*ms, time.Hour)
	if got := u.current(time.Hour); got != 0 {
		t.Errorf("one endpoint hangs, and the estimate is %v", got)
	}
	u.observeTimeout(2, 200*ms, time.Hour)
	u.observeEstablished(20*ms, time.Hour)
	if got := u.current(time.Hour); got != 160*ms {
		t.Errorf("after time-outs of 300 ms at two endpoints and a set-up of 20 ms the estimate is %v", got)
	}
	u.observeEstablished(400*ms, time.Hour)
	if got := u.current(time.Hour); got != 400*ms {
		t.Errorf("after one of 400 ms the estimate is %v", got)
	}
	if got := u.current(time.Hour + setupTimeValidity); got != 0 {
		t.Errorf("half a minute later the estimate is %v", got)
	}
}
