package proxy

import "time"

// clockBase is what a new clock shows. It lies well above the intervals that
// matter, so that an endpoint that started before the relay has no negative start
// time.
const clockBase = time.Hour

// Clock shows the time in whole microseconds on the monotonic clock. It is a value
// that never changes, and safe for concurrent use.
type Clock struct {
	start time.Time     // with its monotonic reading
	base  time.Duration // what the clock showed at start
	wall  time.Time     // the time of day at which it showed clockBase
}

// NewClock returns a clock that starts now.
func NewClock() Clock {
	now := time.Now()
	return Clock{start: now, base: clockBase, wall: now.Round(0)}
}

// ContinueClock returns a clock that continues another process's: now is what that
// one shows at this moment, and wall its Start.
func ContinueClock(now time.Duration, wall time.Time) Clock {
	return Clock{start: time.Now(), base: now, wall: wall.Round(0)}
}

// Start returns the time of day at which the clock began.
func (c Clock) Start() time.Time { return c.wall }

// Now returns what the clock shows.
func (c Clock) Now() time.Duration {
	return (c.base + time.Since(c.start)).Truncate(time.Microsecond)
}

// Wall returns the time of day at a time on the clock.
func (c Clock) Wall(at time.Duration) time.Time { return c.wall.Add(at - clockBase) }

// AtUnixMilli returns the clock's time at a Unix time in milliseconds; 0 stands for
// a time unknown or long ago. The same argument always gives the same result: an
// endpoint whose start seemed later than reported before would pass for restarted.
func (c Clock) AtUnixMilli(unixMilli int64) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	sinceStart := time.UnixMilli(unixMilli).Sub(c.wall)
	return max(0, (clockBase + sinceStart).Truncate(time.Microsecond))
}
