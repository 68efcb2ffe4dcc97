package line

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

const (
	byeWait   = 5 * time.Second        // a server may take this long to end what its client has
	lastWait  = 200 * time.Millisecond // an opening that is under way has this long once the relay answers all who wait
	pingsMost = 16                     // that a client may send before its opening
)

// Frontend is where clients of the platform come in.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter

	notes notes
}

// Serve takes clients until the listener is closed, and then sees those through
// that it has.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return listener.Serve(ctx, l, f.Limiter, f.client)
}

// showOut tells a client that has not said what it wants to come again. So short
// a line never waits for a client that has been sent next to nothing.
func showOut(c *net.TCPConn) {
	c.SetWriteDeadline(time.Now().Add(time.Millisecond))
	io.WriteString(c, "BUSY\r\n")
	listener.Discard(c)
	c.Close()
}

// client sees one client's connection through.
func (f *Frontend) client(ctx context.Context, conn *net.TCPConn, g *listener.Admission) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	c := newClient(conn)
	defer c.Close()
	g.OnEvict(func() { showOut(conn) })
	// The whole opening has to be there by then; nothing that comes before it gives
	// a client more time.
	c.SetReadDeadline(g.IdleSince.Add(listener.OpeningTimeout))
	// Whoever writes it in pieces is still owed a word when the relay ends.
	hurried := make(chan struct{})
	hurry := context.AfterFunc(f.Proxy.Closing(), func() {
		defer close(hurried)
		if late := time.Now().Add(lastWait); late.Before(g.IdleSince.Add(listener.OpeningTimeout)) {
			c.SetReadDeadline(late)
		}
	})
	defer hurry()
	for pings := 0; ; pings++ {
		text, err := c.r.ReadSlice('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) && f.Proxy.Closing().Err() != nil {
			c.end(busy(0))
			go c.drain()
			c.finish()
			return
		}
		if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, os.ErrDeadlineExceeded) || pings > pingsMost {
			f.bad(c, "no opening has come in time, or one too long")
			return
		}
		if err != nil {
			return
		}
		text = trimEnd(text)
		if string(text) == "PING" {
			if c.write([]byte("PONG\r\n")) != nil {
				return
			}
			continue
		}
		o, err := parseOpening(string(text))
		terms := f.Proxy.Settings()
		class := terms.ClassIndex(o.class)
		if err != nil || class < 0 {
			f.bad(c, "an opening that can't be read, or of no known class")
			return
		}
		if !terms.AcceptsTenant(o.tenant) {
			f.bad(c, "an opening of no known tenant")
			return
		}
		ask := f.ask(o, terms, class)
		release, ok := f.Proxy.Admit(conn.RemoteAddr(), ask)
		if !ok {
			f.turnAway(ctx, c, ask, proxy.CauseQuotaExceeded)
			return
		}
		defer release()
		if !g.Acquire() {
			f.turnAway(ctx, c, ask, proxy.CauseConnectionLimit)
			return
		}
		if !hurry() {
			<-hurried
		}
		c.SetReadDeadline(time.Time{})
		x := f.exchange(c)
		x.opening = o
		f.see(ctx, x, g, ask, func(ctx context.Context) { f.Proxy.Serve(ctx, ask, x) })
		return
	}
}

func trimEnd(text []byte) []byte {
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text
}

// bad answers what makes no sense: one clean failure.
func (f *Frontend) bad(c *client, what string) {
	f.Proxy.ProtocolError("line", what)
	c.end("ERR\r\n")
	go c.drain()
	c.finish()
}

// turnAway answers a client that no seat is free for, or that is over a limit. Its opening has been read:
// closing with it unread would reset the connection, and lose the answer.
func (f *Frontend) turnAway(ctx context.Context, c *client, ask proxy.Request, cause proxy.EndCause) {
	c.end(busy(f.Proxy.Reject(ctx, ask, cause)))
	go c.drain()
	c.finish()
}

// ask is what an opening asks for.
func (f *Frontend) ask(o opening, terms *balancer.Settings, class int) proxy.Request {
	return proxy.Request{Front: "line", Name: o.id, Class: o.class, Tenant: o.tenant, EndpointName: o.at, RequestOptions: balancer.RequestOptions{
		Settings: terms, Class: class, Item: o.item, Group: o.group, ExpectedLoad: o.load, Returning: o.back,
		Deadline: f.Proxy.Clock.Now() + o.wait, Established: o.at != "",
	}}
}

func (f *Frontend) exchange(c *client) *exchange {
	return &exchange{
		front: f, client: c, joined: make(chan joint, 1), up: newLane(splitter{}), down: newLane(splitter{}),
		resumed: make(chan struct{}), settled: make(chan struct{}),
	}
}

// see sees a client with a seat through: its transaction, and its leave.
func (f *Frontend) see(ctx context.Context, x *exchange, g *listener.Admission, ask proxy.Request, serve func(context.Context)) {
	ctx, left := context.WithCancel(ctx)
	defer left()
	c := x.client
	go x.upstream(left)
	serve(ctx)
	close(x.joined)
	if x.Resolve(false) {
		return // another process has it
	}
	if x.early.Load() {
		f.Proxy.ProtocolError("line", "a client goes on before its answer")
		if c.end("ERR\r\n") {
			f.Proxy.Metrics.Class(ask.Class).CountFailed()
		}
	}
	c.CloseWrite() // nothing follows its last line, not even if it is shown out
	g.Release()
	c.finish()
}

// server is the application server's side of a transaction.
type server struct {
	*net.TCPConn
	r  *reader
	id balancer.EndpointID
	up []byte // the line that says that it is up
}

func newServer(c *net.TCPConn, id balancer.EndpointID) *server {
	return &server{TCPConn: c, r: newReader(c), id: id}
}

// Close ends the connection at once.
func (s *server) Close() { s.TCPConn.Close() }

// joint is what the client's stream is passed on to once the transaction is up.
type joint struct {
	server *server
	pulse  *proxy.Heartbeat
}

// exchange is one client's transaction.
type exchange struct {
	front   *Frontend
	client  *client
	opening opening
	at      *server // once it is up
	adopted bool    // it stood before it came here
	joined  chan joint
	ended   atomic.Bool // the client's own stream has
	early   atomic.Bool // the client has gone on without waiting for its answer

	up, down *lane // from the client, and to it
	parking  atomic.Bool
	resumed  chan struct{} // closed if it can't be parked: what comes from the server passes on
	settle   sync.Once
	settled  chan struct{} // closed once it is known whether another process carries it on,
	handed   bool          // and whether it does
}

// Attempt sends the opening to a server and waits for its answer.
func (x *exchange) Attempt(ctx context.Context, out proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	d := net.Dialer{Timeout: x.front.Proxy.Settings().ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", out.Endpoint.Address)
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	s := newServer(conn.(*net.TCPConn), out.Endpoint.ID)
	stop := context.AfterFunc(ctx, s.Close)
	how := x.ask(ctx, s, out)
	if !stop() && how == balancer.StatusOK {
		how = listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	if how != balancer.StatusOK {
		s.Close()
		return nil, how
	}
	return s, how
}

// ask returns what came of the opening at a server.
func (x *exchange) ask(ctx context.Context, s *server, out proxy.Attempt) balancer.AttemptStatus {
	if !out.StillPermitted(ctx) {
		return balancer.StatusNotSent
	}
	if _, err := s.Write(x.opening.with(out.TimeLeft(ctx))); err != nil {
		return listener.NotSentStatus(ctx) // of a line that is not whole nothing runs
	}
	x.front.Proxy.Metrics.Attempts.Add(1)
	text, err := s.r.line()
	if err != nil {
		return listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	switch w, _ := parseWord(text); w {
	case wordUp:
		s.up = slices.Clone(text)
		return balancer.StatusOK
	case wordBusy:
		return balancer.StatusFull
	}
	return balancer.StatusError
}

// Pipe passes lines on, both ways, until the connection has ended.
func (x *exchange) Pipe(ctx context.Context, link proxy.UpstreamConn, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	s := link.(*server)
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	// A client that ends its half as soon as it reads UP has not left before it:
	// the server is handed over first.
	x.at = s
	x.joined <- joint{s, pulse}
	if s.up != nil && x.client.write(s.up) != nil {
		return balancer.StatusCancelled
	}
	pulse.Established()
	return x.downstream(ctx, s, pulse)
}

// downstream passes on what the server says, and ends the client's side as the
// server's ends, unless it was ended from here.
func (x *exchange) downstream(ctx context.Context, s *server, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	defer x.down.stop(false)
	defer close(x.client.dry)
	how := balancer.StatusReset
	lines := &x.down.lines
	last, resumed := false, false
	clock := x.front.Proxy.Clock
	began := clock.Now()
	for {
		b, err := s.r.next()
		now := clock.Now()
		lines.feed(b, func(text []byte) {
			switch w, figure := parseWord(text); w {
			case wordBye:
				how, last = balancer.StatusOK, true
			case wordMove:
				how, last = balancer.StatusRedirected, true // it drains, whatever the list says
			case wordLoad:
				if x.front.notes.isDelay(x.front.Proxy.Settings(), s.id, figure, now, now-began) {
					pulse.ReportDelay(time.Duration(figure * float64(time.Millisecond)))
				} else {
					pulse.ReportLoad(figure / 1e6)
				}
			default:
				pulse.EndpointSent()
			}
		})
		if len(b) > 0 && x.client.write(b) != nil {
			if last { // its client left at the server's word, while more was on its way
				return how
			}
			return balancer.StatusCancelled
		}
		if last {
			x.client.closing()
		}
		switch {
		case err == nil:
		case !resumed && x.halted(err):
			x.down.stop(true)
			select {
			case <-x.resumed: // the other way has ended, and this one is about to
				resumed = true
			case <-ctx.Done(): // it is handed over or moved
				return balancer.StatusCancelled
			}
		case ctx.Err() != nil: // moved or silent: the client is still to be told
			return listener.BrokenStatus(ctx, how)
		case x.ended.Load() && how == balancer.StatusReset:
			return balancer.StatusCancelled // the client has left
		case errors.Is(err, io.EOF):
			x.client.CloseWrite()
			return how
		default:
			reset(x.client.TCPConn)
			return how
		}
	}
}

// upstream waits for the client. Before the transaction is up, the client's end
// says that it has left, and a word of it that it doesn't keep to the protocol:
// passed on, a heap of commands would be the server's to sort out. From then on,
// what it says is passed on, and its end as well. What comes after that is read
// and left aside.
func (x *exchange) upstream(left func()) {
	defer x.drain()
	defer x.up.stop(false)
	_, err := x.client.r.Peek(1)
	var to joint
	if x.adopted {
		to = <-x.joined // its client was told long ago, and may speak before the two are joined here
	} else {
		select {
		case to = <-x.joined: // before UP was written, and closed after any other answer
		default:
			x.early.Store(err == nil)
			left()
		}
	}
	for err == nil && to.server != nil {
		if _, err = x.client.r.Peek(1); err == nil {
			b, _ := x.client.r.Peek(x.client.r.Buffered())
			x.up.lines.feed(b, func([]byte) { to.pulse.ClientSent() })
			_, broke := to.server.Write(b)
			_, _ = x.client.r.Discard(len(b)) // they are buffered
			if broke != nil {
				to.server = nil // the other direction sees why
			}
		}
	}
	if to.server != nil && x.halted(err) {
		x.up.stop(true)
		return
	}
	if err != nil {
		x.ended.Store(true)
	}
	if to.server == nil {
		return
	}
	if errors.Is(err, syscall.ECONNRESET) {
		reset(to.server.TCPConn)
		return
	}
	to.server.CloseWrite()
	to.server.SetReadDeadline(time.Now().Add(byeWait))
}

// BadRequest answers what makes no sense.
func (x *exchange) BadRequest(string) { x.client.end("ERR\r\n") }

// Reject answers that trying again is harmless.
func (x *exchange) Reject(comeBack time.Duration) { x.client.end(busy(comeBack)) }

// Fail answers what promises nothing.
func (x *exchange) Fail() { x.client.end("ERR\r\n") }

// Migrate sends the client away politely.
func (x *exchange) Migrate() bool { return x.client.end(lineMove) }
