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

// follow plays probes of servers, each of which answers as alive says, until a time. It returns when each change was told.
func follow(m *Tracker, from, until time.Duration, alive func(name string, now time.Duration) bool) (told map[string][]string) {
	told = make(map[string][]string)
	for now := from; now < until; {
		names, next := m.Due(now)
		for _, name := range names {
			m.ProbeEnded(now, name, alive(name, now), "refused")
		}
		for _, c := range m.Changes() {
			told[c.Name] = append(told[c.Name], fmt.Sprintf("%v %v", [...]string{"up", "down"}[c.State], (now-from).Round(second)))
		}
		now = next
	}
	return told
}

// A server that dies is down after three probes, and up again, as one that has just started, after two. One that
// fails every other probe stays as it is.
func TestRiseAndFall(t *testing.T) {
	m := New(DefaultSettings(), []string{"a", "b", "c", "d"}, 0)
	told := follow(m, 0, 60*second, func(name string, now time.Duration) bool {
		switch name {
		case "a":
			return now < 10*second || now > 30*second
		case "b":
			return int(now/second)/2%2 == 0
		}
		return true
	})
	if want := "map[a:[up 0s down 14s up 34s] b:[up 0s] c:[up 0s] d:[up 0s]]"; fmt.Sprint(told) != want {
		t.Errorf("told is %v, want %s", told, want)
	}
	if m.find("a").born < 30*second {
		t.Error("a server that came back is not eased into work")
	}
}

// Where most seem to be dead the sensor is doubted before the servers, until it is not so any more.
func TestPanic(t *testing.T) {
	m := New(DefaultSettings(), []string{"a", "b", "c", "d"}, 0)
	cutOff := func(string, time.Duration) bool { return false }
	told := follow(m, 0, 20*second, cutOff)
	if !m.PanicMode() || len(told["d"]) != 1 {
		t.Fatalf("doubts %v: %v", m.PanicMode(), told)
	}
	for _, x := range m.all {
		if x.told.State != StateUp {
			t.Errorf("%s is listed as down", x.name)
		}
	}
	follow(m, 20*second, 40*second, func(name string, _ time.Duration) bool { return name != "a" })
	if m.PanicMode() || m.find("a").told.State != StateDown || m.find("b").told.State != StateUp {
		t.Errorf("doubts %v, a %v, b %v", m.PanicMode(), m.find("a").told, m.find("b").told)
	}
}

// Passes bring a server down faster than probes, and never up.
func TestPasses(t *testing.T) {
	m := New(DefaultSettings(), []string{"a", "b", "c"}, 0)
	m.Changes()
	for i := range 3 {
		m.AttemptEnded(time.Duration(i)*100*time.Millisecond, "a", false, "timeout")
	}
	if c := m.Changes(); len(c) != 1 || c[0].Name != "a" || c[0].State != StateDown {
		t.Fatalf("told is %v", c)
	}
	m.AttemptEnded(second, "a", true, "")
	m.AttemptEnded(second, "nobody", false, "")
	if c := m.Changes(); len(c) != 0 {
		t.Errorf("told is %v", c)
	}
	if h := m.Health(5 * second); h[0].Reason != "timeout" || h[0].Since < 4*second {
		t.Errorf("%+v", h)
	}
}

// Whatever comes: no server is probed more often than its share allows, none goes without a probe, one that is alive throughout is never
// listed as down, and one that is dead is after the time that the settings say, unless most are.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultSettings()
		set.Fall = rapid.IntRange(1, 4).Draw(t, "fall")
		set.Rise = rapid.IntRange(1, 4).Draw(t, "rise")
		n := rapid.IntRange(1, 8).Draw(t, "servers")
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("s-%d", i)
		}
		m := New(set, names, 0)
		dead := make(map[string]time.Duration) // since then
		probes := make(map[string][]time.Duration)
		listed := make(map[string]State)
		for _, name := range names {
			listed[name] = StateDown // until it is told of
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if _, is := dead[name]; !is && rapid.Bool().Draw(t, "dies") {
					dead[name] = now
				} else if is {
					delete(dead, name)
				}
			case 1:
				_, is := dead[name]
				m.AttemptEnded(now, name, !is, "reset")
			case 2:
				m.Replace(names, now)
			}
			for end := now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond; now <= end; {
				due, next := m.Due(now)
				for _, x := range due {
					_, is := dead[x]
					m.ProbeEnded(now, x, !is, "refused")
					probes[x] = append(probes[x], now)
				}
				for _, c := range m.Changes() {
					listed[c.Name] = c.State
				}
				now = min(next, end+1)
			}
			for _, x := range names {
				since, is := dead[x]
				down := m.find(x).state == StateDown
				if !is && m.find(x).fails > 0 && !down && len(probes[x]) > 0 && now-probes[x][len(probes[x])-1] > 3*set.Interval {
					t.Fatalf("%s goes without a probe", x)
				}
				if is && now-since > time.Duration(set.Fall+1)*set.Interval && !down {
					t.Fatalf("%s is dead for %v and not down", x, now-since)
				}
				if listed[x] == StateDown && !down {
					t.Fatalf("%s is listed as down and is not", x)
				}
				if down && listed[x] == StateUp && !m.PanicMode() {
					t.Fatalf("%s is down, and listed as up without a doubt", x)
				}
			}
		}
		for x, at := range probes {
			for i := 4; i < len(at); i++ {
				if at[i]-at[i-4] < set.Interval {
					t.Fatalf("%s is probed at %v: five times within %v", x, at[i-4:i+1], set.Interval)
				}
			}
		}
	})
}

// How long a dead server goes unnoticed by probes alone, and how often one that is sound is held to be down as probes get lost, on
// thirteen servers for a day of each. The list of discovery is 2.7 to 9 s behind.
func TestTimeToDetect(t *testing.T) {
	names := make([]string, 13)
	for i := range names {
		names[i] = fmt.Sprintf("s-%02d", i)
	}
	for _, lost := range []float64{0, 0.02, 0.1} {
		rng := rand.New(rand.NewPCG(1, 1))
		m := New(DefaultSettings(), names, 0)
		var waits []time.Duration
		alarms, died, dead := 0, time.Duration(0), ""
		next := 10 * time.Minute
		for now := time.Duration(0); now < 24*time.Hour; {
			if dead == "" && now >= next {
				dead, died = names[rng.IntN(len(names))], now
			}
			due, again := m.Due(now)
			for _, name := range due {
				m.ProbeEnded(now, name, name != dead && rng.Float64() >= lost, "lost")
			}
			for _, c := range m.Changes() {
				switch {
				case c.State == StateDown && c.Name == dead:
					waits = append(waits, now-died)
					dead, next = "", now+10*time.Minute+time.Duration(rng.IntN(2000))*time.Millisecond // it is back at once
				case c.State == StateDown:
					alarms++
				}
			}
			now = again
		}
		slices.Sort(waits)
		t.Logf("%4.0f%% of probes lost: a dead server is down after %v to %v, median %v; %d false alarms on 13 servers in a day", 100*lost,
			waits[0].Round(100*time.Millisecond), waits[len(waits)-1].Round(100*time.Millisecond), waits[len(waits)/2].Round(100*time.Millisecond), alarms)
		if worst := waits[len(waits)-1]; worst > 6*second+100*time.Millisecond || lost == 0 && alarms > 0 || lost == 0.02 && alarms > 30 {
			t.Errorf("%v lost: after %v at the most, %d false alarms", lost, worst, alarms)
		}
	}
}

func TestCheck(t *testing.T) {
	usual := DefaultSettings()
	if err := usual.Validate(); err != nil {
		t.Error(err)
	}
	for _, bad := range []func(*Settings){
		func(s *Settings) { s.Interval = 0 }, func(s *Settings) { s.Timeout = 3 * second }, func(s *Settings) { s.Rise = 0 },
		func(s *Settings) { s.MaxLoadShare = 0.2 }, func(s *Settings) { s.PanicThreshold = 0 }, func(s *Settings) { s.Interval, s.Timeout = 100*time.Millisecond, 50*time.Millisecond },
	} {
		s := DefaultSettings()
		if bad(&s); s.Validate() == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}
