package balancer

import (
	"testing"
	"time"
)

// An endpoint that is warming up gets its share of what warm endpoints are seen to bear, rejected set-ups
// counted, and an endpoint that restarts is warming up again.
func TestSlowStartLimitsSetupsAtARestartedEndpoint(t *testing.T) {
	settings := testSettings()
	endpoints := readyEndpoints(10)
	relay := newTestRelay(t, settings, endpoints...)
	arrive := func(d time.Duration, reject bool) (sends int, most int) {
		var at []time.Duration
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
			at = append(at, relay.now)
			sends++
			n := 0
			for _, x := range at {
				if x > relay.now-settings.OverloadWindow {
					n++
				}
			}
			most = max(most, n)
		}
		return sends, most
	}
	arrive(10*time.Second, false)
	for _, reject := range []bool{false, true} {
		endpoints[0].StartedAt = relay.now
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: endpoints[:1]})
		// Each endpoint bears two new connections a second of the twenty: one that is
		// warming up can take 3 x 0.2 x 2 x 1.5 = 1.8 in any window at first.
		early, most := arrive(3*time.Second, reject)
		if early > 3 || most > 2 {
			t.Errorf("rejecting %v: %d sent in 3 s, %d within a window", reject, early, most)
		}
		if late, _ := arrive(30*time.Second, reject); late < 5 {
			t.Errorf("rejecting %v: only %d sent in 30 s", reject, late)
		}
	}
}

func TestSlowStartWhenAllEndpointsRestartAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Relays = 2
	endpoints := readyEndpoints(4)
	for i := range endpoints {
		endpoints[i].StartedAt = time.Hour
	}
	relay := newTestRelay(t, settings, endpoints...)
	last := map[EndpointID]time.Duration{}
	for range 390 {
		_, actions := relay.request(uint64(relay.lastID))
		for _, action := range append(actions, relay.advance(50*ms)...) {
			if attempt, ok := action.(SendAttempt); ok {
				if gap := relay.now - last[attempt.Endpoint]; last[attempt.Endpoint] > 0 && gap < 1500*ms {
					t.Fatalf("endpoint %d was sent two attempts within %v", attempt.Endpoint, gap)
				}
				last[attempt.Endpoint] = relay.now
				relay.handle(Established{Request: attempt.Request, Endpoint: attempt.Endpoint})
			}
		}
	}
	if len(last) != 4 {
		t.Errorf("%d of 4 endpoints that are warming up were ever used", len(last))
	}
}

// Many relays that see an endpoint start, each always with a request for it, must not all send one at the
// same age of it.
func TestSlowStartBudgetIsSharedByManyRelays(t *testing.T) {
	settings := testSettings()
	settings.Relays = 100
	relays := newTestRelays(t, settings, Endpoint{ID: 1, State: StateReady, Size: 1, StartedAt: time.Hour})
	sent := map[time.Duration]int{} // by overload window
	total := 0
	for range 150 {
		for _, relay := range relays {
			_, actions := relay.request(5)
			n := countActions[SendAttempt](append(actions, relay.advance(100*ms)...))
			sent[relay.now/settings.OverloadWindow] += n
			total += n
		}
	}
	for span, n := range sent {
		if n > 14 { // minWarmSetups on average, of a warm endpoint
			t.Errorf("%d sent within window %d, at most about six are wanted", n, span)
		}
	}
	if total < 2 {
		t.Errorf("%d sent in 15 s", total)
	}
}

// Many relays with few requests each use an endpoint that is warming up. Slots by time alone would go
// unused, and leave it empty.
func TestSlowStartBudgetIsUsedByRelaysWithFewRequests(t *testing.T) {
	settings := testSettings()
	settings.Relays = 80
	endpoints := readyEndpoints(5)
	endpoints[0].StartedAt = time.Hour
	relays := newTestRelays(t, settings, endpoints...)
	var sent []time.Duration // to the endpoint that is warming up
	for i := range 400 {     // twenty requests a second, each at another relay
		relay := relays[i*37%settings.Relays]
		relay.advance(time.Hour + time.Duration(i)*50*ms - relay.now)
		id, actions := relay.request(uint64(i))
		if endpoint := relay.wantSent(actions, id); endpoint == 1 {
			sent = append(sent, relay.now)
		} else {
			relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
		}
	}
	// It may be sent 6 in 1.5 s when it is warm, and on average 0.6 of that.
	if len(sent) < 16 || len(sent) > 56 {
		t.Errorf("%d were sent to the endpoint that is warming up in 20 s, about 40 are wanted", len(sent))
	}
	if n := len(sent); n > 0 && sent[n/2] < time.Hour+8*time.Second {
		t.Errorf("half of %d were sent within %v of its start", n, sent[n/2]-time.Hour)
	}
}

// Most endpoints restart at once, and more clients return within two seconds than in the minute before:
// the usual arrival rate must not let relays send all of them to the endpoints that are warming up.
func TestRequestBurstDoesNotOverloadRestartedEndpoints(t *testing.T) {
	settings := testSettings()
	settings.Relays, settings.OverloadWindow, settings.InitialCapacity = 80, 3*time.Second, 0.12
	relays := newTestRelays(t, settings, readyEndpoints(13)...)
	sent := map[EndpointID][]time.Duration{}
	play := func(n int, every time.Duration) {
		at := relays[0].now
		for i := range n {
			for _, relay := range relays {
				relay.advance(at + time.Duration(i)*every - relay.now)
			}
			relay := relays[i*37%settings.Relays]
			id, actions := relay.request(uint64(i % 14))
			endpoint := relay.wantSent(actions, id)
			sent[endpoint] = append(sent[endpoint], relay.now)
			relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
			relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true})
		}
	}
	play(80, 500*ms)
	endpoints := readyEndpoints(13)
	for i := range 8 {
		endpoints[i].StartedAt = relays[0].now
	}
	for _, relay := range relays {
		relay.advance(2 * time.Second) // the delay of the list
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: endpoints})
	}
	clear(sent)
	play(120, 17*ms)
	cold := 0
	for id, at := range sent {
		if cold += len(at); id <= 8 && len(at) > 5 {
			t.Errorf("restarted endpoint %d was sent %d within 2 s", id, len(at))
		}
		if id > 8 {
			cold -= len(at)
		}
	}
	if cold < 4 || cold > 24 {
		t.Errorf("the eight restarted endpoints were sent %d of 120, some 16 are wanted", cold)
	}
}
