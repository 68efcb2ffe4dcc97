package balancer

import (
	"testing"
	"time"
)

// Whatever a request waits for, it is answered once and within its deadline.
func TestEveryRequestIsAnsweredWithinItsDeadline(t *testing.T) {
	for name, endpoints := range map[string][]Endpoint{
		"no endpoint":   nil,
		"none ready":    {{ID: 1, State: StateDraining, Size: 1}},
		"one, silent":   readyEndpoints(1),
		"several":       readyEndpoints(3),
		"only cold one": {{ID: 1, State: StateReady, Size: 1, StartedAt: time.Hour}},
	} {
		for _, left := range []time.Duration{0, ms, 50 * ms, 150 * ms, 2 * time.Second} {
			relay := newTestRelay(t, testSettings(), endpoints...)
			actions := relay.handle(Request{ID: 1, TimeLeft: left})
			if left > 10*ms {
				actions = append(actions, relay.advance(left-1)...)
			}
			if n := countActions[Reject](actions) + countActions[Fail](actions); n != 1 {
				t.Errorf("%s, %v left: %d answers", name, left, n)
			}
			if actions = relay.advance(10 * time.Second); len(actions) > 0 {
				t.Errorf("%s, %v left: %v after the answer", name, left, actions)
			}
		}
	}
}

func TestNoActionFollowsAClientThatLeft(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, TimeLeft: time.Second}), 1)
	relay.fail(1, endpoint, StatusFull)
	wantActions(t, relay.handle(ClientLeft{Request: 1}))
	wantActions(t, relay.advance(5*time.Second))
	wantActions(t, relay.fail(1, endpoint, StatusFull))
	wantActions(t, relay.handle(Timer{Token: 999}))
	if len(relay.balancer.requests) != 0 || relay.balancer.concurrency.inFlight != 0 {
		t.Errorf("%d requests kept, %d attempts in flight", len(relay.balancer.requests), relay.balancer.concurrency.inFlight)
	}
}

func TestRequestsQueueForTheConcurrencyWindowAndAreAnswered(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	relay.balancer.concurrency.limit = 1
	first, actions := relay.request(1)
	endpoint := relay.wantSent(actions, first)
	second, actions := relay.request(2)
	wantActions(t, actions)
	relay.request(3)
	actions = relay.handle(Established{Request: first, Endpoint: endpoint, SetupTime: time.Second}) // it misses its objective: the limit stays
	relay.wantSent(actions, second)
	if n := countActions[Reject](relay.advance(2 * time.Second)); n != 2 {
		t.Errorf("%d of the 2 that were queued were answered", n)
	}
}

// A request that no endpoint can take is rejected at once, with a retry-after.
func TestRequestWithoutViableEndpointIsRejectedAtOnce(t *testing.T) {
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

// A rejected client must not return at once to endpoints that are still full.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 1500 * ms
	relay := newTestRelay(t, settings)
	id, actions := relay.request(7)
	wantActions(t, append(actions, relay.advance(2*time.Second)...), Reject{Request: id, RetryAfter: 1500 * ms})
}

// The retry-after is when the first of the slow endpoints takes requests again.
func TestRetryAfterIsWhenASlowEndpointTakesRequestsAgain(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 10 * time.Second
	relay := newTestRelay(t, settings, readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	id, _ := relay.request(7)
	left := 2*time.Second - 2*settings.MinTick
	wantActions(t, relay.advance(left), Reject{Request: id, RetryAfter: slowDuration - left})
}
