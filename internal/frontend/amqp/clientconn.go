package amqp

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
)

// clientConnection is a client's connection.
type clientConnection struct {
	*connection
	frontend    *Frontend
	admission   *listener.Admission
	ctx         context.Context
	activeLinks sync.WaitGroup
	sessions    map[uint16]*clientSession
	done        chan struct{}
	containerID string // of its container
	user        string // who it is
	tcp         *net.TCPConn
	tlsState    *tls.ConnectionState // nil: it came without
}

// handshakeTLS brings TLS up, where it is to be. A client that shows nothing of it has as long as for
// the greeting, of which this is a part.
func (c *clientConnection) handshakeTLS() error {
	config := c.frontend.Authenticator.TLS()
	if config == nil {
		return nil
	}
	ctx, done := context.WithDeadline(c.ctx, c.admission.IdleSince.Add(openTimeout))
	defer done()
	secured := tls.Server(c.tcp, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		c.frontend.Proxy.ProtocolError("amqp", "no TLS comes about: "+err.Error())
		return err // which is no fault: there is nobody to tell it to in the standard's words
	}
	state := secured.ConnectionState()
	c.tlsState = &state
	c.connection = newConnection(secured)
	return nil
}

// linger lets the client read the last that it was told before the connection ends: closing with
// words of the client unread would reset it. One that has left is not waited for.
func (c *clientConnection) linger() {
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	_, _ = io.CopyN(io.Discard, c.reader, listener.LingerMaxBytes)
}

// evict closes a connection without links to make room for another. It never
// waits for who is writing on it.
func (c *clientConnection) evict() {
	if c.mu.TryLock() {
		c.writesClosed = true
		c.writeBuffer = framing.AppendFrame(c.writeBuffer[:0], framing.TypeAMQP, 0,
			framing.NewClose(framing.Errorf(framing.CondResourceLimitExceeded, "the relay needs the room")), nil)
		c.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.Write(c.writeBuffer) // the close follows either way
		c.mu.Unlock()
	}
	listener.Discard(c.tcp)
	c.tcp.Close()
}

// serve greets the client and takes its frames, until its connection ends.
func (c *clientConnection) serve() error {
	c.openDeadline = c.admission.IdleSince.Add(openTimeout)
	if err := c.negotiate(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.Errorf(framing.CondResourceLimitExceeded, "the connection has not been opened in time")
		}
		return err
	}
	c.openDeadline = time.Time{}
	c.admission.OnEvict(c.evict)
	go c.closeOnShutdown()
	idle := cmp.Or(c.frontend.IdleTimeout, clientIdleTimeout)
	for {
		frame, err := c.readFrame(framing.TypeAMQP, idle)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.Errorf(framing.CondResourceLimitExceeded, "nothing has come for the time of the idle time-out")
		}
		if err != nil {
			return err
		}
		if frame.Code == framing.CodeClose {
			c.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
			return nil
		}
		if err := c.handleFrame(frame); err != nil {
			return err
		}
	}
}

// negotiate exchanges headers, the security layer's frames and the opens.
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
	} else if !c.frontend.Authenticator.Bare() {
		c.writeProtocolHeader(framing.ProtocolHeaderSASL) // which the standard has for an answer, and the end
		return errors.New("the client comes without the security layer, and has to say who it is")
	}
	if err := c.writeProtocolHeader(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	if header != framing.ProtocolHeaderAMQP {
		return errors.New("the client speaks another protocol") // it has been told ours
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

// authenticate has the client say who it is, by one of the mechanisms that there are for it.
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
		c.frontend.Proxy.ProtocolError("amqp", "a client does not say who it is, or is not")
		return errors.New("the client does not say who it is, or is not")
	}
	c.user = user
	return c.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// closeOnShutdown closes the connection once its links have been moved, or answered: links still come until then.
func (c *clientConnection) closeOnShutdown() {
	select {
	case <-c.done:
		return
	case <-c.frontend.Proxy.Closing().Done():
	}
	select {
	case <-c.done:
		return
	case <-time.After(shutdownGrace):
	}
	c.writeFrame(0, framing.NewClose(framing.Errorf(framing.CondConnectionForced, "the relay is leaving")), nil)
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(closeTimeout))
}

// handleFrame handles a frame other than a close. Its errors end the connection.
func (c *clientConnection) handleFrame(frame framing.Frame) error {
	if frame.Empty {
		return nil
	}
	if frame.Code == framing.CodeBegin {
		return c.handleBegin(frame)
	}
	s := c.sessions[frame.Channel]
	if s == nil {
		return framing.Errorf(framing.CondFramingError, "channel %d has no session", frame.Channel)
	}
	if s.endedLocally {
		if frame.Code == framing.CodeEnd {
			delete(c.sessions, frame.Channel)
		}
		return nil
	}
	err := s.handleFrame(frame)
	// An error within a session ends that session only, except what the standard calls a framing error.
	conditionErr := framing.ConditionError{}
	if errors.As(err, &conditionErr) && conditionErr.Condition != framing.CondFramingError {
		c.frontend.Proxy.ProtocolError("amqp", conditionErr.Description)
		s.endedLocally = true
		err = s.writeFrame(frame.Channel, framing.NewEnd(conditionErr), nil)
		s.disconnect()
	}
	return err
}

// handleBegin begins a session.
func (c *clientConnection) handleBegin(begin framing.Frame) error {
	if begin.Channel > maxChannel { // section 2.7.1 has the connection closed
		return framing.Errorf(framing.CondFramingError, "channel %d is over the most", begin.Channel)
	}
	if c.sessions[begin.Channel] != nil {
		return framing.Errorf(framing.CondNotAllowed, "channel %d has a session", begin.Channel)
	}
	s := &clientSession{session: newSession(c.connection, begin.Channel), client: c, links: make(map[uint32]*link)}
	s.endWritten = new(bool) // its links may still send when it has ended
	if err := s.applyBegin(begin.Performative); err != nil {
		return err
	}
	c.sessions[begin.Channel] = s
	return s.writeFrame(begin.Channel, s.newBegin(begin.Channel), nil)
}
