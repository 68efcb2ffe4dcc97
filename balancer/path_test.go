package balancer

import (
	"fmt"
	"testing"
	"time"
)

// setupFailures are the ways in which an attempt fails before it stands.
var setupFailures = []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset}

func TestRouteCacheKeepsAGroupOnItsEndpoint(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(8)...)
	_, home := relay.connect(7)
	for range 10 {
		if _, endpoint := relay.connect(7); endpoint != home {
			t.Fatalf("group went to %d, then to %d", home, endpoint)
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
		t.Errorf("one item went to %d and %d", a, b)
	}
}

func TestEachFailureInvalidatesTheRoute(t *testing.T) {
	for _, status := range setupFailures {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
			_, home := relay.connect(7)
			id, actions := relay.request(7)
			if endpoint := relay.wantSent(actions, id); endpoint != home {
				t.Fatalf("sent to %d, cached is %d", endpoint, home)
			}
			relay.fail(id, home, status)
			if endpoint, ok := relay.balancer.routes.get(7, relay.now); ok {
				t.Errorf("route to %d outlived the failure", endpoint)
			}
		})
	}
}

func TestEachFailureLowersTheWeight(t *testing.T) {
	for _, status := range setupFailures {
		relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
		relay.advance(reliefInterval)
		id, actions := relay.request(7)
		endpoint := relay.wantSent(actions, id)
		before := relay.balancer.endpoints.find(endpoint).currentWeight(relay.now)
		relay.fail(id, endpoint, status)
		if after := relay.balancer.endpoints.find(endpoint).currentWeight(relay.now); after >= before {
			t.Errorf("status %d: weight went from %v to %v", status, before, after)
		}
	}
}

func TestRetryBacksOffAndAvoidsTriedEndpoints(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 4
	relay := newTestRelay(t, settings, readyEndpoints(4)...)
	relay.connect(7)
	relay.lastID++
	id := relay.lastID
	endpoint := relay.wantSent(relay.handle(Request{ID: id, Group: 7, TimeLeft: 10 * time.Second}), id)
	tried := map[EndpointID]bool{endpoint: true}
	for _, wait := range []time.Duration{100 * ms, 200 * ms, 400 * ms} {
		wantActions(t, relay.fail(id, endpoint, StatusFull))
		wantActions(t, relay.advance(wait-1))
		endpoint = relay.wantSent(relay.advance(1), id)
		if tried[endpoint] {
			t.Fatalf("server %d was tried twice", endpoint)
		}
		tried[endpoint] = true
	}
	wantActions(t, relay.fail(id, endpoint, StatusFull), Reject{Request: id})
}

func TestEstablishedWritesAndResetInvalidatesTheRoute(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	id, endpoint := relay.connect(7)
	if got, ok := relay.balancer.routes.get(7, relay.now); !ok || got != endpoint {
		t.Fatalf("route is %d, %v; want %d", got, ok, endpoint)
	}
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusReset, Final: true})
	if _, ok := relay.balancer.routes.get(7, relay.now); ok {
		t.Error("route outlived the reset of its connection")
	}
	id, endpoint = relay.connect(7)
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true})
	if _, ok := relay.balancer.routes.get(7, relay.now); !ok {
		t.Error("a connection's ordinary end cleared its route")
	}
}

func TestRouteCacheIsBoundedAndExpires(t *testing.T) {
	r := routeCache{capacity: 3, index: make(map[uint64]int)}
	for key := uint64(1); key <= 5; key++ {
		r.put(key, EndpointID(key), time.Second)
	}
	if len(r.ring) != 3 || len(r.index) != 3 {
		t.Errorf("%d entries and %d keys in a cache of 3", len(r.ring), len(r.index))
	}
	for key, want := range map[uint64]bool{1: false, 2: false, 3: true, 4: true, 5: true} {
		if _, ok := r.get(key, 0); ok != want {
			t.Errorf("key %d held: %v, want %v", key, ok, want)
		}
	}
	if _, ok := r.get(5, time.Second); ok {
		t.Error("an entry outlived its time")
	}
	r.put(0, 1, time.Second)
	if _, ok := r.get(0, 0); ok {
		t.Error("requests without a key share a route")
	}
}

func TestDrawIsProportionalToWeight(t *testing.T) {
	endpoints := readyEndpoints(2)
	endpoints[0].Weight = 3
	relay := newTestRelay(t, testSettings(), endpoints...)
	n := 0
	for key := range uint64(4000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}).ID == 1 {
			n++
		}
	}
	if n < 2850 || n > 3150 {
		t.Errorf("a server of three times the size drew %d of 4000, want about 3000", n)
	}
}

// Relays that share nothing must agree on where a group goes, or each of their
// servers pays for it.
func TestRelaysDrawTheSameEndpointForAGroup(t *testing.T) {
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	for _, x := range []*Balancer{a, b} {
		x.Handle(0, EndpointList{Kind: ListCached, Endpoints: readyEndpoints(12)})
	}
	for key := uint64(1); key < 100; key++ {
		q := &requestRecord{Request: Request{Group: key}}
		if s, o := a.drawEndpoint(q), b.drawEndpoint(q); s.ID != o.ID {
			t.Fatalf("group %d: drawn to %d and to %d", key, s.ID, o.ID)
		}
	}
}

// Many relays of four zones draw nearly alike: what each prefers of its own zone made a
// group be paid for by a server in every zone.
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
		t.Errorf("a group is on %.2f servers behind 4 relays, on %.2f behind 80; more than 2 and less than 1.5 are wanted", few, many)
	}
}

func TestWeightStaysBetweenMinimumAndMaximum(t *testing.T) {
	s := &endpointRecord{weight: initialWeight}
	for range 100 {
		s.cutWeight(weightCutFactor, 0)
	}
	if s.weight != minWeight {
		t.Errorf("weight after many cuts is %v, want the floor", s.weight)
	}
	if w := s.currentWeight(weightRecoveryTime); w <= initialWeight {
		t.Errorf("a server at the floor that sees no set-up is still at %v", w)
	}
	for range 100 {
		s.raiseWeight(0)
	}
	if s.weight != maxWeight {
		t.Errorf("weight after many raises is %v, want the ceiling", s.weight)
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
			t.Errorf("cost %v: own zone drew %d of 1000, want %d to %d", test.cost, n, test.min, test.max)
		}
	}
}
