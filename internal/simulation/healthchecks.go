package simulation

import (
	"fmt"
	"strconv"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// memberName returns the name of a server in the health checks; names sort by server index.
func memberName(serverIndex int) string { return fmt.Sprintf("%06d", serverIndex) }

// memberIndex returns the server index of a member's name.
func memberIndex(name string) int32 {
	serverIndex, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // not a name from memberName
	}
	return int32(serverIndex)
}

func (s *Sim) memberNames() (names []string) {
	for serverIndex := range s.servers {
		names = append(names, memberName(serverIndex))
	}
	return names
}

// startHealthChecks starts the health checks of a relay, in which all servers are up at first.
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

// probeResult passes the result of a probe to a relay's health checks.
func (s *Sim) probeResult(event scheduledEvent) {
	if relay := s.relays[event.subject]; relay.up && relay.incarnation == event.generation {
		relay.health.ProbeEnded(s.now, memberName(int(event.value>>1)), event.value&1 == 1, "")
		s.applyHealthChanges(event.subject)
	}
}

// recordAttempt passes the status of an attempt to a relay's health checks.
func (s *Sim) recordAttempt(id uint32, serverIndex int32, status balancer.AttemptStatus) {
	if relay := s.relays[id]; relay.health != nil && status != balancer.StatusNotSent && status != balancer.StatusCancelled {
		relay.health.AttemptEnded(s.now, memberName(int(serverIndex)), status == balancer.StatusOK || status == balancer.StatusFull || status == balancer.StatusRedirected, "")
		s.applyHealthChanges(id)
	}
}

// applyHealthChanges passes state changes in a relay's health checks to its decider.
func (s *Sim) applyHealthChanges(id uint32) {
	for _, change := range s.relays[id].health.Changes() {
		serverIndex := int(memberIndex(change.Name))
		entry := s.listEntry(serverIndex)
		entry.State, entry.StartedAt = balancer.StateReady, change.RecoveredAt
		if change.State == healthcheck.StateDown {
			entry.State = balancer.StateGone
		}
		s.countDetection(id, serverIndex, entry.State)
		s.handle(id, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{entry}})
	}
}

// countDetection counts the notification of a relay that a server is gone: its delay if the server
// is down or hung, a false alarm if the server is ready.
func (s *Sim) countDetection(id uint32, serverIndex int, state balancer.EndpointState) {
	server, stats := s.servers[serverIndex], &s.statistics
	gone := server.down || server.hung
	switch {
	case state == balancer.StateReady || s.now < startTime:
	case gone && !server.relaysNotifiedGone[id]:
		server.relaysNotifiedGone[id] = true
		stats.detections++
		stats.detectionTime += s.now - server.unavailableSince
	case !gone && server.state == balancer.StateReady:
		stats.falseAlarms++
	}
}
