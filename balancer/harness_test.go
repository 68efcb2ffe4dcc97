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

// testRelay drives a Balancer as the code that embeds it does.
type testRelay struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	timers   []pendingTimer
	actions  []Action // all but timers
	lastID   RequestID
}

type pendingTimer struct {
	at    time.Duration
	token uint32
}

func newTestRelay(t *testing.T, settings Settings, endpoints ...Endpoint) *testRelay {
	t.Helper()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	relay := &testRelay{t: t, balancer: New(settings, 1), now: time.Hour}
	relay.handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	return relay
}

// newTestRelays returns as many relays as the settings name, each with a seed of its own.
func newTestRelays(t *testing.T, settings Settings, endpoints ...Endpoint) []*testRelay {
	t.Helper()
	relays := make([]*testRelay, settings.Relays)
	for i := range relays {
		relays[i] = newTestRelay(t, settings)
		relays[i].balancer = New(settings, uint64(i)<<32+7)
		relays[i].handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	}
	return relays
}

// readyEndpoints returns n ready endpoints of equal size, numbered from 1.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), State: StateReady, Size: 1}
	}
	return list
}

// handle hands an event to the Balancer, sets the timers that it wants, and returns its other actions.
func (r *testRelay) handle(event Event) []Action {
	var actions []Action
	for _, action := range r.balancer.Handle(r.now, event) {
		if set, ok := action.(SetTimer); ok {
			r.timers = append(r.timers, pendingTimer{r.now + set.After, set.Token})
		} else {
			actions = append(actions, action)
		}
	}
	r.actions = append(r.actions, actions...)
	return actions
}

// advance lets time pass and returns the actions that timers brought meanwhile.
func (r *testRelay) advance(d time.Duration) []Action {
	until := r.now + d
	var actions []Action
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
		actions = append(actions, r.handle(Timer{Token: p.token})...)
	}
	r.now = until
	return actions
}

// request hands in a request of a group and returns its ID and the actions.
func (r *testRelay) request(group uint64) (RequestID, []Action) {
	r.lastID++
	return r.lastID, r.handle(Request{ID: r.lastID, Group: group, TimeLeft: 2 * time.Second})
}

// connect establishes a connection of a group and returns its ID and endpoint.
func (r *testRelay) connect(group uint64) (RequestID, EndpointID) {
	r.t.Helper()
	id, actions := r.request(group)
	endpoint := r.wantSent(actions, id)
	r.handle(Established{Request: id, Endpoint: endpoint, SetupTime: 10 * ms})
	return id, endpoint
}

// connectMany establishes n connections of a group and returns the endpoint of the last.
func (r *testRelay) connectMany(group uint64, n int) EndpointID {
	var endpoint EndpointID
	for range n {
		_, endpoint = r.connect(group)
	}
	return endpoint
}

// wantSent returns the endpoint that the only action sends the request to.
func (r *testRelay) wantSent(actions []Action, id RequestID) EndpointID {
	r.t.Helper()
	if len(actions) == 1 {
		if attempt, ok := actions[0].(SendAttempt); ok && attempt.Request == id {
			return attempt.Endpoint
		}
	}
	r.t.Fatalf("want request %d sent, got %v", id, actions)
	return 0
}

func (r *testRelay) fail(id RequestID, endpoint EndpointID, status AttemptStatus) []Action {
	return r.handle(Outcome{Request: id, Endpoint: endpoint, Status: status})
}

func countActions[T Action](actions []Action) int {
	n := 0
	for _, action := range actions {
		if _, ok := action.(T); ok {
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
