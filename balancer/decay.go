package balancer

import (
	"math"
	"time"
)

// decayingCounter counts events, each of which counts less exponentially with its age.
type decayingCounter struct {
	timeConstant time.Duration // the age at which an event counts 1/e
	count        float64       // as of updatedAt
	updatedAt    time.Duration
	countedFrom  time.Duration // when counting began, for countWithin; 0 if it has not
}

// valueAt returns the count at a time.
func (c *decayingCounter) valueAt(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.updatedAt)/float64(c.timeConstant))
}

// countWithin returns how many events fall within a span of time, on average since counting began. It
// corrects for how much of the past was observed: without that a count which has just begun is far too
// low.
func (c *decayingCounter) countWithin(now, span time.Duration) float64 {
	observedShare := 1 - math.Exp(-float64(max(now-c.countedFrom, span))/float64(c.timeConstant))
	return c.valueAt(now) / observedShare * float64(span) / float64(c.timeConstant)
}

// increment counts an event.
func (c *decayingCounter) increment(now time.Duration) { c.count, c.updatedAt = c.valueAt(now)+1, now }
