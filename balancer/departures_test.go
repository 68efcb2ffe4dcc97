package balancer

import (
	"testing"
	"time"
)

// connectMany sets up n connections of a group and returns their server.
func (r *testRelay) connectMany(group uint64, n int) EndpointID {
	var endpoint EndpointID
	for range n {
		_, endpoint = r.connect(group)
	}
	return endpoint
}

// A server that slows but accepts must not keep its groups.
func TestSlowEndpointLosesWeightRoutesAndConnections(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	id, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	s := relay.balancer.endpoints.find(endpoint)
	before := s.currentWeight(relay.now)
	wantActions(t, relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 90 * ms}))
	relay.advance(time.Second)
	moved := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 500 * ms}))
	if moved == 0 || moved == 20 {
		t.Fatalf("%d of 20 connections moved, want a part", moved)
	}
	if after := s.currentWeight(relay.now); after >= before {
		t.Errorf("weight went from %v to %v", before, after)
	}
	if _, next := relay.connect(7); next == endpoint {
		t.Error("the group still grows on the slow server")
	}
}

func TestLoadReliefFollowsBacklogAndGrowth(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, delay time.Duration
		min, max      int
	}{
		{"worked off fast enough", 2000 * ms, 1000 * ms, 0, 0},
		{"steady and short", 150 * ms, 150 * ms, 1, 2},
		{"growing", 100 * ms, 800 * ms, 9, 12},
		{"full to the brim", 2900 * ms, 2900 * ms, 15, 16},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		id, endpoint := relay.connect(7)
		relay.connectMany(7, 19)
		s := relay.balancer.endpoints.find(endpoint)
		s.delay, s.delayAt = test.before, relay.now
		relay.advance(time.Second)
		n := countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay}))
		if n < test.min || n > test.max {
			t.Errorf("%s: %d of 20 moved, want %d to %d", test.name, n, test.min, test.max)
		}
	}
}

// A group left in part is paid for by two servers.
func TestLoadReliefMigratesSmallGroupsFirst(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	big, _ := relay.connect(1)
	relay.connectMany(1, 9)
	small, _ := relay.connect(2)
	relay.connectMany(2, 1)
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: readyEndpoints(2)[1:]})
	relay.balancer.migrateConnections(relay.balancer.endpoints.find(1), 3, ReasonLoadRelief)
	if relay.balancer.requests[small] != nil || relay.balancer.endpoints.find(1).connectionsByGroup[2] != 0 {
		t.Error("the small group stayed")
	}
	if n := relay.balancer.endpoints.find(1).connectionsByGroup[1]; n != 9 || relay.balancer.requests[big] == nil && n == 10 {
		t.Errorf("%d of the big group stayed, want 9", n)
	}
}

// Many relays with one connection each must neither empty a slow server nor
// leave it as it is.
func TestLoadReliefByManyRelaysKeepsSomeConnections(t *testing.T) {
	moved := 0
	for seed := range uint64(200) {
		relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
		relay.balancer = New(testSettings(), seed)
		relay.handle(EndpointList{Kind: ListCached, Endpoints: readyEndpoints(6)})
		id, endpoint := relay.connect(7)
		s := relay.balancer.endpoints.find(endpoint)
		s.delay, s.delayAt = 600*ms, relay.now
		relay.advance(time.Second)
		moved += countActions[Migrate](relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 600 * ms}))
	}
	if moved < 20 || moved > 70 {
		t.Errorf("%d of 200 relays moved their connection, want about 40", moved)
	}
}

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

func TestRequestsQueueForTheConcurrencyWindowAndAreAnswered(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	relay.balancer.concurrency.limit = 1
	first, actions := relay.request(1)
	endpoint := relay.wantSent(actions, first)
	second, actions := relay.request(2)
	wantActions(t, actions)
	relay.request(3)
	actions = relay.handle(Established{Request: first, Endpoint: endpoint, SetupTime: time.Second}) // late: the window stays
	relay.wantSent(actions, second)
	if n := countActions[Reject](relay.advance(2 * time.Second)); n != 2 {
		t.Errorf("%d of the 2 that waited were answered", n)
	}
}

// Draws by set-ups alone don't see what already stands.
func TestDrawAvoidsLoadedEndpoints(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	endpoint := relay.connectMany(7, 30)
	n := 0
	for key := range uint64(1000) {
		if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 100}}).ID == endpoint {
			n++
		}
	}
	if n > 50 {
		t.Errorf("the one crowded server of four drew %d of 1000", n)
	}
}

func TestReportedLoadsAreBooked(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	heavy, endpoint := relay.connect(1)
	light, other := relay.connect(2)
	for range 20 {
		relay.handle(ConnectionLoad{Request: light, Endpoint: other, Load: 0.01})
	}
	relay.handle(ConnectionLoad{Request: heavy, Endpoint: endpoint, Load: 0.1})
	q, p := relay.balancer.requests[heavy], relay.balancer.requests[light]
	if q.load <= 2*p.load {
		t.Errorf("a connection of ten times the load is booked as %v beside %v", q.load, p.load)
	}
}

// Lists that are asked for.

func newPollingRelay(t *testing.T) *testRelay {
	settings := testSettings()
	settings.PollList = true
	relay := newTestRelay(t, settings, readyEndpoints(4)...)
	if n := countActions[WatchEndpoints](relay.actions); n != 1 {
		t.Fatalf("%d calls for the list at the start, want 1", n)
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
			t.Errorf("lost %v: %d attempts followed", lost, n)
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
		t.Errorf("%d attempts left before their backoff", n)
	}
	if n := countActions[SendAttempt](relay.advance(retryBackoffBase)); n != 10 {
		t.Errorf("%d of 10 retries left", n)
	}
}

// Rule 3 wants the list asked for again after a failure, and in time.
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
		t.Errorf("%d calls while the subscription stands", n)
	}
}

// Restarts.

func TestResumedConnectionsRestoreRoutes(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
	relay.handle(Resumed{Request: Request{ID: 900, Group: 7}, Endpoint: 4})
	relay.handle(Resumed{Request: Request{ID: 901, Group: 8}, Endpoint: 77}) // not on the stale list
	if _, endpoint := relay.connect(7); endpoint != 4 {
		t.Errorf("group went to %d, its connection is at 4", endpoint)
	}
	relay.handle(Outcome{Request: 900, Endpoint: 4, Status: StatusReset, Final: true})
	relay.handle(Outcome{Request: 901, Endpoint: 77, Status: StatusReset, Final: true})
	if n := len(relay.balancer.requests); n != 1 {
		t.Errorf("%d connections held, want 1", n)
	}
}

func TestRestartResetsWeightAndSlowness(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	s := relay.balancer.endpoints.find(1)
	s.cutWeight(0, relay.now)
	s.lastSlowAt, s.delayAt = relay.now, relay.now
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Weight: 1, StartedAt: relay.now}}})
	if s.currentWeight(relay.now) != initialWeight || s.isSlow(relay.now) || relay.balancer.warmth(s) != relay.balancer.settings.InitialCapacity {
		t.Errorf("weight %v, slow %v, warmth %v", s.currentWeight(relay.now), s.lastSlowAt, relay.balancer.warmth(s))
	}
}

// The packets of an open connection may reach another relay in mid-flow, as a
// request of its group.
func TestRelaysAgreeOnTheEndpointOfAGroup(t *testing.T) {
	a, b := newTestRelay(t, testSettings(), readyEndpoints(6)...), newTestRelay(t, testSettings(), readyEndpoints(6)...)
	_, endpoint := a.connect(7)
	if got := b.wantSent(b.handle(Request{ID: 1, Group: 7, TimeLeft: time.Second}), 1); got != endpoint {
		t.Errorf("the connection stands at %d, another relay sent it to %d", endpoint, got)
	}
}

func TestUnknownClassIsNotRepeated(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, Class: 9, TimeLeft: time.Second}), 1)
	wantActions(t, relay.fail(1, endpoint, StatusError), Fail{Request: 1})
}

// Set-ups and moves among slow servers are what keeps them slow.
func TestRequestsAreHeldWhileTheSelectedEndpointIsSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	id, actions := relay.request(7)
	wantActions(t, actions)
	wantActions(t, relay.advance(500*ms))
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 30 * ms})
	relay.wantSent(relay.advance(holdInterval), id)
	relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: ms})
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	late, _ := relay.request(7)
	for range 4 { // notes keep coming; the one that waits is answered all the same
		relay.advance(475 * ms)
		relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	}
	relay.advance(100 * ms)
	if countActions[Reject](relay.actions) != 1 || relay.balancer.requests[late] != nil {
		t.Errorf("the request that waited has no answer: %v", relay.actions)
	}
}

// With all servers slow, relief sheds: who is moved waits until a server isn't.
func TestLoadReliefShedsWhenAllEndpointsAreSlow(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.connectMany(7, 19)
	moved := countActions[Migrate](relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second}))
	if moved < 5 || moved > 18 {
		t.Fatalf("%d of 20 moved", moved)
	}
	for range moved {
		_, actions := relay.request(7)
		wantActions(t, actions)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(2 * time.Second)); n < 2 {
		t.Errorf("%d of %d sent once the server was no longer slow", n, moved)
	}
}

// A server that turns set-ups away fast looks empty.
func TestRequestsAreHeldWhileTheEndpointIsFull(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
	id, actions := relay.request(7)
	relay.fail(id, relay.wantSent(actions, id), StatusFull)
	_, actions = relay.request(8)
	wantActions(t, actions)
	relay.advance(1500 * ms)
	if n := countActions[SendAttempt](relay.actions); n != 1 {
		t.Errorf("%d attempts at a server that was full", n)
	}
}

// Those that waited for a slow server must not come all at once.
func TestRecoveryRampLimitsSetupsAfterSlowness(t *testing.T) {
	settings := testSettings()
	settings.Relays = 2
	relay := newTestRelay(t, settings, readyEndpoints(1)...)
	up, endpoint := relay.connect(7)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: time.Second})
	for range 20 {
		relay.request(7)
	}
	relay.advance(ms)
	relay.handle(EndpointDelay{Request: up, Endpoint: endpoint, Delay: 10 * ms})
	if n := countActions[SendAttempt](relay.advance(time.Second)); n < 2 || n > 3 {
		t.Errorf("%d sent within a second, want one in %v", n, 2*recoveryInterval)
	}
	relay.advance(recoveryDuration)
	sent := 0
	for range 10 {
		_, actions := relay.request(8)
		sent += countActions[SendAttempt](actions)
	}
	if sent != 10 {
		t.Errorf("%d of 10 sent long after", sent)
	}
}

// A cached server that is slow must not hold its group up while others are fine.
func TestGroupOfASlowEndpointIsRedrawn(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	_, endpoint := relay.connect(7)
	s := relay.balancer.endpoints.find(endpoint)
	s.lastSlowAt, s.delayAt = relay.now, relay.now
	s.cutWeight(0, relay.now)
	id, actions := relay.request(7)
	if next := relay.wantSent(actions, id); next == endpoint {
		t.Error("sent to the slow server")
	}
}

// Delays grow before they are too long: a group must not go on filling a server
// until it is slow.
func TestGroupIsRedrawnBeforeItsEndpointIsSlow(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		elsewhere bool
	}{{40 * ms, false}, {80 * ms, true}} {
		moved := 0
		for key := range uint64(20) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			id, endpoint := relay.connect(key + 1)
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: test.delay})
			if _, next := relay.connect(key + 1); next != endpoint {
				moved++
			}
		}
		if got := moved > 10; got != test.elsewhere {
			t.Errorf("with a delay of %v of 100 ms, %d of 20 groups grew elsewhere", test.delay, moved)
		}
	}
}

// A client that is refused must not come back at once to servers as full as
// they were.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 1500 * ms
	relay := newTestRelay(t, settings)
	id, actions := relay.request(7)
	wantActions(t, append(actions, relay.advance(2*time.Second)...), Reject{Request: id, RetryAfter: 1500 * ms})
}

// A client has to be told to move before its server leaves; but not all at once.
func TestDrainingMigratesConnectionsInSteps(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	for i := range 20 {
		relay.lastID++
		relay.handle(Resumed{Request: Request{ID: relay.lastID, Group: uint64(i + 1)}, Endpoint: 1})
	}
	listed := Endpoint{ID: 1, State: StateDraining, Weight: 1}
	first := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
	if first == 0 || first > 5 {
		t.Errorf("%d of 20 clients were moved at once", first)
	}
	if again := countActions[Migrate](relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})); again != 0 {
		t.Errorf("%d more were moved as the list came again", again)
	}
	if countActions[Migrate](relay.advance(4*time.Second)) != 20-first || len(relay.balancer.drainTimers) != 0 {
		t.Errorf("%d clients are left on a server that drains", 20-countActions[Migrate](relay.actions))
	}
}

// Eighty relays with a connection each all moved it in the instant in which they were told,
// onto servers that had just started.
func TestManyRelaysMigrateFromADrainingEndpointInTime(t *testing.T) {
	settings := testSettings()
	settings.Relays = 80
	relays := newTestRelays(t, settings, readyEndpoints(3)...)
	for _, relay := range relays {
		relay.handle(Resumed{Request: Request{ID: 1, Group: 5}, Endpoint: 1})
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Weight: 1}}})
	}
	moved := 0
	for at := 250 * ms; at <= 4250*ms; at += 250 * ms {
		n := 0
		for _, relay := range relays {
			n += countActions[Migrate](relay.advance(250 * ms))
		}
		if moved += n; n > 24 || at < 2*time.Second && n > 0 {
			t.Errorf("%d move in the 250 ms before %v", n, at)
		}
	}
	if moved != settings.Relays {
		t.Errorf("%d of %d have moved after 4.25 s", moved, settings.Relays)
	}
}

// Who can't be served by anyone is told so at once, and when to come again.
func TestRequestWithoutViableEndpointIsRejectedAtOnce(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 1500 * ms
	relay := newTestRelay(t, settings, readyEndpoints(2)...)
	id, actions := relay.request(7)
	relay.fail(id, relay.wantSent(actions, id), StatusFull)
	actions = relay.advance(retryBackoffBase)
	if countActions[SendAttempt](actions) == 0 { // the draw may hold it back while it is eased in
		actions = relay.advance(recoveryDuration)
	}
	second := relay.wantSent(actions, id)
	relay.fail(id, second, StatusFull)
	wantActions(t, relay.advance(2*retryBackoffBase), Reject{Request: id, RetryAfter: 1500 * ms})
}

// The advice is when the first server held slow takes work again.
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

// Load that is told with a request counts before the first note.
func TestExpectedLoadIsBookedWhenEstablished(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(4)...)
	var light, heavy RequestID
	for key := range uint64(40) {
		light, _ = relay.connect(key + 1)
		relay.handle(ConnectionLoad{Request: light, Load: 1})
	}
	heavy, relay.lastID = relay.lastID+1, relay.lastID+1
	endpoint := relay.wantSent(relay.handle(Request{ID: heavy, Group: 1000, TimeLeft: time.Second, ExpectedLoad: 5}), heavy)
	relay.handle(Established{Request: heavy, Endpoint: endpoint, SetupTime: ms})
	if l, h := relay.balancer.requests[light].load, relay.balancer.requests[heavy].load; h < 4*l {
		t.Errorf("booked loads %v and %v, want the second about five times the first", l, h)
	}
}

// Where many servers are slow their crowds wait: if they moved on, they would
// topple the next. Where one is, waiting for it helps nobody, and clients whose
// server is slow were held until they gave up while others were free.
func TestDrawAvoidsSlowEndpointsOnlyWhileFewAreSlow(t *testing.T) {
	for name, c := range map[string]struct{ slow, least, most int }{
		"one of six":   {1, 0, 0},
		"three of six": {3, 10, 40},
	} {
		stay := 0
		for key := range uint64(40) {
			relay := newTestRelay(t, testSettings(), readyEndpoints(6)...)
			for other := range uint64(60) {
				relay.connect(other + 100)
			}
			id, endpoint := relay.connect(key + 1)
			s := relay.balancer.endpoints.find(endpoint)
			s.delay, s.delayAt = 400*ms, relay.now
			relay.advance(time.Second)
			for i := range EndpointID(c.slow - 1) {
				relay.handle(EndpointDelay{Endpoint: (endpoint+i)%6 + 1, Delay: 150 * ms})
			}
			relay.handle(EndpointDelay{Request: id, Endpoint: endpoint, Delay: 150 * ms})
			if relay.balancer.drawEndpoint(&requestRecord{Request: Request{Group: key + 1}}) == s {
				stay++
			}
		}
		if stay < c.least || stay > c.most {
			t.Errorf("%s slow: %d of 40 groups wait for their server, want %d to %d", name, stay, c.least, c.most)
		}
	}
}

// A server that sends its client away drains, though the list says so seconds
// later. Clients were placed there again and again meanwhile, each time to be sent
// away at once.
func TestRedirectingEndpointGetsNoNewRequests(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(2)...)
	id, endpoint := relay.connect(7)
	relay.connect(7)
	relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusRedirected, Final: true})
	for key := range uint64(30) {
		if _, next := relay.connect(key + 1); next == endpoint {
			t.Fatalf("group %d goes to the server that sends its clients away", key+1)
		}
	}
	listed := readyEndpoints(2)[endpoint-1]
	listed.StartedAt = relay.now - testSettings().SlowStartDuration // it has started anew, and is warm
	relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}})
	back := 0
	for key := range uint64(60) {
		if _, next := relay.connect(key + 100); next == endpoint {
			back++
		}
	}
	if back == 0 {
		t.Error("nothing goes to the server after its restart")
	}
}
