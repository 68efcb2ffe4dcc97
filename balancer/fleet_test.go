package balancer

import (
	"testing"
	"time"
)

// fleetSimulation simulates endpoints behind a fleet of relays and logs each request.
type fleetSimulation struct {
	t         *testing.T
	relays    []*testRelay
	freeSlots map[EndpointID]int  // an endpoint without free slots rejects attempts
	hung      map[EndpointID]bool // these accept attempts and never answer

	requests  map[requestKey]*requestLog
	scheduled map[time.Duration][]func() // outcomes of attempts, by time
}

// requestKey identifies a request in the fleet.
type requestKey struct {
	relay int
	id    RequestID
}

// requestLog records what happened to a request.
type requestLog struct {
	arrivedAt, answeredAt time.Duration
	inFlight              bool
	established           bool
	attempts              []EndpointID
	retryAfter            time.Duration
}

// newFleetSimulation returns a simulation with a number of endpoints and free slots at each.
func newFleetSimulation(t *testing.T, settings Settings, endpoints, slots int) *fleetSimulation {
	fleet := &fleetSimulation{t: t, relays: newTestRelays(t, settings, readyEndpoints(endpoints)...), freeSlots: map[EndpointID]int{}, hung: map[EndpointID]bool{}, requests: map[requestKey]*requestLog{}, scheduled: map[time.Duration][]func(){}}
	for i := range endpoints {
		fleet.freeSlots[EndpointID(i+1)] = slots
	}
	return fleet
}

// execute executes the actions of relay i.
func (f *fleetSimulation) execute(i int, actions []Action) {
	relay := f.relays[i]
	for _, action := range actions {
		switch action := action.(type) {
		case SendAttempt:
			log := f.requests[requestKey{i, action.Request}]
			if log.inFlight || log.established || log.answeredAt > 0 {
				f.t.Errorf("relay %d: request %d was sent in state %+v", i, action.Request, log)
			}
			log.inFlight = true
			log.attempts = append(log.attempts, action.Endpoint)
			end := func(event Event) {
				log.inFlight = false
				f.execute(i, relay.handle(event))
			}
			switch {
			case f.hung[action.Endpoint]:
				at := relay.now + action.Timeout
				f.scheduled[at.Truncate(10*ms)] = append(f.scheduled[at.Truncate(10*ms)], func() {
					end(Outcome{Request: action.Request, Endpoint: action.Endpoint, Status: StatusTimeout})
				})
			case f.freeSlots[action.Endpoint] == 0:
				end(Outcome{Request: action.Request, Endpoint: action.Endpoint, Status: StatusFull})
			default:
				f.freeSlots[action.Endpoint]--
				log.established, log.answeredAt = true, relay.now
				end(Established{Request: action.Request, Endpoint: action.Endpoint, SetupTime: ms})
			}
		case Reject:
			log := f.requests[requestKey{i, action.Request}]
			if log.answeredAt > 0 || log.inFlight {
				f.t.Errorf("relay %d: request %d was rejected in state %+v", i, action.Request, log)
			}
			log.answeredAt, log.retryAfter = relay.now, action.RetryAfter
		case Fail:
			f.t.Errorf("relay %d: request %d was failed, but is repeatable", i, action.Request)
		}
	}
}

// request sends a client's request to relay i.
func (f *fleetSimulation) request(i int, group uint64) {
	relay := f.relays[i]
	relay.lastID++
	f.requests[requestKey{i, relay.lastID}] = &requestLog{arrivedAt: relay.now}
	f.execute(i, relay.handle(Request{ID: relay.lastID, Group: group, TimeLeft: 2 * time.Second}))
}

// advance advances the clocks of all relays and processes scheduled outcomes.
func (f *fleetSimulation) advance(d time.Duration) {
	for range d / (10 * ms) {
		for i, relay := range f.relays {
			f.execute(i, relay.advance(10*ms))
		}
		now := f.relays[0].now
		for _, end := range f.scheduled[now] {
			end()
		}
		delete(f.scheduled, now)
	}
}

// checkAnswered checks that each request was answered in time and not sent to any endpoint twice. It returns
// the numbers of established requests and of attempts.
func (f *fleetSimulation) checkAnswered() (established, attempts int) {
	f.t.Helper()
	for key, log := range f.requests {
		if log.answeredAt == 0 || log.answeredAt > log.arrivedAt+2*time.Second {
			f.t.Errorf("relay %d: request %d was answered after %v, want at most 2 s: %+v", key.relay, key.id, log.answeredAt-log.arrivedAt, log)
		}
		for i, id := range log.attempts {
			for _, other := range log.attempts[:i] {
				if id == other {
					f.t.Errorf("relay %d: request %d was sent to endpoint %d twice", key.relay, key.id, id)
				}
			}
		}
		if attempts += len(log.attempts); log.established {
			established++
		}
	}
	return established, attempts
}

// Guards against unused slots, late answers and rejections without a retry-after when more clients return at once
// than the endpoints have slots for.
func TestRequestsBeyondFleetCapacityAreRejectedInTime(t *testing.T) {
	settings := testSettings()
	settings.RelayCount, settings.MaxAttempts, settings.MaxRetryAfter = 80, 5, 2*time.Second
	fleet := newFleetSimulation(t, settings, 6, 20)
	for i := range 300 {
		fleet.request(i*37%80, uint64(1+i%40))
		if i%3 == 0 {
			fleet.advance(10 * ms)
		}
	}
	fleet.advance(3 * time.Second)
	established, attempts := fleet.checkAnswered()
	if established != 120 {
		t.Errorf("%d of 120 slots are used", established)
	}
	if attempts > 300*settings.MaxAttempts {
		t.Errorf("%d attempts for 300 requests, want at most %d for each", attempts, settings.MaxAttempts)
	}
	for key, log := range fleet.requests {
		if !log.established && (log.retryAfter < retryBackoffBase || log.retryAfter > settings.MaxRetryAfter) {
			t.Errorf("relay %d: retry-after of request %d is %v, want %v to %v", key.relay, key.id, log.retryAfter, retryBackoffBase, settings.MaxRetryAfter)
		}
	}
}

// Guards against requests that are lost to an endpoint which accepts attempts but never answers: another endpoint has
// to serve them in time.
func TestHungEndpointCostsEachRequestAtMostOneAttempt(t *testing.T) {
	settings := testSettings()
	settings.RelayCount = 80
	fleet := newFleetSimulation(t, settings, 6, 1000)
	fleet.hung[3] = true
	for i := range 160 {
		fleet.request(i%80, uint64(1+i))
		if i%4 == 0 {
			fleet.advance(10 * ms)
		}
	}
	fleet.advance(3 * time.Second)
	established, attempts := fleet.checkAnswered()
	if established != 160 {
		t.Errorf("%d of 160 requests are established", established)
	}
	if extra := attempts - 160; extra < 10 || extra > 60 {
		t.Errorf("%d attempts timed out at the hung endpoint, want 10 to 60: a sixth of 160 is 27", extra)
	}
}
