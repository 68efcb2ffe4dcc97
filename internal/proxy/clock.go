package proxy

import "time"

// clockBase is the initial time of a new clock. It leaves room for the start times of
// endpoints that started before the relay.
const clockBase = time.Hour

// Clock is a monotonic clock with microsecond resolution. It is immutable and safe for
// concurrent use.
type Clock struct {
	start time.Time     // with a monotonic reading
	base  time.Duration // clock time at start
	wall  time.Time     // wall-clock time at clock time clockBase
}

// NewClock returns a clock whose time is clockBase now.
func NewClock() Clock {
	now := time.Now()
	return Clock{start: now, base: clockBase, wall: now.Round(0)}
}

// ContinueClock returns a clock that continues the clock of another process: now is the
// current time of that clock, and wall its Start.
func ContinueClock(now time.Duration, wall time.Time) Clock {
	return Clock{start: time.Now(), base: now, wall: wall.Round(0)}
}

// Start returns the wall-clock time at which the clock started.
func (c Clock) Start() time.Time { return c.wall }

// Now returns the current clock time.
func (c Clock) Now() time.Duration {
	return (c.base + time.Since(c.start)).Truncate(time.Microsecond)
}

// Wall converts a clock time to a wall-clock time.
func (c Clock) Wall(at time.Duration) time.Time { return c.wall.Add(at - clockBase) }

// AtUnixMilli converts a Unix time in milliseconds to a clock time; 0 stands for a time
// that is unknown or too long ago. The result for an argument never changes, as an endpoint
// whose start time increases is taken to have restarted.
func (c Clock) AtUnixMilli(unixMilli int64) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	sinceStart := time.UnixMilli(unixMilli).Sub(c.wall)
	return max(0, (clockBase + sinceStart).Truncate(time.Microsecond))
}
