package quota

import (
	"sync"
	"time"
)

const (
	// scarcityThreshold is the share of the admission slots from which on they are shared
	// fairly.
	scarcityThreshold = 0.8

	// maxAddresses bounds the addresses that are tracked. An address without an active
	// request and with all of its burst is evicted first, as it is like one never seen.
	maxAddresses = 1 << 14
)

// Reason is which limit a request was rejected by.
type Reason uint8

// The limits that may reject a request; String describes each.
const (
	ReasonPerAddress Reason = iota
	ReasonRate
	ReasonPerClass
	ReasonFairShare
)

// String describes a reason to operators.
func (r Reason) String() string {
	return [...]string{
		"as many transactions of one address as may be",
		"one address begins them too fast",
		"as many transactions of the class as may be",
		"the box is full, and the address has its fair share",
	}[r]
}

// Limiter applies limits. It is safe for concurrent use; times are on one clock.
type Limiter struct {
	mu              sync.Mutex // guards what follows
	settings        Settings
	addresses       map[string]*addressUsage
	activeByClass   map[string]int
	activeRequests  int
	activeAddresses int // that have an active request
}

// addressUsage is what a client address uses: its active requests, and a token bucket.
type addressUsage struct {
	active     int
	tokens     float64
	refilledAt time.Duration // tokens are as of then
}

// refilled returns the tokens as of now, without the bound of the burst.
func (u *addressUsage) refilled(now time.Duration, rate float64) float64 {
	return u.tokens + rate*(now-u.refilledAt).Seconds()
}

// New returns a limiter.
func New(s Settings) *Limiter {
	return &Limiter{settings: s, addresses: make(map[string]*addressUsage), activeByClass: make(map[string]int)}
}

// UpdateSettings puts other limits in force for the requests to come.
func (l *Limiter) UpdateSettings(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
}

// Acquire reports whether a request of an address and class may begin. If so, release is
// to be called once it has ended; further calls of release do nothing. Otherwise reason is
// the limit that it exceeds.
func (l *Limiter) Acquire(now time.Duration, address, class string) (release func(), reason Reason, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usage(now, address)
	if reason, exceeded := l.exceeded(usage, class); exceeded {
		return nil, reason, false
	}
	if l.settings.Rate > 0 {
		usage.tokens--
	}
	usage.active++
	if usage.active == 1 {
		l.activeAddresses++
	}
	l.activeByClass[class]++
	l.activeRequests++
	var once sync.Once
	return func() { once.Do(func() { l.release(address, class) }) }, 0, true
}

// exceeded returns the limit that one more request of an address and class would exceed.
// It is called with mu held.
func (l *Limiter) exceeded(usage *addressUsage, class string) (reason Reason, exceeded bool) {
	s := &l.settings
	switch {
	case s.PerAddress > 0 && usage.active >= s.PerAddress:
		return ReasonPerAddress, true
	case s.PerClass[class] > 0 && l.activeByClass[class] >= s.PerClass[class]:
		return ReasonPerClass, true
	case s.FairShareSlots > 0 && float64(l.activeRequests) >= scarcityThreshold*float64(s.FairShareSlots) && usage.active >= l.fairShare():
		return ReasonFairShare, true
	case s.Rate > 0 && usage.tokens < 1:
		return ReasonRate, true
	}
	return 0, false
}

// fairShare returns how many active requests an address may have while admission slots
// run short: as many as each of the active addresses and one yet to come, and always one.
// Without the one to come a single address would take every slot, and the next find none.
func (l *Limiter) fairShare() int { return max(1, l.settings.FairShareSlots/(l.activeAddresses+1)) }

// usage returns the usage of an address, with its tokens as of now. It is called with mu
// held.
func (l *Limiter) usage(now time.Duration, address string) *addressUsage {
	usage := l.addresses[address]
	if usage == nil {
		if len(l.addresses) >= maxAddresses {
			l.evictIdle(now)
		}
		usage = &addressUsage{tokens: l.settings.burst(), refilledAt: now}
		l.addresses[address] = usage
	}
	usage.tokens = min(l.settings.burst(), usage.refilled(now, l.settings.Rate))
	usage.refilledAt = now
	return usage
}

// evictIdle evicts the addresses that are like ones never seen; if there are none, all
// that have no active request. It is called with mu held.
func (l *Limiter) evictIdle(now time.Duration) {
	for _, anyTokens := range []bool{false, true} {
		for address, usage := range l.addresses {
			full := usage.refilled(now, l.settings.Rate) >= l.settings.burst()
			if usage.active == 0 && (full || anyTokens) {
				delete(l.addresses, address)
			}
		}
		if len(l.addresses) < maxAddresses {
			return
		}
	}
}

// release notes the end of a request.
func (l *Limiter) release(address, class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeRequests--
	l.activeByClass[class]--
	if l.activeByClass[class] == 0 {
		delete(l.activeByClass, class)
	}
	usage := l.addresses[address]
	if usage == nil {
		return
	}
	usage.active--
	if usage.active == 0 {
		l.activeAddresses--
	}
}
