package balancer

import (
	"slices"
	"time"
)

// holdInterval is how long a request is held when no endpoint can take it now. A shorter interval costs
// more draws while requests are held, a longer one leaves a free endpoint idle.
const holdInterval = 100 * time.Millisecond

// handleRequest admits a request. A timer answers it shortly before its client's deadline, whatever it is
// waiting for.
func (b *Balancer) handleRequest(event Request) {
	request := b.addRequest(event)
	timeLeft := max(0, event.TimeLeft-2*b.settings.ClockResolution)
	request.deadline = b.now + timeLeft
	b.setRequestTimer(request, timeLeft)
	b.advance(request)
}

// handleResumed admits a connection that was established before the Balancer started.
func (b *Balancer) handleResumed(event Resumed) {
	request := b.addRequest(event.Request)
	request.endpoint, request.attempts = b.endpoints.find(event.Endpoint), 1
	b.establish(request)
	b.migrateDraining(request.endpoint)
}

// advance sends the next attempt of a request that has none in flight, or queues, holds or answers the
// request.
func (b *Balancer) advance(request *requestRecord) {
	request.held = false
	if !b.attemptAllowed(request, b.now) {
		b.answer(request, b.stopReason(request, b.now))
		return
	}
	if b.concurrency.full() {
		b.observeDecision(VerdictHeld, ReasonWindowFull, request, nil, 0)
		b.concurrency.queue = append(b.concurrency.queue, request)
		return
	}
	endpoint, reason := b.selectEndpoint(request)
	if endpoint == nil && !b.hasViableEndpoint(request) {
		b.answer(request, ReasonNoViableEndpoint)
		return
	}
	if endpoint == nil || b.mustHold(endpoint) {
		b.holdRequest(request, holdInterval, b.holdReason(endpoint), endpoint)
		return
	}
	b.sendAttempt(request, endpoint, reason)
}

// releaseQueued advances queued requests until the concurrency window is full.
func (b *Balancer) releaseQueued() {
	for window := &b.concurrency; len(window.queue) > 0 && !window.full(); {
		request := window.queue[0]
		window.queue = window.queue[1:]
		if !request.done {
			b.advance(request)
		}
	}
}

// hasViableEndpoint reports whether a ready endpoint within the request's deduplication scope is still
// untried. Without one, waiting is pointless and the request is answered at once.
func (b *Balancer) hasViableEndpoint(request *requestRecord) bool {
	return slices.ContainsFunc(b.endpoints.sorted, func(endpoint *endpointRecord) bool {
		return endpoint.State == StateReady && request.withinScope(endpoint) &&
			!slices.Contains(request.triedEndpoints, endpoint.ID)
	})
}

// holdRequest holds a request for a time. endpoint is the one that it waits for, or nil.
func (b *Balancer) holdRequest(
	request *requestRecord, wait time.Duration, reason Reason, endpoint *endpointRecord,
) {
	b.observeDecision(VerdictHeld, reason, request, endpoint, wait)
	request.held, request.notBefore = true, b.now+wait
	if request.notBefore < request.deadline {
		b.setRequestTimer(request, wait)
	}
}

// answer ends a request with its final answer: a rejection if the client may safely send the request
// again, a failure otherwise.
func (b *Balancer) answer(request *requestRecord, reason Reason) {
	mayHaveRun := request.mayHaveRun || request.endpoint != nil
	if !mayHaveRun || request.class.repeatableAnywhere() {
		wait := b.retryAfter(request)
		b.observeDecision(VerdictRejected, reason, request, request.endpoint, wait)
		b.emit(Reject{Request: request.ID, RetryAfter: wait})
	} else {
		b.observeDecision(VerdictFailed, reason, request, request.endpoint, 0)
		b.emit(Fail{Request: request.ID})
	}
	b.removeRequest(request)
}

// retryAfter returns how long a rejected client should wait before it retries: until the first ready
// endpoint is no longer slow, at least the backoff for the attempts made and at most MaxRetryAfter. It keeps
// clients from returning to endpoints that are still full.
func (b *Balancer) retryAfter(request *requestRecord) time.Duration {
	soonest := b.settings.MaxRetryAfter
	for _, endpoint := range b.endpoints.sorted {
		if endpoint.State == StateReady {
			wait := retryBackoffBase << min(request.attempts, maxBackoffDoublings)
			if endpoint.isSlow(b.now) {
				wait = max(wait, endpoint.delayAt+slowDuration-b.now)
			}
			soonest = min(soonest, wait)
		}
	}
	return soonest
}

// RetryAfter returns how long a client should wait before it retries if the relay itself rejected it, for
// example because of a connection limit.
func (b *Balancer) RetryAfter(now time.Duration) time.Duration {
	b.now = now
	return b.retryAfter(&requestRecord{})
}
