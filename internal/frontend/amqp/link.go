package amqp

import (
	"context"
	"errors"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
	"lockroad/internal/throttle"
)

// Bounds of the wait for deliveries that have begun before their link is migrated.
const (
	migrateTimeout = 300 * time.Millisecond // without a delivery being passed on
	migrateLimit   = 5 * time.Second        // in all
)

// clientWindowTimeout is unlimited: a client closes its window to be sent nothing for now (section 2.5.6). What waits for
// it is one transfer, and what the endpoint may send beyond that.
const clientWindowTimeout = 0

// link is a link of a client and carries one request. It implements proxy.Downstream. The goroutine of
// clientSession.serveLink calls Attempt, Pipe, Reject and Fail; the reader of the client's connection calls the handle
// methods.
type link struct {
	frontend    *Frontend
	client      *linkEnd // its end in the client's session
	name        string
	attach      framing.Performative // the client's
	clientSends bool                 // the client is the sender
	cancel      func()               // cancels the request; nil if it was never started
	deliveries  *deliveryMap
	memory      *memoryAccount  // the client connection's
	meter       *throttle.Meter // the client connection's

	mu         sync.Mutex
	outbox     *outbox        // frames for the endpoint; nil until the link is established
	credit     *creditLimiter // of the sender, which is the client or the endpoint; nil until the link is established
	upstream   *upstream      // nil until the link is established
	heartbeat  *proxy.Heartbeat
	clientFlow *framing.Performative // the client's last flow before the link was established
	detachSent bool                  // the relay has sent the client a detach
	clientGone bool                  // the client has detached, or its connection has ended
}

// isDetached reports whether the relay has detached the link.
func (l *link) isDetached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detachSent
}

// activeOutbox returns the outbox of an established link that neither side has ended; nil otherwise.
func (l *link) activeOutbox() (*outbox, *proxy.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detachSent || l.clientGone {
		return nil, nil
	}
	return l.outbox, l.heartbeat
}

// enqueue queues an item for the endpoint. If the outbox is full, it detaches the link and cancels the request.
func (l *link) enqueue(queue *outbox, item outboxItem) {
	if !queue.enqueue(item) {
		l.detach(framing.CondResourceLimitExceeded, "the application server takes nothing, and too much waits for it", nil)
		l.cancel()
	}
}

// handleFlow forwards a flow of the client, or keeps it until the link is established.
func (l *link) handleFlow(flow framing.Performative) error {
	l.mu.Lock()
	if l.upstream == nil {
		l.clientFlow = &flow
	}
	l.mu.Unlock()
	if queue, _ := l.activeOutbox(); queue != nil {
		l.forwardFlowToEndpoint(flow)
	}
	return nil
}

// forwardFlowToEndpoint forwards a flow of the client on an established link.
func (l *link) forwardFlowToEndpoint(flow framing.Performative) {
	if l.clientSends {
		l.credit.senderFlow(flow)
		l.enqueue(l.outbox, outboxItem{Performative: flow, isFlow: true})
		return
	}
	_ = l.credit.forwardReceiverFlow(flow) // only queues the flow
}

// sendCredit sends a flow with credit to the sender of the link. The credit limiter calls it.
func (l *link) sendCredit(flow framing.Performative) error {
	if l.clientSends {
		return l.client.sendFlow(flow)
	}
	l.enqueue(l.outbox, outboxItem{Performative: flow, isFlow: true})
	return nil
}

// handleTransfer forwards a transfer of the client. A ConditionError ends the client's session.
func (l *link) handleTransfer(frame framing.Frame) error {
	queue, heartbeat := l.activeOutbox()
	queued := false
	defer func() {
		if !queued {
			l.client.releaseTransfers(1)
		}
	}()
	l.mu.Lock()
	early := l.upstream == nil && !l.detachSent
	l.mu.Unlock()
	switch {
	case !l.clientSends:
		return framing.Errorf(framing.CondNotAllowed, "a receiver sends no transfers")
	case early: // no credit has been granted yet
		l.detach(framing.CondTransferLimitExceeded, "a transfer without credit", nil)
		l.cancel()
		return nil
	case queue == nil:
		return nil // the transfer crossed the detach on the wire
	}
	arrived, err := l.deliveries.receive(frame.Performative)
	if errors.Is(err, errLinkEnded) { // the relay is about to detach
		return nil
	}
	if err != nil {
		return err
	}
	if arrived.first {
		l.credit.deliveryArrived()
	}
	transfer := l.deliveries.translate(frame.Performative, queue.upstreamConn.session)
	if arrived.last && !arrived.final {
		heartbeat.ClientSent()
	}
	item := outboxItem{Performative: transfer, payload: frame.Payload, isTransfer: true}
	if arrived.last {
		item.onSent = l.deliverySent
	}
	queued = true
	l.enqueue(queue, item)
	_ = l.credit.deliveriesFinished(l.deliveries.finishCurrent()) // a failure also ends the connection's reader
	return nil
}

// deliverySent records that a delivery was sent to the endpoint.
func (l *link) deliverySent() {
	l.deliveries.sent()
	_ = l.credit.deliveryPassedOn() // a failure also ends the connection's reader
}

// handleDisposition forwards a disposition of the client for those of its deliveries that belong to this link.
func (l *link) handleDisposition(disposition framing.Performative) {
	// The role of a disposition is that of its sender: a receiver settles received deliveries, a sender sent ones.
	if queue, _ := l.activeOutbox(); queue != nil && disposition.Bool(framing.DispositionRole) != l.clientSends {
		dispositions, settled := l.deliveries.translateDisposition(disposition, !l.clientSends)
		for _, translated := range dispositions {
			l.enqueue(queue, outboxItem{Performative: translated})
		}
		_ = l.credit.deliveriesFinished(settled) // a failure also ends the connection's reader
	}
}

// drainTimeout bounds how long an endpoint may take for the frames that wait for it when their client ends the link.
const drainTimeout = 30 * time.Second

// handleDetach handles the client's detach. Before the link is established it cancels the request; afterwards it
// forwards the detach behind the frames that wait for the endpoint. The endpoint must answer it within closeTimeout
// after it was sent.
func (l *link) handleDetach(detach framing.Performative) {
	l.mu.Lock()
	l.clientGone = true
	upstreamConn, queue, detachSent := l.upstream, l.outbox, l.detachSent
	l.mu.Unlock()
	l.client.closeTransfers()
	switch {
	case detachSent:
	case upstreamConn == nil:
		l.cancel()
	default:
		upstreamConn.limitRemaining(drainTimeout)
		l.enqueue(queue, outboxItem{Performative: detach, onSent: func() { upstreamConn.limitRemaining(closeTimeout) }})
	}
}

// cancelPending cancels the request unless it is established.
func (l *link) cancelPending() {
	l.mu.Lock()
	pending := l.upstream == nil && !l.detachSent
	l.mu.Unlock()
	if pending {
		l.cancel()
	}
}

// handleSessionEnd handles the client's end of the session, or its close of the connection, like a detach of the link.
func (l *link) handleSessionEnd() {
	l.handleDetach(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}})
}

// handleDisconnect ends the request after the client's connection was lost, or a violation of the standard has ended it or
// the session. What the client has sent on an established link is passed on first. If there were deliveries, the endpoint's
// side then ends with a detach: closing the connection could make the endpoint lose what it has not read yet.
func (l *link) handleDisconnect() {
	l.mu.Lock()
	upstreamConn, queue, detachSent := l.upstream, l.outbox, l.detachSent
	established := upstreamConn != nil && !detachSent
	l.clientGone = true
	l.mu.Unlock()
	if established && queue.hasHadTransfers() {
		l.handleSessionEnd()
		return
	}
	l.client.closeTransfers()
	end := func() {
		if l.cancel != nil {
			l.cancel()
		}
		if upstreamConn != nil {
			upstreamConn.Close()
		}
	}
	if !established {
		end()
		return
	}
	upstreamConn.limitRemaining(drainTimeout)
	queue.whenSent(end)
}

// closeUpstream closes the connection of an endpoint that may not have read all deliveries. It is called after the request
// has ended.
func (l *link) closeUpstream(ctx context.Context) {
	l.mu.Lock()
	upstreamConn := l.upstream
	l.mu.Unlock()
	if upstreamConn != nil && upstreamConn.abandoned.Load() {
		upstreamConn.linger(ctx)
	}
}

// abort detaches the link with an error, and cancels its request.
func (l *link) abort(err framing.ConditionError) {
	l.frontend.Proxy.ProtocolError("amqp", err.Description)
	l.detach(err.Condition, err.Description, nil)
	l.cancel()
}

// finish sends the detach at the end of a request, unless one was sent. It has an error if deliveries of a client that
// has ended the link were dropped.
func (l *link) finish() {
	if l.hasDroppedDeliveries() {
		l.detach(errDeliveriesDropped.Condition, errDeliveriesDropped.Description, nil)
		return
	}
	l.detach("", "", nil)
}

// hasDroppedDeliveries reports whether transfers of a client that has ended the link were not passed on. It is called
// after the request has ended.
func (l *link) hasDroppedDeliveries() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clientGone && l.outbox != nil && l.outbox.hasUnsentTransfers()
}

// detachNow sends a detach without an error unless one was sent. It returns once the detach is written, also if another
// goroutine is about to write it.
func (l *link) detachNow() {
	l.detach("", "", nil)
	detach := framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.client.handle, true}}
	_ = l.client.sendLastFrames(l.minimalAttach(), l.minimalAttach(), detach) // fails if the detach was written
}

// detach sends the client a detach unless one was sent, and reports whether it did. An empty condition is a normal end.
// A link that was not attached yet is attached first.
func (l *link) detach(condition, description string, info codec.Map) bool {
	l.mu.Lock()
	if l.detachSent {
		l.mu.Unlock()
		return false
	}
	l.detachSent = true
	attach := l.attach
	l.mu.Unlock()
	l.client.closeTransfers()
	errorValue := framing.NewErrorValue(condition, description, info)
	detach := framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.client.handle, true, errorValue}}
	_ = l.client.sendLastFrames(l.rejectingAttach(attach), l.minimalAttach(), detach) // a failure also ends the connection's reader
	return true
}

// minimalAttach returns an attach without termini, which precedes the detach of a rejected link whose termini do not fit
// into a frame to the client.
func (l *link) minimalAttach() framing.Performative {
	attach := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{l.name, l.client.handle, l.clientSends}}
	if l.clientSends {
		return attach
	}
	return attach.With(framing.AttachInitialDeliveryCount, uint32(0))
}

// rejectingAttach returns the attach that precedes the detach of a rejected link (section 2.6.3). It lacks the terminus
// that the relay's side would own.
func (l *link) rejectingAttach(clientAttach framing.Performative) framing.Performative {
	source, target := clientAttach.Field(framing.AttachSource), clientAttach.Field(framing.AttachTarget)
	attach := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		l.name, l.client.handle, l.clientSends, nil, nil, source, target,
	}}
	if l.clientSends {
		return attach.With(framing.AttachTarget, nil)
	}
	return attach.With(framing.AttachSource, nil).With(framing.AttachInitialDeliveryCount, uint32(0))
}

// BadRequest detaches the link of an invalid request.
func (l *link) BadRequest(description string) { l.detach(framing.CondNotAllowed, description, nil) }

// Reject detaches the link of a request that was not executed. The client may retry, after retryAfter if that is known.
func (l *link) Reject(retryAfter time.Duration) {
	l.detach(framing.CondResourceLimitExceeded, "no application server takes it", retryAfterInfo(retryAfter))
}

// Fail detaches the link of a request that may have been executed.
func (l *link) Fail() { l.detach(framing.CondInternalError, "the transaction has failed", nil) }

// Migrate detaches the link so that the client attaches again elsewhere. It first waits until deliveries that have begun
// are passed on; later ones are treated as if they had crossed the detach. It reports whether it sent the detach.
func (l *link) Migrate() bool {
	l.awaitDeliveries()
	l.mu.Lock()
	if l.outbox != nil && l.outbox.hasHadTransfers() {
		l.upstream.abandon()
	}
	l.mu.Unlock()
	return l.detach(framing.CondDetachForced, "the client is to come again", nil)
}

// awaitDeliveries accepts no further deliveries, and waits until all earlier ones are passed on. It gives up if none was for
// migrateTimeout, after migrateLimit, and when the relay is about to end.
func (l *link) awaitDeliveries() {
	allSent, limit := l.deliveries.stop(), time.After(migrateLimit)
	for before := l.deliveries.unsentCount(); ; {
		select {
		case <-allSent:
			return
		case <-limit:
			return
		case <-l.frontend.Proxy.RejectingPending().Done():
			return
		case <-time.After(migrateTimeout):
		}
		unsent := l.deliveries.unsentCount()
		if unsent == before {
			return
		}
		before = unsent
	}
}
