package balancer

import (
	"math"
	"slices"
)

const (
	ownZone    = 4.0 // by which servers of the own zone are preferred where crossing has a price
	fewRelays  = 8   // more share nothing and see little each; they prefer their own zone less
	crowding   = 4.0 // power of the draw's weight falling with what is already placed
	spareFull  = 0.5 // a cached server with less of the wanted time to spare counts as full
	spareLeast = 0.1
)

// pick chooses the server of the next attempt, or none, and tells why.
func (b *Balancer) pick(q *request) (*server, Reason) {
	why := q.drawn()
	if id, ok := b.routes.get(q.key(), b.now); ok && q.attempts == 0 {
		s := b.fleet.find(id)
		if s != nil && b.usable(q, s) && !b.mustWait(s) && b.spare(s) > spareFull {
			return s, ReasonCachedRoute
		}
		why = b.passedOver(q, s)
	}
	return b.draw(q), why
}

// usable tells whether a server may be sent a request at all.
func (b *Balancer) usable(q *request, s *server) bool {
	return s.State == StateReady && (s.awayAt == 0 || b.now >= s.awayAt+awayFor) && q.mayUse(s) &&
		!slices.Contains(q.tried, s.ID) && b.coldAllows(q, s)
}

// drawWeight is the controller's weight by size, warmth, zone and load. The load
// guards against placing by set-ups alone, blind to what already stands.
func (b *Balancer) drawWeight(s *server, meanLoad float64) float64 {
	w := s.weightAt(b.now) * s.size() * b.warmth(s) * b.spare(s)
	if b.set.CrossZoneCost > 0 && s.Zone == b.set.Zone {
		w *= 1 + (ownZone-1)*min(1, fewRelays/float64(b.set.Relays))
	}
	if meanLoad > 0 {
		w /= math.Pow(1+(s.demand()+1)/s.size()/b.warmth(s)/meanLoad, crowding)
	}
	return w
}

// spare is the part of their wanted time that messages at a server leave. It
// guards against filling servers until they are slow, as delays grow before. For
// those that are, requests wait: their crowd must not move on to the next.
func (b *Balancer) spare(s *server) float64 {
	if b.aim == 0 || s.delay > b.aim || b.now >= s.delayAt+slowLife {
		return 1
	}
	return max(spareLeast, 1-float64(s.delay)/float64(b.aim))
}

// many tells whether there are so many relays that each sees little.
func (b *Balancer) many() bool { return b.set.Relays > fewRelays }
