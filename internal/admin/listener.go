package admin

import (
	"net"
	"slices"
	"sync"
)

// MaxConnections is the most connections that are open at a time, and so bounds their file
// descriptors. The one that has been open longest is closed for the next.
const MaxConnections = 16

// evictingListener is a listener that holds up to MaxCallers open connections, and closes
// the oldest to accept one more.
type evictingListener struct {
	net.Listener

	mu    sync.Mutex     // guards conns
	conns []*trackedConn // oldest first
}

// trackedConn is a connection that its listener knows to be open.
type trackedConn struct {
	net.Conn
	listener *evictingListener
}

// Accept returns the next connection, and closes the oldest if there are too many.
func (l *evictingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: accepted, listener: l}
	if oldest := l.add(conn); oldest != nil {
		oldest.Conn.Close()
	}
	return conn, nil
}

// add adds an open connection. It returns the one that was removed for it, or nil.
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

// remove removes a connection, unless it was evicted.
func (l *evictingListener) remove(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, conn); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
