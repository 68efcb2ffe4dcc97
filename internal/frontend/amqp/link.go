package amqp

import (
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
)

// migrateTimeout bounds the wait for the rest of a delivery before its link is moved.
const migrateTimeout = 300 * time.Millisecond

// link is one transaction of a client.
type link struct {
	frontend      *Frontend
	session       *session // the client's
	handle        uint32
	name          string
	attach        framing.Performative // the client's
	clientSends   bool                 // deliveries go from the client to the server
	cancel        func()
	deliveries    *deliveryMap
	creditLimiter creditLimiter

	mu         sync.Mutex
	outbox     *outbox   // what the client has for the server
	upstream   *upstream // the server, once it is the client's
	heartbeat  *proxy.Heartbeat
	clientFlow *framing.Performative // what the client has granted so far
	attachSent bool                  // the client has been answered
	detachSent bool                  // the client has been told of the end
	clientGone bool                  // the client has ended its side
}

// activeOutbox returns what goes to the server while frames pass.
func (l *link) activeOutbox() (*outbox, *proxy.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detachSent || l.clientGone {
		return nil, nil
	}
	return l.outbox, l.heartbeat
}

// enqueue has something sent to the server. A client that says more than its server takes,
// and more than there is room for, loses the link.
func (l *link) enqueue(pending *outbox, p outboxItem) {
	if !pending.enqueue(p) {
		l.detach(framing.CondResourceLimitExceeded, "the application server takes nothing, and too much waits for it", nil)
		l.cancel()
	}
}

// handleFlow passes the client's credit on. Before the link is up it is kept.
func (l *link) handleFlow(p framing.Performative) error {
	l.mu.Lock()
	if l.upstream == nil {
		l.clientFlow = &p
	}
	l.mu.Unlock()
	if pending, _ := l.activeOutbox(); pending != nil {
		l.enqueue(pending, outboxItem{Performative: p.With(framing.FlowHandle, uint32(0)), isFlow: true})
	}
	return nil
}

// handleTransfer passes a delivery of the client on, or a part of one.
func (l *link) handleTransfer(frame framing.Frame) error {
	pending, heartbeat := l.activeOutbox()
	sent := false
	defer func() {
		if !sent {
			l.session.releaseTransfers(1)
		}
	}()
	l.mu.Lock()
	early := l.upstream == nil && !l.detachSent
	l.mu.Unlock()
	switch {
	case !l.clientSends:
		return framing.Errorf(framing.CondNotAllowed, "a receiver sends no transfers")
	case early: // nothing has granted credit yet
		l.detach(framing.CondTransferLimitExceeded, "a transfer without credit", nil)
		l.cancel()
		return nil
	case pending == nil:
		return nil // the end and the transfer have crossed
	}
	p, err := l.deliveries.translateTransfer(frame.Performative, pending.upstreamConn.session)
	if err != nil {
		return err
	}
	if !frame.Bool(framing.TransferMore) && !frame.Bool(framing.TransferSettled) {
		heartbeat.ClientSent()
	}
	next := outboxItem{Performative: p.With(framing.TransferHandle, uint32(0)), payload: frame.Payload, isTransfer: true}
	if !frame.Bool(framing.TransferMore) {
		next.onSent = l.deliverySent
	}
	sent = true
	l.enqueue(pending, next)
	return nil
}

// deliverySent counts a delivery that the server has been sent, and has the client told of
// credit that it has for more.
func (l *link) deliverySent() {
	if p, more := l.creditLimiter.deliverySent(); more {
		l.session.sendFlow(p.With(framing.FlowHandle, l.handle)) // if this fails, the client's reader sees why
	}
}

// handleDisposition passes on what the client says of deliveries, if they are this link's.
func (l *link) handleDisposition(p framing.Performative) {
	// A receiver speaks of what came to it, a sender of what it has sent.
	if pending, _ := l.activeOutbox(); pending != nil && p.Bool(framing.DispositionRole) != l.clientSends {
		for _, q := range l.deliveries.translateDisposition(p, !l.clientSends) {
			l.enqueue(pending, outboxItem{Performative: q})
		}
	}
}

// handleDetach takes the client's detach. Before the link is up, the client has
// left; after that, the detach is the server's to answer.
func (l *link) handleDetach(p framing.Performative) {
	l.mu.Lock()
	l.clientGone = true
	upstreamConn, pending, detachSent := l.upstream, l.outbox, l.detachSent
	l.mu.Unlock()
	switch {
	case detachSent:
	case upstreamConn == nil:
		l.cancel()
	default:
		l.enqueue(pending, outboxItem{Performative: p.With(framing.DetachHandle, uint32(0))})
		upstreamConn.limitRemaining(closeTimeout)
	}
}

// handleDisconnect ends the server's side as the client's has ended.
func (l *link) handleDisconnect() {
	l.mu.Lock()
	l.clientGone = true
	upstreamConn := l.upstream
	l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
	if upstreamConn != nil {
		upstreamConn.Close()
	}
}

// finish answers a client that has detached while its link was open.
func (l *link) finish() { l.detach("", "", nil) }

// detach tells the client of the end, once: it tells whether this was the first. It needs no credit.
func (l *link) detach(condition, description string, info codec.Map) bool {
	l.mu.Lock()
	if l.detachSent {
		l.mu.Unlock()
		return false
	}
	l.detachSent = true
	answered := l.attachSent
	l.mu.Unlock()
	downstream := l.session
	if !answered { // the standard wants an attach first, without what the relay would own
		p := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{l.name, l.handle, l.clientSends, nil, nil, l.attach.Field(framing.AttachSource), l.attach.Field(framing.AttachTarget)}}
		if l.clientSends {
			p = p.With(framing.AttachTarget, nil)
		} else {
			p = p.With(framing.AttachSource, nil).With(framing.AttachInitialDeliveryCount, uint32(0))
		}
		if downstream.writeFrame(downstream.channel, p, nil) != nil {
			return true
		}
	}
	downstream.writeFrame(downstream.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.handle, true, framing.NewErrorValue(condition, description, info)}}, nil)
	return true
}

// BadRequest answers what makes no sense.
func (l *link) BadRequest(description string) { l.detach(framing.CondNotAllowed, description, nil) }

// Reject answers that trying again is harmless.
func (l *link) Reject(retryAfter time.Duration) {
	l.detach(framing.CondResourceLimitExceeded, "no application server takes it", retryAfterInfo(retryAfter))
}

// Fail answers what promises nothing.
func (l *link) Fail() { l.detach(framing.CondInternalError, "the transaction has failed", nil) }

// Migrate sends the client away politely: between two deliveries, if the one that
// is under way ends in time.
func (l *link) Migrate() bool {
	select {
	case <-l.deliveries.boundary():
	case <-time.After(migrateTimeout):
	}
	return l.detach(framing.CondDetachForced, "the client is to come again", nil)
}
