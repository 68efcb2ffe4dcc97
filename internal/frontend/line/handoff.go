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

// This file hands an established request off from one process of a relay to the next: its
// two sockets, and the incomplete lines on them.

// pauseTimeout is how long both directions may take to pause between two reads.
const pauseTimeout = 300 * time.Millisecond

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// endedByPause reports whether a read was ended to pause the exchange, now or shortly before:
// the deadline may be seen late, after the exchange has been resumed, and was then taken for
// the endpoint's end, which reset the client's connection.
func (x *exchange) endedByPause(err error) bool {
	return x.pausing.Load() && errors.Is(err, os.ErrDeadlineExceeded)
}

// Resolve records whether another process serves the request from now on. Only the first
// call counts, and Resolve returns what that said.
func (x *exchange) Resolve(handedOff bool) bool {
	x.resolveOnce.Do(func() {
		x.handedOff = handedOff
		client := x.client
		client.mu.Lock()
		client.lastLineWritten = client.lastLineWritten || handedOff
		client.mu.Unlock()
		if x.pausing.Load() && !handedOff {
			client.SetReadDeadline(time.Time{}) // the client's end is read again
		}
		close(x.resolved)
	})
	return x.handedOff
}

// drainClient discards what the client still sends after its last line, unless another
// process serves it by then.
func (x *exchange) drainClient() {
	if x.pausing.Load() {
		if <-x.resolved; x.handedOff {
			close(x.client.readDone)
			return
		}
	}
	x.client.drain()
}

// partialLine is the encoded form of a line that has not ended yet.
type partialLine struct {
	Text    []byte `json:"Text,omitempty"`
	TooLong bool   `json:"Long,omitempty"`
}

// partialLine returns the line that has not ended yet.
func (s *lineSplitter) partialLine() partialLine {
	return partialLine{Text: s.partial, TooLong: s.tooLong}
}

// splitter returns a splitter that goes on within the line.
func (p partialLine) splitter() lineSplitter {
	return lineSplitter{partial: p.Text, tooLong: p.TooLong}
}

// connectionState is what the next process needs beside the sockets. Its encoding is part
// of the messages between two processes: the tags must not change.
type connectionState struct {
	MidLine    bool        `json:"Mid"` // a line to the client is partly written
	ToEndpoint partialLine `json:"Up"`
	ToClient   partialLine `json:"Down"`
}

// Pause stops both directions between two reads, and returns the state and the sockets that
// the next process needs: the client's, then the endpoint's. If that fails, the exchange goes
// on by itself. Nothing is written to the client until Resolve.
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
	if client.lastLineWritten { // the endpoint has sent its last line
		return nil, nil, false
	}
	client.writeHold = x.resolved
	return connectionState{
		MidLine:    client.midLine,
		ToEndpoint: x.toEndpoint.splitter.partialLine(),
		ToClient:   x.toClient.splitter.partialLine(),
	}, []syscall.Conn{client.TCPConn, x.upstream.TCPConn}, true
}

// resumeUpstream relays the endpoint's data again after a pause that failed. A client that has
// just ended its half would otherwise be migrated while its endpoint's last line is on its way.
func (x *exchange) resumeUpstream() {
	x.client.SetReadDeadline(time.Time{}) // what it sends after its last line is read to its end
	var deadline time.Time
	if x.clientEnded.Load() {
		deadline = time.Now().Add(endpointCloseTimeout)
	}
	x.upstream.SetReadDeadline(deadline)
	close(x.resumed)
}

// ReportTimings returns what is known of the times at which endpoints report delays. Any
// goroutine may call it.
func (f *Frontend) ReportTimings() map[balancer.EndpointID]ReportTiming { return f.reports.snapshot() }

// RestoreReportTiming restores what another process knew of the times at which an endpoint reports
// delays. Any goroutine may call it.
func (f *Frontend) RestoreReportTiming(id balancer.EndpointID, timing ReportTiming) {
	f.reports.restore(id, timing)
}

// Adopt prepares to serve a request that another process of this relay has handed off, with
// the sockets that Pause returned there. The function that it returns serves the request to
// its end; the caller runs it on a goroutine of its own.
func (f *Frontend) Adopt(ctx context.Context, request *proxy.EstablishedRequest, sockets []net.Conn) (serve func(), err error) {
	var state connectionState
	if err := json.Unmarshal(request.FrontendState, &state); err != nil {
		return nil, err
	}
	if len(sockets) != 2 {
		return nil, errors.New("a handed-off request has two sockets")
	}
	conn, ok := sockets[0].(*net.TCPConn)
	endpoint, endpointOK := sockets[1].(*net.TCPConn)
	if !ok || !endpointOK {
		return nil, errors.New("the sockets are not TCP connections")
	}
	client := newClientConn(conn)
	client.midLine = state.MidLine
	x := f.newExchange(client)
	x.adopted = true
	x.toEndpoint, x.toClient = newDirection(state.ToEndpoint.splitter()), newDirection(state.ToClient.splitter())
	settings := f.Proxy.Settings()
	adoptedRequest := proxy.Request{Frontend: "line", Name: request.Name, Class: request.Class, Tenant: request.Tenant, RequestOptions: balancer.RequestOptions{
		Settings: settings, Class: settings.ClassIndex(request.Class), Item: request.Item, Group: request.Group, ExpectedLoad: request.Load, Returning: request.Returning,
	}}
	id, _ := f.Proxy.Endpoints.Lookup(request.Endpoint)
	upstream := newUpstreamConn(endpoint, id)
	return func() {
		adopted := f.Limiter.Adopt(func(admission *listener.Admission) {
			defer client.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			f.serveExchange(ctx, x, admission, adoptedRequest, func(ctx context.Context) { f.Proxy.Adopt(ctx, request, adoptedRequest, x, upstream) })
		})
		if !adopted { // this process is shutting down itself
			client.writeLastLine(migrateLine)
			upstream.Close()
			client.Close()
		}
	}, nil
}
