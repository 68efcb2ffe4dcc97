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
	s := &endpointRecord{weight: initialWeight}
	for range 100 {
		s.cutWeight(weightCutFactor, 0)
	}
	if s.weight != minWeight {
		t.Errorf("weight after many cuts is %v, want the minimum", s.weight)
	}
	if w := s.currentWeight(weightRecoveryTime); w <= initialWeight {
		t.Errorf("an endpoint at the minimum without attempts is still at %v", w)
	}
	for range 100 {
		s.raiseWeight(0)
	}
	if s.weight != maxWeight {
		t.Errorf("weight after many raises is %v, want the maximum", s.weight)
	}
}

func TestRestartResetsWeightAndSlowness(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	s := relay.balancer.endpoints.find(1)
	s.cutWeight(0, relay.now)
	s.lastSlowAt, s.delayAt = relay.now, relay.now
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Weight: 1, StartedAt: relay.now}}})
	if s.currentWeight(relay.now) != initialWeight || s.isSlow(relay.now) || relay.balancer.warmth(s) != relay.balancer.settings.InitialCapacity {
		t.Errorf("weight %v, slow %v, warmth %v", s.currentWeight(relay.now), s.lastSlowAt, relay.balancer.warmth(s))
	}
}
