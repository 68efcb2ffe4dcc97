package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestInvariantsHoldOverRandomEvents passes random valid events to a Balancer and checks that
//
//  1. each request is answered once and within its deadline,
//  2. a request that may have been executed is repeated or rejected only if that is safe,
//  3. no request is sent to an endpoint that is listed as draining or gone,
//  4. an endpoint that is warming up gets no more setups than its slow start allows,
//
// and that the Balancer's counters are consistent with its records.
func TestInvariantsHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		newRandomScenario(t, seed).run(1500)
	}
}

// randomScenario simulates random but valid clients and endpoints of a Balancer.
type randomScenario struct {
	*testRelay
	rng               *rand.Rand
	settings          Settings
	listed            []Endpoint
	unavailableSince  map[EndpointID]time.Duration // when first listed as draining or gone
	requests          map[RequestID]*scenarioRequest
	attempts          []scenarioAttempt              // in flight or established
	slowStartAttempts map[EndpointID][]time.Duration // times of attempts while warming up
}

// scenarioRequest is a request that has not been answered or whose connection is established.
type scenarioRequest struct {
	Request
	arrivedAt   time.Duration
	attempts    []scenarioAttempt
	inFlight    int
	established bool
}

// scenarioAttempt is an attempt or the connection that was established by it.
type scenarioAttempt struct {
	request    RequestID
	endpoint   Endpoint
	sentAt     time.Duration
	mayHaveRun bool
}

func newRandomScenario(t *testing.T, seed uint64) *randomScenario {
	rng := rand.New(rand.NewPCG(seed, 99))
	settings := testSettings()
	settings.RelayCount = 1 + rng.IntN(4)
	settings.PollList = rng.IntN(2) == 0
	settings.CrossZoneCost = float64(rng.IntN(2))
	settings.MaxAttempts = 1 + rng.IntN(5)
	settings.Classes = []Class{
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 50 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Semantics: Deduplicated, DeduplicationScope: ScopeZone, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Semantics: Deduplicated, DeduplicationScope: ScopeCell, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Semantics: Deduplicated, DeduplicationWindow: 300 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Semantics: AtMostOnce},
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

// run executes random steps, then checks that all requests are answered and the counters are consistent.
func (s *randomScenario) run(steps int) {
	for range steps {
		s.step()
	}
	// Every request must be answered by its deadline without further events.
	s.check(s.elapse(3 * time.Second))
	for id, request := range s.requests {
		if !request.established {
			s.t.Errorf("invariant 1: request %d was not answered", id)
		}
	}
	inFlight := 0
	for _, request := range s.balancer.requests {
		if request.endpoint != nil && !request.established {
			inFlight++
		}
	}
	if inFlight != s.balancer.concurrency.inFlight || inFlight != 0 {
		s.t.Errorf("%d attempts are in flight, the counter is %d, want 0", inFlight, s.balancer.concurrency.inFlight)
	}
	for _, endpoint := range s.balancer.endpoints.sorted {
		inGroups, load := 0, 0.0
		for _, connection := range endpoint.connections {
			load += connection.load
		}
		for _, count := range endpoint.connectionsByGroup {
			inGroups += count
		}
		if inGroups != len(endpoint.connections) || load-endpoint.load > 1e-6 || endpoint.load-load > 1e-6 {
			s.t.Errorf("endpoint %d has %d connections and %d in groups, total load %v and recorded load %v", endpoint.ID, len(endpoint.connections), inGroups, load, endpoint.load)
		}
	}
}

// elapse advances the clock in small steps and checks the actions of each.
func (s *randomScenario) elapse(d time.Duration) []Action {
	for end := s.now + d; s.now < end; {
		s.check(s.advance(min(5*ms, end-s.now)))
	}
	return nil
}

// step executes one random event or advances the clock.
func (s *randomScenario) step() {
	switch choice := s.rng.IntN(20); {
	case choice < 6:
		s.lastID++
		request := Request{ID: s.lastID, Class: s.rng.IntN(len(s.settings.Classes)), Group: s.rng.Uint64N(6),
			TimeLeft: time.Duration(s.rng.IntN(2000)) * ms, Returning: s.rng.IntN(3) == 0}
		s.requests[request.ID] = &scenarioRequest{Request: request, arrivedAt: s.now}
		s.check(s.handle(request))
	case choice < 13 && len(s.attempts) > 0:
		s.endAttempt(s.rng.IntN(len(s.attempts)))
	case choice < 14:
		s.changeList()
	case choice < 15:
		if ids := s.requestIDs(); len(ids) > 0 {
			id := ids[s.rng.IntN(len(ids))]
			if !s.requests[id].established {
				delete(s.requests, id)
				s.check(s.handle(ClientLeft{Request: id}))
			}
		}
	case choice < 16 && len(s.attempts) > 0:
		attempt := s.attempts[s.rng.IntN(len(s.attempts))]
		delay := time.Duration(s.rng.IntN(3000)) * ms
		s.check(s.handle(EndpointDelay{Request: attempt.request, Endpoint: attempt.endpoint.ID, Delay: delay}))
		s.check(s.handle(ConnectionLoad{Request: attempt.request, Endpoint: attempt.endpoint.ID, Load: s.rng.Float64()}))
	case choice < 17:
		s.check(s.handle(Timer{Token: s.rng.Uint32()}))
	default:
		s.elapse(time.Duration(s.rng.IntN(60)) * ms)
	}
}

// requestIDs returns the IDs of all requests in a deterministic order.
func (s *randomScenario) requestIDs() []RequestID {
	var ids []RequestID
	for id := range s.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endAttempt establishes or ends attempt i, or ends its connection.
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
	final := request == nil || request.established || status == StatusOK
	if request != nil {
		request.inFlight--
		if status != StatusFull && status != StatusConnectFailed && status != StatusNotSent {
			request.attempts[len(request.attempts)-1].mayHaveRun = true
		}
	}
	if final {
		delete(s.requests, attempt.request)
	}
	s.check(s.handle(Outcome{Request: attempt.request, Endpoint: attempt.endpoint.ID, Status: status, Final: final}))
}

// changeList updates the list: an endpoint drains, becomes gone or restarts, or the update fails.
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

// check checks actions against the invariants and applies them to the scenario.
func (s *randomScenario) check(actions []Action) {
	s.t.Helper()
	for _, action := range actions {
		switch action := action.(type) {
		case SendAttempt:
			s.checkAttempt(action)
		case Reject:
			request := s.checkAnswer(action.Request)
			for i := range request.attempts {
				if class := s.settings.Classes[request.Class]; (request.attempts[i].mayHaveRun || request.inFlight > 0) && class.Semantics != Idempotent &&
					!(class.Semantics == Deduplicated && class.DeduplicationScope == ScopeAll) {
					s.t.Fatalf("invariant 2: request %d of class %d was rejected, but may have been executed", request.ID, request.Class)
				}
			}
		case Fail:
			s.checkAnswer(action.Request)
		case Migrate:
			if request := s.requests[action.Request]; request == nil || !request.established {
				s.t.Fatalf("request %d was migrated, but is not established", action.Request)
			}
			delete(s.requests, action.Request)
			s.attempts = slices.DeleteFunc(s.attempts, func(attempt scenarioAttempt) bool { return attempt.request == action.Request })
		}
	}
}

// checkAnswer checks a final answer and returns the request, which it removes.
func (s *randomScenario) checkAnswer(id RequestID) *scenarioRequest {
	s.t.Helper()
	request := s.requests[id]
	if request == nil || request.established {
		s.t.Fatalf("invariant 1: request %d was answered, but has ended or is established", id)
	}
	if s.now > request.arrivedAt+request.TimeLeft+20*ms {
		s.t.Fatalf("invariant 1: request %d was answered %v after its deadline", id, s.now-request.arrivedAt-request.TimeLeft)
	}
	delete(s.requests, id)
	return request
}

// checkAttempt checks an attempt against the invariants and records it.
func (s *randomScenario) checkAttempt(action SendAttempt) {
	s.t.Helper()
	request := s.requests[action.Request]
	if request == nil || request.established || request.inFlight > 0 {
		s.t.Fatalf("invariant 1: request %d was sent, but has ended, is established or has an attempt in flight", action.Request)
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("request %d was sent more than %d times", action.Request, s.settings.MaxAttempts)
	}
	i := slices.IndexFunc(s.listed, func(endpoint Endpoint) bool { return endpoint.ID == action.Endpoint })
	target := s.listed[i]
	class := s.settings.Classes[request.Class]
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun || class.Semantics == Idempotent {
			continue
		}
		switch {
		case class.Semantics == AtMostOnce,
			s.now > attempt.sentAt+class.DeduplicationWindow,
			class.DeduplicationScope == ScopeZone && target.Zone != attempt.endpoint.Zone,
			class.DeduplicationScope == ScopeCell && target.Cell != attempt.endpoint.Cell:
			s.t.Fatalf("invariant 2: request %d of class %d was repeated, but may have been executed", request.ID, request.Class)
		}
	}
	if since, ok := s.unavailableSince[target.ID]; ok && s.now > since+time.Second {
		s.t.Fatalf("invariant 3: request %d was sent to endpoint %d, listed as draining or gone %v ago", action.Request, target.ID, s.now-since)
	}
	if target.StartedAt > 0 && s.now < target.StartedAt+s.settings.SlowStartDuration {
		// Within an overload window the limit is one relay's share of the setups, and at least one.
		sentAt := append(s.slowStartAttempts[target.ID], s.now)
		s.slowStartAttempts[target.ID] = sentAt
		sentInWindow := 0
		for _, at := range sentAt {
			if at > s.now-s.settings.OverloadWindow {
				sentInWindow++
			}
		}
		age := float64(s.now-target.StartedAt) / float64(s.settings.SlowStartDuration)
		warmth := s.settings.InitialCapacity + (1-s.settings.InitialCapacity)*age
		if limit := 1 + 10*warmth*s.settings.OverloadMultiple*s.settings.OverloadWindow.Seconds(); float64(sentInWindow) > limit {
			s.t.Fatalf("invariant 4: endpoint %d is warming up and was sent %d setups in a window, limit is %v", target.ID, sentInWindow, limit)
		}
	}
	request.inFlight++
	attempt := scenarioAttempt{request: request.ID, endpoint: target, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	s.attempts = append(s.attempts, attempt)
}
