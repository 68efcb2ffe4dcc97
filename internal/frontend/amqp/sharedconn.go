package amqp

import (
	"context"
	"net"
	"sync"
	"time"

	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/registry"
)

// sessionEndTimeout is how long a server may take to let go of a session that was ended. Its connection takes nothing new
// after that: a server that has lost count of sessions would run out of them.
const sessionEndTimeout = 5 * time.Second

// sharedConnections are the connections to servers that transactions share. Which one a transaction takes is the pool's decision; here
// they are brought up, read, and closed.
type sharedConnections struct {
	frontend *Frontend

	mu          sync.Mutex
	pool        *connpool.Pool
	connections map[connpool.ID]*sharedConnection
	idleTimer   *time.Timer // for those that idle
	closed      bool
}

// sharedConnection is one of them. It is usable once ready is closed without an error.
type sharedConnection struct {
	id             connpool.ID
	address        string
	ready          chan struct{}
	err            error
	multiplexer    *multiplexer
	tcp            net.Conn
	peerMaxChannel uint16 // channel number that the server takes
	closing        bool   // it is being closed
	done           chan struct{}
}

func newSharedConnections(f *Frontend, s connpool.Settings) *sharedConnections {
	return &sharedConnections{frontend: f, pool: connpool.New(s), connections: make(map[connpool.ID]*sharedConnection)}
}

// openSession opens a session at a server, on a connection that others share or that is brought up for it.
func (t *sharedConnections) openSession(ctx context.Context, to registry.Endpoint, address string, bound time.Duration) (*sharedSession, connpool.ID, error) {
	for {
		t.mu.Lock()
		if t.closed {
			t.mu.Unlock()
			return nil, 0, errConnectionClosing
		}
		id, dial := t.pool.Take(address)
		tr := t.connections[id]
		if dial {
			tr = &sharedConnection{id: id, address: address, ready: make(chan struct{}), done: make(chan struct{})}
			t.connections[id] = tr
			go t.connect(tr, to, bound)
		}
		t.mu.Unlock()
		select {
		case <-tr.ready:
		case <-ctx.Done():
			t.release(tr)
			return nil, 0, ctx.Err()
		}
		if tr.err != nil {
			t.release(tr)
			return nil, 0, tr.err
		}
		l, err := tr.multiplexer.openSession(tr.peerMaxChannel, func() { t.release(tr) })
		if l != nil {
			return l, id, nil
		}
		t.release(tr)
		if err != nil { // it has come to its end meanwhile: another is chosen once the pool knows
			select {
			case <-tr.done:
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		} // else more waited for it than the server takes
	}
}

// release gives a place on a trunk back.
func (t *sharedConnections) release(tr *sharedConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool.Done(t.frontend.Proxy.Clock.Now(), tr.id)
	t.closeIdle()
}

// connect dials a server. What comes of it is every waiting transaction's.
func (t *sharedConnections) connect(tr *sharedConnection, to registry.Endpoint, bound time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	u, err := t.frontend.dial(ctx, tr.address, bound)
	cancel()
	t.mu.Lock()
	if err == nil {
		tr.multiplexer, tr.tcp, tr.peerMaxChannel = newMultiplexer(u.connection), u.tcp, min(u.peerMaxChannel, uint16(t.frontend.Pool.MaxSessions-1))
	}
	if tr.err = err; err == nil && t.closed {
		tr.err = errConnectionClosing
		u.tcp.Close()
	}
	if tr.err != nil {
		t.remove(tr)
		close(tr.ready)
		t.mu.Unlock()
		return
	}
	t.pool.Opened(tr.id, int(tr.peerMaxChannel)+1)
	close(tr.ready)
	t.mu.Unlock()
	go u.sendHeartbeats(u.peerIdleTimeout, tr.done)
	if to.Draining != nil {
		go func() {
			select {
			case <-tr.done:
			case <-to.Draining: // its clients are moved; the connection goes with the last
				t.mu.Lock()
				t.pool.Shut(tr.id)
				t.closeIdle()
				t.mu.Unlock()
			}
		}()
	}
	tr.multiplexer.serve(endpointSilenceTimeout)
	tr.tcp.Close()
	t.mu.Lock()
	t.remove(tr)
	t.mu.Unlock()
}

// remove forgets a trunk that is gone. The caller holds the lock.
func (t *sharedConnections) remove(tr *sharedConnection) {
	t.pool.Lost(tr.id)
	delete(t.connections, tr.id)
	close(tr.done)
}

// closeIdle closes the trunks that have idled long enough, and looks again when the next ones have. The caller holds the lock.
func (t *sharedConnections) closeIdle() {
	now := t.frontend.Proxy.Clock.Now()
	out, next := t.pool.Idle(now)
	for _, id := range out {
		if tr := t.connections[id]; !tr.closing {
			tr.closing = true
			go tr.closeGracefully()
		}
	}
	if t.idleTimer != nil {
		t.idleTimer.Stop()
		t.idleTimer = nil
	}
	if next > 0 && !t.closed {
		t.idleTimer = time.AfterFunc(next-now, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.closeIdle()
		})
	}
}

// closeGracefully closes a trunk in good order, without waiting for the server for long.
func (tr *sharedConnection) closeGracefully() {
	tr.multiplexer.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
	_ = tr.multiplexer.CloseWrite()
	select {
	case <-tr.done:
	case <-time.After(closeTimeout):
	}
	tr.tcp.Close()
}

// close closes all trunks: the front has seen its clients through.
func (t *sharedConnections) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.closeIdle()
	for _, tr := range t.connections {
		if tr.tcp != nil {
			tr.tcp.Close()
		}
	}
}

// endSession ends a session from here, and shuts its trunk if the server does not let go of it.
func (t *sharedConnections) endSession(id connpool.ID, l *sharedSession) {
	if l.endLocally() {
		return
	}
	time.AfterFunc(sessionEndTimeout, func() {
		if !l.isEndedRemotely() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.pool.Shut(id)
		}
	})
}
