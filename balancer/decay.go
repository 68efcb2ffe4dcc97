package balancer

import (
	"math"
	"time"
)

// fading is a count in which what is past fades.
type fading struct {
	over  time.Duration
	count float64
	since time.Duration
	from  time.Duration // counted from then on, where that is asked; 0 if nothing was yet
}

func (f *fading) at(now time.Duration) float64 {
	return f.count * math.Exp(-float64(now-f.since)/float64(f.over))
}

// within is how many of them fall within a time, in the mean since from. Without its
// correction a count that has just begun is far too low.
func (f *fading) within(now, span time.Duration) float64 {
	seen := 1 - math.Exp(-float64(max(now-f.from, span))/float64(f.over))
	return f.at(now) / seen * float64(span) / float64(f.over)
}

func (f *fading) add(now time.Duration) { f.count, f.since = f.at(now)+1, now }
