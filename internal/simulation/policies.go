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

// Policies are the balancer and those that it is compared with, by their published rules:
//
//   - module: balancer.Balancer, the decisions of a relay.
//   - module-no-zones, module-no-notes, module-no-routes: the same without the preference
//     for servers of the own zone; without reports of servers' delays, and so without
//     outliers, relief and recovery; and with no group, so without cached routes and with a draw
//     by chance instead of by hash.
//   - random: any ready server not yet tried.
//   - round-robin: the ready servers in turn, from a random one on.
//   - least-connections: the ready server with the fewest of this relay's connections.
//   - two-choices: of two at random the one with fewer (Mitzenmacher's power of two).
//   - bounded-hash: rendezvous hashing by group with bounded loads (Mirrokni and others):
//     the first by hash that has under 1.25 times the mean of this relay's connections.
//   - oracle: sees the true state of all servers; the upper bound of placement, as it migrates nobody.
var Policies = []Policy{
	{"module", func(s *Sim, r int) Decider {
		return balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64())
	}},
	{"module-no-zones", func(s *Sim, r int) Decider {
		settings := s.settings(s.relays[r].zone)
		settings.CrossZoneCost = 0
		return balancer.New(settings, s.rng.Uint64())
	}},
	{"module-no-notes", func(s *Sim, r int) Decider {
		return eventFilter{balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
			_, note := ev.(balancer.EndpointDelay)
			return ev, !note
		}}
	}},
	{"module-no-routes", func(s *Sim, r int) Decider {
		return eventFilter{balancer.New(s.settings(s.relays[r].zone), s.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
			if request, ok := ev.(balancer.Request); ok {
				request.Group, request.Item = 0, 0
				return request, true
			}
			return ev, true
		}}
	}},
	{"random", baselinePolicy(func(p *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		return candidates[p.rng.IntN(len(candidates))]
	})},
	{"round-robin", baselinePolicy(func(p *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		p.lastIndex++
		for _, endpoint := range candidates {
			if int(endpoint.ID) > p.lastIndex%p.highestID {
				p.lastIndex = int(endpoint.ID) - 1
				return endpoint
			}
		}
		p.lastIndex = int(candidates[0].ID) - 1
		return candidates[0]
	})},
	{"least-connections", baselinePolicy(func(_ *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		return slices.MinFunc(candidates, func(x, y *knownEndpoint) int { return cmp.Compare(x.conns, y.conns) })
	})},
	{"two-choices", baselinePolicy(func(p *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		x, y := candidates[p.rng.IntN(len(candidates))], candidates[p.rng.IntN(len(candidates))]
		if y.conns < x.conns {
			return y
		}
		return x
	})},
	{"bounded-hash", baselinePolicy(func(_ *baseline, request *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		total := 1
		for _, endpoint := range candidates {
			total += endpoint.conns
		}
		bound := int(math.Ceil(1.25 * float64(total) / float64(len(candidates))))
		ranked := slices.Clone(candidates)
		slices.SortFunc(ranked, func(x, y *knownEndpoint) int {
			return cmp.Compare(rendezvous(request.Group, y.ID), rendezvous(request.Group, x.ID))
		})
		for _, endpoint := range ranked {
			if endpoint.conns < bound {
				return endpoint
			}
		}
		return ranked[0]
	})},
	{"oracle", baselinePolicy(func(p *baseline, request *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		group := uint32(request.Group - 1)
		return slices.MinFunc(candidates, func(x, y *knownEndpoint) int {
			return cmp.Compare(p.trueUtilization(x, group), p.trueUtilization(y, group))
		})
	})},
}

// eventFilter is a decider that does not get all events, or not as they are.
type eventFilter struct {
	Decider
	transform func(balancer.Event) (balancer.Event, bool)
}

// Handle passes on what the decider gets.
func (w eventFilter) Handle(now time.Duration, ev balancer.Event) []balancer.Action {
	if ev, ok := w.transform(ev); ok {
		return w.Decider.Handle(now, ev)
	}
	return nil
}

// FindPolicy returns the policy of a name, if there is one.
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

// baseline is a policy that knows no more than the endpoint list and its own connections. It
// retries at other servers, backing off as the balancer does, and migrates the clients of a
// server that drains.
type baseline struct {
	sim             *Sim
	rng             *rand.Rand
	choose          func(p *baseline, request *pendingRequest, candidates []*knownEndpoint) *knownEndpoint
	endpoints       map[balancer.EndpointID]*knownEndpoint
	sortedEndpoints []*knownEndpoint
	requests        map[balancer.RequestID]*pendingRequest
	requestsByTimer map[uint32]balancer.RequestID
	lastToken       uint32
	lastIndex       int
	highestID       int
	maxAttempts     int
	actions         []balancer.Action
	candidates      []*knownEndpoint
}

type knownEndpoint struct {
	balancer.Endpoint
	conns    int
	requests map[balancer.RequestID]bool
}

type pendingRequest struct {
	balancer.Request
	deadline    time.Duration
	attempts    int
	tried       []balancer.EndpointID
	endpoint    *knownEndpoint
	established bool
	timer       uint32
}

func baselinePolicy(choose func(*baseline, *pendingRequest, []*knownEndpoint) *knownEndpoint) func(*Sim, int) Decider {
	return func(s *Sim, _ int) Decider {
		return &baseline{sim: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 2)), choose: choose, endpoints: make(map[balancer.EndpointID]*knownEndpoint),
			requests: make(map[balancer.RequestID]*pendingRequest), requestsByTimer: make(map[uint32]balancer.RequestID), maxAttempts: s.MaxAttempts, lastIndex: s.rng.IntN(len(s.servers))}
	}
}

// trueUtilization is the utilization that a server would have with a new connection of a group, by
// its true state.
func (p *baseline) trueUtilization(endpoint *knownEndpoint, group uint32) float64 {
	v := p.sim.servers[endpoint.ID-1]
	if v.down || v.hung || v.draining {
		return math.Inf(1)
	}
	capacity := v.capacity * v.speedFactor * p.sim.slowStartShare(v)
	if full := (v.load+1+float64(v.pendingAttempts))/capacity + v.backlog.Seconds(); v.connectionsByGroup[group] > 0 && full < oracleGroupLimit {
		return full - 1 // it need not pay for the group again
	}
	return (v.load+1+p.sim.GroupCost+float64(v.pendingAttempts))/capacity + v.backlog.Seconds()
}

// oracleGroupLimit is the utilization up to which the oracle keeps a group together.
const oracleGroupLimit = 0.75

// Handle takes an event and returns what to do.
func (p *baseline) Handle(now time.Duration, ev balancer.Event) []balancer.Action {
	p.actions = p.actions[:0]
	switch ev := ev.(type) {
	case balancer.EndpointList:
		p.updateList(ev)
	case balancer.Request:
		request := &pendingRequest{Request: ev, deadline: now + ev.TimeLeft - 4*time.Millisecond}
		p.requests[ev.ID] = request
		p.setTimer(request, ev.TimeLeft-4*time.Millisecond)
		p.sendAttempt(now, request)
	case balancer.Established:
		if request := p.requests[ev.Request]; request != nil && request.endpoint != nil {
			request.established = true
			request.endpoint.conns++
			request.endpoint.requests[request.ID] = true
		}
	case balancer.Outcome:
		request := p.requests[ev.Request]
		if request == nil {
			break
		}
		if request.established {
			p.removeRequest(request)
			break
		}
		if request.endpoint != nil {
			request.tried = append(request.tried, request.endpoint.ID)
			request.endpoint = nil
		}
		wait := 100 * time.Millisecond << max(0, request.attempts-1)
		if request.attempts >= p.maxAttempts || now+wait >= request.deadline {
			p.reject(request)
			break
		}
		p.setTimer(request, wait)
	case balancer.ClientLeft:
		if request := p.requests[ev.Request]; request != nil {
			p.removeRequest(request)
		}
	case balancer.Timer:
		id, ok := p.requestsByTimer[ev.Token]
		delete(p.requestsByTimer, ev.Token)
		request := p.requests[id]
		switch {
		case !ok || request == nil || request.established:
		case now >= request.deadline:
			p.reject(request)
		case request.endpoint == nil && ev.Token == request.timer:
			p.sendAttempt(now, request)
		}
	}
	return p.actions
}

func (p *baseline) setTimer(request *pendingRequest, after time.Duration) {
	p.lastToken++
	p.requestsByTimer[p.lastToken] = request.ID
	request.timer = p.lastToken
	p.actions = append(p.actions, balancer.SetTimer{Token: p.lastToken, After: max(0, after)})
}

func (p *baseline) reject(request *pendingRequest) {
	p.actions = append(p.actions, balancer.Reject{Request: request.ID, RetryAfter: 100 * time.Millisecond})
	p.removeRequest(request)
}

func (p *baseline) removeRequest(request *pendingRequest) {
	if request.established {
		request.endpoint.conns--
		delete(request.endpoint.requests, request.ID)
	}
	delete(p.requests, request.ID)
}

// sendAttempt sends an sendAttempt, or rejects the request where there is no server.
func (p *baseline) sendAttempt(now time.Duration, request *pendingRequest) {
	p.candidates = p.candidates[:0]
	for _, endpoint := range p.sortedEndpoints {
		if endpoint.State == balancer.StateReady && !slices.Contains(request.tried, endpoint.ID) {
			p.candidates = append(p.candidates, endpoint)
		}
	}
	if len(p.candidates) == 0 {
		p.reject(request)
		return
	}
	request.endpoint = p.choose(p, request, p.candidates)
	request.attempts++
	wait := request.deadline - now
	if request.attempts < p.maxAttempts {
		wait /= 2
	}
	p.actions = append(p.actions, balancer.SendAttempt{Request: request.ID, Endpoint: request.endpoint.ID, Timeout: wait})
}

func (p *baseline) updateList(l balancer.EndpointList) {
	for _, line := range l.Endpoints {
		endpoint := p.endpoints[line.ID]
		if endpoint == nil {
			endpoint = &knownEndpoint{Endpoint: line, requests: make(map[balancer.RequestID]bool)}
			p.endpoints[line.ID] = endpoint
			p.sortedEndpoints = append(p.sortedEndpoints, endpoint)
			slices.SortFunc(p.sortedEndpoints, func(x, y *knownEndpoint) int { return cmp.Compare(x.ID, y.ID) })
		}
		endpoint.Endpoint = line
		p.highestID = max(p.highestID, int(line.ID))
		if line.State != balancer.StateDraining {
			continue
		}
		ids := make([]balancer.RequestID, 0, len(endpoint.requests))
		for id := range endpoint.requests {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			p.actions = append(p.actions, balancer.Migrate{Request: id})
			p.removeRequest(p.requests[id])
		}
	}
}
