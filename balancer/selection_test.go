package balancer

import (
	"testing"
	"time"
)

func TestRouteCacheKeepsAGroupOnItsEndpoint(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(8)...)
	_, home := relay.connect(7)
	for range 10 {
		if _, endpoint := relay.connect(7); endpoint != home {
			t.Fatalf("the group was sent to %d, then to %d", home, endpoint)
		}
	}
}

func TestRouteKeyIsTheItemWithoutAGroup(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(8)...)
	item := func(id RequestID) EndpointID {
		endpoint := relay.wantSent(relay.handle(Request{ID: id, Item: 9, TimeLeft: time.Second}), id)
		relay.handle(Established{Request: id, Endpoint: endpoint})
		return endpoint
	}
	if a, b := item(1), item(2); a != b {
		t.Errorf("one item was sent to %d and %d", a, b)
	}
}

func TestDrawIsProportionalToWeight(t *testing.T) {
	endpoints := readyEndpoints(2)
	endpoints[0].Size = 3
	relay := newTestRelay(t, testSettings(), endpoints...)
	n := 0
	for key := range uint64(4000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}).ID == 1 {
			n++
		}
	}
	if n < 2850 || n > 3150 {
		t.Errorf("an endpoint of three times the size drew %d of 4000, want about 3000", n)
	}
}

// Relays that share nothing must agree on the endpoint of a group, or several endpoints pay for it.
func TestRelaysDrawTheSameEndpointForAGroup(t *testing.T) {
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	for _, x := range []*Balancer{a, b} {
		x.Handle(0, EndpointList{Kind: ListCached, Endpoints: readyEndpoints(12)})
	}
	for key := uint64(1); key < 100; key++ {
		request := &requestRecord{Request: Request{Group: key}}
		if state, o := a.drawEndpoint(request), b.drawEndpoint(request); state.ID != o.ID {
			t.Fatalf("group %d: drawn to %d and to %d", key, state.ID, o.ID)
		}
	}
}

// The packets of an established connection may reach another relay, as a request of its group.
func TestRelaysAgreeOnTheEndpointOfAGroup(t *testing.T) {
	a, b := newTestRelay(t, testSettings(), readyEndpoints(6)...), newTestRelay(t, testSettings(), readyEndpoints(6)...)
	_, endpoint := a.connect(7)
	if got := b.wantSent(b.handle(Request{ID: 1, Group: 7, TimeLeft: time.Second}), 1); got != endpoint {
		t.Errorf("the connection is established at %d, another relay sent it to %d", endpoint, got)
	}
}

// A draw by set-ups alone would not see the connections that are established.
func TestDrawAvoidsLoadedEndpoints(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	endpoint := relay.connectMany(7, 30)
	n := 0
	for key := range uint64(1000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 100}}).ID == endpoint {
			n++
		}
	}
	if n > 50 {
		t.Errorf("the one loaded endpoint of four drew %d of 1000", n)
	}
}

func TestLocalZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for _, test := range []struct {
		cost     float64
		min, max int
	}{{0, 400, 600}, {0.06, 700, 900}} {
		settings := testSettings()
		settings.CrossZoneCost = test.cost
		endpoints := readyEndpoints(2)
		endpoints[1].Zone = 1
		relay := newTestRelay(t, settings, endpoints...)
		n := 0
		for key := range uint64(1000) {
			if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}).ID == 1 {
				n++
			}
		}
		if n < test.min || n > test.max {
			t.Errorf("cost %v: the local zone drew %d of 1000, want %d to %d", test.cost, n, test.min, test.max)
		}
	}
}

// Many relays of four zones draw nearly alike: a full preference for the local zone would put each group
// on an endpoint in every zone.
func TestLocalZonePreferenceOfManyRelaysDoesNotSplitGroups(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.03
	endpoints := readyEndpoints(12)
	for i := range endpoints {
		endpoints[i].Zone = i % 4
	}
	spread := func(relays int) (mean float64) {
		const groups = 50
		for group := range uint64(groups) {
			used := map[EndpointID]bool{}
			for settings.Zone = range 4 {
				settings.Relays = relays
				relay := newTestRelay(t, settings, endpoints...)
				_, endpoint := relay.connect(1 + group)
				used[endpoint] = true
			}
			mean += float64(len(used)) / groups
		}
		return mean
	}
	if few, many := spread(4), spread(80); few < 2 || many > 1.5 {
		t.Errorf("a group is on %.2f endpoints behind 4 relays, on %.2f behind 80; more than 2 and less than 1.5 are wanted", few, many)
	}
}

// A cached endpoint that is slow must not delay its group while other endpoints are not.
func TestGroupOfASlowEndpointIsRedrawn(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	_, endpoint := relay.connect(7)
	state := relay.balancer.endpoints.find(endpoint)
	state.lastSlowAt, state.delayAt = relay.now, relay.now
	state.cutWeight(0, relay.now)
	id, actions := relay.request(7)
	if next := relay.wantSent(actions, id); next == endpoint {
		t.Error("sent to the slow endpoint")
	}
}

// Delays grow before they miss the objective: a group must not fill its endpoint until that is slow.
func TestGroupIsRedrawnBeforeItsEndpointIsSlow(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		elsewhere bool
	}{{40 * ms, false}, {80 * ms, true}} {
		moved := 0
		for key := range uint64(20) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			id, endpoint := relay.connect(key + 1)
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay})
			if _, next := relay.connect(key + 1); next != endpoint {
				moved++
			}
		}
		if got := moved > 10; got != test.elsewhere {
			t.Errorf("with a delay of %v of 100 ms, %d of 20 groups grew elsewhere", test.delay, moved)
		}
	}
}

// Where many endpoints are slow, requests are held for them: if all moved on, they would overload the
// next endpoint. Where one is slow, holding helps nobody while others are free.
func TestDrawAvoidsSlowEndpointsOnlyWhileFewAreSlow(t *testing.T) {
	for name, c := range map[string]struct{ slow, least, most int }{
		"one of six":   {1, 0, 0},
		"three of six": {3, 10, 40},
	} {
		stay := 0
		for key := range uint64(40) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			for other := range uint64(60) {
				relay.connect(other + 100)
			}
			id, endpoint := relay.connect(key + 1)
			state := relay.balancer.endpoints.find(endpoint)
			state.delay, state.delayAt = 400*ms, relay.now
			relay.advance(time.Second)
			for i := range EndpointID(c.slow - 1) {
				relay.handle(EndpointDelay{Endpoint: (endpoint+i)%6 + 1, Delay: 150 * ms})
			}
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 150 * ms})
			if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}) == state {
				stay++
			}
		}
		if stay < c.least || stay > c.most {
			t.Errorf("%s slow: %d of 40 groups are held for their endpoint, want %d to %d", name, stay, c.least, c.most)
		}
	}
}
