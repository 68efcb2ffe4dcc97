package fake

import (
	"context"
	"net"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp"
)

const (
	linkCredit     = 100 // deliveries that a client may send before a new grant of credit
	creditInterval = 50  // number of deliveries between grants of credit
)

// serveAMQP serves one AMQP 1.0 connection and, concurrently, its sessions.
func (s *Server) serveAMQP(ctx context.Context, tcp *net.TCPConn) {
	conn, err := amqp.AcceptPeerConn(tcp, readTimeout, s.WithoutSASL)
	if err != nil {
		return
	}
	var sessions sync.WaitGroup
	defer sessions.Wait()
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	breakConn := func() { // ends all sessions of the connection
		cancel()
		tcp.SetLinger(0)
		tcp.Close()
	}
	for peer := conn.AcceptSession(); peer != nil; peer = conn.AcceptSession() {
		session := &serverSession{server: s, peer: peer, breakConn: breakConn}
		sessions.Go(func() { session.serve(ctx) })
	}
}

// serverSession is one AMQP session. A client attaches one link for its request, and another
// only after a rejection. One goroutine serves the session.
type serverSession struct {
	server    *Server
	peer      *amqp.PeerSession
	breakConn func()
	record    *attemptRecord   // of the last attach; nil before the first
	records   []*attemptRecord // of all attaches
	admitted  int              // accepted attempts, which are released at the end
	delivered uint32
}

// serve handles the session's events until its end.
func (s *serverSession) serve(ctx context.Context) {
	defer s.peer.End()
	defer s.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		event, err := s.peer.Next()
		switch {
		case err != nil && ctx.Err() != nil:
			s.record.ended(endBroken)
			return
		case err != nil:
			s.record.ended(endGone)
			return
		}
		if !s.handle(ctx, event) {
			return
		}
	}
}

func (s *serverSession) close() {
	for range s.admitted {
		s.server.release()
	}
	for _, record := range s.records {
		record.closed()
	}
}

// handle handles an event. It reports whether the session continues.
func (s *serverSession) handle(ctx context.Context, event amqp.PeerEvent) bool {
	switch event.Kind {
	case amqp.PeerAttached:
		return s.attached(ctx, event)
	case amqp.PeerDelivered:
		return s.received(ctx, event)
	case amqp.PeerDetached:
		s.record.ended(endBye)
		s.peer.Detach(event.Handle, "")
	}
	return true
}

// attached answers an attempt by the server's mode. It reports whether the session continues.
func (s *serverSession) attached(ctx context.Context, event amqp.PeerEvent) bool {
	class, _ := event.Properties["class"].(string)
	milliseconds, _ := amqp.AsUint64(event.Properties["give-up-ms"])
	s.record = s.server.newRecord(Attempt{
		Frontend: "amqp", Name: event.Name, Class: class, At: time.Now(),
		TimeLimit: time.Duration(milliseconds) * time.Millisecond,
	})
	s.records = append(s.records, s.record)
	switch s.server.admit(ctx) {
	case ModeNoCredit:
		s.peer.Attach(event, 0)
		s.peer.DiscardInput()
		return false
	case ModeHang:
		s.peer.DiscardInput()
		return false
	case ModeBusy:
		s.record.answered(answerBusy)
		s.peer.RejectAttach(event, amqp.ConditionResourceLimit)
		return true
	case ModeError:
		s.record.answered(answerError)
		s.peer.RejectAttach(event, amqp.ConditionInternalError)
		return true
	case ModeBreak:
		s.record.answered(answerBroken)
		s.breakConn()
		return false
	}
	s.admitted++
	return s.accept(ctx, event)
}

// accept attaches the link, to be detached when the server drains. It reports whether the
// session continues.
func (s *serverSession) accept(ctx context.Context, event amqp.PeerEvent) bool {
	if ctx.Err() != nil { // the server was stopped during SetupTime
		return false
	}
	record := s.record
	record.answered(answerUp)
	if s.peer.Attach(event, linkCredit) != nil {
		record.ended(endGone)
		return false
	}
	s.server.running.Go(func() {
		s.server.awaitDrain(ctx, func() {
			record.ended(endAway)
			s.peer.Detach(event.Handle, amqp.ConditionDetachForced)
		})
	})
	return true
}

// received handles a delivery; settling it is its echo. It reports whether the session continues.
func (s *serverSession) received(ctx context.Context, event amqp.PeerEvent) bool {
	took := s.record.received(string(event.Payload), int(s.delivered)+1)
	s.delivered++
	if !s.server.awaitEcho(ctx, took) {
		return true
	}
	if !event.Settled && s.peer.Settle(event.DeliveryID) != nil {
		s.record.ended(endGone)
		return false
	}
	if s.delivered%creditInterval == 0 {
		s.peer.Credit(event.Handle, s.delivered, linkCredit)
	}
	return true
}
