package balancer

import (
	"cmp"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the records that the decisions in balance.go work on, and
// their bookkeeping. Nothing is decided here.

// New returns a Balancer that has just started. Equal settings, seeds and
// events give equal actions.
func New(s Settings, seed uint64) *Balancer {
	return &Balancer{
		set:      &s,
		aim:      s.shortestAim(),
		part:     1,
		salt:     rand.NewPCG(seed, 1).Uint64(),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		requests: make(map[RequestID]*request),
		timers:   make(map[uint32]*request),
		leaving:  make(map[uint32]*server),
		routes:   routes{size: cacheSize, at: make(map[uint64]int)},
		fleet:    fleet{recent: fading{over: rateMemory}},
		pace:     fading{over: paceMemory},
		window:   window{size: windowMax, sharedUntil: math.MinInt64},
		list:     listReader{readAt: math.MinInt64},
	}
}

type request struct {
	Request
	set       *Settings     // that it began under
	class     *Class        // of them
	giveUp    time.Duration // answered by then
	attempts  int
	tried     []EndpointID
	at        *server // where its attempt is out or its connection stands
	up        bool    // the connection stands
	over      bool
	waiting   bool // for notBefore and for the list
	notBefore time.Duration
	listUntil time.Duration // waits for a list until then
	sentAt    time.Duration // its last attempt
	load      float64       // booked at its server
	slot      int           // its place among the server's connections
	span      time.Duration // in which it was last counted in the pace; 0 if never

	mayRun   bool // an attempt may have run, sent at ranSince to a server of ranZone and ranCell
	ranSince time.Duration
	ranZone  int
	ranCell  int
}

// key is what routes are cached by.
func (q *request) key() uint64 { return cmp.Or(q.Group, q.Item) }

// begin enters a request, under the settings that it keeps.
func (b *Balancer) begin(ev Request) *request {
	q := &request{Request: ev, set: cmp.Or(ev.Settings, b.set)}
	q.class = q.set.class(ev.Class)
	b.requests[q.ID] = q
	return q
}

// retune puts other settings in force.
func (b *Balancer) retune(s *Settings) { b.set, b.aim = s, s.shortestAim() }

// class guards against a class the settings don't name: it is held unsafe.
func (s *Settings) class(i int) *Class {
	if i < 0 || i >= len(s.Classes) {
		return &Class{Effect: AtMostOnce}
	}
	return &s.Classes[i]
}

// shortestAim is the shortest wanted time of a message; 0 if none is known.
func (s *Settings) shortestAim() time.Duration {
	var aim time.Duration
	for _, c := range s.Classes {
		if c.MessageLatencyObjective > 0 && (aim == 0 || c.MessageLatencyObjective < aim) {
			aim = c.MessageLatencyObjective
		}
	}
	return aim
}

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

// slowAt tells whether the server was slow or full when last heard of.
func (s *server) slowAt(now time.Duration) bool {
	return s.lastSlow > 0 && s.lastSlow == s.delayAt && now < s.delayAt+slowLife
}

// avoidedUntil is the time until which nothing new is placed on a server because of what
// was heard of it; 0 if it is not avoided.
func (s *server) avoidedUntil() (until time.Duration) {
	switch {
	case s.State == StateDraining:
		return math.MaxInt64
	case s.awayAt > 0:
		until = s.awayAt + awayFor
	}
	if s.lastSlow > 0 && s.lastSlow == s.delayAt {
		until = max(until, s.delayAt+slowLife)
	}
	return until
}

// avoided tells how many servers are listed and until when each is avoided that is so
// now, in the room given.
func (b *Balancer) avoided(room []time.Duration) (listed int, until []time.Duration) {
	until = room[:0]
	for _, s := range b.fleet.servers {
		if s.State == StateGone {
			continue
		}
		listed++
		if at := s.avoidedUntil(); b.now < at {
			until = append(until, at)
		}
	}
	return listed, until
}

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

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// wake asks for a timer of a request, or of the list where q is nil.
func (b *Balancer) wake(q *request, after time.Duration) {
	b.token++
	b.timers[b.token] = q
	b.do(SetTimer{Token: b.token, After: after})
}

// again asks for a timer of a server that drains.
func (b *Balancer) again(s *server, after time.Duration) {
	b.token++
	b.leaving[b.token] = s
	b.do(SetTimer{Token: b.token, After: after})
}

// stand books a connection that is up and writes its group's route.
func (b *Balancer) stand(q *request) {
	q.up = true
	if q.at != nil {
		b.routes.put(q.key(), q.at.ID, b.now+cacheLife)
		b.fleet.book(q)
	}
}

// many tells whether there are so many relays that each sees little.
func (b *Balancer) many() bool { return b.set.Relays > fewRelays }

// paced counts a request that a server is drawn for: once in the time in which a cold
// server could fall over, as it gets one chance at each in that.
func (b *Balancer) paced(q *request) {
	if span := 1 + b.now/b.set.OverloadWindow; q.span != span {
		q.span = span
		b.pace.add(b.now)
	}
}

// forget drops a request that is over, with its connection or attempt. There may be none.
func (b *Balancer) forget(q *request) {
	if q == nil {
		return
	}
	q.over = true
	if q.at != nil && q.up {
		q.at.remove(q)
	} else if q.at != nil {
		b.window.out--
	}
	delete(b.requests, q.ID)
}

// fleet holds the servers in order of their IDs.
type fleet struct {
	servers []*server
	recent  fading  // new connections that warm servers took
	load    float64 // mean told load of a connection
	loads   float64 // told so far

	marks

	load0   float64   // of the ready servers together
	size0   float64   // and their size
	biggest float64   // the largest of them
	odd     []*server // those that may be cold, or have been slow: all others are neither
	salts   []uint64  // of their hashes, in the same order
	sieve   sieve     // of the draw at hand
}

// cold yields the ready servers that have started within a time.
func (f *fleet) cold(now, within time.Duration) iter.Seq[*server] {
	servers := f.servers
	if len(servers) >= largeFleet && f.sure {
		servers = f.odd
	}
	return func(yield func(*server) bool) {
		for _, s := range servers {
			if s.State == StateReady && s.StartedAt > 0 && now < s.StartedAt+within && !yield(s) {
				return
			}
		}
	}
}

// marks are what is worked out while a decision is made. Only decisions may change
// them: who looks on puts them back, so that all comes as it would have without.
type marks struct {
	perSize float64    // new connections a second and size, while there were warm servers
	sums    [4]float64 // totals as of the event at hand
	summed  bool
	sure    bool // the fleet's accounts are true; a list makes them untrue
}

// survey goes through the whole fleet, after a list.
func (f *fleet) survey() {
	f.sure, f.load0, f.size0, f.biggest, f.odd = true, 0, 0, 0, f.odd[:0]
	f.salts = f.salts[:0]
	for _, s := range f.servers {
		s.fleet, s.odd = f, s.StartedAt > 0 || s.lastSlow > 0
		f.salts = append(f.salts, salted(s.ID))
		if s.State == StateReady {
			f.load0 += s.demand()
			f.size0 += s.size()
			f.biggest = max(f.biggest, s.size())
		}
		if s.odd {
			f.odd = append(f.odd, s)
		}
	}
}

// changes keeps the fleet's load true over a change of a server's.
func (s *server) changes(before float64) {
	if s.fleet != nil && s.State == StateReady {
		s.fleet.load0 += s.demand() - before
	}
}

func (f *fleet) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(f.servers, id, func(s *server, id EndpointID) int {
		return cmp.Compare(s.ID, id)
	})
}

func (f *fleet) find(id EndpointID) *server {
	if i, ok := f.search(id); ok {
		return f.servers[i]
	}
	return nil
}

// replace marks the servers that a whole list leaves out as gone, and drops
// those that nothing refers to any more.
func (f *fleet) replace(list []Endpoint) {
	f.sure = false
	named := make(map[EndpointID]bool, len(list))
	for _, line := range list {
		named[line.ID] = true
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		if !named[s.ID] {
			s.State = StateGone
		}
		return s.State == StateGone && len(s.conns) == 0
	})
}

// goneLife is how long a server that is gone is kept after anything was last sent to it.
const goneLife = time.Minute

// insert adds a server. Those that are long gone make room: changes alone may come for as long as the relay runs, and only a
// whole list drops what it leaves out.
func (f *fleet) insert(s *server, now time.Duration) {
	f.sure = false
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		return s.State == StateGone && len(s.conns) == 0 && now > max(s.lastSent, s.stoodAt, s.failedAt)+goneLife
	})
	s.groups = make(map[uint64]int)
	i, _ := f.search(s.ID)
	f.servers = slices.Insert(f.servers, i, s)
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

// largeFleet is how many servers a fleet has for which it pays to keep accounts of it.
// Sums that are kept differ from those added up anew in their last digits; a smaller
// fleet has no need of that.
const largeFleet = 64

// totals adds up the ready servers: what this relay has placed on them, their
// size, and the size of those that are warm and of those that are slow. It does
// so once an event; of a large fleet only the odd servers are looked at.
func (b *Balancer) totals() (load, size, warm, slow float64) {
	f := &b.fleet
	if f.summed {
		return f.sums[0], f.sums[1], f.sums[2], f.sums[3]
	}
	if len(f.servers) >= largeFleet {
		load, size, warm, slow = b.kept()
	} else {
		load, size, warm, slow = b.added(f.servers)
	}
	f.sums, f.summed = [4]float64{load, size, warm, slow}, true
	return load, size, warm, slow
}

// added adds up servers one by one.
func (b *Balancer) added(servers []*server) (load, size, warm, slow float64) {
	for _, s := range servers {
		if s.State == StateReady {
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
	return load, size, warm, slow
}

// kept are the totals from the fleet's accounts.
func (b *Balancer) kept() (load, size, warm, slow float64) {
	f := &b.fleet
	if !f.sure {
		f.survey()
	}
	_, odd, warm, slow := b.added(f.odd)
	if load = f.load0; load < leastLoad {
		load = 0
	}
	return load, f.size0, f.size0 - odd + warm, slow
}

// strange enters a server among the odd ones, as it is slow now.
func (b *Balancer) strange(s *server) {
	if f := &b.fleet; f.sure && !s.odd {
		s.odd = true
		f.odd = append(f.odd, s)
	}
}

// sieve spares a draw from a large fleet the servers that can't be its least: with a
// key, chance comes from a hash, and no weight is more than bound.
type sieve struct {
	all   []*server
	key   uint64
	salts []uint64 // of all, if it sifts
	near  []likely // those with a hash over guess
	guess uint64
	floor uint64 // a smaller hash is too far off
	first int    // the place of the best chance: it is looked at first
	bound float64
}

// likely is a server that may well be the least.
type likely struct {
	hash uint64
	at   int
}

// guessed is how many servers of a fleet a draw is held to need to look at. Where it needs more, the
// others are hashed once more.
const guessed = 64

// leastLoad, in mean connections, is what rounding may leave of the load of a fleet that has none.
const leastLoad = 1e-9

// sift prepares a draw for a key.
func (b *Balancer) sift(key uint64, meanLoad float64) *sieve {
	f := &b.fleet
	v := &f.sieve
	*v = sieve{all: f.servers, near: v.near[:0]}
	if len(f.servers) < largeFleet || key == 0 || !(meanLoad > 0) {
		return v
	}
	if !f.sure {
		f.survey()
	}
	v.bound = weightCeil * f.biggest / math.Pow(1+1/f.biggest/meanLoad, crowding)
	if b.set.CrossZoneCost > 0 {
		v.bound *= ownZone
	}
	v.key, v.salts = key, f.salts
	v.guess = math.MaxUint64 - math.MaxUint64/uint64(len(f.servers))*guessed
	best, guess := uint64(0), v.guess
	for i, salt := range v.salts {
		h := stir(key ^ salt)
		if h < guess && h <= best {
			continue
		}
		if h > best {
			best, v.first = h, i
		}
		if h >= guess {
			v.near = append(v.near, likely{h, i})
		}
	}
	return v
}

// servers yields the servers that may be the least, the one with the best chance first.
func (v *sieve) servers(yield func(*server) bool) {
	if v.salts == nil {
		for _, s := range v.all {
			if !yield(s) {
				return
			}
		}
		return
	}
	if !yield(v.all[v.first]) {
		return
	}
	for _, n := range v.near {
		if n.hash >= v.floor && n.at != v.first && !yield(v.all[n.at]) {
			return
		}
	}
	if v.floor >= v.guess {
		return
	}
	for i, salt := range v.salts {
		if h := stir(v.key ^ salt); h >= v.floor && h < v.guess && i != v.first && !yield(v.all[i]) {
			return
		}
	}
}

// found raises the floor to what is needed to come under the least so far.
func (v *sieve) found(least float64) {
	if v.salts != nil {
		// -log(u)/bound has to be under least; a little is left for rounding.
		u := math.Exp(-least * v.bound * (1 + 1e-9))
		v.floor = uint64(max(0, u*(1<<53)-2)) << 11
	}
}

// fading is a count in which what is past fades.
type fading struct {
	over  time.Duration
	count float64
	since time.Duration
	from  time.Duration // counted from then on, where that is asked; 0 if nothing was yet
}

func (f *fading) at(now time.Duration) float64 {
	return f.count * math.Exp(-float64(now-f.since)/float64(f.over))
}

// within is how many of them fall within a time, in the mean since from. Without its
// correction a count that has just begun is far too low.
func (f *fading) within(now, span time.Duration) float64 {
	seen := 1 - math.Exp(-float64(max(now-f.from, span))/float64(f.over))
	return f.at(now) / seen * float64(span) / float64(f.over)
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

// release sends what waited for the window.
func (b *Balancer) release() {
	for w := &b.window; len(w.queue) > 0 && !w.full(); {
		q := w.queue[0]
		w.queue = w.queue[1:]
		if !q.over {
			b.advance(q)
		}
	}
}

// setups is how long set-ups take now, as far as a relay that may see few of them can tell.
type setups struct {
	took time.Duration
	at   time.Duration // it was last heard of

	cut time.Duration // one was given up after this, at the server by, and none has stood since; 0: none was
	by  EndpointID
}

// setupLife is how long that holds: what slows all set-ups passes within it.
const setupLife = 30 * time.Second

// usual is the time that a set-up takes; 0 if none was seen lately.
func (u *setups) usual(now time.Duration) time.Duration {
	if now >= u.at+setupLife {
		return 0
	}
	return u.took
}

// stood notes a set-up that stands. A quick one halves what a slow one has left behind.
func (u *setups) stood(took, now time.Duration) {
	u.took, u.at, u.cut = max(took, (u.usual(now)+took)/2), now, 0
}

// cutOff notes one that was given up after a time. One server may hang; where a second keeps a set-up as long, with
// none that stood between them, it is what they take at the least.
func (u *setups) cutOff(at EndpointID, after, now time.Duration) {
	if u.cut > 0 && u.by != at {
		u.took, u.at = max(u.cut, after, u.usual(now)), now
	}
	u.cut, u.by = max(after, u.cut), at
}

// listReader keeps the list up to date where it must be asked for.
type listReader struct {
	out     bool // a call is out, since outAt
	outAt   time.Duration
	readAt  time.Duration // when an answer last came
	fails   uint          // calls since then
	waiting []*request    // retries that want it
}

// mix hashes a key and a server.
func mix(key uint64, id EndpointID) uint64 { return stir(key ^ salted(id)) }

// salted is a server's part of a hash.
func salted(id EndpointID) uint64 { return uint64(id) * 0x9e3779b97f4a7c15 }

func stir(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform hashes a key and a server to a number between 0 and 1.
func uniform(key uint64, id EndpointID) float64 { return (float64(mix(key, id)>>11) + 0.5) / (1 << 53) }

// routes is a bounded cache of the servers of groups; the oldest entry goes first.
type routes struct {
	size int
	at   map[uint64]int // place in ring
	ring []route
	next int
}

type route struct {
	key    uint64
	server EndpointID
	until  time.Duration
}

func (r *routes) get(key uint64, now time.Duration) (EndpointID, bool) {
	i, ok := r.at[key]
	if !ok || now >= r.ring[i].until {
		return 0, false
	}
	return r.ring[i].server, true
}

func (r *routes) put(key uint64, id EndpointID, until time.Duration) {
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
func (r *routes) clear(key uint64, id EndpointID) {
	if i, ok := r.at[key]; ok && r.ring[i].server == id {
		r.ring[i].until = math.MinInt64
	}
}

// standing tells whether a request's connection is up.
func (b *Balancer) standing(id RequestID) bool {
	q := b.requests[id]
	return q != nil && q.up
}
