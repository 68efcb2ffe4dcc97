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
	waitLeast = 50 * time.Millisecond
)

// ConnLimiter bounds what the clients of a front hold: seats, for those with a
// transaction, and room to wait, for connections that have not said yet what they
// want or have been answered. It guards against connections by the hundred that
// say nothing: those take no seat, and the one that has waited longest makes room.
type ConnLimiter struct {
	Slots   int
	MaxIdle int

	mu    sync.Mutex
	all   sync.WaitGroup // clients that are being seen through
	over  bool           // none is adopted any more
	lent  int            // seats that another process of this relay has
	taken int
	queue []*Admission  // who waits, the longest first
	left  chan struct{} // a value when one has made room
}

// Admission is a client's connection in a hall. It waits as it comes in.
type Admission struct {
	IdleSince time.Time // it has waited from then on
	hall      *ConnLimiter
	out       func()
	seats     int
	gone      bool
}

// Serve hands the connections that come in to client, each on a goroutine of its
// own, as the hall has room. It returns after the listener is closed and every
// client has been seen through.
func Serve(ctx context.Context, l net.Listener, h *ConnLimiter, client func(context.Context, *net.TCPConn, *Admission)) error {
	h.mu.Lock()
	h.left = make(chan struct{}, 1)
	h.mu.Unlock()
	defer h.all.Wait()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.over = true
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
		g := &Admission{hall: h, out: func() { conn.Close() }}
		if !h.enter(ctx, g) {
			conn.Close()
			return nil
		}
		h.all.Go(func() {
			defer g.leave()
			client(ctx, conn, g)
		})
	}
}

// enter has a guest wait. While there is no room, who has waited longest is shown
// out; nobody is before its least time. It fails when ctx ends first.
func (h *ConnLimiter) enter(ctx context.Context, g *Admission) bool {
	for {
		h.mu.Lock()
		if ctx.Err() != nil {
			h.mu.Unlock()
			return false
		}
		if len(h.queue) < max(1, h.MaxIdle) {
			g.IdleSince = time.Now()
			h.queue = append(h.queue, g)
			h.mu.Unlock()
			return true
		}
		first := h.queue[0]
		rest := waitLeast - time.Since(first.IdleSince)
		if rest <= 0 {
			first.gone = true
			h.queue = h.queue[1:]
			out := first.out
			h.mu.Unlock()
			out()
			continue
		}
		h.mu.Unlock()
		select {
		case <-h.left:
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
	h.lent = seats
}

// SlotsInUse is how many seats are taken.
func (h *ConnLimiter) SlotsInUse() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.taken
}

// Adopt gives a client of another process of this relay a seat, in the place of the one
// that it had there, and sees it through. It fails once the hall closes.
func (h *ConnLimiter) Adopt(client func(*Admission)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return false
	}
	h.lent = max(0, h.lent-1)
	h.taken++
	g := &Admission{hall: h, seats: 1}
	h.all.Go(func() {
		defer g.leave()
		client(g)
	})
	return true
}

// drop takes a guest out of those who wait. The caller holds the lock.
func (h *ConnLimiter) drop(g *Admission) {
	if i := slices.Index(h.queue, g); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
		select {
		case h.left <- struct{}{}:
		default:
		}
	}
}

// OnEvict sets how the guest is told, in no time, to make room.
func (g *Admission) OnEvict(out func()) {
	g.hall.mu.Lock()
	defer g.hall.mu.Unlock()
	g.out = out
}

// Acquire takes a seat, and the guest waits no more. It fails if none is free, or if
// the guest has been shown out. A guest may have several seats.
func (g *Admission) Acquire() bool {
	h := g.hall
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.gone || h.taken+h.lent >= h.Slots {
		return false
	}
	if h.taken++; g.seats == 0 {
		h.drop(g)
	}
	g.seats++
	return true
}

// Release gives a seat back. After the last the guest waits again.
func (g *Admission) Release() {
	h := g.hall
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken--
	if g.seats--; g.seats == 0 && !g.gone {
		g.IdleSince = time.Now()
		h.queue = append(h.queue, g)
	}
}

// leave ends the guest's stay.
func (g *Admission) leave() {
	h := g.hall
	h.mu.Lock()
	defer h.mu.Unlock()
	g.gone = true
	h.drop(g)
}
