package balancer

import (
	"testing"
)

// failSetups makes set-ups of several groups fail at n of 6 endpoints while the others accept.
func failSetups(relay *testRelay, n int, status AttemptStatus) {
	for key := range uint64(60) {
		id, actions := relay.request(key + 1)
		for _, action := range actions {
			attempt, ok := action.(SendAttempt)
			switch {
			case !ok:
			case int(attempt.Endpoint) <= n:
				relay.fail(id, attempt.Endpoint, status)
			default:
				relay.handle(Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: ms})
				relay.handle(Outcome{Request: id, Endpoint: attempt.Endpoint, Status: StatusOK, Final: true})
			}
		}
		relay.advance(20 * ms)
	}
}

// No endpoint is blamed for a cause that many share, and retries must not add to it.
func TestSharedCauseKeepsWeightsAndLimitsConcurrency(t *testing.T) {
	for _, test := range []struct {
		name   string
		n      int
		why    AttemptStatus
		shared bool
	}{
		{"all time out", 6, StatusTimeout, true},
		{"all answer with errors", 6, StatusError, true},
		{"one endpoint", 1, StatusError, false},
		{"all unreachable", 6, StatusConnectFailed, false},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		failSetups(relay, test.n, test.why)
		if relay.balancer.sharedCauseActive() != test.shared {
			t.Errorf("%s: shared is %v", test.name, !test.shared)
		}
		if limited := relay.balancer.concurrency.limit < maxConcurrency/2; limited != test.shared {
			t.Errorf("%s: the limit is %v", test.name, relay.balancer.concurrency.limit)
		}
		blamed := 0
		for _, state := range relay.balancer.endpoints.sorted {
			if state.currentWeight(relay.now) < initialWeight {
				blamed++
			}
		}
		if test.shared && blamed > 1 { // one may, before a second one fails
			t.Errorf("%s: %d endpoints lost weight", test.name, blamed)
		}
		if !test.shared && blamed == 0 {
			t.Errorf("%s: no endpoint lost weight", test.name)
		}
	}
}
