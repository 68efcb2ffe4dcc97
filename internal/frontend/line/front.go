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
	endpointCloseTimeout = 5 * time.Second        // a server may take this long to end what its client has
	openingGracePeriod   = 200 * time.Millisecond // an opening that is under way has this long once the relay answers all who wait
	maxPings             = 16                     // that a client may send before its opening
)

// Frontend is where clients of the platform come in.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter

	reports reportClassifier
}

// Serve takes clients until the listener is closed, and then sees those through
// that it has.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// rejectEvicted tells a client that has not said what it wants to come again. So short
// a line never waits for a client that has been sent next to nothing.
func rejectEvicted(client *net.TCPConn) {
	client.SetWriteDeadline(time.Now().Add(time.Millisecond))
	io.WriteString(client, "BUSY\r\n")
	listener.Discard(client)
	client.Close()
}

// serveClient sees one client's connection through.
func (f *Frontend) serveClient(ctx context.Context, conn *net.TCPConn, admission *listener.Admission) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	client := newClientConn(conn)
	defer client.Close()
	admission.OnEvict(func() { rejectEvicted(conn) })
	// The whole opening has to be there by then; nothing that comes before it gives
	// a client more time.
	client.SetReadDeadline(admission.IdleSince.Add(listener.OpeningTimeout))
	// Whoever writes it in pieces is still owed a word when the relay ends.
	hurried := make(chan struct{})
	hurry := context.AfterFunc(f.Proxy.Closing(), func() {
		defer close(hurried)
		if late := time.Now().Add(openingGracePeriod); late.Before(admission.IdleSince.Add(listener.OpeningTimeout)) {
			client.SetReadDeadline(late)
		}
	})
	defer hurry()
	for pings := 0; ; pings++ {
		text, err := client.reader.ReadSlice('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) && f.Proxy.Closing().Err() != nil {
			client.writeLastLine(busyLine(0))
			go client.drain()
			client.finish()
			return
		}
		if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, os.ErrDeadlineExceeded) || pings > maxPings {
			f.rejectMalformed(client, "no opening has come in time, or one too long")
			return
		}
		if err != nil {
			return
		}
		text = trimLineEnd(text)
		if string(text) == "PING" {
			if client.write([]byte("PONG\r\n")) != nil {
				return
			}
			continue
		}
		opened, err := parseOpening(string(text))
		settings := f.Proxy.Settings()
		class := settings.ClassIndex(opened.class)
		if err != nil || class < 0 {
			f.rejectMalformed(client, "an opening that can't be read, or of no known class")
			return
		}
		if !settings.AcceptsTenant(opened.tenant) {
			f.rejectMalformed(client, "an opening of no known tenant")
			return
		}
		request := f.newRequest(opened, settings, class)
		release, ok := f.Proxy.Admit(conn.RemoteAddr(), request)
		if !ok {
			f.reject(ctx, client, request, proxy.CauseQuotaExceeded)
			return
		}
		defer release()
		if !admission.Acquire() {
			f.reject(ctx, client, request, proxy.CauseConnectionLimit)
			return
		}
		if !hurry() {
			<-hurried
		}
		client.SetReadDeadline(time.Time{})
		x := f.newExchange(client)
		x.opening = opened
		f.serveExchange(ctx, x, admission, request, func(ctx context.Context) { f.Proxy.Serve(ctx, request, x) })
		return
	}
}

func trimLineEnd(text []byte) []byte {
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text
}

// rejectMalformed answers what makes no sense: one clean failure.
func (f *Frontend) rejectMalformed(client *clientConn, what string) {
	f.Proxy.ProtocolError("line", what)
	client.writeLastLine("ERR\r\n")
	go client.drain()
	client.finish()
}

// reject answers a client that no seat is free for, or that is over a limit. Its opening has been read:
// closing with it unread would reset the connection, and lose the answer.
func (f *Frontend) reject(ctx context.Context, client *clientConn, request proxy.Request, cause proxy.EndCause) {
	client.writeLastLine(busyLine(f.Proxy.Reject(ctx, request, cause)))
	go client.drain()
	client.finish()
}

// newRequest is what an opening asks for.
func (f *Frontend) newRequest(opened opening, settings *balancer.Settings, class int) proxy.Request {
	return proxy.Request{Front: "line", Name: opened.id, Class: opened.class, Tenant: opened.tenant, EndpointName: opened.endpointName, RequestOptions: balancer.RequestOptions{
		Settings: settings, Class: class, Item: opened.item, Group: opened.group, ExpectedLoad: opened.load, Returning: opened.returning,
		Deadline: f.Proxy.Clock.Now() + opened.timeout, Established: opened.endpointName != "",
	}}
}

func (f *Frontend) newExchange(client *clientConn) *exchange {
	return &exchange{
		frontend: f, client: client, established: make(chan establishedUpstream, 1), toEndpoint: newDirection(lineSplitter{}), toClient: newDirection(lineSplitter{}),
		resumed: make(chan struct{}), resolved: make(chan struct{}),
	}
}

// serveExchange sees a client with a seat through: its transaction, and its leave.
func (f *Frontend) serveExchange(ctx context.Context, x *exchange, admission *listener.Admission, request proxy.Request, serve func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := x.client
	go x.relayToEndpoint(cancel)
	serve(ctx)
	close(x.established)
	if x.Resolve(false) {
		return // another process has it
	}
	if x.clientSpokeEarly.Load() {
		f.Proxy.ProtocolError("line", "a client goes on before its answer")
		if client.writeLastLine("ERR\r\n") {
			f.Proxy.Metrics.Class(request.Class).CountFailed()
		}
	}
	client.CloseWrite() // nothing follows its last line, not even if it is shown out
	admission.Release()
	client.finish()
}

// upstreamConn is the application server's side of a transaction.
type upstreamConn struct {
	*net.TCPConn
	reader          *reader
	endpoint        balancer.EndpointID
	establishedLine []byte // the line that says that it is up
}

func newUpstreamConn(client *net.TCPConn, id balancer.EndpointID) *upstreamConn {
	return &upstreamConn{TCPConn: client, reader: newReader(client), endpoint: id}
}

// Close ends the connection at once.
func (upstream *upstreamConn) Close() { upstream.TCPConn.Close() }

// establishedUpstream is what the client's stream is passed on to once the transaction is up.
type establishedUpstream struct {
	conn      *upstreamConn
	heartbeat *proxy.Heartbeat
}

// exchange is one client's transaction.
type exchange struct {
	frontend         *Frontend
	client           *clientConn
	opening          opening
	upstream         *upstreamConn // once it is up
	adopted          bool          // it stood before it came here
	established      chan establishedUpstream
	clientEnded      atomic.Bool // the client's own stream has
	clientSpokeEarly atomic.Bool // the client has gone on without waiting for its answer

	toEndpoint, toClient *direction // from the client, and to it
	pausing              atomic.Bool
	resumed              chan struct{} // closed if it can't be parked: what comes from the server passes on
	resolveOnce          sync.Once
	resolved             chan struct{} // closed once it is known whether another process carries it on,
	handedOff            bool          // and whether it does
}

// Attempt sends the opening to a server and waits for its answer.
func (x *exchange) Attempt(ctx context.Context, attempt proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	d := net.Dialer{Timeout: x.frontend.Proxy.Settings().ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", attempt.Endpoint.Address)
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	upstream := newUpstreamConn(conn.(*net.TCPConn), attempt.Endpoint.ID)
	stop := context.AfterFunc(ctx, upstream.Close)
	status := x.sendOpening(ctx, upstream, attempt)
	if !stop() && status == balancer.StatusOK {
		status = listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	if status != balancer.StatusOK {
		upstream.Close()
		return nil, status
	}
	return upstream, status
}

// sendOpening returns what came of the opening at a server.
func (x *exchange) sendOpening(ctx context.Context, upstream *upstreamConn, attempt proxy.Attempt) balancer.AttemptStatus {
	if !attempt.StillPermitted(ctx) {
		return balancer.StatusNotSent
	}
	if _, err := upstream.Write(x.opening.withTimeout(attempt.TimeLeft(ctx))); err != nil {
		return listener.NotSentStatus(ctx) // of a line that is not whole nothing runs
	}
	x.frontend.Proxy.Metrics.Attempts.Add(1)
	text, err := upstream.reader.line()
	if err != nil {
		return listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	switch kind, _ := parseLine(text); kind {
	case lineUp:
		upstream.establishedLine = slices.Clone(text)
		return balancer.StatusOK
	case lineBusy:
		return balancer.StatusFull
	}
	return balancer.StatusError
}

// Pipe passes lines on, both ways, until the connection has ended.
func (x *exchange) Pipe(ctx context.Context, conn proxy.UpstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	upstream := conn.(*upstreamConn)
	stop := context.AfterFunc(ctx, upstream.Close)
	defer stop()
	// A client that ends its half as soon as it reads UP has not left before it:
	// the server is handed over first.
	x.upstream = upstream
	x.established <- establishedUpstream{upstream, heartbeat}
	if upstream.establishedLine != nil && x.client.write(upstream.establishedLine) != nil {
		return balancer.StatusCancelled
	}
	heartbeat.Established()
	return x.relayToClient(ctx, upstream, heartbeat)
}

// relayToClient passes on what the server says, and ends the client's side as the
// server's ends, unless it was ended from here.
func (x *exchange) relayToClient(ctx context.Context, upstream *upstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	defer x.toClient.stop(false)
	defer close(x.client.upstreamDone)
	status := balancer.StatusReset
	lines := &x.toClient.splitter
	last, resumed := false, false
	clock := x.frontend.Proxy.Clock
	began := clock.Now()
	for {
		data, err := upstream.reader.next()
		now := clock.Now()
		lines.feed(data, func(text []byte) {
			switch kind, value := parseLine(text); kind {
			case lineBye:
				status, last = balancer.StatusOK, true
			case lineMove:
				status, last = balancer.StatusRedirected, true // it drains, whatever the list says
			case lineLoad:
				if x.frontend.reports.isDelay(x.frontend.Proxy.Settings(), upstream.endpoint, value, now, now-began) {
					heartbeat.ReportDelay(time.Duration(value * float64(time.Millisecond)))
				} else {
					heartbeat.ReportLoad(value / 1e6)
				}
			default:
				heartbeat.EndpointSent()
			}
		})
		if len(data) > 0 && x.client.write(data) != nil {
			if last { // its client left at the server's word, while more was on its way
				return status
			}
			return balancer.StatusCancelled
		}
		if last {
			x.client.noteLastLineWritten()
		}
		switch {
		case err == nil:
		case !resumed && x.endedByPause(err):
			x.toClient.stop(true)
			select {
			case <-x.resumed: // the other way has ended, and this one is about to
				resumed = true
			case <-ctx.Done(): // it is handed over or moved
				return balancer.StatusCancelled
			}
		case ctx.Err() != nil: // moved or silent: the client is still to be told
			return listener.BrokenStatus(ctx, status)
		case x.clientEnded.Load() && status == balancer.StatusReset:
			return balancer.StatusCancelled // the client has left
		case errors.Is(err, io.EOF):
			x.client.CloseWrite()
			return status
		default:
			reset(x.client.TCPConn)
			return status
		}
	}
}

// relayToEndpoint waits for the client. Before the transaction is up, the client's end
// says that it has left, and a word of it that it doesn't keep to the protocol:
// passed on, a heap of commands would be the server's to sort out. From then on,
// what it says is passed on, and its end as well. What comes after that is read
// and left aside.
func (x *exchange) relayToEndpoint(cancel func()) {
	defer x.drainClient()
	defer x.toEndpoint.stop(false)
	_, err := x.client.reader.Peek(1)
	var established establishedUpstream
	if x.adopted {
		established = <-x.established // its client was told long ago, and may speak before the two are joined here
	} else {
		select {
		case established = <-x.established: // before UP was written, and closed after any other answer
		default:
			x.clientSpokeEarly.Store(err == nil)
			cancel()
		}
	}
	for err == nil && established.conn != nil {
		if _, err = x.client.reader.Peek(1); err == nil {
			data, _ := x.client.reader.Peek(x.client.reader.Buffered())
			x.toEndpoint.splitter.feed(data, func([]byte) { established.heartbeat.ClientSent() })
			_, writeErr := established.conn.Write(data)
			_, _ = x.client.reader.Discard(len(data)) // they are buffered
			if writeErr != nil {
				established.conn = nil // the other direction sees why
			}
		}
	}
	if established.conn != nil && x.endedByPause(err) {
		x.toEndpoint.stop(true)
		return
	}
	if err != nil {
		x.clientEnded.Store(true)
	}
	if established.conn == nil {
		return
	}
	if errors.Is(err, syscall.ECONNRESET) {
		reset(established.conn.TCPConn)
		return
	}
	established.conn.CloseWrite()
	established.conn.SetReadDeadline(time.Now().Add(endpointCloseTimeout))
}

// BadRequest answers what makes no sense.
func (x *exchange) BadRequest(string) { x.client.writeLastLine("ERR\r\n") }

// Reject answers that trying again is harmless.
func (x *exchange) Reject(retryAfter time.Duration) { x.client.writeLastLine(busyLine(retryAfter)) }

// Fail answers what promises nothing.
func (x *exchange) Fail() { x.client.writeLastLine("ERR\r\n") }

// Migrate sends the client away politely.
func (x *exchange) Migrate() bool { return x.client.writeLastLine(migrateLine) }
