package simulation

import (
	"time"
)

// eventKind is what happens at an event.
type eventKind uint8

const (
	eventClientArrives    eventKind = iota // the next new client
	eventRequestArrives                    // a client's request reaches its relay
	eventTimer                             // of a relay: token
	eventAttemptArrives                    // an attempt reaches its server
	eventAttemptResult                     // a server's answer reaches the relay: status
	eventAttemptTimeout                    // a relay waits no longer for an attempt
	eventDeadline                          // a client waits no longer
	eventLifetimeEnds                      // a client leaves for good
	eventClientReturns                     // a client returns
	eventHeartbeatTimeout                  // a relay notices that a server hangs
	eventListUpdate                        // an update of the endpoint list reaches a relay
	eventProbesDue                         // a relay sends the probes that are due
	eventProbeResult                       // the result of a probe reaches its relay
	eventTick
	eventScriptedAction
	eventMigrateClients // a server that drains migrates clients
	eventServerStops    // a server that drained, or is killed, stops
	eventServerRecovers
	eventRelayStarts // a relay restarts
)

type scheduledEvent struct {
	at         time.Duration
	sequence   uint64
	kind       eventKind
	subject    uint32 // of a client, relay or server
	generation uint32 // of the client's state or attempt that it is about, or a timer's token
	value      uint32 // by kind: a status, a server, an action, an incarnation
}

// eventQueue is a heap of events, the next on top; events of one time are in the order in
// which they were scheduled.
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
	n := len(heap) - 1
	heap[0] = heap[n]
	heap = heap[:n]
	*q = heap
	for i := 0; ; {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && heap.less(child+1, child) {
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
