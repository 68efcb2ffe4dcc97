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

// Idle time-outs towards application servers.
const (
	advertisedEndpointIdleTimeout = 2 * time.Second // an application server is told this much
	endpointSilenceTimeout        = 6 * time.Second // and is dead after this much
)

// upstream is an application server's side of a transaction: one session with one link, on a connection of
// its own or on one that others share.
type upstream struct {
	*session
	sharedSession        *sharedSession // of a shared connection; nil: it has its own
	connectionID         connpool.ID    // that connection
	sharedConnections    *sharedConnections
	maxSessions          int                  // that the connection is to have at the most; 0: as any other
	peerMaxChannel       uint16               // highest channel that the server takes
	peerIdleTimeout      time.Duration        // that it wants to hear something within
	attach               framing.Performative // the server's
	creditFlow           *framing.Performative
	done                 chan struct{}
	hasClientCertificate bool     // the relay has shown a certificate
	tcp                  net.Conn // below TLS, if that is there: its end waits for nobody
}

// Close ends the connection at once.
func (u *upstream) Close() {
	if u.sharedSession != nil {
		u.sharedConnections.endSession(u.connectionID, u.sharedSession)
		return
	}
	u.session.markEnded()
	u.tcp.Close()
}

// nextFrame waits for the server's next frame, for so long at the most; 0: as long as the server gives a sign of life, which on a
// shared connection its reader sees to.
func (u *upstream) nextFrame(wait time.Duration) (framing.Frame, error) {
	if u.sharedSession != nil {
		return u.sharedSession.nextFrame(wait)
	}
	return u.readFrame(framing.TypeAMQP, cmp.Or(wait, endpointSilenceTimeout))
}

// limitRemaining has the server say what it still has to say within a time.
func (u *upstream) limitRemaining(wait time.Duration) {
	if u.sharedSession != nil {
		u.sharedSession.setDeadline(time.Now().Add(wait))
		return
	}
	u.SetReadDeadline(time.Now().Add(wait))
}

// connect opens a connection to a server, with a session on it; on a shared one the session begins as the attach goes out.
func (f *Frontend) connect(ctx context.Context, endpoint registry.Endpoint, address string, timeout time.Duration) (*upstream, error) {
	if f.sharedConnections != nil {
		shared, connectionID, err := f.sharedConnections.openSession(ctx, endpoint, address, timeout)
		if err != nil {
			return nil, err
		}
		return &upstream{session: shared.session, sharedSession: shared, connectionID: connectionID, sharedConnections: f.sharedConnections, done: make(chan struct{})}, nil
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

// beginSession begins the one session of a connection.
func (u *upstream) beginSession(timeout time.Duration) error {
	if err := u.writeFrame(0, u.newBegin(nil), nil); err != nil {
		return err
	}
	for {
		f, err := u.readFrame(framing.TypeAMQP, timeout)
		switch {
		case err != nil:
			return err
		case f.Empty:
		case f.Code == framing.CodeBegin:
			return u.applyBegin(f.Performative)
		default:
			return errNegotiation
		}
	}
}
