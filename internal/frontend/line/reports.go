package line

import (
	"math"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
)

// Endpoints report two things by LOAD lines: the load of the connection that the line comes
// on, in microseconds of work per second, and, on one connection of the relay, the
// milliseconds that a message takes while that is long. The settings say whether endpoints
// report one, the other or both. Where both, nothing on the line distinguishes them: the
// operators' pages have no other word for it. Taken for loads, delays leave the balancer blind
// to slow endpoints. What distinguishes them is that an endpoint reports delays at exact
// intervals of a second, and that their values are small.
const (
	reportInterval      = time.Second
	reportTolerance     = 12 * time.Millisecond // a report may be early or late by this
	timingLifetime      = 30 * time.Second      // timing without a report for this long is forgotten
	timingShiftTimeout  = 5 * time.Second       // timing without a report for this long may have shifted
	newConnectionPeriod = 60 * time.Millisecond // reports on a connection as young as this are loads
	minLoad             = 100.0                 // a smaller value is a delay: even an idle connection's load is more, in microseconds per second
	maxDelay            = 30_000.0              // milliseconds; a greater value is a load
	maxCandidateChange  = 1100.0                // milliseconds by which a guessed delay may change from one report to the next
	maxDelayGrowth      = 2000.0                // milliseconds by which a known delay may grow per second
	maxCandidates       = 8                     // guesses kept of an endpoint
)

// reportClassifier distinguishes delays from loads. Any goroutine may call its methods.
type reportClassifier struct {
	mu         sync.Mutex // guards byEndpoint and what it holds
	byEndpoint map[balancer.EndpointID]*endpointReports
}

// endpointReports is what is known of an endpoint's reports.
type endpointReports struct {
	ReportTiming
	candidates []candidate // of the last second
}

// candidate is a value that is a delay if a similar one follows after exactly an interval. An
// idle connection's load can be as small as the delay of a slow endpoint, and taken for one
// it migrates all connections of a healthy endpoint.
type candidate struct {
	at    time.Duration // on the proxy's clock
	value float64
}

// ReportTiming is what is known of the times at which an endpoint reports its delay. One
// process of a relay hands it to the next; its encoding must not change.
type ReportTiming struct {
	LastAt      time.Duration `json:"At"`    // time of the last delay on the proxy's clock; 0 if there was none
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

// restore sets what another process knew of an endpoint.
func (r *reportClassifier) restore(id balancer.EndpointID, timing ReportTiming) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = make(map[balancer.EndpointID]*endpointReports)
	}
	r.byEndpoint[id] = &endpointReports{ReportTiming: timing}
}

// isDelay reports whether the value of a LOAD line is a delay, by the settings or else by its
// time and size. connectionAge is how long ago the request was established.
func (r *reportClassifier) isDelay(settings *balancer.Settings, endpoint balancer.EndpointID, value float64, now, connectionAge time.Duration) bool {
	if !settings.ReportsDelay || !settings.ReportsLoad {
		return settings.ReportsDelay
	}
	return r.looksLikeDelay(endpoint, value, now, connectionAge)
}

// looksLikeDelay reports whether the value of a LOAD line looks like a delay. The first that
// an endpoint reports on a connection, at once, is the connection's load.
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

// isNextDelay reports whether a value comes exactly some intervals after the last delay, and
// is not too much greater. A load that came at such a time by chance was taken for a delay of
// 24 s, which migrated a healthy endpoint's connections: no delay grows that fast.
func (e *endpointReports) isNextDelay(value float64, now time.Duration) bool {
	gap := now - e.LastAt
	offset := min(gap%reportInterval, reportInterval-gap%reportInterval)
	return e.OnTimeCount > 0 && gap >= reportInterval-reportTolerance && offset <= reportTolerance &&
		value <= e.LastDelay+maxDelayGrowth*(gap+reportTolerance).Seconds()
}

// followsCandidate reports whether a value follows a similar one after exactly an interval.
func (e *endpointReports) followsCandidate(value float64, now time.Duration) bool {
	return slices.ContainsFunc(e.candidates, func(g candidate) bool {
		return (now-g.at-reportInterval).Abs() <= reportTolerance && math.Abs(value-g.value) <= maxCandidateChange
	})
}
