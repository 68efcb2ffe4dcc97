package balancer

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings of a single relay with one idempotent class.
func testSettings() Settings {
	return Settings{
		Classes:           []Class{{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 100 * ms}},
		RelayCount:        1,
		MaxAttempts:       3,
		ClockResolution:   5 * ms,
		ConnectTimeout:    200 * ms,
		InitialCapacity:   0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    1500 * ms,
		PollInterval:      10 * time.Second,
	}
}

// testRelay drives a Balancer with a simulated clock and timers.
type testRelay struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	timers   []pendingTimer
	actions  []Action // all so far, without SetTimer
	lastID   RequestID
}

// pendingTimer is a timer that the Balancer has set.
type pendingTimer struct {
	at    time.Duration
	token uint32
}

// newTestRelay returns a relay that has got a cached endpoint list.
func newTestRelay(t *testing.T, settings Settings, endpoints ...Endpoint) *testRelay {
	t.Helper()
	if err := settings.Validate(); err != nil {
		t.Fatalf("invalid settings: %v", err)
	}
	relay := &testRelay{t: t, balancer: New(settings, 1), now: time.Hour}
	relay.handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	return relay
}

// newTestRelays returns settings.RelayCount relays with different seeds.
func newTestRelays(t *testing.T, settings Settings, endpoints ...Endpoint) []*testRelay {
	t.Helper()
	relays := make([]*testRelay, settings.RelayCount)
	for i := range relays {
		relays[i] = newTestRelay(t, settings)
		relays[i].balancer = New(settings, uint64(i)<<32+7)
		relays[i].handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
	}
	return relays
}

// readyEndpoints returns n ready endpoints of equal size with IDs from 1.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), State: StateReady, Size: 1}
	}
	return list
}

// handle passes an event to the Balancer, sets the requested timers and returns the other actions.
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

// advance advances the clock and returns the actions of the timers that expire.
func (r *testRelay) advance(d time.Duration) []Action {
	until := r.now + d
	var actions []Action
	for {
		i := -1
		for j, timer := range r.timers {
			if timer.at <= until && (i < 0 || timer.at < r.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			break
		}
		timer := r.timers[i]
		r.timers = slices.Delete(r.timers, i, i+1)
		r.now = max(r.now, timer.at)
		actions = append(actions, r.handle(Timer{Token: timer.token})...)
	}
	r.now = until
	return actions
}

// request sends a request of a group and returns its ID and the actions.
func (r *testRelay) request(group uint64) (RequestID, []Action) {
	r.lastID++
	return r.lastID, r.handle(Request{ID: r.lastID, Group: group, TimeLeft: 2 * time.Second})
}

// connect establishes a connection of a group and returns the request ID and the endpoint.
func (r *testRelay) connect(group uint64) (RequestID, EndpointID) {
	r.t.Helper()
	id, actions := r.request(group)
	endpoint := r.wantSent(actions, id)
	r.handle(Established{Request: id, Endpoint: endpoint, SetupTime: 10 * ms})
	return id, endpoint
}

// connectMany establishes n connections of a group and returns the endpoint of the last one.
func (r *testRelay) connectMany(group uint64, n int) EndpointID {
	var endpoint EndpointID
	for range n {
		_, endpoint = r.connect(group)
	}
	return endpoint
}

// wantSent fails the test unless the only action sends the request, and returns the endpoint.
func (r *testRelay) wantSent(actions []Action, id RequestID) EndpointID {
	r.t.Helper()
	if len(actions) == 1 {
		if attempt, ok := actions[0].(SendAttempt); ok && attempt.Request == id {
			return attempt.Endpoint
		}
	}
	r.t.Fatalf("got actions %v, want only an attempt of request %d", actions, id)
	return 0
}

// fail reports that an attempt ended with a status.
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
		t.Fatalf("got actions %v, want %v", got, want)
	}
}
