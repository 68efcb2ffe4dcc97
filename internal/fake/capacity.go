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

// maxUtilization is the part of a server's work from which on messages take no longer by the queue's
// law: what comes on top piles up.
const maxUtilization = 0.95

// workload is what is asked of a server now. Times are those of its caller.
type workload struct {
	Capacity
	startedAt time.Time // zero: long ago
	demand    time.Duration
	groups    map[string]int
	backlog   time.Duration // work not done yet, as of since
	updatedAt time.Time
}

// capacityAt is the work a second that the server can do at a time.
func (b *workload) capacityAt(now time.Time) time.Duration {
	if age := now.Sub(b.startedAt); !b.startedAt.IsZero() && age < b.ColdFor {
		return time.Duration(float64(b.Work) * (b.ColdShare + (1-b.ColdShare)*float64(age)/float64(b.ColdFor)))
	}
	return b.Work
}

// advance works off what is piled up, or piles more up, until a time.
func (b *workload) advance(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.backlog = max(0, b.backlog+time.Duration(now.Sub(b.updatedAt).Seconds()*float64(b.demand-b.capacityAt(now))))
	}
	b.updatedAt = now
}

// add books a connection of a class and group that stands from now on.
func (b *workload) add(now time.Time, class, group string) {
	b.advance(now)
	b.demand += b.Classes[class]
	if b.groups[group]++; b.groups[group] == 1 {
		b.demand += b.Group
	}
}

// remove takes one off.
func (b *workload) remove(now time.Time, class, group string) {
	b.advance(now)
	b.demand -= b.Classes[class]
	if b.groups[group]--; b.groups[group] == 0 {
		delete(b.groups, group)
		b.demand -= b.Group
	}
}

// delay is what a message takes that comes at a time.
func (b *workload) delay(now time.Time) time.Duration {
	if b.Work == 0 {
		return 0
	}
	b.advance(now)
	does := b.capacityAt(now).Seconds()
	rho := min(maxUtilization, b.demand.Seconds()/does)
	return time.Duration(float64(b.Message)/(1-rho) + float64(b.backlog)/does)
}

// delayReports are the connections of each door on which a server tells its delay: each relay has a door of its
// own, and is told on one connection.
type delayReports struct {
	mu         sync.Mutex
	byListener map[int][]*func(string) error
}

func (t *delayReports) add(door int, write *func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byListener == nil {
		t.byListener = make(map[int][]*func(string) error)
	}
	t.byListener[door] = append(t.byListener[door], write)
}

func (t *delayReports) remove(door int, write *func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byListener[door] = slices.DeleteFunc(t.byListener[door], func(w *func(string) error) bool { return w == write })
}

// onePerListener are one connection of each door.
func (t *delayReports) onePerListener() []func(string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []func(string) error
	for _, door := range t.byListener {
		if len(door) > 0 {
			all = append(all, *door[0])
		}
	}
	return all
}

// reportDelays tells each relay once a second what a message takes, while that is long, and once when it no longer is.
func (s *Server) reportDelays(ctx context.Context) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for was := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		s.mu.Lock()
		delay, silent := s.workload.delay(time.Now()), s.mode == ModeHang
		s.mu.Unlock()
		long := delay > s.Capacity.ReportOver
		if (long || was) && !silent {
			for _, write := range s.delayReports.onePerListener() {
				_ = write(fmt.Sprintf("LOAD %d\r\n", delay.Milliseconds()))
			}
		}
		was = long
	}
}
