package amqp

import (
	"context"
	"errors"
	"os"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// Pipe answers the client's attach with the endpoint's attach, and forwards frames in both directions until the link
// ends.
func (l *link) Pipe(ctx context.Context, conn proxy.UpstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	upstreamConn := conn.(*upstream)
	defer close(upstreamConn.done)
	stop := context.AfterFunc(ctx, func() {
		upstreamConn.Close()
		l.client.closeTransfers()
	})
	defer stop()
	l.mu.Lock()
	l.upstream, l.heartbeat = upstreamConn, heartbeat
	l.outbox = newOutbox(l.client.session, upstreamConn, heartbeat.ReportTimeout, l.abort)
	l.outbox.memory, l.outbox.meter = l.memory, l.meter
	sender, maxAhead := upstreamConn.attach, uint32(0)
	if l.clientSends {
		sender, maxAhead = l.attach, maxDeliveriesAhead
	}
	l.credit = newCreditLimiter(sender.Uint32(framing.AttachInitialDeliveryCount, 0), maxAhead, l.sendCredit)
	go l.outbox.run()
	clientFlow, clientGone := l.clientFlow, l.clientGone
	l.mu.Unlock()
	if clientGone {
		return balancer.StatusCancelled
	}
	if err := l.client.sendAttach(upstreamConn.attach.With(framing.AttachName, l.name).With(framing.AttachHandle, l.client.handle)); err != nil {
		return l.forwardingFailed(err)
	}
	heartbeat.Established()
	creditFlow := upstreamConn.creditFlow
	l.releaseAttach()
	if creditFlow != nil {
		if err := l.forwardToClient(framing.Frame{Performative: *creditFlow}); err != nil {
			return l.forwardingFailed(err)
		}
	}
	if clientFlow != nil {
		l.forwardFlowToEndpoint(*clientFlow)
	}
	return l.pipeDownstream(ctx, upstreamConn, heartbeat)
}

// releaseAttach drops what is no longer needed of a link that is established.
func (l *link) releaseAttach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attach, l.clientFlow = framing.Performative{}, nil
	l.upstream.attach, l.upstream.creditFlow = framing.Performative{}, nil
}

// pipeDownstream forwards the endpoint's frames to the client until the link ends.
func (l *link) pipeDownstream(ctx context.Context, upstreamConn *upstream, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	for {
		frame, err := upstreamConn.nextFrame(0)
		clientGone := l.isClientGone()
		switch {
		case ctx.Err() != nil: // cancelled: the caller detaches the client if necessary
			return listener.FailedStatus(ctx, balancer.StatusCancelled)
		case errors.Is(err, os.ErrDeadlineExceeded) && clientGone:
			upstreamConn.abandon()
			return balancer.StatusCancelled
		case err != nil && clientGone:
			return balancer.StatusCancelled
		case errors.Is(err, os.ErrDeadlineExceeded):
			heartbeat.ReportTimeout()
			return balancer.StatusReset
		case err != nil:
			l.detach(framing.CondConnectionForced, "the application server is lost", nil)
			return balancer.StatusReset
		case frame.Empty:
			continue
		case frame.Code == framing.CodeDetach, frame.Code == framing.CodeEnd, frame.Code == framing.CodeClose:
			return l.endpointEnded(upstreamConn, frame, clientGone)
		}
		if err = l.forwardToClient(frame); err != nil && !l.isUnreachable(err) {
			return l.forwardingFailed(err)
		}
	}
}

// isUnreachable reports whether forwarding to the client has failed because it takes no more frames: it has left, or its
// connection has failed. Frames of the endpoint are then dropped until its side ends: the reader of the client's connection
// ends the link once what the client has sent is passed on.
func (l *link) isUnreachable(err error) bool {
	violation, tooLarge := endpointViolation{}, framing.ConditionError{}
	switch {
	case errors.As(err, &violation), errors.As(err, &tooLarge):
		return false
	case errors.Is(err, errLinkEnded):
		return l.isClientGone() // else the relay has detached the link
	}
	return true
}

// forwardingFailed ends the link after forwardToClient has failed, and returns the status of its request. It tells the
// client why, and the endpoint if that has violated the standard. A frame that is too large for the client is not held
// against the endpoint.
func (l *link) forwardingFailed(err error) balancer.AttemptStatus {
	violation, tooLarge := endpointViolation{}, framing.ConditionError{}
	switch {
	case errors.As(err, &violation):
		errorValue := framing.NewErrorValue(violation.Condition, violation.Description, nil)
		_ = l.upstream.sendDetach(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true, errorValue}})
		l.abort(framing.Errorf(framing.CondInternalError, "the application server has violated the standard: %s", violation.Description))
		return balancer.StatusReset
	case errors.As(err, &tooLarge):
		l.abort(tooLarge)
	}
	return balancer.StatusCancelled
}

// endpointEnded handles the endpoint's detach, end or close. It detaches the client's link unless the client has left.
func (l *link) endpointEnded(upstreamConn *upstream, frame framing.Frame, clientGone bool) balancer.AttemptStatus {
	errorField := framing.EndError // CloseError has the same index
	if frame.Code == framing.CodeDetach {
		errorField = framing.DetachError
		_ = upstreamConn.sendDetach(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}})
		if upstreamConn.sharedSession == nil {
			upstreamConn.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
		}
	}
	condition, info := frame.Condition(errorField)
	if !clientGone {
		l.detach(condition, "the application server has ended the link", info)
	}
	switch {
	case condition == "" && frame.Code == framing.CodeDetach:
		return balancer.StatusOK
	case condition == framing.CondDetachForced:
		return balancer.StatusRedirected // the endpoint drains, even if the endpoint list does not say so yet
	case clientGone:
		return balancer.StatusCancelled
	}
	return balancer.StatusReset
}

// isClientGone reports whether the client has detached, or its connection has ended.
func (l *link) isClientGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clientGone
}

// forwardToClient forwards a frame of the endpoint to the client. It fails with a ConditionError if the frame is too
// large for the client, with an endpointViolation if it violates the standard, with errLinkEnded if the link takes no more
// frames, and with another error if writing to the client has failed.
func (l *link) forwardToClient(frame framing.Frame) error {
	switch frame.Code {
	case framing.CodeFlow:
		return l.forwardFlowToClient(frame.Performative)
	case framing.CodeTransfer:
		return l.forwardTransferToClient(frame)
	case framing.CodeDisposition:
		return l.forwardDispositionToClient(frame.Performative)
	}
	return endpointViolation{framing.Errorf(framing.CondNotAllowed, "performative %#x has no place here", frame.Code)}
}

// forwardTransferToClient forwards a transfer of the endpoint.
func (l *link) forwardTransferToClient(transfer framing.Frame) error {
	if l.clientSends {
		return endpointViolation{framing.Errorf(framing.CondNotAllowed, "a receiver sends no transfers")}
	}
	if violation := asEndpointViolation(l.upstream.receiveTransfer(false)); violation != nil {
		return violation
	}
	l.heartbeat.EndpointSent()
	arrived, err := l.deliveries.receive(transfer.Performative)
	if errors.Is(err, errLinkEnded) { // the relay is about to detach
		return nil
	}
	if err != nil {
		return asEndpointViolation(err)
	}
	if arrived.first {
		l.credit.deliveryArrived()
	}
	err = l.client.sendTransfer(transfer.Performative, transfer.Payload, func(performative framing.Performative) framing.Performative {
		return l.deliveries.translate(performative, l.client.session)
	})
	if err != nil || !arrived.last {
		return err
	}
	l.deliveries.sent()
	return l.credit.deliveriesFinished(l.deliveries.finishCurrent())
}

// forwardDispositionToClient forwards a disposition of the endpoint for its deliveries on this link.
func (l *link) forwardDispositionToClient(disposition framing.Performative) error {
	if err := disposition.RequireUint32(framing.DispositionFirst); err != nil {
		return asEndpointViolation(err)
	}
	l.heartbeat.EndpointSent()
	dispositions, settled := l.deliveries.translateDisposition(disposition, l.clientSends)
	for _, translated := range dispositions {
		// It has no handle, so it may follow the link's detach.
		if err := l.client.writeFrame(l.client.channel, translated, nil); err != nil {
			return err
		}
	}
	return l.credit.deliveriesFinished(settled)
}

// forwardFlowToClient applies a flow of the endpoint, and forwards it if it is about the link.
func (l *link) forwardFlowToClient(flow framing.Performative) error {
	if violation := asEndpointViolation(l.upstream.handleFlow(flow)); violation != nil {
		return violation
	}
	if flow.Field(framing.FlowHandle) == nil {
		return nil
	}
	if properties, ok := flow.Field(framing.FlowProperties).(codec.Map); ok {
		if microseconds, ok := parseLoad(properties.Get(propLoad)); ok {
			l.heartbeat.ReportLoad(microseconds / 1e6)
		}
	}
	if l.clientSends {
		return l.credit.forwardReceiverFlow(flow)
	}
	l.credit.senderFlow(flow)
	return l.client.sendFlow(flow)
}

// endpointViolation is a violation of the standard by an endpoint.
type endpointViolation struct{ framing.ConditionError }

// asEndpointViolation returns a ConditionError about a frame of the endpoint as an endpointViolation. It returns nil for
// any other error: handling the frame failed to write to the endpoint, which the reader of its connection reports.
func asEndpointViolation(err error) error {
	if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
		return endpointViolation{conditionErr}
	}
	return nil
}
