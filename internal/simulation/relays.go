package simulation

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// relayModel is one relay, with the decider that decides in it.
type relayModel struct {
	health           *healthcheck.Tracker // nil: it is notified of the endpoint list
	zone             int
	decider          Decider
	up               bool
	incarnation      uint32
	clientsByRequest map[balancer.RequestID]uint32 // by their requests
	lastRequestID    balancer.RequestID
}

// startRelay starts a relay with the endpoint list, and the snapshot of its last incarnation if
// it has a store.
func (s *Sim) startRelay(id uint32) {
	relay := s.relays[id]
	relay.up, relay.clientsByRequest = true, make(map[balancer.RequestID]uint32)
	relay.incarnation++
	old, _ := relay.decider.(*balancer.Balancer)
	relay.decider = s.newDecider(s, int(id))
	list := make([]balancer.Endpoint, len(s.servers))
	for i := range s.servers {
		if list[i] = s.listEntry(i); s.UseHealthChecks {
			list[i].State = balancer.StateReady // as its file says
		}
	}
	s.handle(id, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: list})
	if s.UseHealthChecks {
		s.startHealthChecks(id)
	}
	if fresh, ok := relay.decider.(*balancer.Balancer); ok && old != nil && s.RestoreSnapshots {
		fresh.Restore(s.now, old.Snapshot())
	}
}

// stopRelay ends a relay: its clients connect again.
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
			s.statistics.migrations++ // a relay migrates its clients before it ends
			s.returnAfter(uint32(i), s.uniformDuration(s.ReturnDelay))
		case stateWaiting:
			s.cancelAttempt(client)
			s.retry(uint32(i), 0)
		}
	}
}

// handle makes a relay handle an event, and performs its actions.
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

// endRejectedRequest ends the request of a waiting client.
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

// listEntry returns a server as the listEntry list has it.
func (s *Sim) listEntry(serverIndex int) balancer.Endpoint {
	server := s.servers[serverIndex]
	return balancer.Endpoint{ID: s.serverID(int32(serverIndex)), State: server.state, Zone: server.zone, Size: 1, StartedAt: server.startedAt}
}

// publishServer schedules updates of a server for all relays, each after its delay.
func (s *Sim) publishServer(serverIndex int) {
	if s.UseHealthChecks {
		return
	}
	for relay := range s.relays {
		s.schedule(s.uniformDuration(s.ListDelay)+s.extraListDelay, scheduledEvent{kind: eventListUpdate, subject: uint32(relay), value: uint32(serverIndex)})
	}
}

// listUpdate makes a relay handle an update of the endpoint list.
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

// scheduleHeartbeatTimeout makes a client's relay notice in time that the server hangs.
func (s *Sim) scheduleHeartbeatTimeout(id uint32) {
	client := &s.clients[id]
	client.serverSilent = true
	s.schedule(time.Duration(s.rng.Float64()*float64(s.MessageInterval))+s.HeartbeatTimeout, scheduledEvent{kind: eventHeartbeatTimeout, subject: id, generation: client.generation})
}
