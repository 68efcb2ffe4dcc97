package listener

import (
	"context"
	"errors"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	// OpeningTimeout is how long a client may take to send its complete opening
	// message after it has connected. It leaves time to answer or close within 3 s.
	OpeningTimeout = 2 * time.Second

	// minIdleTime is how long an idle connection is safe from eviction, so that a
	// burst of connections does not evict one whose opening message is about to arrive.
	minIdleTime = 50 * time.Millisecond

	// acceptRetryDelay is the wait after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// ConnLimiter limits the connections of a frontend: those with requests, which use
// slots, and idle ones, which have not sent their opening message yet or have been answered.
// Idle connections use no slots. If there are too many, the longest idle one is
// evicted. Its methods may be called from any goroutine.
type ConnLimiter struct {
	Slots   int // limit of concurrent requests
	MaxIdle int // limit of idle connections; at least one is allowed

	clients sync.WaitGroup // goroutines that serve clients

	mu            sync.Mutex // guards the fields below
	closed        bool       // Serve is ending, and Adopt fails
	reservedSlots int        // slots that another process of this relay uses
	slotsInUse    int
	idle          []*Admission  // ordered by IdleSince, longest idle first
	idleRemoved   chan struct{} // receives a value when an idle connection is removed
}

// Admission is the state of one connection in a ConnLimiter. An accepted connection is
// idle at first; an adopted one has a slot.
type Admission struct {
	// IdleSince is when the connection last became idle. It is written under
	// limiter.mu, on admission and by Release.
	IdleSince time.Time

	limiter *ConnLimiter

	// Guarded by limiter.mu.
	evict  func()
	slots  int
	closed bool // evicted, or no longer served
}

// Serve accepts connections, and calls serveClient on a new goroutine for each one
// that the limiter admits. After the listener is closed or ctx has ended, it waits
// for all clients, and returns nil.
func Serve(ctx context.Context, listener net.Listener, limiter *ConnLimiter, serveClient func(context.Context, *net.TCPConn, *Admission)) error {
	limiter.mu.Lock()
	limiter.idleRemoved = make(chan struct{}, 1)
	limiter.mu.Unlock()
	defer limiter.clients.Wait()
	defer limiter.close()
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // for example too many open files, or a client that disconnected in the accept queue
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		conn := accepted.(*net.TCPConn)
		admission := &Admission{limiter: limiter, evict: func() { conn.Close() }}
		if !limiter.admit(ctx, admission) {
			conn.Close()
			return nil
		}
		limiter.clients.Go(func() {
			defer admission.close()
			serveClient(ctx, conn, admission)
		})
		// Otherwise a flood of connections would be accepted for as long as the scheduler lets this goroutine run, and
		// evict one another before any of them is served.
		runtime.Gosched()
	}
}

// close makes further calls of Adopt fail.
func (c *ConnLimiter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// admit adds an idle connection. While there are too many, it evicts the longest idle
// one once that has been idle for minIdleTime. It returns false if ctx ends first.
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
		case <-c.idleRemoved:
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// tryAdmit adds an idle connection if the limit permits. Otherwise it evicts the
// longest idle one, or returns how long that one is still safe from eviction.
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

// ReserveSlots reserves a number of slots for clients that another process of this relay
// serves, until they are adopted here or end there. 0 makes all slots available.
func (c *ConnLimiter) ReserveSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservedSlots = slots
}

// SlotsInUse returns the number of slots in use, without reserved ones.
func (c *ConnLimiter) SlotsInUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotsInUse
}

// Adopt takes over a client of another process of this relay: it uses one of the reserved
// slots for it, and calls serveClient on a new goroutine, which Serve waits for. Once
// Serve is ending, it returns false and serves nothing.
func (c *ConnLimiter) Adopt(serveClient func(*Admission)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.reservedSlots = max(0, c.reservedSlots-1)
	c.slotsInUse++
	admission := &Admission{limiter: c, slots: 1}
	c.clients.Go(func() {
		defer admission.close()
		serveClient(admission)
	})
	return true
}

// removeIdle removes a connection from the idle ones, if it is there. The caller holds mu.
func (c *ConnLimiter) removeIdle(admission *Admission) {
	i := slices.Index(c.idle, admission)
	if i < 0 {
		return
	}
	c.idle = slices.Delete(c.idle, i, i+1)
	select {
	case c.idleRemoved <- struct{}{}:
	default:
	}
}

// OnEvict sets the function that is called to evict the connection. It must not block,
// and may be called from any goroutine.
func (a *Admission) OnEvict(evict func()) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.evict = evict
}

// Acquire takes a slot for the connection, which is not idle while it has one. It
// returns false if no slot is free or the connection was evicted. A connection may
// have several slots.
func (a *Admission) Acquire() bool {
	limiter := a.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if a.closed || limiter.slotsInUse+limiter.reservedSlots >= limiter.Slots {
		return false
	}
	limiter.slotsInUse++
	if a.slots == 0 {
		limiter.removeIdle(a)
	}
	a.slots++
	return true
}

// Release releases a slot. The connection is idle again after its last one.
func (a *Admission) Release() {
	limiter := a.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.slotsInUse--
	a.slots--
	if a.slots == 0 && !a.closed {
		a.IdleSince = time.Now()
		limiter.idle = append(limiter.idle, a)
	}
}

// close ends the admission. All of its slots must have been released.
func (a *Admission) close() {
	limiter := a.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	a.closed = true
	limiter.removeIdle(a)
}
