package simulation

import (
	"math"
	"time"

	"lockroad/balancer"
)

// serverModel is an application server with its true state.
type serverModel struct {
	zone               int
	speed              float64 // of a core
	capacity           float64 // mean connections, warm
	startedAt          time.Duration
	state              balancer.EndpointState
	down               bool
	hung               bool
	hungAt             time.Duration
	speedFactor        float64 // of its speed; under 1 while it is slow
	conns              []uint32
	connectionsByGroup map[uint32]int
	load               float64
	pendingAttempts    int // in progress at it
	backlog            time.Duration
	delay              time.Duration   // of a message, as of the last tick
	setupsDoneAt       time.Duration   // when the set-ups that wait will be done
	connectionsByClass []int           // connections by class
	recentSetups       []time.Duration // times of set-ups within TipAfter, while it warms up
	drainNotifiedAt    []time.Duration // by relay: when it was notified of the drain; 0: not
	delayReported      []bool          // by relay: the last delay was over the least reported
	draining           bool
	unavailableSince   time.Duration   // if it is down or hung
	relaysNotifiedGone map[uint32]bool // relays that were notified of that
}

func (s *Sim) serverID(index int32) balancer.EndpointID { return balancer.EndpointID(index + 1) }

// newServer adds a server, in the zones in turn. startedAt 0 is long ago.
func (s *Sim) newServer(speed float64, born time.Duration) {
	s.servers = append(s.servers, &serverModel{
		zone: len(s.servers) % s.Zones, speed: speed, capacity: speed * float64(s.CoresPerServer) * s.ConnectionsPerCore, state: balancer.StateReady, speedFactor: 1, startedAt: born,
		connectionsByGroup: make(map[uint32]int), connectionsByClass: make([]int, len(s.Classes)), drainNotifiedAt: make([]time.Duration, s.Relays), delayReported: make([]bool, s.Relays), relaysNotifiedGone: make(map[uint32]bool),
	})
}

// addServer starts another server, which warms up.
func (s *Sim) addServer() {
	s.newServer(s.uniform(s.Speed), s.now)
	s.publishServer(len(s.servers) - 1)
	for id, r := range s.relays {
		if r.health != nil && r.up { // their files name it
			r.health.Replace(s.memberNames(), s.now)
			s.applyHealthChanges(uint32(id))
		}
	}
}

// drawServers draws n of the servers that are ready.
func (s *Sim) drawServers(n int) []int {
	var all []int
	for index, server := range s.servers {
		if server.state == balancer.StateReady && !server.down && !server.hung {
			all = append(all, index)
		}
	}
	s.rng.Shuffle(len(all), func(index, j int) { all[index], all[j] = all[j], all[index] })
	return all[:min(n, len(all))]
}

// slowStartShare returns the share of its capacity that a server has by now.
func (s *Sim) slowStartShare(server *serverModel) float64 {
	if server.startedAt == 0 || s.now >= server.startedAt+s.SlowStartDuration {
		return 1
	}
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(s.now-server.startedAt)/float64(s.SlowStartDuration)
}

// checkOverload makes a server fail that gets too many set-ups while it warms up.
func (s *Sim) checkOverload(server *serverModel) {
	if s.slowStartShare(server) >= 1 {
		server.recentSetups = server.recentSetups[:0]
		return
	}
	from := 0
	for from < len(server.recentSetups) && server.recentSetups[from] <= s.now-s.OverloadWindow {
		from++
	}
	server.recentSetups = append(server.recentSetups[from:], s.now)
	sustained := server.capacity * s.slowStartShare(server) / s.MeanLifetime.Seconds() * s.OverloadWindow.Seconds()
	if float64(len(server.recentSetups)) > max(2, s.OverloadMultiple*sustained) {
		s.statistics.overloaded++
		for index, one := range s.servers {
			if one == server {
				s.stopServer(index, true)
				s.schedule(s.OverloadDowntime, scheduledEvent{kind: eventServerRecovers, value: uint32(index)})
			}
		}
	}
}

// migrateClients makes a server that drains migrate a tenth of its clients.
func (s *Sim) migrateClients(index int) {
	server := s.servers[index]
	if !server.draining || server.down || len(server.conns) == 0 {
		return
	}
	for range int(math.Ceil(float64(len(server.conns)) / 10)) {
		id := server.conns[s.rng.IntN(len(server.conns))]
		s.statistics.migrations++
		s.breakConnection(id, balancer.StatusRedirected, s.uniformDuration(s.ReturnDelay))
	}
	s.schedule(500*time.Millisecond, scheduledEvent{kind: eventMigrateClients, value: uint32(index)})
}

// stopServer ends a server: its connections break. The end of one that was killed is
// published.
func (s *Sim) stopServer(index int, killed bool) {
	server := s.servers[index]
	if server.down {
		return
	}
	server.down, server.hung, server.speedFactor, server.backlog, server.setupsDoneAt = true, false, 1, 0, 0
	s.markUnavailable(server)
	server.state = balancer.StateGone
	for len(server.conns) > 0 {
		id := server.conns[len(server.conns)-1]
		s.statistics.brokenConnections++
		s.breakConnection(id, balancer.StatusReset, s.uniformDuration(s.ReturnDelay))
	}
	if killed {
		s.publishServer(index)
	}
}

// recoverServer ends a hang, slowness or downtime; a server that was down has just started.
func (s *Sim) recoverServer(index int) {
	server := s.servers[index]
	if server.down {
		server.down, server.draining, server.state, server.startedAt, server.recentSetups = false, false, balancer.StateReady, s.now, nil
		s.publishServer(index)
	}
	server.hung, server.speedFactor = false, 1
	for _, id := range server.conns {
		s.clients[id].serverSilent = false
	}
}

// markUnavailable notes since when a server serves nobody.
func (s *Sim) markUnavailable(server *serverModel) {
	server.unavailableSince = s.now
	clear(server.relaysNotifiedGone)
}

// tick advances the servers' loads, reports loads and delays to relays once a second, and counts
// service.
func (s *Sim) tick() {
	leastReported := s.leastReportedDelay()
	newSecond := (s.now-startTime)%time.Second < tickInterval
	for i, server := range s.servers {
		if server.down {
			continue
		}
		utilization := s.updateServer(server)
		if newSecond && len(server.conns) > 0 {
			s.changeLoads(i, server)
			s.reportDelays(i, server, leastReported)
		}
		if s.now > startTime {
			s.statistics.countService(s, server, utilization, tickInterval)
		}
	}
	if s.now > startTime {
		s.statistics.tick(s, tickInterval)
	}
	s.schedule(tickInterval, scheduledEvent{kind: eventTick})
}

// leastReportedDelay returns the delay from which on servers report theirs.
func (s *Sim) leastReportedDelay() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, class := range s.Classes {
		if class.MessageLatencyObjective > 0 {
			least = min(least, class.MessageLatencyObjective/3)
		}
	}
	return least
}

// updateServer brings a server's backlog and delay up to now, and returns its utilization.
func (s *Sim) updateServer(server *serverModel) float64 {
	capacity := server.capacity * server.speedFactor * s.slowStartShare(server)
	utilization := server.load / capacity
	// Demand beyond the capacity forms a backlog, which is worked off after.
	server.backlog = max(0, server.backlog+time.Duration((utilization-1)*float64(tickInterval)))
	if server.hung {
		server.delay = s.now - server.hungAt
	} else {
		server.delay = s.messageDelay(server, utilization) + server.backlog
	}
	return utilization
}

// minIdleShare bounds the delay of a server that is full.
const minIdleShare = 0.05

// messageDelay returns how long a message takes at a server of a utilization: as in M/G/1-PS,
// up to where the backlog dominates.
func (s *Sim) messageDelay(server *serverModel, utilization float64) time.Duration {
	return time.Duration(float64(s.IdleMessageTime) / (server.speed * server.speedFactor) / max(minIdleShare, 1-utilization))
}

// changedLoadShare is the share of a server's connections whose load changes each second.
const changedLoadShare = 0.2

// changeLoads changes the loads of some of a server's connections, and reports them.
func (s *Sim) changeLoads(index int, server *serverModel) {
	if s.LoadAmplitude == 0 {
		return
	}
	for slot := 0; slot < len(server.conns); slot++ {
		if s.rng.Float64() >= changedLoadShare {
			continue
		}
		client := &s.clients[server.conns[slot]]
		load := client.meanLoad * float32(1+s.LoadAmplitude*(2*s.rng.Float64()-1))
		server.load += float64(load) - float64(client.load)
		client.load = load
		s.handle(client.relay, balancer.ConnectionLoad{Request: client.requestID, Endpoint: s.serverID(int32(index)), Load: float64(load) / s.ConnectionsPerCore})
	}
}

// reportDelays reports to the relays that have connections to a server how long messages take
// there, while that is over the least reported, and once more when it is no longer.
func (s *Sim) reportDelays(index int, server *serverModel, leastReported time.Duration) {
	over := server.delay > leastReported
	connected := make([]bool, len(s.relays))
	for _, id := range server.conns {
		connected[s.clients[id].relay] = true
	}
	for relay, isConnected := range connected {
		if isConnected && (over || server.delayReported[relay]) {
			server.delayReported[relay] = over
			s.handle(uint32(relay), balancer.EndpointDelay{Endpoint: s.serverID(int32(index)), Delay: server.delay})
		}
	}
}
