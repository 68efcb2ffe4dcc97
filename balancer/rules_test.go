package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Rule 1: whatever a request waits for, it is answered in time and once.
func TestEveryRequestIsAnsweredWithinItsDeadline(t *testing.T) {
	for name, endpoints := range map[string][]Endpoint{
		"no server":     nil,
		"none ready":    {{ID: 1, State: StateDraining, Weight: 1}},
		"one, silent":   readyEndpoints(1),
		"several":       readyEndpoints(3),
		"only cold one": {{ID: 1, State: StateReady, Weight: 1, StartedAt: time.Hour}},
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

func TestBackoffPastTheDeadlineRejectsTheRequest(t *testing.T) {
	relay := newTestRelay(t, testSettings(), readyEndpoints(3)...)
	endpoint := relay.wantSent(relay.handle(Request{ID: 1, TimeLeft: 90 * ms}), 1)
	wantActions(t, relay.fail(1, endpoint, StatusFull), Reject{Request: 1})
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
		t.Errorf("%d requests held, %d attempts counted", len(relay.balancer.requests), relay.balancer.concurrency.inFlight)
	}
}

// Rule 2: what may follow an attempt, by class and by how it ended.
func TestRetryStaysWithinDeduplicationScope(t *testing.T) {
	endpoints := []Endpoint{
		{ID: 1, State: StateReady, Weight: 1, Zone: 0, Cell: 0},
		{ID: 2, State: StateReady, Weight: 1, Zone: 0, Cell: 1},
		{ID: 3, State: StateReady, Weight: 1, Zone: 1, Cell: 2},
		{ID: 4, State: StateReady, Weight: 1, Zone: 0, Cell: 0},
		{ID: 5, State: StateReady, Weight: 1, Zone: 1, Cell: 2},
	}
	zone := map[EndpointID]int{1: 0, 2: 0, 3: 1, 4: 0, 5: 1}
	cell := map[EndpointID]int{1: 0, 2: 1, 3: 2, 4: 0, 5: 2}
	ran := map[AttemptStatus]bool{StatusError: true, StatusTimeout: true, StatusReset: true, StatusCancelled: true}
	for _, class := range []Class{
		{Effect: Idempotent},
		{Effect: Deduplicated, Scope: ScopeAll, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeZone, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeCell, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeAll, DeduplicationWindow: 50 * ms},
		{Effect: AtMostOnce},
	} {
		for _, status := range []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusNotSent} {
			for key := uint64(1); key < 20; key++ {
				settings := testSettings()
				class.Deadline = 2 * time.Second
				settings.Classes = []Class{class}
				relay := newTestRelay(t, settings, endpoints...)
				id, actions := relay.request(key)
				first := relay.wantSent(actions, id)
				actions = append(relay.fail(id, first, status), relay.advance(150*ms)...)
				mayRepeat := !ran[status] || class.Effect == Idempotent ||
					class.Effect == Deduplicated && class.DeduplicationWindow > 100*ms
				mayRefuse := !ran[status] || class.Effect == Idempotent ||
					class.Effect == Deduplicated && class.Scope == ScopeAll
				for _, a := range actions {
					switch a := a.(type) {
					case SendAttempt:
						if !mayRepeat {
							t.Errorf("%+v after %d: sent again", class, status)
						}
						scoped := ran[status] && class.Effect == Deduplicated
						if scoped && class.Scope == ScopeZone && zone[a.Endpoint] != zone[first] ||
							scoped && class.Scope == ScopeCell && cell[a.Endpoint] != cell[first] {
							t.Errorf("%+v after %d: %d then %d", class, status, first, a.Endpoint)
						}
					case Reject:
						if !mayRefuse {
							t.Errorf("%+v after %d: refused", class, status)
						}
					case Fail:
						if mayRefuse {
							t.Errorf("%+v after %d: failed though a refusal is true", class, status)
						}
					}
				}
				if mayRepeat && class.Scope == ScopeAll && countActions[SendAttempt](actions) != 1 {
					t.Errorf("%+v after %d: not sent again", class, status)
				}
			}
		}
	}
}

// Rule 3: neither first tries, cached routes nor timers go to a server that
// drains or is gone.
func TestNoAttemptGoesToADrainingOrGoneEndpoint(t *testing.T) {
	for name, list := range map[string]EndpointList{
		"draining":   {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Weight: 1}}},
		"gone":       {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateGone}}},
		"left out":   {Kind: ListFull, Endpoints: readyEndpoints(2)[1:]},
		"cached out": {Kind: ListCached, Endpoints: readyEndpoints(2)[1:]},
	} {
		relay := newTestRelay(t, testSettings(), readyEndpoints(1)...)
		relay.connect(7)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: readyEndpoints(2)[1:]})
		var ids []RequestID
		for key := range uint64(20) { // some wait for a backoff when the news comes
			id, actions := relay.request(key + 7)
			ids = append(ids, id)
			relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed)
		}
		relay.handle(list)
		for range 20 {
			relay.request(7)
		}
		relay.advance(time.Second)
		for _, a := range relay.actions[slices.IndexFunc(relay.actions, func(a Action) bool {
			endpoint, ok := a.(SendAttempt)
			return ok && endpoint.Request > ids[len(ids)-1]
		}):] {
			if endpoint, ok := a.(SendAttempt); ok && endpoint.Endpoint == 1 {
				t.Errorf("%s: request %d sent to it", name, endpoint.Request)
			}
		}
	}
}

// Rule 4: a cold server gets its share of what warm servers are seen to bear,
// rejected set-ups counted, and a server that restarts is cold anew.
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
		// Each server bears two new connections a second of the twenty: a cold one
		// can take 3 x 0.2 x 2 x 1.5 = 1.8 in any window at first.
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
		for _, a := range append(actions, relay.advance(50*ms)...) {
			if endpoint, ok := a.(SendAttempt); ok {
				if gap := relay.now - last[endpoint.Endpoint]; last[endpoint.Endpoint] > 0 && gap < 1500*ms {
					t.Fatalf("server %d sent to twice within %v", endpoint.Endpoint, gap)
				}
				last[endpoint.Endpoint] = relay.now
				relay.handle(Established{Request: endpoint.Request, Endpoint: endpoint.Endpoint})
			}
		}
	}
	if len(last) != 4 {
		t.Errorf("%d of 4 cold servers ever used", len(last))
	}
}

// Many relays that watch a server start, each with a request for it all the
// time, must not send to it at the same age.
func TestSlowStartBudgetIsSharedByManyRelays(t *testing.T) {
	settings := testSettings()
	settings.Relays = 100
	relays := newTestRelays(t, settings, Endpoint{ID: 1, State: StateReady, Weight: 1, StartedAt: time.Hour})
	sent := map[time.Duration]int{} // by span
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
		if n > 14 { // coldLeast on average, of a server that is warm
			t.Errorf("%d sent within span %d, at most about six are wanted", n, span)
		}
	}
	if total < 2 {
		t.Errorf("%d sent in 15 s", total)
	}
}

// Many relays with few requests each fill a server that has started, and no one of them
// as much as it could bear: turns by time went by unused, and the server stayed empty.
func TestSlowStartBudgetIsUsedByRelaysWithFewRequests(t *testing.T) {
	settings := testSettings()
	settings.Relays = 80
	endpoints := readyEndpoints(5)
	endpoints[0].StartedAt = time.Hour
	relays := newTestRelays(t, settings, endpoints...)
	var sent []time.Duration // to the cold server
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
		t.Errorf("%d were sent to the cold server in 20 s, about 40 are wanted", len(sent))
	}
	if n := len(sent); n > 0 && sent[n/2] < time.Hour+8*time.Second {
		t.Errorf("half of %d were sent within %v of its start", n, sent[n/2]-time.Hour)
	}
}

// Most servers are new at once, and more clients come back within two seconds than in a
// minute before: what relays know of their usual requests must not have them all sent to
// the servers that have just started.
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
		relay.advance(2 * time.Second) // that the list is behind
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: endpoints})
	}
	clear(sent)
	play(120, 17*ms)
	cold := 0
	for id, at := range sent {
		if cold += len(at); id <= 8 && len(at) > 5 {
			t.Errorf("new server %d was sent %d within 2 s", id, len(at))
		}
		if id > 8 {
			cold -= len(at)
		}
	}
	if cold < 4 || cold > 24 {
		t.Errorf("the eight new servers were sent %d of 120, some 16 are wanted", cold)
	}
}

// TestInvariantsHoldOverRandomEvents plays random legal events and checks all four
// rules, and that what the Balancer counts stays true.
func TestInvariantsHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		newRandomScenario(t, seed).run(1500)
	}
}

// randomScenario is a random but legal world around a Balancer.
type randomScenario struct {
	*testRelay
	rng               *rand.Rand
	settings          Settings
	listed            []Endpoint
	unavailableSince  map[EndpointID]time.Duration // told draining or gone since
	requests          map[RequestID]*scenarioRequest
	attempts          []scenarioAttempt // attempts out or connections up
	slowStartAttempts map[EndpointID][]time.Duration
}

type scenarioRequest struct {
	Request
	arrivedAt   time.Duration
	attempts    []scenarioAttempt
	inFlight    int
	established bool
}

type scenarioAttempt struct {
	request    RequestID
	endpoint   Endpoint
	sentAt     time.Duration
	mayHaveRun bool
}

func newRandomScenario(t *testing.T, seed uint64) *randomScenario {
	rng := rand.New(rand.NewPCG(seed, 99))
	settings := testSettings()
	settings.Relays = 1 + rng.IntN(4)
	settings.PollList = rng.IntN(2) == 0
	settings.CrossZoneCost = float64(rng.IntN(2))
	settings.MaxAttempts = 1 + rng.IntN(5)
	settings.Classes = []Class{
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 50 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, Scope: ScopeZone, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, Scope: ScopeCell, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, DeduplicationWindow: 300 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: AtMostOnce},
	}
	endpoints := readyEndpoints(1 + rng.IntN(10))
	for i := range endpoints {
		endpoints[i].Zone, endpoints[i].Cell = i%2, i%4
	}
	scenario := &randomScenario{testRelay: newTestRelay(t, settings, endpoints...), rng: rng, settings: settings, listed: slices.Clone(endpoints),
		unavailableSince: map[EndpointID]time.Duration{}, requests: map[RequestID]*scenarioRequest{},
		slowStartAttempts: map[EndpointID][]time.Duration{}}
	return scenario
}

func (s *randomScenario) run(steps int) {
	for range steps {
		s.step()
	}
	// Without further events every request still gets its answer.
	s.check(s.elapse(3 * time.Second))
	for id, request := range s.requests {
		if !request.established {
			s.t.Errorf("request %d was never answered", id)
		}
	}
	out := 0
	for _, q := range s.balancer.requests {
		if q.endpoint != nil && !q.established {
			out++
		}
	}
	if out != s.balancer.concurrency.inFlight || out != 0 {
		s.t.Errorf("%d attempts out, %d counted", out, s.balancer.concurrency.inFlight)
	}
	for _, endpoint := range s.balancer.endpoints.sorted {
		n, load := 0, 0.0
		for _, c := range endpoint.connections {
			load += c.load
		}
		for _, g := range endpoint.connectionsByGroup {
			n += g
		}
		if n != len(endpoint.connections) || load-endpoint.load > 1e-6 || endpoint.load-load > 1e-6 {
			s.t.Errorf("server %d: %d connections, %d in groups, load %v booked as %v", endpoint.ID, len(endpoint.connections), n, load, endpoint.load)
		}
	}
}

// elapse lets time pass timer by timer, checking on the way.
func (s *randomScenario) elapse(d time.Duration) []Action {
	for end := s.now + d; s.now < end; {
		s.check(s.advance(min(5*ms, end-s.now)))
	}
	return nil
}

func (s *randomScenario) step() {
	switch k := s.rng.IntN(20); {
	case k < 6:
		s.lastID++
		q := Request{ID: s.lastID, Class: s.rng.IntN(len(s.settings.Classes)), Group: s.rng.Uint64N(6),
			TimeLeft: time.Duration(s.rng.IntN(2000)) * ms, Returning: s.rng.IntN(3) == 0}
		s.requests[q.ID] = &scenarioRequest{Request: q, arrivedAt: s.now}
		s.check(s.handle(q))
	case k < 13 && len(s.attempts) > 0:
		s.endAttempt(s.rng.IntN(len(s.attempts)))
	case k < 14:
		s.changeList()
	case k < 15:
		if ids := s.requestIDs(); len(ids) > 0 {
			id := ids[s.rng.IntN(len(ids))]
			if !s.requests[id].established {
				delete(s.requests, id)
				s.check(s.handle(ClientLeft{Request: id}))
			}
		}
	case k < 16 && len(s.attempts) > 0:
		attempt := s.attempts[s.rng.IntN(len(s.attempts))]
		delay := time.Duration(s.rng.IntN(3000)) * ms
		s.check(s.handle(EndpointDelay{Request: attempt.request, Endpoint: attempt.endpoint.ID, Delay: delay}))
		s.check(s.handle(ConnectionLoad{Request: attempt.request, Endpoint: attempt.endpoint.ID, Load: s.rng.Float64()}))
	case k < 17:
		s.check(s.handle(Timer{Token: s.rng.Uint32()}))
	default:
		s.elapse(time.Duration(s.rng.IntN(60)) * ms)
	}
}

func (s *randomScenario) requestIDs() []RequestID {
	var ids []RequestID
	for id := range s.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endAttempt brings an attempt forward: it stands, or ends.
func (s *randomScenario) endAttempt(i int) {
	attempt := s.attempts[i]
	request := s.requests[attempt.request]
	if request != nil && !request.established && s.rng.IntN(2) == 0 {
		request.established = true
		s.check(s.handle(Established{Request: attempt.request, Endpoint: attempt.endpoint.ID}))
		return
	}
	s.attempts = slices.Delete(s.attempts, i, i+1)
	status := []AttemptStatus{StatusOK, StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusNotSent}[s.rng.IntN(8)]
	over := request == nil || request.established || status == StatusOK
	if request != nil {
		request.inFlight--
		if status != StatusFull && status != StatusConnectFailed && status != StatusNotSent {
			request.attempts[len(request.attempts)-1].mayHaveRun = true
		}
	}
	if over {
		delete(s.requests, attempt.request)
	}
	s.check(s.handle(Outcome{Request: attempt.request, Endpoint: attempt.endpoint.ID, Status: status, Final: over}))
}

// changeList changes the list: servers drain, go, come back cold or are left out.
func (s *randomScenario) changeList() {
	if s.rng.IntN(4) == 0 {
		s.check(s.handle(EndpointList{Kind: ListFailed}))
		return
	}
	endpoint := &s.listed[s.rng.IntN(len(s.listed))]
	endpoint.State = EndpointState(s.rng.IntN(3))
	if endpoint.State == StateReady && s.rng.IntN(2) == 0 {
		endpoint.StartedAt = s.now
		delete(s.slowStartAttempts, endpoint.ID)
	}
	list := EndpointList{Kind: ListDelta, Endpoints: []Endpoint{*endpoint}}
	if s.rng.IntN(3) == 0 {
		list = EndpointList{Kind: ListFull}
		for _, endpoint := range s.listed {
			if endpoint.State != StateGone {
				list.Endpoints = append(list.Endpoints, endpoint)
			}
		}
	}
	if endpoint.State == StateReady {
		delete(s.unavailableSince, endpoint.ID)
	} else if s.unavailableSince[endpoint.ID] == 0 {
		s.unavailableSince[endpoint.ID] = s.now
	}
	s.check(s.handle(list))
}

// check holds actions against the rules.
func (s *randomScenario) check(actions []Action) {
	s.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			s.checkAttempt(a)
		case Reject:
			request := s.checkAnswer(a.Request)
			for i := range request.attempts {
				if class := s.settings.Classes[request.Class]; (request.attempts[i].mayHaveRun || request.inFlight > 0) && class.Effect != Idempotent &&
					!(class.Effect == Deduplicated && class.Scope == ScopeAll) {
					s.t.Fatalf("rule 2: request %d of class %d refused though it may have run", request.ID, request.Class)
				}
			}
		case Fail:
			s.checkAnswer(a.Request)
		case Migrate:
			if request := s.requests[a.Request]; request == nil || !request.established {
				s.t.Fatalf("request %d moved, but it isn't up", a.Request)
			}
			delete(s.requests, a.Request)
			s.attempts = slices.DeleteFunc(s.attempts, func(attempt scenarioAttempt) bool { return attempt.request == a.Request })
		}
	}
}

func (s *randomScenario) checkAnswer(id RequestID) *scenarioRequest {
	s.t.Helper()
	request := s.requests[id]
	if request == nil || request.established {
		s.t.Fatalf("rule 1: request %d answered, but not owed an answer", id)
	}
	if s.now > request.arrivedAt+request.TimeLeft+20*ms {
		s.t.Fatalf("rule 1: request %d answered %v after its client left", id, s.now-request.arrivedAt-request.TimeLeft)
	}
	delete(s.requests, id)
	return request
}

func (s *randomScenario) checkAttempt(a SendAttempt) {
	s.t.Helper()
	request := s.requests[a.Request]
	if request == nil || request.established || request.inFlight > 0 {
		s.t.Fatalf("rule 1: attempt for request %d, which is over or has one out", a.Request)
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("request %d has more than %d attempts", a.Request, s.settings.MaxAttempts)
	}
	i := slices.IndexFunc(s.listed, func(endpoint Endpoint) bool { return endpoint.ID == a.Endpoint })
	to := s.listed[i]
	class := s.settings.Classes[request.Class]
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun || class.Effect == Idempotent {
			continue
		}
		switch {
		case class.Effect == AtMostOnce,
			s.now > attempt.sentAt+class.DeduplicationWindow,
			class.Scope == ScopeZone && to.Zone != attempt.endpoint.Zone,
			class.Scope == ScopeCell && to.Cell != attempt.endpoint.Cell:
			s.t.Fatalf("rule 2: request %d of class %d sent again", request.ID, request.Class)
		}
	}
	if since, ok := s.unavailableSince[to.ID]; ok && s.now > since+time.Second {
		s.t.Fatalf("rule 3: sent to %d, told draining or gone %v ago", to.ID, s.now-since)
	}
	if to.StartedAt > 0 && s.now < to.StartedAt+s.settings.SlowStartDuration {
		// No more than the share of one relay in what a window may hold, or one.
		sent := append(s.slowStartAttempts[to.ID], s.now)
		s.slowStartAttempts[to.ID] = sent
		n := 0
		for _, at := range sent {
			if at > s.now-s.settings.OverloadWindow {
				n++
			}
		}
		age := float64(s.now-to.StartedAt) / float64(s.settings.SlowStartDuration)
		share := s.settings.InitialCapacity + (1-s.settings.InitialCapacity)*age
		if most := 1 + 10*share*s.settings.OverloadMultiple*s.settings.OverloadWindow.Seconds(); float64(n) > most {
			s.t.Fatalf("rule 4: cold server %d sent %d in a window, %v at most", to.ID, n, most)
		}
	}
	request.inFlight++
	attempt := scenarioAttempt{request: request.ID, endpoint: to, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	s.attempts = append(s.attempts, attempt)
}

// Servers come and go by changes alone, for as long as the relay runs: those that are gone make room.
func TestGoneEndpointsAreRemovedFromTheTable(t *testing.T) {
	b := New(testSettings(), 1)
	now := time.Duration(0)
	for id := EndpointID(1); id < 3000; id++ {
		now += time.Second
		b.Handle(now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: id, State: StateReady, Weight: 1}, {ID: id - 1, State: StateGone}}})
	}
	if n := len(b.endpoints.sorted); n > 3 {
		t.Errorf("%d servers are kept, of which one is there", n)
	}
}
