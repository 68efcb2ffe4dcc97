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
	beat      = time.Second
	beatSlack = 12 * time.Millisecond
	beatLife  = 30 * time.Second // a beat not heard for this long has to be found again
	beatRest  = 5 * time.Second  // after which it may have shifted
	freshFor  = 60 * time.Millisecond
	sureDelay = 100    // even an idle connection's load is more, in microseconds a second
	mostDelay = 30_000 // milliseconds
	growMost  = 1100   // milliseconds that a delay that is a guess can change by from one beat to the next
	surgeMost = 2000   // milliseconds that a known one can grow by in a second
	guessMost = 8      // figures of a server that may turn out to be delays
)

// notes tells loads from delays.
type notes struct {
	mu   sync.Mutex
	from map[balancer.EndpointID]*beats
}

// beats is what is known of the times at which a server tells its delay.
type beats struct {
	ReportTiming
	guesses []guess // of the last second
}

// guess is a figure that is a delay if another like it follows on the dot. An idle
// connection's load can be as small as the delay of a slow server, and taken for
// one has all connections of a sound server moved.
type guess struct {
	at     time.Duration
	figure float64
}

// ReportTiming is what is known of the times at which a server tells its delay, for another
// process to go on with.
type ReportTiming struct {
	LastAt    time.Duration `json:"At"`    // a delay came last; 0 if none has
	LastDelay float64       `json:"Last"`  // that delay
	OnTime    int           `json:"Count"` // how many have come on the dot
}

// beatsOf returns what is known of servers.
func (n *notes) beatsOf() map[balancer.EndpointID]ReportTiming {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[balancer.EndpointID]ReportTiming, len(n.from))
	for id, b := range n.from {
		if b.OnTime > 0 {
			all[id] = b.ReportTiming
		}
	}
	return all
}

// know takes over what another process knows of a server.
func (n *notes) know(id balancer.EndpointID, b ReportTiming) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from == nil {
		n.from = make(map[balancer.EndpointID]*beats)
	}
	n.from[id] = &beats{ReportTiming: b}
}

// isDelay tells whether the figure of a LOAD line is a delay, by the settings or else by
// what it looks like.
func (n *notes) isDelay(terms *balancer.Settings, server balancer.EndpointID, figure float64, now, since time.Duration) bool {
	if !terms.ReportsDelay || !terms.ReportsLoad {
		return terms.ReportsDelay
	}
	return n.delay(server, figure, now, since)
}

// delay tells whether the figure of a LOAD line looks like a delay. since is how long the
// connection has been up: the first that a server tells of a connection, at once,
// is its load.
func (n *notes) delay(server balancer.EndpointID, figure float64, now, since time.Duration) bool {
	if since < freshFor || figure <= 0 || figure >= mostDelay {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from == nil {
		n.from = make(map[balancer.EndpointID]*beats)
	}
	b := n.from[server]
	if b == nil || b.OnTime > 0 && now-b.LastAt > beatLife {
		b = &beats{}
		n.from[server] = b
	}
	gap := now - b.LastAt
	switch {
	// A load that falls on the beat by chance passed for a delay of 24 s, and had a
	// sound server's connections moved: no delay grows that fast.
	case b.OnTime > 0 && gap >= beat-beatSlack && min(gap%beat, beat-gap%beat) <= beatSlack &&
		figure <= b.LastDelay+surgeMost*(gap+beatSlack).Seconds():
	case b.OnTime > 1 && gap < beatRest:
		return false
	case figure < sureDelay:
		b.OnTime = 0
	case b.follows(figure, now):
	default:
		if len(b.guesses) == guessMost {
			b.guesses = slices.Delete(b.guesses, 0, 1)
		}
		b.guesses = append(b.guesses, guess{now, figure})
		return false
	}
	b.ReportTiming, b.guesses = ReportTiming{now, figure, b.OnTime + 1}, nil
	return true
}

// follows tells whether a figure follows one a second ago, as delays do.
func (b *beats) follows(figure float64, now time.Duration) bool {
	return slices.ContainsFunc(b.guesses, func(g guess) bool {
		return (now-g.at-beat).Abs() <= beatSlack && math.Abs(figure-g.figure) <= growMost
	})
}
