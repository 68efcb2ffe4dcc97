package balancer

import "time"

const (
	// maxConcurrency limits the setups in flight from one relay.
	maxConcurrency = 64.0

	// concurrencyCutFactor is the share of the limit that remains after a cut.
	concurrencyCutFactor = 0.7

	// concurrencyCutInterval is the minimum time between two cuts.
	concurrencyCutInterval = 200 * time.Millisecond

	// sharedCauseSpan is the time within which failures on many endpoints count as having a shared cause,
	// and how long that cause is assumed to last.
	sharedCauseSpan = 2 * time.Second
)

// concurrencyWindow limits the setups in flight by additive increase and multiplicative decrease: the limit
// grows by about one per window of setups that meet their latency objective, and is cut when setups fail on
// many endpoints at once.
type concurrencyWindow struct {
	limit            float64 // from 1 to maxConcurrency
	inFlight         int
	cutAt            time.Duration
	sharedCauseUntil time.Duration
	queue            []*requestRecord // waiting for the window, in order of arrival
}

// full reports whether the limit of setups in flight is reached.
func (w *concurrencyWindow) full() bool { return w.inFlight >= int(w.limit) }

// raise raises the limit after a setup that met its latency objective.
func (w *concurrencyWindow) raise() { w.limit = min(maxConcurrency, w.limit+1/w.limit) }

// cut lowers the limit, at most once per concurrencyCutInterval.
func (w *concurrencyWindow) cut(now time.Duration) {
	if now >= w.cutAt+concurrencyCutInterval {
		w.cutAt, w.limit = now, max(1, min(w.limit, float64(w.inFlight))*concurrencyCutFactor)
	}
}

// sharedCauseActive reports whether setups recently failed on many endpoints at once.
func (b *Balancer) sharedCauseActive() bool { return b.now < b.concurrency.sharedCauseUntil }

// detectSharedCause records a failed setup at an endpoint and reports whether the failures have a shared
// cause, such as a slow session store: setups fail on at least two endpoints, and on at least as many as
// accept them. If so, it lowers the concurrency limit to limit the load of retries. The caller then keeps
// weights and routes, as the endpoints are not at fault.
func (b *Balancer) detectSharedCause(endpoint *endpointRecord) bool {
	endpoint.failedAt = b.now
	accepting, failing := 0, 0
	for _, endpoint := range b.endpoints.sorted {
		if endpoint.failedAt > endpoint.establishedAt && endpoint.failedAt > b.now-sharedCauseSpan {
			failing++
		} else if endpoint.establishedAt > b.now-sharedCauseSpan {
			accepting++
		}
	}
	if failing >= 2 && failing >= accepting {
		b.concurrency.sharedCauseUntil = b.now + sharedCauseSpan
		b.concurrency.cut(b.now)
	}
	return b.sharedCauseActive()
}
