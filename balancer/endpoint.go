package balancer

import (
	"time"
)

const (
	groupCost = 2.0 // what a server pays for a group, in mean connections
	loadMost  = 20  // one connection counts as this many mean ones at the most
)

type server struct {
	Endpoint
	weight   float64 // the controller's, as of weighed
	weighed  time.Duration
	conns    []*request
	groups   map[uint64]int // connections of each
	load     float64        // of conns, in mean connections
	lastSent time.Duration
	stoodAt  time.Duration // a set-up last stood
	failedAt time.Duration // a set-up last failed as a shared cause makes it fail
	lastSlow time.Duration // messages were slow, or it was full; 0 if never
	delay    time.Duration // of a message, as of delayAt
	delayAt  time.Duration
	relieved time.Duration
	sending  bool          // it drains, and its connections are being sent away
	drainAt  time.Duration // it was told to drain, if it is sending
	awayAt   time.Duration // it last sent a client away itself; 0 if never
	fleet    *fleet        // once it was surveyed
	odd      bool          // it is among the fleet's odd ones
}

func (s *server) size() float64 { return max(s.Weight, 1e-3) }

// demand is what this relay's connections and their groups ask of the server.
func (s *server) demand() float64 { return s.load + groupCost*float64(len(s.groups)) }

func (s *server) add(q *request) {
	defer s.changes(s.demand())
	q.slot, q.load = len(s.conns), 1
	s.conns = append(s.conns, q)
	s.groups[q.key()]++
	s.load += q.load
}

func (s *server) remove(q *request) {
	defer s.changes(s.demand())
	last := s.conns[len(s.conns)-1]
	s.conns[q.slot], last.slot = last, q.slot
	s.conns = s.conns[:len(s.conns)-1]
	if s.groups[q.key()]--; s.groups[q.key()] == 0 {
		delete(s.groups, q.key())
	}
	if s.load -= q.load; len(s.conns) == 0 {
		s.load = 0 // what rounding leaves is no load: draws compare loads with their mean
	}
}

// changes keeps the fleet's load true over a change of a server's.
func (s *server) changes(before float64) {
	if s.fleet != nil && s.State == StateReady {
		s.fleet.load0 += s.demand() - before
	}
}

// book adds a connection to its server, with the load expected of it if known.
func (f *fleet) book(q *request) {
	q.at.add(q)
	if q.ExpectedLoad > 0 {
		f.weigh(q, q.ExpectedLoad)
	}
}

// weigh books the told load of a connection.
func (f *fleet) weigh(q *request, load float64) {
	f.loads++
	f.load += (load - f.load) / min(200, f.loads)
	if q.at != nil && f.load > 0 {
		load = min(loadMost, load/f.load)
		defer q.at.changes(q.at.demand())
		q.at.load += load - q.load
		q.load = load
	}
}
