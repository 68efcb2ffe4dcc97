// Package healthcheck tells which servers of a list are up, where nothing else does: by probes within a budget, and
// by what becomes of the passes that are sent to them. It does no I/O: whoever embeds it
//
//  1. carries out the probes that Due names, and tells each one's outcome with Probed, within Timeout;
//  2. tells the outcomes of passes with Passed;
//  3. takes Changes after each of these, and lists servers by them.
//
// All times are on one clock that never goes back.
package healthcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings say when a server is up.
type Settings struct {
	Interval       time.Duration // between two probes of a server
	Timeout        time.Duration // of a probe
	Rise           int           // probes in a row that have to succeed until one that was down is up
	Fall           int           // probes or passes in a row that have to fail until one that was up is down
	MaxLoadShare   float64       // of a server's time that probes may take at the most, ProbeCost each
	PanicThreshold float64       // part that may be down; beyond that the sensor is doubted, and all are listed as up
}

// ProbeCost is what a probe costs a server at the most, by the operators' word.
const ProbeCost = 950 * time.Microsecond

// DefaultSettings are settings that suit a small site.
func DefaultSettings() Settings {
	return Settings{Interval: 2 * time.Second, Timeout: time.Second, Rise: 2, Fall: 3, MaxLoadShare: 0.005, PanicThreshold: 0.5}
}

// Validate tells what makes no sense.
func (s *Settings) Validate() error {
	switch {
	case s.Interval <= 0 || s.Timeout <= 0:
		return fmt.Errorf("probes every %v that wait %v: both have to be over 0", s.Interval, s.Timeout)
	case s.Timeout > s.Interval:
		return fmt.Errorf("a probe waits %v, longer than the %v until the next", s.Timeout, s.Interval)
	case s.Rise < 1 || s.Fall < 1:
		return fmt.Errorf("rise %d and fall %d have to be over 0", s.Rise, s.Fall)
	case !(s.MaxLoadShare > 0 && s.MaxLoadShare <= 0.1):
		return fmt.Errorf("a share of %v is not within 0 and 0.1", s.MaxLoadShare)
	case !(s.PanicThreshold > 0 && s.PanicThreshold <= 1):
		return fmt.Errorf("panic %v is not within 0 and 1", s.PanicThreshold)
	case float64(ProbeCost)/float64(s.Interval) > s.MaxLoadShare:
		return fmt.Errorf("a probe every %v takes more of a server's time than its share of %v: %v at the least", s.Interval, s.MaxLoadShare, time.Duration(math.Ceil(float64(ProbeCost)/s.MaxLoadShare)))
	}
	return nil
}

// State is what is held of a server.
type State uint8

// The states of a server.
const (
	StateUp State = iota
	StateDown
)

// Change is news of a server.
type Change struct {
	Name        string
	State       State
	RecoveredAt time.Duration // it came back then, and is eased into work; 0: it was not away
}

type member struct {
	name   string
	state  State
	told   Change // as last told
	fails  int    // in a row
	rises  int    // in a row
	due    time.Duration
	out    bool          // a probe is out
	downAt time.Duration // since then
	born   time.Duration
	why    string
}

// Tracker are the servers of a list.
type Tracker struct {
	set   Settings
	all   []*member // by name
	doubt bool      // more are down than can be
}

// New returns servers that are held to be up until something says otherwise.
func New(s Settings, names []string, now time.Duration) *Tracker {
	m := &Tracker{set: s}
	m.Replace(names, now)
	return m
}

// UpdateSettings puts other settings in force.
func (m *Tracker) UpdateSettings(s Settings) { m.set = s }

// Replace puts another list in place. Servers that both name stay as they are. Those that it adds are held to be up, and
// probed soon, one after another.
func (m *Tracker) Replace(names []string, now time.Duration) {
	old := m.all
	m.all = nil
	for i, name := range slices.Sorted(slices.Values(names)) {
		if j := slices.IndexFunc(old, func(x *member) bool { return x.name == name }); j >= 0 {
			m.all = append(m.all, old[j])
			continue
		}
		spread := time.Duration(float64(min(m.set.Interval, time.Second)) * float64(i) / float64(len(names)))
		m.all = append(m.all, &member{name: name, told: Change{Name: name, State: StateDown}, due: now + spread})
	}
	m.judge()
}

func (m *Tracker) find(name string) *member {
	i, ok := slices.BinarySearchFunc(m.all, name, func(x *member, name string) int { return cmp.Compare(x.name, name) })
	if !ok {
		return nil
	}
	return m.all[i]
}

// Due names the servers that are to be probed now, and when to ask again.
func (m *Tracker) Due(now time.Duration) (names []string, next time.Duration) {
	next = now + m.set.Interval
	for _, x := range m.all {
		if !x.out && now >= x.due {
			x.out, x.due = true, now+m.set.Interval
			names = append(names, x.name)
		}
		next = min(next, x.due)
	}
	return names, max(next, now+time.Millisecond)
}

// ProbeEnded tells what became of a probe; why is of one that failed.
func (m *Tracker) ProbeEnded(now time.Duration, name string, ok bool, why string) {
	x := m.find(name)
	if x == nil {
		return
	}
	x.out = false
	if !ok {
		m.failed(now, x, why)
		return
	}
	x.fails = 0
	if x.state == StateUp {
		return
	}
	if x.rises++; x.rises >= m.set.Rise {
		x.state, x.rises, x.why = StateUp, 0, ""
		x.born = now // what it can do it has yet to show
		m.judge()
	}
}

// AttemptEnded tells what became of a pass: whether the server took it up. One that was turned away as full is no
// failure. Passes bring a server down, and only probes bring it back: nobody is sent to one that is down.
func (m *Tracker) AttemptEnded(now time.Duration, name string, ok bool, why string) {
	x := m.find(name)
	switch {
	case x == nil:
	case ok:
		x.fails = 0
	case x.state == StateUp:
		m.failed(now, x, why)
		x.due = min(x.due, now+m.set.Interval/4) // a look at once, within the budget of four at a time
	}
}

func (m *Tracker) failed(now time.Duration, x *member, why string) {
	x.rises = 0
	if x.state == StateDown {
		return
	}
	if x.fails++; x.fails >= m.set.Fall {
		x.state, x.fails, x.downAt, x.why = StateDown, 0, now, why
		m.judge()
	}
}

// judge doubts the sensor where more are down than can be: most likely it is this box that is cut off, and to
// turn everyone away would make that worse than it is.
func (m *Tracker) judge() {
	down := 0
	for _, x := range m.all {
		if x.state == StateDown {
			down++
		}
	}
	m.doubt = float64(down) > m.set.PanicThreshold*float64(len(m.all))
}

// PanicMode tells whether all are listed as up since too many seem to be down.
func (m *Tracker) PanicMode() bool { return m.doubt }

// Changes returns what is to be listed otherwise than it was told before.
func (m *Tracker) Changes() (all []Change) {
	for _, x := range m.all {
		c := Change{Name: x.name, State: x.state, RecoveredAt: x.born}
		if m.doubt && x.state == StateDown {
			c.State = StateUp
		}
		if c != x.told {
			x.told = c
			all = append(all, c)
		}
	}
	return all
}

// EndpointHealth is what there is to tell of a server.
type EndpointHealth struct {
	Name                string
	State               State
	Since               time.Duration // it has been down; 0 if it is up
	ConsecutiveFailures int           // in a row
	Reason              string        // it is down
}

// Health tells of all servers, by name.
func (m *Tracker) Health(now time.Duration) (all []EndpointHealth) {
	for _, x := range m.all {
		h := EndpointHealth{Name: x.name, State: x.state, ConsecutiveFailures: x.fails, Reason: x.why}
		if x.state == StateDown {
			h.Since = now - x.downAt
		}
		all = append(all, h)
	}
	return all
}
