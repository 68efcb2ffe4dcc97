package amqp

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// Attempt attaches the client's link at an endpoint. It waits for the endpoint's attach and, if the client is the
// sender, for credit. On any status other than StatusOK it closes the upstream connection and returns nil.
func (l *link) Attempt(ctx context.Context, attempt proxy.Attempt) (conn proxy.UpstreamConn, status balancer.AttemptStatus) {
	address := attempt.Endpoint.Address
	if host, _, err := net.SplitHostPort(address); err == nil && l.frontend.EndpointPort != 0 {
		address = net.JoinHostPort(host, strconv.Itoa(l.frontend.EndpointPort))
	}
	upstreamConn, err := l.frontend.connect(ctx, attempt.Endpoint, address, attempt.Timeout)
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	stop := context.AfterFunc(ctx, upstreamConn.Close)
	status = l.attachUpstream(ctx, upstreamConn, attempt)
	if !stop() && status == balancer.StatusOK {
		status = listener.FailedStatus(ctx, balancer.StatusReset)
	}
	if status != balancer.StatusOK {
		close(upstreamConn.done)
		upstreamConn.Close()
		return nil, status
	}
	return upstreamConn, status
}

// attachUpstream sends the attach to an endpoint and waits for the outcome.
func (l *link) attachUpstream(ctx context.Context, upstreamConn *upstream, attempt proxy.Attempt) balancer.AttemptStatus {
	properties, _ := l.attach.Field(framing.AttachProperties).(codec.Map)
	properties = properties.With(propDeadline, uint32(max(1, attempt.TimeLeft(ctx).Milliseconds())))
	performative := l.attach.With(framing.AttachHandle, uint32(0)).With(framing.AttachProperties, properties)
	frames := []framing.Performative{performative}
	permitted := func() bool { return attempt.StillPermitted(ctx) }
	if upstreamConn.sharedSession != nil { // sends begin and attach together, which saves a round trip
		frames = []framing.Performative{upstreamConn.newBegin(nil), performative}
		permitted = func() bool { return attempt.StillPermitted(ctx) && upstreamConn.sharedSession.permitBegin() }
	}
	conditionErr := framing.ConditionError{}
	switch err := upstreamConn.writeInitial(ctx, permitted, frames...); {
	case errors.Is(err, errNoLongerPermitted):
		return balancer.StatusNotSent
	case errors.As(err, &conditionErr): // no endpoint accepts it
		l.abort(conditionErr)
		return balancer.StatusNotSent
	case err != nil:
		return listener.NotSentStatus(ctx) // an endpoint ignores a partially written attach
	}
	l.frontend.Proxy.Metrics.Attempts.Add(1)
	return l.awaitAttach(ctx, upstreamConn, attempt.Timeout)
}

// awaitAttach waits until the endpoint accepts or rejects the link, at most timeout for each frame.
func (l *link) awaitAttach(ctx context.Context, upstreamConn *upstream, timeout time.Duration) balancer.AttemptStatus {
	for {
		frame, err := upstreamConn.nextFrame(timeout)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return balancer.StatusTimeout
			}
			return listener.FailedStatus(ctx, balancer.StatusReset)
		}
		switch {
		case frame.Empty:
		case frame.Code == framing.CodeAttach:
			upstreamConn.attach = frame.Performative
		case frame.Code == framing.CodeFlow:
			upstreamConn.applyFlow(frame.Performative)
			if frame.Uint32(framing.FlowLinkCredit, 0) > 0 {
				upstreamConn.creditFlow = &frame.Performative
			}
		case frame.Code == framing.CodeDetach:
			return rejectionStatus(frame.Performative, framing.DetachError)
		case frame.Code == framing.CodeEnd:
			return rejectionStatus(frame.Performative, framing.EndError)
		case frame.Code == framing.CodeClose:
			return rejectionStatus(frame.Performative, framing.CloseError)
		default:
			return balancer.StatusError
		}
		if l.isEstablished(upstreamConn) {
			return balancer.StatusOK
		}
	}
}

// isEstablished reports whether the endpoint has accepted the link. An attach without the terminus that the endpoint
// owns is a rejection, and a detach follows (section 2.6.3).
func (l *link) isEstablished(upstreamConn *upstream) bool {
	if l.clientSends {
		return upstreamConn.attach.Field(framing.AttachTarget) != nil && upstreamConn.creditFlow != nil
	}
	return upstreamConn.attach.Field(framing.AttachSource) != nil
}

// rejectionStatus returns the status of an attempt that the endpoint rejected with the error in errorField.
func rejectionStatus(performative framing.Performative, errorField int) balancer.AttemptStatus {
	if condition, _ := performative.Condition(errorField); condition == framing.CondResourceLimitExceeded {
		return balancer.StatusFull
	}
	return balancer.StatusError
}
