package balancer

import (
	"math"
	"time"
)

const (
	awayFor    = 10 * time.Second       // a server that sends clients away drains; the list says so by then
	leaveEvery = 250 * time.Millisecond // a server that drains loses a part of its connections
	leavePart  = 0.15                   // this often: this part of those it has;
	leaveWait  = 2 * time.Second        // of many relays each waits for the server's own word so long,
	leaveBy    = 4 * time.Second        // and is rid of all by then
)

// sendAway guards against clients that are cut off when their draining server stops. They
// move a part at a time, lest those who take them in are swamped; of many relays, by chance.
func (b *Balancer) sendAway(s *server) {
	if s == nil || s.sending || s.State != StateDraining || len(s.conns) == 0 {
		return
	}
	s.sending = true
	n, after := int(math.Ceil(float64(len(s.conns))*leavePart)), leaveEvery
	if wait := s.drainAt + leaveWait - b.now; b.many() && wait > 0 {
		n, after = 0, wait
	} else if b.many() {
		left := s.drainAt + leaveBy - b.now
		n = int(float64(len(s.conns))*float64(leaveEvery)/float64(max(left, leaveEvery)) + b.rng.Float64())
	}
	b.relieve(s, n, ReasonEndpointDraining)
	b.again(s, after)
}

// again asks for a timer of a server that drains.
func (b *Balancer) again(s *server, after time.Duration) {
	b.token++
	b.leaving[b.token] = s
	b.do(SetTimer{Token: b.token, After: after})
}
