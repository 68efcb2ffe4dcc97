package registry

import (
	"sync/atomic"

	"lockroad/balancer"
)

// End is how a request ended.
type End uint8

// The ways in which a request can end.
const (
	EndClosed           End = iota // client or endpoint closed the established connection
	EndRejected                    // the client was told to retry later
	EndFailed                      // the client was told that the request has failed
	EndClientLeft                  // the client left before it was answered
	EndMigrated                    // the client was migrated
	EndHeartbeatTimeout            // the endpoint sent nothing within the heartbeat timeout; the client was migrated
	EndHandedOff                   // the established connection was handed off to another process
	endKinds
)

// EndNames are the names of the ends, indexed by End.
var EndNames = []string{"ended", "unavailable", "failed", "client_left", "moved", "silent", "handed_over"}

// String returns the name of an end, or "unknown".
func (e End) String() string {
	if e >= endKinds {
		return "unknown"
	}
	return EndNames[e]
}

// attemptStatusCount is the number of values of balancer.AttemptStatus.
const attemptStatusCount = 9

// StatusNames are the names of the attempt statuses, indexed by balancer.AttemptStatus.
var StatusNames = []string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "sent_away"}

// Counters counts events since the start of the process.
type Counters struct {
	Requests       atomic.Int64 // added to the registry
	Established    atomic.Int64 // accepted by an endpoint
	ProtocolErrors atomic.Int64 // protocol violations by clients
	ends           [endKinds]atomic.Int64
	attempts       [attemptStatusCount]atomic.Int64
}

// CountAttempt counts an attempt that has ended with a status.
func (c *Counters) CountAttempt(status balancer.AttemptStatus) { c.attempts[status].Add(1) }

// Attempts returns the number of attempts that have ended with a status.
func (c *Counters) Attempts(status balancer.AttemptStatus) int64 { return c.attempts[status].Load() }

// CountEnd counts a request that has ended.
func (c *Counters) CountEnd(end End) { c.ends[end].Add(1) }

// EndCount is the number of requests with one kind of end.
type EndCount struct {
	Name  string
	Count int64
}

// Ends returns the number of requests for each kind of end, ordered by End.
func (c *Counters) Ends() []EndCount {
	var counts []EndCount
	for end := range endKinds {
		counts = append(counts, EndCount{Name: end.String(), Count: c.ends[end].Load()})
	}
	return counts
}
