package registry

import (
	"sync/atomic"

	"lockroad/balancer"
)

// End is how a transaction came to its end.
type End uint8

// The ends of a transaction.
const (
	EndClosed           End = iota // it stood, and one side has ended it
	EndRejected                    // the unavailable answer
	EndFailed                      // the failed answer
	EndClientLeft                  // its client left before its answer
	EndMigrated                    // its client was sent away politely
	EndHeartbeatTimeout            // its server went silent; its client was sent away
	EndHandedOff                   // it stands, and another process carries it on
	ends
)

// EndNames are the names of the ends, in the order of their numbers.
var EndNames = []string{"ended", "unavailable", "failed", "client_left", "moved", "silent", "handed_over"}

func (e End) String() string {
	if e >= ends {
		return "unknown"
	}
	return EndNames[e]
}

// Counters counts what has happened since the start.
type Counters struct {
	Requests       atomic.Int64 // taken
	Established    atomic.Int64 // accepted by an application server
	ProtocolErrors atomic.Int64 // openings that made no sense
	ends           [ends]atomic.Int64
	passes         [9]atomic.Int64
}

// StatusNames are the outcomes of a pass, in the order of their numbers.
var StatusNames = []string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "sent_away"}

// CountAttempt counts the end of a pass.
func (c *Counters) CountAttempt(how balancer.AttemptStatus) { c.passes[how].Add(1) }

// Attempts returns how many passes have ended in a way.
func (c *Counters) Attempts(how balancer.AttemptStatus) int64 { return c.passes[how].Load() }

// CountEnd counts the end of a transaction.
func (c *Counters) CountEnd(e End) { c.ends[e].Add(1) }

// EndCount is how many transactions came to one kind of end.
type EndCount struct {
	Name  string
	Count int64
}

// Ends returns how many transactions came to each kind of end.
func (c *Counters) Ends() []EndCount {
	var out []EndCount
	for e := range ends {
		out = append(out, EndCount{e.String(), c.ends[e].Load()})
	}
	return out
}
