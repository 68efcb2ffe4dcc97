package balancer

import "time"

const (
	// retryBackoffBase is the backoff before a request's second attempt. It doubles for each further
	// attempt, so that retries add less load while the failure lasts.
	retryBackoffBase = 100 * time.Millisecond

	// maxBackoffDoublings limits the backoff used for the retry-after of a rejection.
	maxBackoffDoublings = 8

	// deliveryAllowance is the time an attempt may take to reach its endpoint. A repeat that relies on
	// deduplication is sent at least this long before the deduplication window ends.
	deliveryAllowance = 50 * time.Millisecond
)

// scheduleRetry holds a request for its backoff and, if the endpoint list is polled, for a fresh list. It
// answers a request that must not be retried.
func (b *Balancer) scheduleRetry(request *requestRecord) {
	wait := retryBackoffBase << (request.attempts - 1)
	if !b.attemptAllowed(request, b.now+wait) {
		b.answer(request, b.stopReason(request, b.now+wait))
		return
	}
	if b.settings.PollList && b.now >= b.listPoll.answeredAt+listFreshness {
		// After the loss of a zone every retry needs the list: all share one poll, and
		// continue with the old list if it is not answered in time.
		request.listDeadline = b.now + listTimeout
		b.listPoll.waiting = append(b.listPoll.waiting, request)
		b.pollList()
	}
	b.holdRequest(request, wait, ReasonBackoff, nil)
}

// attemptAllowed reports whether the request may be sent at a time: it has attempts and time left, and is
// safe to repeat if an earlier attempt may have been executed.
func (b *Balancer) attemptAllowed(request *requestRecord, at time.Duration) bool {
	return request.attempts < request.settings.MaxAttempts && at < request.deadline &&
		(!request.mayHaveRun || request.class.Semantics == Idempotent || at < request.deduplicatedUntil())
}

// deduplicatedUntil returns the time until which endpoints within the deduplication scope drop a repeat of
// the request; 0 if it is not deduplicated or cannot have been executed. The embedder checks it again when it
// sends the attempt, as connecting takes time.
func (r *requestRecord) deduplicatedUntil() time.Duration {
	if !r.mayHaveRun || r.class.Semantics != Deduplicated {
		return 0
	}
	return max(1, r.mayHaveRunSince+r.class.DeduplicationWindow-deliveryAllowance)
}

// withinScope reports whether the request's next attempt may go to the endpoint. A request that may have
// been executed is repeated within its deduplication scope only.
func (r *requestRecord) withinScope(endpoint *endpointRecord) bool {
	if !r.mayHaveRun || r.class.Semantics == Idempotent || r.class.DeduplicationScope == ScopeAll {
		return true
	}
	return endpoint.Zone == r.runZone &&
		(r.class.DeduplicationScope == ScopeZone || endpoint.Cell == r.runCell)
}

// repeatableAnywhere reports whether a client may safely repeat a request of the class on any endpoint, even
// if it was executed.
func (c *Class) repeatableAnywhere() bool {
	return c.Semantics == Idempotent || c.Semantics == Deduplicated && c.DeduplicationScope == ScopeAll
}
