package simulation

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockroad/balancer"
)

// Policies are the module and those that it is compared with, by their published rules:
//
//   - module: balancer.Balancer, the very decisions of the program.
//   - module-no-zones, module-no-notes, module-no-routes: the same without the preference
//     for servers of the own zone; without word of servers' delays, and so without slow
//     marks, relief and easing; and with no group, so without cached routes and with a draw
//     by chance instead of by hash.
//   - random: any ready server not yet tried.
//   - round-robin: the ready servers in turn, from a random one on.
//   - least-connections: the ready server with the fewest of this relay's connections.
//   - two-choices: of two at random the one with fewer (Mitzenmacher's power of two).
//   - bounded-hash: rendezvous hashing by group with bounded loads (Mirrokni and others):
//     the first by hash that has under 1.25 times the mean of this relay's connections.
//   - oracle: sees the true state of all servers; the ceiling for placing, as it moves nobody.
var Policies = []Policy{
	{"module", func(s *Sim, r int) Decider {
		return balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64())
	}},
	{"module-no-zones", func(s *Sim, r int) Decider {
		set := s.settings(s.relays[r].zone)
		set.CrossZoneCost = 0
		return balancer.New(set, s.rng.Uint64())
	}},
	{"module-no-notes", func(s *Sim, r int) Decider {
		return without{balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
			_, note := ev.(balancer.EndpointDelay)
			return ev, !note
		}}
	}},
	{"module-no-routes", func(s *Sim, r int) Decider {
		return without{balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
			if q, ok := ev.(balancer.Request); ok {
				q.Group, q.Item = 0, 0
				return q, true
			}
			return ev, true
		}}
	}},
	{"random", plain(func(p *simple, _ *asked, from []*known) *known { return from[p.rng.IntN(len(from))] })},
	{"round-robin", plain(func(p *simple, _ *asked, from []*known) *known {
		p.turn++
		for _, k := range from {
			if int(k.ID) > p.turn%p.most {
				p.turn = int(k.ID) - 1
				return k
			}
		}
		p.turn = int(from[0].ID) - 1
		return from[0]
	})},
	{"least-connections", plain(func(_ *simple, _ *asked, from []*known) *known {
		return slices.MinFunc(from, func(x, y *known) int { return cmp.Compare(x.conns, y.conns) })
	})},
	{"two-choices", plain(func(p *simple, _ *asked, from []*known) *known {
		x, y := from[p.rng.IntN(len(from))], from[p.rng.IntN(len(from))]
		if y.conns < x.conns {
			return y
		}
		return x
	})},
	{"bounded-hash", plain(func(_ *simple, q *asked, from []*known) *known {
		total := 1
		for _, k := range from {
			total += k.conns
		}
		bound := int(math.Ceil(1.25 * float64(total) / float64(len(from))))
		ranked := slices.Clone(from)
		slices.SortFunc(ranked, func(x, y *known) int { return cmp.Compare(rendezvous(q.Group, y.ID), rendezvous(q.Group, x.ID)) })
		for _, k := range ranked {
			if k.conns < bound {
				return k
			}
		}
		return ranked[0]
	})},
	{"oracle", plain(func(p *simple, q *asked, from []*known) *known {
		group := uint32(q.Group - 1)
		return slices.MinFunc(from, func(x, y *known) int { return cmp.Compare(p.truth(x, group), p.truth(y, group)) })
	})},
}

// without is a decider that does not see all there is.
type without struct {
	Decider
	see func(balancer.Event) (balancer.Event, bool)
}

// Handle passes on what the decider sees.
func (w without) Handle(now time.Duration, ev balancer.Event) []balancer.Action {
	if ev, ok := w.see(ev); ok {
		return w.Decider.Handle(now, ev)
	}
	return nil
}

// FindPolicy returns the policy of a name.
func FindPolicy(name string) (Policy, bool) {
	i := slices.IndexFunc(Policies, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return Policies[i], true
}

func rendezvous(group uint64, id balancer.EndpointID) uint64 {
	h := fnv.New64a()
	var b [12]byte
	for i := range 8 {
		b[i] = byte(group >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(id >> (8 * i))
	}
	h.Write(b[:])
	return h.Sum64()
}

// simple is a policy that keeps no more than the list and its own connections. It tries
// again past those that failed, backing off as the module does, and sends the clients of
// a server that drains away.
type simple struct {
	s        *Sim
	rng      *rand.Rand
	choose   func(p *simple, q *asked, from []*known) *known
	servers  map[balancer.EndpointID]*known
	order    []*known
	asks     map[balancer.RequestID]*asked
	timers   map[uint32]balancer.RequestID
	token    uint32
	turn     int
	most     int
	attempts int
	out      []balancer.Action
	from     []*known
}

type known struct {
	balancer.Endpoint
	conns int
	of    map[balancer.RequestID]bool
}

type asked struct {
	balancer.Request
	until time.Duration
	tries int
	tried []balancer.EndpointID
	at    *known
	up    bool
	timer uint32
}

func plain(choose func(*simple, *asked, []*known) *known) func(*Sim, int) Decider {
	return func(s *Sim, _ int) Decider {
		return &simple{s: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 2)), choose: choose, servers: make(map[balancer.EndpointID]*known),
			asks: make(map[balancer.RequestID]*asked), timers: make(map[uint32]balancer.RequestID), attempts: s.Attempts, turn: s.rng.IntN(len(s.servers))}
	}
}

// truth is how full a server really is, against what it can do: what a new connection
// would find, with a group that it has not.
func (p *simple) truth(k *known, group uint32) float64 {
	v := p.s.servers[k.ID-1]
	if v.down || v.hung || v.draining {
		return math.Inf(1)
	}
	capacity := v.cap * v.factor * p.s.warmth(v)
	if full := (v.load+1+float64(v.out))/capacity + v.backlog.Seconds(); v.groups[group] > 0 && full < groupTo {
		return full - 1 // it need not pay for the group again
	}
	return (v.load+1+p.s.GroupCost+float64(v.out))/capacity + v.backlog.Seconds()
}

// groupTo is how full the oracle makes a server to keep a group together.
const groupTo = 0.75

// Handle takes an event and returns what to do.
func (p *simple) Handle(now time.Duration, ev balancer.Event) []balancer.Action {
	p.out = p.out[:0]
	switch ev := ev.(type) {
	case balancer.EndpointList:
		p.listed(ev)
	case balancer.Request:
		q := &asked{Request: ev, until: now + ev.TimeLeft - 4*time.Millisecond}
		p.asks[ev.ID] = q
		p.wake(q, ev.TimeLeft-4*time.Millisecond)
		p.try(now, q)
	case balancer.Established:
		if q := p.asks[ev.Request]; q != nil && q.at != nil {
			q.up = true
			q.at.conns++
			q.at.of[q.ID] = true
		}
	case balancer.Outcome:
		q := p.asks[ev.Request]
		if q == nil {
			break
		}
		if q.up {
			p.drop(q)
			break
		}
		if q.at != nil {
			q.tried = append(q.tried, q.at.ID)
			q.at = nil
		}
		wait := 100 * time.Millisecond << max(0, q.tries-1)
		if q.tries >= p.attempts || now+wait >= q.until {
			p.refuse(q)
			break
		}
		p.wake(q, wait)
	case balancer.ClientLeft:
		if q := p.asks[ev.Request]; q != nil {
			p.drop(q)
		}
	case balancer.Timer:
		id, ok := p.timers[ev.Token]
		delete(p.timers, ev.Token)
		q := p.asks[id]
		switch {
		case !ok || q == nil || q.up:
		case now >= q.until:
			p.refuse(q)
		case q.at == nil && ev.Token == q.timer:
			p.try(now, q)
		}
	}
	return p.out
}

func (p *simple) wake(q *asked, after time.Duration) {
	p.token++
	p.timers[p.token] = q.ID
	q.timer = p.token
	p.out = append(p.out, balancer.SetTimer{Token: p.token, After: max(0, after)})
}

func (p *simple) refuse(q *asked) {
	p.out = append(p.out, balancer.Reject{Request: q.ID, RetryAfter: 100 * time.Millisecond})
	p.drop(q)
}

func (p *simple) drop(q *asked) {
	if q.up {
		q.at.conns--
		delete(q.at.of, q.ID)
	}
	delete(p.asks, q.ID)
}

// try sends a request, or lets it wait where there is no server.
func (p *simple) try(now time.Duration, q *asked) {
	p.from = p.from[:0]
	for _, k := range p.order {
		if k.State == balancer.StateReady && !slices.Contains(q.tried, k.ID) {
			p.from = append(p.from, k)
		}
	}
	if len(p.from) == 0 {
		p.refuse(q)
		return
	}
	q.at = p.choose(p, q, p.from)
	q.tries++
	wait := q.until - now
	if q.tries < p.attempts {
		wait /= 2
	}
	p.out = append(p.out, balancer.SendAttempt{Request: q.ID, Endpoint: q.at.ID, Timeout: wait})
}

func (p *simple) listed(l balancer.EndpointList) {
	for _, line := range l.Endpoints {
		k := p.servers[line.ID]
		if k == nil {
			k = &known{Endpoint: line, of: make(map[balancer.RequestID]bool)}
			p.servers[line.ID] = k
			p.order = append(p.order, k)
			slices.SortFunc(p.order, func(x, y *known) int { return cmp.Compare(x.ID, y.ID) })
		}
		k.Endpoint = line
		p.most = max(p.most, int(line.ID))
		if line.State != balancer.StateDraining {
			continue
		}
		ids := make([]balancer.RequestID, 0, len(k.of))
		for id := range k.of {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			p.out = append(p.out, balancer.Migrate{Request: id})
			p.drop(p.asks[id])
		}
	}
}
