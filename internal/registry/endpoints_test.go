package registry

import (
	"testing"

	"lockroad/balancer"
)

func TestEndpointIDsAreTheSameInEveryRegistry(t *testing.T) {
	endpoints := NewEndpoints()
	if id := endpoints.AssignID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("the ID is %#x", id)
	}
	unusualID := endpoints.AssignID("an odd name")
	if again := NewEndpoints().AssignID("an odd name"); again != unusualID || endpoints.AssignID("an odd name") != unusualID {
		t.Error("a name without a number has two IDs")
	}
	if endpoints.AssignID("x-5be2a07c") == endpoints.AssignID("s-5be2a07c") {
		t.Error("two names share an ID")
	}
}

func TestDrainingIsSignalledOnceAndResetByRestart(t *testing.T) {
	endpoints := NewEndpoints()
	id := endpoints.AssignID("s-1")
	if _, ok := endpoints.Find(id); ok {
		t.Error("an endpoint was found that no list has named")
	}
	endpoints.Update(id, "a:1", balancer.StateReady)
	before, _ := endpoints.Find(id)
	endpoints.Update(id, "a:2", balancer.StateReady)
	if before.IsDraining() {
		t.Error("an endpoint is draining that only has a new address")
	}
	endpoints.Update(id, "", balancer.StateDraining)
	endpoints.Update(id, "", balancer.StateGone)
	if !before.IsDraining() {
		t.Error("an endpoint that drains or is gone is not draining")
	}
	endpoints.Update(id, "", balancer.StateReady)
	if after, _ := endpoints.Find(id); after.IsDraining() || after.Address != "a:2" || !before.IsDraining() {
		t.Error("an endpoint that is ready again is draining, or a holder of the old one isn't notified")
	}
	newcomer := endpoints.AssignID("s-2")
	endpoints.Update(newcomer, "b:1", balancer.StateDraining)
	if endpoint, ok := endpoints.Find(newcomer); !ok || !endpoint.IsDraining() {
		t.Error("an endpoint that was first listed as draining is not draining")
	}
}

func TestCompleteListRemovesUnlistedEndpoints(t *testing.T) {
	endpoints := NewEndpoints()
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		endpoints.Update(endpoints.AssignID(name), "a", balancer.StateReady)
	}
	endpoints.RetainOnly([]balancer.Endpoint{{ID: endpoints.AssignID("s-2")}})
	if counts := endpoints.CountByState(); counts != [3]int64{2, 1, 0} {
		t.Errorf("gone, ready, draining: %v", counts)
	}
}
