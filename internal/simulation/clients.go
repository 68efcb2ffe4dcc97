package simulation

import (
	"sort"
	"time"

	"lockroad/balancer"
)

// clientState is the state of a client.
type clientState uint8

const (
	stateGone        clientState = iota // it has left; its index may be reused
	stateConnecting                     // its request is on the way to a relay
	stateWaiting                        // its request is with a relay
	stateEstablished                    // it has a connection to a server
	stateAway                           // it connects again later, or has given up
)

// clientModel is one client, from its arrival until its lifetime ends.
type clientModel struct {
	state             clientState
	class             uint8
	returning         bool // it was established before
	retries           uint8
	zone              uint8
	load              float32 // current load, in mean connections
	meanLoad          float32 // mean over the connection's time
	group             uint32
	generation        uint32 // incremented with changes of state, which invalidates scheduled events
	relay             uint32
	server            int32  // of its attempt or connection; -1: none
	attemptGeneration uint32 // incremented at the start and end of each attempt
	connIndex         int32  // its index in the server's conns
	leavesAt          time.Duration
	requestedAt       time.Duration // when it last connected to a relay
	arrivedAt         time.Duration // when it first connected
	requestID         balancer.RequestID
	serverSilent      bool // its server is hung, and a heartbeat timeout is scheduled
}

// newClient adds a client, which connects to a relay.
func (s *Sim) newClient() {
	var id uint32
	if count := len(s.freeClients); count > 0 {
		id, s.freeClients = s.freeClients[count-1], s.freeClients[:count-1]
	} else {
		id = uint32(len(s.clients))
		s.clients = append(s.clients, clientModel{})
	}
	client := &s.clients[id]
	classIndex := s.drawClass()
	class := &s.Classes[classIndex]
	zone := s.rng.IntN(s.Zones)
	if s.rng.Float64() < s.ZoneSkew {
		zone = 0
	}
	*client = clientModel{
		class: uint8(classIndex), zone: uint8(zone), load: float32(s.uniform(class.LoadFactor) / s.loadMean), generation: client.generation + 1, attemptGeneration: client.attemptGeneration, server: -1,
		group: s.drawGroup(), arrivedAt: s.now,
	}
	client.meanLoad = client.load
	client.leavesAt = s.now + time.Duration(s.rng.ExpFloat64()*float64(s.MeanLifetime)*s.uniform(class.LifetimeFactor)/s.lifeMean)
	s.clientsByClass[classIndex]++
	s.statistics.clients++
	s.push(scheduledEvent{at: client.leavesAt, kind: eventLifetimeEnds, subject: id, generation: client.generation})
	s.connect(id)
}

func (s *Sim) drawClass() int {
	drawn := 0
	for x := s.rng.Float64(); drawn < len(s.Classes)-1 && x >= s.Classes[drawn].Share; drawn++ {
		x -= s.Classes[drawn].Share
	}
	return drawn
}

// drawGroup draws a group by popularity.
func (s *Sim) drawGroup() uint32 {
	x := s.rng.Float64() * s.groupWeights[len(s.groupWeights)-1]
	return uint32(sort.Search(len(s.groupWeights)-1, func(i int) bool { return s.groupWeights[i] >= x }))
}

// chooseRelay draws one of the relays that are up: of the client's zone if there are any, else of
// all zones. It reports false if no relay is up.
func (s *Sim) chooseRelay(zone int) (uint32, bool) {
	found, candidates := uint32(0), 0
	for _, anyZone := range []bool{false, true} {
		for i, relay := range s.relays {
			if relay.up && (anyZone || relay.zone == zone) {
				if candidates++; s.rng.IntN(candidates) == 0 {
					found = uint32(i)
				}
			}
		}
		if candidates > 0 {
			return found, true
		}
	}
	return 0, false
}

// connect sends a client's request to a relay.
func (s *Sim) connect(id uint32) {
	client := &s.clients[id]
	relay, ok := s.chooseRelay(int(client.zone))
	client.state, client.requestedAt = stateConnecting, s.now
	if !ok {
		s.retry(id, 0)
		return
	}
	client.relay = relay
	s.schedule(s.uniformDuration(s.ClientDelay), scheduledEvent{kind: eventRequestArrives, subject: id, generation: client.generation})
}

// requestArrives passes a client's request to its relay.
func (s *Sim) requestArrives(event scheduledEvent) {
	client := &s.clients[event.subject]
	if client.state != stateConnecting || client.generation != event.generation {
		return
	}
	relay := s.relays[client.relay]
	if !relay.up {
		s.retry(event.subject, 0)
		return
	}
	class := &s.Classes[client.class]
	client.state, client.server = stateWaiting, -1
	relay.lastRequestID++
	client.requestID = relay.lastRequestID
	relay.clientsByRequest[client.requestID] = event.subject
	s.statistics.requests++
	s.push(scheduledEvent{at: client.requestedAt + class.Deadline, kind: eventDeadline, subject: event.subject, generation: client.generation})
	s.handle(client.relay, balancer.Request{ID: client.requestID, Class: int(client.class), Item: uint64(event.subject) + 1, Group: uint64(client.group) + 1, TimeLeft: client.requestedAt + class.Deadline - s.now, Returning: client.returning})
}

// retry schedules the next connection of a client that was not served, unless it has used up its
// retries. A retryAfter of 0 means that the rejection carried none.
func (s *Sim) retry(id uint32, retryAfter time.Duration) {
	client := &s.clients[id]
	client.generation++
	s.push(scheduledEvent{at: client.leavesAt, kind: eventLifetimeEnds, subject: id, generation: client.generation})
	client.state, client.server = stateAway, -1
	if client.retries++; int(client.retries) > s.MaxRetries {
		return // it has given up, and counts as demand until its lifetime ends
	}
	wait := s.uniformDuration(s.Backoff) << (client.retries - 1)
	if retryAfter > 0 && s.rng.Float64() < s.RetryAfterCompliance {
		wait = max(wait, retryAfter)
	}
	s.schedule(wait, scheduledEvent{kind: eventClientReturns, subject: id, generation: client.generation})
}

// returnAfter schedules the next connection of a client that was migrated or disconnected.
func (s *Sim) returnAfter(id uint32, after time.Duration) {
	client := &s.clients[id]
	client.generation++
	client.state, client.server, client.returning, client.retries, client.serverSilent = stateAway, -1, true, 0, false
	s.push(scheduledEvent{at: client.leavesAt, kind: eventLifetimeEnds, subject: id, generation: client.generation})
	s.schedule(after, scheduledEvent{kind: eventClientReturns, subject: id, generation: client.generation})
}

// lifetimeEnds removes a client and ends its request or connection.
func (s *Sim) lifetimeEnds(event scheduledEvent) {
	client := &s.clients[event.subject]
	if client.generation != event.generation || client.state == stateGone {
		return
	}
	switch client.state {
	case stateWaiting:
		s.abandonRequest(event.subject)
	case stateEstablished:
		s.detach(event.subject)
		s.endRequest(event.subject, balancer.Outcome{Request: client.requestID, Endpoint: s.serverID(client.server), Status: balancer.StatusOK, Final: true})
	}
	s.clientsByClass[client.class]--
	s.statistics.departedClients++
	client.state = stateGone
	client.generation++
	s.freeClients = append(s.freeClients, event.subject)
}

// abandonRequest ends the request of a waiting client that no longer waits.
func (s *Sim) abandonRequest(id uint32) {
	client := &s.clients[id]
	s.cancelAttempt(client)
	relay := s.relays[client.relay]
	delete(relay.clientsByRequest, client.requestID)
	client.server = -1
	s.handle(client.relay, balancer.ClientLeft{Request: client.requestID})
}

// endRequest notifies a relay of the end of an established connection.
func (s *Sim) endRequest(id uint32, outcome balancer.Outcome) {
	client := &s.clients[id]
	relayIndex := client.relay
	delete(s.relays[relayIndex].clientsByRequest, client.requestID)
	s.handle(relayIndex, outcome)
}

// detach removes an established client from its server's connections.
func (s *Sim) detach(id uint32) {
	client := &s.clients[id]
	server := s.servers[client.server]
	last := server.conns[len(server.conns)-1]
	server.conns[client.connIndex] = last
	s.clients[last].connIndex = client.connIndex
	server.conns = server.conns[:len(server.conns)-1]
	server.load -= float64(client.load)
	server.connectionsByClass[client.class]--
	if server.connectionsByGroup[client.group]--; server.connectionsByGroup[client.group] == 0 {
		delete(server.connectionsByGroup, client.group)
		server.load -= s.GroupCost
	}
}

// breakConnection ends an established connection with a status other than its regular end. The
// client connects again after a delay.
func (s *Sim) breakConnection(id uint32, status balancer.AttemptStatus, after time.Duration) {
	client := &s.clients[id]
	s.detach(id)
	s.endRequest(id, balancer.Outcome{Request: client.requestID, Endpoint: s.serverID(client.server), Status: status, Final: true})
	s.returnAfter(id, after)
}
