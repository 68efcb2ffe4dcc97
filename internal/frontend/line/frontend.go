// Package line implements the frontend for the platform's line protocol: lines of text over
// TCP between clients and the relay, and between the relay and application endpoints.
//
// A client opens one request per connection. Once an endpoint has established it, the package
// forwards bytes unchanged in both directions as they arrive, and inspects the lines in them.
// The platform defines the words of the protocol.
package line

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/throttle"
)

const (
	// openingGracePeriod is how long a client may take to complete its opening line once the
	// relay rejects pending requests.
	openingGracePeriod = 200 * time.Millisecond
	// maxPings is how many PING lines a client may send before its opening line.
	maxPings = 16
)

// frontendName identifies this frontend in requests, logs and metrics.
const frontendName = "line"

const (
	errorLine = "ERR\r\n"
	pongLine  = "PONG\r\n"
)

// Frontend accepts client connections of the line protocol and serves their requests through
// Proxy. Its exported fields must be set before Serve is called and not be changed afterwards.
// Its methods are safe for concurrent use.
type Frontend struct {
	Proxy   *proxy.Proxy          // selects endpoints and runs requests
	Limiter *listener.ConnLimiter // limits concurrent connections
	// Throttle delays connections that send without a pause; nil: none.
	Throttle *throttle.Throttle

	reports reportClassifier
}

// Serve accepts clients until the listener is closed, then waits for the open connections to
// end and returns the listener's error. Cancelling ctx closes all connections at once.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// rejectEvicted sends BUSY to a client that has not sent its opening line, and closes its
// connection to make room for another.
func rejectEvicted(conn *net.TCPConn) {
	listener.WriteWithoutWaiting(conn, []byte(busyLine(0)))
	listener.DiscardUnread(conn)
	conn.Close()
}

// serveClient serves a client's connection until it has ended. It is called in a goroutine of
// its own for each connection.
func (f *Frontend) serveClient(ctx context.Context, conn *net.TCPConn, admission *listener.Admission) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	client := newClientConn(conn)
	defer client.Close()
	admission.OnEvict(func() { rejectEvicted(conn) })
	// PING lines do not extend the time for the opening line.
	client.SetReadDeadline(admission.IdleSince.Add(listener.OpeningTimeout))
	stopShortening, shortened := f.shortenOpeningAtShutdown(client, admission)
	defer stopShortening()
	text, ok := f.readOpening(client)
	if !ok {
		return
	}
	opening, request, ok := f.parseRequest(client, text)
	if !ok {
		return
	}
	if listener.HasPeerClosed(conn) {
		return // a close before the answer cancels the request
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
	x.opening = opening
	f.serveExchange(ctx, x, admission, request, func(ctx context.Context) { f.Proxy.Serve(ctx, request, x) })
}

// shortenOpeningAtShutdown shortens the read deadline to openingGracePeriod when the relay
// starts to reject pending requests, so that a client that has sent a part of its opening line
// is answered in time. stop reports whether it has prevented that; if it returns false, shortened
// is closed once the deadline has been set.
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

// readOpening answers PING lines until the client sends another line, and returns that line
// without its line ending. The line is valid until the next read. If ok is false, the client
// has been answered unless its connection failed.
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
			f.rejectMalformed(client, "opening line missing, too late, too long, or after too many PING lines")
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

// parseRequest parses an opening line and returns it with the request that it stands for. If ok
// is false, the client has been answered.
func (f *Frontend) parseRequest(client *clientConn, text []byte) (opening openingLine, request proxy.Request, ok bool) {
	opening, err := parseOpening(string(text))
	settings := f.Proxy.Settings()
	class := settings.ClassIndex(opening.class)
	if err != nil || class < 0 {
		f.rejectMalformed(client, "malformed opening line or unknown class")
		return opening, request, false
	}
	if !settings.AcceptsTenant(opening.tenant) {
		f.rejectMalformed(client, "missing or unknown tenant in the opening line")
		return opening, request, false
	}
	return opening, f.newRequest(opening, settings, class), true
}

// trimLineEnd removes the line ending, LF or CRLF.
func trimLineEnd(text []byte) []byte {
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text
}

// rejectMalformed logs a protocol violation, answers it with an ERR line and waits for the
// client to close the connection.
func (f *Frontend) rejectMalformed(client *clientConn, violation string) {
	f.Proxy.ProtocolError(frontendName, violation)
	client.writeLastLine(errorLine)
	go client.drain()
	client.finish()
}

// reject sends BUSY to a client whose request exceeds a limit, and waits for it to close the
// connection. The opening line must have been read: a close with unread data would reset the
// connection, and the client might lose the answer.
func (f *Frontend) reject(ctx context.Context, client *clientConn, request proxy.Request, cause proxy.EndCause) {
	client.writeLastLine(busyLine(f.Proxy.Reject(ctx, request, cause)))
	go client.drain()
	client.finish()
}

// newRequest returns the request that an opening line stands for. class is the index of its
// class in the settings.
func (f *Frontend) newRequest(opening openingLine, settings *balancer.Settings, class int) proxy.Request {
	return proxy.Request{
		Frontend: frontendName, Name: opening.id, Class: opening.class, Tenant: opening.tenant, EndpointName: opening.endpointName,
		RequestOptions: balancer.RequestOptions{
			Settings: settings, Class: class, Item: opening.item, Group: opening.group, ExpectedLoad: opening.load, Returning: opening.returning,
			Deadline: f.Proxy.Clock.Now() + opening.timeout, Established: opening.endpointName != "",
		},
	}
}

// serveExchange serves an admitted client until its connection has ended or was handed off to
// another process. serve runs the request.
func (f *Frontend) serveExchange(ctx context.Context, exchange *exchange, admission *listener.Admission, request proxy.Request, serve func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := exchange.client
	go exchange.relayToEndpoint(cancel) // closes client.readDone at its end, which finish waits for
	serve(ctx)
	close(exchange.established)
	if exchange.Resolve(false) {
		return // handed off
	}
	if exchange.clientSentEarly.Load() {
		f.Proxy.ProtocolError(frontendName, "data from the client before the answer to its opening line")
		if client.writeLastLine(errorLine) {
			f.Proxy.Metrics.Class(request.Class).CountFailed()
		}
	}
	client.CloseWrite() // so that an eviction cannot write a BUSY line after the last line
	admission.Release()
	client.finish()
}
