package amqp

import (
	"context"
	"sync"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

const (
	maxChannel             = 7                 // highest channel number; a client connection has up to 8 sessions
	maxHandle              = 63                // highest handle; a session has up to 64 links
	minWindowUpdate        = sessionWindow / 8 // smallest window growth for which releaseTransfers sends a flow
	sessionWindow          = 256               // transfers that a peer may send before they are forwarded
	maxUnsettledDeliveries = 4096              // per link
)

// session is the state of a session with a client or an endpoint (section 2.5.6). One goroutine reads; any goroutine
// may write.
type session struct {
	*connection
	channel    uint16
	window     uint32 // transfers that the peer may send before they are forwarded; set before the begin
	endWritten bool   // this side's end was sent; guarded by the connection's lock
	silenced   bool   // nothing but this side's end may be sent; guarded by the connection's lock

	mu                   sync.Mutex    // guards the fields below
	windowOpened         chan struct{} // closed and replaced when the remote incoming window changes
	ended                bool
	nextOutgoingID       uint32 // transfer id of the next transfer to the peer
	remoteIncomingWindow uint32 // transfers that the peer accepts until its next flow
	nextIncomingID       uint32 // transfer id of the peer's next transfer
	incomingWindow       uint32 // transfers that the relay accepts until its next flow
	pendingTransfers     uint32 // transfers received and not yet forwarded
	nextDeliveryID       uint32 // id of the next delivery to the peer
}

func newSession(conn *connection, channel uint16) *session {
	return &session{connection: conn, channel: channel, window: sessionWindow, windowOpened: make(chan struct{}), incomingWindow: sessionWindow}
}

// limitWindow makes the session's window smaller than sessionWindow. It is called before the begin.
func (s *session) limitWindow(window uint32) { s.window, s.incomingWindow = window, window }

// lockForWriting locks the connection. It fails with errConnectionClosing after silence, the session's end or a close,
// because links may still try to send.
func (s *session) lockForWriting() error {
	s.connection.mu.Lock()
	if s.writesClosed || s.endWritten || s.silenced {
		s.connection.mu.Unlock()
		return errConnectionClosing
	}
	return nil
}

// writeFrame sends a frame of the session. It fails with errConnectionClosing after the end.
func (s *session) writeFrame(channel uint16, performative framing.Performative, payload []byte) error {
	if err := s.lockForWriting(); err != nil {
		return err
	}
	defer s.connection.mu.Unlock()
	s.endWritten = performative.Code == framing.CodeEnd
	return s.writeLocked(channel, performative, payload)
}

// silence makes all sends fail but that of the end, after the peer has ended the session or its connection.
func (s *session) silence() {
	s.connection.mu.Lock()
	defer s.connection.mu.Unlock()
	s.silenced = true
}

// writeEnd sends this side's end, unless it was sent or the connection is closing.
func (s *session) writeEnd(end framing.Performative) error {
	s.connection.mu.Lock()
	defer s.connection.mu.Unlock()
	if s.writesClosed || s.endWritten {
		return errConnectionClosing
	}
	s.endWritten = true
	return s.writeLocked(s.channel, end, nil)
}

// writeInitial sends the first frames of a session or a link in a single write. It waits for the connection's lock
// until ctx ends. It calls permitted with the lock held, just before writing, and returns errNoLongerPermitted if that
// is false. It fails with a ConditionError, and sends nothing, if a frame is too large for the peer.
func (s *session) writeInitial(ctx context.Context, permitted func() bool, frames ...framing.Performative) error {
	conn := s.connection
	if !conn.mu.LockContext(ctx) {
		return ctx.Err()
	}
	defer conn.mu.Unlock()
	if conn.writesClosed {
		return errConnectionClosing
	}
	conn.writeBuffer = conn.writeBuffer[:0]
	for _, performative := range frames {
		if err := conn.appendFrame(s.channel, performative, nil); err != nil {
			return err
		}
	}
	if !permitted() {
		return errNoLongerPermitted
	}
	return conn.flush()
}

// newBegin returns a begin. remoteChannel is the channel of the begin that it answers; nil if it answers none.
func (s *session) newBegin(remoteChannel any) framing.Performative {
	return framing.Performative{Code: framing.CodeBegin, Fields: codec.List{
		remoteChannel, s.nextOutgoingID, s.window, uint32(sessionWindow), uint32(maxHandle),
	}}
}

// applyBegin applies the peer's begin. An error is a ConditionError.
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

// applyFlow applies the session fields of the peer's flow.
func (s *session) applyFlow(flow framing.Performative) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended { // windowOpened is closed
		return
	}
	// The window is relative to the last transfer that the peer had received (section 2.5.6).
	windowEnd := flow.Uint32(framing.FlowNextIncomingID, 0) + flow.Uint32(framing.FlowIncomingWindow, 0)
	s.remoteIncomingWindow = windowEnd - s.nextOutgoingID
	if int32(s.remoteIncomingWindow) < 0 {
		s.remoteIncomingWindow = 0
	}
	close(s.windowOpened)
	s.windowOpened = make(chan struct{})
}

// handleFlow validates and applies the session fields of a flow. It answers a flow without a handle that requests an
// echo.
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

// markEnded marks the session as ended, which makes its links' awaitWindow fail.
func (s *session) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		close(s.windowOpened)
	}
}

// windowState reports whether the peer's window admits a transfer, and returns a channel that is closed when the window
// changes. It fails with errConnectionClosing at the session's end.
func (s *session) windowState() (changed <-chan struct{}, isOpen bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, false, errConnectionClosing
	}
	return s.windowOpened, s.remoteIncomingWindow > 0, nil
}

// takeTransferID takes a place in the peer's window and the next transfer id. It reports false if the window is closed.
// The transfer must be sent before any other takes an id.
func (s *session) takeTransferID() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remoteIncomingWindow == 0 {
		return false
	}
	s.remoteIncomingWindow--
	s.nextOutgoingID++
	return true
}

// takeDeliveryID returns the id for the next delivery to the peer and advances the counter.
func (s *session) takeDeliveryID() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextDeliveryID++
	return s.nextDeliveryID - 1
}

// receiveTransfer counts a received transfer and sends a flow when the window must be reopened. A pending transfer,
// which is still to be forwarded, occupies the window until releaseTransfers.
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

// needsWindowUpdate reports whether to reopen the incoming window: at most half of its possible size is left. The
// caller holds the lock.
func (s *session) needsWindowUpdate() bool {
	largest := s.window - min(s.pendingTransfers, s.window)
	return s.incomingWindow <= largest/2 && s.incomingWindow < s.window-s.pendingTransfers
}

// releaseTransfers removes count pending transfers, which were forwarded or dropped, and reopens the window if that is
// due.
func (s *session) releaseTransfers(count int) {
	s.mu.Lock()
	s.pendingTransfers -= uint32(count)
	gain := s.window - s.pendingTransfers - s.incomingWindow
	reopen := count > 0 && !s.ended && s.needsWindowUpdate() && gain >= minWindowUpdate
	s.mu.Unlock()
	if reopen {
		s.sendFlow(framing.Performative{Code: framing.CodeFlow}) // a write error also fails the connection's reader
	}
}

// sendFlow sends a flow with the session fields filled in. It reopens the incoming window.
func (s *session) sendFlow(flow framing.Performative) error {
	if err := s.lockForWriting(); err != nil {
		return err
	}
	defer s.connection.mu.Unlock()
	return s.writeLocked(s.channel, s.fillFlow(flow), nil)
}

// fillFlow returns a flow with the session fields filled in, and reopens the incoming window, so that the flow must be
// sent. The caller holds the connection's lock.
func (s *session) fillFlow(flow framing.Performative) framing.Performative {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incomingWindow = s.window - min(s.pendingTransfers, s.window)
	return flow.With(framing.FlowNextIncomingID, s.nextIncomingID).
		With(framing.FlowIncomingWindow, s.incomingWindow).
		With(framing.FlowNextOutgoingID, s.nextOutgoingID).
		With(framing.FlowOutgoingWindow, uint32(sessionWindow))
}
