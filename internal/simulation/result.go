package simulation

import (
	"time"
)

// Annotation is something that happened, for plots.
type Annotation struct {
	At   time.Duration // since the start
	Text string
}

// ClassResult is how clients of a class were served.
type ClassResult struct {
	Name        string  `json:"name"`
	Service     float64 `json:"service"` // worth of well-served seconds over those asked for
	P50         float64 `json:"p50_ms"`  // of a client's coming to its being up
	P99         float64 `json:"p99_ms"`
	InObjective float64 `json:"in_aim"` // part of set-ups within the wanted time
}

// Result is what came of a run.
type Result struct {
	Score                float64       `json:"g"` // 60% service, 5% the worst 10 s, 35% the worst class, less the price of moves
	Service              float64       `json:"service"`
	WorstTenSeconds      float64       `json:"worst_10s"`
	WorstTenSecondsStart float64       `json:"worst_at_s"` // where those 10 s begin
	Classes              []ClassResult `json:"classes"`
	Clients              int           `json:"clients"`
	Requests             int           `json:"visits"`
	Attempts             int           `json:"passes"`
	FailedAttempts       int           `json:"failed_passes"`
	Rejected             int           `json:"refused"`
	GaveUp               int           `json:"gave_up"`
	Migrations           int           `json:"moves"`
	HeartbeatTimeouts    int           `json:"silent"`
	BrokenConnections    int           `json:"broken"`
	CrossZoneAttempts    int           `json:"crossed"`
	LateAfterDrain       int           `json:"late_after_drain"` // passes to a server over 500 ms after its drain was told
	Overloaded           int           `json:"tipped"`           // cold servers that fell over
	AttemptsPerRequest   float64       `json:"attempts_a_visit"`
	LoadSpread           float64       `json:"load_spread"` // standard deviation of servers' load against what they can do, mean over time
	ServersPerGroup      float64       `json:"servers_a_group"`
	Recovery             float64       `json:"recovery_s"` // from the first mark until service is at 95% of what it was before, for 3 s; -1 if it never was
	Probes               int           `json:"probes"`
	DetectionTime        float64       `json:"found_in_s"`   // from a server's dying or hanging until a relay was told that it is gone; 0 if none was
	FalseAlarms          int           `json:"false_alarms"` // times that a relay was told so of a server that was well
	Events               uint64        `json:"events"`
	RunTime              float64       `json:"took_s"`
	Established          int           `json:"standing"` // at the end

	Seconds     []Second     `json:"-"`
	Annotations []Annotation `json:"-"`
}

// Second is a second of a run.
type Second struct {
	Service                        float64 // of its worth
	Demand                         float64
	Established                    int
	MaxUtilization, MinUtilization float64 // load of the fullest and the emptiest server, against what they can do
	MeanUtilization                float64
	Migrations                     int
}

func ratio(x, y float64) float64 {
	if y == 0 {
		return 1
	}
	return x / y
}

// result adds it all up.
func (a *statistics) result(s *Sim, took time.Duration) *Result {
	r := &Result{
		Clients: a.clients, Requests: a.requests, Attempts: a.attempts, FailedAttempts: a.failedAttempts, Rejected: a.rejected, GaveUp: a.gaveUp, Migrations: a.migrations, HeartbeatTimeouts: a.heartbeatTimeouts,
		BrokenConnections: a.brokenConnections, CrossZoneAttempts: a.crossZoneAttempts, LateAfterDrain: a.lateAfterDrain, Overloaded: a.overloaded, Events: s.eventCount, RunTime: took.Seconds(), ServersPerGroup: a.serversPerGroup,
		Seconds: a.seconds, Annotations: a.annotations, AttemptsPerRequest: ratio(float64(a.attempts), float64(a.requests)), LoadSpread: ratio(a.loadSpreadSum, float64(a.loadSpreadCount)),
	}
	r.Probes, r.FalseAlarms = a.probes, a.falseAlarms
	if a.detections > 0 {
		r.DetectionTime = a.detectionTime.Seconds() / float64(a.detections)
	}
	good, asked, worst := 0.0, 0.0, 1.0
	for i, class := range s.Classes {
		good, asked = good+a.served[i], asked+a.wanted[i]
		service := min(1, ratio(a.served[i], a.wanted[i]))
		worst = min(worst, service)
		histogram := a.setupTimes[i]
		r.Classes = append(r.Classes, ClassResult{Name: class.Name, Service: service, InObjective: ratio(float64(a.inObjective[i]), float64(a.established[i])),
			P50: float64(histogram.ValueAtQuantile(50)) / 1000, P99: float64(histogram.ValueAtQuantile(99)) / 1000})
	}
	r.Service = min(1, ratio(good, asked))
	r.WorstTenSeconds = 1
	for i := 0; i+10 <= len(a.seconds); i++ {
		good, asked := 0.0, 0.0
		for _, x := range a.seconds[i : i+10] {
			good, asked = good+x.Service*x.Demand, asked+x.Demand
		}
		if w := ratio(good, asked); w < r.WorstTenSeconds {
			r.WorstTenSeconds, r.WorstTenSecondsStart = w, float64(i)
		}
	}
	r.Score = 0.6*r.Service + 0.05*r.WorstTenSeconds + 0.35*worst - s.MigrationCost*ratio(float64(a.migrations), float64(max(1, a.clients)))
	r.Recovery = recoveryTime(a.seconds, a.annotations)
	for _, v := range s.servers {
		r.Established += len(v.conns)
	}
	return r
}

// recoveryTime is how long after the first mark service is at 95% of what it was in the 5 s
// before it, for 3 s on end; 0 if it never fell below.
func recoveryTime(seconds []Second, marks []Annotation) float64 {
	if len(marks) == 0 {
		return 0
	}
	from := int(marks[0].At / time.Second)
	if from < 1 || from >= len(seconds) {
		return 0
	}
	before, n := 0.0, 0
	for i := max(0, from-5); i < from; i++ {
		before, n = before+seconds[i].Service, n+1
	}
	before /= float64(n)
	fell := false
	for i := from; i < len(seconds); i++ {
		if seconds[i].Service < 0.95*before {
			fell = true
			continue
		}
		if well := i+3 <= len(seconds) && seconds[i+1].Service >= 0.95*before && seconds[i+2].Service >= 0.95*before; fell && well {
			return float64(i - from)
		}
	}
	if !fell {
		return 0
	}
	return -1
}
