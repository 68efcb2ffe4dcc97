package balancer

import (
	"math"
	"slices"
)

const (
	// localZoneFactor multiplies the draw weight of endpoints in the relay's own zone if cross-zone
	// connections have a cost.
	localZoneFactor = 4.0

	// maxFewRelays is the largest number of relays that counts as few. With more, each relay sees little
	// of the traffic. They prefer their own zone less, so that relays in different zones do not split a
	// group among endpoints.
	maxFewRelays = 8

	// loadExponent is the exponent by which an endpoint's draw weight falls with its load. A higher value
	// spreads connections more evenly, a lower one keeps more groups together.
	loadExponent = 4.0

	// atCapacityHeadroom is the headroom up to which a cached endpoint counts as at capacity: its group is
	// redrawn before messages there become slow.
	atCapacityHeadroom = 0.5

	// minHeadroom keeps an endpoint in the draw while its message delay is close to the objective.
	minHeadroom = 0.1
)

// selectEndpoint returns the endpoint for the request's next attempt, or nil, and the reason for the
// choice. The first attempt uses the cached route if its endpoint can take the request.
func (b *Balancer) selectEndpoint(request *requestRecord) (*endpointRecord, Reason) {
	reason := request.drawReason()
	if id, ok := b.routes.get(request.routeKey(), b.now); ok && request.attempts == 0 {
		endpoint := b.endpoints.find(id)
		if endpoint != nil && b.eligible(request, endpoint) &&
			!b.mustHold(endpoint) && b.headroom(endpoint) > atCapacityHeadroom {
			return endpoint, ReasonCachedRoute
		}
		reason = b.cachedRouteReason(request, endpoint)
	}
	return b.drawEndpoint(request), reason
}

// eligible reports whether the endpoint may be drawn for the request.
func (b *Balancer) eligible(request *requestRecord, endpoint *endpointRecord) bool {
	return endpoint.State == StateReady &&
		(endpoint.redirectedAt == 0 || b.now >= endpoint.redirectedAt+redirectedDuration) &&
		request.withinScope(endpoint) && !slices.Contains(request.triedEndpoints, endpoint.ID) &&
		b.slowStartAllows(request, endpoint)
}

// drawWeight returns the endpoint's weight in the draw: the controller's weight scaled by size, warmth,
// headroom, zone and load. Scaling by load takes established connections into account. loadPerSize is that of
// the ready endpoints together; it is not positive if there is no load.
func (b *Balancer) drawWeight(endpoint *endpointRecord, loadPerSize float64) float64 {
	warmth := b.warmth(endpoint)
	weight := endpoint.currentWeight(b.now) * endpoint.relativeSize() * warmth * b.headroom(endpoint)
	if b.settings.CrossZoneCost > 0 && endpoint.Zone == b.settings.Zone {
		weight *= 1 + (localZoneFactor-1)*min(1, maxFewRelays/float64(b.settings.RelayCount))
	}
	if loadPerSize > 0 {
		weight /= math.Pow(1+(endpoint.demand()+1)/endpoint.relativeSize()/warmth/loadPerSize, loadExponent)
	}
	return weight
}

// headroom returns the unused share of the message latency objective at the endpoint. It lowers the weight
// of an endpoint whose delay grows, before it becomes slow. It is 1 for an endpoint that is already slow:
// requests are held for it, so that they do not all move on and overload the next one.
func (b *Balancer) headroom(endpoint *endpointRecord) float64 {
	objective := b.messageObjective
	if objective == 0 || endpoint.delay > objective || b.now >= endpoint.delayAt+slowDuration {
		return 1
	}
	return max(minHeadroom, 1-float64(endpoint.delay)/float64(objective))
}

// manyRelays reports whether there are so many relays that each sees little of the traffic.
func (b *Balancer) manyRelays() bool { return b.settings.RelayCount > maxFewRelays }
