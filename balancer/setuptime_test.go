package balancer

import (
	"testing"
	"time"
)

// A crowd comes back to relays that have just started, with no list but the one of their start, while one server in
// eight answers nothing and a session store that all share has set-ups take 400 ms. Whoever sees that late still
// serves every class: 400 ms are within each one's time. The class of the least time had its first attempt given up
// after half of 600 ms, and no time for a second: it was served to nobody.
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
		{Name: "once", LatencyObjective: 500 * ms, Deadline: 700 * ms, MessageLatencyObjective: 60 * ms, Effect: AtMostOnce},
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
					break // refused or failed
				}
				wait := took
				up := send.Endpoint%8 != 0 && send.Timeout >= took
				if !up {
					wait = send.Timeout
				}
				relay.now += wait // its own timers come later: the outcome is there first
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
				t.Errorf("relay %d answers after %v of %v", i, late, left)
			}
			relay.advance(max(0, began+time.Second-relay.now))
		}
	}
	for class, c := range settings.Classes {
		if 2*served[class] < asked[class] {
			t.Errorf("of class %q %d of %d are served", c.Name, served[class], asked[class])
		}
	}
}

// Where a time-out may not be repeated nothing follows it: the attempt gets all the time there is.
func TestNonRepeatableAttemptGetsTheWholeDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Effect = AtMostOnce
	relay := newTestRelay(t, settings, readyEndpoints(3)...)
	_, actions := relay.request(1)
	if send, ok := actions[0].(SendAttempt); !ok || send.Timeout < 1900*ms {
		t.Errorf("of 2 s the attempt gets %v", actions)
	}
}

// What is known of set-ups grows with one that is slow or cut off, halves with each quick one, and passes.
func TestSetupTimeEstimateGrowsHalvesAndExpires(t *testing.T) {
	var u setupTimeEstimate
	u.observeTimeout(1, 300*ms, time.Hour)
	u.observeTimeout(1, 300*ms, time.Hour)
	if got := u.current(time.Hour); got != 0 {
		t.Errorf("one server hangs, and it is %v", got)
	}
	u.observeTimeout(2, 200*ms, time.Hour)
	u.observeEstablished(20*ms, time.Hour)
	if got := u.current(time.Hour); got != 160*ms {
		t.Errorf("after two servers cut off at 300 ms and a set-up of 20 ms it is %v", got)
	}
	u.observeEstablished(400*ms, time.Hour)
	if got := u.current(time.Hour); got != 400*ms {
		t.Errorf("after one of 400 ms it is %v", got)
	}
	if got := u.current(time.Hour + setupTimeValidity); got != 0 {
		t.Errorf("half a minute later it is %v", got)
	}
}
