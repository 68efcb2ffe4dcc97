package listener

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// OpeningTimeout is how long a client may take, from its connection on, to
	// send its complete opening. Clients that don't are owed an answer or a close
	// within 3 s.
	OpeningTimeout = 2 * time.Second

	// minIdleTime is how long a connection that waits is not evicted, so that its
	// first bytes can be read: a burst of connections would otherwise evict the
	// one among them whose opening is on its way.
	minIdleTime = 50 * time.Millisecond

	// acceptRetryDelay is the wait after an accept that failed.
	acceptRetryDelay = 10 * time.Millisecond
)

// ConnLimiter bounds what the clients of a front hold: slots, for connections
// with a request, and a number of idle connections, which have not sent their
// opening yet or have been answered. Connections by the hundred that send
// nothing take no slot, and the one that has been idle longest is evicted for
// the next. Its methods may be called from any goroutine.
type ConnLimiter struct {
	Slots   int // requests at a time
	MaxIdle int // idle connections at a time; at least one is permitted

	clients sync.WaitGroup // that are being served

	mu         sync.Mutex // guards what follows
	closed     bool       // nothing is adopted any more
	lentSlots  int        // that another process of this relay uses
	slotsInUse int
	idle       []*Admission  // the longest idle first
	roomFreed  chan struct{} // holds a value after one has left idle
}

// Admission is what one connection holds of a ConnLimiter. It begins idle.
type Admission struct {
	// IdleSince is when the connection last became idle. It is written under
	// limiter.mu, before Serve passes the Admission on and by Release.
	IdleSince time.Time

	limiter *ConnLimiter

	// Guarded by limiter.mu.
	evict  func()
	slots  int
	closed bool // evicted, or its client has ended
}

// Serve passes each connection of a listener to serveClient, on a goroutine of
// its own, as the limiter admits it. It returns nil after the listener is closed,
// or ctx has ended, and every client has been served.
func Serve(ctx context.Context, l net.Listener, c *ConnLimiter, serveClient func(context.Context, *net.TCPConn, *Admission)) error {
	c.mu.Lock()
	c.roomFreed = make(chan struct{}, 1)
	c.mu.Unlock()
	defer c.clients.Wait()
	defer c.close()
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a client that left while queued: it passes
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		conn := accepted.(*net.TCPConn)
		admission := &Admission{limiter: c, evict: func() { conn.Close() }}
		if !c.admit(ctx, admission) {
			conn.Close()
			return nil
		}
		c.clients.Go(func() {
			defer admission.close()
			serveClient(ctx, conn, admission)
		})
	}
}

// close makes Adopt fail.
func (c *ConnLimiter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// admit makes a connection idle. While there are too many, the one that has been
// idle longest is evicted, not before its minIdleTime. It reports false when ctx
// ends first.
func (c *ConnLimiter) admit(ctx context.Context, admission *Admission) bool {
	for ctx.Err() == nil {
		admitted, wait := c.tryAdmit(admission)
		if admitted {
			return true
		}
		if wait <= 0 {
			continue // a connection was evicted
		}
		select {
		case <-c.roomFreed:
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// tryAdmit makes a connection idle if there is room. If there is none it evicts
// the connection that has been idle longest, or returns how long that one has
// to be waited for.
func (c *ConnLimiter) tryAdmit(admission *Admission) (admitted bool, wait time.Duration) {
	c.mu.Lock()
	if len(c.idle) < max(1, c.MaxIdle) {
		admission.IdleSince = time.Now()
		c.idle = append(c.idle, admission)
		c.mu.Unlock()
		return true, 0
	}
	longest := c.idle[0]
	wait = minIdleTime - time.Since(longest.IdleSince)
	if wait > 0 {
		c.mu.Unlock()
		return false, wait
	}
	longest.closed = true
	c.idle = c.idle[1:]
	evict := longest.evict
	c.mu.Unlock()
	evict()
	return false, 0
}

// LendSlots leaves a number of slots to another process of this relay, whose
// clients are still to come here or to end there. 0 makes all available again.
func (c *ConnLimiter) LendSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lentSlots = slots
}

// SlotsInUse returns how many slots are in use, without those lent.
func (c *ConnLimiter) SlotsInUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotsInUse
}

// Adopt gives a client of another process of this relay a slot, in place of one
// that is lent to that process, and serves the client on a goroutine that Serve
// waits for. It reports false, and serves nothing, once Serve is ending.
func (c *ConnLimiter) Adopt(serveClient func(*Admission)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.lentSlots = max(0, c.lentSlots-1)
	c.slotsInUse++
	admission := &Admission{limiter: c, slots: 1}
	c.clients.Go(func() {
		defer admission.close()
		serveClient(admission)
	})
	return true
}

// removeIdle removes a connection from the idle ones. The caller holds mu.
func (c *ConnLimiter) removeIdle(admission *Admission) {
	i := slices.Index(c.idle, admission)
	if i < 0 {
		return
	}
	c.idle = slices.Delete(c.idle, i, i+1)
	select {
	case c.roomFreed <- struct{}{}:
	default:
	}
}

// OnEvict sets what evicts the connection. It must not block, and may be called
// from any goroutine.
func (a *Admission) OnEvict(evict func()) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.evict = evict
}

// Acquire takes a slot, with which the connection is not idle. It reports false
// if no slot is free, or if the connection was evicted. A connection may have
// several slots.
func (a *Admission) Acquire() bool {
	c := a.limiter
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.closed || c.slotsInUse+c.lentSlots >= c.Slots {
		return false
	}
	c.slotsInUse++
	if a.slots == 0 {
		c.removeIdle(a)
	}
	a.slots++
	return true
}

// Release returns a slot. After the last one the connection is idle again.
func (a *Admission) Release() {
	c := a.limiter
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slotsInUse--
	a.slots--
	if a.slots == 0 && !a.closed {
		a.IdleSince = time.Now()
		c.idle = append(c.idle, a)
	}
}

// close ends the admission, whose slots have been released by then.
func (a *Admission) close() {
	c := a.limiter
	c.mu.Lock()
	defer c.mu.Unlock()
	a.closed = true
	c.removeIdle(a)
}
