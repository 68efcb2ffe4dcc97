package balancer

import (
	"testing"
	"time"
)

// An endpoint that slows but accepts must not keep its groups.
func TestSlowEndpointLosesWeightRoutesAndConnections(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	id, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	state := relay.balancer.endpoints.find(endpoint)
	before := state.currentWeight(relay.now)
	wantActions(t, relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 90 * ms}))
	relay.advance(time.Second)
	moved := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 500 * ms}))
	if moved == 0 || moved == 20 {
		t.Fatalf("%d of 20 connections migrated, want some of them", moved)
	}
	if after := state.currentWeight(relay.now); after >= before {
		t.Errorf("weight went from %v to %v", before, after)
	}
	if _, next := relay.connect(7); next == endpoint {
		t.Error("the group still grows on the slow endpoint")
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
		state := relay.balancer.endpoints.find(endpoint)
		state.delay, state.delayAt = test.before, relay.now
		relay.advance(time.Second)
		n := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay}))
		if n < test.min || n > test.max {
			t.Errorf("%s: %d of 20 migrated, want %d to %d", test.name, n, test.min, test.max)
		}
	}
}

// A group on two endpoints is paid for by both.
func TestLoadReliefMigratesSmallGroupsFirst(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	big, _ := relay.connect(1)
	relay.connectMany(1, 9)
	small, _ := relay.connect(2)
	relay.connectMany(2, 1)
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: readyEndpoints(2)[1:]})
	relay.balancer.migrateConnections(relay.balancer.endpoints.find(1), 3, ReasonLoadRelief)
	if relay.balancer.requests[small] != nil || relay.balancer.endpoints.find(1).connectionsByGroup[2] != 0 {
		t.Error("the small group stayed")
	}
	if n := relay.balancer.endpoints.find(1).connectionsByGroup[1]; n != 9 || relay.balancer.requests[big] == nil && n == 10 {
		t.Errorf("%d of the large group stayed, want 9", n)
	}
}

// Many relays with one connection each must neither empty a slow endpoint nor leave it as it is.
func TestLoadReliefByManyRelaysKeepsSomeConnections(t *testing.T) {
	moved := 0
	for seed := range uint64(200) {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		relay.balancer = New(testSettings(), seed)
		relay.handle(EndpointList{Kind: ListCached, Endpoints: readyEndpoints(6)})
		id, endpoint := relay.connect(7)
		state := relay.balancer.endpoints.find(endpoint)
		state.delay, state.delayAt = 600*ms, relay.now
		relay.advance(time.Second)
		moved += countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 600 * ms}))
	}
	if moved < 20 || moved > 70 {
		t.Errorf("%d of 200 relays migrated their connection, want about 40", moved)
	}
}

// With all endpoints slow, load is shed: migrated clients are held until an endpoint is no longer slow.
func TestLoadReliefShedsWhenAllEndpointsAreSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	moved := countActions[Migrate](relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second}))
	if moved < 5 || moved > 18 {
		t.Fatalf("%d of 20 migrated", moved)
	}
	for range moved {
		_, actions := relay.request(7)
		wantActions(t, actions)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(2 * time.Second)); n < 2 {
		t.Errorf("%d of %d sent once the endpoint was no longer slow", n, moved)
	}
}

// Set-ups at slow endpoints, and migrations among them, keep them slow.
func TestRequestsAreHeldWhileTheSelectedEndpointIsSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	id, actions := relay.request(7)
	wantActions(t, actions)
	wantActions(t, relay.advance(500*ms))
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 30 * ms})
	relay.wantSent(relay.advance(holdInterval), id)
	relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	late, _ := relay.request(7)
	for range 4 { // delays are reported again and again; the held request is answered all the same
		relay.advance(475 * ms)
		relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	}
	relay.advance(100 * ms)
	if countActions[Reject](relay.actions) != 1 || relay.balancer.requests[late] != nil {
		t.Errorf("the request that was held has no answer: %v", relay.actions)
	}
}

// An endpoint that rejects set-ups quickly would look empty.
func TestRequestsAreHeldWhileTheEndpointIsFull(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	id, actions := relay.request(7)
	relay.fail(id, relay.wantSent(actions, id), StatusFull)
	_, actions = relay.request(8)
	wantActions(t, actions)
	relay.advance(1500 * ms)
	if n := countActions[SendAttempt](relay.actions); n != 1 {
		t.Errorf("%d attempts at an endpoint that was full", n)
	}
}

// Requests that were held for a slow endpoint must not all arrive at once.
func TestRecoveryRampLimitsSetupsAfterSlowness(t *testing.T) {
	settings := testSettings()
	settings.Relays = 2
	relay := newTestRelay(t, settings, readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	for range 20 {
		relay.request(7)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(time.Second)); n < 2 || n > 3 {
		t.Errorf("%d sent within a second, want one in %v", n, 2*recoveryInterval)
	}
	relay.advance(recoveryDuration)
	sent := 0
	for range 10 {
		_, actions := relay.request(8)
		sent += countActions[SendAttempt](actions)
	}
	if sent != 10 {
		t.Errorf("%d of 10 sent long after", sent)
	}
}
