package persistence

import (
	"testing"
	"time"

	"lockroad/balancer"
)

// What is believed goes by age; nothing is of a time that lies ahead, or of another relay.
func TestBelieve(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		age             time.Duration
		name            string
		ok              bool
		routes, servers int
	}{
		{0, "n1", true, 1, 1}, {RouteMaxAge, "n1", true, 1, 1}, {RouteMaxAge + 1, "n1", true, 0, 1}, {HealthMaxAge, "n1", true, 0, 1},
		{HealthMaxAge + 1, "n1", true, 0, 0}, {ListMaxAge, "n1", true, 0, 0}, {ListMaxAge + 1, "n1", false, 0, 0}, {-1, "n1", false, 0, 0}, {0, "n2", false, 0, 0},
	} {
		k := RelaySnapshot{Name: "n1", TakenAt: at, Balancer: balancer.Snapshot{Routes: make([]balancer.RouteSnapshot, 1), Endpoints: make([]balancer.EndpointSnapshot, 1)}}
		age, ok := k.DiscardStale(c.name, at.Add(c.age))
		if ok != c.ok || age != c.age || ok && (len(k.Balancer.Routes) != c.routes || len(k.Balancer.Endpoints) != c.servers) {
			t.Errorf("%s at the age of %v: %v, %d routes, %d servers", c.name, c.age, ok, len(k.Balancer.Routes), len(k.Balancer.Endpoints))
		}
	}
}

func TestOrderIsOver(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for until, over := range map[time.Time]bool{{}: false, now: true, now.Add(time.Second): false, now.Add(-time.Second): true} {
		if o := (DrainDirective{Until: until}); o.Expired(now) != over {
			t.Errorf("until %v it is over: %v", until, !over)
		}
	}
}
