package discovery

import (
	"math/rand/v2"
	"time"
)

// Backoff bounds while the service answers 503. They replace those of the policy.
const (
	overloadedMinBackoff = time.Second
	overloadedMaxBackoff = 8 * time.Second
)

// maxBackoffDoublings keeps the shift of a backoff from overflowing.
const maxBackoffDoublings = 8

// watchPolicy says how watches are opened and reopened.
type watchPolicy struct {
	maxInFlight int           // watch requests that may wait for a response at the same time
	hedgeDelay  time.Duration // until another request is sent beside one that waits; one that is alone is given up
	minBackoff  time.Duration // between two watches, doubled with each that brings nothing
	maxBackoff  time.Duration // of these; each is drawn between half of it and all
}

var (
	// An agent on the relay's own machine responds at once and at no cost, and
	// what it has counts as notified whether a watch is open or not: one that is
	// silent is asked again soon, and so is one whose watch ends at once.
	agentPolicy = watchPolicy{maxInFlight: 12, hedgeDelay: 500 * time.Millisecond, minBackoff: 25 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	// A service that all relays poll handles their requests one after another.
	// What a silent watch misses counts as notified 6 s after it fell silent, so
	// the next watch has to be open by then.
	servicePolicy = watchPolicy{maxInFlight: 1, hedgeDelay: 2200 * time.Millisecond, minBackoff: 200 * time.Millisecond, maxBackoff: 1600 * time.Millisecond}
)

// policy returns the one that the settings in force ask for.
func (w *Watcher) policy() watchPolicy {
	if w.Proxy.Settings().PollList {
		return servicePolicy
	}
	return agentPolicy
}

// backoff returns the wait before the next watch after a number of watches that
// brought nothing. Random waits keep relays from returning in step to an agent
// that was down. Longer ones to an overloaded service keep requests out of its
// queue that would only fail there and delay others. A pollInterval above zero
// bounds the wait: what a relay does not poll for too long counts as notified.
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

// responseTimeout is how long one watch request may wait for its response
// after a number of watches that brought nothing.
func (p watchPolicy) responseTimeout(failures int) time.Duration {
	return min(maxResponseTimeout, time.Duration(p.maxInFlight)*p.hedgeDelay<<min(maxBackoffDoublings, max(0, failures-1)))
}
