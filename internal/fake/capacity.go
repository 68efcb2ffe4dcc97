package fake

import "time"

// Capacity models the capacity of a server. The time of a message grows with the utilization rho
// by a factor of 1/(1-rho), as in an M/M/1 queue, and demand beyond the capacity forms a backlog.
// The zero value is unbounded.
type Capacity struct {
	WorkRate    time.Duration            // work done per second; 0: unbounded
	ClassWork   map[string]time.Duration // work per second of each connection, by class
	GroupWork   time.Duration            // work per second of each group that has connections
	MessageTime time.Duration            // time of a message at an idle server
	// A restarted server begins with InitialShare of WorkRate, which grows linearly to 1.
	InitialShare      float64
	SlowStartDuration time.Duration
	ReportThreshold   time.Duration // delays above this are reported to relays
}

// maxUtilization bounds the utilization in the queueing formula, which diverges at 1; beyond it
// only the backlog adds delay.
const maxUtilization = 0.95

// workload is the current demand on a server. The caller of its methods holds the server's mu.
type workload struct {
	Capacity
	startedAt time.Time      // zero: the server has no slow start
	demand    time.Duration  // work per second
	groups    map[string]int // number of connections by group
	backlog   time.Duration  // work not done yet, as of updatedAt
	updatedAt time.Time
}

// capacityAt returns the work per second that the server can do at a time.
func (w *workload) capacityAt(now time.Time) time.Duration {
	if age := now.Sub(w.startedAt); !w.startedAt.IsZero() && age < w.SlowStartDuration {
		return time.Duration(float64(w.WorkRate) * (w.InitialShare + (1-w.InitialShare)*float64(age)/float64(w.SlowStartDuration)))
	}
	return w.WorkRate
}

// advance updates the backlog to a time.
func (w *workload) advance(now time.Time) {
	if !w.updatedAt.IsZero() {
		w.backlog = max(0, w.backlog+time.Duration(now.Sub(w.updatedAt).Seconds()*float64(w.demand-w.capacityAt(now))))
	}
	w.updatedAt = now
}

// add adds the demand of an established connection.
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

// delay returns the time that a message takes which arrives at a time.
func (w *workload) delay(now time.Time) time.Duration {
	if w.WorkRate == 0 {
		return 0
	}
	w.advance(now)
	capacity := w.capacityAt(now).Seconds()
	utilization := min(maxUtilization, w.demand.Seconds()/capacity)
	return time.Duration(float64(w.MessageTime)/(1-utilization) + float64(w.backlog)/capacity)
}

// updateWorkload adds the demand of an established connection, or removes that of an ended one.
func (s *Server) updateWorkload(class, group string, established bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if established {
		s.workload.add(time.Now(), class, group)
	} else {
		s.workload.remove(time.Now(), class, group)
	}
}
