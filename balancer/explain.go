package balancer

import (
	"math"
	"slices"
	"time"
)

// decisionRecorder is what a Balancer needs to tell an observer of its decisions. Its room is used again,
// so that observing allocates nothing.
type decisionRecorder struct {
	notify   func(RequestID, *Decision) // nil: nobody observes
	decision Decision
	buffer   [MaxConsidered]ConsideredEndpoint
	ranked   [MaxConsidered]rankedEndpoint
}

// rankedEndpoint is an endpoint that a request could be sent to, or could but for its exclusions.
type rankedEndpoint struct {
	endpoint *endpointRecord
	weight   float64 // in the draw; 0 if it is not ready
	cost     float64 // in the draw, where the least is chosen; chosenCost or cachedCost of those two
}

// The costs that put the chosen endpoint first, and next the one whose cached route was passed over.
var chosenCost, cachedCost = math.Inf(-1), -math.MaxFloat64

// Observe makes the Balancer call a function with every decision from now on. The function is called
// within Handle. It must not block, call the Balancer or keep the decision, which is used again.
func (b *Balancer) Observe(notify func(RequestID, *Decision)) { b.recorder.notify = notify }

// observeDecision tells the observer, if there is one, what was decided for a request. endpoint is the one
// that the request is sent to, is established at, or waits for, if any. It leaves the state that decisions
// go by as it was.
func (b *Balancer) observeDecision(
	verdict Verdict, reason Reason, request *requestRecord, endpoint *endpointRecord, wait time.Duration,
) {
	recorder := &b.recorder
	if recorder.notify == nil {
		return
	}
	saved := b.endpoints.derivedState
	recorder.decision = Decision{
		At:         b.now,
		Verdict:    verdict,
		Reason:     reason,
		Attempt:    request.attempts,
		Wait:       wait,
		TimeLeft:   max(0, request.deadline-b.now),
		ListAge:    -1,
		Considered: recorder.buffer[:0],
		Preferred:  -1,
	}
	if endpoint != nil && (verdict == VerdictSent || verdict == VerdictMigrated) {
		recorder.decision.Endpoint = endpoint.ID
	}
	b.fillConsidered(request, endpoint)
	b.endpoints.derivedState = saved
	recorder.notify(request.ID, &recorder.decision)
}

// fillConsidered fills in what is known of the chosen endpoint and of those that came nearest.
func (b *Balancer) fillConsidered(request *requestRecord, chosen *endpointRecord) {
	recorder := &b.recorder
	decision := &recorder.decision
	b.endpoints.eventTotalsValid = false
	totals := b.totals()
	meanLoad := totals.meanLoad()
	if totals.size > 0 {
		decision.SlowShare = totals.slowSize / totals.size
	}
	cached, passedOver := b.routes.get(request.routeKey(), b.now)
	passedOver = passedOver && decision.Reason >= ReasonRouteGone && decision.Reason <= ReasonRouteWarmingUp
	totalWeight, found := 0.0, 0
	for _, endpoint := range b.endpoints.sorted {
		ranked := b.rank(request, endpoint, meanLoad)
		totalWeight += ranked.weight
		switch {
		case endpoint == chosen:
			ranked.cost = chosenCost
		case passedOver && endpoint.ID == cached:
			ranked.cost = cachedCost
		case endpoint.State != StateReady || decision.Verdict == VerdictMigrated:
			continue
		}
		found = recorder.insertRanked(ranked, found)
	}
	for _, ranked := range recorder.ranked[:found] {
		decision.Considered = append(decision.Considered, b.describe(request, ranked, totalWeight))
	}
	b.setPreferred(request, chosen, meanLoad, passedOver)
}

// rank works out an endpoint's weight and cost in the draw. Without a route key the cost is chance; it is
// then taken at its mean, as drawing again would change later draws.
func (b *Balancer) rank(request *requestRecord, endpoint *endpointRecord, meanLoad float64) rankedEndpoint {
	ranked := rankedEndpoint{endpoint: endpoint, cost: math.Inf(1)}
	if endpoint.State != StateReady {
		return ranked
	}
	b.recorder.decision.ReadyEndpoints++
	ranked.weight = b.drawWeight(endpoint, meanLoad)
	ranked.cost = 1 / ranked.weight
	if routeKey := request.routeKey(); routeKey != 0 {
		ranked.cost = b.exponentialVariate(routeKey, endpoint) / ranked.weight
	}
	return ranked
}

// insertRanked inserts an endpoint into the found nearest ones, by cost, and returns their new number.
func (r *decisionRecorder) insertRanked(ranked rankedEndpoint, found int) int {
	if found < MaxConsidered {
		found++
	} else if ranked.cost >= r.ranked[found-1].cost {
		return found
	}
	position := found - 1
	for ; position > 0 && r.ranked[position-1].cost > ranked.cost; position-- {
		r.ranked[position] = r.ranked[position-1]
	}
	r.ranked[position] = ranked
	return found
}

// describe returns what is known of an endpoint. totalWeight is the sum of all weights in the draw.
func (b *Balancer) describe(
	request *requestRecord, ranked rankedEndpoint, totalWeight float64,
) ConsideredEndpoint {
	endpoint := ranked.endpoint
	considered := ConsideredEndpoint{
		Endpoint:   endpoint.ID,
		State:      endpoint.State,
		Exclusions: b.exclusions(request, endpoint),
		Weight:     endpoint.currentWeight(b.now),
		Warmth:     b.warmth(endpoint),
		Load:       endpoint.demand(),
		Delay:      endpoint.delay,
		DelayAge:   -1,
	}
	if endpoint.delayAt > 0 {
		considered.DelayAge = b.now - endpoint.delayAt
	}
	if totalWeight > 0 {
		considered.Probability = ranked.weight / totalWeight
	}
	return considered
}

// setPreferred names the endpoint that would have been chosen but for its exclusions: the cached one where
// that was passed over; else, where there is a route key and so no chance in the draw, the nearest that is
// excluded and nearer than the chosen one, if any.
func (b *Balancer) setPreferred(
	request *requestRecord, chosen *endpointRecord, meanLoad float64, passedOver bool,
) {
	decision := &b.recorder.decision
	switch {
	case decision.Verdict == VerdictMigrated || decision.Reason == ReasonCachedRoute ||
		decision.Reason == ReasonWindowFull || decision.Reason == ReasonBackoff:
		return
	case request.routeKey() == 0 && chosen != nil: // its draw is not to be made again
		return
	}
	least := math.Inf(1)
	if chosen != nil && chosen.State == StateReady {
		least = b.exponentialVariate(request.routeKey(), chosen) / b.drawWeight(chosen, meanLoad)
	}
	for i, considered := range decision.Considered {
		ranked := b.recorder.ranked[i]
		excluded := considered.Exclusions&^ExcludedAtCapacity != 0 || passedOver && ranked.cost == cachedCost
		if ranked.endpoint != chosen && excluded && ranked.cost < least {
			decision.Preferred = i
			return
		}
	}
}

// exclusions returns what keeps an endpoint from being sent a request.
func (b *Balancer) exclusions(request *requestRecord, endpoint *endpointRecord) (excluded Exclusions) {
	exclude := func(exclusion Exclusions, applies bool) {
		if applies {
			excluded |= exclusion
		}
	}
	exclude(ExcludedDraining, endpoint.State != StateReady || endpoint.isRedirecting(b.now))
	exclude(ExcludedTried, slices.Contains(request.triedEndpoints, endpoint.ID))
	exclude(ExcludedScope, !request.withinScope(endpoint))
	exclude(ExcludedWarmingUp, endpoint.State == StateReady && !b.slowStartAllows(request, endpoint))
	exclude(ExcludedSlow, endpoint.isSlow(b.now))
	exclude(ExcludedRecovering, !endpoint.isSlow(b.now) && b.mustHold(endpoint))
	exclude(ExcludedAtCapacity, b.headroom(endpoint) <= fullHeadroom)
	return excluded
}

// cachedRouteReason returns why a request is not sent to the endpoint cached for its group, which is nil
// if it is no longer known. It works that out only for an observer.
func (b *Balancer) cachedRouteReason(request *requestRecord, endpoint *endpointRecord) Reason {
	if b.recorder.notify == nil {
		return ReasonWeightedDraw
	}
	saved := b.endpoints.derivedState
	defer func() { b.endpoints.derivedState = saved }()
	if endpoint == nil {
		return ReasonRouteGone
	}
	b.endpoints.eventTotalsValid = false
	switch excluded := b.exclusions(request, endpoint); {
	case excluded&(ExcludedDraining|ExcludedTried|ExcludedScope) != 0:
		return ReasonRouteGone
	case excluded&ExcludedSlow != 0:
		return ReasonRouteSlow
	case excluded&ExcludedRecovering != 0:
		return ReasonRouteRecovering
	case excluded&ExcludedWarmingUp != 0:
		return ReasonRouteWarmingUp
	}
	return ReasonRouteAtCapacity
}

// drawReason is the reason of a draw before which no cached route was passed over.
func (r *requestRecord) drawReason() Reason {
	if r.attempts > 0 {
		return ReasonRedrawn
	}
	return ReasonWeightedDraw
}

// holdReason returns why a request that fell on an endpoint, if on any, is held.
func (b *Balancer) holdReason(endpoint *endpointRecord) Reason {
	switch {
	case endpoint == nil:
		return ReasonNoneEligible
	case endpoint.isSlow(b.now):
		return ReasonEndpointSlow
	}
	return ReasonEndpointRecovering
}

// stopReason returns why no further attempt is allowed at a time.
func (b *Balancer) stopReason(request *requestRecord, at time.Duration) Reason {
	switch {
	case request.attempts >= request.settings.MaxAttempts:
		return ReasonAttemptsExhausted
	case at >= request.deadline:
		return ReasonDeadlineExceeded
	}
	return ReasonNotRepeatable
}
