package balancer

import "time"

const (
	// setupRateTimeConstant is the time constant of the setup rate at warm endpoints.
	setupRateTimeConstant = 10 * time.Second

	// overloadSafetyFactor is the share of the overload limit sent to an endpoint that is warming up. A
	// higher value fills restarted endpoints sooner, but risks overloading them.
	overloadSafetyFactor = 0.6

	// minWarmSetups is the number of setups per overload window and size that a warm endpoint is assumed
	// to handle if there are many relays, each of which sees too few to measure it.
	minWarmSetups = 6.0

	// minArrivals is the minimum number of requests per overload window assumed for a relay, so that a
	// burst of requests does not all go to endpoints that are warming up.
	minArrivals = 0.4

	// arrivalRateTimeConstant is the time constant of this relay's request rate.
	arrivalRateTimeConstant = 30 * time.Second
)

// warmth returns the assumed share of its capacity that an endpoint has: it rises linearly from
// InitialCapacity to 1 during SlowStartDuration after the endpoint's start.
func (b *Balancer) warmth(endpoint *endpointRecord) float64 {
	if endpoint.StartedAt == 0 || b.now >= endpoint.StartedAt+b.settings.SlowStartDuration {
		return 1
	}
	age := float64(max(0, b.now-endpoint.StartedAt)) / float64(b.settings.SlowStartDuration)
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*age
}

// slowStartAllows reports whether the slow start of an endpoint allows it to get the request. Per overload
// window, all relays together send an endpoint that is warming up a share of the setups that warm endpoints
// of its size get, scaled by its warmth. With many relays, each relay sends a random share of its requests,
// as time slots would go unused if it has few.
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

// slowStartBudget returns the number of setups that this process may send to an endpoint that is warming up
// per overload window. With many relays it has a higher minimum, as each sees too few setups to measure what
// warm endpoints handle.
func (b *Balancer) slowStartBudget(endpoint *endpointRecord) float64 {
	if warmSize := b.totals().warmSize; warmSize > 0 {
		recent := b.endpoints.recentSetups.valueAt(b.now)
		b.endpoints.setupsPerSize = recent / setupRateTimeConstant.Seconds() / warmSize
	}
	minimum := 1 / float64(b.settings.RelayCount)
	if b.manyRelays() {
		minimum *= endpoint.relativeSize() * minWarmSetups
	}
	setups := b.endpoints.setupsPerSize * endpoint.relativeSize() * b.settings.OverloadWindow.Seconds() *
		b.settings.OverloadMultiple * overloadSafetyFactor
	return b.slowStartShare * b.warmth(endpoint) * max(minimum, setups)
}

// slowStartCandidate returns an endpoint that is warming up and may get the request, or nil. With many
// relays such endpoints take precedence over the draw: a budget below one setup per window would mostly go
// unused in the draw, and restarted endpoints would stay empty.
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

// hasSlot reports whether this relay may send the endpoint a setup now, given the number of setups that it
// may send per overload window. If that is below 1, the relay has a slot in a random share of the windows, so
// that relays share an endpoint without communicating.
func (b *Balancer) hasSlot(endpoint *endpointRecord, setups float64) bool {
	return b.attemptIntervalElapsed(endpoint, setups) &&
		uniform(b.salt+uint64(b.now/b.settings.OverloadWindow), endpoint.ID) < setups
}

// attemptIntervalElapsed reports whether the endpoint's start and the last attempt at it are long enough ago
// to keep the rate within a number of setups per overload window.
func (b *Balancer) attemptIntervalElapsed(endpoint *endpointRecord, setups float64) bool {
	since := max(endpoint.lastAttemptAt, endpoint.StartedAt)
	return float64(b.now-since) >= float64(b.settings.OverloadWindow)/max(1, setups)
}

// countArrival counts a request for which an endpoint is drawn, once per overload window: slowStartAllows
// decides once per window whether an endpoint that is warming up may get the request.
func (b *Balancer) countArrival(request *requestRecord) {
	if window := 1 + b.now/b.settings.OverloadWindow; request.arrivalWindow != window {
		request.arrivalWindow = window
		b.arrivalRate.increment(b.now)
	}
}
