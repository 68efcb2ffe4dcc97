package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// Decider decides for one relay, as balancer.Balancer does.
type Decider interface {
	Handle(now time.Duration, ev balancer.Event) []balancer.Action
}

// base is what the clock shows at the start: well above the times that matter, as in
// the program.
const base = time.Hour

// warmUp is how long before the start those who stand at it come, one after another.
const warmUp = 10 * time.Second

const tickEvery = 250 * time.Millisecond // servers' loads and the account of service

type eventKind uint8

const (
	evArrive   eventKind = iota // the next new client
	evOpen                      // a client's word reaches its relay
	evTimer                     // of a relay: token
	evAtServer                  // a pass reaches its server
	evResult                    // a server's answer reaches the relay: status
	evTimeout                   // a relay waits no longer for a pass
	evGiveUp                    // a client waits no longer
	evEnd                       // a client leaves for good
	evBack                      // a client comes again
	evSilent                    // a relay gives a silent server up
	evList                      // a line of the list reaches a relay
	evProbe                     // a relay looks for probes that are due
	evProbed                    // the outcome of one reaches it
	evTick
	evScene
	evAway // a server that drains sends clients away
	evStop // a server that drains, or is killed, stops
	evStart
	evWake // a relay starts again
)

type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	id   uint32 // of a client, relay or server
	gen  uint32 // of the client's state that it is about, or a token
	x    uint32 // a status, a server, an act
}

// queue is a heap of events, the next on top; events of one time in the order in which
// they were made.
type queue []event

func (q queue) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *queue) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *queue) pop() event {
	h := *q
	top := h[0]
	n := len(h) - 1
	h[0] = h[n]
	h = h[:n]
	*q = h
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			break
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
	return top
}

type clientState uint8

const (
	gone    clientState = iota // its place is free
	coming                     // on its way to a relay
	waiting                    // for its answer
	up
	away // it comes again by itself
)

// client is one client, for as long as it wants service.
type client struct {
	state  clientState
	class  uint8
	again  bool
	retry  uint8
	zone   uint8
	load   float32 // in mean connections, as it is now
	usual  float32 // as it is on average
	group  uint32
	gen    uint32 // grows with each change of state
	relay  uint32
	server int32  // where its pass is out or its connection stands; -1 none
	out    uint32 // grows with each pass
	slot   int32  // its place among the server's
	until  time.Duration
	since  time.Duration // it asked, for this visit
	first  time.Duration // it first asked
	id     balancer.RequestID
	loses  bool // its server has gone silent under it
}

// server is an application server as it really is.
type server struct {
	zone     int
	speed    float64 // of a core
	cap      float64 // mean connections, warm
	born     time.Duration
	phase    balancer.EndpointState
	down     bool
	hung     bool
	hungAt   time.Duration
	factor   float64 // of its speed, while it is slow
	conns    []uint32
	groups   map[uint32]int
	load     float64
	out      int // passes that are out to it
	backlog  time.Duration
	delay    time.Duration   // of a message, as of the last tick
	free     time.Duration   // when the set-ups that wait are done
	upBy     []int           // clients that stand, by class
	sent     []time.Duration // set-ups within the time in which a cold one falls over
	told     []time.Duration // by relay: when its drain was told; 0 if it was not
	toldSlow []bool          // by relay: its last delay was over the floor
	draining bool
	awayAt   time.Duration   // it has taken nothing since then, if it is down or hung
	heard    map[uint32]bool // by relays that were told so
}

// relay is one relay.
type relay struct {
	members *healthcheck.Tracker // nil: the list is told to it
	zone    int
	d       Decider
	up      bool
	life    uint32
	of      map[balancer.RequestID]uint32
	next    balancer.RequestID
}

// Sim is a world under way.
type Sim struct {
	World
	now     time.Duration
	seq     uint64
	events  queue
	rng     *rand.Rand
	clients []client
	free    []uint32
	servers []*server
	relays  []*relay
	acts    []ScriptedAction
	make    func(s *Sim, relay int) Decider
	late    time.Duration // that the list is behind besides
	account account
	present []int // clients that want service, by class
	groups  []float64
	done    uint64 // events

	loadMean, lifeMean float64 // of the classes' factors, by their shares
	end                time.Duration
}

// Policy makes the Decider of a relay.
type Policy struct {
	Name string
	Make func(s *Sim, relay int) Decider
}

// New returns a world at its start, with what happens in it. The world has been
// validated.
func New(w World, acts []ScriptedAction, p Policy, seed uint64) *Sim {
	s := &Sim{World: w, now: base - warmUp, rng: rand.New(rand.NewPCG(seed, 1)), acts: acts, make: p.Make, present: make([]int, len(w.Classes)), end: base + w.For}
	s.account.start(s)
	for _, c := range w.Classes {
		s.loadMean += c.Share * (c.Load[0] + c.Load[1]) / 2
		s.lifeMean += c.Share * (c.Life[0] + c.Life[1]) / 2
	}
	total := 0.0
	for i := range w.Groups {
		total += math.Pow(float64(i+1), -w.GroupSkew)
		s.groups = append(s.groups, total)
	}
	for i := range w.Servers {
		speed := s.between(w.Speed)
		if math.Floor(float64(i+1)*w.Slow) > math.Floor(float64(i)*w.Slow) {
			speed = s.between(w.SlowSpeed)
		}
		s.newServer(speed, 0)
	}
	// Slow machines are as many as their share has it, and stand anywhere.
	s.rng.Shuffle(len(s.servers), func(i, j int) {
		a, b := s.servers[i], s.servers[j]
		a.speed, b.speed, a.cap, b.cap = b.speed, a.speed, b.cap, a.cap
	})
	for i := range w.Relays {
		r := &relay{zone: i % w.Zones}
		s.relays = append(s.relays, r)
		s.startRelay(uint32(i))
	}
	for range w.Standing {
		s.after(time.Duration(s.rng.Float64()*float64(warmUp)*0.8), event{kind: evArrive, x: 1})
	}
	if w.Rate > 0 {
		s.push(event{at: base, kind: evArrive})
	}
	s.push(event{at: base - warmUp + tickEvery, kind: evTick})
	for i, a := range acts {
		s.push(event{at: base + a.At, kind: evScene, x: uint32(i)})
	}
	return s
}

// newServer adds a server, of the next zone in turn.
func (s *Sim) newServer(speed float64, born time.Duration) {
	s.servers = append(s.servers, &server{
		zone: len(s.servers) % s.Zones, speed: speed, cap: speed * float64(s.Cores) * s.PerCore, phase: balancer.StateReady, factor: 1, born: born,
		groups: make(map[uint32]int), upBy: make([]int, len(s.Classes)), told: make([]time.Duration, s.Relays), toldSlow: make([]bool, s.Relays), heard: make(map[uint32]bool),
	})
}

func (s *Sim) push(e event) {
	s.seq++
	e.seq = s.seq
	s.events.push(e)
}

func (s *Sim) after(d time.Duration, e event) {
	e.at = s.now + d
	s.push(e)
}

func (s *Sim) between(x [2]float64) float64 { return x[0] + (x[1]-x[0])*s.rng.Float64() }

func (s *Sim) span(x [2]time.Duration) time.Duration {
	return x[0] + time.Duration(s.rng.Float64()*float64(x[1]-x[0]))
}

// Run runs to the end and returns what came of it. progress, if any, is told the part
// that is done now and then.
func (s *Sim) Run(progress func(part float64)) *Result {
	began := time.Now()
	for len(s.events) > 0 {
		e := s.events.pop()
		if e.at > s.end {
			break
		}
		s.now = e.at
		s.done++
		if s.done&0xffff == 0 && progress != nil {
			progress(float64(s.now-base) / float64(s.For))
		}
		s.step(e)
	}
	return s.account.result(s, time.Since(began))
}

func (s *Sim) step(e event) {
	switch e.kind {
	case evArrive:
		s.newClient()
		if e.x == 0 {
			s.after(time.Duration(s.rng.ExpFloat64()/s.rate()*float64(time.Second)), event{kind: evArrive})
		}
	case evOpen:
		s.opens(e)
	case evTimer:
		if r := s.relays[e.id]; r.up && r.life == e.x {
			s.tell(e.id, balancer.Timer{Token: e.gen})
		}
	case evAtServer:
		s.atServer(e)
	case evResult:
		s.result(e)
	case evTimeout:
		if c := &s.clients[e.id]; c.state == waiting && c.out == e.gen && c.server >= 0 {
			s.passEnds(e.id, balancer.StatusTimeout)
		}
	case evGiveUp:
		if c := &s.clients[e.id]; c.state == waiting && c.gen == e.gen {
			s.leavesRelay(e.id)
			s.account.gaveUp++
			s.comesAgain(e.id, 0)
		}
	case evEnd:
		s.ends(e)
	case evBack:
		if c := &s.clients[e.id]; c.state == away && c.gen == e.gen {
			s.visit(e.id)
		}
	case evSilent:
		if c := &s.clients[e.id]; c.state == up && c.gen == e.gen && c.loses {
			s.account.silent++
			s.lost(e.id, balancer.StatusReset, s.span(s.Return))
		}
	case evList:
		s.listed(e)
	case evProbe:
		if r := s.relays[e.id]; r.up && r.life == e.gen {
			s.probes(e.id)
		}
	case evProbed:
		s.probed(e)
	case evTick:
		s.tick()
	case evScene:
		s.perform(s.acts[e.x])
	case evAway:
		s.sendsAway(int(e.x))
	case evStop:
		s.stops(int(e.x), e.gen == 1)
	case evStart:
		s.starts(int(e.x))
	case evWake:
		s.startRelay(e.id)
	}
}

// rate is new clients a second now.
func (s *Sim) rate() float64 {
	if s.Swing == 0 {
		return s.Rate
	}
	return s.Rate * (1 + s.Swing*math.Sin(2*math.Pi*float64(s.now-base)/float64(s.Period)))
}

// Clients.

// newClient has a client come for the first time.
func (s *Sim) newClient() {
	var id uint32
	if n := len(s.free); n > 0 {
		id, s.free = s.free[n-1], s.free[:n-1]
	} else {
		id = uint32(len(s.clients))
		s.clients = append(s.clients, client{})
	}
	c := &s.clients[id]
	class := 0
	for x := s.rng.Float64(); class < len(s.Classes)-1 && x >= s.Classes[class].Share; class++ {
		x -= s.Classes[class].Share
	}
	k := &s.Classes[class]
	zone := s.rng.IntN(s.Zones)
	if s.rng.Float64() < s.Skew {
		zone = 0
	}
	*c = client{
		class: uint8(class), zone: uint8(zone), load: float32(s.between(k.Load) / s.loadMean), gen: c.gen + 1, out: c.out, server: -1,
		group: s.group(), first: s.now,
	}
	c.usual = c.load
	c.until = s.now + time.Duration(s.rng.ExpFloat64()*float64(s.Life)*s.between(k.Life)/s.lifeMean)
	s.present[class]++
	s.account.clients++
	s.push(event{at: c.until, kind: evEnd, id: id, gen: c.gen})
	s.visit(id)
}

// group draws a group by Zipf's law.
func (s *Sim) group() uint32 {
	x := s.rng.Float64() * s.groups[len(s.groups)-1]
	lo, hi := 0, len(s.groups)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if s.groups[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return uint32(lo)
}

// pickRelay is the front's choice: any relay of the zone that is up, else any.
func (s *Sim) pickRelay(zone int) (uint32, bool) {
	found, n := uint32(0), 0
	for pass := range 2 {
		for i, r := range s.relays {
			if r.up && (pass == 1 || r.zone == zone) {
				if n++; s.rng.IntN(n) == 0 {
					found = uint32(i)
				}
			}
		}
		if n > 0 {
			return found, true
		}
	}
	return 0, false
}

// visit has a client go to a relay.
func (s *Sim) visit(id uint32) {
	c := &s.clients[id]
	r, ok := s.pickRelay(int(c.zone))
	c.state, c.since = coming, s.now
	if !ok { // nobody is there: it tries again
		s.comesAgain(id, 0)
		return
	}
	c.relay = r
	s.after(s.span(s.Client), event{kind: evOpen, id: id, gen: c.gen})
}

// opens hands a client's word to its relay.
func (s *Sim) opens(e event) {
	c := &s.clients[e.id]
	if c.state != coming || c.gen != e.gen {
		return
	}
	r := s.relays[c.relay]
	if !r.up {
		s.comesAgain(e.id, 0)
		return
	}
	k := &s.Classes[c.class]
	c.state, c.server = waiting, -1
	r.next++
	c.id = r.next
	r.of[c.id] = e.id
	s.account.visits++
	s.push(event{at: c.since + k.GiveUp, kind: evGiveUp, id: e.id, gen: c.gen})
	s.tell(c.relay, balancer.Request{ID: c.id, Class: int(c.class), Item: uint64(e.id) + 1, Group: uint64(c.group) + 1, TimeLeft: c.since + k.GiveUp - s.now, Returning: c.again})
}

// comesAgain has a client that got nothing come again after a while, if it still wants
// to: told when, most keep to it.
func (s *Sim) comesAgain(id uint32, told time.Duration) {
	c := &s.clients[id]
	c.gen++
	s.push(event{at: c.until, kind: evEnd, id: id, gen: c.gen})
	c.state, c.server = away, -1
	if c.retry++; int(c.retry) > s.Retries {
		c.state = away // it has given up, and is counted as wanting service until its end
		return
	}
	wait := s.span(s.Backoff) << (c.retry - 1)
	if told > 0 && s.rng.Float64() < s.Honour {
		wait = max(wait, told)
	}
	s.after(wait, event{kind: evBack, id: id, gen: c.gen})
}

// returns has a client that was moved or cut off come again.
func (s *Sim) returns(id uint32, after time.Duration) {
	c := &s.clients[id]
	c.gen++
	c.state, c.server, c.again, c.retry, c.loses = away, -1, true, 0, false
	s.push(event{at: c.until, kind: evEnd, id: id, gen: c.gen})
	s.after(after, event{kind: evBack, id: id, gen: c.gen})
}

// ends has a client leave for good.
func (s *Sim) ends(e event) {
	c := &s.clients[e.id]
	if c.gen != e.gen || c.state == gone {
		return
	}
	switch c.state {
	case waiting:
		s.leavesRelay(e.id)
	case up:
		s.take(e.id)
		s.forget(e.id, balancer.Outcome{Request: c.id, Endpoint: s.serverID(c.server), Status: balancer.StatusOK, Final: true})
	}
	s.present[c.class]--
	s.account.left++
	c.state = gone
	c.gen++
	s.free = append(s.free, e.id)
}

// leavesRelay tells a relay that a client which waits has gone.
func (s *Sim) leavesRelay(id uint32) {
	c := &s.clients[id]
	s.voids(c)
	r := s.relays[c.relay]
	delete(r.of, c.id)
	c.server = -1
	s.tell(c.relay, balancer.ClientLeft{Request: c.id})
}

// forget tells a relay of the end of a connection that stood.
func (s *Sim) forget(id uint32, o balancer.Outcome) {
	c := &s.clients[id]
	relay := c.relay
	delete(s.relays[relay].of, c.id)
	s.tell(relay, o)
}

// take takes a client that stands off its server.
func (s *Sim) take(id uint32) {
	c := &s.clients[id]
	v := s.servers[c.server]
	last := v.conns[len(v.conns)-1]
	v.conns[c.slot] = last
	s.clients[last].slot = c.slot
	v.conns = v.conns[:len(v.conns)-1]
	v.load -= float64(c.load)
	v.upBy[c.class]--
	if v.groups[c.group]--; v.groups[c.group] == 0 {
		delete(v.groups, c.group)
		v.load -= s.GroupCost
	}
}

// lost ends a connection that stood, other than by its client or a move.
func (s *Sim) lost(id uint32, how balancer.AttemptStatus, back time.Duration) {
	c := &s.clients[id]
	s.take(id)
	s.forget(id, balancer.Outcome{Request: c.id, Endpoint: s.serverID(c.server), Status: how, Final: true})
	s.returns(id, back)
}

// Relays.

func (s *Sim) serverID(i int32) balancer.EndpointID { return balancer.EndpointID(i + 1) }

// startRelay starts a relay from nothing but the list.
func (s *Sim) startRelay(id uint32) {
	r := s.relays[id]
	r.up, r.of = true, make(map[balancer.RequestID]uint32)
	r.life++
	old, _ := r.d.(*balancer.Balancer)
	r.d = s.make(s, int(id))
	list := make([]balancer.Endpoint, len(s.servers))
	for i := range s.servers {
		if list[i] = s.line(i); s.Probed {
			list[i].State = balancer.StateReady // as its file has it
		}
	}
	s.tell(id, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: list})
	if s.Probed {
		s.joins(id)
	}
	if fresh, ok := r.d.(*balancer.Balancer); ok && old != nil && s.Warm {
		fresh.Restore(s.now, old.Snapshot())
	}
}

// line is a server's line of the list.
func (s *Sim) line(i int) balancer.Endpoint {
	v := s.servers[i]
	return balancer.Endpoint{ID: s.serverID(int32(i)), State: v.phase, Zone: v.zone, Weight: 1, StartedAt: v.born}
}

// tell has a relay take an event, and does what it wants done.
func (s *Sim) tell(id uint32, ev balancer.Event) {
	r := s.relays[id]
	if !r.up {
		return
	}
	for _, a := range r.d.Handle(s.now, ev) {
		switch a := a.(type) {
		case balancer.SetTimer:
			s.after(a.After, event{kind: evTimer, id: id, gen: a.Token, x: r.life})
		case balancer.SendAttempt:
			if c, ok := r.of[a.Request]; ok {
				s.sends(id, c, int32(a.Endpoint)-1, a.Timeout)
			}
		case balancer.Reject:
			if c, ok := r.of[a.Request]; ok {
				s.refused(c, a.RetryAfter)
			}
		case balancer.Fail:
			if c, ok := r.of[a.Request]; ok {
				s.refused(c, 0)
			}
		case balancer.Migrate:
			if c, ok := r.of[a.Request]; ok && s.clients[c].state == up {
				delete(r.of, a.Request)
				s.take(c)
				s.account.moves++
				s.returns(c, s.span(s.Return))
			}
		}
	}
}

func (s *Sim) refused(id uint32, told time.Duration) {
	c := &s.clients[id]
	if c.state != waiting {
		return
	}
	delete(s.relays[c.relay].of, c.id)
	s.voids(c)
	s.account.refused++
	s.comesAgain(id, told)
}

// hop is a way between a relay and a server.
func (s *Sim) hop(relay uint32, server int32) time.Duration {
	if s.relays[relay].zone == s.servers[server].zone {
		return s.span(s.Same)
	}
	return s.span(s.Cross)
}

// sends carries a pass out.
func (s *Sim) sends(relay, id uint32, server int32, wait time.Duration) {
	c := &s.clients[id]
	v := s.servers[server]
	c.server = server
	c.out++
	v.out++
	s.account.passes++
	if at := v.told[relay]; at > 0 && s.now > at+500*time.Millisecond && v.phase != balancer.StateReady {
		s.account.late++
	}
	way := s.hop(relay, server)
	if s.relays[relay].zone != v.zone {
		s.account.crossed++
	}
	if wait > 0 {
		s.after(wait, event{kind: evTimeout, id: id, gen: c.out})
	}
	s.after(way, event{kind: evAtServer, id: id, gen: c.out, x: uint32(way)})
}

// atServer is a pass that reaches its server.
func (s *Sim) atServer(e event) {
	c := &s.clients[e.id]
	if c.state != waiting || c.out != e.gen || c.server < 0 {
		return
	}
	v := s.servers[c.server]
	answer := func(how balancer.AttemptStatus, after time.Duration) {
		s.after(after+time.Duration(e.x), event{kind: evResult, id: e.id, gen: c.out, x: uint32(how)})
	}
	switch {
	case v.down:
		answer(balancer.StatusConnectFailed, 0)
		return
	case v.hung:
		return // it takes it and says nothing
	}
	s.tips(v)
	if v.down {
		answer(balancer.StatusReset, 0)
		return
	}
	capacity := v.cap * v.factor * s.warmth(v)
	work := time.Duration(float64(s.SetUp) / (v.speed * v.factor * float64(s.Cores) * s.warmth(v)))
	queued := max(0, v.free-s.now)
	if v.draining || float64(len(v.conns)) >= s.ConnsMost*capacity || queued > time.Duration(s.Queue)*work {
		answer(balancer.StatusFull, 0)
		return
	}
	v.free = max(v.free, s.now) + work
	answer(balancer.StatusOK, v.free-s.now+v.backlog)
}

// tips has a cold server fall over that is sent too much.
func (s *Sim) tips(v *server) {
	if s.warmth(v) >= 1 {
		v.sent = v.sent[:0]
		return
	}
	from := 0
	for from < len(v.sent) && v.sent[from] <= s.now-s.TipAfter {
		from++
	}
	v.sent = append(v.sent[from:], s.now)
	bears := v.cap * s.warmth(v) / s.Life.Seconds() * s.TipAfter.Seconds()
	if float64(len(v.sent)) > max(2, s.Tip*bears) {
		s.account.tipped++
		for i, one := range s.servers {
			if one == v {
				s.stops(i, true)
				s.after(s.DownFor, event{kind: evStart, x: uint32(i)})
			}
		}
	}
}

func (s *Sim) warmth(v *server) float64 {
	if v.born == 0 || s.now >= v.born+s.ColdFor {
		return 1
	}
	return s.ColdShare + (1-s.ColdShare)*float64(s.now-v.born)/float64(s.ColdFor)
}

// result is a server's answer that reaches the relay.
func (s *Sim) result(e event) {
	c := &s.clients[e.id]
	if c.state != waiting || c.out != e.gen || c.server < 0 {
		return
	}
	if how := balancer.AttemptStatus(e.x); how != balancer.StatusOK {
		s.passEnds(e.id, how)
		return
	}
	v := s.servers[c.server]
	if v.down {
		s.passEnds(e.id, balancer.StatusReset)
		return
	}
	s.passed(c.relay, c.server, balancer.StatusOK)
	if c.state != waiting || c.out != e.gen || c.server < 0 {
		return // what it says of the server has had the module decide otherwise
	}
	v.out--
	c.state, c.retry = up, 0
	c.gen++
	s.push(event{at: c.until, kind: evEnd, id: e.id, gen: c.gen})
	c.slot = int32(len(v.conns))
	v.conns = append(v.conns, e.id)
	v.load += float64(c.load)
	v.upBy[c.class]++
	if v.groups[c.group]++; v.groups[c.group] == 1 {
		v.load += s.GroupCost
	}
	s.account.stands(s, c)
	if v.hung {
		s.silences(e.id)
	}
	relay, id := c.relay, c.id
	s.tell(relay, balancer.Established{Request: id, Endpoint: s.serverID(c.server), SetupTime: s.now - c.since})
	if c := &s.clients[e.id]; c.state == up && c.id == id && c.relay == relay {
		s.tell(relay, balancer.ConnectionLoad{Request: id, Endpoint: s.serverID(c.server), Load: float64(c.load) / s.PerCore})
	}
}

// passEnds tells a relay of the end of a pass that is out.
func (s *Sim) passEnds(id uint32, how balancer.AttemptStatus) {
	c := &s.clients[id]
	server, of := c.server, c.id
	s.voids(c)
	s.account.failed++
	if s.passed(c.relay, server, how); c.state != waiting || c.id != of || c.server >= 0 {
		return // what it says of the server has had the module decide otherwise
	}
	s.tell(c.relay, balancer.Outcome{Request: c.id, Endpoint: s.serverID(server), Status: how})
}

// voids ends the pass of a client that waits, if one is out.
func (s *Sim) voids(c *client) {
	if c.server >= 0 {
		s.servers[c.server].out--
	}
	c.server = -1
	c.out++
}

// silences has a relay give a client's server up in its time.
func (s *Sim) silences(id uint32) {
	c := &s.clients[id]
	c.loses = true
	s.after(time.Duration(s.rng.Float64()*float64(s.Beat))+s.Silence, event{kind: evSilent, id: id, gen: c.gen})
}

// listed is a line of the list that reaches a relay.
func (s *Sim) listed(e event) {
	line := s.line(int(e.x))
	v := s.servers[e.x]
	if line.State == balancer.StateGone {
		s.heard(e.id, int(e.x), line.State)
	}
	if line.State != balancer.StateReady && v.told[e.id] == 0 {
		v.told[e.id] = s.now
	} else if line.State == balancer.StateReady {
		v.told[e.id] = 0
	}
	s.tell(e.id, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{line}})
}

// publish has the list tell all relays of a server, each in its time.
func (s *Sim) publish(i int) {
	if s.Probed {
		return
	}
	for r := range s.relays {
		s.after(s.span(s.Notice)+s.late, event{kind: evList, id: uint32(r), x: uint32(i)})
	}
}
