package balancer

import (
	"testing"
	"time"
)

// Guards against requests that get no answer, a late one or several, whatever they wait for.
func TestEveryRequestIsAnsweredWithinItsDeadline(t *testing.T) {
	for name, endpoints := range map[string][]Endpoint{
		"no endpoint":   nil,
		"none ready":    {{ID: 1, State: StateDraining, Size: 1}},
		"one, no reply": readyEndpoints(1),
		"several":       readyEndpoints(3),
		"one, warming":  {{ID: 1, State: StateReady, Size: 1, StartedAt: time.Hour}},
	} {
		for _, timeLeft := range []time.Duration{0, ms, 50 * ms, 150 * ms, 2 * time.Second} {
			relay := newTestRelay(t, testSettings(), endpoints...)
			actions := relay.handle(Request{ID: 1, TimeLeft: timeLeft})
			if timeLeft > 10*ms {
				actions = append(actions, relay.advance(timeLeft-1)...)
			}
			if n := countActions[Reject](actions) + countActions[Fail](actions); n != 1 {
				t.Errorf("endpoints %q, %v left: got %d answers, want 1", name, timeLeft, n)
			}
			if actions = relay.advance(10 * time.Second); len(actions) > 0 {
				t.Errorf("endpoints %q, %v left: actions after the answer: %v", name, timeLeft, actions)
			}
		}
	}
}

func TestNoActionAfterClientLeft(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, TimeLeft: time.Second}), 1)
	relay.fail(1, endpoint, StatusFull)
	wantActions(t, relay.handle(ClientLeft{Request: 1}))
	wantActions(t, relay.advance(5*time.Second))
	wantActions(t, relay.fail(1, endpoint, StatusFull))
	wantActions(t, relay.handle(Timer{Token: 999}))
	if len(relay.balancer.requests) != 0 || relay.balancer.concurrency.inFlight != 0 {
		t.Errorf("after the client left: %d requests, %d attempts in flight, want none", len(relay.balancer.requests), relay.balancer.concurrency.inFlight)
	}
}

func TestRequestsQueuedForConcurrencyWindowAreAnswered(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	relay.balancer.concurrency.limit = 1
	first, actions := relay.request(1)
	endpoint := relay.wantSent(actions, first)
	second, actions := relay.request(2)
	wantActions(t, actions)
	relay.request(3)
	actions = relay.handle(Established{Request: first, Endpoint: endpoint, SetupTime: time.Second}) // above the latency objective: the limit stays
	relay.wantSent(actions, second)
	if n := countActions[Reject](relay.advance(2 * time.Second)); n != 2 {
		t.Errorf("%d of 2 requests that are not established were rejected at their deadline", n)
	}
}

// Guards against holding a request until its deadline when every endpoint has already failed it.
func TestRequestWithoutViableEndpointIsRejectedImmediately(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 1500 * ms
	relay := newTestRelay(t, settings, readyEndpoints(2)...)
	id, actions := relay.request(7)
	relay.fail(id, relay.wantSent(actions, id), StatusFull)
	actions = relay.advance(retryBackoffBase)
	if countActions[SendAttempt](actions) == 0 { // it may be held while the endpoint is recovering
		actions = relay.advance(recoveryDuration)
	}
	second := relay.wantSent(actions, id)
	relay.fail(id, second, StatusFull)
	wantActions(t, relay.advance(2*retryBackoffBase), Reject{Request: id, RetryAfter: 1500 * ms})
}

// Guards against rejected clients that return immediately.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 1500 * ms
	relay := newTestRelay(t, settings)
	id, actions := relay.request(7)
	wantActions(t, append(actions, relay.advance(2*time.Second)...), Reject{Request: id, RetryAfter: 1500 * ms})
}

// Guards against clients that return while all endpoints are still slow.
func TestRetryAfterIsTimeUntilEndpointIsNoLongerSlow(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 10 * time.Second
	relay := newTestRelay(t, settings, readyEndpoints(1)...)
	established, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: established, Endpoint: endpoint, Delay: time.Second})
	id, _ := relay.request(7)
	timeLeft := 2*time.Second - 2*settings.ClockResolution
	wantActions(t, relay.advance(timeLeft), Reject{Request: id, RetryAfter: slowDuration - timeLeft})
}
