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

func (s *clientSession) handleFrame(frame framing.Frame) error {
	switch frame.Code {
	case framing.CodeAttach:
		return s.handleAttach(frame.Performative)
	case framing.CodeFlow:
		if err := frame.RequireUint32(1, 2, 3); err != nil {
			return err
		}
		s.applyFlow(frame.Performative)
		if frame.Field(4) == nil {
			if frame.Bool(9) {
				return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
			}
			return nil
		}
	case framing.CodeTransfer:
		if err := s.receiveTransfer(true); err != nil {
			return err
		}
	case framing.CodeDisposition:
		if err := frame.RequireUint32(1); err != nil {
			return err
		}
		for _, l := range s.links {
			l.handleDisposition(frame.Performative)
		}
		return nil
	case framing.CodeEnd:
		delete(s.client.sessions, s.channel)
		err := s.writeFrame(s.channel, framing.Performative{Code: framing.CodeEnd}, nil)
		s.disconnect()
		return err
	case framing.CodeDetach:
	default:
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("performative %#x has no place here", frame.Code)}
	}
	at := 0
	if frame.Code == framing.CodeFlow {
		at = 4
	}
	if err := frame.RequireUint32(at); err != nil {
		return err
	}
	handle := frame.Uint32(at, 0)
	l := s.links[handle]
	if l == nil {
		return framing.ConditionError{Condition: framing.CondUnattachedHandle, Description: fmt.Sprintf("handle %d has no link", handle)}
	}
	switch frame.Code {
	case framing.CodeFlow:
		return l.handleFlow(frame.Performative)
	case framing.CodeTransfer:
		return l.handleTransfer(frame)
	}
	delete(s.links, handle)
	l.handleDetach(frame.Performative)
	return nil
}

// handleAttach begins a transaction.
func (s *clientSession) handleAttach(performative framing.Performative) error {
	if err := performative.RequireUint32(1); err != nil {
		return err
	}
	name, hasName := performative.Field(0).(string)
	role, hasRole := performative.Field(2).(bool)
	handle := performative.Uint32(1, 0)
	switch {
	case !hasName || !hasRole:
		return framing.ConditionError{Condition: framing.CondInvalidField, Description: "an attach has to tell its name and role"}
	case handle > maxHandle: // section 2.7.2 has the connection closed
		return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("handle %d is over the most", handle)}
	case s.links[handle] != nil:
		return framing.ConditionError{Condition: framing.CondHandleInUse, Description: fmt.Sprintf("handle %d has a link", handle)}
	}
	frontend := s.client.frontend
	l := &link{
		frontend: frontend, session: s.session, handle: handle, name: name,
		attach: performative, clientSends: !role, deliveries: newDeliveryMap(),
	}
	s.links[handle] = l
	// A link's name is unique between two containers.
	request, performative, err := frontend.parseRequest(performative, s.client.containerID, name)
	l.attach = performative
	if err != nil {
		frontend.Proxy.ProtocolError("amqp", err.Error())
		s.rejectAttach(l, framing.CondInvalidField, err.Error(), nil)
		frontend.Proxy.Metrics.Class(request.Class).CountFailed()
		return nil
	}
	if !frontend.Authenticator.Authorized(s.client.user, request.Class) {
		frontend.Proxy.ProtocolError("amqp", "a client may not open a class")
		s.rejectAttach(l, framing.CondUnauthorizedAccess, fmt.Sprintf("%q may not open the class %q", s.client.user, request.Class), nil)
		frontend.Proxy.Metrics.Class(request.Class).CountFailed()
		return nil
	}
	release, ok := frontend.Proxy.Admit(s.client.connection.RemoteAddr(), request)
	if !ok {
		s.rejectAttach(l, framing.CondResourceLimitExceeded, "its address or class has as many links as it may", retryAfterInfo(frontend.Proxy.Reject(s.client.ctx, request, proxy.CauseQuotaExceeded)))
		return nil
	}
	if !s.client.admission.Acquire() {
		release()
		s.rejectAttach(l, framing.CondResourceLimitExceeded, "the relay holds as many links as it may", retryAfterInfo(frontend.Proxy.Reject(s.client.ctx, request, proxy.CauseConnectionLimit)))
		return nil
	}
	ctx, cancel := context.WithCancel(s.client.ctx)
	l.cancel = cancel
	s.client.activeLinks.Go(func() {
		defer s.client.admission.Release()
		defer release()
		defer cancel()
		frontend.Proxy.Serve(ctx, request, l)
		l.finish()
	})
	return nil
}

// rejectAttach answers an attach that never becomes a transaction. What is kept of it,
// until the client detaches, is next to nothing: refused links could else be had
// by the hundred at 8 KiB each.
func (s *clientSession) rejectAttach(l *link, condition, description string, info codec.Map) {
	l.detach(condition, description, info)
	s.links[l.handle] = &link{frontend: l.frontend, session: l.session, handle: l.handle, clientSends: l.clientSends, deliveries: l.deliveries, detachSent: true}
}
