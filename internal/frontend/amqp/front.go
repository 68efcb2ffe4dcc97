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
	helloWait = listener.OpeningTimeout // a client may take this long to open, all in all
	leaveWait = 200 * time.Millisecond  // a connection whose links are moved or answered has this long once the relay ends
	byeWait   = time.Second             // a peer may take this long to answer a close
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

	plain  sync.Map // addresses of servers that speak without the security layer
	trunks *trunks  // nil: no connections are shared
}

// Serve takes clients until the listener is closed, and then sees those through
// that it has.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	if f.Pool.MaxSessions > 0 {
		f.trunks = newTrunks(f, f.Pool)
		defer f.trunks.close()
		defer context.AfterFunc(ctx, f.trunks.close)() // at the relay's end nobody waits for a server that does not read
	}
	return listener.Serve(ctx, l, f.Limiter, f.client)
}

// client is a client's connection.
type client struct {
	*conn
	front    *Frontend
	guest    *listener.Admission
	ctx      context.Context
	links    sync.WaitGroup
	sessions map[uint16]*clientSession
	stop     chan struct{}
	name     string // of its container
	user     string // who it is
	tcp      *net.TCPConn
	tls      *tls.ConnectionState // nil: it came without
}

// client sees one connection through.
func (f *Frontend) client(ctx context.Context, tcp *net.TCPConn, g *listener.Admission) {
	ctx, cancel := context.WithCancel(ctx)
	c := &client{
		conn: newConn(tcp), front: f, guest: g, ctx: ctx, tcp: tcp,
		sessions: make(map[uint16]*clientSession), stop: make(chan struct{}), user: auth.AnonymousUser,
	}
	closed := context.AfterFunc(ctx, func() { tcp.Close() })
	err := c.secures()
	if err == nil {
		err = c.run()
	}
	if bad := (framing.ConditionError{}); errors.As(err, &bad) {
		f.Proxy.ProtocolError("amqp", bad.Description)
		c.write(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
	}
	for _, s := range c.sessions { // ahead of the wait: nothing of them is to go to a server any more
		s.lost()
	}
	c.linger()
	c.links.Wait()
	close(c.stop)
	closed()
	cancel()
	tcp.Close()
}

// secures brings TLS up, where it is to be. A client that shows nothing of it has as long as for
// the greeting, of which this is a part.
func (c *client) secures() error {
	config := c.front.Authenticator.TLS()
	if config == nil {
		return nil
	}
	ctx, done := context.WithDeadline(c.ctx, c.guest.IdleSince.Add(helloWait))
	defer done()
	secured := tls.Server(c.tcp, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		c.front.Proxy.ProtocolError("amqp", "no TLS comes about: "+err.Error())
		return err // which is no fault: there is nobody to tell it to in the standard's words
	}
	state := secured.ConnectionState()
	c.tls = &state
	c.conn = newConn(secured)
	return nil
}

// linger lets the client read the last that it was told before the connection ends: closing with
// words of the client unread would reset it. One that has left is not waited for.
func (c *client) linger() {
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	_, _ = io.CopyN(io.Discard, c.r, listener.LingerMaxBytes)
}

// showOut closes a connection without links to make room for another. It never
// waits for who is writing on it.
func (c *client) showOut() {
	if c.mu.TryLock() {
		c.quit = true
		c.buf = framing.AppendFrame(c.buf[:0], framing.TypeAMQP, 0,
			framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(framing.CondResourceLimitExceeded, "the relay needs the room", nil)}}, nil)
		c.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.Write(c.buf) // the close follows either way
		c.mu.Unlock()
	}
	listener.Discard(c.tcp)
	c.tcp.Close()
}

// run greets the client and takes its frames, until its connection ends.
func (c *client) run() error {
	c.until = c.guest.IdleSince.Add(helloWait)
	if err := c.greet(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.ConditionError{Condition: framing.CondResourceLimitExceeded, Description: "the connection has not been opened in time"}
		}
		return err
	}
	c.until = time.Time{}
	c.guest.OnEvict(c.showOut)
	go c.leave()
	idle := cmp.Or(c.front.IdleTimeout, idleMost)
	for {
		f, err := c.read(framing.TypeAMQP, idle)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return framing.ConditionError{Condition: framing.CondResourceLimitExceeded, Description: "nothing has come for the time of the idle time-out"}
		}
		if err != nil {
			return err
		}
		if f.Code == framing.CodeClose {
			c.write(0, framing.Performative{Code: framing.CodeClose}, nil)
			return nil
		}
		if err := c.take(f); err != nil {
			return err
		}
	}
}

// greet exchanges headers, the security layer's frames and the opens.
func (c *client) greet() error {
	h, err := c.readHeader(helloWait)
	if err != nil {
		return err
	}
	if h == framing.ProtocolHeaderSASL {
		if err := c.authenticate(); err != nil {
			return err
		}
		if h, err = c.readHeader(helloWait); err != nil {
			return err
		}
	} else if !c.front.Authenticator.Bare() {
		c.header(framing.ProtocolHeaderSASL) // which the standard has for an answer, and the end
		return errors.New("the client comes without the security layer, and has to say who it is")
	}
	if err := c.header(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	if h != framing.ProtocolHeaderAMQP {
		return errors.New("the client speaks another protocol") // it has been told ours
	}
	f, err := c.read(framing.TypeAMQP, helloWait)
	if err != nil {
		return err
	}
	if f.Code != framing.CodeOpen {
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: "a connection begins with an open"}
	}
	c.name = codec.AsString(f.Field(0))
	idle := c.opened(f.Performative)
	if err := c.write(0, open("lockroad"), nil); err != nil {
		return err
	}
	go c.beat(idle, c.stop)
	return nil
}

// authenticate has the client say who it is, by one of the mechanisms that there are for it.
func (c *client) authenticate() error {
	if err := c.header(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	gate := c.front.Authenticator
	var names codec.Array
	for _, name := range gate.Mechanisms(c.tls) {
		names = append(names, codec.Symbol(name))
	}
	if err := c.sasl(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{names}}); err != nil {
		return err
	}
	f, err := c.read(framing.TypeSASL, helloWait)
	if err != nil {
		return err
	}
	response, _ := f.Field(1).([]byte)
	user, ok := "", false
	if f.Code == framing.CodeSASLInit {
		user, ok = gate.Authenticate(codec.AsString(f.Field(0)), response, c.tls)
	}
	if !ok {
		c.sasl(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(1)}})
		c.front.Proxy.ProtocolError("amqp", "a client does not say who it is, or is not")
		return errors.New("the client does not say who it is, or is not")
	}
	c.user = user
	return c.sasl(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// leave closes the connection once its links have been moved, or answered: links still come until then.
func (c *client) leave() {
	select {
	case <-c.stop:
		return
	case <-c.front.Proxy.Closing().Done():
	}
	select {
	case <-c.stop:
		return
	case <-time.After(leaveWait):
	}
	c.write(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(framing.CondConnectionForced, "the relay is leaving", nil)}}, nil)
	_ = c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(byeWait))
}

// take handles a frame other than a close.
func (c *client) take(f framing.Frame) error {
	if f.Empty {
		return nil
	}
	s := c.sessions[f.Channel]
	if f.Code == framing.CodeBegin {
		if f.Channel > channelMost { // section 2.7.1 has the connection closed
			return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d is over the most", f.Channel)}
		}
		if s != nil {
			return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d has a session", f.Channel)}
		}
		s = &clientSession{session: newSession(c.conn, f.Channel), client: c, links: make(map[uint32]*link)}
		s.shut = new(bool) // its links may have words left when it has ended
		if err := s.begun(f.Performative); err != nil {
			return err
		}
		c.sessions[f.Channel] = s
		return s.write(f.Channel, s.begin(f.Channel), nil)
	}
	if s == nil {
		return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d has no session", f.Channel)}
	}
	if s.dead {
		if f.Code == framing.CodeEnd {
			delete(c.sessions, f.Channel)
		}
		return nil
	}
	err := s.take(f)
	// What is wrong within a session ends that session only, but for what the standard calls framing errors.
	if bad := (framing.ConditionError{}); errors.As(err, &bad) && bad.Condition != framing.CondFramingError {
		c.front.Proxy.ProtocolError("amqp", bad.Description)
		s.dead = true
		err := s.write(f.Channel, framing.Performative{Code: framing.CodeEnd, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
		s.lost()
		return err
	}
	return err
}

// clientSession is a session of a client, with its links by their handles.
type clientSession struct {
	*session
	client *client
	links  map[uint32]*link
	dead   bool // it has been ended from here
}

// lost tells all links that their client is gone.
func (s *clientSession) lost() {
	s.end()
	for _, l := range s.links {
		l.clientLost()
	}
}

func (s *clientSession) take(f framing.Frame) error {
	switch f.Code {
	case framing.CodeAttach:
		return s.attach(f.Performative)
	case framing.CodeFlow:
		if err := f.RequireUint32(1, 2, 3); err != nil {
			return err
		}
		s.flowed(f.Performative)
		if f.Field(4) == nil {
			if f.Bool(9) {
				return s.flow(framing.Performative{Code: framing.CodeFlow})
			}
			return nil
		}
	case framing.CodeTransfer:
		if err := s.took(true); err != nil {
			return err
		}
	case framing.CodeDisposition:
		if err := f.RequireUint32(1); err != nil {
			return err
		}
		for _, l := range s.links {
			l.disposed(f.Performative)
		}
		return nil
	case framing.CodeEnd:
		delete(s.client.sessions, s.channel)
		err := s.write(s.channel, framing.Performative{Code: framing.CodeEnd}, nil)
		s.lost()
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
		return l.flowed(f.Performative)
	case framing.CodeTransfer:
		return l.transferred(f)
	}
	delete(s.links, handle)
	l.clientDetached(f.Performative)
	return nil
}

// attach begins a transaction.
func (s *clientSession) attach(p framing.Performative) error {
	if err := p.RequireUint32(1); err != nil {
		return err
	}
	name, named := p.Field(0).(string)
	role, told := p.Field(2).(bool)
	handle := p.Uint32(1, 0)
	switch {
	case !named || !told:
		return framing.ConditionError{Condition: framing.CondInvalidField, Description: "an attach has to tell its name and role"}
	case handle > handleMost: // section 2.7.2 has the connection closed
		return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("handle %d is over the most", handle)}
	case s.links[handle] != nil:
		return framing.ConditionError{Condition: framing.CondHandleInUse, Description: fmt.Sprintf("handle %d has a link", handle)}
	}
	front := s.client.front
	l := &link{
		front: front, session: s.session, handle: handle, name: name,
		attach: p, sends: !role, ids: newDeliveries(),
	}
	s.links[handle] = l
	// A link's name is unique between two containers.
	ask, p, err := front.ask(p, s.client.name, name)
	l.attach = p
	if err != nil {
		front.Proxy.ProtocolError("amqp", err.Error())
		s.refuse(l, framing.CondInvalidField, err.Error(), nil)
		front.Proxy.Metrics.Class(ask.Class).CountFailed()
		return nil
	}
	if !front.Authenticator.Authorized(s.client.user, ask.Class) {
		front.Proxy.ProtocolError("amqp", "a client may not open a class")
		s.refuse(l, framing.CondUnauthorizedAccess, fmt.Sprintf("%q may not open the class %q", s.client.user, ask.Class), nil)
		front.Proxy.Metrics.Class(ask.Class).CountFailed()
		return nil
	}
	release, ok := front.Proxy.Admit(s.client.conn.RemoteAddr(), ask)
	if !ok {
		s.refuse(l, framing.CondResourceLimitExceeded, "its address or class has as many links as it may", comeBackInfo(front.Proxy.Reject(s.client.ctx, ask, proxy.CauseQuotaExceeded)))
		return nil
	}
	if !s.client.guest.Acquire() {
		release()
		s.refuse(l, framing.CondResourceLimitExceeded, "the relay holds as many links as it may", comeBackInfo(front.Proxy.Reject(s.client.ctx, ask, proxy.CauseConnectionLimit)))
		return nil
	}
	ctx, left := context.WithCancel(s.client.ctx)
	l.left = left
	s.client.links.Go(func() {
		defer s.client.guest.Release()
		defer release()
		defer left()
		front.Proxy.Serve(ctx, ask, l)
		l.finish()
	})
	return nil
}

// refuse answers an attach that never becomes a transaction. What is kept of it,
// until the client detaches, is next to nothing: refused links could else be had
// by the hundred at 8 KiB each.
func (s *clientSession) refuse(l *link, cond, why string, info codec.Map) {
	l.detach(cond, why, info)
	s.links[l.handle] = &link{front: l.front, session: l.session, handle: l.handle, sends: l.sends, ids: l.ids, detached: true}
}

// ask reads what the attach says of the transaction, or else the rule for it. It returns the attach with what the
// rule has added, for the application server. Its error names what is missing, for the client.
func (f *Frontend) ask(p framing.Performative, container, name string) (proxy.Request, framing.Performative, error) {
	props, _ := p.Field(13).(codec.Map)
	address := addressOf(p)
	rule := f.place(address, container)
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
	switch wait, ok := codec.AsUint64(props.Get(propGiveUp)); {
	case ok && wait <= 1<<31:
		give = time.Duration(wait) * time.Millisecond
	case props.Get(propGiveUp) != nil || rule == nil:
		return ask, p, fmt.Errorf("the property %q has to tell in milliseconds how long the client waits", propGiveUp)
	default:
		give = cmp.Or(rule.Timeout, ask.Settings.Classes[ask.RequestOptions.Class].Deadline)
	}
	ask.Deadline = f.Proxy.Clock.Now() + give
	if ask.Group = keyOf(props.Get(propGroup)); ask.Group == 0 && rule != nil {
		if ask.Group = rule.group(p, address, container); ask.Group != 0 {
			props = props.With(propGroup, strconv.FormatUint(ask.Group, 16))
		}
	}
	ask.Item = keyOf(props.Get(propItem))
	ask.Returning, _ = props.Get(propAgain).(bool)
	if us, ok := figure(props.Get(propLoad)); ok {
		ask.ExpectedLoad = us / 1e6
	}
	return ask, p.With(13, props), nil
}
