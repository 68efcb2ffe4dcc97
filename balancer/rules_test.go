package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Rule 1: whatever a request waits for, it is answered in time and once.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	for name, servers := range map[string][]Endpoint{
		"no server":     nil,
		"none ready":    {{ID: 1, State: StateDraining, Weight: 1}},
		"one, silent":   ready(1),
		"several":       ready(3),
		"only cold one": {{ID: 1, State: StateReady, Weight: 1, StartedAt: time.Hour}},
	} {
		for _, left := range []time.Duration{0, ms, 50 * ms, 150 * ms, 2 * time.Second} {
			r := newRelay(t, testSettings(), servers...)
			done := r.do(Request{ID: 1, TimeLeft: left})
			if left > 10*ms {
				done = append(done, r.pass(left-1)...)
			}
			if n := count[Reject](done) + count[Fail](done); n != 1 {
				t.Errorf("%s, %v left: %d answers", name, left, n)
			}
			if done = r.pass(10 * time.Second); len(done) > 0 {
				t.Errorf("%s, %v left: %v after the answer", name, left, done)
			}
		}
	}
}

func TestBackoffThatOutlastsTheClientEndsTheRequest(t *testing.T) {
	r := newRelay(t, testSettings(), ready(3)...)
	to := r.sent(r.do(Request{ID: 1, TimeLeft: 90 * ms}), 1)
	wantActions(t, r.fail(1, to, StatusFull), Reject{Request: 1})
}

func TestNothingFollowsAClientThatLeft(t *testing.T) {
	r := newRelay(t, testSettings(), ready(3)...)
	to := r.sent(r.do(Request{ID: 1, TimeLeft: time.Second}), 1)
	r.fail(1, to, StatusFull)
	wantActions(t, r.do(ClientLeft{Request: 1}))
	wantActions(t, r.pass(5*time.Second))
	wantActions(t, r.fail(1, to, StatusFull))
	wantActions(t, r.do(Timer{Token: 999}))
	if len(r.b.requests) != 0 || r.b.window.out != 0 {
		t.Errorf("%d requests held, %d attempts counted", len(r.b.requests), r.b.window.out)
	}
}

// Rule 2: what may follow an attempt, by class and by how it ended.
func TestRepeatsAndRefusalsByClass(t *testing.T) {
	servers := []Endpoint{
		{ID: 1, State: StateReady, Weight: 1, Zone: 0, Cell: 0},
		{ID: 2, State: StateReady, Weight: 1, Zone: 0, Cell: 1},
		{ID: 3, State: StateReady, Weight: 1, Zone: 1, Cell: 2},
		{ID: 4, State: StateReady, Weight: 1, Zone: 0, Cell: 0},
		{ID: 5, State: StateReady, Weight: 1, Zone: 1, Cell: 2},
	}
	zone := map[EndpointID]int{1: 0, 2: 0, 3: 1, 4: 0, 5: 1}
	cell := map[EndpointID]int{1: 0, 2: 1, 3: 2, 4: 0, 5: 2}
	ran := map[AttemptStatus]bool{StatusError: true, StatusTimeout: true, StatusReset: true, StatusCancelled: true}
	for _, class := range []Class{
		{Effect: Idempotent},
		{Effect: Deduplicated, Scope: ScopeAll, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeZone, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeCell, DeduplicationWindow: 5 * time.Second},
		{Effect: Deduplicated, Scope: ScopeAll, DeduplicationWindow: 50 * ms},
		{Effect: AtMostOnce},
	} {
		for _, why := range []AttemptStatus{StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusNotSent} {
			for key := uint64(1); key < 20; key++ {
				s := testSettings()
				class.Deadline = 2 * time.Second
				s.Classes = []Class{class}
				r := newRelay(t, s, servers...)
				id, done := r.ask(key)
				first := r.sent(done, id)
				done = append(r.fail(id, first, why), r.pass(150*ms)...)
				mayRepeat := !ran[why] || class.Effect == Idempotent ||
					class.Effect == Deduplicated && class.DeduplicationWindow > 100*ms
				mayRefuse := !ran[why] || class.Effect == Idempotent ||
					class.Effect == Deduplicated && class.Scope == ScopeAll
				for _, a := range done {
					switch a := a.(type) {
					case SendAttempt:
						if !mayRepeat {
							t.Errorf("%+v after %d: sent again", class, why)
						}
						scoped := ran[why] && class.Effect == Deduplicated
						if scoped && class.Scope == ScopeZone && zone[a.Endpoint] != zone[first] ||
							scoped && class.Scope == ScopeCell && cell[a.Endpoint] != cell[first] {
							t.Errorf("%+v after %d: %d then %d", class, why, first, a.Endpoint)
						}
					case Reject:
						if !mayRefuse {
							t.Errorf("%+v after %d: refused", class, why)
						}
					case Fail:
						if mayRefuse {
							t.Errorf("%+v after %d: failed though a refusal is true", class, why)
						}
					}
				}
				if mayRepeat && class.Scope == ScopeAll && count[SendAttempt](done) != 1 {
					t.Errorf("%+v after %d: not sent again", class, why)
				}
			}
		}
	}
}

// Rule 3: neither first tries, cached routes nor timers go to a server that
// drains or is gone.
func TestDrainsAreKept(t *testing.T) {
	for name, list := range map[string]EndpointList{
		"draining":   {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Weight: 1}}},
		"gone":       {Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateGone}}},
		"left out":   {Kind: ListFull, Endpoints: ready(2)[1:]},
		"cached out": {Kind: ListCached, Endpoints: ready(2)[1:]},
	} {
		r := newRelay(t, testSettings(), ready(1)...)
		r.open(7)
		r.do(EndpointList{Kind: ListDelta, Endpoints: ready(2)[1:]})
		var ids []RequestID
		for key := range uint64(20) { // some wait for a backoff when the news comes
			id, done := r.ask(key + 7)
			ids = append(ids, id)
			r.fail(id, r.sent(done, id), StatusConnectFailed)
		}
		r.do(list)
		for range 20 {
			r.ask(7)
		}
		r.pass(time.Second)
		for _, a := range r.log[slices.IndexFunc(r.log, func(a Action) bool {
			s, ok := a.(SendAttempt)
			return ok && s.Request > ids[len(ids)-1]
		}):] {
			if s, ok := a.(SendAttempt); ok && s.Endpoint == 1 {
				t.Errorf("%s: request %d sent to it", name, s.Request)
			}
		}
	}
}

// Rule 4: a cold server gets its share of what warm servers are seen to bear,
// rejected set-ups counted, and a server that restarts is cold anew.
func TestColdServerIsFilledSlowly(t *testing.T) {
	s := testSettings()
	servers := ready(10)
	r := newRelay(t, s, servers...)
	arrive := func(d time.Duration, reject bool) (sends int, most int) {
		var at []time.Duration
		for end := r.now + d; r.now < end; r.pass(50 * ms) {
			id, done := r.ask(uint64(r.next) + 100)
			to := r.sent(done, id)
			if to == 1 && reject {
				r.fail(id, to, StatusError)
			} else {
				r.do(Established{Request: id, Endpoint: to, SetupTime: ms})
				r.do(Outcome{Request: id, Endpoint: to, Status: StatusOK, Final: true})
			}
			if to != 1 {
				continue
			}
			at = append(at, r.now)
			sends++
			n := 0
			for _, x := range at {
				if x > r.now-s.OverloadWindow {
					n++
				}
			}
			most = max(most, n)
		}
		return sends, most
	}
	arrive(10*time.Second, false)
	for _, reject := range []bool{false, true} {
		servers[0].StartedAt = r.now
		r.do(EndpointList{Kind: ListDelta, Endpoints: servers[:1]})
		// Each server bears two new connections a second of the twenty: a cold one
		// can take 3 x 0.2 x 2 x 1.5 = 1.8 in any window at first.
		early, most := arrive(3*time.Second, reject)
		if early > 3 || most > 2 {
			t.Errorf("rejecting %v: %d sent in 3 s, %d within a window", reject, early, most)
		}
		if late, _ := arrive(30*time.Second, reject); late < 5 {
			t.Errorf("rejecting %v: only %d sent in 30 s", reject, late)
		}
	}
}

func TestFleetThatIsColdAtOnceIsNotPushedOver(t *testing.T) {
	s := testSettings()
	s.Relays = 2
	servers := ready(4)
	for i := range servers {
		servers[i].StartedAt = time.Hour
	}
	r := newRelay(t, s, servers...)
	last := map[EndpointID]time.Duration{}
	for range 390 {
		_, done := r.ask(uint64(r.next))
		for _, a := range append(done, r.pass(50*ms)...) {
			if s, ok := a.(SendAttempt); ok {
				if gap := r.now - last[s.Endpoint]; last[s.Endpoint] > 0 && gap < 1500*ms {
					t.Fatalf("server %d sent to twice within %v", s.Endpoint, gap)
				}
				last[s.Endpoint] = r.now
				r.do(Established{Request: s.Request, Endpoint: s.Endpoint})
			}
		}
	}
	if len(last) != 4 {
		t.Errorf("%d of 4 cold servers ever used", len(last))
	}
}

// Many relays that watch a server start, each with a request for it all the
// time, must not send to it at the same age.
func TestColdServerIsSharedByManyRelays(t *testing.T) {
	s := testSettings()
	s.Relays = 100
	relays := fleetOf(t, s, Endpoint{ID: 1, State: StateReady, Weight: 1, StartedAt: time.Hour})
	sent := map[time.Duration]int{} // by span
	total := 0
	for range 150 {
		for _, r := range relays {
			_, done := r.ask(5)
			n := count[SendAttempt](append(done, r.pass(100*ms)...))
			sent[r.now/s.OverloadWindow] += n
			total += n
		}
	}
	for span, n := range sent {
		if n > 14 { // coldLeast on average, of a server that is warm
			t.Errorf("%d sent within span %d, at most about six are wanted", n, span)
		}
	}
	if total < 2 {
		t.Errorf("%d sent in 15 s", total)
	}
}

// Many relays with few requests each fill a server that has started, and no one of them
// as much as it could bear: turns by time went by unused, and the server stayed empty.
func TestColdServerIsFilledByRelaysWithFewRequests(t *testing.T) {
	s := testSettings()
	s.Relays = 80
	servers := ready(5)
	servers[0].StartedAt = time.Hour
	relays := fleetOf(t, s, servers...)
	var sent []time.Duration // to the cold server
	for i := range 400 {     // twenty requests a second, each at another relay
		r := relays[i*37%s.Relays]
		r.pass(time.Hour + time.Duration(i)*50*ms - r.now)
		id, done := r.ask(uint64(i))
		if to := r.sent(done, id); to == 1 {
			sent = append(sent, r.now)
		} else {
			r.do(Established{Request: id, Endpoint: to, SetupTime: ms})
		}
	}
	// It may be sent 6 in 1.5 s when it is warm, and on average 0.6 of that.
	if len(sent) < 16 || len(sent) > 56 {
		t.Errorf("%d were sent to the cold server in 20 s, about 40 are wanted", len(sent))
	}
	if n := len(sent); n > 0 && sent[n/2] < time.Hour+8*time.Second {
		t.Errorf("half of %d were sent within %v of its start", n, sent[n/2]-time.Hour)
	}
}

// Most servers are new at once, and more clients come back within two seconds than in a
// minute before: what relays know of their usual requests must not have them all sent to
// the servers that have just started.
func TestCrowdDoesNotPushNewServersOver(t *testing.T) {
	s := testSettings()
	s.Relays, s.OverloadWindow, s.InitialCapacity = 80, 3*time.Second, 0.12
	relays := fleetOf(t, s, ready(13)...)
	sent := map[EndpointID][]time.Duration{}
	play := func(n int, every time.Duration) {
		at := relays[0].now
		for i := range n {
			for _, r := range relays {
				r.pass(at + time.Duration(i)*every - r.now)
			}
			r := relays[i*37%s.Relays]
			id, done := r.ask(uint64(i % 14))
			to := r.sent(done, id)
			sent[to] = append(sent[to], r.now)
			r.do(Established{Request: id, Endpoint: to, SetupTime: ms})
			r.do(Outcome{Request: id, Endpoint: to, Status: StatusOK, Final: true})
		}
	}
	play(80, 500*ms)
	servers := ready(13)
	for i := range 8 {
		servers[i].StartedAt = relays[0].now
	}
	for _, r := range relays {
		r.pass(2 * time.Second) // that the list is behind
		r.do(EndpointList{Kind: ListDelta, Endpoints: servers})
	}
	clear(sent)
	play(120, 17*ms)
	cold := 0
	for id, at := range sent {
		if cold += len(at); id <= 8 && len(at) > 5 {
			t.Errorf("new server %d was sent %d within 2 s", id, len(at))
		}
		if id > 8 {
			cold -= len(at)
		}
	}
	if cold < 4 || cold > 24 {
		t.Errorf("the eight new servers were sent %d of 120, some 16 are wanted", cold)
	}
}

// TestRulesHoldOverRandomEvents plays random legal events and checks all four
// rules, and that what the Balancer counts stays true.
func TestRulesHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		newPlay(t, seed).run(1500)
	}
}

// play is a random but legal world around a Balancer.
type play struct {
	*relay
	rng      *rand.Rand
	set      Settings
	servers  []Endpoint
	bad      map[EndpointID]time.Duration // told draining or gone since
	open     map[RequestID]*playRequest
	tries    []try // attempts out or connections up
	coldSent map[EndpointID][]time.Duration
}

type playRequest struct {
	Request
	at    time.Duration
	tries []try
	out   int
	up    bool
}

type try struct {
	id   RequestID
	to   Endpoint
	sent time.Duration
	ran  bool
}

func newPlay(t *testing.T, seed uint64) *play {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := testSettings()
	s.Relays = 1 + rng.IntN(4)
	s.PollList = rng.IntN(2) == 0
	s.CrossZoneCost = float64(rng.IntN(2))
	s.MaxAttempts = 1 + rng.IntN(5)
	s.Classes = []Class{
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 50 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, Scope: ScopeZone, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, Scope: ScopeCell, DeduplicationWindow: time.Second},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: Deduplicated, DeduplicationWindow: 300 * ms},
		{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: AtMostOnce},
	}
	servers := ready(1 + rng.IntN(10))
	for i := range servers {
		servers[i].Zone, servers[i].Cell = i%2, i%4
	}
	p := &play{relay: newRelay(t, s, servers...), rng: rng, set: s, servers: slices.Clone(servers),
		bad: map[EndpointID]time.Duration{}, open: map[RequestID]*playRequest{},
		coldSent: map[EndpointID][]time.Duration{}}
	return p
}

func (p *play) run(steps int) {
	for range steps {
		p.step()
	}
	// Without further events every request still gets its answer.
	p.check(p.elapse(3 * time.Second))
	for id, q := range p.open {
		if !q.up {
			p.t.Errorf("request %d was never answered", id)
		}
	}
	out := 0
	for _, q := range p.b.requests {
		if q.at != nil && !q.up {
			out++
		}
	}
	if out != p.b.window.out || out != 0 {
		p.t.Errorf("%d attempts out, %d counted", out, p.b.window.out)
	}
	for _, s := range p.b.fleet.servers {
		n, load := 0, 0.0
		for _, c := range s.conns {
			load += c.load
		}
		for _, g := range s.groups {
			n += g
		}
		if n != len(s.conns) || load-s.load > 1e-6 || s.load-load > 1e-6 {
			p.t.Errorf("server %d: %d connections, %d in groups, load %v booked as %v", s.ID, len(s.conns), n, load, s.load)
		}
	}
}

// elapse lets time pass timer by timer, checking on the way.
func (p *play) elapse(d time.Duration) []Action {
	for end := p.now + d; p.now < end; {
		p.check(p.pass(min(5*ms, end-p.now)))
	}
	return nil
}

func (p *play) step() {
	switch k := p.rng.IntN(20); {
	case k < 6:
		p.next++
		q := Request{ID: p.next, Class: p.rng.IntN(len(p.set.Classes)), Group: p.rng.Uint64N(6),
			TimeLeft: time.Duration(p.rng.IntN(2000)) * ms, Returning: p.rng.IntN(3) == 0}
		p.open[q.ID] = &playRequest{Request: q, at: p.now}
		p.check(p.do(q))
	case k < 13 && len(p.tries) > 0:
		p.endTry(p.rng.IntN(len(p.tries)))
	case k < 14:
		p.loopEvent()
	case k < 15:
		if ids := p.ids(); len(ids) > 0 {
			id := ids[p.rng.IntN(len(ids))]
			if !p.open[id].up {
				delete(p.open, id)
				p.check(p.do(ClientLeft{Request: id}))
			}
		}
	case k < 16 && len(p.tries) > 0:
		x := p.tries[p.rng.IntN(len(p.tries))]
		delay := time.Duration(p.rng.IntN(3000)) * ms
		p.check(p.do(EndpointDelay{Request: x.id, Endpoint: x.to.ID, Delay: delay}))
		p.check(p.do(ConnectionLoad{Request: x.id, Endpoint: x.to.ID, Load: p.rng.Float64()}))
	case k < 17:
		p.check(p.do(Timer{Token: p.rng.Uint32()}))
	default:
		p.elapse(time.Duration(p.rng.IntN(60)) * ms)
	}
}

func (p *play) ids() []RequestID {
	var ids []RequestID
	for id := range p.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endTry brings an attempt forward: it stands, or ends.
func (p *play) endTry(i int) {
	x := p.tries[i]
	q := p.open[x.id]
	if q != nil && !q.up && p.rng.IntN(2) == 0 {
		q.up = true
		p.check(p.do(Established{Request: x.id, Endpoint: x.to.ID}))
		return
	}
	p.tries = slices.Delete(p.tries, i, i+1)
	why := []AttemptStatus{StatusOK, StatusError, StatusFull, StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusNotSent}[p.rng.IntN(8)]
	over := q == nil || q.up || why == StatusOK
	if q != nil {
		q.out--
		if why != StatusFull && why != StatusConnectFailed && why != StatusNotSent {
			q.tries[len(q.tries)-1].ran = true
		}
	}
	if over {
		delete(p.open, x.id)
	}
	p.check(p.do(Outcome{Request: x.id, Endpoint: x.to.ID, Status: why, Final: over}))
}

// loopEvent changes the list: servers drain, go, come back cold or are left out.
func (p *play) loopEvent() {
	if p.rng.IntN(4) == 0 {
		p.check(p.do(EndpointList{Kind: ListFailed}))
		return
	}
	s := &p.servers[p.rng.IntN(len(p.servers))]
	s.State = EndpointState(p.rng.IntN(3))
	if s.State == StateReady && p.rng.IntN(2) == 0 {
		s.StartedAt = p.now
		delete(p.coldSent, s.ID)
	}
	list := EndpointList{Kind: ListDelta, Endpoints: []Endpoint{*s}}
	if p.rng.IntN(3) == 0 {
		list = EndpointList{Kind: ListFull}
		for _, s := range p.servers {
			if s.State != StateGone {
				list.Endpoints = append(list.Endpoints, s)
			}
		}
	}
	if s.State == StateReady {
		delete(p.bad, s.ID)
	} else if p.bad[s.ID] == 0 {
		p.bad[s.ID] = p.now
	}
	p.check(p.do(list))
}

// check holds actions against the rules.
func (p *play) check(done []Action) {
	p.t.Helper()
	for _, a := range done {
		switch a := a.(type) {
		case SendAttempt:
			p.checkSend(a)
		case Reject:
			q := p.answer(a.Request)
			for i := range q.tries {
				if c := p.set.Classes[q.Class]; (q.tries[i].ran || q.out > 0) && c.Effect != Idempotent &&
					!(c.Effect == Deduplicated && c.Scope == ScopeAll) {
					p.t.Fatalf("rule 2: request %d of class %d refused though it may have run", q.ID, q.Class)
				}
			}
		case Fail:
			p.answer(a.Request)
		case Migrate:
			if q := p.open[a.Request]; q == nil || !q.up {
				p.t.Fatalf("request %d moved, but it isn't up", a.Request)
			}
			delete(p.open, a.Request)
			p.tries = slices.DeleteFunc(p.tries, func(x try) bool { return x.id == a.Request })
		}
	}
}

func (p *play) answer(id RequestID) *playRequest {
	p.t.Helper()
	q := p.open[id]
	if q == nil || q.up {
		p.t.Fatalf("rule 1: request %d answered, but not owed an answer", id)
	}
	if p.now > q.at+q.TimeLeft+20*ms {
		p.t.Fatalf("rule 1: request %d answered %v after its client left", id, p.now-q.at-q.TimeLeft)
	}
	delete(p.open, id)
	return q
}

func (p *play) checkSend(a SendAttempt) {
	p.t.Helper()
	q := p.open[a.Request]
	if q == nil || q.up || q.out > 0 {
		p.t.Fatalf("rule 1: attempt for request %d, which is over or has one out", a.Request)
	}
	if len(q.tries) >= p.set.MaxAttempts {
		p.t.Fatalf("request %d has more than %d attempts", a.Request, p.set.MaxAttempts)
	}
	i := slices.IndexFunc(p.servers, func(s Endpoint) bool { return s.ID == a.Endpoint })
	to := p.servers[i]
	class := p.set.Classes[q.Class]
	for _, x := range q.tries {
		if !x.ran || class.Effect == Idempotent {
			continue
		}
		switch {
		case class.Effect == AtMostOnce,
			p.now > x.sent+class.DeduplicationWindow,
			class.Scope == ScopeZone && to.Zone != x.to.Zone,
			class.Scope == ScopeCell && to.Cell != x.to.Cell:
			p.t.Fatalf("rule 2: request %d of class %d sent again", q.ID, q.Class)
		}
	}
	if since, ok := p.bad[to.ID]; ok && p.now > since+time.Second {
		p.t.Fatalf("rule 3: sent to %d, told draining or gone %v ago", to.ID, p.now-since)
	}
	if to.StartedAt > 0 && p.now < to.StartedAt+p.set.SlowStartDuration {
		// No more than the share of one relay in what a window may hold, or one.
		sent := append(p.coldSent[to.ID], p.now)
		p.coldSent[to.ID] = sent
		n := 0
		for _, at := range sent {
			if at > p.now-p.set.OverloadWindow {
				n++
			}
		}
		age := float64(p.now-to.StartedAt) / float64(p.set.SlowStartDuration)
		share := p.set.InitialCapacity + (1-p.set.InitialCapacity)*age
		if most := 1 + 10*share*p.set.OverloadMultiple*p.set.OverloadWindow.Seconds(); float64(n) > most {
			p.t.Fatalf("rule 4: cold server %d sent %d in a window, %v at most", to.ID, n, most)
		}
	}
	q.out++
	x := try{id: q.ID, to: to, sent: p.now}
	q.tries = append(q.tries, x)
	p.tries = append(p.tries, x)
}

// Servers come and go by changes alone, for as long as the relay runs: those that are gone make room.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	b := New(testSettings(), 1)
	now := time.Duration(0)
	for id := EndpointID(1); id < 3000; id++ {
		now += time.Second
		b.Handle(now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: id, State: StateReady, Weight: 1}, {ID: id - 1, State: StateGone}}})
	}
	if n := len(b.fleet.servers); n > 3 {
		t.Errorf("%d servers are kept, of which one is there", n)
	}
}
