package balancer

import (
	"encoding/json"
	"testing"
	"time"
)

// heir is a relay's next process: it has what the one before has learnt, as JSON brings it,
// and goes on at its clock.
func (r *relay) heir(seed uint64, servers ...Endpoint) *relay {
	r.t.Helper()
	text, err := json.Marshal(r.b.Snapshot())
	if err != nil {
		r.t.Fatal(err)
	}
	var m Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		r.t.Fatal(err)
	}
	n := newRelay(r.t, testSettings())
	n.b, n.now = New(testSettings(), seed), r.now
	n.do(EndpointList{Kind: ListCached, Endpoints: servers})
	n.b.restoreSnapshot(m)
	return n
}

// The next process sends a group where it is, keeps off a slow server, and blames a server
// for what it was blamed for.
func TestNextProcessKnowsWhatWasLearnt(t *testing.T) {
	servers := ready(6)
	r := newRelay(t, testSettings(), servers...)
	_, at := r.open(7)
	id, done := r.ask(8)
	bad := r.sent(done, id)
	r.fail(id, bad, StatusFull)
	r.pass(time.Second)
	n := r.heir(99, servers...)
	if id, done := n.ask(7); n.sent(done, id) != at {
		t.Error("a group's route is forgotten")
	}
	if n.b.salt != r.b.salt {
		t.Error("its turns come by another chance")
	}
	old, fresh := r.b.fleet.find(bad), n.b.fleet.find(bad)
	if fresh.weightAt(n.now) != old.weightAt(r.now) || !fresh.slowAt(n.now) {
		t.Errorf("what a server was blamed for is forgotten: %+v", fresh)
	}
	listed, avoided := n.b.avoided(nil)
	if listed != 6 || len(avoided) != 1 {
		t.Errorf("of %d servers %d are avoided", listed, len(avoided))
	}

	// Of a server that has started again meanwhile nothing is known.
	for i := range servers {
		if servers[i].ID == bad {
			servers[i].StartedAt = r.now
		}
	}
	if n := r.heir(99, servers...); n.b.fleet.find(bad).slowAt(n.now) {
		t.Error("what was learnt before a server's start still counts")
	}
}

// Of the budget for cold servers what one process has spent the next does not spend again,
// and a process whose part is none sends them nothing.
func TestBudgetOfColdServersIsSpentOnce(t *testing.T) {
	cold := func(r *relay) []Endpoint { return []Endpoint{{ID: 1, State: StateReady, Weight: 1, StartedAt: r.now}} }
	r := newRelay(t, testSettings())
	servers := cold(r)
	r.do(EndpointList{Kind: ListFull, Endpoints: servers})
	sent := func(r *relay, until time.Duration) (n int) {
		for end := r.now + until; r.now < end; {
			id, done := r.ask(0)
			done = append(done, r.pass(10*ms)...)
			if n += count[SendAttempt](done); count[SendAttempt](done) > 0 {
				r.do(Established{Request: id, Endpoint: 1, SetupTime: ms})
			}
		}
		return n
	}
	var alone, both int
	for alone == 0 { // until its turn comes
		alone = sent(r, 200*ms)
		if r.now > time.Hour+20*time.Second {
			t.Fatal("no turn comes")
		}
	}
	n := r.heir(5, servers...)
	n.do(EndpointList{Kind: ListFull, Endpoints: servers})
	alone, both = sent(r, 400*ms), sent(n, 400*ms)
	if both > alone+1 {
		t.Errorf("the next process sends %d where the same one sends %d", both, alone)
	}
	r.b.part = 0
	if n := sent(r, 5*time.Second); n != 0 {
		t.Errorf("without a part of the budget %d were sent", n)
	}
}

// Connections that come to a process with a server that drains are sent away as the rest.
func TestConnectionsTakenUpLeaveADrainingServer(t *testing.T) {
	r := newRelay(t, testSettings(), Endpoint{ID: 1, State: StateDraining, Weight: 1}, Endpoint{ID: 2, State: StateReady, Weight: 1})
	var moved int
	for i := range 10 {
		moved += count[Migrate](r.do(Resumed{Request: Request{ID: RequestID(100 + i), Group: uint64(i)}, Endpoint: 1}))
	}
	if moved += count[Migrate](r.pass(leaveBy)); moved != 10 {
		t.Errorf("of 10 clients %d were sent away", moved)
	}
}
