package line

import (
	"math"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
)

// Application servers tell two things by LOAD lines: the load of the connection
// they come on, in microseconds of work a second, and, on one connection of the
// relay, the milliseconds that a message takes while that is long. The settings say
// whether they tell the one, the other or both. Where both, nothing on the line tells
// them apart, as the operators' pages have it ("there is no other word for it"), and
// taken for loads, delays leave the module blind to slow servers. What does tell is that
// delays come once a second on the dot from a server, and that their figures are small.
const (
	reportInterval      = time.Second
	reportTolerance     = 12 * time.Millisecond
	timingLifetime      = 30 * time.Second // a beat not heard for this long has to be found again
	missedReportsLimit  = 5 * time.Second  // after which it may have shifted
	newConnectionPeriod = 60 * time.Millisecond
	certainDelayBelow   = 100    // even an idle connection's load is more, in microseconds a second
	maxDelay            = 30_000 // milliseconds
	maxGuessChange      = 1100   // milliseconds that a delay that is a guess can change by from one beat to the next
	maxDelayGrowth      = 2000   // milliseconds that a known one can grow by in a second
	maxGuesses          = 8      // figures of a server that may turn out to be delays
)

// reportClassifier tells loads from delays.
type reportClassifier struct {
	mu         sync.Mutex
	byEndpoint map[balancer.EndpointID]*endpointReports
}

// endpointReports is what is known of the times at which a server tells its delay.
type endpointReports struct {
	ReportTiming
	guesses []guess // of the last second
}

// guess is a figure that is a delay if another like it follows on the dot. An idle
// connection's load can be as small as the delay of a slow server, and taken for
// one has all connections of a sound server moved.
type guess struct {
	at    time.Duration
	value float64
}

// ReportTiming is what is known of the times at which a server tells its delay, for another
// process to go on with.
type ReportTiming struct {
	LastAt    time.Duration `json:"At"`    // a delay came last; 0 if none has
	LastDelay float64       `json:"Last"`  // that delay
	OnTime    int           `json:"Count"` // how many have come on the dot
}

// snapshot returns what is known of servers.
func (r *reportClassifier) snapshot() map[balancer.EndpointID]ReportTiming {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[balancer.EndpointID]ReportTiming, len(r.byEndpoint))
	for id, reports := range r.byEndpoint {
		if reports.OnTime > 0 {
			all[id] = reports.ReportTiming
		}
	}
	return all
}

// restore takes over what another process knows of a server.
func (r *reportClassifier) restore(id balancer.EndpointID, reports ReportTiming) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = make(map[balancer.EndpointID]*endpointReports)
	}
	r.byEndpoint[id] = &endpointReports{ReportTiming: reports}
}

// isDelay tells whether the figure of a LOAD line is a delay, by the settings or else by
// what it looks like.
func (r *reportClassifier) isDelay(settings *balancer.Settings, endpoint balancer.EndpointID, value float64, now, connectionAge time.Duration) bool {
	if !settings.ReportsDelay || !settings.ReportsLoad {
		return settings.ReportsDelay
	}
	return r.looksLikeDelay(endpoint, value, now, connectionAge)
}

// looksLikeDelay tells whether the figure of a LOAD line looks like a delay. since is how long the
// connection has been up: the first that a server tells of a connection, at once,
// is its load.
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
	if reports == nil || reports.OnTime > 0 && now-reports.LastAt > timingLifetime {
		reports = &endpointReports{}
		r.byEndpoint[endpoint] = reports
	}
	gap := now - reports.LastAt
	switch {
	// A load that falls on the beat by chance passed for a delay of 24 s, and had a
	// sound server's connections moved: no delay grows that fast.
	case reports.OnTime > 0 && gap >= reportInterval-reportTolerance && min(gap%reportInterval, reportInterval-gap%reportInterval) <= reportTolerance &&
		value <= reports.LastDelay+maxDelayGrowth*(gap+reportTolerance).Seconds():
	case reports.OnTime > 1 && gap < missedReportsLimit:
		return false
	case value < certainDelayBelow:
		reports.OnTime = 0
	case reports.followsGuess(value, now):
	default:
		if len(reports.guesses) == maxGuesses {
			reports.guesses = slices.Delete(reports.guesses, 0, 1)
		}
		reports.guesses = append(reports.guesses, guess{now, value})
		return false
	}
	reports.ReportTiming, reports.guesses = ReportTiming{now, value, reports.OnTime + 1}, nil
	return true
}

// followsGuess tells whether a figure follows one a second ago, as delays do.
func (reports *endpointReports) followsGuess(value float64, now time.Duration) bool {
	return slices.ContainsFunc(reports.guesses, func(g guess) bool {
		return (now-g.at-reportInterval).Abs() <= reportTolerance && math.Abs(value-g.value) <= maxGuessChange
	})
}
