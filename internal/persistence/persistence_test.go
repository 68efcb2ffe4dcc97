package persistence

import (
	"testing"
	"time"

	"lockroad/balancer"
)

// The older a snapshot is, the fewer parts are kept. One from the future or of another relay is not usable.
func TestDiscardStaleByAge(t *testing.T) {
	takenAt := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		age               time.Duration
		name              string
		ok                bool
		routes, endpoints int
	}{
		{0, "n1", true, 1, 1}, {RouteMaxAge, "n1", true, 1, 1}, {RouteMaxAge + 1, "n1", true, 0, 1}, {HealthMaxAge, "n1", true, 0, 1},
		{HealthMaxAge + 1, "n1", true, 0, 0}, {ListMaxAge, "n1", true, 0, 0}, {ListMaxAge + 1, "n1", false, 0, 0}, {-1, "n1", false, 0, 0}, {0, "n2", false, 0, 0},
	} {
		snapshot := RelaySnapshot{Name: "n1", TakenAt: takenAt, Balancer: balancer.Snapshot{Routes: make([]balancer.RouteSnapshot, 1), Endpoints: make([]balancer.EndpointSnapshot, 1)}}
		age, ok := snapshot.DiscardStale(test.name, takenAt.Add(test.age))
		if ok != test.ok || age != test.age || ok && (len(snapshot.Balancer.Routes) != test.routes || len(snapshot.Balancer.Endpoints) != test.endpoints) {
			t.Errorf("snapshot for relay %s at the age of %v: usable %v with %d routes and %d endpoints", test.name, test.age, ok, len(snapshot.Balancer.Routes), len(snapshot.Balancer.Endpoints))
		}
	}
}

func TestDrainDirectiveExpires(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for until, expired := range map[time.Time]bool{{}: false, now: true, now.Add(time.Second): false, now.Add(-time.Second): true} {
		if directive := (DrainDirective{Until: until}); directive.Expired(now) != expired {
			t.Errorf("Expired of a directive until %v returns %v", until, !expired)
		}
	}
}
