package memory

import (
	"sync/atomic"

	"lockroad/balancer"
)

// End is how a transaction came to its end.
type End uint8

// The ends of a transaction.
const (
	Ended       End = iota // it stood, and one side has ended it
	Unavailable            // the unavailable answer
	Failed                 // the failed answer
	ClientLeft             // its client left before its answer
	Moved                  // its client was sent away politely
	Silent                 // its server went silent; its client was sent away
	HandedOver             // it stands, and another process carries it on
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
	Transactions atomic.Int64 // taken
	Up           atomic.Int64 // accepted by an application server
	BadLines     atomic.Int64 // openings that made no sense
	ends         [ends]atomic.Int64
	passes       [9]atomic.Int64
}

// Statuses are the outcomes of a pass, in the order of their numbers.
var Statuses = []string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "sent_away"}

// Pass counts the end of a pass.
func (c *Counters) Pass(how balancer.AttemptStatus) { c.passes[how].Add(1) }

// Passes returns how many passes have ended in a way.
func (c *Counters) Passes(how balancer.AttemptStatus) int64 { return c.passes[how].Load() }

// End counts the end of a transaction.
func (c *Counters) End(e End) { c.ends[e].Add(1) }

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
