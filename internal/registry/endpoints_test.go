package registry

import (
	"testing"

	"lockroad/balancer"
)

func TestEndpointIDsAreTheSameInEveryRegistry(t *testing.T) {
	endpoints := NewEndpoints()
	if id := endpoints.AssignID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("a hexadecimal suffix was assigned the ID %#x, want its value", id)
	}
	unusualID := endpoints.AssignID("an odd name")
	if again := NewEndpoints().AssignID("an odd name"); again != unusualID || endpoints.AssignID("an odd name") != unusualID {
		t.Error("a name without a hexadecimal suffix was assigned different IDs")
	}
	if endpoints.AssignID("x-5be2a07c") == endpoints.AssignID("s-5be2a07c") {
		t.Error("two names with the same suffix were assigned the same ID")
	}
}

// Attempts that hold an Endpoint learn that it drains from its Draining channel, which must stay closed for them when
// the endpoint is ready again.
func TestDrainingIsSignalledAndResetWhenReadyAgain(t *testing.T) {
	endpoints := NewEndpoints()
	id := endpoints.AssignID("s-1")
	if _, ok := endpoints.Find(id); ok {
		t.Error("Find returns an endpoint that was never listed")
	}
	endpoints.Update(id, "a:1", balancer.StateReady)
	before, _ := endpoints.Find(id)
	endpoints.Update(id, "a:2", balancer.StateReady)
	if before.IsDraining() {
		t.Error("an endpoint is draining after a change of its address")
	}
	endpoints.Update(id, "", balancer.StateDraining)
	endpoints.Update(id, "", balancer.StateGone)
	if !before.IsDraining() {
		t.Error("IsDraining is false after the endpoint was draining and gone")
	}
	endpoints.Update(id, "", balancer.StateReady)
	if after, _ := endpoints.Find(id); after.IsDraining() || after.Address != "a:2" || !before.IsDraining() {
		t.Errorf("ready again: %+v, draining: %v; the Endpoint returned before, draining: %v", after, after.IsDraining(), before.IsDraining())
	}
	drainingID := endpoints.AssignID("s-2")
	endpoints.Update(drainingID, "b:1", balancer.StateDraining)
	if endpoint, ok := endpoints.Find(drainingID); !ok || !endpoint.IsDraining() {
		t.Error("IsDraining is false for an endpoint that was first listed as draining")
	}
}

func TestCompleteListRemovesUnlistedEndpoints(t *testing.T) {
	endpoints := NewEndpoints()
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		endpoints.Update(endpoints.AssignID(name), "a", balancer.StateReady)
	}
	endpoints.RetainOnly([]balancer.Endpoint{{ID: endpoints.AssignID("s-2")}})
	if counts := endpoints.CountByState(); counts != [3]int64{2, 1, 0} {
		t.Errorf("%v endpoints are gone, ready and draining, want [2 1 0]", counts)
	}
}
