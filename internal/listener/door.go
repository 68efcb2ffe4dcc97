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
	drainFor  = 20 * time.Millisecond  // a door that shuts takes in who waits in its queue for so long,
	drainMost = 100 * time.Millisecond // and until nobody waits there, but no longer than this
)

// Listener is a listener that can rest, and that shuts without turning away who has
// connected: closing a listener resets the connections that wait in its queue.
type Listener struct {
	*net.TCPListener

	mu   sync.Mutex
	out  sync.Cond     // of mu: the last one inside has come out, or the door rests no more
	in   int           // who is inside the listener's Accept
	rest chan struct{} // closed when the door rests no more; nil if it does not
	shut bool
	last time.Time // nobody is taken in after it, once the door shuts
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
	d.out.L = &d.mu
	return d
}

// Accept takes in the next one who comes. It waits while the door rests.
func (d *Listener) Accept() (net.Conn, error) {
	for {
		d.mu.Lock()
		rest := d.rest
		if rest == nil {
			d.in++
		}
		d.mu.Unlock()
		if rest != nil {
			<-rest
			continue
		}
		c, err := d.TCPListener.Accept()
		d.mu.Lock()
		if d.in--; d.in == 0 {
			d.out.Broadcast()
		}
		shut, last := d.shut, d.last
		d.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if shut {
			if time.Now().Before(last) {
				if c := d.waiting(); c != nil {
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
	if d.rest != nil || d.shut {
		return
	}
	rest := make(chan struct{})
	d.rest = rest
	d.SetDeadline(time.Now()) // for Accept to notice
	for d.in > 0 && d.rest == rest {
		d.out.Wait()
	}
}

// Resume has a door that rests take people in again.
func (d *Listener) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open(time.Time{})
}

func (d *Listener) open(until time.Time) {
	d.SetDeadline(until)
	if d.rest != nil {
		close(d.rest)
		d.rest = nil
		d.out.Broadcast()
	}
}

// Shutdown closes the door after those who wait in its queue; one that rests at once, as its
// queue is another's by then. Only the first call counts.
func (d *Listener) Shutdown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut {
		return
	}
	d.shut = true
	if d.rest != nil {
		d.TCPListener.Close()
	}
	d.last = time.Now().Add(drainMost)
	d.open(time.Now().Add(drainFor))
}

// waiting takes who waits in the queue after the time to shut has come; nil: nobody does. It
// goes by the descriptor: a read past its deadline is not tried, and a goroutine that wakes
// late finds people in the queue, whom the close would reset.
func (d *Listener) waiting() net.Conn {
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
