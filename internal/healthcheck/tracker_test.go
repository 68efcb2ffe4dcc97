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

// simulateProbes plays probes of endpoints, each of which answers as alive says, from one time until another. It returns when each change was reported.
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

// An endpoint that dies is down after three probes, and up again, with a time of recovery, after two. One that
// fails every other probe stays as it is.
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
		t.Errorf("reported is %v, want %s", reported, want)
	}
	if tracker.find("a").recoveredAt < 30*second {
		t.Error("an endpoint that is up again has no time of recovery")
	}
}

// Where most seem to be dead all are listed as up, until most are up again.
func TestPanicMode(t *testing.T) {
	tracker := New(DefaultSettings(), []string{"a", "b", "c", "d"}, 0)
	cutOff := func(string, time.Duration) bool { return false }
	reported := simulateProbes(tracker, 0, 20*second, cutOff)
	if !tracker.PanicMode() || len(reported["d"]) != 1 {
		t.Fatalf("panic mode %v: %v", tracker.PanicMode(), reported)
	}
	for _, e := range tracker.endpoints {
		if e.reported.State != StateUp {
			t.Errorf("%s is listed as down", e.name)
		}
	}
	simulateProbes(tracker, 20*second, 40*second, func(name string, _ time.Duration) bool { return name != "a" })
	if tracker.PanicMode() || tracker.find("a").reported.State != StateDown || tracker.find("b").reported.State != StateUp {
		t.Errorf("panic mode %v, a %v, b %v", tracker.PanicMode(), tracker.find("a").reported, tracker.find("b").reported)
	}
}

// Attempts take an endpoint down faster than probes, and never bring it back.
func TestFailedAttemptsTakeEndpointDown(t *testing.T) {
	tracker := New(DefaultSettings(), []string{"a", "b", "c"}, 0)
	tracker.Changes()
	for i := range 3 {
		tracker.AttemptEnded(time.Duration(i)*100*time.Millisecond, "a", false, "timeout")
	}
	if change := tracker.Changes(); len(change) != 1 || change[0].Name != "a" || change[0].State != StateDown {
		t.Fatalf("reported is %v", change)
	}
	tracker.AttemptEnded(second, "a", true, "")
	tracker.AttemptEnded(second, "nobody", false, "")
	if change := tracker.Changes(); len(change) != 0 {
		t.Errorf("reported is %v", change)
	}
	if health := tracker.Health(5 * second); health[0].Reason != "timeout" || health[0].DownFor < 4*second {
		t.Errorf("%+v", health)
	}
}

// probedEndpoints are endpoints that die and come back, and what their tracker has made of that.
type probedEndpoints struct {
	t        *rapid.T
	settings Settings
	tracker  *Tracker
	names    []string
	dead     map[string]time.Duration // since then
	probes   map[string][]time.Duration
	listed   map[string]State
}

func newProbedEndpoints(t *rapid.T) *probedEndpoints {
	settings := DefaultSettings()
	settings.Fall = rapid.IntRange(1, 4).Draw(t, "fall")
	settings.Rise = rapid.IntRange(1, 4).Draw(t, "rise")
	names := make([]string, rapid.IntRange(1, 8).Draw(t, "servers"))
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
		p.listed[names[i]] = StateDown // until it is reported
	}
	p.tracker = New(settings, names, 0)
	return p
}

// step makes a random endpoint die or come back, or ends an attempt at it, or replaces the list.
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

// probe carries out the probes that are due at a time, and returns when to call it again.
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

// checkState checks that an endpoint is probed, and is down and listed as it should be.
func (p *probedEndpoints) checkState(now time.Duration, name string) {
	since, isDead := p.dead[name]
	probes := p.probes[name]
	down := p.tracker.find(name).state == StateDown
	if !isDead && p.tracker.find(name).consecutiveFailures > 0 && !down && len(probes) > 0 && now-probes[len(probes)-1] > 3*p.settings.Interval {
		p.t.Fatalf("%s goes without a probe", name)
	}
	if isDead && now-since > time.Duration(p.settings.Fall+1)*p.settings.Interval && !down {
		p.t.Fatalf("%s is dead for %v and not down", name, now-since)
	}
	if p.listed[name] == StateDown && !down {
		p.t.Fatalf("%s is listed as down and is not", name)
	}
	if down && p.listed[name] == StateUp && !p.tracker.PanicMode() {
		p.t.Fatalf("%s is down, and listed as up outside panic mode", name)
	}
}

// checkBudget checks that no endpoint was probed five times within an interval.
func (p *probedEndpoints) checkBudget() {
	for name, times := range p.probes {
		for i := 4; i < len(times); i++ {
			if times[i]-times[i-4] < p.settings.Interval {
				p.t.Fatalf("%s is probed at %v: five times within %v", name, times[i-4:i+1], p.settings.Interval)
			}
		}
	}
}

// Whatever comes: no endpoint is probed more often than its share allows, none goes without a probe, one that is alive throughout is
// never listed as down, and one that is dead is after the time that the settings say, unless most are.
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
		endpoints.checkBudget()
	})
}

// How long a dead endpoint goes unnoticed by probes alone, and how often one that is alive is taken to be down as probes get lost, on
// thirteen endpoints for a day of each. The list of discovery is 2.7 to 9 s behind.
func TestTimeToDetect(t *testing.T) {
	names := make([]string, 13)
	for i := range names {
		names[i] = fmt.Sprintf("s-%02d", i)
	}
	for _, lossRate := range []float64{0, 0.02, 0.1} {
		rng := rand.New(rand.NewPCG(1, 1))
		tracker := New(DefaultSettings(), names, 0)
		var detectionTimes []time.Duration
		falseAlarms, diedAt, dead := 0, time.Duration(0), ""
		nextDeath := 10 * time.Minute
		for now := time.Duration(0); now < 24*time.Hour; {
			if dead == "" && now >= nextDeath {
				dead, diedAt = names[rng.IntN(len(names))], now
			}
			dueNames, nextDue := tracker.Due(now)
			for _, name := range dueNames {
				tracker.ProbeEnded(now, name, name != dead && rng.Float64() >= lossRate, "lost")
			}
			for _, change := range tracker.Changes() {
				switch {
				case change.State == StateDown && change.Name == dead:
					detectionTimes = append(detectionTimes, now-diedAt)
					dead, nextDeath = "", now+10*time.Minute+time.Duration(rng.IntN(2000))*time.Millisecond // it is back at once
				case change.State == StateDown:
					falseAlarms++
				}
			}
			now = nextDue
		}
		slices.Sort(detectionTimes)
		t.Logf("%4.0f%% of probes lost: a dead endpoint is down after %v to %v, median %v; %d false alarms on 13 endpoints in a day", 100*lossRate,
			detectionTimes[0].Round(100*time.Millisecond), detectionTimes[len(detectionTimes)-1].Round(100*time.Millisecond), detectionTimes[len(detectionTimes)/2].Round(100*time.Millisecond), falseAlarms)
		if worst := detectionTimes[len(detectionTimes)-1]; worst > 6*second+100*time.Millisecond || lossRate == 0 && falseAlarms > 0 || lossRate == 0.02 && falseAlarms > 30 {
			t.Errorf("%v lost: after %v at the most, %d false alarms", lossRate, worst, falseAlarms)
		}
	}
}
