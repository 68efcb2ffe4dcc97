package balancer

import (
	"testing"
)

// failSetups sends 60 requests, whose setups fail at the first endpoints of the list and succeed at the others.
func failSetups(relay *testRelay, failing int, status AttemptStatus) {
	for key := range uint64(60) {
		id, actions := relay.request(key + 1)
		for _, action := range actions {
			attempt, ok := action.(SendAttempt)
			switch {
			case !ok:
			case int(attempt.Endpoint) <= failing:
				relay.fail(id, attempt.Endpoint, status)
			default:
				relay.handle(Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: ms})
				relay.handle(Outcome{Request: id, Endpoint: attempt.Endpoint, Status: StatusOK, Final: true})
			}
		}
		relay.advance(20 * ms)
	}
}

// Guards against lowering the weights of endpoints that fail from a shared cause, and against retries that add load
// to that cause.
func TestSharedCauseKeepsWeightsAndLimitsConcurrency(t *testing.T) {
	for _, test := range []struct {
		name    string
		failing int // number of failing endpoints
		status  AttemptStatus
		shared  bool
	}{
		{"all time out", 6, StatusTimeout, true},
		{"all answer with errors", 6, StatusError, true},
		{"one endpoint", 1, StatusError, false},
		{"all unreachable", 6, StatusConnectFailed, false},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		failSetups(relay, test.failing, test.status)
		if relay.balancer.sharedCauseActive() != test.shared {
			t.Errorf("%s: shared cause detected: %v, want %v", test.name, !test.shared, test.shared)
		}
		if limited := relay.balancer.concurrency.limit < maxConcurrency/2; limited != test.shared {
			t.Errorf("%s: concurrency limit is %v, want it cut: %v", test.name, relay.balancer.concurrency.limit, test.shared)
		}
		lowered := 0
		for _, endpoint := range relay.balancer.endpoints.sorted {
			if endpoint.currentWeight(relay.now) < initialWeight {
				lowered++
			}
		}
		if test.shared && lowered > 1 { // the first endpoint may, before a second one fails
			t.Errorf("%s: the weights of %d endpoints were lowered, want at most 1", test.name, lowered)
		}
		if !test.shared && lowered == 0 {
			t.Errorf("%s: no endpoint's weight was lowered", test.name)
		}
	}
}
