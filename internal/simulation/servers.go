package simulation

import (
	"math"
	"time"

	"lockroad/balancer"
)

// serverModel is an application server.
type serverModel struct {
	zone               int
	speed              float64 // of a core
	capacity           float64 // mean connections, after its slow start
	startedAt          time.Duration
	state              balancer.EndpointState
	down               bool
	hung               bool
	hungAt             time.Duration
	speedFactor        float64  // below 1 while it is slow
	conns              []uint32 // indices of clients
	connectionsByGroup map[uint32]int
	load               float64         // in mean connections, with the cost of groups
	pendingAttempts    int             // attempts without an answer yet
	backlog            time.Duration   // time to work off past overload
	delay              time.Duration   // of a message, at the last tick
	setupsDoneAt       time.Duration   // when the last queued set-up will be done
	connectionsByClass []int           // numbers of connections
	recentSetups       []time.Duration // times of set-ups within OverloadWindow, during its slow start
	drainNotifiedAt    []time.Duration // by relay: when it was notified that the server is not ready; 0: not notified
	delayReported      []bool          // by relay: the last reported delay was over the threshold
	draining           bool
	unavailableSince   time.Duration   // while it is down or hung
	relaysNotifiedGone map[uint32]bool // relays that were notified that it is down or hung
}

// serverID returns the endpoint ID of a server.
func (s *Sim) serverID(index int32) balancer.EndpointID { return balancer.EndpointID(index + 1) }

// newServer adds a server in the next zone. One with a startedAt of 0 has its full capacity.
func (s *Sim) newServer(speed float64, startedAt time.Duration) {
	s.servers = append(s.servers, &serverModel{
		zone: len(s.servers) % s.Zones, speed: speed, capacity: speed * float64(s.CoresPerServer) * s.ConnectionsPerCore, state: balancer.StateReady, speedFactor: 1, startedAt: startedAt,
		connectionsByGroup: make(map[uint32]int), connectionsByClass: make([]int, len(s.Classes)), drainNotifiedAt: make([]time.Duration, s.Relays), delayReported: make([]bool, s.Relays), relaysNotifiedGone: make(map[uint32]bool),
	})
}

// addServer starts a server, which begins with a slow start.
func (s *Sim) addServer() {
	s.newServer(s.uniform(s.Speed), s.now)
	s.publishServer(len(s.servers) - 1)
	for id, relay := range s.relays {
		if relay.health != nil && relay.up {
			relay.health.Replace(s.memberNames(), s.now)
			s.applyHealthChanges(uint32(id))
		}
	}
}

// drawServers draws count of the ready servers, or all if there are fewer.
func (s *Sim) drawServers(count int) []int {
	var ready []int
	for index, server := range s.servers {
		if server.state == balancer.StateReady && !server.down && !server.hung {
			ready = append(ready, index)
		}
	}
	s.rng.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(count, len(ready))]
}

// slowStartShare returns the share of its capacity that a server has now.
func (s *Sim) slowStartShare(server *serverModel) float64 {
	if server.startedAt == 0 || s.now >= server.startedAt+s.SlowStartDuration {
		return 1
	}
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(s.now-server.startedAt)/float64(s.SlowStartDuration)
}

// checkOverload stops a server that received too many set-ups during its slow start.
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
		for index, candidate := range s.servers {
			if candidate == server {
				s.stopServer(index, true)
				s.schedule(s.OverloadDowntime, scheduledEvent{kind: eventServerRecovers, value: uint32(index)})
			}
		}
	}
}

// migrateClients migrates a tenth of a draining server's clients, and schedules the next tenth.
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

// stopServer stops a server and breaks its connections. If it was killed rather than drained, the
// change is published.
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

// recoverServer ends a server's hang, slowness or downtime. A server that was down starts again.
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

// markUnavailable records that a server has gone down or is hung.
func (s *Sim) markUnavailable(server *serverModel) {
	server.unavailableSince = s.now
	clear(server.relaysNotifiedGone)
}

// tick updates the servers and the statistics. Once per second, it reports loads and delays to relays.
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

// leastReportedDelay returns the threshold above which servers report their delays.
func (s *Sim) leastReportedDelay() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, class := range s.Classes {
		if class.MessageLatencyObjective > 0 {
			least = min(least, class.MessageLatencyObjective/3)
		}
	}
	return least
}

// updateServer updates a server's backlog and delay, and returns its utilization.
func (s *Sim) updateServer(server *serverModel) float64 {
	capacity := server.capacity * server.speedFactor * s.slowStartShare(server)
	utilization := server.load / capacity
	// Load beyond the capacity adds to a backlog, which shrinks when the load falls below it.
	server.backlog = max(0, server.backlog+time.Duration((utilization-1)*float64(tickInterval)))
	if server.hung {
		server.delay = s.now - server.hungAt
	} else {
		server.delay = s.messageDelay(server, utilization) + server.backlog
	}
	return utilization
}

// minIdleShare bounds the delay of a saturated server.
const minIdleShare = 0.05

// messageDelay returns the delay of a message at a server without a backlog: that of an M/G/1
// processor-sharing queue, bounded near saturation.
func (s *Sim) messageDelay(server *serverModel, utilization float64) time.Duration {
	return time.Duration(float64(s.IdleMessageTime) / (server.speed * server.speedFactor) / max(minIdleShare, 1-utilization))
}

// changedLoadShare is the share of a server's connections whose load changes each second.
const changedLoadShare = 0.2

// changeLoads draws new loads for some of a server's connections and reports them to relays.
func (s *Sim) changeLoads(index int, server *serverModel) {
	if s.LoadAmplitude == 0 {
		return
	}
	for connIndex := 0; connIndex < len(server.conns); connIndex++ {
		if s.rng.Float64() >= changedLoadShare {
			continue
		}
		client := &s.clients[server.conns[connIndex]]
		load := client.meanLoad * float32(1+s.LoadAmplitude*(2*s.rng.Float64()-1))
		server.load += float64(load) - float64(client.load)
		client.load = load
		s.handle(client.relay, balancer.ConnectionLoad{Request: client.requestID, Endpoint: s.serverID(int32(index)), Load: float64(load) / s.ConnectionsPerCore})
	}
}

// reportDelays reports a server's message delay to the relays with connections to it while the
// delay is over the threshold, and once more when it has fallen below.
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
