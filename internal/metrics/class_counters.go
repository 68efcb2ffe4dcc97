package metrics

import "sync/atomic"

// Outcomes of a connection, which index ClassCounters.
const (
	outcomeEstablished = iota
	outcomeRejected
	outcomeFailed
	outcomeCount
)

// outcomeNames are the metric names of the outcomes, without namePrefix.
var outcomeNames = [outcomeCount]string{"ok_total", "shed_total", "errors_total"}

// ClassCounters counts the outcomes of the connections of one class since the process started.
// It is safe for concurrent use. Counting on a nil pointer has no effect.
type ClassCounters [outcomeCount]atomic.Int64

// CountEstablished counts a connection once the answer that it is established was sent completely.
func (c *ClassCounters) CountEstablished() { c.add(outcomeEstablished) }

// CountRejected counts a connection whose client was told to retry later.
func (c *ClassCounters) CountRejected() { c.add(outcomeRejected) }

// CountFailed counts a connection whose client was told that it failed.
func (c *ClassCounters) CountFailed() { c.add(outcomeFailed) }

func (c *ClassCounters) add(outcome int) {
	if c != nil {
		c[outcome].Add(1)
	}
}
