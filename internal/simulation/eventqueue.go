package simulation

import (
	"time"
)

// eventKind says how an event is handled.
type eventKind uint8

const (
	eventClientArrives    eventKind = iota // a new client arrives
	eventRequestArrives                    // a client's request reaches its relay
	eventTimer                             // a relay's timer expires; generation is its token
	eventAttemptArrives                    // an attempt reaches its server
	eventAttemptResult                     // a server's answer reaches the relay; value is its status
	eventAttemptTimeout                    // an attempt times out
	eventDeadline                          // a client's request reaches its deadline
	eventLifetimeEnds                      // a client leaves
	eventClientReturns                     // a client connects again
	eventHeartbeatTimeout                  // a relay closes the connection of a client to a hung server
	eventListUpdate                        // an update of the endpoint list reaches a relay
	eventProbesDue                         // a relay sends the probes that are due
	eventProbeResult                       // the result of a probe reaches its relay
	eventTick                              // servers' delays and the statistics are updated
	eventScriptedAction                    // an action of the script begins
	eventMigrateClients                    // a draining server migrates clients
	eventServerStops                       // a server stops after its drain, or fails if generation is 1
	eventServerRecovers                    // a server's downtime, hang or slowness ends
	eventRelayStarts                       // a relay starts again
)

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	at         time.Duration
	sequence   uint64
	kind       eventKind
	subject    uint32 // index of a client or relay
	generation uint32 // of the client's state or attempt, incarnation of the relay, or token of a timer
	value      uint32 // by kind: a status, a delay, an incarnation, or the index of a server or action
}

// eventQueue is a binary min-heap of events by time, then by sequence number.
type eventQueue []scheduledEvent

func (q eventQueue) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q *eventQueue) push(event scheduledEvent) {
	*q = append(*q, event)
	heap := *q
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap.less(i, parent) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
}

func (q *eventQueue) pop() scheduledEvent {
	heap := *q
	top := heap[0]
	count := len(heap) - 1
	heap[0] = heap[count]
	heap = heap[:count]
	*q = heap
	for i := 0; ; {
		child := 2*i + 1
		if child >= count {
			break
		}
		if child+1 < count && heap.less(child+1, child) {
			child++
		}
		if !heap.less(child, i) {
			break
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
	return top
}
