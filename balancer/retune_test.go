package balancer

import (
	"testing"
	"time"
)

// Other settings hold for what begins from then on; what is under way keeps its class and
// its attempts.
func TestRequestKeepsTheSettingsItBeganUnder(t *testing.T) {
	old := testSettings()
	r := newRelay(t, old, ready(4)...)
	id, done := r.ask(7)
	first := r.sent(done, id)

	next := testSettings()
	next.MaxAttempts = 1
	next.Classes = []Class{{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Effect: AtMostOnce, MessageLatencyObjective: 40 * ms}}
	r.do(SettingsChanged{&next})
	if r.b.aim != 40*ms {
		t.Errorf("the aim of a message is %v", r.b.aim)
	}

	// May be repeated, up to three attempts: as it began.
	r.fail(id, first, StatusReset)
	second := r.sent(r.pass(backoffBase), id)
	r.fail(id, second, StatusReset)
	third := r.sent(r.pass(2*backoffBase), id)
	if done := r.fail(id, third, StatusReset); count[Reject](done) != 1 {
		t.Errorf("after three attempts: %v", done)
	}

	// Must not be repeated, and has one attempt.
	id, done = r.ask(8)
	if done := r.fail(id, r.sent(done, id), StatusReset); count[Fail](done) != 1 {
		t.Errorf("after what may have run: %v", done)
	}
	id, done = r.ask(9)
	if done := r.fail(id, r.sent(done, id), StatusConnectFailed); count[Reject](done) != 1 {
		t.Errorf("after its one attempt: %v", done)
	}

	// One that began under the old settings and comes to its turn after the new ones.
	r.next++
	late := r.do(Request{ID: r.next, Group: 10, TimeLeft: 2 * time.Second, Settings: &old})
	to := r.sent(late, r.next)
	if done := r.fail(r.next, to, StatusReset); count[Fail]([]Action(done)) != 0 {
		t.Errorf("under the old settings it may be repeated: %v", done)
	}
}
