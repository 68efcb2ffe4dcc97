package line

import (
	"math"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
)

// LOAD lines carry two kinds of values: the load of the connection that they come on, in
// microseconds of work per second, and, on one of the relay's connections and only while it is
// long, the endpoint's message delay in milliseconds. The settings say which of them endpoints
// report. If they report both, the lines look alike; but delays come at exact intervals of a
// second and are small. A delay that is taken for a load hides a slow endpoint from the balancer,
// and a load that is taken for a delay makes the balancer migrate a healthy endpoint's connections.
const (
	reportInterval      = time.Second
	reportTolerance     = 12 * time.Millisecond // by which a delay may come early or late
	timingLifetime      = 30 * time.Second      // after this long without a delay, its timing is forgotten
	timingShiftTimeout  = 5 * time.Second       // after this long without a delay, the next may come at another time
	newConnectionPeriod = 60 * time.Millisecond // values on a connection younger than this are loads
	minLoad             = 100.0                 // microseconds per second; no positive load is smaller
	maxDelay            = 30_000.0              // milliseconds; a value from here on is a load
	maxCandidateChange  = 1100.0                // milliseconds; difference between two candidates that may be delays
	maxDelayGrowth      = 2000.0                // milliseconds per second; growth between two consecutive delays
	maxCandidates       = 8                     // per endpoint
)

// reportClassifier distinguishes delays from loads in LOAD lines. It is safe for concurrent use.
type reportClassifier struct {
	mu         sync.Mutex // guards byEndpoint and its values
	byEndpoint map[balancer.EndpointID]*endpointReports
}

// endpointReports is the state of the classifier for one endpoint.
type endpointReports struct {
	ReportTiming
	candidates []candidate // values since the last delay, oldest first
}

// candidate is a value that may be a load or a delay. Its kind stays open because an idle
// connection's load can be as small as a slow endpoint's delay; a similar value after exactly
// one interval shows that the endpoint reports delays.
type candidate struct {
	at    time.Duration // time on the proxy's clock
	value float64
}

// ReportTiming is when an endpoint has last reported its delay, and how regularly. One process
// of a relay sends it to the next as JSON, so that its tags must not change.
type ReportTiming struct {
	LastAt      time.Duration `json:"At"`    // time of the last delay on the proxy's clock; 0: none
	LastDelay   float64       `json:"Last"`  // the last delay, in milliseconds
	OnTimeCount int           `json:"Count"` // number of consecutive delays at exact intervals
}

// snapshot returns the timing of every endpoint that has reported a delay.
func (r *reportClassifier) snapshot() map[balancer.EndpointID]ReportTiming {
	r.mu.Lock()
	defer r.mu.Unlock()
	timings := make(map[balancer.EndpointID]ReportTiming, len(r.byEndpoint))
	for id, reports := range r.byEndpoint {
		if reports.OnTimeCount > 0 {
			timings[id] = reports.ReportTiming
		}
	}
	return timings
}

// restore sets an endpoint's timing, which another process has recorded.
func (r *reportClassifier) restore(id balancer.EndpointID, timing ReportTiming) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = make(map[balancer.EndpointID]*endpointReports)
	}
	r.byEndpoint[id] = &endpointReports{ReportTiming: timing}
}

// isDelay reports whether the value of a LOAD line is a delay. It decides by the time and size of
// the value only if endpoints report both kinds. connectionAge is the time since the request was
// established.
func (r *reportClassifier) isDelay(settings *balancer.Settings, endpoint balancer.EndpointID, value float64, now, connectionAge time.Duration) bool {
	if !settings.ReportsDelay || !settings.ReportsLoad {
		return settings.ReportsDelay
	}
	return r.looksLikeDelay(endpoint, value, now, connectionAge)
}

// looksLikeDelay reports whether the value of a LOAD line looks like a delay by its time and
// size, and records it. A value on a new connection is the load that endpoints report at once.
func (r *reportClassifier) looksLikeDelay(endpoint balancer.EndpointID, value float64, now, connectionAge time.Duration) bool {
	if connectionAge < newConnectionPeriod || value <= 0 || value >= maxDelay {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = make(map[balancer.EndpointID]*endpointReports)
	}
	reports := r.byEndpoint[endpoint]
	if reports == nil || reports.OnTimeCount > 0 && now-reports.LastAt > timingLifetime {
		reports = &endpointReports{}
		r.byEndpoint[endpoint] = reports
	}
	switch {
	case reports.isNextDelay(value, now):
	case reports.OnTimeCount > 1 && now-reports.LastAt < timingShiftTimeout:
		return false
	case value < minLoad:
		reports.OnTimeCount = 0
	case reports.followsCandidate(value, now):
	default:
		if len(reports.candidates) == maxCandidates {
			reports.candidates = slices.Delete(reports.candidates, 0, 1)
		}
		reports.candidates = append(reports.candidates, candidate{at: now, value: value})
		return false
	}
	reports.ReportTiming = ReportTiming{LastAt: now, LastDelay: value, OnTimeCount: reports.OnTimeCount + 1}
	reports.candidates = nil
	return true
}

// isNextDelay reports whether a value comes a whole number of intervals after the last delay.
// The bound on its growth rejects a load that comes at such a time by chance: one was taken for a
// delay of 24 s, and connections of a healthy endpoint were migrated. No delay grows that fast.
func (e *endpointReports) isNextDelay(value float64, now time.Duration) bool {
	gap := now - e.LastAt
	offset := min(gap%reportInterval, reportInterval-gap%reportInterval)
	return e.OnTimeCount > 0 && gap >= reportInterval-reportTolerance && offset <= reportTolerance &&
		value <= e.LastDelay+maxDelayGrowth*(gap+reportTolerance).Seconds()
}

// followsCandidate reports whether a value follows a similar candidate after exactly one interval.
func (e *endpointReports) followsCandidate(value float64, now time.Duration) bool {
	return slices.ContainsFunc(e.candidates, func(c candidate) bool {
		return (now-c.at-reportInterval).Abs() <= reportTolerance && math.Abs(value-c.value) <= maxCandidateChange
	})
}
