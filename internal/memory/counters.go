package memory

import (
	"sync/atomic"

	"lockroad/balance"
)

// Counters counts what has happened since the start.
type Counters struct {
	Transactions atomic.Int64 // taken
	Up           atomic.Int64 // accepted by an application server
	Unavailable  atomic.Int64 // unavailable answers
	Failed       atomic.Int64 // failed answers
	ClientLeft   atomic.Int64 // left before their answer
	Moved        atomic.Int64 // sent away politely
	Silent       atomic.Int64 // ended as their server went silent
	BadLines     atomic.Int64 // openings that made no sense
	passes       [8]atomic.Int64
}

// Statuses are the outcomes of a pass, in the order of their numbers.
var Statuses = []string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}

// Pass counts the end of a pass.
func (c *Counters) Pass(how balance.Status) { c.passes[how].Add(1) }

// Passes returns how many passes have ended in a way.
func (c *Counters) Passes(how balance.Status) int64 { return c.passes[how].Load() }
