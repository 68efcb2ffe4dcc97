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
			t.Errorf("status %d: weight went from %v to %v", status, before, after)
		}
	}
}

func TestWeightStaysBetweenMinimumAndMaximum(t *testing.T) {
	state := &endpointRecord{weight: initialWeight}
	for range 100 {
		state.cutWeight(weightCutFactor, 0)
	}
	if state.weight != minWeight {
		t.Errorf("weight after many cuts is %v, want the minimum", state.weight)
	}
	if w := state.currentWeight(weightRecoveryTime); w <= initialWeight {
		t.Errorf("an endpoint at the minimum without attempts is still at %v", w)
	}
	for range 100 {
		state.raiseWeight(0)
	}
	if state.weight != maxWeight {
		t.Errorf("weight after many raises is %v, want the maximum", state.weight)
	}
}

func TestRestartResetsWeightAndSlowness(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	state := relay.balancer.endpoints.find(1)
	state.cutWeight(0, relay.now)
	state.lastSlowAt, state.delayAt = relay.now, relay.now
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Size: 1, StartedAt: relay.now}}})
	if state.currentWeight(relay.now) != initialWeight || state.isSlow(relay.now) || relay.balancer.warmth(state) != relay.balancer.settings.InitialCapacity {
		t.Errorf("weight %v, slow %v, warmth %v", state.currentWeight(relay.now), state.lastSlowAt, relay.balancer.warmth(state))
	}
}
