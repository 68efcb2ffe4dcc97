package metrics

import "sync/atomic"

// What may become of a connection.
const (
	outcomeEstablished = iota
	outcomeRejected
	outcomeFailed
	outcomeCount
)

// outcomeNames are the names of the counters of each outcome, after namePrefix.
var outcomeNames = [outcomeCount]string{"ok_total", "shed_total", "errors_total"}

// ClassCounters counts the outcomes of the connections of one class since the process
// began. It is safe for concurrent use. A nil pointer belongs to no class, and counts
// nothing.
type ClassCounters [outcomeCount]atomic.Int64

// CountEstablished counts a connection whose client was notified, to the last byte, that
// it is established.
func (c *ClassCounters) CountEstablished() { c.add(outcomeEstablished) }

// CountRejected counts a connection whose client was told to retry later.
func (c *ClassCounters) CountRejected() { c.add(outcomeRejected) }

// CountFailed counts a connection whose client was told that it has failed.
func (c *ClassCounters) CountFailed() { c.add(outcomeFailed) }

func (c *ClassCounters) add(outcome int) {
	if c != nil {
		c[outcome].Add(1)
	}
}
