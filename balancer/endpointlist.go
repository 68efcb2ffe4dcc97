package balancer

import "time"

const (
	// listTimeout is how long retries wait for a list that was asked for. After it the call may be
	// repeated.
	listTimeout = time.Second

	// listFreshness is the age up to which a list is fresh enough for a retry. The first wait after a
	// failed call is as long; it doubles with each further failure.
	listFreshness = 500 * time.Millisecond

	// maxListBackoffDoublings bounds that wait.
	maxListBackoffDoublings = 8
)

// listPoller keeps the endpoint list up to date where it comes only when asked for.
type listPoller struct {
	requested   bool // a call is in flight, since requestedAt
	requestedAt time.Duration
	answeredAt  time.Duration    // of the last answer
	failures    uint             // calls that failed since then
	waiting     []*requestRecord // retries that want a fresh list
}

// pollList asks for the list and its changes, unless a call is in flight. A timer guards against an answer
// that is lost, and against asking less often than the settings demand.
func (b *Balancer) pollList() {
	poll := &b.listPoll
	if b.settings.PollList && (!poll.requested || b.now >= poll.requestedAt+listTimeout) {
		poll.requested, poll.requestedAt = true, b.now
		b.emit(WatchEndpoints{})
		b.setRequestTimer(nil, max(b.settings.PollInterval/2, listTimeout))
	}
}

// handleList handles an update of the endpoint list or a failed call for it, and advances the retries that
// waited for it.
func (b *Balancer) handleList(event EndpointList) {
	poll := &b.listPoll
	poll.requested = false
	switch event.Kind {
	case ListFailed:
		backoff := listFreshness << min(poll.failures, maxListBackoffDoublings)
		b.setRequestTimer(nil, min(backoff, b.settings.PollInterval/2))
		poll.failures++
	case ListCached:
		b.endpoints.replaceAll(event.Endpoints)
		b.pollList() // it may be stale
	case ListFull:
		b.endpoints.replaceAll(event.Endpoints)
		poll.failures, poll.answeredAt = 0, b.now
	case ListDelta:
		poll.failures, poll.answeredAt = 0, b.now
	}
	for _, listed := range event.Endpoints {
		b.updateEndpoint(listed)
	}
	waiting := poll.waiting
	poll.waiting = nil
	for _, request := range waiting {
		request.listDeadline = 0
		if request.waiting && !request.done && b.now >= request.notBefore {
			b.advance(request)
		}
	}
}

// updateEndpoint takes in one line of the list. An endpoint that has restarted gets its initial weight.
func (b *Balancer) updateEndpoint(listed Endpoint) {
	endpoint := b.endpoints.find(listed.ID)
	switch {
	case endpoint == nil && listed.State == StateGone:
	case endpoint == nil:
		endpoint = &endpointRecord{Endpoint: listed, weight: initialWeight, weightSetAt: b.now}
		b.endpoints.insert(endpoint, b.now)
	default:
		if listed.StartedAt > endpoint.StartedAt {
			endpoint.weight, endpoint.weightSetAt = initialWeight, b.now
			endpoint.lastSlowAt, endpoint.redirectedAt = 0, 0
		}
		endpoint.Endpoint, b.endpoints.totalsValid = listed, false
		if !endpoint.migrating {
			endpoint.drainingSince = b.now
			b.migrateDraining(endpoint)
		}
	}
}
