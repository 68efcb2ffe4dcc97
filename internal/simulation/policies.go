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

// Policies are the balancer, variants of it and baselines:
//
//   - module: balancer.Balancer.
//   - module-no-zones: the balancer without its preference for servers in the relay's zone.
//   - module-no-notes: the balancer without reports of servers' delays, and so without outlier
//     detection and relief.
//   - module-no-routes: the balancer without groups, and so without cached routes and with
//     draws that are random instead of hashed.
//   - random: any ready server that the request has not tried.
//   - round-robin: the ready servers in turn, from a random one on.
//   - least-connections: the ready server with the fewest connections of this relay.
//   - two-choices: of two random ready servers, the one with fewer connections of this relay.
//   - bounded-hash: rendezvous hashing by group with bounded loads: the first server by hash
//     with fewer than 1.25 times the mean of this relay's connections.
//   - oracle: the ready server with the lowest utilization by the true state of all servers, an
//     upper bound of placement. It does not move connections to balance load.
var Policies = []Policy{
	{"module", func(s *Sim, relayIndex int) Decider {
		return balancer.New(s.settings(s.relays[relayIndex].zone), s.rng.Uint64())
	}},
	{"module-no-zones", func(s *Sim, relayIndex int) Decider {
		settings := s.settings(s.relays[relayIndex].zone)
		settings.CrossZoneCost = 0
		return balancer.New(settings, s.rng.Uint64())
	}},
	{"module-no-notes", func(sim *Sim, relayIndex int) Decider {
		return eventFilter{balancer.New(sim.settings(sim.relays[relayIndex].zone), sim.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
			_, isDelay := ev.(balancer.EndpointDelay)
			return ev, !isDelay
		}}
	}},
	{"module-no-routes", func(sim *Sim, relayIndex int) Decider {
		return eventFilter{balancer.New(sim.settings(sim.relays[relayIndex].zone), sim.rng.Uint64()), func(ev balancer.Event) (balancer.Event, bool) {
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
	{"round-robin", baselinePolicy(func(decider *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		decider.lastIndex++
		for _, endpoint := range candidates {
			if int(endpoint.ID) > decider.lastIndex%decider.highestID {
				decider.lastIndex = int(endpoint.ID) - 1
				return endpoint
			}
		}
		decider.lastIndex = int(candidates[0].ID) - 1
		return candidates[0]
	})},
	{"least-connections", baselinePolicy(func(_ *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		return slices.MinFunc(candidates, func(x, y *knownEndpoint) int { return cmp.Compare(x.conns, y.conns) })
	})},
	{"two-choices", baselinePolicy(func(decider *baseline, _ *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		x, y := candidates[decider.rng.IntN(len(candidates))], candidates[decider.rng.IntN(len(candidates))]
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
	{"oracle", baselinePolicy(func(decider *baseline, request *pendingRequest, candidates []*knownEndpoint) *knownEndpoint {
		group := uint32(request.Group - 1)
		return slices.MinFunc(candidates, func(x, y *knownEndpoint) int {
			return cmp.Compare(decider.trueUtilization(x, group), decider.trueUtilization(y, group))
		})
	})},
}

// eventFilter is a decider whose events are transformed, or dropped if transform reports false.
type eventFilter struct {
	Decider
	transform func(balancer.Event) (balancer.Event, bool)
}

// Handle passes the transformed event to the decider.
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

// rendezvous returns the weight of a server for a group in rendezvous hashing.
func rendezvous(group uint64, id balancer.EndpointID) uint64 {
	hash := fnv.New64a()
	var key [12]byte
	for i := range 8 {
		key[i] = byte(group >> (8 * i))
	}
	for i := range 4 {
		key[8+i] = byte(id >> (8 * i))
	}
	hash.Write(key[:])
	return hash.Sum64()
}

// baseline is a decider that chooses by the endpoint list and its own connections. It retries
// at other servers with exponential backoff, and migrates the clients of draining servers.
type baseline struct {
	sim             *Sim
	rng             *rand.Rand
	choose          func(p *baseline, request *pendingRequest, candidates []*knownEndpoint) *knownEndpoint
	endpoints       map[balancer.EndpointID]*knownEndpoint
	sortedEndpoints []*knownEndpoint // by ID
	requests        map[balancer.RequestID]*pendingRequest
	requestsByTimer map[uint32]balancer.RequestID
	lastToken       uint32
	lastIndex       int // round-robin: one less than the ID of the last chosen endpoint
	highestID       int // of all endpoints
	maxAttempts     int
	actions         []balancer.Action // returned by Handle, reused
	candidates      []*knownEndpoint  // reused
}

// knownEndpoint is a server in a baseline's endpoint list, with the connections of this relay.
type knownEndpoint struct {
	balancer.Endpoint
	conns    int
	requests map[balancer.RequestID]bool
}

// pendingRequest is a request at a baseline, from its arrival to the end of its connection.
type pendingRequest struct {
	balancer.Request
	deadline    time.Duration
	attempts    int
	tried       []balancer.EndpointID
	endpoint    *knownEndpoint
	established bool
	timer       uint32 // token of the timer that was set last
}

// baselinePolicy returns the constructor of baselines that choose, with the given function, among the
// ready servers that a request has not tried.
func baselinePolicy(choose func(*baseline, *pendingRequest, []*knownEndpoint) *knownEndpoint) func(*Sim, int) Decider {
	return func(s *Sim, _ int) Decider {
		return &baseline{sim: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 2)), choose: choose, endpoints: make(map[balancer.EndpointID]*knownEndpoint),
			requests: make(map[balancer.RequestID]*pendingRequest), requestsByTimer: make(map[uint32]balancer.RequestID), maxAttempts: s.MaxAttempts, lastIndex: s.rng.IntN(len(s.servers))}
	}
}

// trueUtilization returns the utilization that a server would have with a new connection of a
// group. It is lowered by 1 where the server already serves the group.
func (p *baseline) trueUtilization(endpoint *knownEndpoint, group uint32) float64 {
	server := p.sim.servers[endpoint.ID-1]
	if server.down || server.hung || server.draining {
		return math.Inf(1)
	}
	capacity := server.capacity * server.speedFactor * p.sim.slowStartShare(server)
	if utilization := (server.load+1+float64(server.pendingAttempts))/capacity + server.backlog.Seconds(); server.connectionsByGroup[group] > 0 && utilization < oracleGroupLimit {
		return utilization - 1 // prefers servers that already serve the group
	}
	return (server.load+1+p.sim.GroupCost+float64(server.pendingAttempts))/capacity + server.backlog.Seconds()
}

// oracleGroupLimit is the utilization below which the oracle keeps a group on a server that serves it.
const oracleGroupLimit = 0.75

// Handle handles an event and returns the actions to perform.
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

// sendAttempt sends an attempt to a ready server not yet tried, or rejects the request if there is none.
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
	timeout := request.deadline - now
	if request.attempts < p.maxAttempts {
		timeout /= 2
	}
	p.actions = append(p.actions, balancer.SendAttempt{Request: request.ID, Endpoint: request.endpoint.ID, Timeout: timeout})
}

// updateList applies an endpoint list and migrates the clients of draining servers.
func (p *baseline) updateList(list balancer.EndpointList) {
	for _, entry := range list.Endpoints {
		endpoint := p.endpoints[entry.ID]
		if endpoint == nil {
			endpoint = &knownEndpoint{Endpoint: entry, requests: make(map[balancer.RequestID]bool)}
			p.endpoints[entry.ID] = endpoint
			p.sortedEndpoints = append(p.sortedEndpoints, endpoint)
			slices.SortFunc(p.sortedEndpoints, func(x, y *knownEndpoint) int { return cmp.Compare(x.ID, y.ID) })
		}
		endpoint.Endpoint = entry
		p.highestID = max(p.highestID, int(entry.ID))
		if entry.State != balancer.StateDraining {
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
