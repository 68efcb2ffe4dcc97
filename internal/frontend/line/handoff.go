package line

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// This file hands an established request off from one process of a relay to the next: both
// sockets, and the state of the lines that are incomplete on them.

// pauseTimeout is how long Pause waits until both directions have paused.
const pauseTimeout = 300 * time.Millisecond

// pastDeadline is a read deadline that interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// endedByPause reports whether Pause has interrupted the read that returned err. It holds after
// a failed pause too: a read that sees the deadline late must not be taken for the endpoint's end.
func (x *exchange) endedByPause(err error) bool {
	return x.pausing.Load() && errors.Is(err, os.ErrDeadlineExceeded)
}

// Resolve ends a pause and records whether another process serves the request from now on.
// Only the first call has an effect; later ones return its argument.
func (x *exchange) Resolve(handedOff bool) bool {
	x.resolveOnce.Do(func() {
		x.handedOff = handedOff
		client := x.client
		client.mu.Lock()
		client.lastLineWritten = client.lastLineWritten || handedOff
		client.mu.Unlock()
		if x.pausing.Load() && !handedOff {
			client.SetReadDeadline(time.Time{}) // drainClient reads from the client again
		}
		close(x.resolved)
	})
	return x.handedOff
}

// drainClient discards what the client still sends, unless the request was handed off.
func (x *exchange) drainClient() {
	if x.pausing.Load() {
		if <-x.resolved; x.handedOff {
			close(x.client.readDone)
			return
		}
	}
	x.client.drain()
}

// partialLine is the encoded state of a lineSplitter in the middle of a line.
type partialLine struct {
	Text    []byte `json:"Text,omitempty"`
	TooLong bool   `json:"Long,omitempty"`
}

// partialLine returns the encoded state of the splitter.
func (s *lineSplitter) partialLine() partialLine {
	return partialLine{Text: s.partial, TooLong: s.tooLong}
}

// splitter returns a splitter that continues in the middle of the line.
func (p partialLine) splitter() lineSplitter {
	return lineSplitter{partial: p.Text, tooLong: p.TooLong}
}

// connectionState is what the next process needs besides the sockets. It is sent as JSON between
// two processes of a relay, so that its tags must not change.
type connectionState struct {
	MidLine    bool        `json:"Mid"` // a line was partly written to the client
	ToEndpoint partialLine `json:"Up"`
	ToClient   partialLine `json:"Down"`
}

// Pause stops both directions between two reads, and returns the connectionState and the sockets
// that the next process needs: the client's, then the endpoint's. After that nothing is written
// to the client until Resolve. If Pause fails, the exchange continues.
func (x *exchange) Pause() (state any, sockets []syscall.Conn, ok bool) {
	defer func() {
		if !ok {
			x.resumeUpstream()
		}
	}()
	x.pausing.Store(true)
	client := x.client
	client.SetReadDeadline(pastDeadline)
	x.upstream.SetReadDeadline(pastDeadline)
	timeout := time.After(pauseTimeout)
	if !x.toEndpoint.waitPaused(timeout) || !x.toClient.waitPaused(timeout) || client.reader.Buffered() > 0 || x.upstream.reader.buffered() > 0 {
		return nil, nil, false
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.lastLineWritten { // the request is about to end
		return nil, nil, false
	}
	client.writeHold = x.resolved
	return connectionState{
		MidLine:    client.midLine,
		ToEndpoint: x.toEndpoint.splitter.partialLine(),
		ToClient:   x.toClient.splitter.partialLine(),
	}, []syscall.Conn{client.TCPConn, x.upstream.TCPConn}, true
}

// resumeUpstream resumes relaying from the endpoint after a failed pause, so that a client that
// has just closed its half receives its endpoint's last line.
func (x *exchange) resumeUpstream() {
	x.client.SetReadDeadline(time.Time{}) // drainClient may have to read to the client's end
	var deadline time.Time
	if x.clientEnded.Load() {
		deadline = time.Now().Add(endpointCloseTimeout)
	}
	x.upstream.SetReadDeadline(deadline)
	close(x.resumed)
}

// ReportTimings returns the timing of every endpoint that has reported a delay. It is safe for
// concurrent use.
func (f *Frontend) ReportTimings() map[balancer.EndpointID]ReportTiming { return f.reports.snapshot() }

// RestoreReportTiming sets an endpoint's timing, which another process has recorded. It is safe
// for concurrent use.
func (f *Frontend) RestoreReportTiming(id balancer.EndpointID, timing ReportTiming) {
	f.reports.restore(id, timing)
}

// Adopt prepares to serve a request that another process of this relay has handed off, with the
// sockets that Pause returned there. The returned function serves the request until it ends; the
// caller runs it in a goroutine of its own.
func (f *Frontend) Adopt(ctx context.Context, request *proxy.EstablishedRequest, sockets []net.Conn) (serve func(), err error) {
	var state connectionState
	if err := json.Unmarshal(request.FrontendState, &state); err != nil {
		return nil, err
	}
	if len(sockets) != 2 {
		return nil, errors.New("adopt request: expected two sockets, of the client and of the endpoint")
	}
	conn, ok := sockets[0].(*net.TCPConn)
	endpointConn, endpointOK := sockets[1].(*net.TCPConn)
	if !ok || !endpointOK {
		return nil, errors.New("adopt request: a socket is not a TCP connection")
	}
	client := newClientConn(conn)
	client.midLine = state.MidLine
	exchange := f.newExchange(client)
	exchange.adopted = true
	exchange.toEndpoint, exchange.toClient = newDirection(state.ToEndpoint.splitter()), newDirection(state.ToClient.splitter())
	settings := f.Proxy.Settings()
	adoptedRequest := proxy.Request{Frontend: "line", Name: request.Name, Class: request.Class, Tenant: request.Tenant, RequestOptions: balancer.RequestOptions{
		Settings: settings, Class: settings.ClassIndex(request.Class), Item: request.Item, Group: request.Group, ExpectedLoad: request.Load, Returning: request.Returning,
	}}
	id, _ := f.Proxy.Endpoints.Lookup(request.Endpoint)
	upstream := newUpstreamConn(endpointConn, id)
	return func() {
		admitted := f.Limiter.Adopt(func(admission *listener.Admission) {
			defer client.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			f.serveExchange(ctx, exchange, admission, adoptedRequest, func(ctx context.Context) { f.Proxy.Adopt(ctx, request, adoptedRequest, exchange, upstream) })
		})
		if !admitted { // this process is shutting down too
			client.writeLastLine(migrateLine)
			upstream.Close()
			client.Close()
		}
	}, nil
}
