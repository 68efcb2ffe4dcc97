package balancer

import (
	"testing"
	"time"
)

// newPollingRelay returns a relay that polls for the endpoint list and has got its first list.
func newPollingRelay(t *testing.T) *testRelay {
	settings := testSettings()
	settings.PollList = true
	relay := newTestRelay(t, settings, readyEndpoints(4)...)
	if n := countActions[WatchEndpoints](relay.actions); n != 1 {
		t.Fatalf("%d polls after the cached list, want 1", n)
	}
	relay.handle(EndpointList{Kind: ListFull, Endpoints: readyEndpoints(4)})
	return relay
}

func TestRetryWaitsForBothListAndBackoff(t *testing.T) {
	for _, listAfter := range []time.Duration{20 * ms, 300 * ms} {
		relay := newPollingRelay(t)
		relay.advance(time.Second)
		id, actions := relay.request(7)
		actions = relay.fail(id, relay.wantSent(actions, id), StatusFull)
		wantActions(t, actions, WatchEndpoints{})
		if listAfter < retryBackoffBase {
			relay.advance(listAfter)
			wantActions(t, relay.handle(EndpointList{Kind: ListDelta}))
			wantActions(t, relay.advance(retryBackoffBase-listAfter-1))
			relay.wantSent(relay.advance(1), id)
		} else {
			wantActions(t, relay.advance(listAfter))
			relay.wantSent(relay.handle(EndpointList{Kind: ListDelta}), id)
		}
	}
}

func TestFailedOrUnansweredPollDoesNotBlockRetries(t *testing.T) {
	for _, unanswered := range []bool{true, false} {
		relay := newPollingRelay(t)
		relay.advance(time.Second)
		id, actions := relay.request(7)
		relay.fail(id, relay.wantSent(actions, id), StatusFull)
		if !unanswered {
			relay.handle(EndpointList{Kind: ListFailed})
		}
		if n := countActions[SendAttempt](relay.advance(1500 * ms)); n != 1 {
			t.Errorf("poll unanswered: %v: %d retries were sent, want 1", unanswered, n)
		}
	}
}

func TestRetriesShareOnePoll(t *testing.T) {
	relay := newPollingRelay(t)
	relay.advance(time.Second)
	polls := countActions[WatchEndpoints](relay.actions)
	for key := range uint64(10) {
		id, actions := relay.request(key + 1)
		relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed)
	}
	if n := countActions[WatchEndpoints](relay.actions) - polls; n != 1 {
		t.Errorf("10 retries caused %d polls, want 1", n)
	}
	if n := countActions[SendAttempt](relay.handle(EndpointList{Kind: ListDelta})); n != 0 {
		t.Errorf("%d retries were sent before their backoff ended", n)
	}
	if n := countActions[SendAttempt](relay.advance(retryBackoffBase)); n != 10 {
		t.Errorf("%d of 10 retries were sent after their backoff", n)
	}
}

// Guards against polling less often than the settings require after failed or lost polls.
func TestListIsPolledUntilAnswered(t *testing.T) {
	settings := testSettings()
	settings.PollList = true
	relay := newTestRelay(t, settings, readyEndpoints(2)...)
	for range 10 {
		polls := countActions[WatchEndpoints](relay.actions)
		relay.handle(EndpointList{Kind: ListFailed})
		relay.advance(settings.PollInterval/2 + ms)
		if countActions[WatchEndpoints](relay.actions) == polls {
			t.Fatal("a failed poll was not repeated within half the poll interval")
		}
	}
	polls := countActions[WatchEndpoints](relay.actions)
	relay.advance(settings.PollInterval)
	if countActions[WatchEndpoints](relay.actions) == polls {
		t.Error("an unanswered poll was not repeated within the poll interval")
	}
	relay.handle(EndpointList{Kind: ListFull, Endpoints: readyEndpoints(2)})
	polls = countActions[WatchEndpoints](relay.actions)
	relay.advance(time.Minute)
	if n := countActions[WatchEndpoints](relay.actions) - polls; n != 0 {
		t.Errorf("%d polls in a minute after an answer, want none", n)
	}
}
