// Package throttle keeps connections that send without a pause from delaying all others. The work that their input causes
// is limited to a share of the processors, so that the scheduler polls the network often and other goroutines run soon. A
// connection that causes little work is never delayed.
package throttle

import (
	"runtime"
	"sync"
	"time"
)

const (
	// sharedRate is the share of the processors that connections over their allowance get together.
	sharedRate = 0.5
	// sharedBurst is how much work they may cause at once.
	sharedBurst = time.Millisecond
	// allowanceRate is the share of a processor that one connection may use without being delayed. It is small, as hundreds
	// of connections may use it at once.
	allowanceRate = 0.002
	// allowanceBurst is how much work one connection may cause at once without being delayed.
	allowanceBurst = 250 * time.Microsecond
	// measuredShare is the share of the work that is measured: callers can't measure a read, which may block, and the
	// scheduler and the collector have work, too.
	measuredShare = 0.4
	// maxCost limits the measured cost of one unit of work: time in which it was blocked, or another process had the
	// processor, is none.
	maxCost = 200 * time.Microsecond
	// minRest is the shortest rest that is taken; shorter ones add up.
	minRest = 100 * time.Microsecond
	// maxRest is the longest rest, after which the caller may look whether its client is still there.
	maxRest = 50 * time.Millisecond
)

// Throttle is shared by the connections of a relay. A nil Throttle delays none. Its methods may be called from any
// goroutine.
type Throttle struct {
	mu     sync.Mutex
	shared bucket
}

// Meter measures the work that the input of one connection causes. Its methods may be called from any goroutine, also on
// nil.
type Meter struct {
	throttle *Throttle

	mu        sync.Mutex
	allowance bucket
}

// bucket drains at a rate while work is added to it.
type bucket struct {
	level     time.Duration // of work
	drainedAt time.Time
}

// add drains the bucket at a rate, which is a number of processors, and adds work. It returns the new level.
func (b *bucket) add(now time.Time, rate float64, work time.Duration) time.Duration {
	if !b.drainedAt.IsZero() {
		b.level = max(0, b.level-time.Duration(rate*float64(now.Sub(b.drainedAt))))
	}
	b.drainedAt = now
	b.level += work
	return b.level
}

// New returns a throttle.
func New() *Throttle { return &Throttle{} }

// NewMeter returns the meter of a new connection.
func (t *Throttle) NewMeter() *Meter {
	if t == nil {
		return nil
	}
	return &Meter{throttle: t}
}

// Add counts the work of handling some input in the given time, or a part of that if it was blocked meanwhile.
func (m *Meter) Add(elapsed time.Duration) {
	m.count(time.Now(), time.Duration(float64(min(elapsed, maxCost))/measuredShare))
}

// AddCost counts work of a known cost.
func (m *Meter) AddCost(cost time.Duration) { m.count(time.Now(), cost) }

// Rest delays a connection that is over its allowance until the work of all of them is within their share, and reports
// whether it did. At the least it lets other goroutines run then.
func (m *Meter) Rest() bool {
	rest, over := m.count(time.Now(), 0)
	switch {
	case !over:
		return false
	case rest < minRest:
		runtime.Gosched()
		return false
	}
	time.Sleep(rest)
	return true
}

// count counts work. It returns whether the connection is over its allowance, and for how long it is to rest.
func (m *Meter) count(now time.Time, work time.Duration) (rest time.Duration, over bool) {
	if m == nil {
		return 0, false
	}
	m.mu.Lock()
	over = m.allowance.add(now, allowanceRate, work) > allowanceBurst
	if over {
		m.allowance.level = min(m.allowance.level, 2*allowanceBurst)
	}
	m.mu.Unlock()
	if !over {
		return 0, false
	}
	return m.throttle.count(now, work), true
}

// count counts work of a connection that is over its allowance, and returns for how long that is to rest.
func (t *Throttle) count(now time.Time, work time.Duration) time.Duration {
	rate := sharedRate * float64(runtime.GOMAXPROCS(0))
	t.mu.Lock()
	level := t.shared.add(now, rate, work)
	t.mu.Unlock()
	return min(maxRest, time.Duration(float64(level-sharedBurst)/rate))
}
