package amqp

import (
	"context"
	"fmt"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
)

// clientSession is a session of a client, with its links by their handles.
type clientSession struct {
	*session
	client       *clientConnection
	links        map[uint32]*link
	endedLocally bool // it has been ended from here
}

// disconnect tells all links that their client is gone.
func (s *clientSession) disconnect() {
	s.markEnded()
	for _, l := range s.links {
		l.handleDisconnect()
	}
}

func (s *clientSession) handleFrame(f framing.Frame) error {
	switch f.Code {
	case framing.CodeAttach:
		return s.handleAttach(f.Performative)
	case framing.CodeFlow:
		if err := f.RequireUint32(1, 2, 3); err != nil {
			return err
		}
		s.applyFlow(f.Performative)
		if f.Field(4) == nil {
			if f.Bool(9) {
				return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
			}
			return nil
		}
	case framing.CodeTransfer:
		if err := s.receiveTransfer(true); err != nil {
			return err
		}
	case framing.CodeDisposition:
		if err := f.RequireUint32(1); err != nil {
			return err
		}
		for _, l := range s.links {
			l.handleDisposition(f.Performative)
		}
		return nil
	case framing.CodeEnd:
		delete(s.client.sessions, s.channel)
		err := s.writeFrame(s.channel, framing.Performative{Code: framing.CodeEnd}, nil)
		s.disconnect()
		return err
	case framing.CodeDetach:
	default:
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("performative %#x has no place here", f.Code)}
	}
	at := 0
	if f.Code == framing.CodeFlow {
		at = 4
	}
	if err := f.RequireUint32(at); err != nil {
		return err
	}
	handle := f.Uint32(at, 0)
	l := s.links[handle]
	if l == nil {
		return framing.ConditionError{Condition: framing.CondUnattachedHandle, Description: fmt.Sprintf("handle %d has no link", handle)}
	}
	switch f.Code {
	case framing.CodeFlow:
		return l.handleFlow(f.Performative)
	case framing.CodeTransfer:
		return l.handleTransfer(f)
	}
	delete(s.links, handle)
	l.handleDetach(f.Performative)
	return nil
}

// handleAttach begins a transaction.
func (s *clientSession) handleAttach(p framing.Performative) error {
	if err := p.RequireUint32(1); err != nil {
		return err
	}
	name, named := p.Field(0).(string)
	role, told := p.Field(2).(bool)
	handle := p.Uint32(1, 0)
	switch {
	case !named || !told:
		return framing.ConditionError{Condition: framing.CondInvalidField, Description: "an attach has to tell its name and role"}
	case handle > maxHandle: // section 2.7.2 has the connection closed
		return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("handle %d is over the most", handle)}
	case s.links[handle] != nil:
		return framing.ConditionError{Condition: framing.CondHandleInUse, Description: fmt.Sprintf("handle %d has a link", handle)}
	}
	front := s.client.frontend
	l := &link{
		frontend: front, session: s.session, handle: handle, name: name,
		attach: p, clientSends: !role, deliveries: newDeliveryMap(),
	}
	s.links[handle] = l
	// A link's name is unique between two containers.
	ask, p, err := front.parseRequest(p, s.client.containerID, name)
	l.attach = p
	if err != nil {
		front.Proxy.ProtocolError("amqp", err.Error())
		s.rejectAttach(l, framing.CondInvalidField, err.Error(), nil)
		front.Proxy.Metrics.Class(ask.Class).CountFailed()
		return nil
	}
	if !front.Authenticator.Authorized(s.client.user, ask.Class) {
		front.Proxy.ProtocolError("amqp", "a client may not open a class")
		s.rejectAttach(l, framing.CondUnauthorizedAccess, fmt.Sprintf("%q may not open the class %q", s.client.user, ask.Class), nil)
		front.Proxy.Metrics.Class(ask.Class).CountFailed()
		return nil
	}
	release, ok := front.Proxy.Admit(s.client.connection.RemoteAddr(), ask)
	if !ok {
		s.rejectAttach(l, framing.CondResourceLimitExceeded, "its address or class has as many links as it may", retryAfterInfo(front.Proxy.Reject(s.client.ctx, ask, proxy.CauseQuotaExceeded)))
		return nil
	}
	if !s.client.admission.Acquire() {
		release()
		s.rejectAttach(l, framing.CondResourceLimitExceeded, "the relay holds as many links as it may", retryAfterInfo(front.Proxy.Reject(s.client.ctx, ask, proxy.CauseConnectionLimit)))
		return nil
	}
	ctx, left := context.WithCancel(s.client.ctx)
	l.cancel = left
	s.client.activeLinks.Go(func() {
		defer s.client.admission.Release()
		defer release()
		defer left()
		front.Proxy.Serve(ctx, ask, l)
		l.finish()
	})
	return nil
}

// rejectAttach answers an attach that never becomes a transaction. What is kept of it,
// until the client detaches, is next to nothing: refused links could else be had
// by the hundred at 8 KiB each.
func (s *clientSession) rejectAttach(l *link, cond, why string, info codec.Map) {
	l.detach(cond, why, info)
	s.links[l.handle] = &link{frontend: l.frontend, session: l.session, handle: l.handle, clientSends: l.clientSends, deliveries: l.deliveries, detachSent: true}
}
