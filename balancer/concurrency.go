package balancer

import "time"

const (
	// maxConcurrency bounds the set-ups in flight from one relay.
	maxConcurrency = 64.0

	// concurrencyCutFactor is the share of the limit that is kept when set-ups fail on many endpoints.
	concurrencyCutFactor = 0.7

	// concurrencyCutInterval is the least time between two such cuts.
	concurrencyCutInterval = 200 * time.Millisecond

	// sharedCauseSpan is the time within which failures on many endpoints are taken to have one cause,
	// and for which that is taken to last.
	sharedCauseSpan = 2 * time.Second
)

// concurrencyWindow limits the set-ups in flight. It grows by about one per round of set-ups that meet
// their objective, and is cut when set-ups fail on many endpoints at once.
type concurrencyWindow struct {
	limit            float64 // from 1 to maxConcurrency
	inFlight         int
	cutAt            time.Duration
	sharedCauseUntil time.Duration
	queue            []*requestRecord // that wait for room, in order of arrival
}

// full reports whether no further set-up may be sent.
func (w *concurrencyWindow) full() bool { return w.inFlight >= int(w.limit) }

// raise raises the limit after a set-up that met its objective.
func (w *concurrencyWindow) raise() { w.limit = min(maxConcurrency, w.limit+1/w.limit) }

// cut lowers the limit, unless it was cut just now.
func (w *concurrencyWindow) cut(now time.Duration) {
	if now >= w.cutAt+concurrencyCutInterval {
		w.cutAt, w.limit = now, max(1, min(w.limit, float64(w.inFlight))*concurrencyCutFactor)
	}
}

// sharedCauseActive reports whether set-ups lately failed on many endpoints at once.
func (b *Balancer) sharedCauseActive() bool { return b.now < b.concurrency.sharedCauseUntil }

// detectSharedCause takes in a set-up that failed at an endpoint, and reports whether the failures have a
// cause that endpoints share, such as a slow session store. It guards against blaming endpoints for that,
// and against retries that add to it: once set-ups fail on as many endpoints as accept them, fewer are in
// flight at a time, and weights and routes stay.
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
