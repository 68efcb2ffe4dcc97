package balancer

import (
	"fmt"
	"testing"
	"time"
)

// setupFailures are the outcomes of attempts that were not established.
var setupFailures = []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset}

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
		t.Error("a connection's ordinary end invalidated its route")
	}
}

func TestRouteCacheIsBoundedAndExpires(t *testing.T) {
	cache := routeCache{capacity: 3, index: make(map[uint64]int)}
	for key := uint64(1); key <= 5; key++ {
		cache.put(key, EndpointID(key), time.Second)
	}
	if len(cache.ring) != 3 || len(cache.index) != 3 {
		t.Errorf("%d entries and %d keys in a cache of 3", len(cache.ring), len(cache.index))
	}
	for key, want := range map[uint64]bool{1: false, 2: false, 3: true, 4: true, 5: true} {
		if _, ok := cache.get(key, 0); ok != want {
			t.Errorf("key %d cached: %v, want %v", key, ok, want)
		}
	}
	if _, ok := cache.get(5, time.Second); ok {
		t.Error("an entry outlived its expiry")
	}
	cache.put(0, 1, time.Second)
	if _, ok := cache.get(0, 0); ok {
		t.Error("requests without a key share a route")
	}
}

func TestResumedConnectionsRestoreRoutes(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	relay.handle(Resumed{Request: Request{ID: 900, Group: 7}, Endpoint: 4})
	relay.handle(Resumed{Request: Request{ID: 901, Group: 8}, Endpoint: 77}) // not on the stale list
	if _, endpoint := relay.connect(7); endpoint != 4 {
		t.Errorf("the group was sent to %d, its connection is at 4", endpoint)
	}
	relay.handle(Outcome{Request: 900, Endpoint: 4, Status: StatusReset, Final: true})
	relay.handle(Outcome{Request: 901, Endpoint: 77, Status: StatusReset, Final: true})
	if n := len(relay.balancer.requests); n != 1 {
		t.Errorf("%d connections kept, want 1", n)
	}
}
