package logging

import (
	"cmp"
	"slices"
	"time"
)

const (
	perSecond = 5.0 // lines of a kind
	burst     = 20.0
	kindsMost = 64 // kinds that are told apart; all others are one
	otherKind = "others"
)

// limiter decides which lines are written: of each kind a bucket of tokens, which
// fills by some a second.
type limiter struct{ kinds map[string]*bucket }

type bucket struct {
	tokens float64
	at     time.Time
	left   int       // lines that were left out since the last that was not
	since  time.Time // the first of them
}

func newLimiter() *limiter { return &limiter{make(map[string]*bucket)} }

// allow tells whether a line may be written, and how many of its kind were left out
// before it.
func (l *limiter) allow(kind string, now time.Time) (ok bool, left int) {
	b := l.kinds[kind]
	if b == nil && len(l.kinds) >= kindsMost {
		kind = otherKind
		b = l.kinds[kind]
	}
	if b == nil {
		b = &bucket{tokens: burst, at: now}
		l.kinds[kind] = b
	}
	b.tokens = min(burst, b.tokens+perSecond*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.tokens < 1 {
		if b.left == 0 {
			b.since = now
		}
		b.left++
		return false, 0
	}
	b.tokens--
	left, b.left = b.left, 0
	return true, left
}

// leftOut is how many lines of a kind were left out.
type leftOut struct {
	kind  string
	count int
}

// sums returns the kinds of which lines were left out a second ago or more, and
// forgets the count.
func (l *limiter) sums(now time.Time) []leftOut {
	var all []leftOut
	for kind, b := range l.kinds {
		if b.left > 0 && now.Sub(b.since) >= time.Second {
			all = append(all, leftOut{kind, b.left})
			b.left = 0
		}
	}
	slices.SortFunc(all, func(x, y leftOut) int { return cmp.Compare(x.kind, y.kind) })
	return all
}
