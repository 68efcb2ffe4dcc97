package amqp

import (
	"errors"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/throttle"
)

const (
	// maxDeliveriesAhead limits how many deliveries a client may send on a link beyond those sent to the endpoint,
	// whatever credit the endpoint grants. It is a part of the session's window, so that an endpoint that stops reading
	// leaves the rest to other links.
	maxDeliveriesAhead = sessionWindow / 2
	// maxPendingControlFrames limits the flows, dispositions and detaches that are queued for an endpoint. Consecutive
	// flows count as one. All unsettled deliveries can be settled one by one, with flows in between.
	maxPendingControlFrames = 2 * maxUnsettledDeliveries
	// maxPendingControlBytes limits the memory that these frames take. Outcomes of all unsettled deliveries fit, unless
	// most of them have descriptions of several hundred bytes.
	maxPendingControlBytes = 2 << 20
)

// outbox queues the frames of a client's link for its endpoint; one goroutine, in run, sends them. Thus the goroutine
// that reads the client's connection never blocks on an endpoint that stops reading, which would stall other links.
//
// The queue is bounded: transfers by the window of the client's session, which is reopened only as they are forwarded
// (sessionWindow frames of framing.MaxFrameSize bytes for all links of a session), other frames by
// maxPendingControlFrames and maxPendingControlBytes. The memory of all queues is bounded by a memoryBudget.
type outbox struct {
	session      *session // the client's
	upstreamConn *upstream
	onStall      func() // called when the endpoint has accepted no transfer for writeTimeout, before sending stops
	// onTooLarge is called with the error of a frame that is too large for the endpoint, before sending stops.
	onTooLarge func(framing.ConditionError)
	memory     *memoryAccount  // of the client's connection
	meter      *throttle.Meter // of the client's connection

	mu                   sync.Mutex
	queue                []outboxItem
	pendingControlFrames int // items in the queue other than transfers
	pendingControlBytes  int // memory that these take
	unsentTransfers      int // transfers that were not sent completely, also after close
	hadTransfers         bool
	closed               bool
	changed              chan struct{} // signals that an item was added
}

// outboxItem is a frame to be sent to an endpoint.
type outboxItem struct {
	framing.Performative
	payload    []byte
	isTransfer bool
	isFlow     bool
	isMarker   bool   // nothing is sent; onSent is called also if the queue is dropped
	onSent     func() // called after the item was sent; may be nil
}

// outboxItemOverhead is about what an item takes in memory beyond its payload and the size of its performative, in bytes.
const outboxItemOverhead = 256

// memorySize returns about how many bytes an item takes in memory.
func (i outboxItem) memorySize() int {
	return outboxItemOverhead + i.MemorySize() + len(i.payload)
}

func newOutbox(downstream *session, upstreamConn *upstream, onStall func(), onTooLarge func(framing.ConditionError)) *outbox {
	return &outbox{
		session: downstream, upstreamConn: upstreamConn, onStall: onStall, onTooLarge: onTooLarge,
		changed: make(chan struct{}, 1),
	}
}

// enqueue adds an item, and reports false if the queue is full. A closed outbox drops the item.
func (o *outbox) enqueue(item outboxItem) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		if item.isTransfer {
			o.session.releaseTransfers(1)
		}
		return true // the frame crossed the end of the link on the wire
	}
	if !item.isTransfer {
		if last := len(o.queue) - 1; item.isFlow && last >= 0 && o.queue[last].isFlow {
			before := o.queue[last].MemorySize()
			o.queue[last].Performative = mergeFlows(o.queue[last].Performative, item.Performative)
			growth := o.queue[last].MemorySize() - before
			o.pendingControlBytes += growth
			o.memory.add(growth)
			return true
		}
		size := item.MemorySize()
		if o.pendingControlFrames >= maxPendingControlFrames || o.pendingControlBytes+size > maxPendingControlBytes {
			return false
		}
		o.pendingControlFrames++
		o.pendingControlBytes += size
	} else {
		o.unsentTransfers++
		o.hadTransfers = true
	}
	o.queue = append(o.queue, item)
	o.memory.add(item.memorySize())
	o.signalChange()
	return true
}

// mergeFlows returns a flow that has the effect of two consecutive ones.
func mergeFlows(earlier, later framing.Performative) framing.Performative {
	for _, i := range []int{framing.FlowDeliveryCount, framing.FlowLinkCredit, framing.FlowProperties} {
		if later.Field(i) == nil {
			later = later.With(i, earlier.Field(i))
		}
	}
	return later.With(framing.FlowEcho, earlier.Bool(framing.FlowEcho) || later.Bool(framing.FlowEcho))
}

// whenSent calls done once all queued items have been sent or dropped, in the goroutine of run unless that has ended.
func (o *outbox) whenSent(done func()) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		done()
		return
	}
	marker := outboxItem{isMarker: true, onSent: done}
	o.queue = append(o.queue, marker)
	o.memory.add(marker.memorySize())
	o.mu.Unlock()
	o.signalChange()
}

// signalChange wakes run.
func (o *outbox) signalChange() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the next item. It reports false if the queue is empty.
func (o *outbox) dequeue() (outboxItem, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return outboxItem{}, false
	}
	item := o.queue[0]
	o.queue[0] = outboxItem{}
	if o.queue = o.queue[1:]; len(o.queue) == 0 {
		o.queue = nil
	}
	if !item.isTransfer && !item.isMarker {
		o.pendingControlFrames--
		o.pendingControlBytes -= item.MemorySize()
	}
	return item, true
}

// run sends queued items until the endpoint's side ends or a write fails. Pipe starts it in its own goroutine.
func (o *outbox) run() {
	defer o.close()
	for {
		item, found := o.dequeue()
		if !found {
			select {
			case <-o.changed:
			case <-o.upstreamConn.done:
				return
			}
			continue
		}
		began := time.Now()
		err := o.send(item)
		o.meter.Add(time.Since(began))
		if errors.Is(err, errWindowClosed) {
			// The endpoint may still send, so its reader would not notice, and the client would keep sending
			// messages that never arrive.
			o.onStall()
		}
		if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
			o.onTooLarge(conditionErr)
		}
		if err != nil {
			return // the reader of the endpoint's connection reports the failure
		}
	}
}

// send sends an item. It fails with errWindowClosed or, if the item is too large for the endpoint, a ConditionError.
func (o *outbox) send(item outboxItem) error {
	err := o.write(item)
	o.memory.add(-item.memorySize())
	if item.isTransfer {
		o.session.releaseTransfers(1)
	}
	if err == nil && item.isTransfer {
		o.countSentTransfer()
	}
	if err == nil && item.onSent != nil {
		item.onSent()
	}
	return err
}

// countSentTransfer records that a transfer was sent.
func (o *outbox) countSentTransfer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsentTransfers--
}

// hasHadTransfers reports whether a transfer was ever queued.
func (o *outbox) hasHadTransfers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hadTransfers
}

// hasUnsentTransfers reports whether transfers that were queued have not been sent, or were dropped.
func (o *outbox) hasUnsentTransfers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unsentTransfers > 0
}

// write writes an item's frames to the endpoint.
func (o *outbox) write(item outboxItem) error {
	switch {
	case item.isMarker:
		return nil
	case item.isTransfer:
		return o.upstreamConn.sendTransfer(item.Performative, item.payload, nil)
	case item.isFlow:
		return o.upstreamConn.sendFlow(item.Performative)
	case item.Code == framing.CodeDetach:
		return o.upstreamConn.sendDetach(item.Performative)
	}
	return o.upstreamConn.send(item.Performative)
}

// close drops the queue and releases its transfers from the client's session window.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	dropped := o.queue
	o.queue = nil
	o.mu.Unlock()
	transfers := 0
	for _, item := range dropped {
		o.memory.add(-item.memorySize())
		switch {
		case item.isTransfer:
			transfers++
		case item.isMarker:
			item.onSent()
		}
	}
	o.session.releaseTransfers(transfers)
}
