package amqp

import (
	"errors"
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

const (
	// maxDeliveriesAhead is how many deliveries a client may send on a link beyond those that the endpoint has been sent,
	// whatever credit the endpoint grants: a part of the session's window, so that an endpoint that stops reading leaves
	// the rest to other links.
	maxDeliveriesAhead = sessionWindow / 2
	// maxPendingControlFrames is how many flows, dispositions and detaches of a client may wait for an endpoint.
	// Consecutive flows count as one, as each replaces the last.
	maxPendingControlFrames = maxUnsettledDeliveries + 16
)

// outbox queues what a client's link sends to its endpoint; one goroutine, in run, sends it. The goroutine that reads the
// client's connection so never waits for an endpoint that stops reading, and other links of the connection go on.
//
// The queue is bounded: transfers by the window of the client's session, which is reopened only as they are sent
// (sessionWindow frames of framing.MaxFrameSize bytes for all links of a session), the rest by maxPendingControlFrames.
type outbox struct {
	session      *session // of the client
	upstreamConn *upstream
	onStall      func() // called when the endpoint has accepted no transfer for writeTimeout; nothing more is sent to it

	mu                   sync.Mutex
	queue                []outboxItem
	pendingControlFrames int // items in the queue that are no transfers
	closed               bool
	changed              chan struct{} // has a value when an item has been added
}

// outboxItem is a frame for an endpoint.
type outboxItem struct {
	framing.Performative
	payload    []byte
	isTransfer bool
	isFlow     bool
	onSent     func() // called after the last transfer of a delivery has been sent; nil: not called
}

func newOutbox(downstream *session, upstreamConn *upstream, onStall func()) *outbox {
	return &outbox{session: downstream, upstreamConn: upstreamConn, onStall: onStall, changed: make(chan struct{}, 1)}
}

// enqueue adds an item. It reports false where there is no room. After the end the item is dropped.
func (o *outbox) enqueue(item outboxItem) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		if item.isTransfer {
			o.session.releaseTransfers(1)
		}
		return true // it has crossed the end
	}
	if !item.isTransfer {
		if last := len(o.queue) - 1; item.isFlow && last >= 0 && o.queue[last].isFlow {
			o.queue[last] = item
			return true
		}
		if o.pendingControlFrames >= maxPendingControlFrames {
			return false
		}
		o.pendingControlFrames++
	}
	o.queue = append(o.queue, item)
	select {
	case o.changed <- struct{}{}:
	default:
	}
	return true
}

// dequeue removes the next item. It reports false if there is none.
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
	if !item.isTransfer {
		o.pendingControlFrames--
	}
	return item, true
}

// run sends items until the endpoint's side ends or a write fails. Pipe starts it in a goroutine.
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
		var err error
		switch {
		case item.isTransfer:
			err = o.upstreamConn.sendTransfer(item.Performative, item.payload)
			o.session.releaseTransfers(1)
			if err == nil && item.onSent != nil {
				item.onSent()
			}
		case item.isFlow:
			err = o.upstreamConn.sendFlow(item.Performative)
		default:
			err = o.upstreamConn.writeFrame(o.upstreamConn.channel, item.Performative, nil)
		}
		if errors.Is(err, errWindowClosed) {
			o.onStall() // the other direction may still work, and the link would accept deliveries that never arrive
		}
		if err != nil {
			return // the reader of the endpoint's connection sees why
		}
	}
}

// close drops the queue, and gives its transfers' places in the client's window back.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	transfers := 0
	for _, item := range o.queue {
		if item.isTransfer {
			transfers++
		}
	}
	o.queue = nil
	o.session.releaseTransfers(transfers)
}
