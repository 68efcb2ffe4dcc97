package balancer

import (
	"cmp"
	"time"
)

const (
	// defaultSetupTime is the time that a set-up is taken to need where none was seen lately.
	defaultSetupTime = 4 * retryBackoffBase
)

// sendAttempt sends the request's next attempt to an endpoint.
func (b *Balancer) sendAttempt(request *requestRecord, endpoint *endpointRecord, reason Reason) {
	if !request.mayHaveRun {
		request.runZone, request.runCell, request.mayHaveRunSince = endpoint.Zone, endpoint.Cell, b.now
	}
	request.attempts++
	timeout := b.attemptTimeout(request)
	b.observeDecision(VerdictSent, reason, request, endpoint, timeout)
	request.endpoint, request.attemptSentAt = endpoint, b.now
	b.concurrency.inFlight++
	endpoint.lastAttemptAt = b.now
	b.emit(SendAttempt{
		Request: request.ID, Endpoint: endpoint.ID, Timeout: timeout, NotAfter: request.deduplicatedUntil(),
	})
}

// attemptTimeout is the time-out of the attempt that is about to be sent. While another may follow, it
// leaves time for that one. None follows where a time-out may not be repeated. Where set-ups take as
// long as half of the time left, a repeat would only begin anew with less time and on more load.
func (b *Balancer) attemptTimeout(request *requestRecord) time.Duration {
	timeLeft := request.deadline - b.now
	if request.attempts >= request.settings.MaxAttempts || b.sharedCauseActive() ||
		request.class.Semantics == AtMostOnce ||
		timeLeft/2 <= cmp.Or(b.setupTime.current(b.now), defaultSetupTime) {
		return timeLeft
	}
	return max(timeLeft/2, min(timeLeft, b.settings.ConnectTimeout+holdInterval))
}

// handleEstablished handles an attempt whose connection is established.
func (b *Balancer) handleEstablished(event Established) {
	request := b.requests[event.Request]
	if request == nil || request.endpoint == nil || request.established {
		return
	}
	endpoint := request.endpoint
	endpoint.establishedAt = b.now
	endpoint.raiseWeight(b.now)
	b.setupTime.observeEstablished(event.SetupTime, b.now)
	if !request.Returning && b.warmth(endpoint) >= 1 {
		b.endpoints.recentSetups.increment(b.now)
	}
	b.concurrency.inFlight--
	if event.SetupTime <= request.class.LatencyObjective {
		b.concurrency.raise()
	}
	b.establish(request)
	b.migrateDraining(endpoint) // it may have begun to drain while it had no connection to migrate
}

// establish books a connection that is established and caches its route.
func (b *Balancer) establish(request *requestRecord) {
	request.established = true
	if request.endpoint != nil {
		b.routes.put(request.routeKey(), request.endpoint.ID, b.now+routeLifetime)
		b.endpoints.recordConnection(request)
	}
}

// handleOutcome handles the end of an attempt, or of the connection that it became.
func (b *Balancer) handleOutcome(event Outcome) {
	request := b.requests[event.Request]
	if request == nil || request.endpoint == nil && !event.Final && !request.established {
		return
	}
	switch endpoint := request.endpoint; event.Status {
	case StatusOK, StatusCancelled, StatusNotSent:
	case StatusRedirected:
		// The endpoint knows before the list that it drains. This guards against placing
		// clients where they come from, to be redirected again, until the list is updated.
		if endpoint != nil {
			endpoint.redirectedAt = b.now
			b.routes.invalidate(request.routeKey(), endpoint.ID)
		}
	default:
		b.recordFailure(request, event.Status)
	}
	if request.established || event.Final {
		b.removeRequest(request)
		return
	}
	if event.Status == StatusTimeout {
		b.setupTime.observeTimeout(event.Endpoint, b.now-request.attemptSentAt, b.now)
	}
	request.mayHaveRun = request.mayHaveRun ||
		event.Status != StatusFull && event.Status != StatusConnectFailed && event.Status != StatusNotSent
	request.endpoint = nil
	b.concurrency.inFlight--
	b.scheduleRetry(request)
}

// recordFailure invalidates the route of a request whose attempt or connection has failed, and lowers
// the endpoint's weight, unless the failure has a cause that many endpoints share.
func (b *Balancer) recordFailure(request *requestRecord, status AttemptStatus) {
	endpoint := request.endpoint
	if endpoint == nil {
		return
	}
	mayBeShared := !request.established && (status == StatusError || status == StatusTimeout)
	if mayBeShared && b.detectSharedCause(endpoint) {
		return
	}
	b.routes.invalidate(request.routeKey(), endpoint.ID)
	request.triedEndpoints = append(request.triedEndpoints, endpoint.ID)
	endpoint.cutWeight(weightCutFactor, b.now)
	if status == StatusFull { // it rejects what it can't bear: requests are held as for a slow one
		endpoint.lastSlowAt, endpoint.delayAt = b.now, b.now
		b.trackOutlier(endpoint)
	}
}
