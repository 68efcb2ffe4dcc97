package fake

import "time"

// Capacity is what a server can do. Messages take longer as the demand nears it, as in a
// queue (S/(1-rho)), and demand beyond it forms a backlog. The zero value has no bound.
type Capacity struct {
	Work    time.Duration            // done a second; 0: without bound
	Classes map[string]time.Duration // work a second of each connection, by class
	Group   time.Duration            // work a second of each group with any connection
	Message time.Duration            // time that a message takes at an idle server
	// A server that has just started has this share of Work, which grows linearly for ColdFor.
	ColdShare  float64
	ColdFor    time.Duration
	ReportOver time.Duration // relays are notified of delays over this, once a second
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
	if age := now.Sub(w.startedAt); !w.startedAt.IsZero() && age < w.ColdFor {
		return time.Duration(float64(w.Work) * (w.ColdShare + (1-w.ColdShare)*float64(age)/float64(w.ColdFor)))
	}
	return w.Work
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
	w.demand += w.Classes[class]
	if w.groups[group]++; w.groups[group] == 1 {
		w.demand += w.Group
	}
}

// remove undoes add.
func (w *workload) remove(now time.Time, class, group string) {
	w.advance(now)
	w.demand -= w.Classes[class]
	if w.groups[group]--; w.groups[group] == 0 {
		delete(w.groups, group)
		w.demand -= w.Group
	}
}

// delay returns the time that a message takes which comes at a time.
func (w *workload) delay(now time.Time) time.Duration {
	if w.Work == 0 {
		return 0
	}
	w.advance(now)
	capacity := w.capacityAt(now).Seconds()
	utilization := min(maxUtilization, w.demand.Seconds()/capacity)
	return time.Duration(float64(w.Message)/(1-utilization) + float64(w.backlog)/capacity)
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
