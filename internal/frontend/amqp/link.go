package amqp

import (
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
)

// migrateTimeout bounds the wait for the rest of a delivery before its link is migrated.
const migrateTimeout = 300 * time.Millisecond

// link is a link of a client, which is one request. It implements the proxy's downstream: the goroutine of
// clientSession.serveLink calls Attempt, Pipe, Reject and Fail, the reader of the client's connection calls the handle
// methods.
type link struct {
	frontend      *Frontend
	session       *session // of the client
	handle        uint32
	name          string
	attach        framing.Performative // of the client
	clientSends   bool                 // the client is the sender
	cancel        func()               // ends the request; nil if it never began
	deliveries    *deliveryMap
	creditLimiter creditLimiter

	mu         sync.Mutex
	outbox     *outbox   // to the endpoint; nil until the link is established
	upstream   *upstream // nil until the link is established
	heartbeat  *proxy.Heartbeat
	clientFlow *framing.Performative // the last, until the link is established
	attachSent bool                  // the client's attach has been answered
	detachSent bool                  // the client has been sent the end
	clientGone bool                  // the client has detached, or its connection has ended
}

// activeOutbox returns the outbox while neither side has ended the link; nil otherwise, and before it is established.
func (l *link) activeOutbox() (*outbox, *proxy.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detachSent || l.clientGone {
		return nil, nil
	}
	return l.outbox, l.heartbeat
}

// enqueue has an item sent to the endpoint. If the outbox is full, the link is detached.
func (l *link) enqueue(pending *outbox, item outboxItem) {
	if !pending.enqueue(item) {
		l.detach(framing.CondResourceLimitExceeded, "the application server takes nothing, and too much waits for it", nil)
		l.cancel()
	}
}

// handleFlow forwards a flow of the client, or retains it until the link is established.
func (l *link) handleFlow(flow framing.Performative) error {
	l.mu.Lock()
	if l.upstream == nil {
		l.clientFlow = &flow
	}
	l.mu.Unlock()
	if pending, _ := l.activeOutbox(); pending != nil {
		l.enqueue(pending, outboxItem{Performative: flow.With(framing.FlowHandle, uint32(0)), isFlow: true})
	}
	return nil
}

// handleTransfer forwards a transfer of the client. A ConditionError ends the client's session.
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
		return nil // the transfer has crossed the end
	}
	transfer, err := l.deliveries.translateTransfer(frame.Performative, pending.upstreamConn.session)
	if err != nil {
		return err
	}
	if !frame.Bool(framing.TransferMore) && !frame.Bool(framing.TransferSettled) {
		heartbeat.ClientSent()
	}
	next := outboxItem{Performative: transfer.With(framing.TransferHandle, uint32(0)), payload: frame.Payload, isTransfer: true}
	if !frame.Bool(framing.TransferMore) {
		next.onSent = l.deliverySent
	}
	sent = true
	l.enqueue(pending, next)
	return nil
}

// deliverySent counts a delivery that the endpoint has been sent, and grants the client more credit in time.
func (l *link) deliverySent() {
	if flow, more := l.creditLimiter.deliverySent(); more {
		l.session.sendFlow(flow.With(framing.FlowHandle, l.handle)) // on failure the reader of the client's connection sees why
	}
}

// handleDisposition forwards a disposition of the client, as far as it names deliveries of this link.
func (l *link) handleDisposition(disposition framing.Performative) {
	// A receiver settles what it has received, a sender what it has sent.
	if pending, _ := l.activeOutbox(); pending != nil && disposition.Bool(framing.DispositionRole) != l.clientSends {
		for _, translated := range l.deliveries.translateDisposition(disposition, !l.clientSends) {
			l.enqueue(pending, outboxItem{Performative: translated})
		}
	}
}

// handleDetach handles the client's detach. Before the link is established it cancels the request; after that the
// endpoint answers the detach, within closeTimeout.
func (l *link) handleDetach(detach framing.Performative) {
	l.mu.Lock()
	l.clientGone = true
	upstreamConn, pending, detachSent := l.upstream, l.outbox, l.detachSent
	l.mu.Unlock()
	switch {
	case detachSent:
	case upstreamConn == nil:
		l.cancel()
	default:
		l.enqueue(pending, outboxItem{Performative: detach.With(framing.DetachHandle, uint32(0))})
		upstreamConn.limitRemaining(closeTimeout)
	}
}

// handleDisconnect ends the request and the endpoint's side, as the client's side has ended.
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

// finish answers a client that has detached while its link was established.
func (l *link) finish() { l.detach("", "", nil) }

// detach sends the client a detach, once: it reports whether this was the first. Without a condition it is a normal end.
// It needs no credit.
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
	if !answered && downstream.writeFrame(downstream.channel, l.rejectingAttach(), nil) != nil {
		return true
	}
	errorValue := framing.NewErrorValue(condition, description, info)
	detach := framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.handle, true, errorValue}}
	downstream.writeFrame(downstream.channel, detach, nil)
	return true
}

// rejectingAttach is the attach that precedes the detach of a rejected link (section 2.6.3): it lacks the terminus that
// the relay's side would own.
func (l *link) rejectingAttach() framing.Performative {
	source, target := l.attach.Field(framing.AttachSource), l.attach.Field(framing.AttachTarget)
	attach := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		l.name, l.handle, l.clientSends, nil, nil, source, target,
	}}
	if l.clientSends {
		return attach.With(framing.AttachTarget, nil)
	}
	return attach.With(framing.AttachSource, nil).With(framing.AttachInitialDeliveryCount, uint32(0))
}

// BadRequest detaches the link as invalid.
func (l *link) BadRequest(description string) { l.detach(framing.CondNotAllowed, description, nil) }

// Reject detaches the link, whose request has not run: the client may retry, after retryAfter if that is known.
func (l *link) Reject(retryAfter time.Duration) {
	l.detach(framing.CondResourceLimitExceeded, "no application server takes it", retryAfterInfo(retryAfter))
}

// Fail detaches the link, whose request may have run.
func (l *link) Fail() { l.detach(framing.CondInternalError, "the transaction has failed", nil) }

// Migrate detaches the link so that the client attaches again elsewhere: between two deliveries, if the current one ends
// within migrateTimeout. It reports whether the link had not been detached before.
func (l *link) Migrate() bool {
	select {
	case <-l.deliveries.boundary():
	case <-time.After(migrateTimeout):
	}
	return l.detach(framing.CondDetachForced, "the client is to come again", nil)
}
