package balancer

import (
	"testing"
	"time"
)

func TestReportedLoadsAreBooked(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	heavy, endpoint := relay.connect(1)
	light, other := relay.connect(2)
	for range 20 {
		relay.handle(ConnectionLoad{Request: light, Endpoint: other, Load: 0.01})
	}
	relay.handle(ConnectionLoad{Request: heavy, Endpoint: endpoint, Load: 0.1})
	heavyRequest, lightRequest := relay.balancer.requests[heavy], relay.balancer.requests[light]
	if heavyRequest.load <= 2*lightRequest.load {
		t.Errorf("a connection of ten times the load is booked as %v beside %v", heavyRequest.load, lightRequest.load)
	}
}

// The expected load of a request counts before any report of its load.
func TestExpectedLoadIsBookedWhenEstablished(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	var light, heavy RequestID
	for key := range uint64(40) {
		light, _ = relay.connect(key + 1)
		relay.handle(ConnectionLoad{Request: light, Load: 1})
	}
	heavy, relay.lastID = relay.lastID+1, relay.lastID+1
	endpoint := relay.wantSent(relay.handle(Request{ID: heavy, Group: 1000, TimeLeft: time.Second, ExpectedLoad: 5}), heavy)
	relay.handle(Established{Request: heavy, Endpoint: endpoint, SetupTime: ms})
	if l, h := relay.balancer.requests[light].load, relay.balancer.requests[heavy].load; h < 4*l {
		t.Errorf("booked loads %v and %v, want the second about five times the first", l, h)
	}
}

// After the last connection no load remains, not even what rounding leaves: against a mean of nearly nothing, an
// endpoint with a connection would count as overloaded.
func TestNoLoadRemainsAfterTheLastConnection(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	var up []RequestID
	for id := RequestID(1); id <= 30; id++ {
		for _, action := range relay.handle(Request{ID: id, Group: uint64(id), TimeLeft: time.Second}) {
			if attempt, sent := action.(SendAttempt); sent {
				relay.handle(Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: 20 * ms})
				relay.handle(ConnectionLoad{Request: id, Endpoint: attempt.Endpoint, Load: 0.1 * float64(id)})
				up = append(up, id)
			}
		}
	}
	if len(up) < 10 {
		t.Fatalf("%d connections are established", len(up))
	}
	for _, id := range up {
		relay.handle(Outcome{Request: id, Status: StatusOK, Final: true})
	}
	if load := relay.balancer.totals().load; load != 0 {
		t.Errorf("the load is %v", load)
	}
	for _, state := range relay.balancer.endpoints.sorted {
		if state.demand() != 0 {
			t.Errorf("endpoint %d has a demand of %v", state.ID, state.demand())
		}
	}
}

// Endpoints may come and go by deltas alone for as long as the relay runs: those that are gone are removed.
func TestGoneEndpointsAreRemovedFromTheTable(t *testing.T) {
	b := New(testSettings(), 1)
	now := time.Duration(0)
	for id := EndpointID(1); id < 3000; id++ {
		now += time.Second
		b.Handle(now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: id, State: StateReady, Size: 1}, {ID: id - 1, State: StateGone}}})
	}
	if n := len(b.endpoints.sorted); n > 3 {
		t.Errorf("%d endpoints are kept, of which one is listed", n)
	}
}
