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

// endpointRecord is the state that a Tracker keeps for one endpoint.
type endpointRecord struct {
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
	endpoints []*endpointRecord // sorted by name
	panicMode bool              // see PanicMode
}

// New returns a tracker of endpoints, which are considered up until probes or attempts
// fail.
func New(settings Settings, names []string, now time.Duration) *Tracker {
	t := &Tracker{settings: settings}
	t.Replace(names, now)
	return t
}

// UpdateSettings replaces the settings. They apply to later probes and attempts.
func (t *Tracker) UpdateSettings(settings Settings) { t.settings = settings }

// Replace replaces the list of endpoints. Those that both lists name keep their state.
// Added ones are considered up, and their first probes are spread over a short time.
func (t *Tracker) Replace(names []string, now time.Duration) {
	previous := t.endpoints
	t.endpoints = nil
	spread := float64(min(t.settings.Interval, maxInitialProbeDelay))
	for i, name := range slices.Sorted(slices.Values(names)) {
		if j := slices.IndexFunc(previous, func(record *endpointRecord) bool { return record.name == name }); j >= 0 {
			t.endpoints = append(t.endpoints, previous[j])
			continue
		}
		delay := time.Duration(spread * float64(i) / float64(len(names)))
		t.endpoints = append(t.endpoints, &endpointRecord{
			name:      name,
			reported:  Change{Name: name, State: StateDown}, // makes Changes report the endpoint as up
			nextProbe: now + delay,
		})
	}
	t.updatePanicMode()
}

// findEndpoint returns an endpoint of the list, or nil.
func (t *Tracker) findEndpoint(name string) *endpointRecord {
	i, ok := slices.BinarySearchFunc(t.endpoints, name, func(record *endpointRecord, name string) int { return cmp.Compare(record.name, name) })
	if !ok {
		return nil
	}
	return t.endpoints[i]
}

// Due returns the names of the endpoints to probe now, and when to call it again. An
// endpoint is not due again until ProbeEnded was called for it.
func (t *Tracker) Due(now time.Duration) (names []string, next time.Duration) {
	next = now + t.settings.Interval
	for _, record := range t.endpoints {
		if !record.probing && now >= record.nextProbe {
			record.probing, record.nextProbe = true, now+t.settings.Interval
			names = append(names, record.name)
		}
		next = min(next, record.nextProbe)
	}
	return names, max(next, now+minProbeWait)
}

// ProbeEnded records the outcome of a probe, with the reason if it failed. It ignores
// endpoints that the list no longer names.
func (t *Tracker) ProbeEnded(now time.Duration, name string, ok bool, reason string) {
	record := t.findEndpoint(name)
	if record == nil {
		return
	}
	record.probing = false
	if !ok {
		t.recordFailure(now, record, reason)
		return
	}
	record.consecutiveFailures = 0
	if record.state == StateUp {
		return
	}
	record.consecutiveSuccesses++
	if record.consecutiveSuccesses >= t.settings.Rise {
		record.state, record.consecutiveSuccesses, record.reason = StateUp, 0, ""
		record.recoveredAt = now // restarts its slow start
		t.updatePanicMode()
	}
}

// AttemptEnded records the outcome of an attempt. ok means that the endpoint answered, even
// if it rejected the attempt as full; otherwise reason is why it failed. Failed attempts
// take an endpoint down, but only probes bring it up again, as no attempts are sent to it
// meanwhile.
func (t *Tracker) AttemptEnded(now time.Duration, name string, ok bool, reason string) {
	record := t.findEndpoint(name)
	switch {
	case record == nil:
	case ok:
		record.consecutiveFailures = 0
	case record.state == StateUp:
		t.recordFailure(now, record, reason)
		record.nextProbe = min(record.nextProbe, now+t.settings.Interval/failedAttemptDivisor)
	}
}

// recordFailure records a failed probe or attempt, and takes the endpoint down after
// Settings.Fall consecutive ones.
func (t *Tracker) recordFailure(now time.Duration, record *endpointRecord, reason string) {
	record.consecutiveSuccesses = 0
	if record.state == StateDown {
		return
	}
	record.consecutiveFailures++
	if record.consecutiveFailures >= t.settings.Fall {
		record.state, record.consecutiveFailures, record.downAt, record.reason = StateDown, 0, now, reason
		t.updatePanicMode()
	}
}

// updatePanicMode enters or leaves panic mode by the share of endpoints that are down.
func (t *Tracker) updatePanicMode() {
	down := 0
	for _, record := range t.endpoints {
		if record.state == StateDown {
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
	for _, record := range t.endpoints {
		change := Change{Name: record.name, State: record.state, RecoveredAt: record.recoveredAt}
		if t.panicMode && record.state == StateDown {
			change.State = StateUp
		}
		if change != record.reported {
			record.reported = change
			changes = append(changes, change)
		}
	}
	return changes
}

// ReportAgain makes the next call of Changes return an endpoint whose listing has not changed.
func (t *Tracker) ReportAgain(name string) {
	if record := t.findEndpoint(name); record != nil {
		record.reported = Change{}
	}
}

// Health returns the health of all endpoints, sorted by name.
func (t *Tracker) Health(now time.Duration) (all []EndpointHealth) {
	for _, record := range t.endpoints {
		health := EndpointHealth{Name: record.name, State: record.state, ConsecutiveFailures: record.consecutiveFailures, Reason: record.reason}
		if record.state == StateDown {
			health.DownFor = now - record.downAt
		}
		all = append(all, health)
	}
	return all
}
