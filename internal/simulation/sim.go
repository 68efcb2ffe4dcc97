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

// startTime is what the clock shows at the start: well above the times that matter, as in
// the program.
const startTime = time.Hour

// warmUpTime is how long before the start those who stand at it come, one after another.
const warmUpTime = 10 * time.Second

const tickInterval = 250 * time.Millisecond // servers' loads and the account of service

type eventKind uint8

const (
	eventClientArrives    eventKind = iota // the next new client
	eventRequestArrives                    // a client's word reaches its relay
	eventTimer                             // of a relay: token
	eventAttemptArrives                    // a pass reaches its server
	eventAttemptResult                     // a server's answer reaches the relay: status
	eventAttemptTimeout                    // a relay waits no longer for a pass
	eventDeadline                          // a client waits no longer
	eventLifetimeEnds                      // a client leaves for good
	eventClientReturns                     // a client comes again
	eventHeartbeatTimeout                  // a relay gives a silent server up
	eventListUpdate                        // a line of the list reaches a relay
	eventProbesDue                         // a relay looks for probes that are due
	eventProbeResult                       // the outcome of one reaches it
	eventTick
	eventScriptedAction
	eventMigrateClients // a server that drains sends clients away
	eventServerStops    // a server that drains, or is killed, stops
	eventServerRecovers
	eventRelayStarts // a relay starts again
)

type event struct {
	at         time.Duration
	sequence   uint64
	kind       eventKind
	subject    uint32 // of a client, relay or server
	generation uint32 // of the client's state that it is about, or a token
	value      uint32 // a status, a server, an act
}

// eventQueue is a heap of events, the next on top; events of one time in the order in which
// they were made.
type eventQueue []event

func (q eventQueue) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q *eventQueue) push(e event) {
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

func (q *eventQueue) pop() event {
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
	stateGone       clientState = iota // its place is free
	stateConnecting                    // on its way to a relay
	stateWaiting                       // for its answer
	stateEstablished
	stateAway // it comes again by itself
)

// client is one client, for as long as it wants service.
type client struct {
	state        clientState
	class        uint8
	returning    bool
	retries      uint8
	zone         uint8
	load         float32 // in mean connections, as it is now
	meanLoad     float32 // as it is on average
	group        uint32
	generation   uint32 // grows with each change of state
	relay        uint32
	server       int32  // where its pass is out or its connection stands; -1 none
	attempt      uint32 // grows with each pass
	slot         int32  // its place among the server's
	leavesAt     time.Duration
	requestedAt  time.Duration // it asked, for this visit
	arrivedAt    time.Duration // it first asked
	request      balancer.RequestID
	serverSilent bool // its server has gone silent under it
}

// server is an application server as it really is.
type server struct {
	zone               int
	speed              float64 // of a core
	capacity           float64 // mean connections, warm
	startedAt          time.Duration
	state              balancer.EndpointState
	down               bool
	hung               bool
	hungAt             time.Duration
	speedFactor        float64 // of its speed, while it is slow
	conns              []uint32
	groups             map[uint32]int
	load               float64
	attempts           int // passes that are out to it
	backlog            time.Duration
	delay              time.Duration   // of a message, as of the last tick
	setupsDoneAt       time.Duration   // when the set-ups that wait are done
	establishedByClass []int           // clients that stand, by class
	recentSetups       []time.Duration // set-ups within the time in which a cold one falls over
	drainNotifiedAt    []time.Duration // by relay: when its drain was told; 0 if it was not
	delayReported      []bool          // by relay: its last delay was over the floor
	draining           bool
	unavailableSince   time.Duration   // it has taken nothing since then, if it is down or hung
	notifiedGone       map[uint32]bool // by relays that were told so
}

// relay is one relay.
type relay struct {
	health      *healthcheck.Tracker // nil: the list is told to it
	zone        int
	decider     Decider
	up          bool
	incarnation uint32
	clients     map[balancer.RequestID]uint32
	lastRequest balancer.RequestID
}

// Sim is a world under way.
type Sim struct {
	World
	now          time.Duration
	lastSequence uint64
	events       eventQueue
	rng          *rand.Rand
	clients      []client
	freeClients  []uint32
	servers      []*server
	relays       []*relay
	actions      []ScriptedAction
	newDecider   func(s *Sim, relay int) Decider
	listDelay    time.Duration // that the list is behind besides
	statistics   statistics
	present      []int // clients that want service, by class
	groupWeights []float64
	processed    uint64 // events

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
func New(w World, actions []ScriptedAction, p Policy, seed uint64) *Sim {
	s := &Sim{World: w, now: startTime - warmUpTime, rng: rand.New(rand.NewPCG(seed, 1)), actions: actions, newDecider: p.Make, present: make([]int, len(w.Classes)), end: startTime + w.For}
	s.statistics.start(s)
	for _, c := range w.Classes {
		s.loadMean += c.Share * (c.Load[0] + c.Load[1]) / 2
		s.lifeMean += c.Share * (c.Life[0] + c.Life[1]) / 2
	}
	total := 0.0
	for i := range w.Groups {
		total += math.Pow(float64(i+1), -w.GroupSkew)
		s.groupWeights = append(s.groupWeights, total)
	}
	for i := range w.Servers {
		speed := s.uniform(w.Speed)
		if math.Floor(float64(i+1)*w.Slow) > math.Floor(float64(i)*w.Slow) {
			speed = s.uniform(w.SlowSpeed)
		}
		s.newServer(speed, 0)
	}
	// Slow machines are as many as their share has it, and stand anywhere.
	s.rng.Shuffle(len(s.servers), func(i, j int) {
		a, b := s.servers[i], s.servers[j]
		a.speed, b.speed, a.capacity, b.capacity = b.speed, a.speed, b.capacity, a.capacity
	})
	for i := range w.Relays {
		r := &relay{zone: i % w.Zones}
		s.relays = append(s.relays, r)
		s.startRelay(uint32(i))
	}
	for range w.Standing {
		s.schedule(time.Duration(s.rng.Float64()*float64(warmUpTime)*0.8), event{kind: eventClientArrives, value: 1})
	}
	if w.Rate > 0 {
		s.push(event{at: startTime, kind: eventClientArrives})
	}
	s.push(event{at: startTime - warmUpTime + tickInterval, kind: eventTick})
	for i, a := range actions {
		s.push(event{at: startTime + a.At, kind: eventScriptedAction, value: uint32(i)})
	}
	return s
}

// newServer adds a server, of the next zone in turn.
func (s *Sim) newServer(speed float64, born time.Duration) {
	s.servers = append(s.servers, &server{
		zone: len(s.servers) % s.Zones, speed: speed, capacity: speed * float64(s.Cores) * s.PerCore, state: balancer.StateReady, speedFactor: 1, startedAt: born,
		groups: make(map[uint32]int), establishedByClass: make([]int, len(s.Classes)), drainNotifiedAt: make([]time.Duration, s.Relays), delayReported: make([]bool, s.Relays), notifiedGone: make(map[uint32]bool),
	})
}

func (s *Sim) push(e event) {
	s.lastSequence++
	e.sequence = s.lastSequence
	s.events.push(e)
}

func (s *Sim) schedule(d time.Duration, e event) {
	e.at = s.now + d
	s.push(e)
}

func (s *Sim) uniform(x [2]float64) float64 { return x[0] + (x[1]-x[0])*s.rng.Float64() }

func (s *Sim) uniformDuration(x [2]time.Duration) time.Duration {
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
		s.processed++
		if s.processed&0xffff == 0 && progress != nil {
			progress(float64(s.now-startTime) / float64(s.For))
		}
		s.step(e)
	}
	return s.statistics.result(s, time.Since(began))
}

func (s *Sim) step(e event) {
	switch e.kind {
	case eventClientArrives:
		s.newClient()
		if e.value == 0 {
			s.schedule(time.Duration(s.rng.ExpFloat64()/s.rate()*float64(time.Second)), event{kind: eventClientArrives})
		}
	case eventRequestArrives:
		s.requestArrives(e)
	case eventTimer:
		if r := s.relays[e.subject]; r.up && r.incarnation == e.value {
			s.handle(e.subject, balancer.Timer{Token: e.generation})
		}
	case eventAttemptArrives:
		s.attemptArrives(e)
	case eventAttemptResult:
		s.attemptResult(e)
	case eventAttemptTimeout:
		if c := &s.clients[e.subject]; c.state == stateWaiting && c.attempt == e.generation && c.server >= 0 {
			s.attemptFailed(e.subject, balancer.StatusTimeout)
		}
	case eventDeadline:
		if c := &s.clients[e.subject]; c.state == stateWaiting && c.generation == e.generation {
			s.abandonRequest(e.subject)
			s.statistics.gaveUp++
			s.retry(e.subject, 0)
		}
	case eventLifetimeEnds:
		s.lifetimeEnds(e)
	case eventClientReturns:
		if c := &s.clients[e.subject]; c.state == stateAway && c.generation == e.generation {
			s.connect(e.subject)
		}
	case eventHeartbeatTimeout:
		if c := &s.clients[e.subject]; c.state == stateEstablished && c.generation == e.generation && c.serverSilent {
			s.statistics.heartbeatTimeouts++
			s.breakConnection(e.subject, balancer.StatusReset, s.uniformDuration(s.Return))
		}
	case eventListUpdate:
		s.listUpdate(e)
	case eventProbesDue:
		if r := s.relays[e.subject]; r.up && r.incarnation == e.generation {
			s.sendProbes(e.subject)
		}
	case eventProbeResult:
		s.probeResult(e)
	case eventTick:
		s.tick()
	case eventScriptedAction:
		s.perform(s.actions[e.value])
	case eventMigrateClients:
		s.migrateClients(int(e.value))
	case eventServerStops:
		s.stopServer(int(e.value), e.generation == 1)
	case eventServerRecovers:
		s.recoverServer(int(e.value))
	case eventRelayStarts:
		s.startRelay(e.subject)
	}
}

// rate is new clients a second now.
func (s *Sim) rate() float64 {
	if s.Swing == 0 {
		return s.Rate
	}
	return s.Rate * (1 + s.Swing*math.Sin(2*math.Pi*float64(s.now-startTime)/float64(s.Period)))
}

// Clients.

// newClient has a client come for the first time.
func (s *Sim) newClient() {
	var id uint32
	if n := len(s.freeClients); n > 0 {
		id, s.freeClients = s.freeClients[n-1], s.freeClients[:n-1]
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
		class: uint8(class), zone: uint8(zone), load: float32(s.uniform(k.Load) / s.loadMean), generation: c.generation + 1, attempt: c.attempt, server: -1,
		group: s.drawGroup(), arrivedAt: s.now,
	}
	c.meanLoad = c.load
	c.leavesAt = s.now + time.Duration(s.rng.ExpFloat64()*float64(s.Life)*s.uniform(k.Life)/s.lifeMean)
	s.present[class]++
	s.statistics.clients++
	s.push(event{at: c.leavesAt, kind: eventLifetimeEnds, subject: id, generation: c.generation})
	s.connect(id)
}

// drawGroup draws a group by Zipf's law.
func (s *Sim) drawGroup() uint32 {
	x := s.rng.Float64() * s.groupWeights[len(s.groupWeights)-1]
	lo, hi := 0, len(s.groupWeights)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if s.groupWeights[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return uint32(lo)
}

// chooseRelay is the front's choice: any relay of the zone that is up, else any.
func (s *Sim) chooseRelay(zone int) (uint32, bool) {
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

// connect has a client go to a relay.
func (s *Sim) connect(id uint32) {
	c := &s.clients[id]
	r, ok := s.chooseRelay(int(c.zone))
	c.state, c.requestedAt = stateConnecting, s.now
	if !ok { // nobody is there: it tries again
		s.retry(id, 0)
		return
	}
	c.relay = r
	s.schedule(s.uniformDuration(s.Client), event{kind: eventRequestArrives, subject: id, generation: c.generation})
}

// requestArrives hands a client's word to its relay.
func (s *Sim) requestArrives(e event) {
	c := &s.clients[e.subject]
	if c.state != stateConnecting || c.generation != e.generation {
		return
	}
	r := s.relays[c.relay]
	if !r.up {
		s.retry(e.subject, 0)
		return
	}
	k := &s.Classes[c.class]
	c.state, c.server = stateWaiting, -1
	r.lastRequest++
	c.request = r.lastRequest
	r.clients[c.request] = e.subject
	s.statistics.requests++
	s.push(event{at: c.requestedAt + k.GiveUp, kind: eventDeadline, subject: e.subject, generation: c.generation})
	s.handle(c.relay, balancer.Request{ID: c.request, Class: int(c.class), Item: uint64(e.subject) + 1, Group: uint64(c.group) + 1, TimeLeft: c.requestedAt + k.GiveUp - s.now, Returning: c.returning})
}

// retry has a client that got nothing come again after a while, if it still wants
// to: told when, most keep to it.
func (s *Sim) retry(id uint32, told time.Duration) {
	c := &s.clients[id]
	c.generation++
	s.push(event{at: c.leavesAt, kind: eventLifetimeEnds, subject: id, generation: c.generation})
	c.state, c.server = stateAway, -1
	if c.retries++; int(c.retries) > s.Retries {
		c.state = stateAway // it has given up, and is counted as wanting service until its end
		return
	}
	wait := s.uniformDuration(s.Backoff) << (c.retries - 1)
	if told > 0 && s.rng.Float64() < s.Honour {
		wait = max(wait, told)
	}
	s.schedule(wait, event{kind: eventClientReturns, subject: id, generation: c.generation})
}

// returnAfter has a client that was moved or cut off come again.
func (s *Sim) returnAfter(id uint32, after time.Duration) {
	c := &s.clients[id]
	c.generation++
	c.state, c.server, c.returning, c.retries, c.serverSilent = stateAway, -1, true, 0, false
	s.push(event{at: c.leavesAt, kind: eventLifetimeEnds, subject: id, generation: c.generation})
	s.schedule(after, event{kind: eventClientReturns, subject: id, generation: c.generation})
}

// lifetimeEnds has a client leave for good.
func (s *Sim) lifetimeEnds(e event) {
	c := &s.clients[e.subject]
	if c.generation != e.generation || c.state == stateGone {
		return
	}
	switch c.state {
	case stateWaiting:
		s.abandonRequest(e.subject)
	case stateEstablished:
		s.detach(e.subject)
		s.endRequest(e.subject, balancer.Outcome{Request: c.request, Endpoint: s.serverID(c.server), Status: balancer.StatusOK, Final: true})
	}
	s.present[c.class]--
	s.statistics.left++
	c.state = stateGone
	c.generation++
	s.freeClients = append(s.freeClients, e.subject)
}

// abandonRequest tells a relay that a client which waits has gone.
func (s *Sim) abandonRequest(id uint32) {
	c := &s.clients[id]
	s.cancelAttempt(c)
	r := s.relays[c.relay]
	delete(r.clients, c.request)
	c.server = -1
	s.handle(c.relay, balancer.ClientLeft{Request: c.request})
}

// endRequest tells a relay of the end of a connection that stood.
func (s *Sim) endRequest(id uint32, o balancer.Outcome) {
	c := &s.clients[id]
	relay := c.relay
	delete(s.relays[relay].clients, c.request)
	s.handle(relay, o)
}

// detach takes a client that stands off its server.
func (s *Sim) detach(id uint32) {
	c := &s.clients[id]
	v := s.servers[c.server]
	last := v.conns[len(v.conns)-1]
	v.conns[c.slot] = last
	s.clients[last].slot = c.slot
	v.conns = v.conns[:len(v.conns)-1]
	v.load -= float64(c.load)
	v.establishedByClass[c.class]--
	if v.groups[c.group]--; v.groups[c.group] == 0 {
		delete(v.groups, c.group)
		v.load -= s.GroupCost
	}
}

// breakConnection ends a connection that stood, other than by its client or a move.
func (s *Sim) breakConnection(id uint32, how balancer.AttemptStatus, back time.Duration) {
	c := &s.clients[id]
	s.detach(id)
	s.endRequest(id, balancer.Outcome{Request: c.request, Endpoint: s.serverID(c.server), Status: how, Final: true})
	s.returnAfter(id, back)
}

// Relays.

func (s *Sim) serverID(i int32) balancer.EndpointID { return balancer.EndpointID(i + 1) }

// startRelay starts a relay from nothing but the list.
func (s *Sim) startRelay(id uint32) {
	r := s.relays[id]
	r.up, r.clients = true, make(map[balancer.RequestID]uint32)
	r.incarnation++
	old, _ := r.decider.(*balancer.Balancer)
	r.decider = s.newDecider(s, int(id))
	list := make([]balancer.Endpoint, len(s.servers))
	for i := range s.servers {
		if list[i] = s.endpoint(i); s.Probed {
			list[i].State = balancer.StateReady // as its file has it
		}
	}
	s.handle(id, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: list})
	if s.Probed {
		s.startHealthChecks(id)
	}
	if fresh, ok := r.decider.(*balancer.Balancer); ok && old != nil && s.Warm {
		fresh.Restore(s.now, old.Snapshot())
	}
}

// endpoint is a server's line of the list.
func (s *Sim) endpoint(i int) balancer.Endpoint {
	v := s.servers[i]
	return balancer.Endpoint{ID: s.serverID(int32(i)), State: v.state, Zone: v.zone, Weight: 1, StartedAt: v.startedAt}
}

// handle has a relay take an event, and does what it wants done.
func (s *Sim) handle(id uint32, ev balancer.Event) {
	r := s.relays[id]
	if !r.up {
		return
	}
	for _, a := range r.decider.Handle(s.now, ev) {
		switch a := a.(type) {
		case balancer.SetTimer:
			s.schedule(a.After, event{kind: eventTimer, subject: id, generation: a.Token, value: r.incarnation})
		case balancer.SendAttempt:
			if c, ok := r.clients[a.Request]; ok {
				s.sendAttempt(id, c, int32(a.Endpoint)-1, a.Timeout)
			}
		case balancer.Reject:
			if c, ok := r.clients[a.Request]; ok {
				s.rejected(c, a.RetryAfter)
			}
		case balancer.Fail:
			if c, ok := r.clients[a.Request]; ok {
				s.rejected(c, 0)
			}
		case balancer.Migrate:
			if c, ok := r.clients[a.Request]; ok && s.clients[c].state == stateEstablished {
				delete(r.clients, a.Request)
				s.detach(c)
				s.statistics.migrations++
				s.returnAfter(c, s.uniformDuration(s.Return))
			}
		}
	}
}

func (s *Sim) rejected(id uint32, told time.Duration) {
	c := &s.clients[id]
	if c.state != stateWaiting {
		return
	}
	delete(s.relays[c.relay].clients, c.request)
	s.cancelAttempt(c)
	s.statistics.rejected++
	s.retry(id, told)
}

// networkDelay is a way between a relay and a server.
func (s *Sim) networkDelay(relay uint32, server int32) time.Duration {
	if s.relays[relay].zone == s.servers[server].zone {
		return s.uniformDuration(s.Same)
	}
	return s.uniformDuration(s.Cross)
}

// sendAttempt carries a pass out.
func (s *Sim) sendAttempt(relay, id uint32, server int32, wait time.Duration) {
	c := &s.clients[id]
	v := s.servers[server]
	c.server = server
	c.attempt++
	v.attempts++
	s.statistics.attempts++
	if at := v.drainNotifiedAt[relay]; at > 0 && s.now > at+500*time.Millisecond && v.state != balancer.StateReady {
		s.statistics.lateAfterDrain++
	}
	way := s.networkDelay(relay, server)
	if s.relays[relay].zone != v.zone {
		s.statistics.crossZone++
	}
	if wait > 0 {
		s.schedule(wait, event{kind: eventAttemptTimeout, subject: id, generation: c.attempt})
	}
	s.schedule(way, event{kind: eventAttemptArrives, subject: id, generation: c.attempt, value: uint32(way)})
}

// attemptArrives is a pass that reaches its server.
func (s *Sim) attemptArrives(e event) {
	c := &s.clients[e.subject]
	if c.state != stateWaiting || c.attempt != e.generation || c.server < 0 {
		return
	}
	v := s.servers[c.server]
	answer := func(how balancer.AttemptStatus, after time.Duration) {
		s.schedule(after+time.Duration(e.value), event{kind: eventAttemptResult, subject: e.subject, generation: c.attempt, value: uint32(how)})
	}
	switch {
	case v.down:
		answer(balancer.StatusConnectFailed, 0)
		return
	case v.hung:
		return // it takes it and says nothing
	}
	s.checkOverload(v)
	if v.down {
		answer(balancer.StatusReset, 0)
		return
	}
	capacity := v.capacity * v.speedFactor * s.slowStartShare(v)
	work := time.Duration(float64(s.SetUp) / (v.speed * v.speedFactor * float64(s.Cores) * s.slowStartShare(v)))
	queued := max(0, v.setupsDoneAt-s.now)
	if v.draining || float64(len(v.conns)) >= s.ConnsMost*capacity || queued > time.Duration(s.Queue)*work {
		answer(balancer.StatusFull, 0)
		return
	}
	v.setupsDoneAt = max(v.setupsDoneAt, s.now) + work
	answer(balancer.StatusOK, v.setupsDoneAt-s.now+v.backlog)
}

// checkOverload has a cold server fall over that is sent too much.
func (s *Sim) checkOverload(v *server) {
	if s.slowStartShare(v) >= 1 {
		v.recentSetups = v.recentSetups[:0]
		return
	}
	from := 0
	for from < len(v.recentSetups) && v.recentSetups[from] <= s.now-s.TipAfter {
		from++
	}
	v.recentSetups = append(v.recentSetups[from:], s.now)
	bears := v.capacity * s.slowStartShare(v) / s.Life.Seconds() * s.TipAfter.Seconds()
	if float64(len(v.recentSetups)) > max(2, s.Tip*bears) {
		s.statistics.overloaded++
		for i, one := range s.servers {
			if one == v {
				s.stopServer(i, true)
				s.schedule(s.DownFor, event{kind: eventServerRecovers, value: uint32(i)})
			}
		}
	}
}

func (s *Sim) slowStartShare(v *server) float64 {
	if v.startedAt == 0 || s.now >= v.startedAt+s.ColdFor {
		return 1
	}
	return s.ColdShare + (1-s.ColdShare)*float64(s.now-v.startedAt)/float64(s.ColdFor)
}

// attemptResult is a server's answer that reaches the relay.
func (s *Sim) attemptResult(e event) {
	c := &s.clients[e.subject]
	if c.state != stateWaiting || c.attempt != e.generation || c.server < 0 {
		return
	}
	if how := balancer.AttemptStatus(e.value); how != balancer.StatusOK {
		s.attemptFailed(e.subject, how)
		return
	}
	v := s.servers[c.server]
	if v.down {
		s.attemptFailed(e.subject, balancer.StatusReset)
		return
	}
	s.recordAttempt(c.relay, c.server, balancer.StatusOK)
	if c.state != stateWaiting || c.attempt != e.generation || c.server < 0 {
		return // what it says of the server has had the module decide otherwise
	}
	v.attempts--
	c.state, c.retries = stateEstablished, 0
	c.generation++
	s.push(event{at: c.leavesAt, kind: eventLifetimeEnds, subject: e.subject, generation: c.generation})
	c.slot = int32(len(v.conns))
	v.conns = append(v.conns, e.subject)
	v.load += float64(c.load)
	v.establishedByClass[c.class]++
	if v.groups[c.group]++; v.groups[c.group] == 1 {
		v.load += s.GroupCost
	}
	s.statistics.countEstablished(s, c)
	if v.hung {
		s.scheduleHeartbeatTimeout(e.subject)
	}
	relay, id := c.relay, c.request
	s.handle(relay, balancer.Established{Request: id, Endpoint: s.serverID(c.server), SetupTime: s.now - c.requestedAt})
	if c := &s.clients[e.subject]; c.state == stateEstablished && c.request == id && c.relay == relay {
		s.handle(relay, balancer.ConnectionLoad{Request: id, Endpoint: s.serverID(c.server), Load: float64(c.load) / s.PerCore})
	}
}

// attemptFailed tells a relay of the end of a pass that is out.
func (s *Sim) attemptFailed(id uint32, how balancer.AttemptStatus) {
	c := &s.clients[id]
	server, of := c.server, c.request
	s.cancelAttempt(c)
	s.statistics.failedAttempts++
	if s.recordAttempt(c.relay, server, how); c.state != stateWaiting || c.request != of || c.server >= 0 {
		return // what it says of the server has had the module decide otherwise
	}
	s.handle(c.relay, balancer.Outcome{Request: c.request, Endpoint: s.serverID(server), Status: how})
}

// cancelAttempt ends the pass of a client that waits, if one is out.
func (s *Sim) cancelAttempt(c *client) {
	if c.server >= 0 {
		s.servers[c.server].attempts--
	}
	c.server = -1
	c.attempt++
}

// scheduleHeartbeatTimeout has a relay give a client's server up in its time.
func (s *Sim) scheduleHeartbeatTimeout(id uint32) {
	c := &s.clients[id]
	c.serverSilent = true
	s.schedule(time.Duration(s.rng.Float64()*float64(s.Beat))+s.Silence, event{kind: eventHeartbeatTimeout, subject: id, generation: c.generation})
}

// listUpdate is a line of the list that reaches a relay.
func (s *Sim) listUpdate(e event) {
	line := s.endpoint(int(e.value))
	v := s.servers[e.value]
	if line.State == balancer.StateGone {
		s.countDetection(e.subject, int(e.value), line.State)
	}
	if line.State != balancer.StateReady && v.drainNotifiedAt[e.subject] == 0 {
		v.drainNotifiedAt[e.subject] = s.now
	} else if line.State == balancer.StateReady {
		v.drainNotifiedAt[e.subject] = 0
	}
	s.handle(e.subject, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{line}})
}

// publish has the list tell all relays of a server, each in its time.
func (s *Sim) publish(i int) {
	if s.Probed {
		return
	}
	for r := range s.relays {
		s.schedule(s.uniformDuration(s.Notice)+s.listDelay, event{kind: eventListUpdate, subject: uint32(r), value: uint32(i)})
	}
}
