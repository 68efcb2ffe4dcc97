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

// endpointCloseTimeout is how long an endpoint may take to end the connection after its
// client has ended its half.
const endpointCloseTimeout = 5 * time.Second

// exchange is the downstream side of one client's request: it implements proxy.Downstream
// and proxy.Transferable.
type exchange struct {
	frontend         *Frontend
	client           *clientConn
	opening          opening
	upstream         *upstreamConn            // once the request is established
	adopted          bool                     // another process established the request
	established      chan establishedUpstream // receives once; closed when the request has ended
	clientEnded      atomic.Bool              // the client has ended its half
	clientSpokeEarly atomic.Bool              // the client has sent data before its answer

	toEndpoint, toClient *direction
	pausing              atomic.Bool
	resumed              chan struct{} // closed if the pause failed: the endpoint's data is relayed again
	resolveOnce          sync.Once
	resolved             chan struct{} // closed once handedOff is final
	handedOff            bool          // another process serves the request; read after resolved
}

// establishedUpstream is where the client's data goes once the request is established.
type establishedUpstream struct {
	conn      *upstreamConn
	heartbeat *proxy.Heartbeat
}

// direction is one of the two directions in which an exchange relays data.
type direction struct {
	splitter lineSplitter
	stopOnce sync.Once
	stopped  chan struct{}
	paused   bool // stopped between two reads, with everything relayed that was read; read after stopped
}

func newDirection(splitter lineSplitter) *direction {
	return &direction{splitter: splitter, stopped: make(chan struct{})}
}

// stop records that the direction relays nothing more, and whether it is paused. Only the
// first call counts.
func (d *direction) stop(paused bool) {
	d.stopOnce.Do(func() {
		d.paused = paused
		close(d.stopped)
	})
}

// waitPaused reports whether the direction pauses before the timeout.
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

// relayToClient relays what the endpoint sends, and ends the client's side as the
// endpoint's ends, unless it was ended from here. The request's goroutine calls it.
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
				status, last = balancer.StatusRedirected, true // it drains, whatever the endpoint list says
			case lineLoad:
				if x.frontend.reports.isDelay(x.frontend.Proxy.Settings(), upstream.endpoint, value, now, now-began) {
					heartbeat.ReportDelay(time.Duration(value * float64(time.Millisecond)))
				} else {
					heartbeat.ReportLoad(value / microsecondsPerSecond)
				}
			default:
				heartbeat.EndpointSent()
			}
		})
		if len(data) > 0 && x.client.write(data) != nil {
			if last { // the client left at the endpoint's last line, while more was on its way
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
			case <-x.resumed: // the other direction has ended, and this one is about to
				resumed = true
			case <-ctx.Done(): // the request is handed off or migrated
				return balancer.StatusCancelled
			}
		case ctx.Err() != nil: // migrated, or its heartbeat timed out: the client is notified later
			return listener.BrokenStatus(ctx, status)
		default:
			return x.endClient(err, status)
		}
	}
}

// relayToEndpoint reads from the client until its end, on a goroutine of its own that
// serveExchange starts. Before the request is established, the client's end means that it
// has left, and data from it is a protocol error: relayed, many commands at once would be
// the endpoint's to sort out. From then on its data and its end are relayed. What comes
// after that is read and discarded.
func (x *exchange) relayToEndpoint(cancel func()) {
	defer x.drainClient()
	defer x.toEndpoint.stop(false)
	_, err := x.client.reader.Peek(1)
	var established establishedUpstream
	if x.adopted {
		established = <-x.established // the client was notified long ago, and may send before the upstream connection is here
	} else {
		select {
		case established = <-x.established: // sent before UP is written, and closed after any other answer
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
	if established.conn != nil {
		established.conn.end(err)
	}
}

// endClient ends the client's side as the endpoint's ended with err, unless the client has
// left, and returns the outcome of the attempt.
func (x *exchange) endClient(err error, status balancer.AttemptStatus) balancer.AttemptStatus {
	switch {
	case x.clientEnded.Load() && status == balancer.StatusReset:
		return balancer.StatusCancelled // the client has left
	case errors.Is(err, io.EOF):
		x.client.CloseWrite()
	default:
		reset(x.client.TCPConn)
	}
	return status
}

// BadRequest answers a request that makes no sense.
func (x *exchange) BadRequest(string) { x.client.writeLastLine(errorLine) }

// Reject answers that the request may safely be retried, after retryAfter if that is known.
func (x *exchange) Reject(retryAfter time.Duration) { x.client.writeLastLine(busyLine(retryAfter)) }

// Fail answers that the request has failed; whether it ran is not known.
func (x *exchange) Fail() { x.client.writeLastLine(errorLine) }

// Migrate asks the client to reconnect. It reports whether the client was asked: its
// endpoint may have said the last line itself.
func (x *exchange) Migrate() bool { return x.client.writeLastLine(migrateLine) }
