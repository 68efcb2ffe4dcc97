package balancer

import (
	"testing"
	"time"
)

// fleetSimulation plays the endpoints of a fleet of relays, and keeps a log of each request.
type fleetSimulation struct {
	t         *testing.T
	relays    []*testRelay
	freeSlots map[EndpointID]int // an endpoint without any rejects attempts
	hung      map[EndpointID]bool

	requests  map[requestKey]*requestLog
	scheduled map[time.Duration][]func() // outcomes, by their time
}

type requestKey struct {
	relay int
	id    RequestID
}

type requestLog struct {
	arrivedAt, answeredAt time.Duration
	inFlight              bool
	established           bool
	attempts              []EndpointID
	retryAfter            time.Duration
}

func newFleetSimulation(t *testing.T, settings Settings, servers, seats int) *fleetSimulation {
	fleet := &fleetSimulation{t: t, relays: newTestRelays(t, settings, readyEndpoints(servers)...), freeSlots: map[EndpointID]int{}, hung: map[EndpointID]bool{}, requests: map[requestKey]*requestLog{}, scheduled: map[time.Duration][]func(){}}
	for i := range servers {
		fleet.freeSlots[EndpointID(i+1)] = seats
	}
	return fleet
}

// execute carries out what a relay does.
func (f *fleetSimulation) execute(i int, actions []Action) {
	relay := f.relays[i]
	for _, action := range actions {
		switch action := action.(type) {
		case SendAttempt:
			log := f.requests[requestKey{i, action.Request}]
			if log.inFlight || log.established || log.answeredAt > 0 {
				f.t.Errorf("relay %d: request %d is sent while %+v", i, action.Request, log)
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
				f.t.Errorf("relay %d: request %d is rejected while %+v", i, action.Request, log)
			}
			log.answeredAt, log.retryAfter = relay.now, action.RetryAfter
		case Fail:
			f.t.Errorf("request %d fails, which may be repeated", action.Request)
		}
	}
}

// request sends a request of a client to a relay.
func (f *fleetSimulation) request(i int, group uint64) {
	relay := f.relays[i]
	relay.lastID++
	f.requests[requestKey{i, relay.lastID}] = &requestLog{arrivedAt: relay.now}
	f.execute(i, relay.handle(Request{ID: relay.lastID, Group: group, TimeLeft: 2 * time.Second}))
}

// advance lets time pass for all relays.
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

// checkAnswered checks that each request has one answer in time, and returns how many are established and
// how many attempts there were.
func (f *fleetSimulation) checkAnswered() (up, tries int) {
	f.t.Helper()
	for key, log := range f.requests {
		if log.answeredAt == 0 || log.answeredAt > log.arrivedAt+2*time.Second {
			f.t.Errorf("relay %d: request %d was answered at %v: %+v", key.relay, key.id, log.answeredAt-log.arrivedAt, log)
		}
		for i, id := range log.attempts {
			for _, other := range log.attempts[:i] {
				if id == other {
					f.t.Errorf("request %d was sent to endpoint %d twice", key.id, id)
				}
			}
		}
		if tries += len(log.attempts); log.established {
			up++
		}
	}
	return up, tries
}

// More clients return at once, to eighty relays that know nothing of each other, than the endpoints have
// slots for: each is answered in time, no slot stays free, and each rejection carries a retry-after.
func TestMoreRequestsThanTheFleetHasCapacityFor(t *testing.T) {
	settings := testSettings()
	settings.Relays, settings.MaxAttempts, settings.MaxRetryAfter = 80, 5, 2*time.Second
	fleet := newFleetSimulation(t, settings, 6, 20)
	for i := range 300 {
		fleet.request(i*37%80, uint64(1+i%40))
		if i%3 == 0 {
			fleet.advance(10 * ms)
		}
	}
	fleet.advance(3 * time.Second)
	up, tries := fleet.checkAnswered()
	if up != 120 {
		t.Errorf("%d of 120 slots are taken", up)
	}
	if tries > 300*settings.MaxAttempts {
		t.Errorf("%d attempts", tries)
	}
	for key, log := range fleet.requests {
		if !log.established && (log.retryAfter < retryBackoffBase || log.retryAfter > settings.MaxRetryAfter) {
			t.Errorf("request %d has a retry-after of %v", key.id, log.retryAfter)
		}
	}
}

// An endpoint accepts requests and answers none, and no relay has seen that before: each request is still
// served in time by another, and none is sent to it twice.
func TestHungEndpointCostsEachRequestAtMostOneAttempt(t *testing.T) {
	settings := testSettings()
	settings.Relays = 80
	fleet := newFleetSimulation(t, settings, 6, 1000)
	fleet.hung[3] = true
	for i := range 160 {
		fleet.request(i%80, uint64(1+i))
		if i%4 == 0 {
			fleet.advance(10 * ms)
		}
	}
	fleet.advance(3 * time.Second)
	up, tries := fleet.checkAnswered()
	if up != 160 {
		t.Errorf("%d of 160 are established", up)
	}
	if extra := tries - 160; extra < 10 || extra > 60 {
		t.Errorf("%d attempts were lost on the hung endpoint, a sixth of 160 would be 27", extra)
	}
}
