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

// Pipe answers the client's attach with the server's and passes frames on, both
// ways, until the connection has ended.
func (l *link) Pipe(ctx context.Context, to proxy.UpstreamConn, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	u := to.(*upstream)
	defer close(u.done)
	stop := context.AfterFunc(ctx, u.Close)
	defer stop()
	l.mu.Lock()
	l.upstream, l.heartbeat, l.attachSent = u, pulse, true
	l.outbox = newOutbox(l.session, u, pulse.TimedOut)
	go l.outbox.run()
	credit, gone := l.clientFlow, l.clientGone
	l.mu.Unlock()
	if gone {
		return balancer.StatusCancelled
	}
	if l.session.writeFrame(l.session.channel, u.attach.With(0, l.name).With(1, l.handle), nil) != nil {
		return balancer.StatusCancelled
	}
	pulse.Established()
	if u.creditFlow != nil {
		l.forwardToClient(framing.Frame{Performative: *u.creditFlow})
	}
	if credit != nil {
		l.outbox.enqueue(outboxItem{Performative: credit.With(4, uint32(0)), isFlow: true})
	}
	return l.pipeDownstream(ctx, u, pulse)
}

// pipeDownstream passes on what the server says until its end.
func (l *link) pipeDownstream(ctx context.Context, u *upstream, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	for {
		f, err := u.nextFrame(0)
		l.mu.Lock()
		gone := l.clientGone
		l.mu.Unlock()
		switch {
		case ctx.Err() != nil: // moved or silent: the client is still to be told
			return listener.BrokenStatus(ctx, balancer.StatusCancelled)
		case err != nil && gone:
			return balancer.StatusCancelled
		case errors.Is(err, os.ErrDeadlineExceeded):
			pulse.TimedOut()
			return balancer.StatusReset
		case err != nil:
			l.detach(framing.CondConnectionForced, "the application server is lost", nil)
			return balancer.StatusReset
		case f.Empty:
			continue
		case f.Code == framing.CodeDetach, f.Code == framing.CodeEnd, f.Code == framing.CodeClose:
			return l.endpointEnded(u, f, gone)
		}
		if !l.forwardToClient(f) {
			return balancer.StatusCancelled
		}
	}
}

// endpointEnded passes on the end that a server has set to the link.
func (l *link) endpointEnded(u *upstream, f framing.Frame, gone bool) balancer.AttemptStatus {
	at := 0
	if f.Code == framing.CodeDetach {
		at = 2
		u.writeFrame(u.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		if u.sharedSession == nil {
			u.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
		}
	}
	cond, info := f.Condition(at)
	if !gone {
		l.detach(cond, "the application server has ended the link", info)
	}
	switch {
	case cond == "" && f.Code == framing.CodeDetach:
		return balancer.StatusOK
	case cond == framing.CondDetachForced:
		return balancer.StatusRedirected // it drains, whatever the list says
	case gone:
		return balancer.StatusCancelled
	}
	return balancer.StatusReset
}

// forwardToClient passes a frame of the server to the client. It tells whether the client
// is still there.
func (l *link) forwardToClient(f framing.Frame) bool {
	s := l.session
	switch f.Code {
	case framing.CodeFlow:
		if err := l.upstream.handleFlow(f.Performative); err != nil || f.Field(4) == nil {
			return true
		}
		if props, ok := f.Field(10).(codec.Map); ok {
			if us, ok := parseLoad(props.Get(propLoad)); ok {
				l.heartbeat.ReportLoad(us / 1e6)
			}
		}
		p := f.Performative
		if l.clientSends {
			p = l.creditLimiter.limitFlow(p)
		}
		return s.sendFlow(p.With(4, l.handle)) == nil
	case framing.CodeTransfer:
		if l.clientSends || l.upstream.receiveTransfer(false) != nil {
			return true // out of turn: left aside
		}
		l.heartbeat.EndpointSent()
		p, err := l.deliveries.translateTransfer(f.Performative, s)
		if err != nil {
			return true
		}
		return s.sendTransfer(p.With(0, l.handle), f.Payload) == nil
	case framing.CodeDisposition:
		l.heartbeat.EndpointSent()
		for _, p := range l.deliveries.translateDisposition(f.Performative, l.clientSends) {
			if s.writeFrame(s.channel, p, nil) != nil {
				return false
			}
		}
	}
	return true
}
