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

const (
	drainIdleTimeout = 20 * time.Millisecond  // a door that shuts takes in who waits in its queue for so long,
	drainTimeout     = 100 * time.Millisecond // and until nobody waits there, but no longer than this
)

// Listener is a listener that can rest, and that shuts without turning away who has
// connected: closing a listener resets the connections that wait in its queue.
type Listener struct {
	*net.TCPListener

	mu            sync.Mutex
	acceptsDone   sync.Cond     // of mu: the last one inside has come out, or the door rests no more
	accepting     int           // who is inside the listener's Accept
	paused        chan struct{} // closed when the door rests no more; nil if it does not
	closing       bool
	drainDeadline time.Time // nobody is taken in after it, once the door shuts
}

// Listen listens at an address. A shared door can be opened beside another
// process's at the same address, as a new version is; the system lets none but the same
// user's do that.
func Listen(address string, shared bool) (*Listener, error) {
	var c net.ListenConfig
	if shared {
		c.Control = func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(err, set)
		}
	}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(l.(*net.TCPListener)), nil
}

// New is a door of a socket that listens already.
func New(l *net.TCPListener) *Listener {
	d := &Listener{TCPListener: l}
	d.acceptsDone.L = &d.mu
	return d
}

// Accept takes in the next one who comes. It waits while the door rests.
func (d *Listener) Accept() (net.Conn, error) {
	for {
		d.mu.Lock()
		rest := d.paused
		if rest == nil {
			d.accepting++
		}
		d.mu.Unlock()
		if rest != nil {
			<-rest
			continue
		}
		c, err := d.TCPListener.Accept()
		d.mu.Lock()
		if d.accepting--; d.accepting == 0 {
			d.acceptsDone.Broadcast()
		}
		shut, last := d.closing, d.drainDeadline
		d.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if shut {
			if time.Now().Before(last) {
				if c := d.acceptQueued(); c != nil {
					return c, nil
				}
			}
			d.TCPListener.Close()
			return nil, net.ErrClosed
		}
	}
}

// Pause has the door take nobody in. Who comes waits in the queue, which another process
// may share. It waits until nobody is on the way in any more: an Accept that looked at the
// deadline before it was set would still take in one who comes after Rest.
func (d *Listener) Pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused != nil || d.closing {
		return
	}
	rest := make(chan struct{})
	d.paused = rest
	d.SetDeadline(time.Now()) // for Accept to notice
	for d.accepting > 0 && d.paused == rest {
		d.acceptsDone.Wait()
	}
}

// Resume has a door that rests take people in again.
func (d *Listener) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resume(time.Time{})
}

func (d *Listener) resume(until time.Time) {
	d.SetDeadline(until)
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
		d.acceptsDone.Broadcast()
	}
}

// Shutdown closes the door after those who wait in its queue; one that rests at once, as its
// queue is another's by then. Only the first call counts.
func (d *Listener) Shutdown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return
	}
	d.closing = true
	if d.paused != nil {
		d.TCPListener.Close()
	}
	d.drainDeadline = time.Now().Add(drainTimeout)
	d.resume(time.Now().Add(drainIdleTimeout))
}

// acceptQueued takes who waits in the queue after the time to shut has come; nil: nobody does. It
// goes by the descriptor: a read past its deadline is not tried, and a goroutine that wakes
// late finds people in the queue, whom the close would reset.
func (d *Listener) acceptQueued() net.Conn {
	raw, err := d.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	raw.Control(func(l uintptr) {
		fd, _, err = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil {
		return nil
	}
	f := os.NewFile(uintptr(fd), "waited at the door")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
