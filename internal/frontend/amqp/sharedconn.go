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

// sessionEndTimeout is how long an endpoint may take to answer the end of a session. After that its connection gets no
// new sessions, because sessions that never end would use up its channels.
const sessionEndTimeout = 5 * time.Second

// sharedConnections manages the connections to endpoints that requests share. The pool decides which connection a
// request uses; this type opens, reads and closes the connections.
type sharedConnections struct {
	frontend *Frontend

	mu          sync.Mutex // guards the fields below, and err, multiplexer, tcp and closing of each connection
	pool        *connpool.Pool
	connections map[connpool.ID]*sharedConnection
	idleTimer   *time.Timer // fires when the next idle connection times out; nil: none
	closed      bool
}

// sharedConnection is a connection to an endpoint. The goroutine of connect opens and reads it.
type sharedConnection struct {
	id             connpool.ID
	address        string
	ready          chan struct{} // closed once the connection is established or has failed with err
	err            error
	multiplexer    *multiplexer
	tcp            net.Conn
	peerMaxChannel uint16        // highest channel that both the endpoint and the pool settings allow
	closing        bool          // closeGracefully was started
	done           chan struct{} // closed once the connection has ended
}

func newSharedConnections(frontend *Frontend, settings connpool.Settings) *sharedConnections {
	return &sharedConnections{frontend: frontend, pool: connpool.New(settings), connections: make(map[connpool.ID]*sharedConnection)}
}

// openSession returns a session to an endpoint, on an established connection or on a new one that is opened within
// timeout. The caller sends the session's begin.
func (s *sharedConnections) openSession(ctx context.Context, endpoint registry.Endpoint, address string, timeout time.Duration) (*sharedSession, connpool.ID, error) {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return nil, 0, errConnectionClosing
		}
		id, dial := s.pool.Acquire(address)
		conn := s.connections[id]
		if dial {
			conn = &sharedConnection{id: id, address: address, ready: make(chan struct{}), done: make(chan struct{})}
			s.connections[id] = conn
			go s.connect(conn, endpoint, timeout)
		}
		s.mu.Unlock()
		select {
		case <-conn.ready:
		case <-ctx.Done():
			s.release(conn)
			return nil, 0, ctx.Err()
		}
		if conn.err != nil {
			s.release(conn)
			return nil, 0, conn.err
		}
		shared, err := conn.multiplexer.openSession(conn.peerMaxChannel, func() { s.release(conn) })
		if shared != nil {
			return shared, id, nil
		}
		s.release(conn)
		if err != nil { // the connection has ended: retry once the pool has removed it
			select {
			case <-conn.done:
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		} // otherwise the endpoint accepts fewer sessions than requests were waiting for the connection
	}
}

// minSharedWindow is the smallest incoming window of a session on a shared connection, in transfers.
const minSharedWindow = 8

// sharedSessionWindow returns the incoming window of sessions on shared connections. What an endpoint sends waits in the
// relay while its client takes nothing, so the windows of all sessions together are limited by MaxPendingBytes.
func (f *Frontend) sharedSessionWindow() uint32 {
	if f.MaxPendingBytes <= 0 {
		return sessionWindow
	}
	window := f.MaxPendingBytes / (max(1, f.Limiter.Slots) * framing.MaxFrameSize)
	return uint32(min(max(window, minSharedWindow), sessionWindow))
}

// release returns a session slot of a connection to the pool.
func (s *sharedConnections) release(conn *sharedConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Release(s.frontend.Proxy.Clock.Now(), conn.id)
	s.closeIdle()
}

// connect dials an endpoint for all requests that wait for the connection, and then reads the connection until it ends.
func (s *sharedConnections) connect(conn *sharedConnection, endpoint registry.Endpoint, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	dialed, err := s.frontend.dial(ctx, conn.address, timeout)
	cancel()
	s.mu.Lock()
	if err == nil {
		conn.multiplexer = newMultiplexer(dialed.connection)
		conn.multiplexer.sessionWindow = s.frontend.sharedSessionWindow()
		conn.tcp = dialed.tcp
		conn.peerMaxChannel = min(dialed.peerMaxChannel, uint16(s.frontend.Pool.MaxSessions-1))
	}
	if conn.err = err; err == nil && s.closed {
		conn.err = errConnectionClosing
		dialed.tcp.Close()
	}
	if conn.err != nil {
		s.remove(conn)
		close(conn.ready)
		s.mu.Unlock()
		return
	}
	s.pool.Opened(conn.id, int(conn.peerMaxChannel)+1)
	close(conn.ready)
	s.mu.Unlock()
	go dialed.sendHeartbeats(dialed.peerIdleTimeout, conn.done)
	if endpoint.Draining != nil {
		go s.retireWhenDraining(conn, endpoint.Draining)
	}
	conn.multiplexer.serve(endpointSilenceTimeout)
	conn.tcp.Close()
	s.mu.Lock()
	s.remove(conn)
	s.mu.Unlock()
}

// retireWhenDraining stops new sessions on a connection once its endpoint drains. The connection is closed after its
// last session. It runs in its own goroutine until the endpoint drains or the connection ends.
func (s *sharedConnections) retireWhenDraining(conn *sharedConnection, draining <-chan struct{}) {
	select {
	case <-conn.done:
	case <-draining:
		s.mu.Lock()
		s.pool.Drain(conn.id)
		s.closeIdle()
		s.mu.Unlock()
	}
}

// remove removes a connection that has ended or failed to open. The caller holds the lock.
func (s *sharedConnections) remove(conn *sharedConnection) {
	s.pool.Closed(conn.id)
	delete(s.connections, conn.id)
	close(conn.done)
}

// closeIdle closes connections whose idle time is over, and sets the timer for the next one. The caller holds the lock.
func (s *sharedConnections) closeIdle() {
	now := s.frontend.Proxy.Clock.Now()
	idle, next := s.pool.ExpireIdle(now)
	for _, id := range idle {
		if conn := s.connections[id]; !conn.closing {
			conn.closing = true
			go conn.closeGracefully()
		}
	}
	if s.idleTimer != nil {
		s.idleTimer.Stop()
		s.idleTimer = nil
	}
	if next > 0 && !s.closed {
		s.idleTimer = time.AfterFunc(next-now, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closeIdle()
		})
	}
}

// closeGracefully sends a close and waits for the endpoint's close, at most closeTimeout. It runs in its own goroutine.
func (c *sharedConnection) closeGracefully() {
	c.multiplexer.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
	_ = c.multiplexer.CloseWrite()
	select {
	case <-c.done:
	case <-time.After(closeTimeout):
	}
	c.tcp.Close()
}

// close closes all connections immediately; no session can be opened afterwards.
func (s *sharedConnections) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeIdle()
	for _, conn := range s.connections {
		if conn.tcp != nil {
			conn.tcp.Close()
		}
	}
}

// endSession ends a session, and stops new sessions on its connection if the endpoint does not answer within
// sessionEndTimeout.
func (s *sharedConnections) endSession(id connpool.ID, shared *sharedSession) {
	if shared.endLocally() {
		return
	}
	time.AfterFunc(sessionEndTimeout, func() {
		if !shared.isEndedRemotely() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pool.Drain(id)
		}
	})
}
