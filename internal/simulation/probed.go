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

// joins gives a relay that starts its members; all are held to be up.
func (s *Sim) joins(id uint32) {
	r := s.relays[id]
	r.members = healthcheck.New(s.Probes, s.memberNames(), s.now)
	r.members.Changes()
	s.probes(id)
}

func (s *Sim) memberNames() (names []string) {
	for i := range s.servers {
		names = append(names, memberName(i))
	}
	return names
}

// probes sends the probes that are due at a relay.
func (s *Sim) probes(id uint32) {
	r := s.relays[id]
	due, next := r.members.Due(s.now)
	for _, name := range due {
		i := memberNumber(name)
		v := s.servers[i]
		s.account.probes++
		took, ok := s.hop(id, i)+s.hop(id, i), uint32(1)
		switch {
		case v.hung || s.rng.Float64() < s.ProbeLoss:
			took, ok = s.Probes.Timeout, 0
		case v.down:
			ok = 0
		default:
			v.free = max(v.free, s.now) + healthcheck.ProbeCost/time.Duration(s.Cores)
		}
		s.after(took, event{kind: evProbed, id: id, x: uint32(i)<<1 | ok, gen: r.life})
	}
	s.push(event{at: next, kind: evProbe, id: id, gen: r.life})
}

// probed is the outcome of a probe.
func (s *Sim) probed(e event) {
	if r := s.relays[e.id]; r.up && r.life == e.gen {
		r.members.ProbeEnded(s.now, memberName(int(e.x>>1)), e.x&1 == 1, "")
		s.members(e.id)
	}
}

// passed tells a relay's members what became of a pass.
func (s *Sim) passed(id uint32, server int32, how balancer.AttemptStatus) {
	if r := s.relays[id]; r.members != nil && how != balancer.StatusNotSent && how != balancer.StatusCancelled {
		r.members.AttemptEnded(s.now, memberName(int(server)), how == balancer.StatusOK || how == balancer.StatusFull || how == balancer.StatusRedirected, "")
		s.members(id)
	}
}

// members has a relay's module take what its members say anew.
func (s *Sim) members(id uint32) {
	for _, c := range s.relays[id].members.Changes() {
		i := int(memberNumber(c.Name))
		line := s.line(i)
		line.State, line.StartedAt = balancer.StateReady, c.RecoveredAt
		if c.State == healthcheck.StateDown {
			line.State = balancer.StateGone
		}
		s.heard(id, i, line.State)
		s.tell(id, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{line}})
	}
}

// heard counts what a relay is told of a server: how late, and whether it is true.
func (s *Sim) heard(id uint32, i int, state balancer.EndpointState) {
	v, a := s.servers[i], &s.account
	gone := v.down || v.hung
	switch {
	case state == balancer.StateReady || s.now < base:
	case gone && !v.heard[id]:
		v.heard[id] = true
		a.found++
		a.foundIn += s.now - v.awayAt
	case !gone && v.phase == balancer.StateReady:
		a.alarms++
	}
}

// goesAway notes since when a server takes nothing.
func (s *Sim) goesAway(v *server) {
	v.awayAt = s.now
	clear(v.heard)
}
