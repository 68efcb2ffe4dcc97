package balancer

import (
	"testing"
	"time"
)

// Guards against too many setups at an endpoint that has restarted, whether it accepts or rejects them.
func TestSlowStartLimitsSetupsAtARestartedEndpoint(t *testing.T) {
	settings := testSettings()
	endpoints := readyEndpoints(10)
	relay := newTestRelay(t, settings, endpoints...)
	sendRequests := func(d time.Duration, reject bool) (sent int, maxInWindow int) {
		var sentAt []time.Duration
		for end := relay.now + d; relay.now < end; relay.advance(50 * ms) {
			id, actions := relay.request(uint64(relay.lastID) + 100)
			endpoint := relay.wantSent(actions, id)
			if endpoint == 1 && reject {
				relay.fail(id, endpoint, StatusError)
			} else {
				relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
				relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true})
			}
			if endpoint != 1 {
				continue
			}
			sentAt = append(sentAt, relay.now)
			sent++
			inWindow := 0
			for _, at := range sentAt {
				if at > relay.now-settings.OverloadWindow {
					inWindow++
				}
			}
			maxInWindow = max(maxInWindow, inWindow)
		}
		return sent, maxInWindow
	}
	sendRequests(10*time.Second, false)
	for _, reject := range []bool{false, true} {
		endpoints[0].StartedAt = relay.now
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: endpoints[:1]})
		// Each endpoint gets 2 of the 20 setups per second. The overload limit of an endpoint
		// that has just started is 3 x 0.2 x 2 x 1.5 = 1.8 setups per window.
		early, maxInWindow := sendRequests(3*time.Second, reject)
		if early > 3 || maxInWindow > 2 {
			t.Errorf("endpoint rejects setups: %v: %d setups were sent to it in 3 s and %d in a window, want at most 3 and 2", reject, early, maxInWindow)
		}
		if late, _ := sendRequests(30*time.Second, reject); late < 5 {
			t.Errorf("endpoint rejects setups: %v: %d setups were sent to it in the next 30 s, want at least 5", reject, late)
		}
	}
}

func TestSlowStartLimitsSetupsWhenAllEndpointsRestart(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 2
	endpoints := readyEndpoints(4)
	for i := range endpoints {
		endpoints[i].StartedAt = time.Hour
	}
	relay := newTestRelay(t, settings, endpoints...)
	lastSentAt := map[EndpointID]time.Duration{}
	for range 390 {
		_, actions := relay.request(uint64(relay.lastID))
		for _, action := range append(actions, relay.advance(50*ms)...) {
			if attempt, ok := action.(SendAttempt); ok {
				if interval := relay.now - lastSentAt[attempt.Endpoint]; lastSentAt[attempt.Endpoint] > 0 && interval < 1500*ms {
					t.Fatalf("endpoint %d was sent two attempts within %v, want at least 1.5 s between them", attempt.Endpoint, interval)
				}
				lastSentAt[attempt.Endpoint] = relay.now
				relay.handle(Established{Request: attempt.Request, Endpoint: attempt.Endpoint})
			}
		}
	}
	if len(lastSentAt) != 4 {
		t.Errorf("%d of 4 endpoints were sent attempts while warming up", len(lastSentAt))
	}
}

// Guards against many relays that all send a setup to a restarted endpoint at the same time.
func TestSlowStartBudgetIsSharedByManyRelays(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 100
	relays := newTestRelays(t, settings, Endpoint{ID: 1, State: StateReady, Size: 1, StartedAt: time.Hour})
	sent := map[time.Duration]int{} // number of attempts by overload window
	total := 0
	for range 150 {
		for _, relay := range relays {
			_, actions := relay.request(5)
			n := countActions[SendAttempt](append(actions, relay.advance(100*ms)...))
			sent[relay.now/settings.OverloadWindow] += n
			total += n
		}
	}
	for window, n := range sent {
		if n > 14 { // the average limit of a warm endpoint is minWarmSetups
			t.Errorf("%d attempts were sent within overload window %d, want at most 14", n, window)
		}
	}
	if total < 2 {
		t.Errorf("%d attempts were sent in 15 s, want at least 2", total)
	}
}

// Guards against an endpoint that stays empty while it is warming up, as many relays with few requests each rarely
// have one in their time slots.
func TestSlowStartBudgetIsUsedByRelaysWithFewRequests(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 80
	endpoints := readyEndpoints(5)
	endpoints[0].StartedAt = time.Hour
	relays := newTestRelays(t, settings, endpoints...)
	var sent []time.Duration // to the endpoint that is warming up
	for i := range 400 {     // 20 requests per second, spread over the relays
		relay := relays[i*37%settings.RelayCount]
		relay.advance(time.Hour + time.Duration(i)*50*ms - relay.now)
		id, actions := relay.request(uint64(i))
		if endpoint := relay.wantSent(actions, id); endpoint == 1 {
			sent = append(sent, relay.now)
		} else {
			relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
		}
	}
	// The limit of a warm endpoint is 6 setups in 1.5 s; the average warmth is 0.6.
	if len(sent) < 16 || len(sent) > 56 {
		t.Errorf("%d requests were sent to the endpoint in 20 s of warming up, want 16 to 56", len(sent))
	}
	if n := len(sent); n > 0 && sent[n/2] < time.Hour+8*time.Second {
		t.Errorf("half of %d requests were sent within %v of the endpoint's start, want at least 8 s", n, sent[n/2]-time.Hour)
	}
}

// Guards against sending a burst of returning clients to restarted endpoints because the arrival rate was low before
// the burst.
func TestRequestBurstDoesNotOverloadRestartedEndpoints(t *testing.T) {
	settings := testSettings()
	settings.RelayCount, settings.OverloadWindow, settings.InitialCapacity = 80, 3*time.Second, 0.12
	relays := newTestRelays(t, settings, readyEndpoints(13)...)
	sent := map[EndpointID][]time.Duration{}
	sendRequests := func(n int, interval time.Duration) {
		start := relays[0].now
		for i := range n {
			for _, relay := range relays {
				relay.advance(start + time.Duration(i)*interval - relay.now)
			}
			relay := relays[i*37%settings.RelayCount]
			id, actions := relay.request(uint64(i % 14))
			endpoint := relay.wantSent(actions, id)
			sent[endpoint] = append(sent[endpoint], relay.now)
			relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
			relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true})
		}
	}
	sendRequests(80, 500*ms)
	endpoints := readyEndpoints(13)
	for i := range 8 {
		endpoints[i].StartedAt = relays[0].now
	}
	for _, relay := range relays {
		relay.advance(2 * time.Second) // until the list is updated
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: endpoints})
	}
	clear(sent)
	sendRequests(120, 17*ms)
	toRestarted := 0
	for id, sentAt := range sent {
		if toRestarted += len(sentAt); id <= 8 && len(sentAt) > 5 {
			t.Errorf("restarted endpoint %d was sent %d requests within 2 s, want at most 5", id, len(sentAt))
		}
		if id > 8 {
			toRestarted -= len(sentAt)
		}
	}
	if toRestarted < 4 || toRestarted > 24 {
		t.Errorf("the 8 restarted endpoints were sent %d of 120 requests, want 4 to 24", toRestarted)
	}
}
