package simulation

import (
	"fmt"
	"strconv"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// In a world with probes, relays find out by themselves which servers are up, by the code of
// internal/healthcheck, instead of by an endpoint list.

// memberName is a server's name, which sorts as its number does.
func memberName(serverIndex int) string { return fmt.Sprintf("%06d", serverIndex) }

func memberIndex(name string) int32 {
	serverIndex, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // all names are memberName's
	}
	return int32(serverIndex)
}

func (s *Sim) memberNames() (names []string) {
	for serverIndex := range s.servers {
		names = append(names, memberName(serverIndex))
	}
	return names
}

// startHealthChecks starts the health checks of a relay; all servers count as up at first.
func (s *Sim) startHealthChecks(id uint32) {
	relay := s.relays[id]
	relay.health = healthcheck.New(s.HealthCheckSettings, s.memberNames(), s.now)
	relay.health.Changes()
	s.sendProbes(id)
}

// sendProbes sends the probes that are due at a relay, and schedules the next.
func (s *Sim) sendProbes(id uint32) {
	relay := s.relays[id]
	due, next := relay.health.Due(s.now)
	for _, name := range due {
		serverIndex := memberIndex(name)
		server := s.servers[serverIndex]
		s.statistics.probes++
		took, ok := s.networkDelay(id, serverIndex)+s.networkDelay(id, serverIndex), uint32(1)
		switch {
		case server.hung || s.rng.Float64() < s.ProbeLoss:
			took, ok = s.HealthCheckSettings.Timeout, 0
		case server.down:
			ok = 0
		default:
			server.setupsDoneAt = max(server.setupsDoneAt, s.now) + healthcheck.MaxProbeCost/time.Duration(s.CoresPerServer)
		}
		s.schedule(took, scheduledEvent{kind: eventProbeResult, subject: id, value: uint32(serverIndex)<<1 | ok, generation: relay.incarnation})
	}
	s.push(scheduledEvent{at: next, kind: eventProbesDue, subject: id, generation: relay.incarnation})
}

// probeResult makes a relay's health check handle the result of a probe.
func (s *Sim) probeResult(event scheduledEvent) {
	if relay := s.relays[event.subject]; relay.up && relay.incarnation == event.generation {
		relay.health.ProbeEnded(s.now, memberName(int(event.value>>1)), event.value&1 == 1, "")
		s.applyHealthChanges(event.subject)
	}
}

// recordAttempt makes a relay's health check handle the status of an attempt.
func (s *Sim) recordAttempt(id uint32, serverIndex int32, how balancer.AttemptStatus) {
	if relay := s.relays[id]; relay.health != nil && how != balancer.StatusNotSent && how != balancer.StatusCancelled {
		relay.health.AttemptEnded(s.now, memberName(int(serverIndex)), how == balancer.StatusOK || how == balancer.StatusFull || how == balancer.StatusRedirected, "")
		s.applyHealthChanges(id)
	}
}

// applyHealthChanges makes a relay's decider handle changes of its health checks.
func (s *Sim) applyHealthChanges(id uint32) {
	for _, c := range s.relays[id].health.Changes() {
		serverIndex := int(memberIndex(c.Name))
		line := s.listEntry(serverIndex)
		line.State, line.StartedAt = balancer.StateReady, c.RecoveredAt
		if c.State == healthcheck.StateDown {
			line.State = balancer.StateGone
		}
		s.countDetection(id, serverIndex, line.State)
		s.handle(id, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{line}})
	}
}

// countDetection counts the notification of a relay that a server is gone: how late it is, or
// that it is false.
func (s *Sim) countDetection(id uint32, serverIndex int, state balancer.EndpointState) {
	server, a := s.servers[serverIndex], &s.statistics
	gone := server.down || server.hung
	switch {
	case state == balancer.StateReady || s.now < startTime:
	case gone && !server.relaysNotifiedGone[id]:
		server.relaysNotifiedGone[id] = true
		a.detections++
		a.detectionTime += s.now - server.unavailableSince
	case !gone && server.state == balancer.StateReady:
		a.falseAlarms++
	}
}
