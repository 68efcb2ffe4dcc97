package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestInvariantsHoldOverRandomEvents plays random legal events and checks that
//
//  1. each request is answered once and within its deadline,
//  2. what may have run is repeated and rejected only where that is harmless,
//  3. nothing is sent to an endpoint that the list says is draining or gone,
//  4. an endpoint that is warming up gets no more than it can bear,
//
// and that what the Balancer counts stays true.
func TestInvariantsHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		newRandomScenario(t, seed).run(1500)
	}
}

// randomScenario is a random but legal environment of a Balancer.
type randomScenario struct {
	*testRelay
	rng               *rand.Rand
	settings          Settings
	listed            []Endpoint
	unavailableSince  map[EndpointID]time.Duration // listed as draining or gone since
	requests          map[RequestID]*scenarioRequest
	attempts          []scenarioAttempt // in flight or established
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
	for _, request := range s.balancer.requests {
		if request.endpoint != nil && !request.established {
			out++
		}
	}
	if out != s.balancer.concurrency.inFlight || out != 0 {
		s.t.Errorf("%d attempts are in flight, %d are counted", out, s.balancer.concurrency.inFlight)
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
			s.t.Errorf("endpoint %d: %d connections, %d in groups, load %v booked as %v", endpoint.ID, len(endpoint.connections), n, load, endpoint.load)
		}
	}
}

// elapse lets time pass in small steps, and checks on the way.
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

// endAttempt establishes or ends an attempt.
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

// changeList updates the list: endpoints drain, go, restart or are left out.
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

// check checks actions against the invariants.
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
					s.t.Fatalf("invariant 2: request %d of class %d rejected though it may have run", request.ID, request.Class)
				}
			}
		case Fail:
			s.checkAnswer(action.Request)
		case Migrate:
			if request := s.requests[action.Request]; request == nil || !request.established {
				s.t.Fatalf("request %d migrated, but it isn't established", action.Request)
			}
			delete(s.requests, action.Request)
			s.attempts = slices.DeleteFunc(s.attempts, func(attempt scenarioAttempt) bool { return attempt.request == action.Request })
		}
	}
}

func (s *randomScenario) checkAnswer(id RequestID) *scenarioRequest {
	s.t.Helper()
	request := s.requests[id]
	if request == nil || request.established {
		s.t.Fatalf("invariant 1: request %d answered, though it needs no answer", id)
	}
	if s.now > request.arrivedAt+request.TimeLeft+20*ms {
		s.t.Fatalf("invariant 1: request %d answered %v after its deadline", id, s.now-request.arrivedAt-request.TimeLeft)
	}
	delete(s.requests, id)
	return request
}

func (s *randomScenario) checkAttempt(action SendAttempt) {
	s.t.Helper()
	request := s.requests[action.Request]
	if request == nil || request.established || request.inFlight > 0 {
		s.t.Fatalf("invariant 1: attempt for request %d, which has ended or has one in flight", action.Request)
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("request %d has more than %d attempts", action.Request, s.settings.MaxAttempts)
	}
	i := slices.IndexFunc(s.listed, func(endpoint Endpoint) bool { return endpoint.ID == action.Endpoint })
	to := s.listed[i]
	class := s.settings.Classes[request.Class]
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun || class.Semantics == Idempotent {
			continue
		}
		switch {
		case class.Semantics == AtMostOnce,
			s.now > attempt.sentAt+class.DeduplicationWindow,
			class.DeduplicationScope == ScopeZone && to.Zone != attempt.endpoint.Zone,
			class.DeduplicationScope == ScopeCell && to.Cell != attempt.endpoint.Cell:
			s.t.Fatalf("invariant 2: request %d of class %d sent again", request.ID, request.Class)
		}
	}
	if since, ok := s.unavailableSince[to.ID]; ok && s.now > since+time.Second {
		s.t.Fatalf("invariant 3: sent to %d, listed as draining or gone %v ago", to.ID, s.now-since)
	}
	if to.StartedAt > 0 && s.now < to.StartedAt+s.settings.SlowStartDuration {
		// No more than one relay's share of what an overload window may hold, or one.
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
			s.t.Fatalf("invariant 4: endpoint %d, which is warming up, was sent %d in a window, %v at most", to.ID, n, most)
		}
	}
	request.inFlight++
	attempt := scenarioAttempt{request: request.ID, endpoint: to, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	s.attempts = append(s.attempts, attempt)
}
