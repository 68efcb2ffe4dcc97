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
	// OpeningTimeout is how long a client may take, from its connection on, to say
	// whole what it wants. Those that don't are owed a word or a close within 3 s.
	OpeningTimeout = 2 * time.Second
	// LingerTimeout is how long a client that was answered may take to read that.
	LingerTimeout = 500 * time.Millisecond
	// LingerMaxBytes is how much of what such a client still says is read meanwhile, at the most.
	LingerMaxBytes = 256 << 10

	// A guest that waits gets this long for its first word to be read before it can
	// be shown out: a crowd that connects at once would else push out the one among
	// them whose word is on its way.
	minIdleTime = 50 * time.Millisecond
)

// ConnLimiter bounds what the clients of a front hold: seats, for those with a
// transaction, and room to wait, for connections that have not said yet what they
// want or have been answered. It guards against connections by the hundred that
// say nothing: those take no seat, and the one that has waited longest makes room.
type ConnLimiter struct {
	Slots   int
	MaxIdle int

	mu         sync.Mutex
	clients    sync.WaitGroup // clients that are being seen through
	closed     bool           // none is adopted any more
	lentSlots  int            // seats that another process of this relay has
	slotsInUse int
	idle       []*Admission  // who waits, the longest first
	roomFreed  chan struct{} // a value when one has made room
}

// Admission is a client's connection in a hall. It waits as it comes in.
type Admission struct {
	IdleSince time.Time // it has waited from then on
	limiter   *ConnLimiter
	evict     func()
	slots     int
	closed    bool
}

// Serve hands the connections that come in to client, each on a goroutine of its
// own, as the hall has room. It returns after the listener is closed and every
// client has been seen through.
func Serve(ctx context.Context, l net.Listener, h *ConnLimiter, client func(context.Context, *net.TCPConn, *Admission)) error {
	h.mu.Lock()
	h.roomFreed = make(chan struct{}, 1)
	h.mu.Unlock()
	defer h.clients.Wait()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closed = true
	}()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a client that left in the queue: it passes
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		conn := c.(*net.TCPConn)
		g := &Admission{limiter: h, evict: func() { conn.Close() }}
		if !h.admit(ctx, g) {
			conn.Close()
			return nil
		}
		h.clients.Go(func() {
			defer g.close()
			client(ctx, conn, g)
		})
	}
}

// admit has a guest wait. While there is no room, who has waited longest is shown
// out; nobody is before its least time. It fails when ctx ends first.
func (h *ConnLimiter) admit(ctx context.Context, g *Admission) bool {
	for {
		h.mu.Lock()
		if ctx.Err() != nil {
			h.mu.Unlock()
			return false
		}
		if len(h.idle) < max(1, h.MaxIdle) {
			g.IdleSince = time.Now()
			h.idle = append(h.idle, g)
			h.mu.Unlock()
			return true
		}
		first := h.idle[0]
		rest := minIdleTime - time.Since(first.IdleSince)
		if rest <= 0 {
			first.closed = true
			h.idle = h.idle[1:]
			out := first.evict
			h.mu.Unlock()
			out()
			continue
		}
		h.mu.Unlock()
		select {
		case <-h.roomFreed:
		case <-time.After(rest):
		case <-ctx.Done():
			return false
		}
	}
}

// LendSlots leaves so many of the seats to another process of this relay, whose clients are
// still to come here or to end there. 0: all are free again.
func (h *ConnLimiter) LendSlots(seats int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lentSlots = seats
}

// SlotsInUse is how many seats are taken.
func (h *ConnLimiter) SlotsInUse() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slotsInUse
}

// Adopt gives a client of another process of this relay a seat, in the place of the one
// that it had there, and sees it through. It fails once the hall closes.
func (h *ConnLimiter) Adopt(client func(*Admission)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.lentSlots = max(0, h.lentSlots-1)
	h.slotsInUse++
	g := &Admission{limiter: h, slots: 1}
	h.clients.Go(func() {
		defer g.close()
		client(g)
	})
	return true
}

// removeIdle takes a guest out of those who wait. The caller holds the lock.
func (h *ConnLimiter) removeIdle(g *Admission) {
	if i := slices.Index(h.idle, g); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
		select {
		case h.roomFreed <- struct{}{}:
		default:
		}
	}
}

// OnEvict sets how the guest is told, in no time, to make room.
func (g *Admission) OnEvict(out func()) {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	g.evict = out
}

// Acquire takes a seat, and the guest waits no more. It fails if none is free, or if
// the guest has been shown out. A guest may have several seats.
func (g *Admission) Acquire() bool {
	h := g.limiter
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.closed || h.slotsInUse+h.lentSlots >= h.Slots {
		return false
	}
	if h.slotsInUse++; g.slots == 0 {
		h.removeIdle(g)
	}
	g.slots++
	return true
}

// Release gives a seat back. After the last the guest waits again.
func (g *Admission) Release() {
	h := g.limiter
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slotsInUse--
	if g.slots--; g.slots == 0 && !g.closed {
		g.IdleSince = time.Now()
		h.idle = append(h.idle, g)
	}
}

// close ends the guest's stay.
func (g *Admission) close() {
	h := g.limiter
	h.mu.Lock()
	defer h.mu.Unlock()
	g.closed = true
	h.removeIdle(g)
}
