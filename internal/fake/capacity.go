package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Capacity is what a server can do. Messages take longer as the work that is asked of it nears that, as in a
// queue (S/(1-rho)), and what is asked beyond it piles up. The zero value bears everything at once.
type Capacity struct {
	Work    time.Duration            // that it does a second; 0: without bound
	Classes map[string]time.Duration // work a second of a connection, by class
	Group   time.Duration            // and of each group that any of them belong to
	Message time.Duration            // that one takes at an idle server
	// A server that has just started has this share of it, which grows evenly until it is warm.
	ColdShare  float64
	ColdFor    time.Duration
	ReportOver time.Duration // relays are told of delays over this, once a second
}

// crowded is the part of a server's work from which on messages take no longer by the queue's
// law: what comes on top piles up.
const crowded = 0.95

// burden is what is asked of a server now. Times are those of its caller.
type burden struct {
	Capacity
	born   time.Time // zero: long ago
	asked  time.Duration
	groups map[string]int
	piled  time.Duration // work not done yet, as of since
	since  time.Time
}

// does is the work a second that the server can do at a time.
func (b *burden) does(now time.Time) time.Duration {
	if age := now.Sub(b.born); !b.born.IsZero() && age < b.ColdFor {
		return time.Duration(float64(b.Work) * (b.ColdShare + (1-b.ColdShare)*float64(age)/float64(b.ColdFor)))
	}
	return b.Work
}

// settle works off what is piled up, or piles more up, until a time.
func (b *burden) settle(now time.Time) {
	if !b.since.IsZero() {
		b.piled = max(0, b.piled+time.Duration(now.Sub(b.since).Seconds()*float64(b.asked-b.does(now))))
	}
	b.since = now
}

// add books a connection of a class and group that stands from now on.
func (b *burden) add(now time.Time, class, group string) {
	b.settle(now)
	b.asked += b.Classes[class]
	if b.groups[group]++; b.groups[group] == 1 {
		b.asked += b.Group
	}
}

// remove takes one off.
func (b *burden) remove(now time.Time, class, group string) {
	b.settle(now)
	b.asked -= b.Classes[class]
	if b.groups[group]--; b.groups[group] == 0 {
		delete(b.groups, group)
		b.asked -= b.Group
	}
}

// delay is what a message takes that comes at a time.
func (b *burden) delay(now time.Time) time.Duration {
	if b.Work == 0 {
		return 0
	}
	b.settle(now)
	does := b.does(now).Seconds()
	rho := min(crowded, b.asked.Seconds()/does)
	return time.Duration(float64(b.Message)/(1-rho) + float64(b.piled)/does)
}

// told are the connections of each door on which a server tells its delay: each relay has a door of its
// own, and is told on one connection.
type told struct {
	mu    sync.Mutex
	doors map[int][]*func(string) error
}

func (t *told) add(door int, write *func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doors == nil {
		t.doors = make(map[int][]*func(string) error)
	}
	t.doors[door] = append(t.doors[door], write)
}

func (t *told) remove(door int, write *func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doors[door] = slices.DeleteFunc(t.doors[door], func(w *func(string) error) bool { return w == write })
}

// first are one connection of each door.
func (t *told) first() []func(string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []func(string) error
	for _, door := range t.doors {
		if len(door) > 0 {
			all = append(all, *door[0])
		}
	}
	return all
}

// tells tells each relay once a second what a message takes, while that is long, and once when it no longer is.
func (s *Server) tells(ctx context.Context) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for was := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		s.mu.Lock()
		delay, silent := s.burden.delay(time.Now()), s.mode == ModeHang
		s.mu.Unlock()
		long := delay > s.Capacity.ReportOver
		if (long || was) && !silent {
			for _, write := range s.told.first() {
				_ = write(fmt.Sprintf("LOAD %d\r\n", delay.Milliseconds()))
			}
		}
		was = long
	}
}
