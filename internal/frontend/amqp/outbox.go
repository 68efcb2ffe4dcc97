package amqp

import (
	"errors"
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

const (
	// maxDeliveriesAhead is how many deliveries a client may send on a link beyond those that its
	// server has been sent, whatever credit the server grants: a part of the session's
	// window, so that a server which stops reading leaves the rest to other links.
	maxDeliveriesAhead = sessionWindow / 2
	// maxPendingControlFrames is how many flows, dispositions and detaches of a client may wait for a
	// server. Flows are one, as each says all that the last did.
	maxPendingControlFrames = maxUnsettledDeliveries + 16
)

// outbox holds what a client's link has for its server, and one goroutine sends it. It
// guards against a server that stops reading: the goroutine that reads the client's
// connection never waits for it, and other links of the connection go on.
//
// Its room is bounded: transfers by the window of the client's session, which is opened
// again only as they leave (windowMost frames of ourMost bytes for all links of a
// session), the rest by wordsMost.
type outbox struct {
	session      *session // the client's
	upstreamConn *upstream
	onStall      func() // told that the server has taken no transfer for long, and nothing more goes to it

	mu                   sync.Mutex
	queue                []outboxItem
	pendingControlFrames int // that are no transfers
	closed               bool
	changed              chan struct{} // a value when something has been put in
}

// outboxItem is one thing for a server.
type outboxItem struct {
	framing.Performative
	payload    []byte
	isTransfer bool
	isFlow     bool
	onSent     func() // called after a transfer that ends a delivery has been sent
}

func newOutbox(s *session, upstreamConn *upstream, onStall func()) *outbox {
	return &outbox{session: s, upstreamConn: upstreamConn, onStall: onStall, changed: make(chan struct{}, 1)}
}

// enqueue takes something for the server. It fails where there is no room for it.
func (o *outbox) enqueue(item outboxItem) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		if item.isTransfer {
			o.session.releaseTransfers(1)
		}
		return true // the end has crossed it
	}
	if !item.isTransfer {
		if transfers := len(o.queue); item.isFlow && transfers > 0 && o.queue[transfers-1].isFlow {
			o.queue[transfers-1] = item
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

// dequeue takes out the next thing.
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

// run sends what is put in until the server's side stops.
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
			o.onStall() // the other direction may go on: deliveries would be taken for a server that never gets them
		}
		if err != nil {
			return // else the other direction sees why
		}
	}
}

// close lets go of what waits.
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
