package proxy

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestUnixTimesAreConvertedToClockTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		time.Sleep(time.Minute)
		started := time.Now().Add(-10 * time.Second).UnixMilli()
		if got := clock.AtUnixMilli(started); got < clock.Now()-10*time.Second-ms || got > clock.Now()-10*time.Second+ms {
			t.Errorf("10 s ago was converted to %v, want 10 s before %v", got, clock.Now())
		}
		if got := clock.AtUnixMilli(0); got != 0 {
			t.Errorf("an unknown time was converted to %v, want 0", got)
		}
		if now := clock.Now(); now%time.Microsecond != 0 {
			t.Errorf("the clock time is %v, want whole microseconds", now)
		}
	})
}
