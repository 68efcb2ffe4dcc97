package discovery

import (
	"math/rand/v2"
	"time"
)

// Bounds of the backoff after a response with status 503, in place of the policy's.
const (
	overloadedMinBackoff = time.Second
	overloadedMaxBackoff = 8 * time.Second
)

// maxBackoffDoublings keeps the shift in a backoff from overflowing.
const maxBackoffDoublings = 8

// watchPolicy holds the timing of watch requests and of reopened watches.
type watchPolicy struct {
	maxInFlight int           // limit of watch requests that wait for a response at the same time
	hedgeDelay  time.Duration // wait for a response before another request is sent; see responseTimeout
	minBackoff  time.Duration // between two watches, doubled after each that delivers no list
	maxBackoff  time.Duration // limit of the doubled backoff
}

var (
	// agentPolicy is for an agent on the relay's own machine, which responds at
	// once and at little cost. The relay is expected to know every change that its
	// agent has, so a silent or ended watch is replaced within a fraction of a second.
	agentPolicy = watchPolicy{maxInFlight: 12, hedgeDelay: 500 * time.Millisecond, minBackoff: 25 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	// servicePolicy is for a service that all relays poll, and that handles their
	// requests one after another. A watch that falls silent may miss changes,
	// which the relay must learn of within 6 s: the next watch must be open by then.
	servicePolicy = watchPolicy{maxInFlight: 1, hedgeDelay: 2200 * time.Millisecond, minBackoff: 200 * time.Millisecond, maxBackoff: 1600 * time.Millisecond}
)

// policy returns the policy for the kind of discovery in the current settings.
func (w *Watcher) policy() watchPolicy {
	if w.Proxy.Settings().PollList {
		return servicePolicy
	}
	return agentPolicy
}

// backoff returns the wait before the next watch after a number of consecutive
// watches that delivered no list: a random time between half the limit and the limit,
// so that relays do not all reconnect at the same time. The limit is higher for an
// overloaded service, whose queue would otherwise fill with requests that time out
// there. A pollInterval above zero caps it at half the interval, so that no poll is
// missed: what a relay does not poll in time counts as notified.
func (p watchPolicy) backoff(failures int, overloaded bool, pollInterval time.Duration) time.Duration {
	lowest, highest := p.minBackoff, p.maxBackoff
	if overloaded {
		lowest, highest = overloadedMinBackoff, overloadedMaxBackoff
	}
	limit := min(highest, lowest<<min(failures, maxBackoffDoublings))
	if pollInterval > 0 {
		limit = min(limit, pollInterval/2)
	}
	return limit/2 + rand.N(max(1, limit/2))
}

// responseTimeout returns how long one watch request may wait for its response
// after a number of consecutive watches that delivered no list.
func (p watchPolicy) responseTimeout(failures int) time.Duration {
	return min(maxResponseTimeout, time.Duration(p.maxInFlight)*p.hedgeDelay<<min(maxBackoffDoublings, max(0, failures-1)))
}
