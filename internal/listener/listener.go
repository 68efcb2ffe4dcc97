// Package listener holds what the fronts share: a TCP listener that can pause
// and shut down gracefully, a limiter of the connections that a front holds, and
// the status of attempts that failed. Each protocol has a package of its own.
package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on Shutdown, which accepts connections from the queue until none came
// for drainIdleTimeout, but no longer than drainTimeout.
const (
	drainIdleTimeout = 20 * time.Millisecond
	drainTimeout     = 100 * time.Millisecond
)

// Listener is a TCP listener that can pause, and that shuts down without
// resetting connections: closing a listener resets those in its accept queue.
// Its methods may be called from any goroutine.
type Listener struct {
	*net.TCPListener

	mu            sync.Mutex    // guards what follows
	acceptsDone   sync.Cond     // uses mu: accepting has become 0, or the listener has resumed
	accepting     int           // calls within TCPListener.Accept
	paused        chan struct{} // closed when the listener resumes; nil if it is not paused
	closing       bool
	drainDeadline time.Time // nothing is accepted after it while closing
}

// Listen listens at an address. Several processes may listen at the same address
// if all of them do so with shared, as a new version does beside the one that
// runs; the system permits it to processes of the same user only.
func Listen(address string, shared bool) (*Listener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = reusePort
	}
	tcpListener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(tcpListener.(*net.TCPListener)), nil
}

// reusePort sets SO_REUSEPORT on a socket.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(descriptor uintptr) {
		set = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, set)
}

// New returns a Listener of a socket that listens already.
func New(tcpListener *net.TCPListener) *Listener {
	l := &Listener{TCPListener: tcpListener}
	l.acceptsDone.L = &l.mu
	return l
}

// Accept accepts the next connection. It waits while the listener is paused, and
// returns net.ErrClosed once it is shut down.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if paused := l.beginAccept(); paused != nil {
			<-paused
			continue
		}
		conn, err := l.TCPListener.Accept()
		closing, deadline := l.endAccept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !closing {
			continue // Pause has set the deadline
		}
		if time.Now().Before(deadline) {
			if conn := l.acceptQueued(); conn != nil {
				return conn, nil
			}
		}
		l.TCPListener.Close()
		return nil, net.ErrClosed
	}
}

// beginAccept counts a call of TCPListener.Accept, or returns what is closed
// when a paused listener resumes.
func (l *Listener) beginAccept() (paused <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		return l.paused
	}
	l.accepting++
	return nil
}

// endAccept ends what beginAccept has counted, and returns the state of the
// shutdown.
func (l *Listener) endAccept() (closing bool, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	if l.accepting == 0 {
		l.acceptsDone.Broadcast()
	}
	return l.closing, l.drainDeadline
}

// Pause makes the listener accept nothing. Connections wait in the queue, which
// another process may share. It returns after the last Accept that was under way
// is out: one that looked at the deadline before it was set would still accept a
// connection that comes after Pause.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil || l.closing {
		return
	}
	paused := make(chan struct{})
	l.paused = paused
	l.SetDeadline(time.Now()) // wakes Accept
	for l.accepting > 0 && l.paused == paused {
		l.acceptsDone.Wait()
	}
}

// Resume makes a paused listener accept again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resume(time.Time{})
}

// resume makes the listener accept until a deadline; the zero time is none. The
// caller holds mu.
func (l *Listener) resume(deadline time.Time) {
	l.SetDeadline(deadline)
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
		l.acceptsDone.Broadcast()
	}
}

// Shutdown makes Accept close the listener once it has accepted the connections
// in the queue; one that is paused is closed at once, as its queue is another
// process's by then. It does not wait, and only the first call counts.
func (l *Listener) Shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return
	}
	l.closing = true
	if l.paused != nil {
		l.TCPListener.Close()
	}
	l.drainDeadline = time.Now().Add(drainTimeout)
	l.resume(time.Now().Add(drainIdleTimeout))
}

// acceptQueued accepts a connection from the queue after the deadline of the
// socket; nil if there is none. It goes by the descriptor, as the runtime does
// not try an accept past its deadline: a goroutine that wakes late finds
// connections in the queue, which the close would reset.
func (l *Listener) acceptQueued() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	raw.Control(func(descriptor uintptr) {
		accepted, _, err = unix.Accept4(int(descriptor), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "queued connection")
	defer func() { _ = file.Close() }() // the connection has a duplicate
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
