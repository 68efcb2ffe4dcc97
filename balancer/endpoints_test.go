package balancer

import (
	"testing"
	"time"
)

func TestReportedLoadsAreRecorded(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	heavy, endpoint := relay.connect(1)
	light, other := relay.connect(2)
	for range 20 {
		relay.handle(ConnectionLoad{Request: light, Endpoint: other, Load: 0.01})
	}
	relay.handle(ConnectionLoad{Request: heavy, Endpoint: endpoint, Load: 0.1})
	heavyRequest, lightRequest := relay.balancer.requests[heavy], relay.balancer.requests[light]
	if heavyRequest.load <= 2*lightRequest.load {
		t.Errorf("recorded loads are %v and %v, want the first above twice the second", heavyRequest.load, lightRequest.load)
	}
}

// Guards against ignoring the expected load of a request until its load is reported.
func TestExpectedLoadIsRecordedWhenEstablished(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	var light, heavy RequestID
	for key := range uint64(40) {
		light, _ = relay.connect(key + 1)
		relay.handle(ConnectionLoad{Request: light, Load: 1})
	}
	heavy, relay.lastID = relay.lastID+1, relay.lastID+1
	endpoint := relay.wantSent(relay.handle(Request{ID: heavy, Group: 1000, TimeLeft: time.Second, ExpectedLoad: 5}), heavy)
	relay.handle(Established{Request: heavy, Endpoint: endpoint, SetupTime: ms})
	if lightLoad, heavyLoad := relay.balancer.requests[light].load, relay.balancer.requests[heavy].load; heavyLoad < 4*lightLoad {
		t.Errorf("recorded loads are %v and %v, want the second about five times the first", lightLoad, heavyLoad)
	}
}

// Guards against a rounding error that remains as load after the last connection: relative to such a small mean load,
// an endpoint with one connection would count as overloaded.
func TestNoLoadRemainsAfterTheLastConnection(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	var established []RequestID
	for id := RequestID(1); id <= 30; id++ {
		for _, action := range relay.handle(Request{ID: id, Group: uint64(id), TimeLeft: time.Second}) {
			if attempt, sent := action.(SendAttempt); sent {
				relay.handle(Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: 20 * ms})
				relay.handle(ConnectionLoad{Request: id, Endpoint: attempt.Endpoint, Load: 0.1 * float64(id)})
				established = append(established, id)
			}
		}
	}
	if len(established) < 10 {
		t.Fatalf("%d connections are established, want at least 10", len(established))
	}
	for _, id := range established {
		relay.handle(Outcome{Request: id, Status: StatusOK, Final: true})
	}
	if load := relay.balancer.totals().load; load != 0 {
		t.Errorf("total load after the last connection is %v, want 0", load)
	}
	for _, endpoint := range relay.balancer.endpoints.sorted {
		if endpoint.demand() != 0 {
			t.Errorf("demand of endpoint %d after the last connection is %v, want 0", endpoint.ID, endpoint.demand())
		}
	}
}

// Guards against a table that grows without limit while endpoints come and go by list deltas only.
func TestGoneEndpointsAreRemovedFromTheTable(t *testing.T) {
	balancer := New(testSettings(), 1)
	now := time.Duration(0)
	for id := EndpointID(1); id < 3000; id++ {
		now += time.Second
		balancer.Handle(now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: id, State: StateReady, Size: 1}, {ID: id - 1, State: StateGone}}})
	}
	if n := len(balancer.endpoints.sorted); n > 3 {
		t.Errorf("the table has %d endpoints, want at most 3 as only one is listed", n)
	}
}
