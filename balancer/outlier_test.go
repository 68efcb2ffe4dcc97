package balancer

import (
	"testing"
	"time"
)

// Guards against an endpoint that keeps its groups while it is slow but accepts connections.
func TestSlowEndpointLosesWeightRoutesAndConnections(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	id, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	record := relay.balancer.endpoints.find(endpoint)
	before := record.currentWeight(relay.now)
	wantActions(t, relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 90 * ms}))
	relay.advance(time.Second)
	migrated := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 500 * ms}))
	if migrated == 0 || migrated == 20 {
		t.Fatalf("%d of 20 connections migrated, want some but not all", migrated)
	}
	if after := record.currentWeight(relay.now); after >= before {
		t.Errorf("weight of the slow endpoint went from %v to %v, want it lowered", before, after)
	}
	if _, next := relay.connect(7); next == endpoint {
		t.Error("a new request of the group was sent to the slow endpoint")
	}
}

func TestLoadReliefFollowsBacklogAndGrowth(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, delay time.Duration
		min, max      int
	}{
		{"backlog drains in time", 2000 * ms, 1000 * ms, 0, 0},
		{"steady and short", 150 * ms, 150 * ms, 1, 2},
		{"growing", 100 * ms, 800 * ms, 9, 12},
		{"backlog at its limit", 2900 * ms, 2900 * ms, 15, 16},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		id, endpoint := relay.connect(7)
		relay.connectMany(7, 19)
		record := relay.balancer.endpoints.find(endpoint)
		record.delay, record.delayAt = test.before, relay.now
		relay.advance(time.Second)
		n := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay}))
		if n < test.min || n > test.max {
			t.Errorf("%s: %d of 20 connections migrated, want %d to %d", test.name, n, test.min, test.max)
		}
	}
}

// Guards against splitting groups when load is shed: a group on two endpoints costs twice.
func TestLoadReliefMigratesSmallGroupsFirst(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	big, _ := relay.connect(1)
	relay.connectMany(1, 9)
	small, _ := relay.connect(2)
	relay.connectMany(2, 1)
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: readyEndpoints(2)[1:]})
	relay.balancer.migrateConnections(relay.balancer.endpoints.find(1), 3, ReasonLoadRelief)
	if relay.balancer.requests[small] != nil || relay.balancer.endpoints.find(1).connectionsByGroup[2] != 0 {
		t.Error("connections of the small group were not migrated")
	}
	if n := relay.balancer.endpoints.find(1).connectionsByGroup[1]; n != 9 || relay.balancer.requests[big] == nil && n == 10 {
		t.Errorf("%d connections of the large group were kept, want 9", n)
	}
}

// Guards against many relays with one connection each that migrate all connections of a slow endpoint or none.
func TestLoadReliefByManyRelaysKeepsSomeConnections(t *testing.T) {
	migrated := 0
	for seed := range uint64(200) {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		relay.balancer = New(testSettings(), seed)
		relay.handle(EndpointList{Kind: ListCached, Endpoints: readyEndpoints(6)})
		id, endpoint := relay.connect(7)
		record := relay.balancer.endpoints.find(endpoint)
		record.delay, record.delayAt = 600*ms, relay.now
		relay.advance(time.Second)
		migrated += countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 600 * ms}))
	}
	if migrated < 20 || migrated > 70 {
		t.Errorf("%d of 200 relays migrated their connection, want 20 to 70", migrated)
	}
}

// Guards against migrating clients back to slow endpoints when all are slow: they are held until one is no longer slow.
func TestMigratedClientsAreHeldWhileAllEndpointsAreSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	established, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	migrated := countActions[Migrate](relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second}))
	if migrated < 5 || migrated > 18 {
		t.Fatalf("%d of 20 connections migrated, want 5 to 18", migrated)
	}
	for range migrated {
		_, actions := relay.request(7)
		wantActions(t, actions)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(2 * time.Second)); n < 2 {
		t.Errorf("%d of %d held requests were sent after the endpoint recovered, want at least 2", n, migrated)
	}
}

// Guards against setups that keep a slow endpoint slow.
func TestRequestsAreHeldWhileTheSelectedEndpointIsSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	established, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second})
	id, actions := relay.request(7)
	wantActions(t, actions)
	wantActions(t, relay.advance(500*ms))
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: 30 * ms})
	relay.wantSent(relay.advance(holdInterval), id)
	relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second})
	held, _ := relay.request(7)
	for range 4 { // repeated delay reports must not postpone the answer
		relay.advance(475 * ms)
		relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second})
	}
	relay.advance(100 * ms)
	if countActions[Reject](relay.actions) != 1 || relay.balancer.requests[held] != nil {
		t.Errorf("the held request was not answered at its deadline; actions are %v", relay.actions)
	}
}

// Guards against more attempts at an endpoint that rejects setups because it is full.
func TestRequestsAreHeldWhileTheEndpointIsFull(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	id, actions := relay.request(7)
	relay.fail(id, relay.wantSent(actions, id), StatusFull)
	_, actions = relay.request(8)
	wantActions(t, actions)
	relay.advance(1500 * ms)
	if n := countActions[SendAttempt](relay.actions); n != 1 {
		t.Errorf("%d attempts at the full endpoint, want 1", n)
	}
}

// Guards against held requests that all arrive at once when an endpoint is no longer slow.
func TestRecoveryLimitsSetupsAfterSlowness(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 2
	relay := newTestRelay(t, settings, readyEndpoints(1)...)
	established, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second})
	for range 20 {
		relay.request(7)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(time.Second)); n < 2 || n > 3 {
		t.Errorf("%d requests were sent within a second of recovery, want one per %v", n, 2*recoveryInterval)
	}
	relay.advance(recoveryDuration)
	sent := 0
	for range 10 {
		_, actions := relay.request(8)
		sent += countActions[SendAttempt](actions)
	}
	if sent != 10 {
		t.Errorf("%d of 10 requests were sent after the recovery", sent)
	}
}
