package fake

import "time"

// Capacity is what a server can do. Messages take longer as the demand nears it, as in a
// queue (S/(1-rho)), and demand beyond it forms a backlog. The zero value has no bound.
type Capacity struct {
	WorkRate    time.Duration            // done a second; 0: without bound
	ClassWork   map[string]time.Duration // work a second of each connection, by class
	GroupWork   time.Duration            // work a second of each group with any connection
	MessageTime time.Duration            // time that a message takes at an idle server
	// A server that has just started has this share of Work, which grows linearly for ColdFor.
	InitialShare      float64
	SlowStartDuration time.Duration
	ReportThreshold   time.Duration // relays are notified of delays over this, once a second
}

// maxUtilization bounds the utilization that the queue's law is applied to; beyond it the
// backlog alone delays messages.
const maxUtilization = 0.95

// workload is what is demanded of a server now. Its callers hold the server's mu, and give
// the time.
type workload struct {
	Capacity
	startedAt time.Time      // zero: long ago
	demand    time.Duration  // work a second
	groups    map[string]int // connections by group
	backlog   time.Duration  // work not done yet, as of updatedAt
	updatedAt time.Time
}

// capacityAt returns the work a second that the server can do at a time.
func (w *workload) capacityAt(now time.Time) time.Duration {
	if age := now.Sub(w.startedAt); !w.startedAt.IsZero() && age < w.SlowStartDuration {
		return time.Duration(float64(w.WorkRate) * (w.InitialShare + (1-w.InitialShare)*float64(age)/float64(w.SlowStartDuration)))
	}
	return w.WorkRate
}

// advance brings the backlog up to a time.
func (w *workload) advance(now time.Time) {
	if !w.updatedAt.IsZero() {
		w.backlog = max(0, w.backlog+time.Duration(now.Sub(w.updatedAt).Seconds()*float64(w.demand-w.capacityAt(now))))
	}
	w.updatedAt = now
}

// add counts an established connection of a class and group.
func (w *workload) add(now time.Time, class, group string) {
	w.advance(now)
	w.demand += w.ClassWork[class]
	if w.groups[group]++; w.groups[group] == 1 {
		w.demand += w.GroupWork
	}
}

// remove undoes add.
func (w *workload) remove(now time.Time, class, group string) {
	w.advance(now)
	w.demand -= w.ClassWork[class]
	if w.groups[group]--; w.groups[group] == 0 {
		delete(w.groups, group)
		w.demand -= w.GroupWork
	}
}

// delay returns the time that a message takes which comes at a time.
func (w *workload) delay(now time.Time) time.Duration {
	if w.WorkRate == 0 {
		return 0
	}
	w.advance(now)
	capacity := w.capacityAt(now).Seconds()
	utilization := min(maxUtilization, w.demand.Seconds()/capacity)
	return time.Duration(float64(w.MessageTime)/(1-utilization) + float64(w.backlog)/capacity)
}

// updateWorkload adds an established connection to the server's workload, or removes it.
func (s *Server) updateWorkload(class, group string, established bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if established {
		s.workload.add(time.Now(), class, group)
	} else {
		s.workload.remove(time.Now(), class, group)
	}
}
