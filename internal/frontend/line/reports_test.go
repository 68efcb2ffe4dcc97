package line

import (
	"testing"
	"time"

	"lockroad/balancer"
)

// A delay that is taken for a load hides a slow endpoint from the balancer; a load that is taken
// for a delay migrates the connections of a healthy one.
func TestDelaysAreDistinguishedFromLoads(t *testing.T) {
	type reportedLine struct {
		atMs  int // arrival time
		ageMs int // time since the request was established
		value float64
		delay bool
	}
	for name, lines := range map[string][]reportedLine{
		"an endpoint that slows down": {
			{0, 5, 2116.4, false}, // a load: the connection is new
			{3470, 3000, 21.572, true}, {4470, 4000, 29.205, true}, {4800, 4000, 59682.3, false},
			{5470, 5000, 397.448, true}, {6470, 6000, 622.583, true}, {7471, 7000, 1831.61, true},
			{7990, 7000, 540.2, false}, // small, but not at an interval
			{9468, 9000, 10.87, true}, {14470, 9000, 17.3, true},
		},
		"an endpoint that stops responding": {
			{970, 900, 6214.577, false}, // ambiguous until a similar value follows
			{1970, 900, 6214.577, true}, {2969, 900, 6214.577, true},
		},
		"an idle connection": { // even 466 is a load
			{0, 900, 466.2, false}, {1100, 900, 70125, false}, {2500, 900, 810.4, false},
		},
		"an endpoint that slows down suddenly": {
			{0, 900, 48313.2, false}, {300, 900, 410.5, false}, {1302, 900, 702.2, true}, {2301, 900, 980, true},
			{2700, 900, 620, false}, {3300, 900, 31020.1, false},
		},
		"a load near an interval": { // 24137 comes 20 ms early
			{0, 900, 19.9, true}, {980, 900, 24137.428, false}, {1000, 900, 13.8, true}, {2001, 900, 1900.5, true},
		},
		"loads only": {
			{100, 20, 348232.7, false}, {950, 900, 8182.6, false}, {2400, 2300, 1702.5, false},
			{3900, 3800, 25974.3, false}, {4200, 4100, 0, false},
		},
		"timing that expires": {
			{0, 900, 20, true}, {1000, 900, 20, true}, {41300, 900, 30, true}, {42300, 900, 30, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var classifier reportClassifier
			for _, line := range lines {
				now := time.Hour + time.Duration(line.atMs)*time.Millisecond
				if got := classifier.looksLikeDelay(7, line.value, now, time.Duration(line.ageMs)*time.Millisecond); got != line.delay {
					t.Errorf("value %v at %d ms: looksLikeDelay returned %v", line.value, line.atMs, got)
				}
			}
		})
	}
}

// If endpoints report only loads or only delays, time and size of a value must not matter.
func TestSettingsDecideReportKind(t *testing.T) {
	for _, test := range []struct {
		load, delay bool
		value       float64
		want        bool
	}{{true, false, 50, false}, {false, true, 5000, true}, {false, false, 50, false}, {true, true, 50, true}, {true, true, 5000, false}} {
		classifier := &reportClassifier{}
		got := classifier.isDelay(&balancer.Settings{ReportsLoad: test.load, ReportsDelay: test.delay}, 1, test.value, time.Hour, time.Second)
		if got != test.want {
			t.Errorf("%+v: isDelay returned %v", test, got)
		}
	}
}

// A process that has restored the timing must recognize the next delay, which without it is ambiguous.
func TestReportTimingIsRestored(t *testing.T) {
	both := &balancer.Settings{ReportsLoad: true, ReportsDelay: true}
	previous, next := &reportClassifier{}, &reportClassifier{}
	for i := range 3 {
		previous.isDelay(both, 7, 400+float64(i), time.Hour+time.Duration(i)*reportInterval, time.Second)
	}
	for id, timing := range previous.snapshot() {
		next.restore(id, timing)
	}
	if at := time.Hour + 3*reportInterval; !next.isDelay(both, 7, 410, at, time.Second) || (&reportClassifier{}).isDelay(both, 7, 410, at, time.Second) {
		t.Error("a delay is not recognized with the timing restored, or is recognized without")
	}
}

func TestReportTimingIsPerEndpoint(t *testing.T) {
	var classifier reportClassifier
	at := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	for i := range 3 {
		if !classifier.looksLikeDelay(1, 50, at(1000*i), time.Second) || !classifier.looksLikeDelay(2, 50, at(1000*i+400), time.Second) {
			t.Fatal("a delay is taken for a load")
		}
	}
	if classifier.looksLikeDelay(1, 50, at(3400), time.Second) || !classifier.looksLikeDelay(2, 50, at(3400), time.Second) {
		t.Error("the timing of one endpoint is used for another")
	}
}
