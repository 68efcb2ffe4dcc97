package balancer

import "time"

const (
	// retryBackoffBase is the wait before a request's second attempt. It doubles for each further one,
	// so that retries thin out while the cause of the failure lasts.
	retryBackoffBase = 100 * time.Millisecond

	// maxBackoffDoublings bounds the backoff that the retry-after of a rejection goes by.
	maxBackoffDoublings = 8

	// deliveryAllowance is the time that an attempt may take to arrive. A repeat which relies on the
	// endpoint's deduplication leaves that much earlier than the deduplication ends.
	deliveryAllowance = 50 * time.Millisecond
)

// scheduleRetry holds a request for its backoff and, where lists are polled, for a fresh list; it
// answers a request that may not be retried.
func (b *Balancer) scheduleRetry(request *requestRecord) {
	wait := retryBackoffBase << (request.attempts - 1)
	if !b.attemptAllowed(request, b.now+wait) {
		b.answer(request, b.stopReason(request, b.now+wait))
		return
	}
	if b.settings.PollList && b.now >= b.listPoll.answeredAt+listFreshness {
		// After a zone is lost every retry wants the list: they share one call, and
		// go on with the list that they have if it isn't answered.
		request.listDeadline = b.now + listTimeout
		b.listPoll.waiting = append(b.listPoll.waiting, request)
		b.pollList()
	}
	b.holdRequest(request, wait, ReasonBackoff, nil)
}

// attemptAllowed reports whether the request may have another attempt at a time: it has attempts and
// time left, and if it may have run, a repeat is harmless.
func (b *Balancer) attemptAllowed(request *requestRecord, at time.Duration) bool {
	return request.attempts < request.settings.MaxAttempts && at < request.deadline &&
		(!request.mayHaveRun || request.class.Semantics == Idempotent || at < request.deduplicatedUntil())
}

// deduplicatedUntil is the time until which a repeat of what may have run may leave, because endpoints
// within the request's scope still drop it; 0 where none does. The embedder looks at it again when it
// sends the repeat: a connection may come up late.
func (r *requestRecord) deduplicatedUntil() time.Duration {
	if !r.mayHaveRun || r.class.Semantics != Deduplicated {
		return 0
	}
	return max(1, r.mayHaveRunSince+r.class.DeduplicationWindow-deliveryAllowance)
}

// withinScope reports whether the request's next attempt may go to the endpoint: a repeat of what may
// have run stays among the endpoints that drop each other's repeats.
func (r *requestRecord) withinScope(endpoint *endpointRecord) bool {
	if !r.mayHaveRun || r.class.Semantics == Idempotent || r.class.DeduplicationScope == ScopeAll {
		return true
	}
	return endpoint.Zone == r.runZone && (r.class.DeduplicationScope == ScopeZone || endpoint.Cell == r.runCell)
}

// repeatableAnywhere reports whether a client may repeat a request of the class at any endpoint, even
// if it has run.
func (c *Class) repeatableAnywhere() bool {
	return c.Semantics == Idempotent || c.Semantics == Deduplicated && c.DeduplicationScope == ScopeAll
}
