package balancer

import (
	"fmt"
	"testing"
	"time"
)

// setupFailures are the outcomes of failed attempts.
var setupFailures = []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset}

func TestEachFailureInvalidatesTheRoute(t *testing.T) {
	for _, status := range setupFailures {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
			_, cached := relay.connect(7)
			id, actions := relay.request(7)
			if endpoint := relay.wantSent(actions, id); endpoint != cached {
				t.Fatalf("request was sent to endpoint %d, cached route leads to %d", endpoint, cached)
			}
			relay.fail(id, cached, status)
			if endpoint, ok := relay.balancer.routes.get(7, relay.now); ok {
				t.Errorf("route to endpoint %d is still cached after the failure", endpoint)
			}
		})
	}
}

func TestEstablishedConnectionCachesAndResetInvalidatesTheRoute(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	id, endpoint := relay.connect(7)
	if got, ok := relay.balancer.routes.get(7, relay.now); !ok || got != endpoint {
		t.Fatalf("cached endpoint is %d (found: %v), want %d", got, ok, endpoint)
	}
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusReset, Final: true})
	if _, ok := relay.balancer.routes.get(7, relay.now); ok {
		t.Error("route is still cached after the reset of its connection")
	}
	id, endpoint = relay.connect(7)
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true})
	if _, ok := relay.balancer.routes.get(7, relay.now); !ok {
		t.Error("route is not cached after the normal end of its connection")
	}
}

func TestRouteCacheIsBoundedAndExpires(t *testing.T) {
	cache := routeCache{capacity: 3, index: make(map[uint64]int)}
	for key := uint64(1); key <= 5; key++ {
		cache.put(key, EndpointID(key), time.Second)
	}
	if len(cache.ring) != 3 || len(cache.index) != 3 {
		t.Errorf("cache has %d entries and %d keys, want 3", len(cache.ring), len(cache.index))
	}
	for key, want := range map[uint64]bool{1: false, 2: false, 3: true, 4: true, 5: true} {
		if _, ok := cache.get(key, 0); ok != want {
			t.Errorf("key %d cached: %v, want %v", key, ok, want)
		}
	}
	if _, ok := cache.get(5, time.Second); ok {
		t.Error("expired entry is still returned")
	}
	cache.put(0, 1, time.Second)
	if _, ok := cache.get(0, 0); ok {
		t.Error("route of the key 0 was cached")
	}
}

func TestResumedConnectionsRestoreRoutes(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	relay.handle(Resumed{Request: Request{ID: 900, Group: 7}, Endpoint: 4})
	relay.handle(Resumed{Request: Request{ID: 901, Group: 8}, Endpoint: 77}) // not in the cached list
	if _, endpoint := relay.connect(7); endpoint != 4 {
		t.Errorf("the group was sent to endpoint %d, its resumed connection is at 4", endpoint)
	}
	relay.handle(Outcome{Request: 900, Endpoint: 4, Status: StatusReset, Final: true})
	relay.handle(Outcome{Request: 901, Endpoint: 77, Status: StatusReset, Final: true})
	if n := len(relay.balancer.requests); n != 1 {
		t.Errorf("%d requests are left, want 1", n)
	}
}
