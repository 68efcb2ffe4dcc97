package balancer

import "time"

const (
	// setupTimeValidity is how long an estimate is valid without new measurements.
	setupTimeValidity = 30 * time.Second
)

// setupTimeEstimate estimates how long a setup takes, from the possibly few setups of this relay.
type setupTimeEstimate struct {
	estimate  time.Duration
	updatedAt time.Duration

	timedOutAfter    time.Duration // longest timeout since a setup last succeeded; 0 if none
	timedOutEndpoint EndpointID    // of the last timeout
}

// current returns the estimate; 0 if it has expired or there is none.
func (e *setupTimeEstimate) current(now time.Duration) time.Duration {
	if now >= e.updatedAt+setupTimeValidity {
		return 0
	}
	return e.estimate
}

// observeEstablished records a successful setup. A fast one moves the estimate halfway to its time.
func (e *setupTimeEstimate) observeEstablished(took, now time.Duration) {
	e.estimate, e.updatedAt, e.timedOutAfter = max(took, (e.current(now)+took)/2), now, 0
}

// observeTimeout records a setup that timed out. It raises the estimate only if setups time out on two
// endpoints without a success in between, as a single endpoint may be hung.
func (e *setupTimeEstimate) observeTimeout(endpoint EndpointID, after, now time.Duration) {
	if e.timedOutAfter > 0 && e.timedOutEndpoint != endpoint {
		e.estimate, e.updatedAt = max(e.timedOutAfter, after, e.current(now)), now
	}
	e.timedOutAfter, e.timedOutEndpoint = max(after, e.timedOutAfter), endpoint
}
