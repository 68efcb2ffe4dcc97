// Package proxy carries a transaction from its arrival to its final answer and,
// once it stands, to its end. It knows no wire: fronts hand it transactions, and
// carry out passes and answers for it.
package proxy

import (
	"time"
)

// clockBase is what the clock shows at its start. It lies well above the times
// that matter, so that a server's start before the relay's own is no negative
// time.
const clockBase = time.Hour

// Clock tells the time as whole microseconds on the monotonic clock.
type Clock struct {
	start time.Time
	base  time.Duration // what it showed at start
	wall  time.Time     // the time of day at which it showed clockBase
}

// NewClock returns a clock that starts now.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, clockBase, now.Round(0)}
}

// ContinueClock returns a clock that goes on from what another process's shows at this
// moment; wall is that one's Start.
func ContinueClock(now time.Duration, wall time.Time) Clock {
	return Clock{time.Now(), now, wall.Round(0)}
}

// Start is the time of day at which the clock began.
func (c Clock) Start() time.Time { return c.wall }

// Now reads the clock.
func (c Clock) Now() time.Duration {
	return (c.base + time.Since(c.start)).Truncate(time.Microsecond)
}

// Wall is the time of day at a time on the clock.
func (c Clock) Wall(at time.Duration) time.Time { return c.wall.Add(at - clockBase) }

// AtUnixMilli returns the clock's time at a Unix time; 0 stands for long ago. The same
// time always gives the same: a server whose start seems later than it was told before
// would pass for one that has started again.
func (c Clock) AtUnixMilli(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, (clockBase + time.UnixMilli(ms).Sub(c.wall)).Truncate(time.Microsecond))
}
