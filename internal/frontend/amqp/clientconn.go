package amqp

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/throttle"
)

// clientConnection is one connection of a client. The goroutine of Frontend.serveClient reads it, owns its fields and
// waits for the goroutines that serve its links.
type clientConnection struct {
	*connection
	frontend    *Frontend
	admission   *listener.Admission
	ctx         context.Context
	activeLinks sync.WaitGroup
	sessions    map[uint16]*clientSession
	done        chan struct{} // closed once all links have ended
	containerID string        // of the client's open
	user        string        // authenticated user; auth.AnonymousUser without authentication
	tcp         *net.TCPConn
	memory      *memoryAccount       // of its frames that wait for endpoints
	meter       *throttle.Meter      // of the work that its frames cause
	departed    bool                 // the client has closed its side, though not all that it has sent is read
	tlsState    *tls.ConnectionState // nil without TLS
}

// handshakeTLS completes the TLS handshake if TLS is configured. It shares openTimeout with the protocol negotiation.
func (c *clientConnection) handshakeTLS() error {
	config := c.frontend.Authenticator.TLSConfig()
	if config == nil {
		return nil
	}
	ctx, done := context.WithDeadline(c.ctx, c.admission.IdleSince.Add(openTimeout))
	defer done()
	tlsConn := tls.Server(c.tcp, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		c.frontend.Proxy.ProtocolError("amqp", "TLS handshake failed: "+err.Error())
		return err // not a ConditionError, which would be sent to the client
	}
	state := tlsConn.ConnectionState()
	c.tlsState = &state
	c.connection = newConnection(tlsConn)
	return nil
}

// answerClose ends the requests of all links and then answers the client's close.
func (c *clientConnection) answerClose() {
	for _, s := range c.sessions {
		s.leave()
	}
	for _, s := range c.sessions {
		s.activeLinks.Wait()
	}
	answer := framing.Performative{Code: framing.CodeClose}
	for _, s := range c.sessions {
		if s.lostSome.Load() {
			answer = framing.NewClose(errDeliveriesDropped)
		}
	}
	c.writeFrame(0, answer, nil)
}

// linger lets the client read the last frames before the connection is closed: closing a socket with unread input would
// reset the connection. It returns early if the client has closed its side.
func (c *clientConnection) linger() {
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	_, _ = io.CopyN(io.Discard, c.reader, listener.LingerMaxBytes)
}

// evict closes a connection without links to make room for another. The connection limiter calls it. It skips the close
// frame instead of waiting for a goroutine that is writing.
func (c *clientConnection) evict() {
	if c.mu.TryLock() {
		c.writesClosed = true
		c.writeBuffer = framing.AppendFrame(c.writeBuffer[:0], framing.TypeAMQP, 0,
			framing.NewClose(framing.Errorf(framing.CondResourceLimitExceeded, "the relay needs the room")), nil)
		c.writeWithoutWaiting(c.writeBuffer)
		c.mu.Unlock()
	}
	listener.DiscardUnread(c.tcp)
	c.tcp.Close()
}

// writeWithoutWaiting writes what the socket accepts at once. The connection is closed next, whether it fails or not.
func (c *clientConnection) writeWithoutWaiting(data []byte) {
	const tlsWriteTimeout = time.Millisecond // the caller makes others wait
	if c.tlsState != nil {
		c.SetWriteDeadline(time.Now().Add(tlsWriteTimeout))
		_, _ = c.Write(data)
		return
	}
	listener.WriteWithoutWaiting(c.tcp, data)
}

// serve opens the connection and handles its frames until it ends. It returns nil after the client's close, which the
// caller answers. If the error is a ConditionError, the caller reports it to the client.
func (c *clientConnection) serve() error {
	c.limitReads(c.admission.IdleSince.Add(openTimeout))
	if err := c.negotiate(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.Errorf(framing.CondResourceLimitExceeded, "the connection has not been opened in time")
		}
		return err
	}
	c.limitReads(time.Time{})
	c.admission.OnEvict(c.evict)
	go c.closeOnShutdown()
	idle := cmp.Or(c.frontend.IdleTimeout, clientIdleTimeout)
	for {
		c.memory.await(c.ctx, c.checkDeparture)
		if c.meter.Rest() {
			c.checkDeparture()
		} else {
			runtime.Gosched() // many clients may send at once before any is over its allowance
		}
		frame, err := c.readFrame(framing.TypeAMQP, idle)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.Errorf(framing.CondResourceLimitExceeded, "nothing has come for the time of the idle time-out")
		}
		if err != nil {
			return err
		}
		if frame.Code == framing.CodeClose {
			return nil
		}
		began := time.Now()
		if err := c.handleFrame(frame); err != nil {
			return err
		}
		c.meter.Add(time.Since(began))
	}
}

// checkDeparture cancels all requests that are not established if the client has closed its side of the connection, though
// that is still to be read.
func (c *clientConnection) checkDeparture() {
	if c.departed || !listener.HasPeerClosed(c.tcp) {
		return
	}
	c.departed = true
	for _, s := range c.sessions {
		for _, l := range s.links {
			l.cancelPending()
		}
	}
}

// negotiate exchanges protocol headers, SASL frames and opens with the client.
func (c *clientConnection) negotiate() error {
	header, err := c.readProtocolHeader(openTimeout)
	if err != nil {
		return err
	}
	if header == framing.ProtocolHeaderSASL {
		if err := c.authenticate(); err != nil {
			return err
		}
		if header, err = c.readProtocolHeader(openTimeout); err != nil {
			return err
		}
	} else if !c.frontend.Authenticator.SASLOptional() {
		c.writeProtocolHeader(framing.ProtocolHeaderSASL) // section 5.3.2: reply with the required header, then close
		return errors.New("client sent the AMQP header without SASL, but authentication is required")
	}
	if err := c.writeProtocolHeader(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	if header != framing.ProtocolHeaderAMQP {
		return errors.New("client sent an unsupported protocol header") // it has been sent the supported one
	}
	frame, err := c.readFrame(framing.TypeAMQP, openTimeout)
	if err != nil {
		return err
	}
	if frame.Code != framing.CodeOpen {
		return framing.Errorf(framing.CondNotAllowed, "a connection begins with an open")
	}
	c.containerID = codec.AsString(frame.Field(framing.OpenContainerID))
	idle := c.applyOpen(frame.Performative)
	if err := c.writeFrame(0, newOpen("lockroad"), nil); err != nil {
		return err
	}
	go c.sendHeartbeats(idle, c.done)
	return nil
}

// authenticate runs the SASL exchange, in which the client authenticates with one of the offered mechanisms.
func (c *clientConnection) authenticate() error {
	if err := c.writeProtocolHeader(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	authenticator := c.frontend.Authenticator
	var names codec.Array
	for _, name := range authenticator.Mechanisms(c.tlsState) {
		names = append(names, codec.Symbol(name))
	}
	if err := c.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{names}}); err != nil {
		return err
	}
	frame, err := c.readFrame(framing.TypeSASL, openTimeout)
	if err != nil {
		return err
	}
	response, _ := frame.Field(framing.SASLInitInitialResponse).([]byte)
	user, ok := "", false
	if frame.Code == framing.CodeSASLInit {
		user, ok = authenticator.Authenticate(codec.AsString(frame.Field(framing.SASLInitMechanism)), response, c.tlsState)
	}
	if !ok {
		c.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(1)}})
		c.frontend.Proxy.ProtocolError("amqp", "SASL authentication failed")
		return errors.New("SASL authentication of the client failed")
	}
	c.user = user
	return c.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// closeOnShutdown closes the connection shutdownGrace after the relay starts to reject pending requests. By then its
// links have been migrated or rejected; until then clients may attach. It runs in its own goroutine until the
// connection ends.
func (c *clientConnection) closeOnShutdown() {
	select {
	case <-c.done:
		return
	case <-c.frontend.Proxy.RejectingPending().Done():
	}
	select {
	case <-c.done:
		return
	case <-time.After(shutdownGrace):
	}
	c.writeFrame(0, framing.NewClose(framing.Errorf(framing.CondConnectionForced, "the relay is leaving")), nil)
	_ = c.CloseWrite()
	c.limitReads(time.Now().Add(closeTimeout))
}

// handleFrame handles a frame other than a close. An error ends the connection.
func (c *clientConnection) handleFrame(frame framing.Frame) error {
	if frame.Empty {
		return nil
	}
	if frame.Code == framing.CodeBegin {
		return c.handleBegin(frame)
	}
	session := c.sessions[frame.Channel]
	if session == nil {
		return framing.Errorf(framing.CondFramingError, "channel %d has no session", frame.Channel)
	}
	if session.endedByPeer {
		return framing.Errorf(framing.CondFramingError, "channel %d has no session any more", frame.Channel)
	}
	if session.endedLocally {
		if frame.Code == framing.CodeEnd {
			delete(c.sessions, frame.Channel)
		}
		return nil
	}
	err := session.handleFrame(frame)
	// A ConditionError ends only the session, unless it is a framing error.
	conditionErr := framing.ConditionError{}
	if errors.As(err, &conditionErr) && conditionErr.Condition != framing.CondFramingError {
		c.frontend.Proxy.ProtocolError("amqp", conditionErr.Description)
		session.endedLocally = true
		err = session.writeFrame(frame.Channel, framing.NewEnd(conditionErr), nil)
		session.disconnect()
	}
	return err
}

// handleBegin creates a session and answers the client's begin.
func (c *clientConnection) handleBegin(begin framing.Frame) error {
	if begin.Channel > maxChannel { // section 2.7.1 requires closing the connection
		return framing.Errorf(framing.CondFramingError, "channel %d is over the most", begin.Channel)
	}
	if previous := c.sessions[begin.Channel]; previous != nil {
		if !previous.endedByPeer {
			return framing.Errorf(framing.CondNotAllowed, "channel %d has a session", begin.Channel)
		}
		_ = previous.answerEnd() // fails if it was answered
	}
	s := &clientSession{session: newSession(c.connection, begin.Channel), client: c, links: make(map[uint32]*link)}
	if err := s.applyBegin(begin.Performative); err != nil {
		return err
	}
	c.sessions[begin.Channel] = s
	return s.writeFrame(begin.Channel, s.newBegin(begin.Channel), nil)
}
