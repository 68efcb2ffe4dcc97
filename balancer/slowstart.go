package balancer

import "time"

const (
	// setupRateTimeConstant is that of the rate of connections which warm endpoints take.
	setupRateTimeConstant = 10 * time.Second

	// overloadSafetyFactor is the share used of what would overload an endpoint that is warming up.
	// Higher fills restarted endpoints sooner, and risks that they fall over.
	overloadSafetyFactor = 0.6

	// minWarmSetups is how many set-ups per overload window and size warm endpoints are taken to bear,
	// where there are many relays and each sees too few to tell.
	minWarmSetups = 6.0

	// minArrivals is how many requests per overload window a relay is taken to have at least, lest a
	// burst of requests all goes to the endpoints that are warming up.
	minArrivals = 0.4

	// arrivalRateTimeConstant is that of the rate of this relay's own requests.
	arrivalRateTimeConstant = 30 * time.Second
)

// warmth is the share of its capacity that an endpoint has at least: it rises from InitialCapacity to 1
// within SlowStartDuration of its start.
func (b *Balancer) warmth(endpoint *endpointRecord) float64 {
	if endpoint.StartedAt == 0 || b.now >= endpoint.StartedAt+b.settings.SlowStartDuration {
		return 1
	}
	age := float64(max(0, b.now-endpoint.StartedAt)) / float64(b.settings.SlowStartDuration)
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*age
}

// slowStartAllows reports whether an endpoint may be sent the request, as far as its start is concerned.
// Within the time in which an endpoint that is warming up could fall over, it gets from all relays
// together a share of the new connections which warm endpoints of its size bear, less by its warmth. Of
// many relays each sends a share of its requests: where requests are few, slots by time go unused.
func (b *Balancer) slowStartAllows(request *requestRecord, endpoint *endpointRecord) bool {
	if b.warmth(endpoint) >= 1 {
		return true
	}
	budget, window := b.slowStartBudget(endpoint), b.settings.OverloadWindow
	if !b.manyRelays() || budget >= 1 {
		return b.hasSlot(endpoint, budget)
	}
	if !b.attemptIntervalElapsed(endpoint, budget) {
		return false
	}
	arrivals := max(minArrivals, b.arrivalRate.countWithin(b.now, window))
	return uniform(b.salt+uint64(request.ID)+uint64(b.now/window), endpoint.ID) < budget/arrivals
}

// slowStartBudget is how many set-ups this process may send an endpoint that is warming up in an overload
// window. Many relays see too little to tell what warm endpoints bear, and go by a minimum.
func (b *Balancer) slowStartBudget(endpoint *endpointRecord) float64 {
	if warmSize := b.totals().warmSize; warmSize > 0 {
		recent := b.endpoints.recentSetups.valueAt(b.now)
		b.endpoints.setupsPerSize = recent / setupRateTimeConstant.Seconds() / warmSize
	}
	minimum := 1 / float64(b.settings.Relays)
	if b.manyRelays() {
		minimum *= endpoint.relativeSize() * minWarmSetups
	}
	setups := b.endpoints.setupsPerSize * endpoint.relativeSize() * b.settings.OverloadWindow.Seconds() *
		b.settings.OverloadMultiple * overloadSafetyFactor
	return b.slowStartShare * b.warmth(endpoint) * max(minimum, setups)
}

// slowStartCandidate returns an endpoint that is warming up and has a slot for this relay now, if there
// is one. It guards against restarted endpoints that stay empty behind many relays: where the relay's
// budget is below one set-up, a slot left to the draw's weights is mostly lost.
func (b *Balancer) slowStartCandidate(request *requestRecord) (best *endpointRecord) {
	if !b.manyRelays() {
		return nil
	}
	for endpoint := range b.endpoints.warmingUp(b.now, b.settings.SlowStartDuration) {
		if b.slowStartBudget(endpoint) < 1 && b.eligible(request, endpoint) && !endpoint.isSlow(b.now) &&
			(best == nil || uniform(b.salt, endpoint.ID) < uniform(b.salt, best.ID)) {
			best = endpoint
		}
	}
	return best
}

// hasSlot reports whether this relay may send the endpoint a set-up now. Relays that know nothing of each
// other share an endpoint by it. setups is how many this one may send in an overload window; where it is
// below 1, the relay has a slot in that share of the windows, by chance.
func (b *Balancer) hasSlot(endpoint *endpointRecord, setups float64) bool {
	return b.attemptIntervalElapsed(endpoint, setups) &&
		uniform(b.salt+uint64(b.now/b.settings.OverloadWindow), endpoint.ID) < setups
}

// attemptIntervalElapsed reports whether the last attempt at the endpoint, and its start, are so long ago
// that no more than setups attempts fall into an overload window.
func (b *Balancer) attemptIntervalElapsed(endpoint *endpointRecord, setups float64) bool {
	since := max(endpoint.lastAttemptAt, endpoint.StartedAt)
	return float64(b.now-since) >= float64(b.settings.OverloadWindow)/max(1, setups)
}

// countArrival counts a request that an endpoint is drawn for: once in an overload window, as it gets one
// chance in that at each endpoint which is warming up.
func (b *Balancer) countArrival(request *requestRecord) {
	if span := 1 + b.now/b.settings.OverloadWindow; request.arrivalWindow != span {
		request.arrivalWindow = span
		b.arrivalRate.increment(b.now)
	}
}
