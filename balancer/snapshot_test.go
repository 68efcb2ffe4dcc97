package balancer

import (
	"encoding/json"
	"testing"
	"time"
)

// successor is a relay's next process: it restores the snapshot of the one before, decoded from JSON, and
// goes on at its clock.
func (r *testRelay) successor(seed uint64, endpoints ...Endpoint) *testRelay {
	r.t.Helper()
	text, err := json.Marshal(r.balancer.Snapshot())
	if err != nil {
		r.t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		r.t.Fatal(err)
	}
	next := newTestRelay(r.t, testSettings())
	next.balancer, next.now = New(testSettings(), seed), r.now
	next.handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	next.balancer.restoreSnapshot(snapshot)
	return next
}

// The next process sends a group where its connections are, avoids a slow endpoint, and goes on with the
// weights.
func TestRestoreKeepsRoutesWeightsAndSlowEndpoints(t *testing.T) {
	endpoints := readyEndpoints(6)
	relay := newTestRelay(t, testSettings(), endpoints...)
	_, at := relay.connect(7)
	id, actions := relay.request(8)
	bad := relay.wantSent(actions, id)
	relay.fail(id, bad, StatusFull)
	relay.advance(time.Second)
	next := relay.successor(99, endpoints...)
	if id, actions := next.request(7); next.wantSent(actions, id) != at {
		t.Error("a group's route is lost")
	}
	if next.balancer.salt != relay.balancer.salt {
		t.Error("its salt is another")
	}
	old, fresh := relay.balancer.endpoints.find(bad), next.balancer.endpoints.find(bad)
	if fresh.currentWeight(next.now) != old.currentWeight(relay.now) || !fresh.isSlow(next.now) {
		t.Errorf("the weight or slowness of an endpoint is lost: %+v", fresh)
	}
	listed, avoided := next.balancer.avoidedEndpoints(nil)
	if listed != 6 || len(avoided) != 1 {
		t.Errorf("of %d endpoints %d are avoided", listed, len(avoided))
	}

	// Of an endpoint that has restarted meanwhile nothing is restored.
	for i := range endpoints {
		if endpoints[i].ID == bad {
			endpoints[i].StartedAt = relay.now
		}
	}
	if next := relay.successor(99, endpoints...); next.balancer.endpoints.find(bad).isSlow(next.now) {
		t.Error("what was observed before an endpoint's start is restored")
	}
}

// The next process does not spend again what one has spent of the slow-start budget, and a process without
// a share of it sends nothing to endpoints that are warming up.
func TestSlowStartBudgetIsSpentOnceAcrossProcesses(t *testing.T) {
	cold := func(relay *testRelay) []Endpoint {
		return []Endpoint{{ID: 1, State: StateReady, Size: 1, StartedAt: relay.now}}
	}
	relay := newTestRelay(t, testSettings())
	endpoints := cold(relay)
	relay.handle(EndpointList{Kind: ListFull, Endpoints: endpoints})
	sent := func(relay *testRelay, until time.Duration) (n int) {
		for end := relay.now + until; relay.now < end; {
			id, actions := relay.request(0)
			actions = append(actions, relay.advance(10*ms)...)
			if n += countActions[SendAttempt](actions); countActions[SendAttempt](actions) > 0 {
				relay.handle(Established{Request: id, Endpoint: 1, SetupTime: ms})
			}
		}
		return n
	}
	var alone, both int
	for alone == 0 { // until it has a slot
		alone = sent(relay, 200*ms)
		if relay.now > time.Hour+20*time.Second {
			t.Fatal("it never has a slot")
		}
	}
	next := relay.successor(5, endpoints...)
	next.handle(EndpointList{Kind: ListFull, Endpoints: endpoints})
	alone, both = sent(relay, 400*ms), sent(next, 400*ms)
	if both > alone+1 {
		t.Errorf("the next process sends %d where the same one sends %d", both, alone)
	}
	relay.balancer.slowStartShare = 0
	if n := sent(relay, 5*time.Second); n != 0 {
		t.Errorf("without a share of the budget %d were sent", n)
	}
}

// Connections resumed at an endpoint that drains migrate as others do.
func TestResumedConnectionsMigrateFromADrainingEndpoint(t *testing.T) {
	relay := newTestRelay(t, testSettings(), Endpoint{ID: 1, State: StateDraining, Size: 1}, Endpoint{ID: 2, State: StateReady, Size: 1})
	var moved int
	for i := range 10 {
		moved += countActions[Migrate](relay.handle(Resumed{Request: Request{ID: RequestID(100 + i), Group: uint64(i)}, Endpoint: 1}))
	}
	if moved += countActions[Migrate](relay.advance(migrationDeadline)); moved != 10 {
		t.Errorf("of 10 clients %d have migrated", moved)
	}
}
