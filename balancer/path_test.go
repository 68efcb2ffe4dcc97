package balancer

import (
	"fmt"
	"testing"
	"time"
)

// setupFailures are the ways in which an attempt fails before it stands.
var setupFailures = []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset}

func TestConnectionFollowsItsGroup(t *testing.T) {
	r := newRelay(t, testSettings(), ready(8)...)
	_, home := r.open(7)
	for range 10 {
		if _, to := r.open(7); to != home {
			t.Fatalf("group went to %d, then to %d", home, to)
		}
	}
}

func TestRouteWithoutGroupIsTheItems(t *testing.T) {
	r := newRelay(t, testSettings(), ready(8)...)
	item := func(id RequestID) EndpointID {
		to := r.sent(r.do(Request{ID: id, Item: 9, TimeLeft: time.Second}), id)
		r.do(Established{Request: id, Endpoint: to})
		return to
	}
	if a, b := item(1), item(2); a != b {
		t.Errorf("one item went to %d and %d", a, b)
	}
}

func TestEachFailureInvalidatesTheRoute(t *testing.T) {
	for _, why := range setupFailures {
		t.Run(fmt.Sprint(why), func(t *testing.T) {
			r := newRelay(t, testSettings(), ready(4)...)
			_, home := r.open(7)
			id, done := r.ask(7)
			if to := r.sent(done, id); to != home {
				t.Fatalf("sent to %d, cached is %d", to, home)
			}
			r.fail(id, home, why)
			if to, ok := r.b.routes.get(7, r.now); ok {
				t.Errorf("route to %d outlived the failure", to)
			}
		})
	}
}

func TestEachFailureCutsTheWeight(t *testing.T) {
	for _, why := range setupFailures {
		r := newRelay(t, testSettings(), ready(4)...)
		r.pass(cutPause)
		id, done := r.ask(7)
		to := r.sent(done, id)
		before := r.b.fleet.find(to).weightAt(r.now)
		r.fail(id, to, why)
		if after := r.b.fleet.find(to).weightAt(r.now); after >= before {
			t.Errorf("status %d: weight went from %v to %v", why, before, after)
		}
	}
}

func TestRetryBacksOffAndGoesElsewhere(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 4
	r := newRelay(t, s, ready(4)...)
	r.open(7)
	r.next++
	id := r.next
	to := r.sent(r.do(Request{ID: id, Group: 7, TimeLeft: 10 * time.Second}), id)
	tried := map[EndpointID]bool{to: true}
	for _, wait := range []time.Duration{100 * ms, 200 * ms, 400 * ms} {
		wantActions(t, r.fail(id, to, StatusFull))
		wantActions(t, r.pass(wait-1))
		to = r.sent(r.pass(1), id)
		if tried[to] {
			t.Fatalf("server %d was tried twice", to)
		}
		tried[to] = true
	}
	wantActions(t, r.fail(id, to, StatusFull), Reject{Request: id})
}

func TestStandingWritesAndResetClearsTheRoute(t *testing.T) {
	r := newRelay(t, testSettings(), ready(4)...)
	id, to := r.open(7)
	if got, ok := r.b.routes.get(7, r.now); !ok || got != to {
		t.Fatalf("route is %d, %v; want %d", got, ok, to)
	}
	r.do(Outcome{Request: id, Endpoint: to, Status: StatusReset, Final: true})
	if _, ok := r.b.routes.get(7, r.now); ok {
		t.Error("route outlived the reset of its connection")
	}
	id, to = r.open(7)
	r.do(Outcome{Request: id, Endpoint: to, Status: StatusOK, Final: true})
	if _, ok := r.b.routes.get(7, r.now); !ok {
		t.Error("a connection's ordinary end cleared its route")
	}
}

func TestRouteCacheIsBoundedAndExpires(t *testing.T) {
	r := routes{size: 3, at: make(map[uint64]int)}
	for key := uint64(1); key <= 5; key++ {
		r.put(key, EndpointID(key), time.Second)
	}
	if len(r.ring) != 3 || len(r.at) != 3 {
		t.Errorf("%d entries and %d keys in a cache of 3", len(r.ring), len(r.at))
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

func TestDrawIsByWeight(t *testing.T) {
	servers := ready(2)
	servers[0].Weight = 3
	r := newRelay(t, testSettings(), servers...)
	n := 0
	for key := range uint64(4000) {
		if r.b.draw(&request{Request: Request{Group: key + 1}}).ID == 1 {
			n++
		}
	}
	if n < 2850 || n > 3150 {
		t.Errorf("a server of three times the size drew %d of 4000, want about 3000", n)
	}
}

// Relays that share nothing must agree on where a group goes, or each of their
// servers pays for it.
func TestRelaysDrawAlikeForAGroup(t *testing.T) {
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	for _, x := range []*Balancer{a, b} {
		x.Handle(0, EndpointList{Kind: ListCached, Endpoints: ready(12)})
	}
	for key := uint64(1); key < 100; key++ {
		q := &request{Request: Request{Group: key}}
		if s, o := a.draw(q), b.draw(q); s.ID != o.ID {
			t.Fatalf("group %d: drawn to %d and to %d", key, s.ID, o.ID)
		}
	}
}

// Many relays of four zones draw nearly alike: what each prefers of its own zone made a
// group be paid for by a server in every zone.
func TestZonesOfManyRelaysDoNotSplitGroups(t *testing.T) {
	s := testSettings()
	s.CrossZoneCost = 0.03
	servers := ready(12)
	for i := range servers {
		servers[i].Zone = i % 4
	}
	spread := func(relays int) (mean float64) {
		const groups = 50
		for group := range uint64(groups) {
			used := map[EndpointID]bool{}
			for s.Zone = range 4 {
				s.Relays = relays
				r := newRelay(t, s, servers...)
				_, to := r.open(1 + group)
				used[to] = true
			}
			mean += float64(len(used)) / groups
		}
		return mean
	}
	if few, many := spread(4), spread(80); few < 2 || many > 1.5 {
		t.Errorf("a group is on %.2f servers behind 4 relays, on %.2f behind 80; more than 2 and less than 1.5 are wanted", few, many)
	}
}

func TestControllerStaysBetweenFloorAndCeiling(t *testing.T) {
	s := &server{weight: weightStart}
	for range 100 {
		s.cut(weightCut, 0)
	}
	if s.weight != weightFloor {
		t.Errorf("weight after many cuts is %v, want the floor", s.weight)
	}
	if w := s.weightAt(weightBack); w <= weightStart {
		t.Errorf("a server at the floor that sees no set-up is still at %v", w)
	}
	for range 100 {
		s.raise(0)
	}
	if s.weight != weightCeil {
		t.Errorf("weight after many raises is %v, want the ceiling", s.weight)
	}
}

func TestOwnZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for _, test := range []struct {
		cost     float64
		min, max int
	}{{0, 400, 600}, {0.06, 700, 900}} {
		s := testSettings()
		s.CrossZoneCost = test.cost
		servers := ready(2)
		servers[1].Zone = 1
		r := newRelay(t, s, servers...)
		n := 0
		for key := range uint64(1000) {
			if r.b.draw(&request{Request: Request{Group: key + 1}}).ID == 1 {
				n++
			}
		}
		if n < test.min || n > test.max {
			t.Errorf("cost %v: own zone drew %d of 1000, want %d to %d", test.cost, n, test.min, test.max)
		}
	}
}
