package balancer

import (
	"time"
)

// setups is how long set-ups take now, as far as a relay that may see few of them can tell.
type setups struct {
	took time.Duration
	at   time.Duration // it was last heard of

	cut time.Duration // one was given up after this, at the server by, and none has stood since; 0: none was
	by  EndpointID
}

// setupLife is how long that holds: what slows all set-ups passes within it.
const setupLife = 30 * time.Second

// usual is the time that a set-up takes; 0 if none was seen lately.
func (u *setups) usual(now time.Duration) time.Duration {
	if now >= u.at+setupLife {
		return 0
	}
	return u.took
}

// stood notes a set-up that stands. A quick one halves what a slow one has left behind.
func (u *setups) stood(took, now time.Duration) {
	u.took, u.at, u.cut = max(took, (u.usual(now)+took)/2), now, 0
}

// cutOff notes one that was given up after a time. One server may hang; where a second keeps a set-up as
// long, with none that stood between them, it is what they take at the least.
func (u *setups) cutOff(at EndpointID, after, now time.Duration) {
	if u.cut > 0 && u.by != at {
		u.took, u.at = max(u.cut, after, u.usual(now)), now
	}
	u.cut, u.by = max(after, u.cut), at
}
