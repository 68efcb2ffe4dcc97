package healthcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// simulateProbes carries out the probes that are due between two times. A probe succeeds if alive returns true. It
// returns, by endpoint, the reported states with their times.
func simulateProbes(tracker *Tracker, from, until time.Duration, alive func(name string, now time.Duration) bool) (reported map[string][]string) {
	reported = make(map[string][]string)
	for now := from; now < until; {
		names, next := tracker.Due(now)
		for _, name := range names {
			tracker.ProbeEnded(now, name, alive(name, now), "refused")
		}
		for _, change := range tracker.Changes() {
			reported[change.Name] = append(reported[change.Name], fmt.Sprintf("%v %v", [...]string{"up", "down"}[change.State], (now-from).Round(second)))
		}
		now = next
	}
	return reported
}

// An endpoint is down after three consecutive failed probes, and up again, with a time of recovery, after two
// successful ones. Failures that are not consecutive change nothing.
func TestRiseAndFall(t *testing.T) {
	tracker := New(DefaultSettings(), []string{"a", "b", "c", "d"}, 0)
	reported := simulateProbes(tracker, 0, 60*second, func(name string, now time.Duration) bool {
		switch name {
		case "a":
			return now < 10*second || now > 30*second
		case "b":
			return int(now/second)/2%2 == 0
		}
		return true
	})
	if want := "map[a:[up 0s down 14s up 34s] b:[up 0s] c:[up 0s] d:[up 0s]]"; fmt.Sprint(reported) != want {
		t.Errorf("got changes %v, want %s", reported, want)
	}
	if tracker.findEndpoint("a").recoveredAt < 30*second {
		t.Error("the endpoint that came up again has no time of recovery")
	}
}

// While more than half of the endpoints appear down, all are listed as up.
func TestPanicMode(t *testing.T) {
	tracker := New(DefaultSettings(), []string{"a", "b", "c", "d"}, 0)
	noneAlive := func(string, time.Duration) bool { return false }
	reported := simulateProbes(tracker, 0, 20*second, noneAlive)
	if !tracker.PanicMode() || len(reported["d"]) != 1 {
		t.Fatalf("panic mode %v with changes %v, want true with one change each", tracker.PanicMode(), reported)
	}
	for _, record := range tracker.endpoints {
		if record.reported.State != StateUp {
			t.Errorf("%s is listed as down in panic mode", record.name)
		}
	}
	simulateProbes(tracker, 20*second, 40*second, func(name string, _ time.Duration) bool { return name != "a" })
	if tracker.PanicMode() || tracker.findEndpoint("a").reported.State != StateDown || tracker.findEndpoint("b").reported.State != StateUp {
		t.Errorf("panic mode %v, a %v, b %v; want panic mode off, a down and b up", tracker.PanicMode(), tracker.findEndpoint("a").reported, tracker.findEndpoint("b").reported)
	}
}

// Failed attempts take an endpoint down without waiting for probes, and successful ones do not bring it up.
func TestFailedAttemptsTakeEndpointDown(t *testing.T) {
	tracker := New(DefaultSettings(), []string{"a", "b", "c"}, 0)
	tracker.Changes()
	for i := range 3 {
		tracker.AttemptEnded(time.Duration(i)*100*time.Millisecond, "a", false, "timeout")
	}
	if changes := tracker.Changes(); len(changes) != 1 || changes[0].Name != "a" || changes[0].State != StateDown {
		t.Fatalf("got changes %v after three failed attempts, want a down", changes)
	}
	tracker.AttemptEnded(second, "a", true, "")
	tracker.AttemptEnded(second, "unknown", false, "")
	if changes := tracker.Changes(); len(changes) != 0 {
		t.Errorf("got changes %v after attempts that must change nothing", changes)
	}
	if health := tracker.Health(5 * second); health[0].Reason != "timeout" || health[0].DownFor < 4*second {
		t.Errorf("health is %+v, want a down for at least 4s with reason timeout", health)
	}
}

// probedEndpoints simulates endpoints that fail and recover, and checks the tracker under test.
type probedEndpoints struct {
	t        *rapid.T
	settings Settings
	tracker  *Tracker
	names    []string
	dead     map[string]time.Duration   // time of failure, by endpoint
	probes   map[string][]time.Duration // times of all probes, by endpoint
	listed   map[string]State           // last reported state, by endpoint
}

func newProbedEndpoints(t *rapid.T) *probedEndpoints {
	settings := DefaultSettings()
	settings.Fall = rapid.IntRange(1, 4).Draw(t, "fall")
	settings.Rise = rapid.IntRange(1, 4).Draw(t, "rise")
	names := make([]string, rapid.IntRange(1, 8).Draw(t, "endpoints"))
	p := &probedEndpoints{
		t:        t,
		settings: settings,
		names:    names,
		dead:     make(map[string]time.Duration),
		probes:   make(map[string][]time.Duration),
		listed:   make(map[string]State),
	}
	for i := range names {
		names[i] = fmt.Sprintf("s-%d", i)
		p.listed[names[i]] = StateDown // until it is reported as up
	}
	p.tracker = New(settings, names, 0)
	return p
}

// step makes a random endpoint fail or recover, reports an attempt at it, or replaces the list with the same names.
func (p *probedEndpoints) step(now time.Duration) {
	name := rapid.SampledFrom(p.names).Draw(p.t, "name")
	_, isDead := p.dead[name]
	switch rapid.IntRange(0, 4).Draw(p.t, "step") {
	case 0:
		if !isDead && rapid.Bool().Draw(p.t, "dies") {
			p.dead[name] = now
		} else if isDead {
			delete(p.dead, name)
		}
	case 1:
		p.tracker.AttemptEnded(now, name, !isDead, "reset")
	case 2:
		p.tracker.Replace(p.names, now)
	}
}

// probe carries out the probes that are due, records the reported changes, and returns when to call it again.
func (p *probedEndpoints) probe(now time.Duration) (next time.Duration) {
	due, next := p.tracker.Due(now)
	for _, name := range due {
		_, isDead := p.dead[name]
		p.tracker.ProbeEnded(now, name, !isDead, "refused")
		p.probes[name] = append(p.probes[name], now)
	}
	for _, change := range p.tracker.Changes() {
		p.listed[change.Name] = change.State
	}
	return next
}

// checkState checks that a failing endpoint is probed, that a dead one is down in time, and that the list agrees.
func (p *probedEndpoints) checkState(now time.Duration, name string) {
	since, isDead := p.dead[name]
	probes := p.probes[name]
	down := p.tracker.findEndpoint(name).state == StateDown
	if !isDead && p.tracker.findEndpoint(name).consecutiveFailures > 0 && !down && len(probes) > 0 && now-probes[len(probes)-1] > 3*p.settings.Interval {
		p.t.Fatalf("%s has failed but was not probed for three intervals", name)
	}
	if isDead && now-since > time.Duration(p.settings.Fall+1)*p.settings.Interval && !down {
		p.t.Fatalf("%s has been dead for %v and is not down", name, now-since)
	}
	if p.listed[name] == StateDown && !down {
		p.t.Fatalf("%s is listed as down but is up", name)
	}
	if down && p.listed[name] == StateUp && !p.tracker.PanicMode() {
		p.t.Fatalf("%s is down but listed as up outside panic mode", name)
	}
}

// checkProbeRate checks that no endpoint was probed five times within an interval.
func (p *probedEndpoints) checkProbeRate() {
	for name, times := range p.probes {
		for i := 4; i < len(times); i++ {
			if times[i]-times[i-4] < p.settings.Interval {
				p.t.Fatalf("%s was probed at %v: five times within %v", name, times[i-4:i+1], p.settings.Interval)
			}
		}
	}
}

// For random failures, attempts and replaced lists: probes stay within their rate, a failing endpoint is always probed,
// an up endpoint is never listed as down, and a dead one is listed as down in time except in panic mode.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := newProbedEndpoints(t)
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			endpoints.step(now)
			end := now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond
			for now <= end {
				now = min(endpoints.probe(now), end+1)
			}
			for _, name := range endpoints.names {
				endpoints.checkState(now, name)
			}
		}
		endpoints.checkProbeRate()
	})
}

// Bounds the time until probes alone detect a dead endpoint, and the false alarms from lost probes, over a simulated
// day with 13 endpoints at each loss rate.
func TestDetectionTimeAndFalseAlarms(t *testing.T) {
	names := make([]string, 13)
	for i := range names {
		names[i] = fmt.Sprintf("s-%02d", i)
	}
	for _, lossRate := range []float64{0, 0.02, 0.1} {
		rng := rand.New(rand.NewPCG(1, 1))
		tracker := New(DefaultSettings(), names, 0)
		var detectionTimes []time.Duration
		falseAlarms, failedAt, dead := 0, time.Duration(0), ""
		nextFailure := 10 * time.Minute
		for now := time.Duration(0); now < 24*time.Hour; {
			if dead == "" && now >= nextFailure {
				dead, failedAt = names[rng.IntN(len(names))], now
			}
			dueNames, nextDue := tracker.Due(now)
			for _, name := range dueNames {
				tracker.ProbeEnded(now, name, name != dead && rng.Float64() >= lossRate, "lost")
			}
			for _, change := range tracker.Changes() {
				switch {
				case change.State == StateDown && change.Name == dead:
					detectionTimes = append(detectionTimes, now-failedAt)
					dead, nextFailure = "", now+10*time.Minute+time.Duration(rng.IntN(2000))*time.Millisecond // it recovers at once
				case change.State == StateDown:
					falseAlarms++
				}
			}
			now = nextDue
		}
		slices.Sort(detectionTimes)
		t.Logf("%4.0f%% of probes lost: dead endpoints detected after %v to %v, median %v; %d false alarms on 13 endpoints in a day", 100*lossRate,
			detectionTimes[0].Round(100*time.Millisecond), detectionTimes[len(detectionTimes)-1].Round(100*time.Millisecond), detectionTimes[len(detectionTimes)/2].Round(100*time.Millisecond), falseAlarms)
		if worst := detectionTimes[len(detectionTimes)-1]; worst > 6*second+100*time.Millisecond || lossRate == 0 && falseAlarms > 0 || lossRate == 0.02 && falseAlarms > 30 {
			t.Errorf("loss rate %v: detection took up to %v, %d false alarms", lossRate, worst, falseAlarms)
		}
	}
}
