package balancer

import (
	"math"
	"time"
)

// decayingCounter counts events with weights that decay exponentially with age.
type decayingCounter struct {
	timeConstant time.Duration // age at which an event counts 1/e
	count        float64       // as of updatedAt
	updatedAt    time.Duration
	countedFrom  time.Duration // start of counting, for countWithin; 0 if not started
}

// valueAt returns the decayed count at a time.
func (c *decayingCounter) valueAt(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.updatedAt)/float64(c.timeConstant))
}

// countWithin estimates the number of events per span of time. It corrects for a short time since counting
// started, without which the estimate would start far too low.
func (c *decayingCounter) countWithin(now, span time.Duration) float64 {
	observedShare := 1 - math.Exp(-float64(max(now-c.countedFrom, span))/float64(c.timeConstant))
	return c.valueAt(now) / observedShare * float64(span) / float64(c.timeConstant)
}

// increment counts an event at a time.
func (c *decayingCounter) increment(now time.Duration) { c.count, c.updatedAt = c.valueAt(now)+1, now }
