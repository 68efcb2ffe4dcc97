package balancer

import (
	"encoding/json"
	"testing"
	"time"
)

// successor returns the next process of a relay, which restores the relay's snapshot from JSON and continues its
// clock.
func (r *testRelay) successor(seed uint64, endpoints ...Endpoint) *testRelay {
	r.t.Helper()
	text, err := json.Marshal(r.balancer.Snapshot())
	if err != nil {
		r.t.Fatalf("encode the snapshot: %v", err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		r.t.Fatalf("decode the snapshot: %v", err)
	}
	next := newTestRelay(r.t, testSettings())
	next.balancer, next.now = New(testSettings(), seed), r.now
	next.handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	next.balancer.restoreSnapshot(snapshot)
	return next
}

// Guards against a restart of the relay that loses routes, weights and slow endpoints.
func TestRestoreKeepsRoutesWeightsAndSlowEndpoints(t *testing.T) {
	endpoints := readyEndpoints(6)
	relay := newTestRelay(t, testSettings(), endpoints...)
	_, cached := relay.connect(7)
	id, actions := relay.request(8)
	full := relay.wantSent(actions, id)
	relay.fail(id, full, StatusFull)
	relay.advance(time.Second)
	next := relay.successor(99, endpoints...)
	if id, actions := next.request(7); next.wantSent(actions, id) != cached {
		t.Error("the route of a group was not restored")
	}
	if next.balancer.salt != relay.balancer.salt {
		t.Error("the salt was not restored")
	}
	original, restored := relay.balancer.endpoints.find(full), next.balancer.endpoints.find(full)
	if restored.currentWeight(next.now) != original.currentWeight(relay.now) || !restored.isSlow(next.now) {
		t.Errorf("the weight or slowness of an endpoint was not restored: %+v", restored)
	}
	listed, avoided := next.balancer.avoidedEndpoints(nil)
	if listed != 6 || len(avoided) != 1 {
		t.Errorf("%d of %d endpoints are avoided after the restore, want 1 of 6", len(avoided), listed)
	}

	// The state of an endpoint that has restarted since the snapshot must not be restored.
	for i := range endpoints {
		if endpoints[i].ID == full {
			endpoints[i].StartedAt = relay.now
		}
	}
	if next := relay.successor(99, endpoints...); next.balancer.endpoints.find(full).isSlow(next.now) {
		t.Error("the slowness of an endpoint before its restart was restored")
	}
}

// Guards against two processes of a relay that both use its slow-start budget.
func TestSlowStartBudgetIsUsedOnceAcrossProcesses(t *testing.T) {
	warmingUp := func(relay *testRelay) []Endpoint {
		return []Endpoint{{ID: 1, State: StateReady, Size: 1, StartedAt: relay.now}}
	}
	relay := newTestRelay(t, testSettings())
	endpoints := warmingUp(relay)
	relay.handle(EndpointList{Kind: ListFull, Endpoints: endpoints})
	sendRequests := func(relay *testRelay, d time.Duration) (sent int) {
		for end := relay.now + d; relay.now < end; {
			id, actions := relay.request(0)
			actions = append(actions, relay.advance(10*ms)...)
			if sent += countActions[SendAttempt](actions); countActions[SendAttempt](actions) > 0 {
				relay.handle(Established{Request: id, Endpoint: 1, SetupTime: ms})
			}
		}
		return sent
	}
	var fromRelay, fromNext int
	for fromRelay == 0 { // until it has a slot
		fromRelay = sendRequests(relay, 200*ms)
		if relay.now > time.Hour+20*time.Second {
			t.Fatal("the relay has no slot within 20 s")
		}
	}
	next := relay.successor(5, endpoints...)
	next.handle(EndpointList{Kind: ListFull, Endpoints: endpoints})
	fromRelay, fromNext = sendRequests(relay, 400*ms), sendRequests(next, 400*ms)
	if fromNext > fromRelay+1 {
		t.Errorf("the next process sent %d attempts, the previous one sends %d in the same time", fromNext, fromRelay)
	}
	relay.balancer.slowStartShare = 0
	if n := sendRequests(relay, 5*time.Second); n != 0 {
		t.Errorf("%d attempts were sent without a share of the budget, want none", n)
	}
}

// Guards against resumed connections that stay at a draining endpoint.
func TestResumedConnectionsMigrateFromADrainingEndpoint(t *testing.T) {
	relay := newTestRelay(t, testSettings(), Endpoint{ID: 1, State: StateDraining, Size: 1}, Endpoint{ID: 2, State: StateReady, Size: 1})
	var migrated int
	for i := range 10 {
		migrated += countActions[Migrate](relay.handle(Resumed{Request: Request{ID: RequestID(100 + i), Group: uint64(i)}, Endpoint: 1}))
	}
	if migrated += countActions[Migrate](relay.advance(migrationDeadline)); migrated != 10 {
		t.Errorf("%d of 10 connections migrated within %v", migrated, migrationDeadline)
	}
}
