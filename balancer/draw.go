package balancer

import "math"

// drawEndpoint draws an eligible endpoint at random by weight; nil if there is none. Each endpoint gets an
// exponential variate divided by its weight as cost: the probability of having the least cost is
// proportional to the weight.
//
// The draw skips slow endpoints while few are slow, as others are free. It includes them while many are
// slow and the request is held if one is drawn: otherwise all requests would move on and slow down the
// remaining endpoints.
func (b *Balancer) drawEndpoint(request *requestRecord) *endpointRecord {
	totals := b.totals()
	loadPerSize := totals.loadPerSize()
	skipSlow := totals.slowSize < slowAvoidanceShare*totals.size
	skipRecovering := totals.slowSize < recoveryAvoidanceShare*totals.size
	b.countArrival(request)
	if endpoint := b.slowStartCandidate(request); endpoint != nil {
		return endpoint
	}
	var best *endpointRecord
	least := math.Inf(1)
	filter := b.prepareFilter(request.routeKey(), loadPerSize)
	for endpoint := range filter.candidateEndpoints {
		if !b.eligible(request, endpoint) || skipSlow && endpoint.isSlow(b.now) ||
			skipRecovering && b.mustHold(endpoint) {
			continue
		}
		weight := b.drawWeight(endpoint, loadPerSize)
		if cost := b.exponentialVariate(request.routeKey(), endpoint) / weight; cost < least {
			best, least = endpoint, cost
			filter.raiseFloor(cost)
		}
	}
	return best
}

// exponentialVariate returns a variate of the exponential distribution with rate 1. With a route key it is
// computed from a hash of the key and the endpoint, so that relays which share no state draw the same
// endpoint for a group. Otherwise several endpoints would each bear the cost of that group.
func (b *Balancer) exponentialVariate(routeKey uint64, endpoint *endpointRecord) float64 {
	if routeKey == 0 {
		return b.rng.ExpFloat64()
	}
	return -math.Log(uniform(routeKey, endpoint.ID))
}
