package balancer

import (
	"time"
)

const (
	weightFloor = 0.05 // the controller moves weights between these
	weightCeil  = 1.0
	weightStart = 0.5
	weightRaise = 0.05             // added on an accepted set-up
	weightCut   = 0.6              // kept on a failure
	weightBack  = 30 * time.Second // from nothing to the ceiling without a failure
)

// weightAt is the controller's weight. It comes back with time too: a server at
// the floor sees no set-up that could raise it.
func (s *server) weightAt(now time.Duration) float64 {
	return min(weightCeil, s.weight+float64(now-s.weighed)/float64(weightBack))
}

func (s *server) cut(keep float64, now time.Duration) {
	s.weight, s.weighed = max(weightFloor, s.weightAt(now)*keep), now
}

func (s *server) raise(now time.Duration) {
	s.weight, s.weighed = min(weightCeil, s.weightAt(now)+weightRaise), now
}
