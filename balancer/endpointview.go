package balancer

import (
	"math"
	"time"
)

// viewLife is how long a delay is told after it was heard.
const viewLife = 10 * time.Second

// EndpointView is what a Balancer holds of a server, for those who look on.
type EndpointView struct {
	Endpoint EndpointID
	Delay    time.Duration // of a message there, as last heard; 0: nothing was heard lately
	Load     float64       // of this relay's connections there, in mean connections
	Avoided  string        // why nothing new goes there now; "" if it may
}

// views tells what is held of each server that is listed.
func (b *Balancer) views() (all []EndpointView) {
	for _, s := range b.fleet.servers {
		if s.State == StateGone {
			continue
		}
		v := EndpointView{Endpoint: s.ID, Load: s.load}
		if s.delayAt > 0 && b.now < s.delayAt+viewLife {
			v.Delay = s.delay
		}
		if b.now < s.avoidedUntil() {
			switch {
			case s.State == StateDraining:
				v.Avoided = "drains"
			case s.awayAt > 0 && b.now < s.awayAt+awayFor:
				v.Avoided = "sends away"
			default:
				v.Avoided = "slow or full"
			}
		}
		all = append(all, v)
	}
	return all
}

// avoidedUntil is the time until which nothing new is placed on a server because of what
// was heard of it; 0 if it is not avoided.
func (s *server) avoidedUntil() (until time.Duration) {
	switch {
	case s.State == StateDraining:
		return math.MaxInt64
	case s.awayAt > 0:
		until = s.awayAt + awayFor
	}
	if s.lastSlow > 0 && s.lastSlow == s.delayAt {
		until = max(until, s.delayAt+slowLife)
	}
	return until
}

// avoided tells how many servers are listed and until when each is avoided that is so
// now, in the room given.
func (b *Balancer) avoided(room []time.Duration) (listed int, until []time.Duration) {
	until = room[:0]
	for _, s := range b.fleet.servers {
		if s.State == StateGone {
			continue
		}
		listed++
		if at := s.avoidedUntil(); b.now < at {
			until = append(until, at)
		}
	}
	return listed, until
}
