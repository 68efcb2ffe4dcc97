package balancer

import (
	"math"
	"slices"
)

const (
	// localZoneFactor is how much more the draw weighs endpoints of the relay's own zone, where
	// connections that cross zones have a cost.
	localZoneFactor = 4.0

	// maxFewRelays is how many relays count as few. More than that share nothing and see little each.
	// They prefer their own zone less, lest relays of different zones split a group among endpoints.
	maxFewRelays = 8

	// loadExponent is the power with which an endpoint's weight falls with the load placed on it.
	// Higher spreads connections more evenly, lower keeps more groups together.
	loadExponent = 4.0

	// fullHeadroom is the headroom up to which a cached endpoint counts as at capacity: its group is
	// drawn anew before messages there become slow.
	fullHeadroom = 0.5

	// minHeadroom keeps an endpoint in the draw whose messages take nearly their objective.
	minHeadroom = 0.1
)

// selectEndpoint selects the endpoint of the request's next attempt, or none, and returns the reason.
// The first attempt goes by the cached route, where its endpoint takes requests.
func (b *Balancer) selectEndpoint(request *requestRecord) (*endpointRecord, Reason) {
	reason := request.drawReason()
	if id, ok := b.routes.get(request.routeKey(), b.now); ok && request.attempts == 0 {
		endpoint := b.endpoints.find(id)
		if endpoint != nil && b.eligible(request, endpoint) &&
			!b.mustHold(endpoint) && b.headroom(endpoint) > fullHeadroom {
			return endpoint, ReasonCachedRoute
		}
		reason = b.cachedRouteReason(request, endpoint)
	}
	return b.drawEndpoint(request), reason
}

// eligible reports whether the request may be sent to the endpoint at all.
func (b *Balancer) eligible(request *requestRecord, endpoint *endpointRecord) bool {
	return endpoint.State == StateReady &&
		(endpoint.redirectedAt == 0 || b.now >= endpoint.redirectedAt+redirectedDuration) &&
		request.withinScope(endpoint) && !slices.Contains(request.triedEndpoints, endpoint.ID) &&
		b.slowStartAllows(request, endpoint)
}

// drawWeight is the endpoint's weight in the draw: the controller's weight by size, warmth, headroom,
// zone and load. The load guards against placing by set-ups alone, blind to established connections.
// meanLoad is the load of a ready endpoint by size; not above 0 if there is none.
func (b *Balancer) drawWeight(endpoint *endpointRecord, meanLoad float64) float64 {
	warmth := b.warmth(endpoint)
	weight := endpoint.currentWeight(b.now) * endpoint.relativeSize() * warmth * b.headroom(endpoint)
	if b.settings.CrossZoneCost > 0 && endpoint.Zone == b.settings.Zone {
		weight *= 1 + (localZoneFactor-1)*min(1, maxFewRelays/float64(b.settings.Relays))
	}
	if meanLoad > 0 {
		weight /= math.Pow(1+(endpoint.demand()+1)/endpoint.relativeSize()/warmth/meanLoad, loadExponent)
	}
	return weight
}

// headroom is the share of their latency objective that messages at the endpoint leave. It guards
// against filling an endpoint until it is slow, as delays grow before that. It is 1 for an endpoint
// that is already slow: requests are held for it, lest all of them move on to the next.
func (b *Balancer) headroom(endpoint *endpointRecord) float64 {
	objective := b.messageObjective
	if objective == 0 || endpoint.delay > objective || b.now >= endpoint.delayAt+slowDuration {
		return 1
	}
	return max(minHeadroom, 1-float64(endpoint.delay)/float64(objective))
}

// manyRelays reports whether there are so many relays that each sees little of the fleet.
func (b *Balancer) manyRelays() bool { return b.settings.Relays > maxFewRelays }
