package registry

import (
	"sync/atomic"

	"lockroad/balancer"
)

// End is how a request ended.
type End uint8

// The ends of a request.
const (
	EndClosed           End = iota // it was established, and one side has closed it
	EndRejected                    // its client was told to retry later
	EndFailed                      // its client was told that it has failed
	EndClientLeft                  // its client left before its answer
	EndMigrated                    // its client was migrated
	EndHeartbeatTimeout            // its endpoint sent nothing within the heartbeat timeout; its client was migrated
	EndHandedOff                   // it is established, and another process carries it on
	endKinds
)

// EndNames are the names of the ends, in the order of their numbers.
var EndNames = []string{"ended", "unavailable", "failed", "client_left", "moved", "silent", "handed_over"}

// String returns the name of an end.
func (e End) String() string {
	if e >= endKinds {
		return "unknown"
	}
	return EndNames[e]
}

// attemptStatuses is how many values balancer.AttemptStatus has.
const attemptStatuses = 9

// StatusNames are the names of the statuses of an attempt, in the order of their numbers.
var StatusNames = []string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "sent_away"}

// Counters counts what has happened since the process began.
type Counters struct {
	Requests       atomic.Int64 // entered into the registry
	Established    atomic.Int64 // accepted by an endpoint
	ProtocolErrors atomic.Int64 // by clients
	ends           [endKinds]atomic.Int64
	attempts       [attemptStatuses]atomic.Int64
}

// CountAttempt counts the end of an attempt.
func (c *Counters) CountAttempt(status balancer.AttemptStatus) { c.attempts[status].Add(1) }

// Attempts returns how many attempts have ended with a status.
func (c *Counters) Attempts(status balancer.AttemptStatus) int64 { return c.attempts[status].Load() }

// CountEnd counts the end of a request.
func (c *Counters) CountEnd(end End) { c.ends[end].Add(1) }

// EndCount is how many requests ended in one way.
type EndCount struct {
	Name  string
	Count int64
}

// Ends returns how many requests ended in each way, in the order of the ends.
func (c *Counters) Ends() []EndCount {
	var counts []EndCount
	for end := range endKinds {
		counts = append(counts, EndCount{Name: end.String(), Count: c.ends[end].Load()})
	}
	return counts
}
