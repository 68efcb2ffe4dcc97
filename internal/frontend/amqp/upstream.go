package amqp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/registry"
)

// Idle timeouts of connections to endpoints.
const (
	advertisedEndpointIdleTimeout = 2 * time.Second // idle-time-out in the relay's open
	endpointSilenceTimeout        = 6 * time.Second // after which an endpoint is considered dead
)

// upstream is the endpoint's side of a request: one session with one link, on a dedicated or a shared connection. The
// goroutine of the link reads a dedicated connection.
type upstream struct {
	*linkEnd
	sharedSession        *sharedSession // nil: the connection is dedicated
	connectionID         connpool.ID    // the shared connection's id in the pool
	sharedConnections    *sharedConnections
	maxSessions          int                   // determines the channel-max of the relay's open; 0: maxChannel
	peerMaxChannel       uint16                // highest channel that the endpoint accepts
	peerIdleTimeout      time.Duration         // idle-time-out in the endpoint's open; 0: none
	attach               framing.Performative  // the endpoint's attach
	creditFlow           *framing.Performative // last flow with credit during the attempt; nil: none yet
	done                 chan struct{}         // closed when the attempt fails or Pipe returns
	hasClientCertificate bool                  // the relay offers a client certificate in the TLS handshake
	tcp                  net.Conn              // the TCP connection, below TLS if any; closing it never blocks
	abandoned            atomic.Bool           // linger closes the dedicated connection
	lingering            atomic.Bool           // linger reads it
}

// lingerTimeout is how long an endpoint may take to read what it was sent before its connection is closed.
const lingerTimeout = 5 * time.Second

// abandon makes Close leave a dedicated connection open for linger.
func (u *upstream) abandon() {
	if u.sharedSession == nil {
		u.abandoned.Store(true)
	}
}

// linger closes a connection that was abandoned once the endpoint has closed its side or lingerTimeout is over: closing it
// while the endpoint sends would reset it, and the endpoint could lose what it has not read yet.
func (u *upstream) linger(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { u.tcp.Close() })()
	defer u.tcp.Close()
	u.lingering.Store(true)
	u.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
	_ = u.CloseWrite()
	u.limitReads(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, u.reader)
}

// Close ends the session immediately, and closes a dedicated connection that was not abandoned. Any goroutine may call it,
// repeatedly.
func (u *upstream) Close() {
	if u.sharedSession != nil {
		u.sharedConnections.endSession(u.connectionID, u.sharedSession)
		return
	}
	u.session.markEnded()
	switch {
	case !u.abandoned.Load():
		u.tcp.Close()
	case !u.lingering.Load():
		u.limitReads(time.Now()) // ends nextFrame
	}
}

// nextFrame waits for the endpoint's next frame, at most wait; 0: until the endpoint has been silent for
// endpointSilenceTimeout, which the multiplexer enforces on a shared connection.
func (u *upstream) nextFrame(wait time.Duration) (framing.Frame, error) {
	if u.sharedSession != nil {
		return u.sharedSession.nextFrame(wait)
	}
	return u.readFrame(framing.TypeAMQP, cmp.Or(wait, endpointSilenceTimeout))
}

// limitRemaining sets a deadline, wait from now, for all remaining frames of the endpoint.
func (u *upstream) limitRemaining(wait time.Duration) {
	if u.sharedSession != nil {
		u.sharedSession.setDeadline(time.Now().Add(wait))
		return
	}
	u.limitReads(time.Now().Add(wait))
}

// connect opens a session to an endpoint within timeout, on a new dedicated connection or on a shared one. On a shared
// connection the begin is sent later, together with the attach.
func (f *Frontend) connect(ctx context.Context, endpoint registry.Endpoint, address string, timeout time.Duration) (*upstream, error) {
	if f.sharedConnections != nil {
		shared, connectionID, err := f.sharedConnections.openSession(ctx, endpoint, address, timeout)
		if err != nil {
			return nil, err
		}
		return &upstream{
			linkEnd: newLinkEnd(shared.session, 0, writeTimeout), sharedSession: shared, connectionID: connectionID,
			sharedConnections: f.sharedConnections, done: make(chan struct{}),
		}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dedicated, err := f.dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	stopClose := context.AfterFunc(ctx, func() { dedicated.tcp.Close() })
	go dedicated.sendHeartbeats(dedicated.peerIdleTimeout, dedicated.done)
	err = dedicated.beginSession(timeout)
	if !stopClose() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		close(dedicated.done)
		dedicated.Close()
		return nil, err
	}
	return dedicated, nil
}

// beginSession begins the only session of a dedicated connection, and waits for the endpoint's begin.
func (u *upstream) beginSession(timeout time.Duration) error {
	if err := u.writeFrame(0, u.newBegin(nil), nil); err != nil {
		return err
	}
	for {
		frame, err := u.readFrame(framing.TypeAMQP, timeout)
		switch {
		case err != nil:
			return err
		case frame.Empty:
		case frame.Code == framing.CodeBegin:
			return u.applyBegin(frame.Performative)
		default:
			return errNegotiation
		}
	}
}
