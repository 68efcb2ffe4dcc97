package admin

import (
	"net"
	"slices"
	"sync"
	"time"
)

// MaxConnections limits the open connections, and thereby the file descriptors they use. The
// oldest connection is closed when a new one exceeds the limit.
const MaxConnections = 16

// minConnectionTime is how long a connection is safe from eviction, so that a flood of
// connections does not evict one whose request is about to be read.
const minConnectionTime = 20 * time.Millisecond

// evictingListener is a listener with up to MaxConnections open connections. It closes the
// oldest one when it accepts another, but waits until that has had minConnectionTime.
type evictingListener struct {
	net.Listener

	mu    sync.Mutex     // guards conns
	conns []*trackedConn // the open ones, oldest first
}

// trackedConn is a connection that removes itself from its listener's open ones when it is closed.
type trackedConn struct {
	net.Conn
	listener   *evictingListener
	acceptedAt time.Time
}

// Accept returns the next connection. It closes the oldest one if there are too many.
func (l *evictingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for wait := l.evictionWait(); wait > 0; wait = l.evictionWait() {
		time.Sleep(min(wait, minConnectionTime/4)) // a connection may end meanwhile
	}
	conn := &trackedConn{Conn: accepted, listener: l, acceptedAt: time.Now()}
	if oldest := l.add(conn); oldest != nil {
		oldest.Conn.Close()
	}
	return conn, nil
}

// evictionWait returns how long the oldest connection is still safe from eviction; 0 if there
// is room for another connection.
func (l *evictingListener) evictionWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < MaxConnections {
		return 0
	}
	return minConnectionTime - time.Since(l.conns[0].acceptedAt)
}

// add adds a connection to the open ones. It returns the connection that it evicted, or nil.
func (l *evictingListener) add(conn *trackedConn) (oldest *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == MaxConnections {
		oldest = l.conns[0]
		l.conns = slices.Delete(l.conns, 0, 1)
	}
	l.conns = append(l.conns, conn)
	return oldest
}

// remove removes a connection from the open ones, unless it was evicted.
func (l *evictingListener) remove(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, conn); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// Close removes the connection from its listener's open ones, and closes it.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
