package balancer

import "time"

const (
	// listTimeout is how long retries wait for the answer to a poll. After it the poll may be repeated.
	listTimeout = time.Second

	// listFreshness is the maximum age of a list that is fresh enough for a retry. It is also the backoff
	// after the first failed poll, which doubles with each further failure.
	listFreshness = 500 * time.Millisecond

	// maxListBackoffDoublings limits the backoff after failed polls.
	maxListBackoffDoublings = 8
)

// listPoller is the state of polling for the endpoint list, if Settings.PollList is set.
type listPoller struct {
	requested   bool // a poll is in flight, sent at requestedAt
	requestedAt time.Duration
	answeredAt  time.Duration    // time of the last successful answer
	failures    uint             // number of failed polls since answeredAt
	waiting     []*requestRecord // retries that wait for a fresh list
}

// pollList polls for the list and its changes, unless a poll is in flight. A timer repeats the poll if its
// answer is lost, within the time that the settings require.
func (b *Balancer) pollList() {
	poll := &b.listPoll
	if b.settings.PollList && (!poll.requested || b.now >= poll.requestedAt+listTimeout) {
		poll.requested, poll.requestedAt = true, b.now
		b.emit(WatchEndpoints{})
		b.setRequestTimer(nil, max(b.settings.PollInterval/2, listTimeout))
	}
}

// handleList handles an update of the endpoint list or a failed poll, and advances the retries that waited
// for the list.
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
		b.pollList() // the cached list may be stale
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
		if request.held && !request.done && b.now >= request.notBefore {
			b.advance(request)
		}
	}
}

// updateEndpoint applies one entry of the list. An endpoint that has restarted gets the initial weight.
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
