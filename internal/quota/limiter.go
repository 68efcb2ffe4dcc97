package quota

import (
	"sync"
	"time"
)

const (
	// scarcityThreshold is the fraction of the admission slots that must be in use before
	// fair shares are enforced.
	scarcityThreshold = 0.8

	// maxAddresses limits the tracked addresses. Addresses without active requests and with
	// a full token bucket are evicted first, as tracking them has no effect.
	maxAddresses = 1 << 14
)

// Reason is the limit that a rejected request exceeds.
type Reason uint8

// The limits that a request can exceed.
const (
	ReasonPerAddress Reason = iota
	ReasonRate
	ReasonPerClass
	ReasonFairShare
)

// String describes a reason in log lines.
func (r Reason) String() string {
	return [...]string{
		"too many open transactions from the address",
		"transaction rate of the address too high",
		"too many open transactions of the class",
		"admission slots scarce and fair share of the address used up",
	}[r]
}

// Limiter enforces the limits of its settings. It is safe for concurrent use. All times are
// on one monotonic clock.
type Limiter struct {
	mu              sync.Mutex // guards the fields below
	settings        Settings
	addresses       map[string]*addressUsage
	activeByClass   map[string]int
	activeRequests  int
	activeAddresses int // addresses with an active request
}

// addressUsage is the number of active requests and the token bucket of a client address.
type addressUsage struct {
	active     int
	tokens     float64
	refilledAt time.Duration // time of the last refill
}

// refilledTokens returns the tokens after a refill, not capped at the burst.
func (u *addressUsage) refilledTokens(now time.Duration, rate float64) float64 {
	return u.tokens + rate*(now-u.refilledAt).Seconds()
}

// New returns a limiter without active requests.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, addresses: make(map[string]*addressUsage), activeByClass: make(map[string]int)}
}

// UpdateSettings replaces the limits. They apply to later calls of Acquire.
func (l *Limiter) UpdateSettings(settings Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = settings
}

// Acquire reports whether a request from an address and of a class may start. If so, the
// caller calls release once the request has ended; later calls of release have no effect.
// Otherwise reason is the limit that the request exceeds.
func (l *Limiter) Acquire(now time.Duration, address, class string) (release func(), reason Reason, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usage(now, address)
	if reason, exceeded := l.exceededLimit(usage, class); exceeded {
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

// exceededLimit returns the limit that one more request from an address and of a class would
// exceed, if any. The caller holds mu.
func (l *Limiter) exceededLimit(usage *addressUsage, class string) (reason Reason, exceeded bool) {
	settings := &l.settings
	switch {
	case settings.PerAddress > 0 && usage.active >= settings.PerAddress:
		return ReasonPerAddress, true
	case settings.PerClass[class] > 0 && l.activeByClass[class] >= settings.PerClass[class]:
		return ReasonPerClass, true
	case settings.FairShareSlots > 0 && float64(l.activeRequests) >= scarcityThreshold*float64(settings.FairShareSlots) && usage.active >= l.fairShare():
		return ReasonFairShare, true
	case settings.Rate > 0 && usage.tokens < 1:
		return ReasonRate, true
	}
	return 0, false
}

// fairShare returns how many active requests an address may have while admission slots are
// scarce: an equal share for each active address and one further address, and at least
// one. Without the extra share, a single address could use all slots, and the next would
// be rejected.
func (l *Limiter) fairShare() int { return max(1, l.settings.FairShareSlots/(l.activeAddresses+1)) }

// usage returns the usage of an address after a refill of its tokens. It starts tracking a
// new address. The caller holds mu.
func (l *Limiter) usage(now time.Duration, address string) *addressUsage {
	usage := l.addresses[address]
	if usage == nil {
		if len(l.addresses) >= maxAddresses {
			l.evictIdle(now)
		}
		usage = &addressUsage{tokens: l.settings.burst(), refilledAt: now}
		l.addresses[address] = usage
	}
	usage.tokens = min(l.settings.burst(), usage.refilledTokens(now, l.settings.Rate))
	usage.refilledAt = now
	return usage
}

// evictIdle evicts the addresses without active requests and with a full token bucket, and
// if there are none, all without active requests. The caller holds mu.
func (l *Limiter) evictIdle(now time.Duration) {
	for _, ignoreTokens := range []bool{false, true} {
		for address, usage := range l.addresses {
			full := usage.refilledTokens(now, l.settings.Rate) >= l.settings.burst()
			if usage.active == 0 && (full || ignoreTokens) {
				delete(l.addresses, address)
			}
		}
		if len(l.addresses) < maxAddresses {
			return
		}
	}
}

// release records that a request has ended.
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
