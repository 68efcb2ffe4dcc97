package simulation

import (
	"time"

	"lockroad/balancer"
)

// networkDelay draws the one-way network delay between a relay and a server.
func (s *Sim) networkDelay(relayIndex uint32, serverIndex int32) time.Duration {
	if s.relays[relayIndex].zone == s.servers[serverIndex].zone {
		return s.uniformDuration(s.SameZoneDelay)
	}
	return s.uniformDuration(s.CrossZoneDelay)
}

// drainGracePeriod is how long after the notification of a drain a relay's attempts do not count as late.
const drainGracePeriod = 500 * time.Millisecond

// sendAttempt sends an attempt to a server. A timeout of 0 is none.
func (s *Sim) sendAttempt(relayIndex, id uint32, serverIndex int32, timeout time.Duration) {
	client := &s.clients[id]
	server := s.servers[serverIndex]
	client.server = serverIndex
	client.attemptGeneration++
	server.pendingAttempts++
	s.statistics.attempts++
	if at := server.drainNotifiedAt[relayIndex]; at > 0 && s.now > at+drainGracePeriod && server.state != balancer.StateReady {
		s.statistics.lateAfterDrain++
	}
	delay := s.networkDelay(relayIndex, serverIndex)
	if s.relays[relayIndex].zone != server.zone {
		s.statistics.crossZoneAttempts++
	}
	if timeout > 0 {
		s.schedule(timeout, scheduledEvent{kind: eventAttemptTimeout, subject: id, generation: client.attemptGeneration})
	}
	s.schedule(delay, scheduledEvent{kind: eventAttemptArrives, subject: id, generation: client.attemptGeneration, value: uint32(delay)})
}

// attemptArrives schedules a server's answer to an attempt: a connection, a rejection or none.
func (s *Sim) attemptArrives(event scheduledEvent) {
	client := &s.clients[event.subject]
	if client.state != stateWaiting || client.attemptGeneration != event.generation || client.server < 0 {
		return
	}
	server := s.servers[client.server]
	answer := func(status balancer.AttemptStatus, after time.Duration) {
		s.schedule(after+time.Duration(event.value), scheduledEvent{kind: eventAttemptResult, subject: event.subject, generation: client.attemptGeneration, value: uint32(status)})
	}
	switch {
	case server.down:
		answer(balancer.StatusConnectFailed, 0)
		return
	case server.hung:
		return // it accepts the connection and does not answer
	}
	s.checkOverload(server)
	if server.down {
		answer(balancer.StatusReset, 0)
		return
	}
	capacity := server.capacity * server.speedFactor * s.slowStartShare(server)
	work := time.Duration(float64(s.SetupWork) / (server.speed * server.speedFactor * float64(s.CoresPerServer) * s.slowStartShare(server)))
	queued := max(0, server.setupsDoneAt-s.now)
	if server.draining || float64(len(server.conns)) >= s.ConnectionLimitFactor*capacity || queued > time.Duration(s.SetupQueueLimit)*work {
		answer(balancer.StatusFull, 0)
		return
	}
	server.setupsDoneAt = max(server.setupsDoneAt, s.now) + work
	answer(balancer.StatusOK, server.setupsDoneAt-s.now+server.backlog)
}

// attemptResult passes a server's answer to the relay.
func (s *Sim) attemptResult(event scheduledEvent) {
	client := &s.clients[event.subject]
	if client.state != stateWaiting || client.attemptGeneration != event.generation || client.server < 0 {
		return
	}
	if status := balancer.AttemptStatus(event.value); status != balancer.StatusOK {
		s.attemptFailed(event.subject, status)
		return
	}
	server := s.servers[client.server]
	if server.down {
		s.attemptFailed(event.subject, balancer.StatusReset)
		return
	}
	s.recordAttempt(client.relay, client.server, balancer.StatusOK)
	if client.state != stateWaiting || client.attemptGeneration != event.generation || client.server < 0 {
		return // the decider acted on this request when its health check changed the server's state
	}
	server.pendingAttempts--
	client.state, client.retries = stateEstablished, 0
	client.generation++
	s.push(scheduledEvent{at: client.leavesAt, kind: eventLifetimeEnds, subject: event.subject, generation: client.generation})
	s.attach(event.subject)
	s.statistics.countEstablished(s, client)
	if server.hung {
		s.scheduleHeartbeatTimeout(event.subject)
	}
	relayIndex, id := client.relay, client.requestID
	s.handle(relayIndex, balancer.Established{Request: id, Endpoint: s.serverID(client.server), SetupTime: s.now - client.requestedAt})
	if client := &s.clients[event.subject]; client.state == stateEstablished && client.requestID == id && client.relay == relayIndex {
		s.handle(relayIndex, balancer.ConnectionLoad{Request: id, Endpoint: s.serverID(client.server), Load: float64(client.load) / s.ConnectionsPerCore})
	}
}

// attemptFailed passes the failure of an attempt to the relay.
func (s *Sim) attemptFailed(id uint32, status balancer.AttemptStatus) {
	client := &s.clients[id]
	serverIndex, request := client.server, client.requestID
	s.cancelAttempt(client)
	s.statistics.failedAttempts++
	if s.recordAttempt(client.relay, serverIndex, status); client.state != stateWaiting || client.requestID != request || client.server >= 0 {
		return // the decider acted on this request when its health check changed the server's state
	}
	s.handle(client.relay, balancer.Outcome{Request: client.requestID, Endpoint: s.serverID(serverIndex), Status: status})
}

// cancelAttempt ends the attempt of a waiting client, if it has one.
func (s *Sim) cancelAttempt(client *clientModel) {
	if client.server >= 0 {
		s.servers[client.server].pendingAttempts--
	}
	client.server = -1
	client.attemptGeneration++
}

// attach adds an established client to its server's connections.
func (s *Sim) attach(id uint32) {
	client := &s.clients[id]
	server := s.servers[client.server]
	client.connIndex = int32(len(server.conns))
	server.conns = append(server.conns, id)
	server.load += float64(client.load)
	server.connectionsByClass[client.class]++
	if server.connectionsByGroup[client.group]++; server.connectionsByGroup[client.group] == 1 {
		server.load += s.GroupCost
	}
}
