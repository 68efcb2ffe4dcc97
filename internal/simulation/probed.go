package simulation

import (
	"fmt"
	"strconv"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// This file has relays find out by themselves which servers are up, as on a box of its own, in
// place of a list that is told: by the very code that decides it there.

// memberName is a server's name, which sorts as its number does.
func memberName(i int) string { return fmt.Sprintf("%06d", i) }

func memberNumber(name string) int32 {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // names are this file's own
	}
	return int32(i)
}

// startHealthChecks gives a relay that starts its members; all are held to be up.
func (s *Sim) startHealthChecks(id uint32) {
	r := s.relays[id]
	r.health = healthcheck.New(s.Probes, s.memberNames(), s.now)
	r.health.Changes()
	s.sendProbes(id)
}

func (s *Sim) memberNames() (names []string) {
	for i := range s.servers {
		names = append(names, memberName(i))
	}
	return names
}

// sendProbes sends the probes that are due at a relay.
func (s *Sim) sendProbes(id uint32) {
	r := s.relays[id]
	due, next := r.health.Due(s.now)
	for _, name := range due {
		i := memberNumber(name)
		v := s.servers[i]
		s.statistics.probes++
		took, ok := s.networkDelay(id, i)+s.networkDelay(id, i), uint32(1)
		switch {
		case v.hung || s.rng.Float64() < s.ProbeLoss:
			took, ok = s.Probes.Timeout, 0
		case v.down:
			ok = 0
		default:
			v.setupsDoneAt = max(v.setupsDoneAt, s.now) + healthcheck.ProbeCost/time.Duration(s.Cores)
		}
		s.schedule(took, event{kind: eventProbeResult, subject: id, value: uint32(i)<<1 | ok, generation: r.incarnation})
	}
	s.push(event{at: next, kind: eventProbesDue, subject: id, generation: r.incarnation})
}

// probeResult is the outcome of a probe.
func (s *Sim) probeResult(e event) {
	if r := s.relays[e.subject]; r.up && r.incarnation == e.generation {
		r.health.ProbeEnded(s.now, memberName(int(e.value>>1)), e.value&1 == 1, "")
		s.applyHealthChanges(e.subject)
	}
}

// recordAttempt tells a relay's members what became of a pass.
func (s *Sim) recordAttempt(id uint32, server int32, how balancer.AttemptStatus) {
	if r := s.relays[id]; r.health != nil && how != balancer.StatusNotSent && how != balancer.StatusCancelled {
		r.health.AttemptEnded(s.now, memberName(int(server)), how == balancer.StatusOK || how == balancer.StatusFull || how == balancer.StatusRedirected, "")
		s.applyHealthChanges(id)
	}
}

// applyHealthChanges has a relay's module take what its members say anew.
func (s *Sim) applyHealthChanges(id uint32) {
	for _, c := range s.relays[id].health.Changes() {
		i := int(memberNumber(c.Name))
		line := s.endpoint(i)
		line.State, line.StartedAt = balancer.StateReady, c.RecoveredAt
		if c.State == healthcheck.StateDown {
			line.State = balancer.StateGone
		}
		s.countDetection(id, i, line.State)
		s.handle(id, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{line}})
	}
}

// countDetection counts what a relay is told of a server: how late, and whether it is true.
func (s *Sim) countDetection(id uint32, i int, state balancer.EndpointState) {
	v, a := s.servers[i], &s.statistics
	gone := v.down || v.hung
	switch {
	case state == balancer.StateReady || s.now < startTime:
	case gone && !v.notifiedGone[id]:
		v.notifiedGone[id] = true
		a.detected++
		a.detectionTime += s.now - v.unavailableSince
	case !gone && v.state == balancer.StateReady:
		a.falseAlarms++
	}
}

// markUnavailable notes since when a server takes nothing.
func (s *Sim) markUnavailable(v *server) {
	v.unavailableSince = s.now
	clear(v.notifiedGone)
}
