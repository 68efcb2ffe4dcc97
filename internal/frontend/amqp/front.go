package amqp

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"lockroad/internal/auth"
	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

const (
	openTimeout   = listener.OpeningTimeout // a client may take this long to open, all in all
	shutdownGrace = 200 * time.Millisecond  // a connection whose links are moved or answered has this long once the relay ends
	closeTimeout  = time.Second             // a peer may take this long to answer a close
)

// Frontend is where clients that speak AMQP come in.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter // its seats are for links, its room for connections without
	// ServerPort is where application servers speak AMQP; 0: as discovery says.
	EndpointPort int
	IdleTimeout  time.Duration // a client that is silent for this long goes; 0: the usual

	Authenticator *auth.Authenticator // says who clients are and what they may open; nil: everyone everything
	EndpointTLS   *auth.EndpointTLS   // how connections to application servers are secured; nil: they are not
	Pool          connpool.Settings   // connections to servers that transactions share; zero: each has its own
	Placements    []Placement         // what links want whose attach does not say it; each is compiled

	endpointsWithoutSASL sync.Map           // addresses of servers that speak without the security layer
	sharedConnections    *sharedConnections // nil: no connections are shared
}

// Serve takes clients until the listener is closed, and then sees those through
// that it has.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	if f.Pool.MaxSessions > 0 {
		f.sharedConnections = newSharedConnections(f, f.Pool)
		defer f.sharedConnections.close()
		defer context.AfterFunc(ctx, f.sharedConnections.close)() // at the relay's end nobody waits for a server that does not read
	}
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

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

// serveClient sees one connection through.
func (f *Frontend) serveClient(ctx context.Context, tcp *net.TCPConn, g *listener.Admission) {
	ctx, cancel := context.WithCancel(ctx)
	c := &clientConnection{
		connection: newConnection(tcp), frontend: f, admission: g, ctx: ctx, tcp: tcp,
		sessions: make(map[uint16]*clientSession), done: make(chan struct{}), user: auth.AnonymousUser,
	}
	closed := context.AfterFunc(ctx, func() { tcp.Close() })
	err := c.handshakeTLS()
	if err == nil {
		err = c.serve()
	}
	if bad := (framing.ConditionError{}); errors.As(err, &bad) {
		f.Proxy.ProtocolError("amqp", bad.Description)
		c.writeFrame(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
	}
	for _, s := range c.sessions { // ahead of the wait: nothing of them is to go to a server any more
		s.disconnect()
	}
	c.linger()
	c.activeLinks.Wait()
	close(c.done)
	closed()
	cancel()
	tcp.Close()
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
			framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(framing.CondResourceLimitExceeded, "the relay needs the room", nil)}}, nil)
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
			return framing.ConditionError{Condition: framing.CondResourceLimitExceeded, Description: "the connection has not been opened in time"}
		}
		return err
	}
	c.openDeadline = time.Time{}
	c.admission.OnEvict(c.evict)
	go c.closeOnShutdown()
	idle := cmp.Or(c.frontend.IdleTimeout, clientIdleTimeout)
	for {
		f, err := c.readFrame(framing.TypeAMQP, idle)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.ConditionError{Condition: framing.CondResourceLimitExceeded, Description: "nothing has come for the time of the idle time-out"}
		}
		if err != nil {
			return err
		}
		if f.Code == framing.CodeClose {
			c.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
			return nil
		}
		if err := c.handleFrame(f); err != nil {
			return err
		}
	}
}

// negotiate exchanges headers, the security layer's frames and the opens.
func (c *clientConnection) negotiate() error {
	h, err := c.readProtocolHeader(openTimeout)
	if err != nil {
		return err
	}
	if h == framing.ProtocolHeaderSASL {
		if err := c.authenticate(); err != nil {
			return err
		}
		if h, err = c.readProtocolHeader(openTimeout); err != nil {
			return err
		}
	} else if !c.frontend.Authenticator.Bare() {
		c.writeProtocolHeader(framing.ProtocolHeaderSASL) // which the standard has for an answer, and the end
		return errors.New("the client comes without the security layer, and has to say who it is")
	}
	if err := c.writeProtocolHeader(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	if h != framing.ProtocolHeaderAMQP {
		return errors.New("the client speaks another protocol") // it has been told ours
	}
	f, err := c.readFrame(framing.TypeAMQP, openTimeout)
	if err != nil {
		return err
	}
	if f.Code != framing.CodeOpen {
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: "a connection begins with an open"}
	}
	c.containerID = codec.AsString(f.Field(0))
	idle := c.applyOpen(f.Performative)
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
	gate := c.frontend.Authenticator
	var names codec.Array
	for _, name := range gate.Mechanisms(c.tlsState) {
		names = append(names, codec.Symbol(name))
	}
	if err := c.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{names}}); err != nil {
		return err
	}
	f, err := c.readFrame(framing.TypeSASL, openTimeout)
	if err != nil {
		return err
	}
	response, _ := f.Field(1).([]byte)
	user, ok := "", false
	if f.Code == framing.CodeSASLInit {
		user, ok = gate.Authenticate(codec.AsString(f.Field(0)), response, c.tlsState)
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
	c.writeFrame(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(framing.CondConnectionForced, "the relay is leaving", nil)}}, nil)
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(closeTimeout))
}

// handleFrame handles a frame other than a close.
func (c *clientConnection) handleFrame(f framing.Frame) error {
	if f.Empty {
		return nil
	}
	s := c.sessions[f.Channel]
	if f.Code == framing.CodeBegin {
		if f.Channel > maxChannel { // section 2.7.1 has the connection closed
			return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d is over the most", f.Channel)}
		}
		if s != nil {
			return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d has a session", f.Channel)}
		}
		s = &clientSession{session: newSession(c.connection, f.Channel), client: c, links: make(map[uint32]*link)}
		s.endWritten = new(bool) // its links may have words left when it has ended
		if err := s.applyBegin(f.Performative); err != nil {
			return err
		}
		c.sessions[f.Channel] = s
		return s.writeFrame(f.Channel, s.newBegin(f.Channel), nil)
	}
	if s == nil {
		return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d has no session", f.Channel)}
	}
	if s.endedLocally {
		if f.Code == framing.CodeEnd {
			delete(c.sessions, f.Channel)
		}
		return nil
	}
	err := s.handleFrame(f)
	// What is wrong within a session ends that session only, but for what the standard calls framing errors.
	if bad := (framing.ConditionError{}); errors.As(err, &bad) && bad.Condition != framing.CondFramingError {
		c.frontend.Proxy.ProtocolError("amqp", bad.Description)
		s.endedLocally = true
		err := s.writeFrame(f.Channel, framing.Performative{Code: framing.CodeEnd, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
		s.disconnect()
		return err
	}
	return err
}

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

// parseRequest reads what the attach says of the transaction, or else the rule for it. It returns the attach with what the
// rule has added, for the application server. Its error names what is missing, for the client.
func (f *Frontend) parseRequest(p framing.Performative, container, name string) (proxy.Request, framing.Performative, error) {
	props, _ := p.Field(13).(codec.Map)
	address := terminusAddress(p)
	rule := f.findPlacement(address, container)
	ask := proxy.Request{Front: "amqp", Name: container + "/" + name, Class: codec.AsString(props.Get(propClass)), Tenant: codec.AsString(props.Get(propTenant))}
	ask.Settings = f.Proxy.Settings()
	if ask.Class == "" && rule != nil {
		ask.Class = rule.Class
		props = props.With(propClass, ask.Class)
	}
	if ask.RequestOptions.Class = ask.Settings.ClassIndex(ask.Class); ask.Class == "" {
		return ask, p, fmt.Errorf("no class is told: there is neither the property %q nor a rule for the address %q of the container %q", propClass, address, container)
	} else if ask.RequestOptions.Class < 0 {
		return ask, p, fmt.Errorf("%q is no known class", ask.Class)
	}
	if !ask.Settings.AcceptsTenant(ask.Tenant) {
		return ask, p, fmt.Errorf("%q is no known tenant; the property %q names one", ask.Tenant, propTenant)
	}
	var give time.Duration
	switch wait, ok := codec.AsUint64(props.Get(propDeadline)); {
	case ok && wait <= 1<<31:
		give = time.Duration(wait) * time.Millisecond
	case props.Get(propDeadline) != nil || rule == nil:
		return ask, p, fmt.Errorf("the property %q has to tell in milliseconds how long the client waits", propDeadline)
	default:
		give = cmp.Or(rule.Timeout, ask.Settings.Classes[ask.RequestOptions.Class].Deadline)
	}
	ask.Deadline = f.Proxy.Clock.Now() + give
	if ask.Group = hashKey(props.Get(propGroup)); ask.Group == 0 && rule != nil {
		if ask.Group = rule.groupKey(p, address, container); ask.Group != 0 {
			props = props.With(propGroup, strconv.FormatUint(ask.Group, 16))
		}
	}
	ask.Item = hashKey(props.Get(propItem))
	ask.Returning, _ = props.Get(propReturning).(bool)
	if us, ok := parseLoad(props.Get(propLoad)); ok {
		ask.ExpectedLoad = us / 1e6
	}
	return ask, p.With(13, props), nil
}
