// Package quota keeps one client address, or one class, from taking what all need. It decides and does no I/O: a
// front asks Take before it seats a transaction and calls what it returns once that has ended. Who is turned away gets
// the unavailable answer, with when to come again from the module.
package quota

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Settings bound what is under way and what begins. Zero is no bound.
type Settings struct {
	PerAddress int            // transactions of a client address at a time
	Rate       float64        // that an address may begin a second
	Burst      int            // and at once after a while of silence; 0: a second's worth, at least one
	PerClass   map[string]int // transactions of a class at a time
	Fair       int            // seats that are shared out fairly among addresses once they run short; 0: are not
}

// scarce is the part of the seats from which on they are shared out.
const scarce = 0.8

// addressesMost bounds the addresses that are known. Those that are known too well make room: an address without a
// transaction and with all of its burst is as one that never came.
const addressesMost = 1 << 14

// Validate tells what makes no sense.
func (s *Settings) Validate() error {
	switch {
	case s.PerAddress < 0 || s.Burst < 0 || s.Fair < 0:
		return fmt.Errorf("a bound is negative")
	case !(s.Rate >= 0 && s.Rate < 1e6):
		return fmt.Errorf("a rate of %v is not within 0 and a million", s.Rate)
	case s.Burst > 0 && s.Rate == 0:
		return fmt.Errorf("a burst of %d without a rate", s.Burst)
	}
	for class, n := range s.PerClass {
		if n < 1 {
			return fmt.Errorf("class %q may have %d transactions: nobody of it would be served", class, n)
		}
	}
	return nil
}

type holder struct {
	holds  int
	tokens float64
	at     time.Duration // tokens are as of then
}

// Limiter applies limits. It is safe for concurrent use; times are on one clock.
type Limiter struct {
	mu      sync.Mutex
	set     Settings
	holders map[string]*holder
	classes map[string]int
	total   int
	active  int // addresses that hold something
	refused [4]uint64
}

// Reason tells which bound turned a transaction away.
type Reason uint8

// The bounds that may turn a transaction away; String describes each.
const (
	ReasonPerAddress Reason = iota
	ReasonRate
	ReasonPerClass
	ReasonFairShare
)

// String is what a person is told.
func (w Reason) String() string {
	return [...]string{"as many transactions of one address as may be", "one address begins them too fast", "as many transactions of the class as may be", "the box is full, and the address has its fair share"}[w]
}

// New returns a gate.
func New(s Settings) *Limiter {
	return &Limiter{set: s, holders: make(map[string]*holder), classes: make(map[string]int)}
}

// UpdateSettings puts other limits in force, for those that come from now on.
func (g *Limiter) UpdateSettings(s Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set = s
}

func (s *Settings) burst() float64 {
	if s.Burst > 0 {
		return float64(s.Burst)
	}
	return max(1, s.Rate)
}

// Acquire tells whether a transaction of an address and class may begin; release is to be called once, when it has ended.
func (g *Limiter) Acquire(now time.Duration, address, class string) (release func(), why Reason, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.holder(now, address)
	s := &g.set
	switch {
	case s.PerAddress > 0 && h.holds >= s.PerAddress:
		return g.refuse(ReasonPerAddress)
	case s.PerClass[class] > 0 && g.classes[class] >= s.PerClass[class]:
		return g.refuse(ReasonPerClass)
	case s.Fair > 0 && float64(g.total) >= scarce*float64(s.Fair) && h.holds >= g.share():
		return g.refuse(ReasonFairShare)
	case s.Rate > 0 && h.tokens < 1:
		return g.refuse(ReasonRate)
	}
	if s.Rate > 0 {
		h.tokens--
	}
	if h.holds++; h.holds == 1 {
		g.active++
	}
	g.classes[class]++
	g.total++
	var once sync.Once
	return func() { once.Do(func() { g.release(address, class) }) }, 0, true
}

// share is what an address may hold while seats run short: as much as each of those that are there and one that may
// yet come, and always one. Without the one to come an address alone would hold every seat, and the next find none.
func (g *Limiter) share() int { return max(1, g.set.Fair/(g.active+1)) }

func (g *Limiter) refuse(why Reason) (func(), Reason, bool) {
	g.refused[why]++
	return nil, why, false
}

// holder is what is known of an address, with its tokens as of now.
func (g *Limiter) holder(now time.Duration, address string) *holder {
	h := g.holders[address]
	if h == nil {
		if len(g.holders) >= addressesMost {
			g.forget(now)
		}
		h = &holder{tokens: g.set.burst(), at: now}
		g.holders[address] = h
	}
	h.tokens = math.Min(g.set.burst(), h.tokens+g.set.Rate*(now-h.at).Seconds())
	h.at = now
	return h
}

// forget lets go of addresses that are as ones that never came; if there are none, of any that hold nothing.
func (g *Limiter) forget(now time.Duration) {
	for pass := range 2 {
		for address, h := range g.holders {
			full := h.tokens+g.set.Rate*(now-h.at).Seconds() >= g.set.burst()
			if h.holds == 0 && (full || pass == 1) {
				delete(g.holders, address)
			}
		}
		if len(g.holders) < addressesMost {
			return
		}
	}
}

func (g *Limiter) release(address, class string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	if g.classes[class]--; g.classes[class] == 0 {
		delete(g.classes, class)
	}
	if h := g.holders[address]; h != nil {
		if h.holds--; h.holds == 0 {
			g.active--
		}
	}
}

// Rejections is how many were turned away by a bound.
func (g *Limiter) Rejections(why Reason) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused[why]
}
