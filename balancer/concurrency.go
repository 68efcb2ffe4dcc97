package balancer

import (
	"time"
)

const (
	windowMax   = 64.0                   // set-ups under way
	windowCut   = 0.7                    // kept when set-ups fail on many servers at once
	windowPause = 200 * time.Millisecond // least time between two such cuts
	sharedSpan  = 2 * time.Second        // failures on many servers within it have one cause
)

// window limits the set-ups under way, as the controller limits a server.
type window struct {
	size        float64
	out         int
	cutAt       time.Duration
	sharedUntil time.Duration
	queue       []*request
}

func (w *window) full() bool { return w.out >= int(w.size) }

// shared tells whether set-ups lately failed on many servers at once.
func (b *Balancer) shared() bool { return b.now < b.window.sharedUntil }

// sharedCause guards against blaming servers for what they share, such as a slow session store, and against
// retries that feed it: once set-ups fail on as many servers as accept them, fewer are under way at a time,
// and weights and routes stay.
func (b *Balancer) sharedCause(s *server) bool {
	s.failedAt = b.now
	good, bad := 0, 0
	for _, s := range b.fleet.servers {
		if s.failedAt > s.stoodAt && s.failedAt > b.now-sharedSpan {
			bad++
		} else if s.stoodAt > b.now-sharedSpan {
			good++
		}
	}
	w := &b.window
	if bad >= 2 && bad >= good {
		w.sharedUntil = b.now + sharedSpan
		if b.now >= w.cutAt+windowPause {
			w.cutAt, w.size = b.now, max(1, min(w.size, float64(w.out))*windowCut)
		}
	}
	return b.shared()
}
