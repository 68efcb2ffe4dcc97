package amqp

import (
	"context"
	"errors"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

const (
	maxChannel             = 7    // sessions of a connection, less one
	maxHandle              = 63   // links of a session, less one
	sessionWindow          = 256  // transfers that may come in, or wait for where they go
	maxUnsettledDeliveries = 4096 // deliveries of a link that may be unsettled at a time
)

// session is the relay's end of a session with a client or a server. Reads are
// one goroutine's; any goroutine may write.
type session struct {
	*connection
	channel    uint16
	endWritten *bool // of a session beside others: its end has gone out; guarded by the connection

	mu                   sync.Mutex
	windowOpened         chan struct{} // closed and renewed when the peer's window opens
	ended                bool
	nextOutgoingID       uint32 // number of our next transfer
	remoteIncomingWindow uint32 // transfers that the peer still takes
	nextIncomingID       uint32 // number of the peer's next transfer
	incomingWindow       uint32 // transfers that we still take
	pendingTransfers     uint32 // that came in and have not gone on yet
	nextDeliveryID       uint32 // number of our next delivery
}

func newSession(conn *connection, channel uint16) *session {
	return &session{connection: conn, channel: channel, windowOpened: make(chan struct{}), incomingWindow: sessionWindow}
}

// writeFrame sends a frame of the session.
func (s *session) writeFrame(channel uint16, performative framing.Performative, payload []byte) error {
	return s.connection.writeUnlessEnded(channel, performative, payload, s.endWritten)
}

// writeInitial sends the frames that begin something of the session, in one piece. It waits for others who write on the connection,
// no longer than ctx; may is asked just before anything goes out.
func (s *session) writeInitial(ctx context.Context, permitted func() bool, frames ...framing.Performative) error {
	conn := s.connection
	if !conn.mu.LockContext(ctx) {
		return ctx.Err()
	}
	defer conn.mu.Unlock()
	if conn.writesClosed {
		return errConnectionClosing
	}
	if !permitted() {
		return errNoLongerPermitted
	}
	conn.writeBuffer = conn.writeBuffer[:0]
	for _, performative := range frames {
		conn.writeBuffer = framing.AppendFrame(conn.writeBuffer, framing.TypeAMQP, s.channel, performative, nil)
	}
	return conn.flush()
}

// newBegin is the relay's begin; remote is the channel it answers, or nil.
func (s *session) newBegin(remote any) framing.Performative {
	return framing.Performative{Code: framing.CodeBegin, Fields: codec.List{remote, s.nextOutgoingID, uint32(sessionWindow), uint32(sessionWindow), uint32(maxHandle)}}
}

// applyBegin takes the peer's begin.
func (s *session) applyBegin(performative framing.Performative) error {
	if err := performative.RequireUint32(framing.BeginNextOutgoingID, framing.BeginIncomingWindow, framing.BeginOutgoingWindow); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextIncomingID, s.remoteIncomingWindow = performative.Uint32(framing.BeginNextOutgoingID, 0), performative.Uint32(framing.BeginIncomingWindow, 0)
	return nil
}

// applyFlow takes the session's part of a flow of the peer.
func (s *session) applyFlow(performative framing.Performative) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended { // it was ended while the flow was in hand
		return
	}
	// What the peer still takes counts from the transfers that it has seen.
	s.remoteIncomingWindow = performative.Uint32(framing.FlowNextIncomingID, 0) + performative.Uint32(framing.FlowIncomingWindow, 0) - s.nextOutgoingID
	if int32(s.remoteIncomingWindow) < 0 {
		s.remoteIncomingWindow = 0
	}
	close(s.windowOpened)
	s.windowOpened = make(chan struct{})
}

// handleFlow takes the session's part of a flow.
func (s *session) handleFlow(performative framing.Performative) error {
	if err := performative.RequireUint32(framing.FlowIncomingWindow, framing.FlowNextOutgoingID, framing.FlowOutgoingWindow); err != nil {
		return err
	}
	s.applyFlow(performative)
	if performative.Field(framing.FlowHandle) == nil && performative.Bool(framing.FlowEcho) {
		return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// markEnded lets those go who wait for the window.
func (s *session) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		close(s.windowOpened)
	}
}

var errWindowClosed = errors.New("the peer's window stays shut")

// awaitWindow waits until the peer takes another transfer.
func (s *session) awaitWindow() error {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		opened := s.windowOpened
		if s.ended {
			s.mu.Unlock()
			return errConnectionClosing
		}
		if s.remoteIncomingWindow > 0 {
			s.remoteIncomingWindow--
			s.nextOutgoingID++
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-opened:
		case <-timer.C:
			return errWindowClosed
		}
	}
}

// takeDeliveryID gives out the number of the next delivery.
func (s *session) takeDeliveryID() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextDeliveryID++
	return s.nextDeliveryID - 1
}

// sendTransfer sends a transfer in as many frames as the peer wants.
func (s *session) sendTransfer(performative framing.Performative, payload []byte) error {
	room := s.maxPayload(performative.With(framing.TransferMore, true))
	for {
		if err := s.awaitWindow(); err != nil {
			return err
		}
		if len(payload) <= room {
			return s.writeFrame(s.channel, performative, payload)
		}
		if err := s.writeFrame(s.channel, performative.With(framing.TransferMore, true), payload[:room]); err != nil {
			return err
		}
		payload = payload[room:]
	}
}

// receiveTransfer counts a transfer that came in, and opens the window again in time. One that
// waits before it goes on is to be freed.
func (s *session) receiveTransfer(pending bool) error {
	s.mu.Lock()
	if s.incomingWindow == 0 {
		s.mu.Unlock()
		return framing.Errorf(framing.CondWindowViolation, "more transfers than the window takes")
	}
	s.nextIncomingID++
	s.incomingWindow--
	if pending {
		s.pendingTransfers++
	}
	reopen := s.needsWindowUpdate()
	s.mu.Unlock()
	if reopen {
		return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// needsWindowUpdate tells whether the window is to be opened again: less than half of what it may
// be is left. The caller holds the lock.
func (s *session) needsWindowUpdate() bool {
	return s.incomingWindow <= (sessionWindow-min(s.pendingTransfers, sessionWindow))/2 && s.incomingWindow < sessionWindow-s.pendingTransfers
}

// releaseTransfers counts transfers that waited and have gone on.
func (s *session) releaseTransfers(n int) {
	s.mu.Lock()
	s.pendingTransfers -= uint32(n)
	reopen := n > 0 && !s.ended && s.needsWindowUpdate() && sessionWindow-s.pendingTransfers-s.incomingWindow >= sessionWindow/8
	s.mu.Unlock()
	if reopen {
		s.sendFlow(framing.Performative{Code: framing.CodeFlow}) // if this fails, the reader sees why
	}
}

// sendFlow sends a flow: the session's part is the relay's own, the rest as given.
func (s *session) sendFlow(flow framing.Performative) error {
	s.mu.Lock()
	s.incomingWindow = sessionWindow - min(s.pendingTransfers, sessionWindow)
	flow = flow.With(framing.FlowNextIncomingID, s.nextIncomingID).
		With(framing.FlowIncomingWindow, s.incomingWindow).
		With(framing.FlowNextOutgoingID, s.nextOutgoingID).
		With(framing.FlowOutgoingWindow, uint32(sessionWindow))
	s.mu.Unlock()
	return s.writeFrame(s.channel, flow, nil)
}
