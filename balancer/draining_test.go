package balancer

import (
	"slices"
	"testing"
	"time"
)

// Guards against attempts at a draining or gone endpoint, by cached routes as well as by draws and retries.
func TestNoAttemptGoesToADrainingOrGoneEndpoint(t *testing.T) {
	for name, list := range map[string]EndpointList{
		"draining":   {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Size: 1}}},
		"gone":       {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateGone}}},
		"left out":   {Kind: ListFull, Endpoints: readyEndpoints(2)[1:]},
		"cached out": {Kind: ListCached, Endpoints: readyEndpoints(2)[1:]},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
		relay.connect(7)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: readyEndpoints(2)[1:]})
		var ids []RequestID
		for key := range uint64(20) { // held for their backoff when the list is updated
			id, actions := relay.request(key + 7)
			ids = append(ids, id)
			relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed)
		}
		relay.handle(list)
		for range 20 {
			relay.request(7)
		}
		relay.advance(time.Second)
		for _, action := range relay.actions[slices.IndexFunc(relay.actions, func(action Action) bool {
			attempt, ok := action.(SendAttempt)
			return ok && attempt.Request > ids[len(ids)-1]
		}):] {
			if attempt, ok := action.(SendAttempt); ok && attempt.Endpoint == 1 {
				t.Errorf("endpoint 1 is %s: request %d was sent to it", name, attempt.Request)
			}
		}
	}
}

// Guards against clients that are cut off when their endpoint stops, and against migrating all of them at once.
func TestDrainingMigratesConnectionsInSteps(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	for i := range 20 {
		relay.lastID++
		relay.handle(Resumed{Request: Request{ID: relay.lastID, Group: uint64(i + 1)}, Endpoint: 1})
	}
	listed := Endpoint{ID: 1, State: StateDraining, Size: 1}
	first := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
	if first == 0 || first > 5 {
		t.Errorf("%d of 20 connections migrated in the first step, want 1 to 5", first)
	}
	if again := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})); again != 0 {
		t.Errorf("%d connections migrated because the list entry was repeated, want 0", again)
	}
	if countActions[Migrate](relay.advance(4*time.Second)) != 20-first || len(relay.balancer.drainTimers) != 0 {
		t.Errorf("%d connections are left at the draining endpoint after 4 s and %d timers are set for it, want none",
			20-countActions[Migrate](relay.actions), len(relay.balancer.drainTimers))
	}
}

// Guards against many relays that all migrate their connections at the moment of the list update.
func TestManyRelaysMigrateFromADrainingEndpointInTime(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 80
	relays := newTestRelays(t, settings, readyEndpoints(3)...)
	for _, relay := range relays {
		relay.handle(Resumed{Request: Request{ID: 1, Group: 5}, Endpoint: 1})
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Size: 1}}})
	}
	migrated := 0
	for at := 250 * ms; at <= 4250*ms; at += 250 * ms {
		inStep := 0
		for _, relay := range relays {
			inStep += countActions[Migrate](relay.advance(250 * ms))
		}
		if migrated += inStep; inStep > 24 || at < 2*time.Second && inStep > 0 {
			t.Errorf("%d connections migrated in the 250 ms before %v, want at most 24 and none before 2 s", inStep, at)
		}
	}
	if migrated != settings.RelayCount {
		t.Errorf("%d of %d connections migrated within 4.25 s", migrated, settings.RelayCount)
	}
}

// Guards against sending clients back to an endpoint that redirects them, before the list marks it as draining.
func TestRedirectingEndpointGetsNoNewRequests(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	id, endpoint := relay.connect(7)
	relay.connect(7)
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusRedirected, Final: true})
	for key := range uint64(30) {
		if _, next := relay.connect(key + 1); next == endpoint {
			t.Fatalf("group %d was sent to the endpoint that redirects its clients", key+1)
		}
	}
	listed := readyEndpoints(2)[endpoint-1]
	listed.StartedAt = relay.now - testSettings().SlowStartDuration // it has restarted and is warm
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})
	sent := 0
	for key := range uint64(60) {
		if _, next := relay.connect(key + 100); next == endpoint {
			sent++
		}
	}
	if sent == 0 {
		t.Error("no request was sent to the endpoint after its restart")
	}
}
