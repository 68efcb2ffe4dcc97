package balancer

import (
	"testing"
	"time"
)

// A crowd comes back to relays that have just started, with no list but the one of their start, while one server in
// eight answers nothing and a session store that all share has set-ups take 400 ms. Whoever sees that late still
// serves every class: 400 ms are within each one's time. The class of the least time had its first attempt given up
// after half of 600 ms, and no time for a second: it was served to nobody.
func TestEveryClassOfAHerdIsServed(t *testing.T) {
	const (
		took    = 400 * ms
		relays  = 40
		servers = 24
		rounds  = 8 // requests of each relay, one a second
	)
	s := testSettings()
	s.Relays, s.MaxAttempts = relays, 5
	s.Classes = []Class{
		{Name: "patient", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 100 * ms},
		{Name: "short of time", LatencyObjective: 500 * ms, Deadline: 600 * ms, MessageLatencyObjective: 60 * ms},
		{Name: "once", LatencyObjective: 500 * ms, Deadline: 700 * ms, MessageLatencyObjective: 60 * ms, Effect: AtMostOnce},
	}
	asked, served := make([]int, len(s.Classes)), make([]int, len(s.Classes))
	for i, r := range fleetOf(t, s, ready(servers)...) {
		for round := range rounds {
			class := (i + round) % len(s.Classes)
			asked[class]++
			left := s.Classes[class].Deadline
			id, began := RequestID(round+1), r.now
			done := r.do(Request{ID: id, Group: uint64(i*rounds + round + 1), Class: class, TimeLeft: left})
			for len(done) > 0 {
				send, ok := done[0].(SendAttempt)
				if !ok {
					break // refused or failed
				}
				wait := took
				up := send.Endpoint%8 != 0 && send.Timeout >= took
				if !up {
					wait = send.Timeout
				}
				r.now += wait // its own timers come later: the outcome is there first
				if up {
					r.do(Established{Request: id, Endpoint: send.Endpoint, SetupTime: took})
					served[class]++
					break
				}
				done = r.do(Outcome{Request: id, Endpoint: send.Endpoint, Status: StatusTimeout})
				for len(done) == 0 && r.now < began+left {
					done = r.pass(ms)
				}
			}
			if late := r.now - began; late > left+s.MinTick {
				t.Errorf("relay %d answers after %v of %v", i, late, left)
			}
			r.pass(max(0, began+time.Second-r.now))
		}
	}
	for class, c := range s.Classes {
		if 2*served[class] < asked[class] {
			t.Errorf("of class %q %d of %d are served", c.Name, served[class], asked[class])
		}
	}
}

// Where a time-out may not be repeated nothing follows it: the attempt gets all the time there is.
func TestAnAttemptThatMayNotBeRepeatedGetsAllTheTime(t *testing.T) {
	s := testSettings()
	s.Classes[0].Effect = AtMostOnce
	r := newRelay(t, s, ready(3)...)
	_, done := r.ask(1)
	if send, ok := done[0].(SendAttempt); !ok || send.Timeout < 1900*ms {
		t.Errorf("of 2 s the attempt gets %v", done)
	}
}

// What is known of set-ups grows with one that is slow or cut off, halves with each quick one, and passes.
func TestSetUpsAreKnownForAWhile(t *testing.T) {
	var u setups
	u.cutOff(1, 300*ms, time.Hour)
	u.cutOff(1, 300*ms, time.Hour)
	if got := u.usual(time.Hour); got != 0 {
		t.Errorf("one server hangs, and it is %v", got)
	}
	u.cutOff(2, 200*ms, time.Hour)
	u.stood(20*ms, time.Hour)
	if got := u.usual(time.Hour); got != 160*ms {
		t.Errorf("after two servers cut off at 300 ms and a set-up of 20 ms it is %v", got)
	}
	u.stood(400*ms, time.Hour)
	if got := u.usual(time.Hour); got != 400*ms {
		t.Errorf("after one of 400 ms it is %v", got)
	}
	if got := u.usual(time.Hour + setupLife); got != 0 {
		t.Errorf("half a minute later it is %v", got)
	}
}
