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
	maxChannel             = 7                 // highest channel: a connection has one session more
	maxHandle              = 63                // highest handle: a session has one link more
	minWindowUpdate        = sessionWindow / 8 // least transfers that a flow for released ones reopens
	sessionWindow          = 256               // transfers that may be received and not yet sent on
	maxUnsettledDeliveries = 4096              // of a link, at a time
)

// session is the relay's end of a session with a client or an endpoint (section 2.5.6). One goroutine reads; any goroutine
// may write.
type session struct {
	*connection
	channel    uint16
	endWritten *bool // of a session that shares its connection: its end has been sent; the connection's lock guards it

	mu                   sync.Mutex    // guards the fields below
	windowOpened         chan struct{} // closed and replaced when the remote incoming window changes
	ended                bool
	nextOutgoingID       uint32 // transfer id of the next transfer to the peer
	remoteIncomingWindow uint32 // transfers that the peer still accepts
	nextIncomingID       uint32 // transfer id of the peer's next transfer
	incomingWindow       uint32 // transfers that the relay still accepts
	pendingTransfers     uint32 // transfers received and not yet sent on
	nextDeliveryID       uint32 // of the next delivery to the peer
}

func newSession(conn *connection, channel uint16) *session {
	return &session{connection: conn, channel: channel, windowOpened: make(chan struct{}), incomingWindow: sessionWindow}
}

// writeFrame sends a frame of the session; nothing is sent after its end.
func (s *session) writeFrame(channel uint16, performative framing.Performative, payload []byte) error {
	return s.connection.writeUnlessEnded(channel, performative, payload, s.endWritten)
}

// writeInitial sends the first frames of a session or a link, in one piece. It waits for the connection's lock until ctx
// ends. permitted is called with the lock held, just before anything is written; false: errNoLongerPermitted.
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

// newBegin returns the relay's begin. remoteChannel is the channel of the begin that it answers; nil: none.
func (s *session) newBegin(remoteChannel any) framing.Performative {
	return framing.Performative{Code: framing.CodeBegin, Fields: codec.List{
		remoteChannel, s.nextOutgoingID, uint32(sessionWindow), uint32(sessionWindow), uint32(maxHandle),
	}}
}

// applyBegin applies the peer's begin. Its error is a ConditionError.
func (s *session) applyBegin(begin framing.Performative) error {
	err := begin.RequireUint32(framing.BeginNextOutgoingID, framing.BeginIncomingWindow, framing.BeginOutgoingWindow)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextIncomingID = begin.Uint32(framing.BeginNextOutgoingID, 0)
	s.remoteIncomingWindow = begin.Uint32(framing.BeginIncomingWindow, 0)
	return nil
}

// applyFlow applies the session's part of a flow of the peer.
func (s *session) applyFlow(flow framing.Performative) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended { // meanwhile, and the channel is closed
		return
	}
	// The peer's window counts from the transfers that it has received (section 2.5.6).
	windowEnd := flow.Uint32(framing.FlowNextIncomingID, 0) + flow.Uint32(framing.FlowIncomingWindow, 0)
	s.remoteIncomingWindow = windowEnd - s.nextOutgoingID
	if int32(s.remoteIncomingWindow) < 0 {
		s.remoteIncomingWindow = 0
	}
	close(s.windowOpened)
	s.windowOpened = make(chan struct{})
}

// handleFlow checks and applies the session's part of a flow, and answers it if it asks for that and is of no link.
func (s *session) handleFlow(flow framing.Performative) error {
	err := flow.RequireUint32(framing.FlowIncomingWindow, framing.FlowNextOutgoingID, framing.FlowOutgoingWindow)
	if err != nil {
		return err
	}
	s.applyFlow(flow)
	if flow.Field(framing.FlowHandle) == nil && flow.Bool(framing.FlowEcho) {
		return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// markEnded ends the session for awaitWindow, which then fails.
func (s *session) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		close(s.windowOpened)
	}
}

// errWindowClosed says that the peer has accepted no transfer for writeTimeout.
var errWindowClosed = errors.New("the peer's window stays shut")

// awaitWindow waits until the peer accepts another transfer, and counts that. It fails with errWindowClosed after
// writeTimeout, and with errConnectionClosing at the session's end.
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

// takeDeliveryID returns the id of the next delivery to the peer.
func (s *session) takeDeliveryID() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextDeliveryID++
	return s.nextDeliveryID - 1
}

// sendTransfer sends a transfer, in as many frames as the peer's largest frame requires. It blocks while the peer's window
// is closed.
func (s *session) sendTransfer(transfer framing.Performative, payload []byte) error {
	room := s.maxPayload(transfer.With(framing.TransferMore, true))
	for {
		if err := s.awaitWindow(); err != nil {
			return err
		}
		if len(payload) <= room {
			return s.writeFrame(s.channel, transfer, payload)
		}
		if err := s.writeFrame(s.channel, transfer.With(framing.TransferMore, true), payload[:room]); err != nil {
			return err
		}
		payload = payload[room:]
	}
}

// receiveTransfer counts a transfer that has been received, and reopens the window in time. A pending one, which waits to
// be sent on, keeps its place in the window until releaseTransfers.
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

// needsWindowUpdate reports whether the window is to be reopened: at most half of what it could be is left. The caller
// holds the lock.
func (s *session) needsWindowUpdate() bool {
	largest := sessionWindow - min(s.pendingTransfers, sessionWindow)
	return s.incomingWindow <= largest/2 && s.incomingWindow < sessionWindow-s.pendingTransfers
}

// releaseTransfers counts n pending transfers that have been sent on or dropped.
func (s *session) releaseTransfers(n int) {
	s.mu.Lock()
	s.pendingTransfers -= uint32(n)
	gain := sessionWindow - s.pendingTransfers - s.incomingWindow
	reopen := n > 0 && !s.ended && s.needsWindowUpdate() && gain >= minWindowUpdate
	s.mu.Unlock()
	if reopen {
		s.sendFlow(framing.Performative{Code: framing.CodeFlow}) // on failure the reader sees why
	}
}

// sendFlow sends a flow with the session's part filled in, which reopens the incoming window.
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
