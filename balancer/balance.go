// This file holds every decision of a relay. Its types, events and actions are in api.go.
//
// The ordinary path: a connection goes to the server cached for its group; any failure invalidates that
// route; a retry backs off, skips the cache and draws at random by weight among the servers not yet tried; a
// controller moves the weights. What goes beyond it says what it guards against.

package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Every tuning constant. None belongs to a deployment.
const (
	backoffBase  = 100 * time.Millisecond // wait before the second attempt, doubled for each further one
	holdFor      = 100 * time.Millisecond // a request that no server may take looks again after this
	setupGuess   = 4 * backoffBase        // that set-ups take where none was seen
	onTheWay     = 50 * time.Millisecond  // that what is sent may take to arrive
	listPatience = time.Second            // longest wait for a list that was asked for
	listPause    = 500 * time.Millisecond // a list read less than this ago is fresh

	cacheSize = 1 << 14         // routes held
	cacheLife = 2 * time.Minute // a route not confirmed for this long is forgotten

	weightFloor = 0.05 // the controller moves weights between these
	weightCeil  = 1.0
	weightStart = 0.5
	weightRaise = 0.05                   // added on an accepted set-up
	weightCut   = 0.6                    // kept on a failure
	weightBack  = 30 * time.Second       // from nothing to the ceiling without a failure
	cutPause    = 900 * time.Millisecond // least time between two reliefs of a slow server

	ownZone   = 4.0 // by which servers of the own zone are preferred where crossing has a price
	fewRelays = 8   // more share nothing and see little each; they prefer their own zone less
	crowding  = 4.0 // power of the draw's weight falling with what is already placed
	groupCost = 2.0 // what a server pays for a group, in mean connections
	loadMost  = 20  // one connection counts as this many mean ones at the most

	spareFull  = 0.5 // a cached server with less of the wanted time to spare counts as full
	spareLeast = 0.1

	slowLife = 3 * time.Second        // a server is slow for this long after the last note
	slowPart = 0.3                    // while less of the fleet is slow, draws pass over slow servers,
	easePart = 0.1                    // and while less is, over those that are eased into work
	easeFor  = 10 * time.Second       // a server that was slow is eased into work for this long,
	easeGap  = 200 * time.Millisecond // by one set-up in this from all relays together
	drainIn  = 3 * time.Second        // work piled up on a slow server should be gone by then
	keepMin  = 0.2                    // part of its connections that a slow server keeps at one time

	awayFor = 10 * time.Second // a server that sends clients away drains; the list says so within this

	leaveEvery = 250 * time.Millisecond // a server that drains loses a part of its connections
	leavePart  = 0.15                   // this often: this part of those it has;
	leaveWait  = 2 * time.Second        // of many relays each waits for the server's own word so long,
	leaveBy    = 4 * time.Second        // and is rid of all by then

	windowMax   = 64.0                   // set-ups under way
	windowCut   = 0.7                    // kept when set-ups fail on many servers at once
	windowPause = 200 * time.Millisecond // least time between two such cuts
	sharedSpan  = 2 * time.Second        // failures on many servers within it have one cause

	rateMemory = 10 * time.Second // over which accepted set-ups are counted
	coldPart   = 0.6              // part used of what would push a cold server over
	coldLeast  = 6.0              // set-ups that warm servers bear in that time, by size, where few are seen
	paceLeast  = 0.4              // requests a relay is held to have in it, lest a crowd all goes there
	paceMemory = 30 * time.Second // over which this relay's own requests are counted
)

// Balancer decides for one relay. It is not safe for concurrent use.
type Balancer struct {
	set      *Settings     // in force
	aim      time.Duration // shortest wanted time of a message; 0 if not known
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	requests map[RequestID]*request
	timers   map[uint32]*request // a nil request: the list's timer
	leaving  map[uint32]*server  // timers of servers that drain
	token    uint32
	routes   routes
	fleet    fleet
	window   window
	list     listReader
	salt     uint64  // sets this relay apart from others
	part     float64 // of the budget of cold servers that is this process's
	pace     fading  // requests that servers were looked for, by this relay
	setups   setups  // how long they take
	seen     observer
}

// Handle takes an event at the relay's clock and returns what to do, in order.
// The slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.out, b.fleet.summed, b.pace.from = now, b.out[:0], false, cmp.Or(b.pace.from, now)
	switch ev := ev.(type) {
	case EndpointList:
		b.listArrived(ev)
	case SettingsChanged:
		b.retune(ev.Settings)
	case Request:
		b.arrived(ev)
	case Resumed:
		b.resumed(ev)
	case Established:
		b.stands(ev)
	case Outcome:
		b.ended(ev)
	case AnswerRequired:
		if q := b.requests[ev.Request]; q != nil && !q.up {
			b.end(q, ReasonShutdown)
		}
	case ClientLeft:
		b.forget(b.requests[ev.Request])
	case ConnectionLoad:
		if q := b.requests[ev.Request]; q != nil && q.up {
			b.fleet.weigh(q, ev.Load)
		}
	case EndpointDelay:
		if s := b.fleet.find(ev.Endpoint); s != nil {
			b.delayed(s, ev.Delay)
		}
	case Timer:
		b.timerFired(ev.Token)
	}
	b.release()
	return b.out
}

func (b *Balancer) timerFired(token uint32) {
	q, ok := b.timers[token]
	s := b.leaving[token]
	delete(b.timers, token)
	delete(b.leaving, token)
	switch {
	case s != nil:
		s.sending = false
		b.sendAway(s)
	case !ok:
	case q == nil && (b.list.out || b.list.fails > 0):
		b.watch()
	case q == nil || q.over || q.up:
	case b.now >= q.giveUp:
		b.end(q, ReasonDeadlineExceeded)
	case q.waiting && b.now < q.listUntil:
		b.wake(q, q.listUntil-b.now)
	case q.waiting && b.now >= q.notBefore:
		b.advance(q)
	}
}

// Requests, from arrival to end.

func (b *Balancer) arrived(ev Request) {
	q := b.begin(ev)
	// Rule 1: a timer of the request's own answers it a little ahead of the
	// client's patience, whatever it then waits for.
	left := max(0, ev.TimeLeft-2*b.set.MinTick)
	q.giveUp = b.now + left
	b.wake(q, left)
	b.advance(q)
}

func (b *Balancer) resumed(ev Resumed) {
	q := b.begin(ev.Request)
	q.at, q.attempts = b.fleet.find(ev.Endpoint), 1
	b.stand(q)
	b.sendAway(q.at)
}

// advance sends a request that has no attempt out, or lets it wait.
func (b *Balancer) advance(q *request) {
	q.waiting = false
	if !b.mayTry(q, b.now) {
		b.end(q, b.spent(q, b.now))
		return
	}
	if b.window.full() {
		b.note(VerdictHeld, ReasonWindowFull, q, nil, 0)
		b.window.queue = append(b.window.queue, q)
		return
	}
	s, why := b.pick(q)
	if s == nil && !b.hope(q) {
		b.end(q, ReasonNoViableEndpoint)
		return
	}
	if s == nil || b.mustWait(s) {
		b.rest(q, holdFor, b.held(s), s)
		return
	}
	if !q.mayRun {
		q.ranZone, q.ranCell, q.ranSince = s.Zone, s.Cell, b.now
	}
	q.attempts++
	wait := b.patience(q)
	b.note(VerdictSent, why, q, s, wait)
	q.at, q.sentAt = s, b.now
	b.window.out++
	s.lastSent = b.now
	b.do(SendAttempt{Request: q.ID, Endpoint: s.ID, Timeout: wait, NotAfter: q.known()})
}

// hope tells whether waiting can still find a request a server: one that is ready
// and not yet tried. A request without hope is answered at once.
func (b *Balancer) hope(q *request) bool {
	return slices.ContainsFunc(b.fleet.servers, func(s *server) bool {
		return s.State == StateReady && q.mayUse(s) && !slices.Contains(q.tried, s.ID)
	})
}

func (b *Balancer) rest(q *request, wait time.Duration, why Reason, s *server) {
	b.note(VerdictHeld, why, q, s, wait)
	q.waiting, q.notBefore = true, b.now+wait
	if q.notBefore < q.giveUp {
		b.wake(q, wait)
	}
}

// patience is the time-out of the attempt that goes out: while another may follow, it leaves
// time for it. None follows where a time-out may not be repeated; and where set-ups take as long
// as half of what is left, one cut off there only begins anew, with less time and on more load.
func (b *Balancer) patience(q *request) time.Duration {
	left := q.giveUp - b.now
	if q.attempts >= q.set.MaxAttempts || b.shared() ||
		q.class.Effect == AtMostOnce || left/2 <= cmp.Or(b.setups.usual(b.now), setupGuess) {
		return left
	}
	return max(left/2, min(left, b.set.ConnectTimeout+holdFor))
}

// mayTry tells whether another attempt is allowed at a time: rule 1 wants time
// left, rule 2 that a repeat is harmless.
func (b *Balancer) mayTry(q *request, at time.Duration) bool {
	return q.attempts < q.set.MaxAttempts && at < q.giveUp &&
		(!q.mayRun || q.class.Effect == Idempotent || at < q.known())
}

// known is until when its servers drop a repeat of what may have run, with time for it to arrive;
// 0 where none does. It is looked at again when the repeat goes out: a connection comes up late.
func (q *request) known() time.Duration {
	if !q.mayRun || q.class.Effect != Deduplicated {
		return 0
	}
	return max(1, q.ranSince+q.class.DeduplicationWindow-onTheWay)
}

// mayUse tells whether rule 2 allows a server for the next attempt: a repeat of
// what may have run stays among the servers that drop repeats.
func (q *request) mayUse(s *server) bool {
	if !q.mayRun || q.class.Effect == Idempotent || q.class.Scope == ScopeAll {
		return true
	}
	return s.Zone == q.ranZone && (q.class.Scope == ScopeZone || s.Cell == q.ranCell)
}

func (b *Balancer) stands(ev Established) {
	q := b.requests[ev.Request]
	if q == nil || q.at == nil || q.up {
		return
	}
	s := q.at
	s.stoodAt = b.now
	s.raise(b.now)
	b.setups.stood(ev.SetupTime, b.now)
	if !q.Returning && b.warmth(s) >= 1 {
		b.fleet.recent.add(b.now)
	}
	b.window.out--
	if ev.SetupTime <= q.class.LatencyObjective {
		b.window.size = min(windowMax, b.window.size+1/b.window.size)
	}
	b.stand(q)
	b.sendAway(s) // it may have begun to drain while it had no one to send away
}

func (b *Balancer) ended(ev Outcome) {
	q := b.requests[ev.Request]
	if q == nil || q.at == nil && !ev.Final && !q.up {
		return
	}
	switch s := q.at; ev.Status {
	case StatusOK, StatusCancelled, StatusNotSent:
	case StatusRedirected:
		// The server knows before the list that it drains. It guards against placing
		// clients where they come from, to be sent away again, until the list comes.
		if s != nil {
			s.awayAt = b.now
			b.routes.clear(q.key(), s.ID)
		}
	default:
		b.failed(q, ev.Status)
	}
	if q.up || ev.Final {
		b.forget(q)
		return
	}
	if ev.Status == StatusTimeout {
		b.setups.cutOff(ev.Endpoint, b.now-q.sentAt, b.now)
	}
	q.mayRun = q.mayRun ||
		ev.Status != StatusFull && ev.Status != StatusConnectFailed && ev.Status != StatusNotSent
	q.at = nil
	b.window.out--
	b.retry(q)
}

// failed answers the failure of an attempt, or of the connection it became: the
// route was wrong, and the server loses weight.
func (b *Balancer) failed(q *request, why AttemptStatus) {
	s := q.at
	if s == nil {
		return
	}
	if !q.up && (why == StatusError || why == StatusTimeout) && b.sharedCause(s) {
		return
	}
	b.routes.clear(q.key(), s.ID)
	q.tried = append(q.tried, s.ID)
	s.cut(weightCut, b.now)
	if why == StatusFull { // it turns away what it can't bear: requests wait as for a slow one
		s.lastSlow, s.delayAt = b.now, b.now
		b.strange(s)
	}
}

// retry lets a request wait for its backoff and, where lists are asked for, for a list.
func (b *Balancer) retry(q *request) {
	wait := backoffBase << (q.attempts - 1)
	if !b.mayTry(q, b.now+wait) {
		b.end(q, b.spent(q, b.now+wait))
		return
	}
	if b.set.PollList && b.now >= b.list.readAt+listPause {
		// After a zone is lost every retry wants the list: they share one call, and
		// go on with the list they have when it isn't answered.
		q.listUntil = b.now + listPatience
		b.list.waiting = append(b.list.waiting, q)
		b.watch()
	}
	b.rest(q, wait, ReasonBackoff, nil)
}

// comeBack is the advice that a refusal carries, and guards against clients that come back to servers as full
// as they were: when the first of the ready servers is no longer held slow, after the backoff of the attempts
// made; the longest where none is ready.
func (b *Balancer) comeBack(q *request) time.Duration {
	soonest := b.set.MaxRetryAfter
	for _, s := range b.fleet.servers {
		if s.State == StateReady {
			wait := backoffBase << min(q.attempts, 8)
			if s.slowAt(b.now) {
				wait = max(wait, s.delayAt+slowLife-b.now)
			}
			soonest = min(soonest, wait)
		}
	}
	return soonest
}

// RetryAfter is when a client should come again that the relay has no place for.
func (b *Balancer) RetryAfter(now time.Duration) time.Duration {
	b.now = now
	return b.comeBack(&request{})
}

// end gives the final answer. A refusal says that trying again is harmless.
func (b *Balancer) end(q *request, why Reason) {
	ran := q.mayRun || q.at != nil
	if !ran || q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll {
		wait := b.comeBack(q)
		b.note(VerdictRejected, why, q, q.at, wait)
		b.do(Reject{Request: q.ID, RetryAfter: wait})
	} else {
		b.note(VerdictFailed, why, q, q.at, 0)
		b.do(Fail{Request: q.ID})
	}
	b.forget(q)
}

// The choice of a server.

// pick chooses the server of the next attempt, or none, and tells why.
func (b *Balancer) pick(q *request) (*server, Reason) {
	why := q.drawn()
	if id, ok := b.routes.get(q.key(), b.now); ok && q.attempts == 0 {
		s := b.fleet.find(id)
		if s != nil && b.usable(q, s) && !b.mustWait(s) && b.spare(s) > spareFull {
			return s, ReasonCachedRoute
		}
		why = b.passedOver(q, s)
	}
	return b.draw(q), why
}

// draw draws a server at random by weight: the least of exponential draws, each at the rate of its weight,
// falls on each in proportion to its weight. While few are slow the draw passes them over: waiting for one
// while others are free guards against nothing. It does where many are slow, as a crowd that moves on then
// makes the next slow.
func (b *Balancer) draw(q *request) *server {
	load, size, _, slow := b.totals()
	b.paced(q)
	if s := b.coldTurn(q); s != nil {
		return s
	}
	var best *server
	least := math.Inf(1)
	near := b.sift(q.key(), load/size) // of a large fleet most can't be the least
	for s := range near.servers {
		if !b.usable(q, s) || slow < slowPart*size && s.slowAt(b.now) ||
			slow < easePart*size && b.mustWait(s) {
			continue
		}
		if d := b.chance(q.key(), s) / b.drawWeight(s, load/size); d < least {
			best, least = s, d
			near.found(d)
		}
	}
	return best
}

// usable tells whether a server may be sent a request at all.
func (b *Balancer) usable(q *request, s *server) bool {
	return s.State == StateReady && (s.awayAt == 0 || b.now >= s.awayAt+awayFor) && q.mayUse(s) &&
		!slices.Contains(q.tried, s.ID) && b.coldAllows(q, s)
}

// drawWeight is the controller's weight by size, warmth, zone and load. The load
// guards against placing by set-ups alone, blind to what already stands.
func (b *Balancer) drawWeight(s *server, meanLoad float64) float64 {
	w := s.weightAt(b.now) * s.size() * b.warmth(s) * b.spare(s)
	if b.set.CrossZoneCost > 0 && s.Zone == b.set.Zone {
		w *= 1 + (ownZone-1)*min(1, fewRelays/float64(b.set.Relays))
	}
	if meanLoad > 0 {
		w /= math.Pow(1+(s.demand()+1)/s.size()/b.warmth(s)/meanLoad, crowding)
	}
	return w
}

// chance is a draw from the exponential distribution. Where there is a key, it
// is the source of the randomness: relays that share nothing then draw alike,
// and a group isn't paid for by a server for each relay.
func (b *Balancer) chance(key uint64, s *server) float64 {
	if key == 0 {
		return b.rng.ExpFloat64()
	}
	return -math.Log(uniform(key, s.ID))
}

// spare is the part of their wanted time that messages at a server leave. It
// guards against filling servers until they are slow, as delays grow before. For
// those that are, requests wait: their crowd must not move on to the next.
func (b *Balancer) spare(s *server) float64 {
	if b.aim == 0 || s.delay > b.aim || b.now >= s.delayAt+slowLife {
		return 1
	}
	return max(spareLeast, 1-float64(s.delay)/float64(b.aim))
}

// Slow servers.

// delayed guards against a server that slows but accepts, and so keeps its groups. Messages slower than
// wanted are a failure: weight is cut, and so many connections leave that what is piled up can be worked off
// in time. It grows as the load exceeds what the server does, so two notes tell by how much. Parts of a
// connection leave by chance, lest many relays all let go of their one.
func (b *Balancer) delayed(s *server, delay time.Duration) {
	growth := delay.Seconds() // in seconds a second, from nothing a second ago
	if since := b.now - s.delayAt; s.delay > 0 && since > 0 && since < slowLife {
		growth = float64(delay-s.delay) / float64(since)
	}
	s.delay, s.delayAt = delay, b.now
	if b.aim == 0 || delay <= b.aim {
		return
	}
	s.lastSlow = b.now
	b.strange(s)
	if b.now < s.relieved+cutPause {
		return
	}
	keep := (1 - float64(delay)/float64(drainIn)) / max(0.1, 1+growth)
	if keep >= 1 {
		return
	}
	s.relieved = b.now
	keep = max(keepMin, keep)
	s.cut(keep, b.now)
	b.relieve(s, int(float64(len(s.conns))*(1-keep)+b.rng.Float64()), ReasonLoadRelief)
}

// mustWait guards against set-ups that keep slow servers slow: requests wait
// while a server is slow or full, and lest they then come all at once, it is
// eased into work. A group whose cached server is so is drawn anew first.
func (b *Balancer) mustWait(s *server) bool {
	return s.slowAt(b.now) || s.lastSlow > 0 && b.now < s.lastSlow+easeFor &&
		!b.turn(s, b.part*b.set.OverloadWindow.Seconds()/easeGap.Seconds()/float64(b.set.Relays))
}

// turn shares a server among relays that know nothing of each other, where this one may send
// it n set-ups within the time that pushes a cold server over; its turn comes by chance if n < 1.
func (b *Balancer) turn(s *server, n float64) bool {
	return b.rested(s, n) && uniform(b.salt+uint64(b.now/b.set.OverloadWindow), s.ID) < n
}

func (b *Balancer) rested(s *server, n float64) bool {
	return float64(b.now-max(s.lastSent, s.StartedAt)) >= float64(b.set.OverloadWindow)/max(1, n)
}

// relieve moves n of a server's connections away: small groups first and whole,
// as a group left in part is paid for twice; then a part of a large one, which
// has outgrown its server. Cleared routes let their groups grow elsewhere.
func (b *Balancer) relieve(s *server, n int, why Reason) {
	conns := slices.Clone(s.conns)
	rank := func(q *request) float64 {
		return float64(s.groups[q.key()]/b.set.Relays) + uniform(q.key(), s.ID)
	}
	slices.SortStableFunc(conns, func(x, y *request) int { return cmp.Compare(rank(x), rank(y)) })
	for _, q := range conns[:n] {
		b.routes.clear(q.key(), s.ID)
		b.note(VerdictMigrated, why, q, s, 0)
		b.do(Migrate{Request: q.ID})
		b.forget(q)
	}
}

// sendAway guards against clients that are cut off when their draining server stops. They
// move a part at a time, lest those who take them in are swamped; of many relays, by chance.
func (b *Balancer) sendAway(s *server) {
	if s == nil || s.sending || s.State != StateDraining || len(s.conns) == 0 {
		return
	}
	s.sending = true
	n, after := int(math.Ceil(float64(len(s.conns))*leavePart)), leaveEvery
	if wait := s.drainAt + leaveWait - b.now; b.many() && wait > 0 {
		n, after = 0, wait
	} else if b.many() {
		left := s.drainAt + leaveBy - b.now
		n = int(float64(len(s.conns))*float64(leaveEvery)/float64(max(left, leaveEvery)) + b.rng.Float64())
	}
	b.relieve(s, n, ReasonEndpointDraining)
	b.again(s, after)
}

// One cause on many servers.

// shared tells whether set-ups lately failed on many servers at once.
func (b *Balancer) shared() bool { return b.now < b.window.sharedUntil }

// sharedCause guards against blaming servers for what they share, such as a slow session store, and against
// retries that feed it: once set-ups fail on as many servers as accept them, fewer are under way at a time,
// and weights and routes stay.
func (b *Balancer) sharedCause(s *server) bool {
	s.failedAt = b.now
	good, bad := 0, 0
	for _, s := range b.fleet.servers {
		if s.failedAt > s.stoodAt && s.failedAt > b.now-sharedSpan {
			bad++
		} else if s.stoodAt > b.now-sharedSpan {
			good++
		}
	}
	w := &b.window
	if bad >= 2 && bad >= good {
		w.sharedUntil = b.now + sharedSpan
		if b.now >= w.cutAt+windowPause {
			w.cutAt, w.size = b.now, max(1, min(w.size, float64(w.out))*windowCut)
		}
	}
	return b.shared()
}

// Servers: load, weight and cold starts.

// weightAt is the controller's weight. It comes back with time too: a server at
// the floor sees no set-up that could raise it.
func (s *server) weightAt(now time.Duration) float64 {
	return min(weightCeil, s.weight+float64(now-s.weighed)/float64(weightBack))
}

func (s *server) cut(keep float64, now time.Duration) {
	s.weight, s.weighed = max(weightFloor, s.weightAt(now)*keep), now
}

func (s *server) raise(now time.Duration) {
	s.weight, s.weighed = min(weightCeil, s.weightAt(now)+weightRaise), now
}

// warmth is the part of its capacity that a server has at the least.
func (b *Balancer) warmth(s *server) float64 {
	if s.StartedAt == 0 || b.now >= s.StartedAt+b.set.SlowStartDuration {
		return 1
	}
	age := float64(max(0, b.now-s.StartedAt)) / float64(b.set.SlowStartDuration)
	return b.set.InitialCapacity + (1-b.set.InitialCapacity)*age
}

// coldAllows keeps rule 4: within the time in which a cold server could fall over it gets, from all relays
// together, part of the new connections that warm servers of its size bear, less what it is cold. Of many
// relays each sends its part of its requests: turns by chance go by unused where requests are few.
func (b *Balancer) coldAllows(q *request, s *server) bool {
	if b.warmth(s) >= 1 {
		return true
	}
	n, span := b.coldPart(s), b.set.OverloadWindow
	if !b.many() || n >= 1 {
		return b.turn(s, n)
	}
	return b.rested(s, n) &&
		uniform(b.salt+uint64(q.ID)+uint64(b.now/span), s.ID) < n/max(paceLeast, b.pace.within(b.now, span))
}

// coldPart is this relay's part of what a cold server may be sent; many see too little to tell.
func (b *Balancer) coldPart(s *server) float64 {
	if _, _, warm, _ := b.totals(); warm > 0 {
		b.fleet.perSize = b.fleet.recent.at(b.now) / rateMemory.Seconds() / warm
	}
	least := 1 / float64(b.set.Relays)
	if b.many() {
		least *= s.size() * coldLeast
	}
	n := b.fleet.perSize * s.size() * b.set.OverloadWindow.Seconds() * b.set.OverloadMultiple * coldPart
	return b.part * b.warmth(s) * max(least, n)
}

// coldTurn guards against cold servers that stay empty behind many relays: where a
// relay's part is less than one, a turn left to the draw's weights is mostly lost.
func (b *Balancer) coldTurn(q *request) (best *server) {
	if !b.many() {
		return nil
	}
	for s := range b.fleet.cold(b.now, b.set.SlowStartDuration) {
		if b.coldPart(s) < 1 && b.usable(q, s) && !s.slowAt(b.now) &&
			(best == nil || uniform(b.salt, s.ID) < uniform(b.salt, best.ID)) {
			best = s
		}
	}
	return best
}

// The server list.

// watch asks for the list and its changes. A timer guards against an answer
// that is lost, and against asking too seldom for rule 3.
func (b *Balancer) watch() {
	if l := &b.list; b.set.PollList && (!l.out || b.now >= l.outAt+listPatience) {
		l.out, l.outAt = true, b.now
		b.do(WatchEndpoints{})
		b.wake(nil, max(b.set.PollInterval/2, listPatience))
	}
}

func (b *Balancer) listArrived(ev EndpointList) {
	l := &b.list
	l.out = false
	switch ev.Kind {
	case ListFailed:
		b.wake(nil, min(listPause<<min(l.fails, 8), b.set.PollInterval/2))
		l.fails++
	case ListCached:
		b.fleet.replace(ev.Endpoints)
		b.watch() // it may be stale
	case ListFull:
		b.fleet.replace(ev.Endpoints)
		l.fails, l.readAt = 0, b.now
	case ListDelta:
		l.fails, l.readAt = 0, b.now
	}
	for _, line := range ev.Endpoints {
		b.update(line)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, q := range waiting {
		q.listUntil = 0
		if q.waiting && !q.over && b.now >= q.notBefore {
			b.advance(q)
		}
	}
}

// update takes a line of the list. A server that has restarted begins anew.
func (b *Balancer) update(line Endpoint) {
	s := b.fleet.find(line.ID)
	switch {
	case s == nil && line.State == StateGone:
	case s == nil:
		b.fleet.insert(&server{Endpoint: line, weight: weightStart, weighed: b.now}, b.now)
	default:
		if line.StartedAt > s.StartedAt {
			s.weight, s.weighed, s.lastSlow, s.awayAt = weightStart, b.now, 0, 0
		}
		s.Endpoint, b.fleet.sure = line, false
		if !s.sending {
			s.drainAt = b.now
			b.sendAway(s)
		}
	}
}
