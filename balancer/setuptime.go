package balancer

import "time"

const (
	// setupTimeValidity is how long an estimate holds: what slows all set-ups passes within it.
	setupTimeValidity = 30 * time.Second
)

// setupTimeEstimate is how long set-ups take now, as far as a relay can tell that may see few of them.
type setupTimeEstimate struct {
	estimate  time.Duration
	updatedAt time.Duration

	timedOutAfter    time.Duration // of an attempt since which none was established; 0 if there is none
	timedOutEndpoint EndpointID    // of that attempt
}

// current is the time that a set-up takes; 0 if none was seen lately.
func (e *setupTimeEstimate) current(now time.Duration) time.Duration {
	if now >= e.updatedAt+setupTimeValidity {
		return 0
	}
	return e.estimate
}

// observeEstablished takes in a set-up that succeeded. A quick one halves what a slow one has left.
func (e *setupTimeEstimate) observeEstablished(took, now time.Duration) {
	e.estimate, e.updatedAt, e.timedOutAfter = max(took, (e.current(now)+took)/2), now, 0
}

// observeTimeout takes in a set-up that timed out. A single endpoint may hang. Where a second one takes
// as long, and nothing was established between them, set-ups take at least that time.
func (e *setupTimeEstimate) observeTimeout(endpoint EndpointID, after, now time.Duration) {
	if e.timedOutAfter > 0 && e.timedOutEndpoint != endpoint {
		e.estimate, e.updatedAt = max(e.timedOutAfter, after, e.current(now)), now
	}
	e.timedOutAfter, e.timedOutEndpoint = max(after, e.timedOutAfter), endpoint
}
