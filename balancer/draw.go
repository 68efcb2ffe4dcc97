package balancer

import "math"

// drawEndpoint draws an endpoint at random by weight, or none where no endpoint may take the request. Of
// exponential variates, each at the rate of an endpoint's weight, the least falls on each endpoint in
// proportion to its weight.
//
// While few endpoints are slow the draw passes over them: waiting for one while others are free guards
// against nothing. It includes them where many are slow, as requests that all move on make the next
// endpoint slow.
func (b *Balancer) drawEndpoint(request *requestRecord) *endpointRecord {
	totals := b.totals()
	meanLoad := totals.meanLoad()
	passOverSlow := totals.slowSize < slowAvoidanceShare*totals.size
	passOverRecovering := totals.slowSize < recoveryAvoidanceShare*totals.size
	b.countArrival(request)
	if endpoint := b.slowStartCandidate(request); endpoint != nil {
		return endpoint
	}
	var best *endpointRecord
	least := math.Inf(1)
	filter := b.prepareFilter(request.routeKey(), meanLoad)
	for endpoint := range filter.candidateEndpoints {
		if !b.eligible(request, endpoint) || passOverSlow && endpoint.isSlow(b.now) ||
			passOverRecovering && b.mustHold(endpoint) {
			continue
		}
		weight := b.drawWeight(endpoint, meanLoad)
		if cost := b.exponentialVariate(request.routeKey(), endpoint) / weight; cost < least {
			best, least = endpoint, cost
			filter.raiseFloor(cost)
		}
	}
	return best
}

// exponentialVariate draws from the exponential distribution of rate 1. Where there is a route key, a
// hash of it is the source of randomness: relays that share nothing then draw alike, and a group isn't
// paid for by an endpoint for each relay.
func (b *Balancer) exponentialVariate(routeKey uint64, endpoint *endpointRecord) float64 {
	if routeKey == 0 {
		return b.rng.ExpFloat64()
	}
	return -math.Log(uniform(routeKey, endpoint.ID))
}
