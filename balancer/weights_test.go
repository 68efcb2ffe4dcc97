package balancer

import (
	"testing"
)

func TestEachFailureLowersTheWeight(t *testing.T) {
	for _, status := range setupFailures {
		relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
		relay.advance(reliefInterval)
		id, actions := relay.request(7)
		endpoint := relay.wantSent(actions, id)
		before := relay.balancer.endpoints.find(endpoint).currentWeight(relay.now)
		relay.fail(id, endpoint, status)
		if after := relay.balancer.endpoints.find(endpoint).currentWeight(relay.now); after >= before {
			t.Errorf("status %d: weight went from %v to %v, want it lowered", status, before, after)
		}
	}
}

func TestWeightStaysBetweenMinimumAndMaximum(t *testing.T) {
	endpoint := &endpointRecord{weight: initialWeight}
	for range 100 {
		endpoint.cutWeight(weightCutFactor, 0)
	}
	if endpoint.weight != minWeight {
		t.Errorf("weight after 100 cuts is %v, want %v", endpoint.weight, minWeight)
	}
	if weight := endpoint.currentWeight(weightRecoveryTime); weight <= initialWeight {
		t.Errorf("weight after %v without attempts is %v, want above %v", weightRecoveryTime, weight, initialWeight)
	}
	for range 100 {
		endpoint.raiseWeight(0)
	}
	if endpoint.weight != maxWeight {
		t.Errorf("weight after 100 raises is %v, want %v", endpoint.weight, maxWeight)
	}
}

func TestRestartResetsWeightAndSlowness(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	endpoint := relay.balancer.endpoints.find(1)
	endpoint.cutWeight(0, relay.now)
	endpoint.lastSlowAt, endpoint.delayAt = relay.now, relay.now
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Size: 1, StartedAt: relay.now}}})
	if endpoint.currentWeight(relay.now) != initialWeight || endpoint.isSlow(relay.now) || relay.balancer.warmth(endpoint) != relay.balancer.settings.InitialCapacity {
		t.Errorf("restarted endpoint has weight %v, last slow at %v, warmth %v", endpoint.currentWeight(relay.now), endpoint.lastSlowAt, relay.balancer.warmth(endpoint))
	}
}
