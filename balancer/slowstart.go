package balancer

import (
	"time"
)

const (
	rateMemory = 10 * time.Second // over which accepted set-ups are counted
	coldPart   = 0.6              // part used of what would push a cold server over
	coldLeast  = 6.0              // set-ups that warm servers bear in that time, by size, where few are seen
	paceLeast  = 0.4              // requests a relay is held to have in it, lest a crowd all goes there
	paceMemory = 30 * time.Second // over which this relay's own requests are counted
)

// warmth is the part of its capacity that a server has at the least.
func (b *Balancer) warmth(s *server) float64 {
	if s.StartedAt == 0 || b.now >= s.StartedAt+b.set.SlowStartDuration {
		return 1
	}
	age := float64(max(0, b.now-s.StartedAt)) / float64(b.set.SlowStartDuration)
	return b.set.InitialCapacity + (1-b.set.InitialCapacity)*age
}

// coldAllows keeps rule 4: within the time in which a cold server could fall over it gets, from all relays
// together, part of the new connections that warm servers of its size bear, less what it is cold. Of many
// relays each sends its part of its requests: turns by chance go by unused where requests are few.
func (b *Balancer) coldAllows(q *request, s *server) bool {
	if b.warmth(s) >= 1 {
		return true
	}
	n, span := b.coldPart(s), b.set.OverloadWindow
	if !b.many() || n >= 1 {
		return b.turn(s, n)
	}
	return b.rested(s, n) &&
		uniform(b.salt+uint64(q.ID)+uint64(b.now/span), s.ID) < n/max(paceLeast, b.pace.within(b.now, span))
}

// coldPart is this relay's part of what a cold server may be sent; many see too little to tell.
func (b *Balancer) coldPart(s *server) float64 {
	if _, _, warm, _ := b.totals(); warm > 0 {
		b.fleet.perSize = b.fleet.recent.at(b.now) / rateMemory.Seconds() / warm
	}
	least := 1 / float64(b.set.Relays)
	if b.many() {
		least *= s.size() * coldLeast
	}
	n := b.fleet.perSize * s.size() * b.set.OverloadWindow.Seconds() * b.set.OverloadMultiple * coldPart
	return b.part * b.warmth(s) * max(least, n)
}

// coldTurn guards against cold servers that stay empty behind many relays: where a
// relay's part is less than one, a turn left to the draw's weights is mostly lost.
func (b *Balancer) coldTurn(q *request) (best *server) {
	if !b.many() {
		return nil
	}
	for s := range b.fleet.cold(b.now, b.set.SlowStartDuration) {
		if b.coldPart(s) < 1 && b.usable(q, s) && !s.slowAt(b.now) &&
			(best == nil || uniform(b.salt, s.ID) < uniform(b.salt, best.ID)) {
			best = s
		}
	}
	return best
}

// turn shares a server among relays that know nothing of each other, where this one may send
// it n set-ups within the time that pushes a cold server over; its turn comes by chance if n < 1.
func (b *Balancer) turn(s *server, n float64) bool {
	return b.rested(s, n) && uniform(b.salt+uint64(b.now/b.set.OverloadWindow), s.ID) < n
}

func (b *Balancer) rested(s *server, n float64) bool {
	return float64(b.now-max(s.lastSent, s.StartedAt)) >= float64(b.set.OverloadWindow)/max(1, n)
}

// paced counts a request that a server is drawn for: once in the time in which a cold
// server could fall over, as it gets one chance at each in that.
func (b *Balancer) paced(q *request) {
	if span := 1 + b.now/b.set.OverloadWindow; q.span != span {
		q.span = span
		b.pace.add(b.now)
	}
}
