package amqp

import (
	"cmp"
	"context"
	"errors"
	"net"
	"time"

	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/registry"
)

// Idle time-outs towards endpoints.
const (
	advertisedEndpointIdleTimeout = 2 * time.Second // in the relay's open
	endpointSilenceTimeout        = 6 * time.Second // after which an endpoint is taken for dead
)

// upstream is the endpoint's side of a request: one session with one link, on a connection of its own or on one that
// requests share. Where it has its own, the goroutine of the link reads it.
type upstream struct {
	*session
	sharedSession        *sharedSession // on a shared connection; nil: it has its own
	connectionID         connpool.ID    // of the shared connection
	sharedConnections    *sharedConnections
	maxSessions          int                   // for the channel-max of the relay's open; 0: maxChannel
	peerMaxChannel       uint16                // highest channel that the endpoint accepts
	peerIdleTimeout      time.Duration         // idle time-out in the endpoint's open; 0: none
	attach               framing.Performative  // the endpoint's
	creditFlow           *framing.Performative // the endpoint's first flow with credit; nil: none yet
	done                 chan struct{}         // closed at the end of the attempt or the pipe
	hasClientCertificate bool                  // the relay has shown a certificate
	tcp                  net.Conn              // below TLS, if there is TLS: closing it never blocks
}

// Close ends the session at once, and its connection if that is its own. Any goroutine may call it, also repeatedly.
func (u *upstream) Close() {
	if u.sharedSession != nil {
		u.sharedConnections.endSession(u.connectionID, u.sharedSession)
		return
	}
	u.session.markEnded()
	u.tcp.Close()
}

// nextFrame waits at most wait for the endpoint's next frame; 0: until the endpoint has been silent for
// endpointSilenceTimeout, which on a shared connection its reader checks.
func (u *upstream) nextFrame(wait time.Duration) (framing.Frame, error) {
	if u.sharedSession != nil {
		return u.sharedSession.nextFrame(wait)
	}
	return u.readFrame(framing.TypeAMQP, cmp.Or(wait, endpointSilenceTimeout))
}

// limitRemaining sets a deadline for all that the endpoint still sends.
func (u *upstream) limitRemaining(wait time.Duration) {
	if u.sharedSession != nil {
		u.sharedSession.setDeadline(time.Now().Add(wait))
		return
	}
	u.SetReadDeadline(time.Now().Add(wait))
}

// connect opens a connection to an endpoint with a session on it, within a timeout. On a shared connection the begin is
// sent together with the attach.
func (f *Frontend) connect(ctx context.Context, endpoint registry.Endpoint, address string, timeout time.Duration) (*upstream, error) {
	if f.sharedConnections != nil {
		shared, connectionID, err := f.sharedConnections.openSession(ctx, endpoint, address, timeout)
		if err != nil {
			return nil, err
		}
		return &upstream{
			session: shared.session, sharedSession: shared, connectionID: connectionID,
			sharedConnections: f.sharedConnections, done: make(chan struct{}),
		}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u, err := f.dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	stopClose := context.AfterFunc(ctx, func() { u.tcp.Close() })
	go u.sendHeartbeats(u.peerIdleTimeout, u.done)
	err = u.beginSession(timeout)
	if !stopClose() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		close(u.done)
		u.Close()
		return nil, err
	}
	return u, nil
}

// beginSession begins the only session of a connection, and waits for the endpoint's begin.
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
