package server

import (
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/frontend/line"
	"lockroad/internal/hotrestart"
	"lockroad/internal/persistence"
	"lockroad/internal/registry"
	"lockroad/internal/testutil"
)

// completeState returns a handoff state with every field set.
func completeState() handoffState {
	ms := time.Millisecond
	return handoffState{
		Agent: "127.0.0.1:9000",
		List: discovery.List{Revision: 41, Complete: true, Members: []discovery.Member{{
			ID: "s-5be2a07c", HostPort: "127.0.0.1:8001", Locality: "east", Flavor: "large", Cell: 3, Phase: "draining", Size: 1.5, UpSince: 1786000000123,
		}}},
		Names: map[balancer.EndpointID]string{0x5be2a07c: "s-5be2a07c", 9: "an odd name"},
		Snapshot: balancer.Snapshot{
			Salt: 0xfedcba9876543210,
			Endpoints: []balancer.EndpointSnapshot{{
				ID: 0x5be2a07c, Weight: 1.25, WeightSetAt: 1001 * ms, LastAttemptAt: 1002 * ms, EstablishedAt: 1003 * ms, FailedAt: 1004 * ms, SlowAt: 1005 * ms,
				Delay: 6 * ms, DelayAt: 1007 * ms, RelievedAt: 1008 * ms, DrainingSince: 1009 * ms, RedirectedAt: 1010 * ms, StartedAt: -1011 * ms,
			}},
			Routes:        []balancer.RouteSnapshot{{Key: 0x123456789abcdef1, Endpoint: 9, ExpiresAt: 3001 * ms}},
			RecentSetups:  balancer.CounterSnapshot{Count: 4.5, UpdatedAt: 4001 * ms, CountedFrom: 4002 * ms},
			ArrivalRate:   balancer.CounterSnapshot{Count: 5.5, UpdatedAt: 5001 * ms, CountedFrom: 5002 * ms},
			SetupsPerSize: 6.125, MeanLoad: 0.0078125, LoadSamples: 8.5, ConcurrencyLimit: 9.75,
		},
		ReportTimings: map[balancer.EndpointID]line.ReportTiming{0x5be2a07c: {LastAt: 6001 * ms, LastDelay: 12.5, OnTimeCount: 7}},
		OpenRequests:  []registry.RequestName{{Frontend: "line", Name: "9b1f03aa5c7e2d41"}, {Frontend: "amqp", Name: "container/name"}},
		SlotsInUse:    []int{17, 4},
		DrainDirectives: []persistence.DrainDirective{{
			Endpoint: "s-1", By: "uid 1000", Reason: "new strings",
			Since: time.Date(2026, 7, 8, 9, 10, 11, 123456789, time.UTC), Until: time.Date(2026, 7, 8, 10, 10, 11, 0, time.UTC),
		}},
	}
}

// A successor of another version reads this JSON, so it must not change.
func TestHandoffStateEncodingIsStable(t *testing.T) {
	testutil.RequireComplete(t, completeState())
	testutil.GoldenJSON(t, "testdata/state.json", completeState())
	testutil.GoldenJSON(t, "testdata/state-zero.json", handoffState{})
	testutil.GoldenJSON(t, "testdata/state-zero-elements.json", handoffState{
		List:            discovery.List{Members: make([]discovery.Member, 1)},
		Names:           map[balancer.EndpointID]string{0: ""},
		ReportTimings:   map[balancer.EndpointID]line.ReportTiming{0: {}},
		OpenRequests:    make([]registry.RequestName, 1),
		DrainDirectives: make([]persistence.DrainDirective, 1),
	})
}

func TestHandoffStateFieldsAreTagged(t *testing.T) {
	testutil.RequireTags(t, []string{"json"}, handoffState{})
}

// Two processes of different releases exchange this JSON in calls and states, so it must not change.
func TestCallEncodingIsStable(t *testing.T) {
	state := currentState{
		Directives: directiveState{Revision: 7, Directives: completeState().DrainDirectives, Added: "s-1"},
		ReloadedAt: time.Date(2026, 7, 8, 9, 10, 11, 123456789, time.UTC),
	}
	ended := endedCall{Names: completeState().OpenRequests}
	testutil.RequireComplete(t, state)
	testutil.GoldenJSON(t, "testdata/current-state.json", state)
	testutil.GoldenJSON(t, "testdata/current-state-zero.json", currentState{})
	testutil.GoldenJSON(t, "testdata/reload-call.json", reloadCall{DryRun: true})
	testutil.GoldenJSON(t, "testdata/reload-reply.json", reloadReply{Changes: []string{"a change"}})
	testutil.GoldenJSON(t, "testdata/requests-reply.json", requestsReply{Requests: map[string]int{"s-1": 3}})
	testutil.GoldenJSON(t, "testdata/ended-call.json", ended)
	for _, message := range []any{currentState{}, reloadCall{}, reloadReply{}, requestsReply{}, endedCall{}} {
		testutil.RequireTags(t, []string{"json"}, message)
	}
	for method, want := range map[hotrestart.Method]string{methodDirectives: "orders", methodReload: "reload", methodRequests: "requests", methodEnded: "ended"} {
		if string(method) != want {
			t.Errorf("method %q, want %q", method, want)
		}
	}
}
