package balancer

import (
	"cmp"
	"time"
)

const (
	// defaultSetupTime is the setup time assumed when none was measured recently.
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

// attemptTimeout returns the timeout of the attempt about to be sent. If another attempt may follow a
// timeout, half of the time left is reserved for it, but this one gets at least ConnectTimeout plus
// holdInterval. It gets all the time left if a setup takes at least half of it: a retry would have less time
// and add load.
func (b *Balancer) attemptTimeout(request *requestRecord) time.Duration {
	timeLeft := request.deadline - b.now
	if request.attempts >= request.settings.MaxAttempts || b.sharedCauseActive() ||
		request.class.Semantics == AtMostOnce ||
		timeLeft/2 <= cmp.Or(b.setupTime.current(b.now), defaultSetupTime) {
		return timeLeft
	}
	return max(timeLeft/2, min(timeLeft, b.settings.ConnectTimeout+holdInterval))
}

// handleEstablished handles the establishment of an attempt's connection.
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
	b.migrateDraining(endpoint) // it may have started draining while it had no connections
}

// establish marks a request as established, records its connection and caches its route.
func (b *Balancer) establish(request *requestRecord) {
	request.established = true
	if request.endpoint != nil {
		b.routes.put(request.routeKey(), request.endpoint.ID, b.now+routeLifetime)
		b.endpoints.recordConnection(request)
	}
}

// handleOutcome handles the end of an attempt or of an established connection.
func (b *Balancer) handleOutcome(event Outcome) {
	request := b.requests[event.Request]
	if request == nil || request.endpoint == nil && !event.Final && !request.established {
		return
	}
	switch endpoint := request.endpoint; event.Status {
	case StatusOK, StatusCancelled, StatusNotSent:
	case StatusRedirected:
		// The endpoint is draining, but the list may not say so yet. Avoid it, so that
		// clients are not sent back to it and redirected again.
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

// recordFailure invalidates the route of a request whose attempt or connection has failed and cuts the
// endpoint's weight, unless many endpoints fail from a shared cause.
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
	if status == StatusFull { // it rejects excess load: hold requests as for a slow endpoint
		endpoint.lastSlowAt, endpoint.delayAt = b.now, b.now
		b.trackOutlier(endpoint)
	}
}
