package line

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// endpointCloseTimeout is how long an endpoint may take to close the connection after the
// client has closed its half.
const endpointCloseTimeout = 5 * time.Second

// exchange is the client side of one request. It implements proxy.Downstream and
// proxy.Transferable.
type exchange struct {
	frontend        *Frontend
	client          *clientConn
	opening         openingLine
	upstream        *upstreamConn            // nil until the request is established
	adopted         bool                     // whether another process has established the request
	established     chan establishedUpstream // gets one value if the request is established; closed when it has ended
	clientEnded     atomic.Bool              // the client has closed its half or reset the connection
	clientSentEarly atomic.Bool              // the client has sent data before the answer to its opening line

	toEndpoint, toClient *direction
	pausing              atomic.Bool   // Pause has been called
	resumed              chan struct{} // closed after a failed pause, when the endpoint's data is relayed again
	resolveOnce          sync.Once
	resolved             chan struct{} // closed by Resolve
	handedOff            bool          // whether another process serves the request; set before resolved is closed
}

// establishedUpstream is the connection that receives the client's data once the request is
// established, with its heartbeat.
type establishedUpstream struct {
	conn      *upstreamConn
	heartbeat *proxy.Heartbeat
}

// direction is the state of one of the two directions in which an exchange relays data.
type direction struct {
	splitter lineSplitter
	stopOnce sync.Once
	stopped  chan struct{}
	paused   bool // all data that was read has been relayed, so that it can continue; set before stopped is closed
}

func newDirection(splitter lineSplitter) *direction {
	return &direction{splitter: splitter, stopped: make(chan struct{})}
}

// stop records that the direction relays nothing more, and whether it is only paused. Calls
// after the first have no effect.
func (d *direction) stop(paused bool) {
	d.stopOnce.Do(func() {
		d.paused = paused
		close(d.stopped)
	})
}

// waitPaused waits until the direction has stopped or the timeout fires, and reports whether it
// is paused.
func (d *direction) waitPaused(timeout <-chan time.Time) bool {
	select {
	case <-d.stopped:
		return d.paused
	case <-timeout:
		return false
	}
}

func (f *Frontend) newExchange(client *clientConn) *exchange {
	return &exchange{
		frontend:    f,
		client:      client,
		established: make(chan establishedUpstream, 1),
		toEndpoint:  newDirection(lineSplitter{}),
		toClient:    newDirection(lineSplitter{}),
		resumed:     make(chan struct{}),
		resolved:    make(chan struct{}),
	}
}

// relayToClient relays the endpoint's data until its end, and then ends the client's connection
// the same way, unless the relay itself ended the endpoint's connection. It returns the status
// of the attempt. It runs in the goroutine of the request's attempt.
func (x *exchange) relayToClient(ctx context.Context, upstream *upstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	defer x.toClient.stop(false)
	defer close(x.client.upstreamDone)
	status := balancer.StatusReset
	splitter := &x.toClient.splitter
	lastLineSeen, resumed := false, false
	clock := x.frontend.Proxy.Clock
	start := clock.Now()
	for {
		data, err := upstream.reader.readAvailable()
		now := clock.Now()
		splitter.feed(data, func(text []byte) {
			switch kind, value := parseLine(text); kind {
			case lineBye:
				status, lastLineSeen = balancer.StatusOK, true
			case lineMove:
				status, lastLineSeen = balancer.StatusRedirected, true // the endpoint drains; its listed state may lag
			case lineLoad:
				if x.frontend.reports.isDelay(x.frontend.Proxy.Settings(), upstream.endpoint, value, now, now-start) {
					heartbeat.ReportDelay(time.Duration(value * float64(time.Millisecond)))
				} else {
					heartbeat.ReportLoad(value / microsecondsPerSecond)
				}
			default:
				heartbeat.EndpointSent()
			}
		})
		if len(data) > 0 && x.client.write(data) != nil {
			if lastLineSeen { // the client may close on reading it
				return status
			}
			return balancer.StatusCancelled
		}
		if lastLineSeen {
			x.client.noteLastLineWritten()
		}
		switch {
		case err == nil:
		case !resumed && x.endedByPause(err):
			x.toClient.stop(true)
			select {
			case <-x.resumed: // the pause failed: continue until the endpoint closes
				resumed = true
			case <-ctx.Done(): // handed off or migrated
				return balancer.StatusCancelled
			}
		case ctx.Err() != nil: // migrated, or heartbeat timeout: the proxy notifies the client
			return listener.FailedStatus(ctx, status)
		default:
			return x.endClient(err, status)
		}
	}
}

// relayToEndpoint reads from the client until it closes, in a goroutine that serveExchange
// starts. Before the request is established, a close by the client cancels the request, and
// so does data from it, which is a protocol violation. From then on data and close are
// relayed; data that the endpoint no longer accepts is discarded.
func (x *exchange) relayToEndpoint(cancel func()) {
	defer x.drainClient()
	defer x.toEndpoint.stop(false)
	_, err := x.client.reader.Peek(1)
	var established establishedUpstream
	if x.adopted {
		established = <-x.established // its client may send at any time, even before Pipe
	} else {
		select {
		case established = <-x.established: // sent before UP is written, or closed after another answer
		default:
			x.clientSentEarly.Store(err == nil)
			cancel()
		}
	}
	meter := x.frontend.Throttle.NewMeter()
	for err == nil && established.conn != nil {
		meter.Rest()
		if _, err = x.client.reader.Peek(1); err == nil {
			began := time.Now()
			data, _ := x.client.reader.Peek(x.client.reader.Buffered())
			x.toEndpoint.splitter.feed(data, func([]byte) { established.heartbeat.ClientSent() })
			_, writeErr := established.conn.Write(data)
			_, _ = x.client.reader.Discard(len(data)) // cannot fail: data is buffered
			if writeErr != nil {
				established.conn = nil // relayToClient handles the failed connection
			}
			meter.Add(time.Since(began))
		}
	}
	if established.conn != nil && x.endedByPause(err) {
		x.toEndpoint.stop(true)
		return
	}
	if err != nil {
		x.clientEnded.Store(true)
	}
	if established.conn != nil {
		established.conn.end(err)
	}
}

// endClient ends the client's connection the way the endpoint's has ended, unless the client
// itself has closed it: after io.EOF it closes the relay's half, after any other error it
// resets the connection. It returns the final status of the attempt.
func (x *exchange) endClient(err error, status balancer.AttemptStatus) balancer.AttemptStatus {
	switch {
	case x.clientEnded.Load() && status == balancer.StatusReset:
		return balancer.StatusCancelled
	case errors.Is(err, io.EOF):
		x.client.CloseWrite()
	default:
		reset(x.client.TCPConn)
	}
	return status
}

// BadRequest sends ERR for an invalid request. The line carries no reason.
func (x *exchange) BadRequest(string) { x.client.writeLastLine(errorLine) }

// Reject sends BUSY, which tells the client that it may safely retry the request, after
// retryAfter if that is not 0.
func (x *exchange) Reject(retryAfter time.Duration) { x.client.writeLastLine(busyLine(retryAfter)) }

// Fail sends ERR: the request has failed, and an endpoint may have executed it.
func (x *exchange) Fail() { x.client.writeLastLine(errorLine) }

// Migrate sends MOVE, which tells the client to reconnect. It reports false if the endpoint or
// the relay has sent a last line before.
func (x *exchange) Migrate() bool { return x.client.writeLastLine(migrateLine) }
