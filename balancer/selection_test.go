package balancer

import (
	"testing"
	"time"
)

func TestRouteCacheKeepsAGroupOnItsEndpoint(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(8)...)
	_, cached := relay.connect(7)
	for range 10 {
		if _, endpoint := relay.connect(7); endpoint != cached {
			t.Fatalf("the group was sent to endpoint %d, then to %d", cached, endpoint)
		}
	}
}

func TestRouteKeyOfARequestWithoutGroupIsItsItem(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(8)...)
	connectItem := func(id RequestID) EndpointID {
		endpoint := relay.wantSent(relay.handle(Request{ID: id, Item: 9, TimeLeft: time.Second}), id)
		relay.handle(Established{Request: id, Endpoint: endpoint})
		return endpoint
	}
	if first, second := connectItem(1), connectItem(2); first != second {
		t.Errorf("requests of one item were sent to endpoints %d and %d", first, second)
	}
}

func TestDrawIsProportionalToWeight(t *testing.T) {
	endpoints := readyEndpoints(2)
	endpoints[0].Size = 3
	relay := newTestRelay(t, testSettings(), endpoints...)
	drawn := 0
	for key := range uint64(4000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}).ID == 1 {
			drawn++
		}
	}
	if drawn < 2850 || drawn > 3150 {
		t.Errorf("the endpoint of three times the size got %d of 4000 draws, want about 3000", drawn)
	}
}

// Guards against relays that draw different endpoints for a group, which then adds its fixed cost to each of them.
func TestRelaysDrawTheSameEndpointForAGroup(t *testing.T) {
	first, second := New(testSettings(), 1), New(testSettings(), 2)
	for _, balancer := range []*Balancer{first, second} {
		balancer.Handle(0, EndpointList{Kind: ListCached, Endpoints: readyEndpoints(12)})
	}
	for key := uint64(1); key < 100; key++ {
		request := &requestRecord{Request: Request{Group: key}}
		if one, other := first.drawEndpoint(request), second.drawEndpoint(request); one.ID != other.ID {
			t.Fatalf("group %d: relays draw endpoints %d and %d", key, one.ID, other.ID)
		}
	}
}

// Guards against relays that send a group to different endpoints when its client switches relays.
func TestRelaysAgreeOnTheEndpointOfAGroup(t *testing.T) {
	first, second := newTestRelay(t, testSettings(), readyEndpoints(6)...), newTestRelay(t, testSettings(), readyEndpoints(6)...)
	_, endpoint := first.connect(7)
	if got := second.wantSent(second.handle(Request{ID: 1, Group: 7, TimeLeft: time.Second}), 1); got != endpoint {
		t.Errorf("one relay connected the group to endpoint %d, another sent it to %d", endpoint, got)
	}
}

// Guards against a draw that ignores the load of established connections.
func TestDrawAvoidsLoadedEndpoints(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	endpoint := relay.connectMany(7, 30)
	drawn := 0
	for key := range uint64(1000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 100}}).ID == endpoint {
			drawn++
		}
	}
	if drawn > 50 {
		t.Errorf("the loaded endpoint of four got %d of 1000 draws, want at most 50", drawn)
	}
}

func TestLocalZoneIsPreferredIfCrossingZonesHasACost(t *testing.T) {
	for _, test := range []struct {
		cost     float64
		min, max int
	}{{0, 400, 600}, {0.06, 700, 900}} {
		settings := testSettings()
		settings.CrossZoneCost = test.cost
		endpoints := readyEndpoints(2)
		endpoints[1].Zone = 1
		relay := newTestRelay(t, settings, endpoints...)
		drawn := 0
		for key := range uint64(1000) {
			if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}).ID == 1 {
				drawn++
			}
		}
		if drawn < test.min || drawn > test.max {
			t.Errorf("cost %v: the local zone got %d of 1000 draws, want %d to %d", test.cost, drawn, test.min, test.max)
		}
	}
}

// Guards against splitting each group among zones when many relays in different zones prefer their own.
func TestLocalZonePreferenceOfManyRelaysDoesNotSplitGroups(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.03
	endpoints := readyEndpoints(12)
	for i := range endpoints {
		endpoints[i].Zone = i % 4
	}
	endpointsPerGroup := func(relays int) (mean float64) {
		const groups = 50
		for group := range uint64(groups) {
			used := map[EndpointID]bool{}
			for settings.Zone = range 4 {
				settings.RelayCount = relays
				relay := newTestRelay(t, settings, endpoints...)
				_, endpoint := relay.connect(1 + group)
				used[endpoint] = true
			}
			mean += float64(len(used)) / groups
		}
		return mean
	}
	if few, many := endpointsPerGroup(4), endpointsPerGroup(80); few < 2 || many > 1.5 {
		t.Errorf("a group uses %.2f endpoints with 4 relays and %.2f with 80, want at least 2 and at most 1.5", few, many)
	}
}

// Guards against holding a group for its slow cached endpoint while other endpoints are free.
func TestGroupOfASlowEndpointIsRedrawn(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	_, endpoint := relay.connect(7)
	record := relay.balancer.endpoints.find(endpoint)
	record.lastSlowAt, record.delayAt = relay.now, relay.now
	record.cutWeight(0, relay.now)
	id, actions := relay.request(7)
	if next := relay.wantSent(actions, id); next == endpoint {
		t.Error("the group was sent to its slow cached endpoint")
	}
}

// Guards against a group that fills its endpoint until messages there are slow.
func TestGroupIsRedrawnBeforeItsEndpointIsSlow(t *testing.T) {
	for _, test := range []struct {
		delay   time.Duration
		redrawn bool
	}{{40 * ms, false}, {80 * ms, true}} {
		redrawn := 0
		for key := range uint64(20) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			id, endpoint := relay.connect(key + 1)
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay})
			if _, next := relay.connect(key + 1); next != endpoint {
				redrawn++
			}
		}
		if got := redrawn > 10; got != test.redrawn {
			t.Errorf("delay %v with an objective of 100 ms: %d of 20 groups were redrawn, want more than 10: %v", test.delay, redrawn, test.redrawn)
		}
	}
}

// Guards against overloading the remaining endpoints while many are slow, and against holding requests for a slow
// endpoint while others are free.
func TestDrawAvoidsSlowEndpointsOnlyWhileFewAreSlow(t *testing.T) {
	for name, test := range map[string]struct{ slow, min, max int }{
		"one of six":   {1, 0, 0},
		"three of six": {3, 10, 40},
	} {
		drawn := 0
		for key := range uint64(40) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			for other := range uint64(60) {
				relay.connect(other + 100)
			}
			id, endpoint := relay.connect(key + 1)
			record := relay.balancer.endpoints.find(endpoint)
			record.delay, record.delayAt = 400*ms, relay.now
			relay.advance(time.Second)
			for i := range EndpointID(test.slow - 1) {
				relay.handle(EndpointDelay{Endpoint: (endpoint+i)%6 + 1, Delay: 150 * ms})
			}
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 150 * ms})
			if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}) == record {
				drawn++
			}
		}
		if drawn < test.min || drawn > test.max {
			t.Errorf("%s endpoints slow: %d of 40 groups drew their slow endpoint, want %d to %d", name, drawn, test.min, test.max)
		}
	}
}
