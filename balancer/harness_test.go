package balancer

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings describes a small deployment with one class that is safe to repeat.
func testSettings() Settings {
	return Settings{
		Classes:           []Class{{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 100 * ms}},
		Relays:            1,
		MaxAttempts:       3,
		MinTick:           5 * ms,
		ConnectTimeout:    200 * ms,
		InitialCapacity:   0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    1500 * ms,
		PollInterval:      10 * time.Second,
	}
}

// relay drives a Balancer as the code that embeds it would.
type relay struct {
	t      *testing.T
	b      *Balancer
	now    time.Duration
	timers []pending
	log    []Action // all but timers
	next   RequestID
}

type pending struct {
	at    time.Duration
	token uint32
}

func newRelay(t *testing.T, s Settings, servers ...Endpoint) *relay {
	t.Helper()
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, b: New(s, 1), now: time.Hour}
	r.do(EndpointList{Kind: ListCached, Endpoints: servers})
	return r
}

// fleetOf returns as many relays as the settings name, each of a seed of its own.
func fleetOf(t *testing.T, s Settings, servers ...Endpoint) []*relay {
	t.Helper()
	relays := make([]*relay, s.Relays)
	for i := range relays {
		relays[i] = newRelay(t, s)
		relays[i].b = New(s, uint64(i)<<32+7)
		relays[i].do(EndpointList{Kind: ListCached, Endpoints: servers})
	}
	return relays
}

// ready returns n ready servers of equal size, numbered from 1.
func ready(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), State: StateReady, Weight: 1}
	}
	return list
}

// do hands an event to the Balancer and returns what it did, timers aside.
func (r *relay) do(ev Event) []Action {
	var done []Action
	for _, a := range r.b.Handle(r.now, ev) {
		if set, ok := a.(SetTimer); ok {
			r.timers = append(r.timers, pending{r.now + set.After, set.Token})
		} else {
			done = append(done, a)
		}
	}
	r.log = append(r.log, done...)
	return done
}

// pass lets time go by and returns what was done meanwhile.
func (r *relay) pass(d time.Duration) []Action {
	until := r.now + d
	var done []Action
	for {
		i := -1
		for j, p := range r.timers {
			if p.at <= until && (i < 0 || p.at < r.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			break
		}
		p := r.timers[i]
		r.timers = slices.Delete(r.timers, i, i+1)
		r.now = max(r.now, p.at)
		done = append(done, r.do(Timer{Token: p.token})...)
	}
	r.now = until
	return done
}

// ask hands over a request of a group and returns its ID and what was done.
func (r *relay) ask(group uint64) (RequestID, []Action) {
	r.next++
	return r.next, r.do(Request{ID: r.next, Group: group, TimeLeft: 2 * time.Second})
}

// open sets a connection of a group up and returns its ID and server.
func (r *relay) open(group uint64) (RequestID, EndpointID) {
	r.t.Helper()
	id, done := r.ask(group)
	to := r.sent(done, id)
	r.do(Established{Request: id, Endpoint: to, SetupTime: 10 * ms})
	return id, to
}

// sent returns the server that the only action sends a request to.
func (r *relay) sent(done []Action, id RequestID) EndpointID {
	r.t.Helper()
	if len(done) == 1 {
		if s, ok := done[0].(SendAttempt); ok && s.Request == id {
			return s.Endpoint
		}
	}
	r.t.Fatalf("want request %d sent, got %v", id, done)
	return 0
}

func (r *relay) fail(id RequestID, to EndpointID, why AttemptStatus) []Action {
	return r.do(Outcome{Request: id, Endpoint: to, Status: why})
}

func count[T Action](done []Action) int {
	n := 0
	for _, a := range done {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func wantActions(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
