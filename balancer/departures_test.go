package balancer

import (
	"testing"
	"time"
)

// openMany sets up n connections of a group and returns their server.
func (r *relay) openMany(group uint64, n int) EndpointID {
	var to EndpointID
	for range n {
		_, to = r.open(group)
	}
	return to
}

// A server that slows but accepts must not keep its groups.
func TestSlowServerLosesWeightRoutesAndConnections(t *testing.T) {
	r := newRelay(t, testSettings(), ready(6)...)
	id, to := r.open(7)
	r.openMany(7, 19)
	s := r.b.fleet.find(to)
	before := s.weightAt(r.now)
	wantActions(t, r.do(EndpointDelay{Request: id, Endpoint: to, Delay: 90 * ms}))
	r.pass(time.Second)
	moved := count[Migrate](r.do(EndpointDelay{Request: id, Endpoint: to, Delay: 500 * ms}))
	if moved == 0 || moved == 20 {
		t.Fatalf("%d of 20 connections moved, want a part", moved)
	}
	if after := s.weightAt(r.now); after >= before {
		t.Errorf("weight went from %v to %v", before, after)
	}
	if _, next := r.open(7); next == to {
		t.Error("the group still grows on the slow server")
	}
}

func TestReliefGoesByWhatIsPiledUpAndHowItGrows(t *testing.T) {
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
		r := newRelay(t, testSettings(), ready(6)...)
		id, to := r.open(7)
		r.openMany(7, 19)
		s := r.b.fleet.find(to)
		s.delay, s.delayAt = test.before, r.now
		r.pass(time.Second)
		n := count[Migrate](r.do(EndpointDelay{Request: id, Endpoint: to, Delay: test.delay}))
		if n < test.min || n > test.max {
			t.Errorf("%s: %d of 20 moved, want %d to %d", test.name, n, test.min, test.max)
		}
	}
}

// A group left in part is paid for by two servers.
func TestReliefMovesSmallGroupsFirst(t *testing.T) {
	r := newRelay(t, testSettings(), ready(1)...)
	big, _ := r.open(1)
	r.openMany(1, 9)
	small, _ := r.open(2)
	r.openMany(2, 1)
	r.do(EndpointList{Kind: ListDelta, Endpoints: ready(2)[1:]})
	r.b.relieve(r.b.fleet.find(1), 3, ReasonLoadRelief)
	if r.b.requests[small] != nil || r.b.fleet.find(1).groups[2] != 0 {
		t.Error("the small group stayed")
	}
	if n := r.b.fleet.find(1).groups[1]; n != 9 || r.b.requests[big] == nil && n == 10 {
		t.Errorf("%d of the big group stayed, want 9", n)
	}
}

// Many relays with one connection each must neither empty a slow server nor
// leave it as it is.
func TestReliefByManyRelaysLeavesSome(t *testing.T) {
	moved := 0
	for seed := range uint64(200) {
		r := newRelay(t, testSettings(), ready(6)...)
		r.b = New(testSettings(), seed)
		r.do(EndpointList{Kind: ListCached, Endpoints: ready(6)})
		id, to := r.open(7)
		s := r.b.fleet.find(to)
		s.delay, s.delayAt = 600*ms, r.now
		r.pass(time.Second)
		moved += count[Migrate](r.do(EndpointDelay{Request: id, Endpoint: to, Delay: 600 * ms}))
	}
	if moved < 20 || moved > 70 {
		t.Errorf("%d of 200 relays moved their connection, want about 40", moved)
	}
}

// failOn has set-ups of several groups fail on n of 6 servers while the others accept.
func failOn(r *relay, n int, why AttemptStatus) {
	for key := range uint64(60) {
		id, done := r.ask(key + 1)
		for _, a := range done {
			s, ok := a.(SendAttempt)
			switch {
			case !ok:
			case int(s.Endpoint) <= n:
				r.fail(id, s.Endpoint, why)
			default:
				r.do(Established{Request: id, Endpoint: s.Endpoint, SetupTime: ms})
				r.do(Outcome{Request: id, Endpoint: s.Endpoint, Status: StatusOK, Final: true})
			}
		}
		r.pass(20 * ms)
	}
}

// One cause on many servers is none of theirs, and retries must not feed it.
func TestSharedCauseBlamesNoServerAndLimitsSetups(t *testing.T) {
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
		r := newRelay(t, testSettings(), ready(6)...)
		failOn(r, test.n, test.why)
		if r.b.shared() != test.shared {
			t.Errorf("%s: shared is %v", test.name, !test.shared)
		}
		if limited := r.b.window.size < windowMax/2; limited != test.shared {
			t.Errorf("%s: window is %v", test.name, r.b.window.size)
		}
		blamed := 0
		for _, s := range r.b.fleet.servers {
			if s.weightAt(r.now) < weightStart {
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

func TestRequestsWaitForTheWindowAndAreAnswered(t *testing.T) {
	r := newRelay(t, testSettings(), ready(3)...)
	r.b.window.size = 1
	first, done := r.ask(1)
	to := r.sent(done, first)
	second, done := r.ask(2)
	wantActions(t, done)
	r.ask(3)
	done = r.do(Established{Request: first, Endpoint: to, SetupTime: time.Second}) // late: the window stays
	r.sent(done, second)
	if n := count[Reject](r.pass(2 * time.Second)); n != 2 {
		t.Errorf("%d of the 2 that waited were answered", n)
	}
}

// Draws by set-ups alone don't see what already stands.
func TestDrawShunsCrowdedServers(t *testing.T) {
	r := newRelay(t, testSettings(), ready(4)...)
	to := r.openMany(7, 30)
	n := 0
	for key := range uint64(1000) {
		if r.b.draw(&request{Request: Request{Group: key + 100}}).ID == to {
			n++
		}
	}
	if n > 50 {
		t.Errorf("the one crowded server of four drew %d of 1000", n)
	}
}

func TestToldLoadsCount(t *testing.T) {
	r := newRelay(t, testSettings(), ready(2)...)
	heavy, to := r.open(1)
	light, other := r.open(2)
	for range 20 {
		r.do(ConnectionLoad{Request: light, Endpoint: other, Load: 0.01})
	}
	r.do(ConnectionLoad{Request: heavy, Endpoint: to, Load: 0.1})
	q, p := r.b.requests[heavy], r.b.requests[light]
	if q.load <= 2*p.load {
		t.Errorf("a connection of ten times the load is booked as %v beside %v", q.load, p.load)
	}
}

// Lists that are asked for.

func askRelay(t *testing.T) *relay {
	s := testSettings()
	s.PollList = true
	r := newRelay(t, s, ready(4)...)
	if n := count[WatchEndpoints](r.log); n != 1 {
		t.Fatalf("%d calls for the list at the start, want 1", n)
	}
	r.do(EndpointList{Kind: ListFull, Endpoints: ready(4)})
	return r
}

func TestRetryLeavesAtTheLaterOfListAndTimer(t *testing.T) {
	for _, listAfter := range []time.Duration{20 * ms, 300 * ms} {
		r := askRelay(t)
		r.pass(time.Second)
		id, done := r.ask(7)
		done = r.fail(id, r.sent(done, id), StatusFull)
		wantActions(t, done, WatchEndpoints{})
		if listAfter < backoffBase {
			r.pass(listAfter)
			wantActions(t, r.do(EndpointList{Kind: ListDelta}))
			wantActions(t, r.pass(backoffBase-listAfter-1))
			r.sent(r.pass(1), id)
		} else {
			wantActions(t, r.pass(listAfter))
			r.sent(r.do(EndpointList{Kind: ListDelta}), id)
		}
	}
}

func TestFailedOrLostListStrandsNoRequest(t *testing.T) {
	for _, lost := range []bool{true, false} {
		r := askRelay(t)
		r.pass(time.Second)
		id, done := r.ask(7)
		r.fail(id, r.sent(done, id), StatusFull)
		if !lost {
			r.do(EndpointList{Kind: ListFailed})
		}
		if n := count[SendAttempt](r.pass(1500 * ms)); n != 1 {
			t.Errorf("lost %v: %d attempts followed", lost, n)
		}
	}
}

func TestRetriesShareOneCall(t *testing.T) {
	r := askRelay(t)
	r.pass(time.Second)
	calls := count[WatchEndpoints](r.log)
	for key := range uint64(10) {
		id, done := r.ask(key + 1)
		r.fail(id, r.sent(done, id), StatusConnectFailed)
	}
	if n := count[WatchEndpoints](r.log) - calls; n != 1 {
		t.Errorf("10 retries made %d calls, want 1", n)
	}
	if n := count[SendAttempt](r.do(EndpointList{Kind: ListDelta})); n != 0 {
		t.Errorf("%d attempts left before their backoff", n)
	}
	if n := count[SendAttempt](r.pass(backoffBase)); n != 10 {
		t.Errorf("%d of 10 retries left", n)
	}
}

// Rule 3 wants the list asked for again after a failure, and in time.
func TestListIsAskedForUntilItIsAnswered(t *testing.T) {
	s := testSettings()
	s.PollList = true
	r := newRelay(t, s, ready(2)...)
	for range 10 {
		calls := count[WatchEndpoints](r.log)
		r.do(EndpointList{Kind: ListFailed})
		r.pass(s.PollInterval/2 + ms)
		if count[WatchEndpoints](r.log) == calls {
			t.Fatal("a failed call was not followed by another within half the time allowed")
		}
	}
	calls := count[WatchEndpoints](r.log)
	r.pass(s.PollInterval)
	if count[WatchEndpoints](r.log) == calls {
		t.Error("a call that was never answered was not repeated")
	}
	r.do(EndpointList{Kind: ListFull, Endpoints: ready(2)})
	calls = count[WatchEndpoints](r.log)
	r.pass(time.Minute)
	if n := count[WatchEndpoints](r.log) - calls; n != 0 {
		t.Errorf("%d calls while the subscription stands", n)
	}
}

// Restarts.

func TestResumedConnectionsGiveRoutesBack(t *testing.T) {
	r := newRelay(t, testSettings(), ready(6)...)
	r.do(Resumed{Request: Request{ID: 900, Group: 7}, Endpoint: 4})
	r.do(Resumed{Request: Request{ID: 901, Group: 8}, Endpoint: 77}) // not on the stale list
	if _, to := r.open(7); to != 4 {
		t.Errorf("group went to %d, its connection is at 4", to)
	}
	r.do(Outcome{Request: 900, Endpoint: 4, Status: StatusReset, Final: true})
	r.do(Outcome{Request: 901, Endpoint: 77, Status: StatusReset, Final: true})
	if n := len(r.b.requests); n != 1 {
		t.Errorf("%d connections held, want 1", n)
	}
}

func TestRestartedServerBeginsAnew(t *testing.T) {
	r := newRelay(t, testSettings(), ready(1)...)
	s := r.b.fleet.find(1)
	s.cut(0, r.now)
	s.lastSlow, s.delayAt = r.now, r.now
	r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Weight: 1, StartedAt: r.now}}})
	if s.weightAt(r.now) != weightStart || s.slowAt(r.now) || r.b.warmth(s) != r.b.set.InitialCapacity {
		t.Errorf("weight %v, slow %v, warmth %v", s.weightAt(r.now), s.lastSlow, r.b.warmth(s))
	}
}

// The packets of an open connection may reach another relay in mid-flow, as a
// request of its group.
func TestMidFlowConnectionGoesToItsGroupsServer(t *testing.T) {
	a, b := newRelay(t, testSettings(), ready(6)...), newRelay(t, testSettings(), ready(6)...)
	_, to := a.open(7)
	if got := b.sent(b.do(Request{ID: 1, Group: 7, TimeLeft: time.Second}), 1); got != to {
		t.Errorf("the connection stands at %d, another relay sent it to %d", to, got)
	}
}

func TestUnknownClassIsHeldUnsafe(t *testing.T) {
	r := newRelay(t, testSettings(), ready(3)...)
	to := r.sent(r.do(Request{ID: 1, Class: 9, TimeLeft: time.Second}), 1)
	wantActions(t, r.fail(1, to, StatusError), Fail{Request: 1})
}

// Set-ups and moves among slow servers are what keeps them slow.
func TestRequestsWaitWhileTheServerPickedIsSlow(t *testing.T) {
	r := newRelay(t, testSettings(), ready(1)...)
	up, to := r.open(7)
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second})
	id, done := r.ask(7)
	wantActions(t, done)
	wantActions(t, r.pass(500*ms))
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: 30 * ms})
	r.sent(r.pass(holdFor), id)
	r.do(Established{Request: id, Endpoint: to, SetupTime: ms})
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second})
	late, _ := r.ask(7)
	for range 4 { // notes keep coming; the one that waits is answered all the same
		r.pass(475 * ms)
		r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second})
	}
	r.pass(100 * ms)
	if count[Reject](r.log) != 1 || r.b.requests[late] != nil {
		t.Errorf("the request that waited has no answer: %v", r.log)
	}
}

// With all servers slow, relief sheds: who is moved waits until a server isn't.
func TestReliefShedsWhenAllAreSlow(t *testing.T) {
	r := newRelay(t, testSettings(), ready(1)...)
	up, to := r.open(7)
	r.openMany(7, 19)
	moved := count[Migrate](r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second}))
	if moved < 5 || moved > 18 {
		t.Fatalf("%d of 20 moved", moved)
	}
	for range moved {
		_, done := r.ask(7)
		wantActions(t, done)
	}
	r.pass(ms)
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: 10 * ms})
	if n := count[SendAttempt](r.pass(2 * time.Second)); n < 2 {
		t.Errorf("%d of %d sent once the server was no longer slow", n, moved)
	}
}

// A server that turns set-ups away fast looks empty.
func TestRequestsWaitForAServerThatIsFull(t *testing.T) {
	r := newRelay(t, testSettings(), ready(1)...)
	id, done := r.ask(7)
	r.fail(id, r.sent(done, id), StatusFull)
	_, done = r.ask(8)
	wantActions(t, done)
	r.pass(1500 * ms)
	if n := count[SendAttempt](r.log); n != 1 {
		t.Errorf("%d attempts at a server that was full", n)
	}
}

// Those that waited for a slow server must not come all at once.
func TestServerThatWasSlowIsEasedIn(t *testing.T) {
	s := testSettings()
	s.Relays = 2
	r := newRelay(t, s, ready(1)...)
	up, to := r.open(7)
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second})
	for range 20 {
		r.ask(7)
	}
	r.pass(ms)
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: 10 * ms})
	if n := count[SendAttempt](r.pass(time.Second)); n < 2 || n > 3 {
		t.Errorf("%d sent within a second, want one in %v", n, 2*easeGap)
	}
	r.pass(easeFor)
	sent := 0
	for range 10 {
		_, done := r.ask(8)
		sent += count[SendAttempt](done)
	}
	if sent != 10 {
		t.Errorf("%d of 10 sent long after", sent)
	}
}

// A cached server that is slow must not hold its group up while others are fine.
func TestGroupOfASlowServerIsDrawnElsewhere(t *testing.T) {
	r := newRelay(t, testSettings(), ready(4)...)
	_, to := r.open(7)
	s := r.b.fleet.find(to)
	s.lastSlow, s.delayAt = r.now, r.now
	s.cut(0, r.now)
	id, done := r.ask(7)
	if next := r.sent(done, id); next == to {
		t.Error("sent to the slow server")
	}
}

// Delays grow before they are too long: a group must not go on filling a server
// until it is slow.
func TestGroupIsDrawnAnewBeforeItsServerIsSlow(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		elsewhere bool
	}{{40 * ms, false}, {80 * ms, true}} {
		moved := 0
		for key := range uint64(20) {
			r := newRelay(t, testSettings(), ready(6)...)
			id, to := r.open(key + 1)
			r.do(EndpointDelay{Request: id, Endpoint: to, Delay: test.delay})
			if _, next := r.open(key + 1); next != to {
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
func TestRefusalsAdviseWhenToReturn(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 1500 * ms
	r := newRelay(t, s)
	id, done := r.ask(7)
	wantActions(t, append(done, r.pass(2*time.Second)...), Reject{Request: id, RetryAfter: 1500 * ms})
}

// A client has to be told to move before its server leaves; but not all at once.
func TestClientsOfADrainingServerAreMovedBitByBit(t *testing.T) {
	r := newRelay(t, testSettings(), ready(2)...)
	for i := range 20 {
		r.next++
		r.do(Resumed{Request: Request{ID: r.next, Group: uint64(i + 1)}, Endpoint: 1})
	}
	line := Endpoint{ID: 1, State: StateDraining, Weight: 1}
	first := count[Migrate](r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{line}}))
	if first == 0 || first > 5 {
		t.Errorf("%d of 20 clients were moved at once", first)
	}
	if again := count[Migrate](r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{line}})); again != 0 {
		t.Errorf("%d more were moved as the list came again", again)
	}
	if count[Migrate](r.pass(4*time.Second)) != 20-first || len(r.b.leaving) != 0 {
		t.Errorf("%d clients are left on a server that drains", 20-count[Migrate](r.log))
	}
}

// Eighty relays with a connection each all moved it in the instant in which they were told,
// onto servers that had just started.
func TestManyRelaysMoveADrainingServersClientsInTime(t *testing.T) {
	s := testSettings()
	s.Relays = 80
	relays := fleetOf(t, s, ready(3)...)
	for _, r := range relays {
		r.do(Resumed{Request: Request{ID: 1, Group: 5}, Endpoint: 1})
		r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Weight: 1}}})
	}
	moved := 0
	for at := 250 * ms; at <= 4250*ms; at += 250 * ms {
		n := 0
		for _, r := range relays {
			n += count[Migrate](r.pass(250 * ms))
		}
		if moved += n; n > 24 || at < 2*time.Second && n > 0 {
			t.Errorf("%d move in the 250 ms before %v", n, at)
		}
	}
	if moved != s.Relays {
		t.Errorf("%d of %d have moved after 4.25 s", moved, s.Relays)
	}
}

// Who can't be served by anyone is told so at once, and when to come again.
func TestRequestWithoutHopeIsAnsweredAtOnce(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 1500 * ms
	r := newRelay(t, s, ready(2)...)
	id, done := r.ask(7)
	r.fail(id, r.sent(done, id), StatusFull)
	done = r.pass(backoffBase)
	if count[SendAttempt](done) == 0 { // the draw may hold it back while it is eased in
		done = r.pass(easeFor)
	}
	second := r.sent(done, id)
	r.fail(id, second, StatusFull)
	wantActions(t, r.pass(2*backoffBase), Reject{Request: id, RetryAfter: 1500 * ms})
}

// The advice is when the first server held slow takes work again.
func TestAdviceGoesByTheServers(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 10 * time.Second
	r := newRelay(t, s, ready(1)...)
	up, to := r.open(7)
	r.do(EndpointDelay{Request: up, Endpoint: to, Delay: time.Second})
	id, _ := r.ask(7)
	left := 2*time.Second - 2*s.MinTick
	wantActions(t, r.pass(left), Reject{Request: id, RetryAfter: slowLife - left})
}

// Load that is told with a request counts before the first note.
func TestExpectedLoadCountsFromTheStart(t *testing.T) {
	r := newRelay(t, testSettings(), ready(4)...)
	var light, heavy RequestID
	for key := range uint64(40) {
		light, _ = r.open(key + 1)
		r.do(ConnectionLoad{Request: light, Load: 1})
	}
	heavy, r.next = r.next+1, r.next+1
	to := r.sent(r.do(Request{ID: heavy, Group: 1000, TimeLeft: time.Second, ExpectedLoad: 5}), heavy)
	r.do(Established{Request: heavy, Endpoint: to, SetupTime: ms})
	if l, h := r.b.requests[light].load, r.b.requests[heavy].load; h < 4*l {
		t.Errorf("booked loads %v and %v, want the second about five times the first", l, h)
	}
}

// Where many servers are slow their crowds wait: if they moved on, they would
// topple the next. Where one is, waiting for it helps nobody, and clients whose
// server is slow were held until they gave up while others were free.
func TestCrowdMovesOnOnlyWhileFewServersAreSlow(t *testing.T) {
	for name, c := range map[string]struct{ slow, least, most int }{
		"one of six":   {1, 0, 0},
		"three of six": {3, 10, 40},
	} {
		stay := 0
		for key := range uint64(40) {
			r := newRelay(t, testSettings(), ready(6)...)
			for other := range uint64(60) {
				r.open(other + 100)
			}
			id, to := r.open(key + 1)
			s := r.b.fleet.find(to)
			s.delay, s.delayAt = 400*ms, r.now
			r.pass(time.Second)
			for i := range EndpointID(c.slow - 1) {
				r.do(EndpointDelay{Endpoint: (to+i)%6 + 1, Delay: 150 * ms})
			}
			r.do(EndpointDelay{Request: id, Endpoint: to, Delay: 150 * ms})
			if r.b.draw(&request{Request: Request{Group: key + 1}}) == s {
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
func TestServerThatSendsAwayGetsNothingNew(t *testing.T) {
	r := newRelay(t, testSettings(), ready(2)...)
	id, to := r.open(7)
	r.open(7)
	r.do(Outcome{Request: id, Endpoint: to, Status: StatusRedirected, Final: true})
	for key := range uint64(30) {
		if _, next := r.open(key + 1); next == to {
			t.Fatalf("group %d goes to the server that sends its clients away", key+1)
		}
	}
	line := ready(2)[to-1]
	line.StartedAt = r.now - testSettings().SlowStartDuration // it has started anew, and is warm
	r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{line}})
	back := 0
	for key := range uint64(60) {
		if _, next := r.open(key + 100); next == to {
			back++
		}
	}
	if back == 0 {
		t.Error("nothing goes to the server after its restart")
	}
}
