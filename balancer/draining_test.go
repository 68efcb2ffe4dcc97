package balancer

import (
	"slices"
	"testing"
	"time"
)

// Neither first attempts, cached routes nor retries go to an endpoint that drains or is gone.
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
		for key := range uint64(20) { // some are held for their backoff when the list is updated
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
				t.Errorf("%s: request %d sent to it", name, attempt.Request)
			}
		}
	}
}

// Clients have to migrate before their endpoint stops, but not all at once.
func TestDrainingMigratesConnectionsInSteps(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	for i := range 20 {
		relay.lastID++
		relay.handle(Resumed{Request: Request{ID: relay.lastID, Group: uint64(i + 1)}, Endpoint: 1})
	}
	listed := Endpoint{ID: 1, State: StateDraining, Size: 1}
	first := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
	if first == 0 || first > 5 {
		t.Errorf("%d of 20 connections migrated at once", first)
	}
	if again := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})); again != 0 {
		t.Errorf("%d more migrated as the list was repeated", again)
	}
	if countActions[Migrate](relay.advance(4*time.Second)) != 20-first || len(relay.balancer.drainTimers) != 0 {
		t.Errorf("%d connections are left at an endpoint that drains", 20-countActions[Migrate](relay.actions))
	}
}

// Eighty relays with a connection each must not all migrate it in the instant of the update of the list.
func TestManyRelaysMigrateFromADrainingEndpointInTime(t *testing.T) {
	settings := testSettings()
	settings.Relays = 80
	relays := newTestRelays(t, settings, readyEndpoints(3)...)
	for _, relay := range relays {
		relay.handle(Resumed{Request: Request{ID: 1, Group: 5}, Endpoint: 1})
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Size: 1}}})
	}
	moved := 0
	for at := 250 * ms; at <= 4250*ms; at += 250 * ms {
		n := 0
		for _, relay := range relays {
			n += countActions[Migrate](relay.advance(250 * ms))
		}
		if moved += n; n > 24 || at < 2*time.Second && n > 0 {
			t.Errorf("%d migrate in the 250 ms before %v", n, at)
		}
	}
	if moved != settings.Relays {
		t.Errorf("%d of %d have migrated after 4.25 s", moved, settings.Relays)
	}
}

// An endpoint that redirects a client drains, though the list says so seconds later. Clients placed there
// meanwhile would be redirected again at once.
func TestRedirectingEndpointGetsNoNewRequests(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	id, endpoint := relay.connect(7)
	relay.connect(7)
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusRedirected, Final: true})
	for key := range uint64(30) {
		if _, next := relay.connect(key + 1); next == endpoint {
			t.Fatalf("group %d is sent to the endpoint that redirects its clients", key+1)
		}
	}
	listed := readyEndpoints(2)[endpoint-1]
	listed.StartedAt = relay.now - testSettings().SlowStartDuration // it has restarted, and is warm
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})
	back := 0
	for key := range uint64(60) {
		if _, next := relay.connect(key + 100); next == endpoint {
			back++
		}
	}
	if back == 0 {
		t.Error("nothing is sent to the endpoint after its restart")
	}
}
