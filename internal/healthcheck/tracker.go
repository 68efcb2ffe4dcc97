package healthcheck

import (
	"cmp"
	"slices"
	"time"
)

// State tells whether an endpoint is considered up or down.
type State uint8

// The states of an endpoint.
const (
	StateUp State = iota
	StateDown
)

// Change tells the caller how to list an endpoint from now on.
type Change struct {
	Name        string
	State       State
	RecoveredAt time.Duration // when it last came up again, as the start of its slow start; 0 if it has never been down
}

// EndpointHealth is the health of an endpoint as shown to operators.
type EndpointHealth struct {
	Name                string
	State               State
	DownFor             time.Duration // how long it has been down; 0 if it is up
	ConsecutiveFailures int           // while it is up
	Reason              string        // why it is down; "" if it is up
}

const (
	// maxInitialProbeDelay limits the time over which the first probes of a list are spread.
	maxInitialProbeDelay = time.Second
	// minProbeWait is the minimum time until the next call that Due asks for.
	minProbeWait = time.Millisecond
	// failedAttemptDivisor divides Interval for the wait until the probe that follows a
	// failed attempt. An endpoint is probed no more than four times within Interval.
	failedAttemptDivisor = 4
)

// endpoint is the state that a Tracker keeps for one endpoint.
type endpoint struct {
	name                 string
	state                State
	reported             Change // last returned by Changes
	consecutiveFailures  int    // of probes and attempts, while it is up
	consecutiveSuccesses int    // of probes, while it is down
	nextProbe            time.Duration
	probing              bool          // a probe is in progress
	downAt               time.Duration // when it last went down
	recoveredAt          time.Duration
	reason               string // why it is down
}

// Tracker holds the health of a list of endpoints. It is not safe for concurrent use.
type Tracker struct {
	settings  Settings
	endpoints []*endpoint // sorted by name
	panicMode bool        // see PanicMode
}

// New returns a tracker of endpoints, which are considered up until probes or attempts
// fail.
func New(settings Settings, names []string, now time.Duration) *Tracker {
	t := &Tracker{settings: settings}
	t.Replace(names, now)
	return t
}

// UpdateSettings replaces the settings.
func (t *Tracker) UpdateSettings(settings Settings) { t.settings = settings }

// Replace replaces the list of endpoints. Those that both lists name keep their state.
// Added ones are considered up, and their first probes are spread over a short time.
func (t *Tracker) Replace(names []string, now time.Duration) {
	previous := t.endpoints
	t.endpoints = nil
	spread := float64(min(t.settings.Interval, maxInitialProbeDelay))
	for i, name := range slices.Sorted(slices.Values(names)) {
		if j := slices.IndexFunc(previous, func(e *endpoint) bool { return e.name == name }); j >= 0 {
			t.endpoints = append(t.endpoints, previous[j])
			continue
		}
		delay := time.Duration(spread * float64(i) / float64(len(names)))
		t.endpoints = append(t.endpoints, &endpoint{
			name:      name,
			reported:  Change{Name: name, State: StateDown}, // makes Changes report the endpoint as up
			nextProbe: now + delay,
		})
	}
	t.updatePanicMode()
}

// findEndpoint returns an endpoint of the list, or nil.
func (t *Tracker) findEndpoint(name string) *endpoint {
	i, ok := slices.BinarySearchFunc(t.endpoints, name, func(e *endpoint, name string) int { return cmp.Compare(e.name, name) })
	if !ok {
		return nil
	}
	return t.endpoints[i]
}

// Due returns the names of the endpoints to probe now, and when to call it again. An
// endpoint is not due again until ProbeEnded was called for it.
func (t *Tracker) Due(now time.Duration) (names []string, next time.Duration) {
	next = now + t.settings.Interval
	for _, e := range t.endpoints {
		if !e.probing && now >= e.nextProbe {
			e.probing, e.nextProbe = true, now+t.settings.Interval
			names = append(names, e.name)
		}
		next = min(next, e.nextProbe)
	}
	return names, max(next, now+minProbeWait)
}

// ProbeEnded records the outcome of a probe, with the reason if it failed. It ignores
// endpoints that the list no longer names.
func (t *Tracker) ProbeEnded(now time.Duration, name string, ok bool, reason string) {
	e := t.findEndpoint(name)
	if e == nil {
		return
	}
	e.probing = false
	if !ok {
		t.recordFailure(now, e, reason)
		return
	}
	e.consecutiveFailures = 0
	if e.state == StateUp {
		return
	}
	e.consecutiveSuccesses++
	if e.consecutiveSuccesses >= t.settings.Rise {
		e.state, e.consecutiveSuccesses, e.reason = StateUp, 0, ""
		e.recoveredAt = now // restarts its slow start
		t.updatePanicMode()
	}
}

// AttemptEnded records the outcome of an attempt: whether the endpoint answered it, be it
// to reject it as full. Failed attempts take an endpoint down, and only probes bring it up
// again, as no attempts are sent to it meanwhile.
func (t *Tracker) AttemptEnded(now time.Duration, name string, ok bool, reason string) {
	e := t.findEndpoint(name)
	switch {
	case e == nil:
	case ok:
		e.consecutiveFailures = 0
	case e.state == StateUp:
		t.recordFailure(now, e, reason)
		e.nextProbe = min(e.nextProbe, now+t.settings.Interval/failedAttemptDivisor)
	}
}

// recordFailure notes a recordFailure probe or attempt.
func (t *Tracker) recordFailure(now time.Duration, e *endpoint, reason string) {
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

// updatePanicMode enters or leaves panic mode by the share of endpoints that are down.
func (t *Tracker) updatePanicMode() {
	down := 0
	for _, e := range t.endpoints {
		if e.state == StateDown {
			down++
		}
	}
	t.panicMode = float64(down) > t.settings.PanicThreshold*float64(len(t.endpoints))
}

// PanicMode reports whether all endpoints are listed as up because more than
// Settings.PanicThreshold of them appear down. A network failure of this machine is then
// the likelier cause, and rejecting all requests would add to the damage.
func (t *Tracker) PanicMode() bool { return t.panicMode }

// Changes returns the endpoints whose listing has changed since the last call.
func (t *Tracker) Changes() (changes []Change) {
	for _, e := range t.endpoints {
		change := Change{Name: e.name, State: e.state, RecoveredAt: e.recoveredAt}
		if t.panicMode && e.state == StateDown {
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
