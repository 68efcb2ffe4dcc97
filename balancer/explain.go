package balancer

import (
	"math"
	"slices"
	"time"
)

// decisionRecorder builds the decisions that are reported to an observer. It reuses its buffers, so that
// observing does not allocate.
type decisionRecorder struct {
	notify   func(RequestID, *Decision) // nil: no observer
	decision Decision
	buffer   [MaxConsidered]ConsideredEndpoint
	ranked   [MaxConsidered]rankedEndpoint
}

// rankedEndpoint is an endpoint with its rank among the candidates for a request, whether excluded or not.
type rankedEndpoint struct {
	endpoint *endpointRecord
	weight   float64 // draw weight; 0 if it is not ready
	cost     float64 // in the draw, where the least cost wins, or chosenCost or cachedCost
}

// Costs that rank the chosen endpoint first and the endpoint of an unused cached route second.
var chosenCost, cachedCost = math.Inf(-1), -math.MaxFloat64

// Observe sets the function that is called with every decision. It is called during Handle and must not
// block, call the Balancer or retain the decision, which is reused.
func (b *Balancer) Observe(notify func(RequestID, *Decision)) { b.recorder.notify = notify }

// observeDecision reports a decision on a request to the observer, if there is one. endpoint is the one that
// the request is sent to, is established at or waits for, or nil. It does not change the state that
// decisions depend on.
func (b *Balancer) observeDecision(
	verdict Verdict, reason Reason, request *requestRecord, endpoint *endpointRecord, wait time.Duration,
) {
	recorder := &b.recorder
	if recorder.notify == nil {
		return
	}
	saved := b.endpoints.derivedState
	recorder.decision = Decision{
		At:             b.now,
		Verdict:        verdict,
		Reason:         reason,
		Attempt:        request.attempts,
		Wait:           wait,
		TimeLeft:       max(0, request.deadline-b.now),
		ListAge:        -1,
		Considered:     recorder.buffer[:0],
		PreferredIndex: -1,
	}
	if endpoint != nil && (verdict == VerdictSent || verdict == VerdictMigrated) {
		recorder.decision.Endpoint = endpoint.ID
	}
	b.fillConsidered(request, endpoint)
	b.endpoints.derivedState = saved
	recorder.notify(request.ID, &recorder.decision)
}

// fillConsidered adds the chosen endpoint and the best alternatives to the decision.
func (b *Balancer) fillConsidered(request *requestRecord, chosen *endpointRecord) {
	recorder := &b.recorder
	decision := &recorder.decision
	b.endpoints.eventTotalsValid = false
	totals := b.totals()
	loadPerSize := totals.loadPerSize()
	if totals.size > 0 {
		decision.SlowShare = totals.slowSize / totals.size
	}
	cached, routeUnused := b.routes.get(request.routeKey(), b.now)
	routeUnused = routeUnused && decision.Reason >= ReasonRouteGone && decision.Reason <= ReasonRouteWarmingUp
	totalWeight, count := 0.0, 0
	for _, endpoint := range b.endpoints.sorted {
		ranked := b.rank(request, endpoint, loadPerSize)
		totalWeight += ranked.weight
		switch {
		case endpoint == chosen:
			ranked.cost = chosenCost
		case routeUnused && endpoint.ID == cached:
			ranked.cost = cachedCost
		case endpoint.State != StateReady || decision.Verdict == VerdictMigrated:
			continue
		}
		count = recorder.insertRanked(ranked, count)
	}
	for _, ranked := range recorder.ranked[:count] {
		decision.Considered = append(decision.Considered, b.describe(request, ranked, totalWeight))
	}
	b.setPreferred(request, chosen, loadPerSize, routeUnused)
}

// rank computes an endpoint's weight and cost in the draw. Without a route key the cost is random; rank then
// uses its mean, as another random draw would change later decisions.
func (b *Balancer) rank(
	request *requestRecord, endpoint *endpointRecord, loadPerSize float64,
) rankedEndpoint {
	ranked := rankedEndpoint{endpoint: endpoint, cost: math.Inf(1)}
	if endpoint.State != StateReady {
		return ranked
	}
	b.recorder.decision.ReadyEndpoints++
	ranked.weight = b.drawWeight(endpoint, loadPerSize)
	ranked.cost = 1 / ranked.weight
	if routeKey := request.routeKey(); routeKey != 0 {
		ranked.cost = b.exponentialVariate(routeKey, endpoint) / ranked.weight
	}
	return ranked
}

// insertRanked inserts an endpoint into ranked, which holds count entries in order of cost, and returns the
// new count. If ranked is full, the entry with the highest cost is dropped.
func (r *decisionRecorder) insertRanked(ranked rankedEndpoint, count int) int {
	if count < MaxConsidered {
		count++
	} else if ranked.cost >= r.ranked[count-1].cost {
		return count
	}
	position := count - 1
	for ; position > 0 && r.ranked[position-1].cost > ranked.cost; position-- {
		r.ranked[position] = r.ranked[position-1]
	}
	r.ranked[position] = ranked
	return count
}

// describe returns the state of an endpoint for a decision. totalWeight is the sum of all draw weights.
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

// setPreferred sets the index of the endpoint that would have been chosen but for its exclusions: the cached
// one if its route was not used, else the excluded endpoint with the least cost, if below that of the chosen
// one. Without a route key, costs are random and those of the draw are no longer known.
func (b *Balancer) setPreferred(
	request *requestRecord, chosen *endpointRecord, loadPerSize float64, routeUnused bool,
) {
	decision := &b.recorder.decision
	switch {
	case decision.Verdict == VerdictMigrated || decision.Reason == ReasonCachedRoute ||
		decision.Reason == ReasonWindowFull || decision.Reason == ReasonBackoff:
		return
	case request.routeKey() == 0 && chosen != nil: // its random draw cannot be repeated
		return
	}
	least := math.Inf(1)
	if chosen != nil && chosen.State == StateReady {
		least = b.exponentialVariate(request.routeKey(), chosen) / b.drawWeight(chosen, loadPerSize)
	}
	for i, considered := range decision.Considered {
		ranked := b.recorder.ranked[i]
		excluded := considered.Exclusions&^ExcludedAtCapacity != 0 || routeUnused && ranked.cost == cachedCost
		if ranked.endpoint != chosen && excluded && ranked.cost < least {
			decision.PreferredIndex = i
			return
		}
	}
}

// exclusions returns the reasons why an endpoint does not get a request.
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
	exclude(ExcludedAtCapacity, b.headroom(endpoint) <= atCapacityHeadroom)
	return excluded
}

// cachedRouteReason returns why a request is not sent to the endpoint cached for its group, which is nil if
// it is no longer known. Without an observer it skips the computation and returns ReasonWeightedDraw.
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

// drawReason returns the reason for a draw that does not replace a cached route.
func (r *requestRecord) drawReason() Reason {
	if r.attempts > 0 {
		return ReasonRedrawn
	}
	return ReasonWeightedDraw
}

// holdReason returns why a request is held. endpoint is the one selected for it, or nil.
func (b *Balancer) holdReason(endpoint *endpointRecord) Reason {
	switch {
	case endpoint == nil:
		return ReasonNoneEligible
	case endpoint.isSlow(b.now):
		return ReasonEndpointSlow
	}
	return ReasonEndpointRecovering
}

// stopReason returns why another attempt is not allowed at a time.
func (b *Balancer) stopReason(request *requestRecord, at time.Duration) Reason {
	switch {
	case request.attempts >= request.settings.MaxAttempts:
		return ReasonAttemptsExhausted
	case at >= request.deadline:
		return ReasonDeadlineExceeded
	}
	return ReasonNotRepeatable
}
