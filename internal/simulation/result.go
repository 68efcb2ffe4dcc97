package simulation

import (
	"time"
)

// Annotation is the start of a scripted action, which plots mark.
type Annotation struct {
	At   time.Duration // since the start
	Text string
}

// ClassResult holds the metrics of a class of clients.
type ClassResult struct {
	Name        string  `json:"name"`
	Service     float64 `json:"service"` // served share of the demanded client seconds
	P50         float64 `json:"p50_ms"`  // of the time from a request to its connection
	P99         float64 `json:"p99_ms"`
	InObjective float64 `json:"in_aim"` // share of set-ups within the latency objective
}

// Result holds the metrics of a run. Service is the share of the clients' time, weighted by class, in which
// they were connected to a server that met their message latency objective.
type Result struct {
	Score                float64       `json:"g"` // 0.6 service + 0.05 worst 10 s + 0.35 worst class - migration cost
	Service              float64       `json:"service"`
	WorstTenSeconds      float64       `json:"worst_10s"`  // service in the 10 s with the least service
	WorstTenSecondsStart float64       `json:"worst_at_s"` // start of these 10 s
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
	LateAfterDrain       int           `json:"late_after_drain"` // attempts after drainGracePeriod
	Overloaded           int           `json:"tipped"`           // servers that failed during their slow start
	AttemptsPerRequest   float64       `json:"attempts_a_visit"`
	LoadSpread           float64       `json:"load_spread"` // mean over time of the utilization's standard deviation
	ServersPerGroup      float64       `json:"servers_a_group"`
	Recovery             float64       `json:"recovery_s"` // after the first action, as recoveryTime returns it
	Probes               int           `json:"probes"`
	DetectionTime        float64       `json:"found_in_s"`   // mean time until a relay is notified of a failure
	FalseAlarms          int           `json:"false_alarms"` // notifications of failures of ready servers
	Events               uint64        `json:"events"`
	RunTime              float64       `json:"took_s"`
	Established          int           `json:"standing"` // connections at the end

	Seconds     []Second     `json:"-"`
	Annotations []Annotation `json:"-"`
}

// Second holds the metrics of one second of a run.
type Second struct {
	Service                        float64 // share of the demand
	Demand                         float64
	Established                    int
	MaxUtilization, MinUtilization float64 // of any server
	MeanUtilization                float64
	Migrations                     int
}

// ratio returns x/y, or 1 if y is 0.
func ratio(x, y float64) float64 {
	if y == 0 {
		return 1
	}
	return x / y
}

// result computes the metrics of a run from its statistics.
func (a *statistics) result(sim *Sim, runTime time.Duration) *Result {
	result := &Result{
		Clients: a.clients, Requests: a.requests, Attempts: a.attempts, FailedAttempts: a.failedAttempts, Rejected: a.rejected, GaveUp: a.gaveUp, Migrations: a.migrations, HeartbeatTimeouts: a.heartbeatTimeouts,
		BrokenConnections: a.brokenConnections, CrossZoneAttempts: a.crossZoneAttempts, LateAfterDrain: a.lateAfterDrain, Overloaded: a.overloaded, Events: sim.eventCount, RunTime: runTime.Seconds(), ServersPerGroup: a.serversPerGroup,
		Seconds: a.seconds, Annotations: a.annotations, AttemptsPerRequest: ratio(float64(a.attempts), float64(a.requests)), LoadSpread: ratio(a.loadSpreadSum, float64(a.loadSpreadCount)),
	}
	result.Probes, result.FalseAlarms = a.probes, a.falseAlarms
	if a.detections > 0 {
		result.DetectionTime = a.detectionTime.Seconds() / float64(a.detections)
	}
	served, demanded, worst := 0.0, 0.0, 1.0
	for i, class := range sim.Classes {
		served, demanded = served+a.served[i], demanded+a.demanded[i]
		service := min(1, ratio(a.served[i], a.demanded[i]))
		worst = min(worst, service)
		histogram := a.setupTimes[i]
		result.Classes = append(result.Classes, ClassResult{Name: class.Name, Service: service, InObjective: ratio(float64(a.inObjective[i]), float64(a.established[i])),
			P50: float64(histogram.ValueAtQuantile(50)) / 1000, P99: float64(histogram.ValueAtQuantile(99)) / 1000})
	}
	result.Service = min(1, ratio(served, demanded))
	result.WorstTenSeconds = 1
	for i := 0; i+10 <= len(a.seconds); i++ {
		served, demanded := 0.0, 0.0
		for _, second := range a.seconds[i : i+10] {
			served, demanded = served+second.Service*second.Demand, demanded+second.Demand
		}
		if service := ratio(served, demanded); service < result.WorstTenSeconds {
			result.WorstTenSeconds, result.WorstTenSecondsStart = service, float64(i)
		}
	}
	result.Score = 0.6*result.Service + 0.05*result.WorstTenSeconds + 0.35*worst - sim.MigrationCost*ratio(float64(a.migrations), float64(max(1, a.clients)))
	result.Recovery = recoveryTime(a.seconds, a.annotations)
	for _, server := range sim.servers {
		result.Established += len(server.conns)
	}
	return result
}

// recoveryTime returns the seconds from the first action until service reaches 95% of its mean in the
// 5 s before the action and stays there for 3 s: 0 if it never falls below, -1 if it never recovers.
func recoveryTime(seconds []Second, annotations []Annotation) float64 {
	if len(annotations) == 0 {
		return 0
	}
	from := int(annotations[0].At / time.Second)
	if from < 1 || from >= len(seconds) {
		return 0
	}
	before, count := 0.0, 0
	for i := max(0, from-5); i < from; i++ {
		before, count = before+seconds[i].Service, count+1
	}
	before /= float64(count)
	fell := false
	for i := from; i < len(seconds); i++ {
		if seconds[i].Service < 0.95*before {
			fell = true
			continue
		}
		if recovered := i+3 <= len(seconds) && seconds[i+1].Service >= 0.95*before && seconds[i+2].Service >= 0.95*before; fell && recovered {
			return float64(i - from)
		}
	}
	if !fell {
		return 0
	}
	return -1
}
