package balancer

import (
	"testing"
)

// failSetups has set-ups of several groups fail on n of 6 servers while the others accept.
func failSetups(relay *testRelay, n int, status AttemptStatus) {
	for key := range uint64(60) {
		id, actions := relay.request(key + 1)
		for _, a := range actions {
			s, ok := a.(SendAttempt)
			switch {
			case !ok:
			case int(s.Endpoint) <= n:
				relay.fail(id, s.Endpoint, status)
			default:
				relay.handle(Established{Request: id, Endpoint: s.Endpoint, SetupTime: ms})
				relay.handle(Outcome{Request: id, Endpoint: s.Endpoint, Status: StatusOK, Final: true})
			}
		}
		relay.advance(20 * ms)
	}
}

// One cause on many servers is none of theirs, and retries must not feed it.
func TestSharedCauseKeepsWeightsAndLimitsConcurrency(t *testing.T) {
	for _, test := range []struct {
		name   string
		n      int
		why    AttemptStatus
		shared bool
	}{
		{"all time out", 6, StatusTimeout, true},
		{"all answer with errors", 6, StatusError, true},
		{"one server", 1, StatusError, false},
		{"all unreachable", 6, StatusConnectFailed, false},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		failSetups(relay, test.n, test.why)
		if relay.balancer.sharedCauseActive() != test.shared {
			t.Errorf("%s: shared is %v", test.name, !test.shared)
		}
		if limited := relay.balancer.concurrency.limit < maxConcurrency/2; limited != test.shared {
			t.Errorf("%s: window is %v", test.name, relay.balancer.concurrency.limit)
		}
		blamed := 0
		for _, s := range relay.balancer.endpoints.sorted {
			if s.currentWeight(relay.now) < initialWeight {
				blamed++
			}
		}
		if test.shared && blamed > 1 { // one may be, before a second one fails
			t.Errorf("%s: %d servers lost weight", test.name, blamed)
		}
		if !test.shared && blamed == 0 {
			t.Errorf("%s: no server lost weight", test.name)
		}
	}
}
