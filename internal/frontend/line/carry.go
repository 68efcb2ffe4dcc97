package line

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// This file carries a transaction that stands from one process of a relay to the next:
// its two sockets, and what of the lines on them is under way.

// pauseTimeout is how long both sides may take to come to a halt between two reads.
const pauseTimeout = 300 * time.Millisecond

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// direction is one way of a transaction.
type direction struct {
	splitter lineSplitter
	stopOnce sync.Once
	stopped  chan struct{}
	paused   bool // at a halt between two reads, with nothing read and not passed on; known once stopped
}

func newDirection(splitter lineSplitter) *direction {
	return &direction{splitter: splitter, stopped: make(chan struct{})}
}

// stop notes that nothing passes on the lane any more, or that it is parked. Only the first
// call counts.
func (d *direction) stop(parked bool) {
	d.stopOnce.Do(func() {
		d.paused = parked
		close(d.stopped)
	})
}

// waitPaused tells whether the lane comes to a halt before a time.
func (d *direction) waitPaused(timeout <-chan time.Time) bool {
	select {
	case <-d.stopped:
		return d.paused
	case <-timeout:
		return false
	}
}

// endedByPause tells whether a read was ended to park the transaction, now or a moment ago: a
// time-out that was set for that is seen late at times, after it was resumed, and taken for
// the server's end it had the client's connection broken off.
func (x *exchange) endedByPause(err error) bool {
	return x.pausing.Load() && errors.Is(err, os.ErrDeadlineExceeded)
}

// Resolve notes whether another process carries the transaction on. Only the first call
// counts; it tells what that said.
func (x *exchange) Resolve(handed bool) bool {
	x.resolveOnce.Do(func() {
		x.handedOff = handed
		client := x.client
		client.mu.Lock()
		client.lastLineWritten = client.lastLineWritten || handed
		client.mu.Unlock()
		if x.pausing.Load() && !handed {
			client.SetReadDeadline(time.Time{}) // its leave is read again
		}
		close(x.resolved)
	})
	return x.handedOff
}

// drainClient reads what the client still says after its last line, unless it is another
// process's by then.
func (x *exchange) drainClient() {
	if x.pausing.Load() {
		if <-x.resolved; x.handedOff {
			close(x.client.readDone)
			return
		}
	}
	x.client.drain()
}

// partialLine is a line that has not ended yet.
type partialLine struct {
	Text    []byte `json:"Text,omitempty"`
	TooLong bool   `json:"Long,omitempty"`
}

func (p partialLine) splitter() lineSplitter {
	return lineSplitter{partial: p.Text, tooLong: p.TooLong}
}

// connectionState is what another process needs beside the sockets.
type connectionState struct {
	MidLine    bool        `json:"Mid"` // a line to the client is written in part
	ToEndpoint partialLine `json:"Up"`
	ToClient   partialLine `json:"Down"`
}

// Pause brings both ways to a halt.
func (x *exchange) Pause() (wire any, sockets []syscall.Conn, ok bool) {
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
	if client.lastLineWritten { // its server has said its last line
		return nil, nil, false
	}
	client.writeHold = x.resolved
	return connectionState{
		MidLine: client.midLine, ToEndpoint: partialLine{x.toEndpoint.splitter.partial, x.toEndpoint.splitter.tooLong}, ToClient: partialLine{x.toClient.splitter.partial, x.toClient.splitter.tooLong},
	}, []syscall.Conn{client.TCPConn, x.upstream.TCPConn}, true
}

// resumeUpstream lets what the server says pass on again. It guards against a client that has just
// ended its half: its server's last line is on its way, and at a halt it would be moved.
func (x *exchange) resumeUpstream() {
	x.client.SetReadDeadline(time.Time{}) // what it says after its last line is read to its end
	var deadline time.Time
	if x.clientEnded.Load() {
		deadline = time.Now().Add(endpointCloseTimeout)
	}
	x.upstream.SetReadDeadline(deadline)
	close(x.resumed)
}

// ReportTimings returns what is known of the times at which servers tell delays.
func (f *Frontend) ReportTimings() map[balancer.EndpointID]ReportTiming { return f.reports.snapshot() }

// RestoreTiming takes over what another process knows of the times at which a server tells delays.
func (f *Frontend) RestoreTiming(id balancer.EndpointID, timing ReportTiming) {
	f.reports.restore(id, timing)
}

// Adopt prepares to carry on a transaction that another process of this relay has handed
// over. What it returns does so, to its end.
func (f *Frontend) Adopt(ctx context.Context, request *proxy.EstablishedRequest, sockets []net.Conn) (serve func(), err error) {
	var state connectionState
	if err := json.Unmarshal(request.FrontendState, &state); err != nil {
		return nil, err
	}
	if len(sockets) != 2 {
		return nil, errors.New("a transaction has two sockets")
	}
	conn, ok := sockets[0].(*net.TCPConn)
	server, serverOK := sockets[1].(*net.TCPConn)
	if !ok || !serverOK {
		return nil, errors.New("the sockets are not TCP's")
	}
	client := newClientConn(conn)
	client.midLine = state.MidLine
	x := f.newExchange(client)
	x.adopted = true
	x.toEndpoint, x.toClient = newDirection(state.ToEndpoint.splitter()), newDirection(state.ToClient.splitter())
	settings := f.Proxy.Settings()
	adoptedRequest := proxy.Request{Front: "line", Name: request.Name, Class: request.Class, Tenant: request.Tenant, RequestOptions: balancer.RequestOptions{
		Settings: settings, Class: settings.ClassIndex(request.Class), Item: request.Item, Group: request.Group, ExpectedLoad: request.Load, Returning: request.Returning,
	}}
	id, _ := f.Proxy.Endpoints.Lookup(request.Endpoint)
	upstream := newUpstreamConn(server, id)
	return func() {
		adopted := f.Limiter.Adopt(func(admission *listener.Admission) {
			defer client.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			f.serveExchange(ctx, x, admission, adoptedRequest, func(ctx context.Context) { f.Proxy.Adopt(ctx, request, adoptedRequest, x, upstream) })
		})
		if !adopted { // this process is closing itself
			client.writeLastLine(migrateLine)
			upstream.Close()
			client.Close()
		}
	}, nil
}
