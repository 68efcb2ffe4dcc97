package amqp

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"strconv"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// Attempt attaches the client's link at a server, and waits for its attach and, if
// the client is to send, for credit.
func (l *link) Attempt(ctx context.Context, out proxy.Attempt) (up proxy.UpstreamConn, how balancer.AttemptStatus) {
	address := out.Endpoint.Address
	if host, _, err := net.SplitHostPort(address); err == nil && l.frontend.EndpointPort != 0 {
		address = net.JoinHostPort(host, strconv.Itoa(l.frontend.EndpointPort))
	}
	u, err := l.frontend.connect(ctx, out.Endpoint, address, min(cmp.Or(l.frontend.Proxy.Settings().ConnectTimeout, out.Timeout), out.Timeout))
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	stop := context.AfterFunc(ctx, u.Close)
	how = l.attachUpstream(ctx, u, out)
	if !stop() && how == balancer.StatusOK {
		how = listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	if how != balancer.StatusOK {
		close(u.done)
		u.Close()
		return nil, how
	}
	return u, how
}

// attachUpstream returns what came of the attach at a server.
func (l *link) attachUpstream(ctx context.Context, u *upstream, out proxy.Attempt) balancer.AttemptStatus {
	props, _ := l.attach.Field(13).(codec.Map)
	p := l.attach.With(1, uint32(0)).With(13, props.With(propDeadline, uint32(max(1, out.TimeLeft(ctx).Milliseconds()))))
	frames := []framing.Performative{p}
	may := func() bool { return out.StillPermitted(ctx) }
	if u.sharedSession != nil { // the attach follows the begin without waiting for the answer, which saves a round trip
		frames = []framing.Performative{u.newBegin(nil), p}
		may = func() bool { return out.StillPermitted(ctx) && u.sharedSession.announce() }
	}
	switch err := u.writeInitial(ctx, may, frames...); {
	case errors.Is(err, errNoLongerPermitted):
		return balancer.StatusNotSent
	case err != nil:
		return listener.NotSentStatus(ctx) // of a frame that is not whole nothing runs
	}
	l.frontend.Proxy.Metrics.Attempts.Add(1)
	for {
		f, err := u.nextFrame(out.Timeout)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return balancer.StatusTimeout
			}
			return listener.BrokenStatus(ctx, balancer.StatusReset)
		}
		switch {
		case f.Empty:
		case f.Code == framing.CodeAttach:
			u.attach = f.Performative
		case f.Code == framing.CodeFlow:
			u.applyFlow(f.Performative)
			if f.Uint32(6, 0) > 0 {
				u.creditFlow = &f.Performative
			}
		case f.Code == framing.CodeDetach:
			return rejectionStatus(f.Performative, 2)
		case f.Code == framing.CodeEnd, f.Code == framing.CodeClose:
			return rejectionStatus(f.Performative, 0)
		default:
			return balancer.StatusError
		}
		// An attach without the terminus that the server owns announces a refusal.
		if !l.clientSends && u.attach.Field(5) != nil || l.clientSends && u.attach.Field(6) != nil && u.creditFlow != nil {
			return balancer.StatusOK
		}
	}
}

// rejectionStatus is the outcome of a pass that a server has turned down.
func rejectionStatus(p framing.Performative, at int) balancer.AttemptStatus {
	if cond, _ := p.Condition(at); cond == framing.CondResourceLimitExceeded {
		return balancer.StatusFull
	}
	return balancer.StatusError
}
