package healthcheck

import (
	"cmp"
	"slices"
	"time"
)

// State is an endpoint's health.
type State uint8

// The states of an endpoint.
const (
	StateUp State = iota
	StateDown
)

// Change says how an endpoint is to be listed from now on.
type Change struct {
	Name        string
	State       State
	RecoveredAt time.Duration // when it was up again, for its recovery ramp; 0: it has never been down
}

// EndpointHealth describes an endpoint to operators.
type EndpointHealth struct {
	Name                string
	State               State
	DownFor             time.Duration // how long it has been down; 0 if it is up
	ConsecutiveFailures int           // while it is up
	Reason              string        // it is down; "" if it is up
}

const (
	// maxInitialSpread bounds the interval over which the first probes of a list are spread.
	maxInitialSpread = time.Second
	// minDueInterval bounds how soon Due asks to be called again.
	minDueInterval = time.Millisecond
	// failedAttemptDivisor is how many times Interval is divided for the probe after a
	// failed attempt: a look at once, within the budget of four probes at a time.
	failedAttemptDivisor = 4
)

// endpoint is what is known of an endpoint.
type endpoint struct {
	name                 string
	state                State
	reported             Change // by Changes last
	consecutiveFailures  int
	consecutiveSuccesses int // of probes, while it is down
	nextProbe            time.Duration
	probing              bool          // a probe is in progress
	downAt               time.Duration // when it last went down
	recoveredAt          time.Duration
	reason               string // why it is down
}

// Tracker holds the health of a list of endpoints. It is not safe for concurrent use.
type Tracker struct {
	settings  Settings
	endpoints []*endpoint // by name
	panicking bool        // more are down than is plausible
}

// New returns a tracker of endpoints that are taken to be up until probes or attempts
// say otherwise.
func New(settings Settings, names []string, now time.Duration) *Tracker {
	t := &Tracker{settings: settings}
	t.Replace(names, now)
	return t
}

// UpdateSettings puts other settings in force.
func (t *Tracker) UpdateSettings(settings Settings) { t.settings = settings }

// Replace puts another list in place. Endpoints that both lists name stay as they are.
// Those that it adds are taken to be up, and are probed soon, one after another.
func (t *Tracker) Replace(names []string, now time.Duration) {
	previous := t.endpoints
	t.endpoints = nil
	spread := float64(min(t.settings.Interval, maxInitialSpread))
	for i, name := range slices.Sorted(slices.Values(names)) {
		if j := slices.IndexFunc(previous, func(e *endpoint) bool { return e.name == name }); j >= 0 {
			t.endpoints = append(t.endpoints, previous[j])
			continue
		}
		delay := time.Duration(spread * float64(i) / float64(len(names)))
		t.endpoints = append(t.endpoints, &endpoint{
			name:      name,
			reported:  Change{Name: name, State: StateDown}, // so that Changes reports it as up
			nextProbe: now + delay,
		})
	}
	t.updatePanicMode()
}

// find returns an endpoint of the list, or nil.
func (t *Tracker) find(name string) *endpoint {
	i, ok := slices.BinarySearchFunc(t.endpoints, name, func(e *endpoint, name string) int { return cmp.Compare(e.name, name) })
	if !ok {
		return nil
	}
	return t.endpoints[i]
}

// Due returns the endpoints that are to be probed now, and when to call it again. An
// endpoint is not due again before its ProbeEnded.
func (t *Tracker) Due(now time.Duration) (names []string, next time.Duration) {
	next = now + t.settings.Interval
	for _, e := range t.endpoints {
		if !e.probing && now >= e.nextProbe {
			e.probing, e.nextProbe = true, now+t.settings.Interval
			names = append(names, e.name)
		}
		next = min(next, e.nextProbe)
	}
	return names, max(next, now+minDueInterval)
}

// ProbeEnded takes the outcome of a probe; reason is why it failed. An endpoint that the
// list no longer names is ignored.
func (t *Tracker) ProbeEnded(now time.Duration, name string, ok bool, reason string) {
	e := t.find(name)
	if e == nil {
		return
	}
	e.probing = false
	if !ok {
		t.failed(now, e, reason)
		return
	}
	e.consecutiveFailures = 0
	if e.state == StateUp {
		return
	}
	e.consecutiveSuccesses++
	if e.consecutiveSuccesses >= t.settings.Rise {
		e.state, e.consecutiveSuccesses, e.reason = StateUp, 0, ""
		e.recoveredAt = now // its capacity has yet to be shown
		t.updatePanicMode()
	}
}

// AttemptEnded takes the outcome of an attempt: whether the endpoint answered it. One
// that was rejected as full is no failure. Attempts take an endpoint down, and only
// probes bring it back: none is sent to one that is down.
func (t *Tracker) AttemptEnded(now time.Duration, name string, ok bool, reason string) {
	e := t.find(name)
	switch {
	case e == nil:
	case ok:
		e.consecutiveFailures = 0
	case e.state == StateUp:
		t.failed(now, e, reason)
		e.nextProbe = min(e.nextProbe, now+t.settings.Interval/failedAttemptDivisor)
	}
}

// failed notes a failed probe or attempt.
func (t *Tracker) failed(now time.Duration, e *endpoint, reason string) {
	e.consecutiveSuccesses = 0
	if e.state == StateDown {
		return
	}
	e.consecutiveFailures++
	if e.consecutiveFailures >= t.settings.Fall {
		e.state, e.consecutiveFailures, e.downAt, e.reason = StateDown, 0, now, reason
		t.updatePanicMode()
	}
}

// updatePanicMode enters panic mode where more endpoints are down than is plausible, and
// leaves it otherwise.
func (t *Tracker) updatePanicMode() {
	down := 0
	for _, e := range t.endpoints {
		if e.state == StateDown {
			down++
		}
	}
	t.panicking = float64(down) > t.settings.PanicThreshold*float64(len(t.endpoints))
}

// PanicMode reports whether all endpoints are listed as up, since more than
// Settings.PanicThreshold of them seem to be down: most likely it is this machine that is
// cut off, and to reject every request would make that worse than it is.
func (t *Tracker) PanicMode() bool { return t.panicking }

// Changes returns what is to be listed differently than it last returned.
func (t *Tracker) Changes() (changes []Change) {
	for _, e := range t.endpoints {
		change := Change{Name: e.name, State: e.state, RecoveredAt: e.recoveredAt}
		if t.panicking && e.state == StateDown {
			change.State = StateUp
		}
		if change != e.reported {
			e.reported = change
			changes = append(changes, change)
		}
	}
	return changes
}

// Health returns the health of all endpoints, sorted by name.
func (t *Tracker) Health(now time.Duration) (all []EndpointHealth) {
	for _, e := range t.endpoints {
		health := EndpointHealth{Name: e.name, State: e.state, ConsecutiveFailures: e.consecutiveFailures, Reason: e.reason}
		if e.state == StateDown {
			health.DownFor = now - e.downAt
		}
		all = append(all, health)
	}
	return all
}
