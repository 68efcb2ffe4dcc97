package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file holds the records that the decisions in balance.go work on, and
// their bookkeeping. Nothing is decided here.

type request struct {
	Request
	class     *Class
	giveUp    time.Duration // answered by then
	attempts  int
	tried     []ServerID
	at        *server // where its attempt is out or its connection stands
	up        bool    // the connection stands
	over      bool
	waiting   bool // for notBefore and for the list
	notBefore time.Duration
	listUntil time.Duration // waits for a list until then
	load      float64       // booked at its server
	slot      int           // its place among the server's connections

	mayRun   bool // an attempt may have run, sent at ranSince to a server of ranZone and ranCell
	ranSince time.Duration
	ranZone  int
	ranCell  int
}

// key is what routes are cached by.
func (q *request) key() uint64 { return cmp.Or(q.Group, q.Item) }

// class guards against a class the settings don't name: it is held unsafe.
func (b *Balancer) class(i int) *Class {
	if i < 0 || i >= len(b.set.Classes) {
		return &Class{Effect: AtMostOnce}
	}
	return &b.set.Classes[i]
}

// shortestAim is the shortest wanted time of a message; 0 if none is known.
func (s *Settings) shortestAim() time.Duration {
	var aim time.Duration
	for _, c := range s.Classes {
		if c.MessageAim > 0 && (aim == 0 || c.MessageAim < aim) {
			aim = c.MessageAim
		}
	}
	return aim
}

type server struct {
	Server
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
	awayAt   time.Duration // it last sent a client away itself; 0 if never
}

func (s *server) size() float64 { return max(s.Weight, 1e-3) }

// demand is what this relay's connections and their groups ask of the server.
func (s *server) demand() float64 { return s.load + groupCost*float64(len(s.groups)) }

// slowAt tells whether the server was slow or full when last heard of.
func (s *server) slowAt(now time.Duration) bool {
	return s.lastSlow > 0 && s.lastSlow == s.delayAt && now < s.delayAt+slowLife
}

func (s *server) add(q *request) {
	q.slot, q.load = len(s.conns), 1
	s.conns = append(s.conns, q)
	s.groups[q.key()]++
	s.load += q.load
}

func (s *server) remove(q *request) {
	last := s.conns[len(s.conns)-1]
	s.conns[q.slot], last.slot = last, q.slot
	s.conns = s.conns[:len(s.conns)-1]
	if s.groups[q.key()]--; s.groups[q.key()] == 0 {
		delete(s.groups, q.key())
	}
	s.load -= q.load
}

// fleet holds the servers in order of their IDs.
type fleet struct {
	servers []*server
	recent  fading  // new connections that warm servers took
	perSize float64 // the same a second and size, while there were warm servers
	load    float64 // mean told load of a connection
	loads   float64 // told so far

	sums   [4]float64 // totals as of the event at hand
	summed bool
}

func (f *fleet) search(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(f.servers, id, func(s *server, id ServerID) int {
		return cmp.Compare(s.ID, id)
	})
}

func (f *fleet) find(id ServerID) *server {
	if i, ok := f.search(id); ok {
		return f.servers[i]
	}
	return nil
}

// replace marks the servers that a whole list leaves out as gone, and drops
// those that nothing refers to any more.
func (f *fleet) replace(list []Server) {
	named := make(map[ServerID]bool, len(list))
	for _, line := range list {
		named[line.ID] = true
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		if !named[s.ID] {
			s.State = Gone
		}
		return s.State == Gone && len(s.conns) == 0
	})
}

func (f *fleet) insert(s *server) {
	s.groups = make(map[uint64]int)
	i, _ := f.search(s.ID)
	f.servers = slices.Insert(f.servers, i, s)
}

// book adds a connection to its server, with the load expected of it if known.
func (f *fleet) book(q *request) {
	q.at.add(q)
	if q.Load > 0 {
		f.weigh(q, q.Load)
	}
}

// weigh books the told load of a connection.
func (f *fleet) weigh(q *request, load float64) {
	f.loads++
	f.load += (load - f.load) / min(200, f.loads)
	if q.at != nil && f.load > 0 {
		load = min(loadMost, load/f.load)
		q.at.load += load - q.load
		q.load = load
	}
}

// totals adds up the ready servers: what this relay has placed on them, their
// size, and the size of those that are warm and of those that are slow. It does
// so once an event, as a fleet may be large.
func (b *Balancer) totals() (load, size, warm, slow float64) {
	f := &b.fleet
	if f.summed {
		return f.sums[0], f.sums[1], f.sums[2], f.sums[3]
	}
	for _, s := range b.fleet.servers {
		if s.State == Ready {
			load += s.demand()
			size += s.size()
			if b.warmth(s) >= 1 {
				warm += s.size()
			}
			if s.slowAt(b.now) {
				slow += s.size()
			}
		}
	}
	f.sums, f.summed = [4]float64{load, size, warm, slow}, true
	return load, size, warm, slow
}

// fading is a count in which what is past fades.
type fading struct {
	over  time.Duration
	count float64
	since time.Duration
}

func (f *fading) at(now time.Duration) float64 {
	return f.count * math.Exp(-float64(now-f.since)/float64(f.over))
}

func (f *fading) add(now time.Duration) { f.count, f.since = f.at(now)+1, now }

// window limits the set-ups under way, as the controller limits a server.
type window struct {
	size        float64
	out         int
	cutAt       time.Duration
	sharedUntil time.Duration
	queue       []*request
}

func (w *window) full() bool { return w.out >= int(w.size) }

// listReader keeps the list up to date where it must be asked for.
type listReader struct {
	out     bool // a call is out, since outAt
	outAt   time.Duration
	readAt  time.Duration // when an answer last came
	fails   uint          // calls since then
	waiting []*request    // retries that want it
}

// uniform hashes a key and a server to a number between 0 and 1.
func uniform(key uint64, id ServerID) float64 {
	x := key ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// routes is a bounded cache of the servers of groups; the oldest entry goes first.
type routes struct {
	size int
	at   map[uint64]int // place in ring
	ring []route
	next int
}

type route struct {
	key    uint64
	server ServerID
	until  time.Duration
}

func (r *routes) get(key uint64, now time.Duration) (ServerID, bool) {
	i, ok := r.at[key]
	if !ok || now >= r.ring[i].until {
		return 0, false
	}
	return r.ring[i].server, true
}

func (r *routes) put(key uint64, id ServerID, until time.Duration) {
	if key == 0 {
		return
	}
	i, ok := r.at[key]
	if !ok && len(r.ring) < r.size {
		i = len(r.ring)
		r.ring = append(r.ring, route{})
	} else if !ok {
		i, r.next = r.next, (r.next+1)%r.size
		delete(r.at, r.ring[i].key)
	}
	r.at[key] = i
	r.ring[i] = route{key, id, until}
}

// clear forgets the route of a group if it leads to the server.
func (r *routes) clear(key uint64, id ServerID) {
	if i, ok := r.at[key]; ok && r.ring[i].server == id {
		r.ring[i].until = math.MinInt64
	}
}

// standing tells whether a request's connection is up.
func (b *Balancer) standing(id RequestID) bool {
	q := b.requests[id]
	return q != nil && q.up
}
