package simulation

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// relayModel is one relay with its decider.
type relayModel struct {
	health           *healthcheck.Tracker // nil if the relay receives an endpoint list
	zone             int
	decider          Decider
	up               bool
	incarnation      uint32                        // number of starts; events of earlier incarnations are ignored
	clientsByRequest map[balancer.RequestID]uint32 // indices of clients
	lastRequestID    balancer.RequestID
}

// startRelay starts a relay with a new decider and the complete endpoint list. If RestoreSnapshots is
// set, it restores the snapshot of the relay's previous incarnation.
func (s *Sim) startRelay(id uint32) {
	relay := s.relays[id]
	relay.up, relay.clientsByRequest = true, make(map[balancer.RequestID]uint32)
	relay.incarnation++
	previous, _ := relay.decider.(*balancer.Balancer)
	relay.decider = s.newDecider(s, int(id))
	endpoints := make([]balancer.Endpoint, len(s.servers))
	for i := range s.servers {
		if endpoints[i] = s.listEntry(i); s.UseHealthChecks {
			endpoints[i].State = balancer.StateReady // until its probes fail
		}
	}
	s.handle(id, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: endpoints})
	if s.UseHealthChecks {
		s.startHealthChecks(id)
	}
	if current, ok := relay.decider.(*balancer.Balancer); ok && previous != nil && s.RestoreSnapshots {
		current.Restore(s.now, previous.Snapshot())
	}
}

// stopRelay stops a relay. Its clients connect again.
func (s *Sim) stopRelay(id uint32) {
	relay := s.relays[id]
	relay.up = false
	for i := range s.clients {
		client := &s.clients[i]
		if client.relay != id {
			continue
		}
		switch client.state {
		case stateEstablished:
			s.detach(uint32(i))
			s.statistics.migrations++ // a relay migrates its clients before it stops
			s.returnAfter(uint32(i), s.uniformDuration(s.ReturnDelay))
		case stateWaiting:
			s.cancelAttempt(client)
			s.retry(uint32(i), 0)
		}
	}
}

// handle passes an event to a relay's decider and performs the returned actions.
func (s *Sim) handle(id uint32, event balancer.Event) {
	relay := s.relays[id]
	if !relay.up {
		return
	}
	for _, action := range relay.decider.Handle(s.now, event) {
		switch action := action.(type) {
		case balancer.SetTimer:
			s.schedule(action.After, scheduledEvent{kind: eventTimer, subject: id, generation: action.Token, value: relay.incarnation})
		case balancer.SendAttempt:
			if client, ok := relay.clientsByRequest[action.Request]; ok {
				s.sendAttempt(id, client, int32(action.Endpoint)-1, action.Timeout)
			}
		case balancer.Reject:
			if client, ok := relay.clientsByRequest[action.Request]; ok {
				s.endRejectedRequest(client, action.RetryAfter)
			}
		case balancer.Fail:
			if client, ok := relay.clientsByRequest[action.Request]; ok {
				s.endRejectedRequest(client, 0)
			}
		case balancer.Migrate:
			if client, ok := relay.clientsByRequest[action.Request]; ok && s.clients[client].state == stateEstablished {
				delete(relay.clientsByRequest, action.Request)
				s.detach(client)
				s.statistics.migrations++
				s.returnAfter(client, s.uniformDuration(s.ReturnDelay))
			}
		}
	}
}

// endRejectedRequest ends the request of a waiting client that its relay rejected.
func (s *Sim) endRejectedRequest(id uint32, retryAfter time.Duration) {
	client := &s.clients[id]
	if client.state != stateWaiting {
		return
	}
	delete(s.relays[client.relay].clientsByRequest, client.requestID)
	s.cancelAttempt(client)
	s.statistics.rejected++
	s.retry(id, retryAfter)
}

// listEntry returns a server's entry in the endpoint list.
func (s *Sim) listEntry(serverIndex int) balancer.Endpoint {
	server := s.servers[serverIndex]
	return balancer.Endpoint{ID: s.serverID(int32(serverIndex)), State: server.state, Zone: server.zone, Size: 1, StartedAt: server.startedAt}
}

// publishServer schedules the delivery of a server's list entry to all relays, each after its own delay.
func (s *Sim) publishServer(serverIndex int) {
	if s.UseHealthChecks {
		return
	}
	for relay := range s.relays {
		s.schedule(s.uniformDuration(s.ListDelay)+s.extraListDelay, scheduledEvent{kind: eventListUpdate, subject: uint32(relay), value: uint32(serverIndex)})
	}
}

// listUpdate passes an update of the endpoint list to a relay.
func (s *Sim) listUpdate(event scheduledEvent) {
	updated := s.listEntry(int(event.value))
	server := s.servers[event.value]
	if updated.State == balancer.StateGone {
		s.countDetection(event.subject, int(event.value), updated.State)
	}
	if updated.State != balancer.StateReady && server.drainNotifiedAt[event.subject] == 0 {
		server.drainNotifiedAt[event.subject] = s.now
	} else if updated.State == balancer.StateReady {
		server.drainNotifiedAt[event.subject] = 0
	}
	s.handle(event.subject, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{updated}})
}

// scheduleHeartbeatTimeout schedules the time at which a client's relay closes the connection to a hung server.
func (s *Sim) scheduleHeartbeatTimeout(id uint32) {
	client := &s.clients[id]
	client.serverSilent = true
	s.schedule(time.Duration(s.rng.Float64()*float64(s.MessageInterval))+s.HeartbeatTimeout, scheduledEvent{kind: eventHeartbeatTimeout, subject: id, generation: client.generation})
}
