package balancer

import (
	"math"
)

// draw draws a server at random by weight: the least of exponential draws, each at the rate of its weight,
// falls on each in proportion to its weight. While few are slow the draw passes them over: waiting for one
// while others are free guards against nothing. It does where many are slow, as a crowd that moves on then
// makes the next slow.
func (b *Balancer) draw(q *request) *server {
	load, size, _, slow := b.totals()
	b.paced(q)
	if s := b.coldTurn(q); s != nil {
		return s
	}
	var best *server
	least := math.Inf(1)
	near := b.sift(q.key(), load/size) // of a large fleet most can't be the least
	for s := range near.servers {
		if !b.usable(q, s) || slow < slowPart*size && s.slowAt(b.now) ||
			slow < easePart*size && b.mustWait(s) {
			continue
		}
		if d := b.chance(q.key(), s) / b.drawWeight(s, load/size); d < least {
			best, least = s, d
			near.found(d)
		}
	}
	return best
}

// chance is a draw from the exponential distribution. Where there is a key, it
// is the source of the randomness: relays that share nothing then draw alike,
// and a group isn't paid for by a server for each relay.
func (b *Balancer) chance(key uint64, s *server) float64 {
	if key == 0 {
		return b.rng.ExpFloat64()
	}
	return -math.Log(uniform(key, s.ID))
}
