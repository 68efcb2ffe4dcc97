package balancer

import (
	"testing"
	"time"
)

func newPollingRelay(t *testing.T) *testRelay {
	settings := testSettings()
	settings.PollList = true
	relay := newTestRelay(t, settings, readyEndpoints(4)...)
	if n := countActions[WatchEndpoints](relay.actions); n != 1 {
		t.Fatalf("%d requests for the list at the start, want 1", n)
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

func TestFailedOrUnansweredListDoesNotBlockRetries(t *testing.T) {
	for _, lost := range []bool{true, false} {
		relay := newPollingRelay(t)
		relay.advance(time.Second)
		id, actions := relay.request(7)
		relay.fail(id, relay.wantSent(actions, id), StatusFull)
		if !lost {
			relay.handle(EndpointList{Kind: ListFailed})
		}
		if n := countActions[SendAttempt](relay.advance(1500 * ms)); n != 1 {
			t.Errorf("answer lost %v: %d attempts followed", lost, n)
		}
	}
}

func TestRetriesShareOneListRequest(t *testing.T) {
	relay := newPollingRelay(t)
	relay.advance(time.Second)
	calls := countActions[WatchEndpoints](relay.actions)
	for key := range uint64(10) {
		id, actions := relay.request(key + 1)
		relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed)
	}
	if n := countActions[WatchEndpoints](relay.actions) - calls; n != 1 {
		t.Errorf("10 retries made %d calls, want 1", n)
	}
	if n := countActions[SendAttempt](relay.handle(EndpointList{Kind: ListDelta})); n != 0 {
		t.Errorf("%d attempts were sent before their backoff", n)
	}
	if n := countActions[SendAttempt](relay.advance(retryBackoffBase)); n != 10 {
		t.Errorf("%d of 10 retries were sent", n)
	}
}

// After a failed call the list is asked for again within the time that the settings demand.
func TestListIsPolledUntilAnswered(t *testing.T) {
	settings := testSettings()
	settings.PollList = true
	relay := newTestRelay(t, settings, readyEndpoints(2)...)
	for range 10 {
		calls := countActions[WatchEndpoints](relay.actions)
		relay.handle(EndpointList{Kind: ListFailed})
		relay.advance(settings.PollInterval/2 + ms)
		if countActions[WatchEndpoints](relay.actions) == calls {
			t.Fatal("a failed call was not followed by another within half the time allowed")
		}
	}
	calls := countActions[WatchEndpoints](relay.actions)
	relay.advance(settings.PollInterval)
	if countActions[WatchEndpoints](relay.actions) == calls {
		t.Error("a call that was never answered was not repeated")
	}
	relay.handle(EndpointList{Kind: ListFull, Endpoints: readyEndpoints(2)})
	calls = countActions[WatchEndpoints](relay.actions)
	relay.advance(time.Minute)
	if n := countActions[WatchEndpoints](relay.actions) - calls; n != 0 {
		t.Errorf("%d calls while the subscription holds", n)
	}
}
