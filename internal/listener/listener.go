// Package listener contains what the frontends of all protocols share: a TCP
// listener that can pause and shut down gracefully, a limiter of a frontend's
// connections, and the statuses of failed attempts.
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

// Limits of Shutdown, which accepts queued connections until none has arrived for
// drainIdleTimeout, but no longer than drainTimeout.
const (
	drainIdleTimeout = 20 * time.Millisecond
	drainTimeout     = 100 * time.Millisecond
)

// Listener is a TCP listener that can pause, and that accepts the connections in
// its accept queue before it shuts down, as closing a listener resets them. Its
// methods may be called from any goroutine.
type Listener struct {
	*net.TCPListener

	mu            sync.Mutex    // guards the fields below
	acceptsDone   sync.Cond     // signals, with mu, that accepting is 0 or the listener has resumed
	accepting     int           // number of calls within TCPListener.Accept
	paused        chan struct{} // closed when the listener resumes; nil if it is not paused
	closing       bool
	drainDeadline time.Time // end of accepting while closing
}

// Listen listens at an address. With shared, several processes of the same user may
// listen at one address if all of them set shared, as two versions do during an
// upgrade.
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
	var setErr error
	err := raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, setErr)
}

// New returns a Listener for a socket that already listens.
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

// beginAccept counts a call of TCPListener.Accept. If the listener is paused, it
// returns a channel instead, which is closed when the listener resumes.
func (l *Listener) beginAccept() (paused <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		return l.paused
	}
	l.accepting++
	return nil
}

// endAccept ends a call that beginAccept counted, and returns the state of the
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

// Pause makes the listener stop accepting. Connections wait in the accept queue,
// which another process may share. It waits for calls of TCPListener.Accept in
// progress, which could otherwise accept a connection after Pause has returned.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil || l.closing {
		return
	}
	paused := make(chan struct{})
	l.paused = paused
	l.SetDeadline(time.Now()) // interrupts TCPListener.Accept
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

// resume makes the listener accept until a deadline; the zero time means no
// deadline. The caller holds mu.
func (l *Listener) resume(deadline time.Time) {
	l.SetDeadline(deadline)
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
		l.acceptsDone.Broadcast()
	}
}

// Shutdown makes Accept close the listener once it has accepted the connections in
// the queue. A paused listener is closed at once, as another process accepts from
// its queue. Shutdown does not wait, and later calls have no effect.
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

// acceptQueued accepts a connection from the queue after the socket's deadline, or
// returns nil if there is none. It uses the descriptor, as the runtime does not
// accept past the deadline: if Accept is scheduled late, connections that arrived
// in time may still be in the queue, and closing the listener would reset them.
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
	defer func() { _ = file.Close() }() // net.FileConn has duplicated it
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
