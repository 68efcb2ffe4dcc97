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
func (s *sharedConnections) openSession(ctx context.Context, endpoint registry.Endpoint, address string, timeout time.Duration) (*sharedSession, connpool.ID, error) {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return nil, 0, errConnectionClosing
		}
		id, dial := s.pool.Take(address)
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
		if err != nil { // it has come to its end meanwhile: another is chosen once the pool knows
			select {
			case <-conn.done:
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		} // else more waited for it than the server takes
	}
}

// release gives a place on a trunk back.
func (s *sharedConnections) release(conn *sharedConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(s.frontend.Proxy.Clock.Now(), conn.id)
	s.closeIdle()
}

// connect dials a server. What comes of it is every waiting transaction's.
func (s *sharedConnections) connect(conn *sharedConnection, endpoint registry.Endpoint, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	dialed, err := s.frontend.dial(ctx, conn.address, timeout)
	cancel()
	s.mu.Lock()
	if err == nil {
		conn.multiplexer, conn.tcp, conn.peerMaxChannel = newMultiplexer(dialed.connection), dialed.tcp, min(dialed.peerMaxChannel, uint16(s.frontend.Pool.MaxSessions-1))
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
		go func() {
			select {
			case <-conn.done:
			case <-endpoint.Draining: // its clients are moved; the connection goes with the last
				s.mu.Lock()
				s.pool.Shut(conn.id)
				s.closeIdle()
				s.mu.Unlock()
			}
		}()
	}
	conn.multiplexer.serve(endpointSilenceTimeout)
	conn.tcp.Close()
	s.mu.Lock()
	s.remove(conn)
	s.mu.Unlock()
}

// remove forgets a trunk that is gone. The caller holds the lock.
func (s *sharedConnections) remove(conn *sharedConnection) {
	s.pool.Lost(conn.id)
	delete(s.connections, conn.id)
	close(conn.done)
}

// closeIdle closes the trunks that have idled long enough, and looks again when the next ones have. The caller holds the lock.
func (s *sharedConnections) closeIdle() {
	now := s.frontend.Proxy.Clock.Now()
	out, next := s.pool.Idle(now)
	for _, id := range out {
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

// closeGracefully closes a trunk in good order, without waiting for the server for long.
func (conn *sharedConnection) closeGracefully() {
	conn.multiplexer.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
	_ = conn.multiplexer.CloseWrite()
	select {
	case <-conn.done:
	case <-time.After(closeTimeout):
	}
	conn.tcp.Close()
}

// close closes all trunks: the front has seen its clients through.
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

// endSession ends a session from here, and shuts its trunk if the server does not let go of it.
func (s *sharedConnections) endSession(id connpool.ID, shared *sharedSession) {
	if shared.endLocally() {
		return
	}
	time.AfterFunc(sessionEndTimeout, func() {
		if !shared.isEndedRemotely() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pool.Shut(id)
		}
	})
}
