// Package line implements the platform's line protocol: lines of text over TCP between
// clients and the relay, and between the relay and application endpoints.
//
// A client opens one request per connection. Once an endpoint has established it, the
// package relays bytes in both directions as they arrive and only watches the lines that
// pass. The words on the wire are defined by the platform and must not change.
package line

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

const (
	// openingGracePeriod is how long a partly received opening may still take once the
	// relay rejects all pending requests.
	openingGracePeriod = 200 * time.Millisecond
	// maxPings is how many PING lines a client may send before its opening.
	maxPings = 16
	// evictionWriteTimeout bounds the write of the rejection to an evicted client. So short
	// a line never blocks on a client that has been sent next to nothing.
	evictionWriteTimeout = time.Millisecond
)

// frontendName identifies this frontend in requests, logs and metrics.
const frontendName = "line"

const (
	errorLine = "ERR\r\n"
	pongLine  = "PONG\r\n"
)

// Frontend accepts client connections of the line protocol and serves their requests
// through Proxy. Its exported fields are set before Serve and not changed afterwards; its
// methods may be called from any goroutine.
type Frontend struct {
	Proxy   *proxy.Proxy          // selects endpoints and runs requests
	Limiter *listener.ConnLimiter // bounds the connections that are served at a time

	reports reportClassifier
}

// Serve accepts clients until the listener is closed, then waits for the connections that
// are open. It returns the listener's error. Cancelling ctx closes all connections at once.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// rejectEvicted rejects a client that has not sent its opening and whose connection is
// needed for others.
func rejectEvicted(conn *net.TCPConn) {
	conn.SetWriteDeadline(time.Now().Add(evictionWriteTimeout))
	io.WriteString(conn, busyLine(0))
	listener.DiscardUnread(conn)
	conn.Close()
}

// serveClient serves one client's connection until it has ended. The limiter's goroutine
// for this connection calls it.
func (f *Frontend) serveClient(ctx context.Context, conn *net.TCPConn, admission *listener.Admission) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	client := newClientConn(conn)
	defer client.Close()
	admission.OnEvict(func() { rejectEvicted(conn) })
	// The whole opening has to be there by then; nothing that comes before it extends the time.
	client.SetReadDeadline(admission.IdleSince.Add(listener.OpeningTimeout))
	stopShortening, shortened := f.shortenOpeningAtShutdown(client, admission)
	defer stopShortening()
	text, ok := f.readOpening(client)
	if !ok {
		return
	}
	opened, request, ok := f.parseRequest(client, text)
	if !ok {
		return
	}
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
	if !stopShortening() {
		<-shortened
	}
	client.SetReadDeadline(time.Time{})
	x := f.newExchange(client)
	x.opening = opened
	f.serveExchange(ctx, x, admission, request, func(ctx context.Context) { f.Proxy.Serve(ctx, request, x) })
}

// shortenOpeningAtShutdown shortens the read deadline to openingGracePeriod when the relay
// shuts down, so that a client that writes its opening in pieces is still answered. stop
// reports whether that is prevented; if not, shortened is closed once the deadline is set.
func (f *Frontend) shortenOpeningAtShutdown(client *clientConn, admission *listener.Admission) (stop func() bool, shortened <-chan struct{}) {
	done := make(chan struct{})
	stop = context.AfterFunc(f.Proxy.RejectingPending(), func() {
		defer close(done)
		if deadline := time.Now().Add(openingGracePeriod); deadline.Before(admission.IdleSince.Add(listener.OpeningTimeout)) {
			client.SetReadDeadline(deadline)
		}
	})
	return stop, done
}

// readOpening answers PING lines until the client sends another line, and returns that
// line without its end. The line is valid until the next read. Where ok is false the
// client has been answered if it could be.
func (f *Frontend) readOpening(client *clientConn) (line []byte, ok bool) {
	for pings := 0; ; pings++ {
		text, err := client.reader.ReadSlice('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) && f.Proxy.RejectingPending().Err() != nil {
			client.writeLastLine(busyLine(0))
			go client.drain()
			client.finish()
			return nil, false
		}
		if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, os.ErrDeadlineExceeded) || pings > maxPings {
			f.rejectMalformed(client, "no opening has come in time, or one too long")
			return nil, false
		}
		if err != nil {
			return nil, false
		}
		text = trimLineEnd(text)
		if string(text) != "PING" {
			return text, true
		}
		if client.write([]byte(pongLine)) != nil {
			return nil, false
		}
	}
}

// parseRequest returns the opening that a line holds and the request that it makes. Where
// ok is false the client has been answered.
func (f *Frontend) parseRequest(client *clientConn, text []byte) (opened opening, request proxy.Request, ok bool) {
	opened, err := parseOpening(string(text))
	settings := f.Proxy.Settings()
	class := settings.ClassIndex(opened.class)
	if err != nil || class < 0 {
		f.rejectMalformed(client, "an opening that can't be read, or of no known class")
		return opened, request, false
	}
	if !settings.AcceptsTenant(opened.tenant) {
		f.rejectMalformed(client, "an opening of no known tenant")
		return opened, request, false
	}
	return opened, f.newRequest(opened, settings, class), true
}

func trimLineEnd(text []byte) []byte {
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text
}

// rejectMalformed answers a protocol error with one ERR line, and waits for the client's end.
func (f *Frontend) rejectMalformed(client *clientConn, what string) {
	f.Proxy.ProtocolError(frontendName, what)
	client.writeLastLine(errorLine)
	go client.drain()
	client.finish()
}

// reject answers a client that is over a limit. Its opening has been read: closing with it
// unread would reset the connection, and lose the answer.
func (f *Frontend) reject(ctx context.Context, client *clientConn, request proxy.Request, cause proxy.EndCause) {
	client.writeLastLine(busyLine(f.Proxy.Reject(ctx, request, cause)))
	go client.drain()
	client.finish()
}

// newRequest returns the request that an opening makes. class is the index of its class.
func (f *Frontend) newRequest(opened opening, settings *balancer.Settings, class int) proxy.Request {
	return proxy.Request{
		Frontend: frontendName, Name: opened.id, Class: opened.class, Tenant: opened.tenant, EndpointName: opened.endpointName,
		RequestOptions: balancer.RequestOptions{
			Settings: settings, Class: class, Item: opened.item, Group: opened.group, ExpectedLoad: opened.load, Returning: opened.returning,
			Deadline: f.Proxy.Clock.Now() + opened.timeout, Established: opened.endpointName != "",
		},
	}
}

// serveExchange serves an admitted client until its connection has ended or another process
// has taken it over. serve runs the request.
func (f *Frontend) serveExchange(ctx context.Context, x *exchange, admission *listener.Admission, request proxy.Request, serve func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := x.client
	go x.relayToEndpoint(cancel) // ends with the client's own stream, for which finish waits below
	serve(ctx)
	close(x.established)
	if x.Resolve(false) {
		return // another process serves it
	}
	if x.clientSpokeEarly.Load() {
		f.Proxy.ProtocolError(frontendName, "a client goes on before its answer")
		if client.writeLastLine(errorLine) {
			f.Proxy.Metrics.Class(request.Class).CountFailed()
		}
	}
	client.CloseWrite() // nothing follows the last line, not even a rejection by eviction
	admission.Release()
	client.finish()
}
