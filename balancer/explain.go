package balancer

import (
	"math"
	"slices"
	"time"
)

// observer holds what a Balancer needs to tell of its decisions.
type observer struct {
	tell    func(RequestID, *Decision)
	d       Decision
	room    [MaxConsidered]ConsideredEndpoint
	nearest [MaxConsidered]near
}

// near is a server that a request could go to, or could but for its bars.
type near struct {
	s    *server
	pull float64
	cost float64 // the draw's: the least is chosen
}

// Observe has a function told of every decision from now on. It is called within
// Handle, and must neither block nor keep the decision.
func (b *Balancer) Observe(tell func(RequestID, *Decision)) { b.seen.tell = tell }

// note tells what is decided for a request. s is the server that it goes to, that
// it stands at, or that it waits for, if any.
func (b *Balancer) note(v Verdict, why Reason, q *request, s *server, wait time.Duration) {
	o := &b.seen
	if o.tell == nil {
		return
	}
	before := b.fleet.marks
	o.d = Decision{
		At: b.now, Verdict: v, Reason: why, Attempt: q.attempts, Wait: wait, TimeLeft: max(0, q.giveUp-b.now),
		ListAge: -1, Considered: o.room[:0], Preferred: -1,
	}
	if s != nil && (v == VerdictSent || v == VerdictMigrated) {
		o.d.Endpoint = s.ID
	}
	b.believe(q, s)
	b.fleet.marks = before
	o.tell(q.ID, &o.d)
}

// believe fills in what is held of the chosen server and of those that came nearest.
func (b *Balancer) believe(q *request, chosen *server) {
	o := &b.seen
	b.fleet.summed = false
	load, size, _, slow := b.totals()
	if size > 0 {
		o.d.SlowShare = slow / size
	}
	pulls, found := 0.0, 0
	cached, routed := b.routes.get(q.key(), b.now)
	routed = routed && o.d.Reason >= ReasonRouteGone && o.d.Reason <= ReasonRouteWarmingUp
	for _, s := range b.fleet.servers {
		n := near{s: s, cost: math.Inf(1)}
		if s.State == StateReady {
			o.d.ReadyEndpoints++
			n.pull = b.drawWeight(s, load/size)
			pulls += n.pull
			n.cost = 1 / n.pull
			if key := q.key(); key != 0 {
				n.cost = b.chance(key, s) / n.pull
			}
		}
		switch {
		case s == chosen: // it comes first
			n.cost = math.Inf(-1)
		case routed && s.ID == cached: // and then the one that it would have gone to
			n.cost = -math.MaxFloat64
		case s.State != StateReady || o.d.Verdict == VerdictMigrated:
			continue
		}
		if found < MaxConsidered {
			found++
		} else if n.cost >= o.nearest[found-1].cost {
			continue
		}
		at := found - 1
		for ; at > 0 && o.nearest[at-1].cost > n.cost; at-- {
			o.nearest[at] = o.nearest[at-1]
		}
		o.nearest[at] = n
	}
	for _, n := range o.nearest[:found] {
		s := n.s
		f := ConsideredEndpoint{
			Endpoint: s.ID, State: s.State, Exclusions: b.bars(q, s),
			Weight: s.weightAt(b.now), Warmth: b.warmth(s),
			Load: s.demand(), Delay: s.delay, DelayAge: -1,
		}
		if s.delayAt > 0 {
			f.DelayAge = b.now - s.delayAt
		}
		if pulls > 0 {
			f.Probability = n.pull / pulls
		}
		o.d.Considered = append(o.d.Considered, f)
	}
	b.instead(q, chosen, load/size, routed)
}

// instead names the server that would have been chosen but for its bars: the cached
// one where that was passed over; else, where there is a key and so no chance in the
// draw, the nearest that is barred and nearer than the one chosen, if any.
func (b *Balancer) instead(q *request, chosen *server, meanLoad float64, routed bool) {
	d := &b.seen.d
	switch {
	case d.Verdict == VerdictMigrated || d.Reason == ReasonCachedRoute ||
		d.Reason == ReasonWindowFull || d.Reason == ReasonBackoff:
		return
	case q.key() == 0 && chosen != nil: // and its own draw is not to be made again
		return
	}
	least := math.Inf(1)
	if chosen != nil && chosen.State == StateReady {
		least = b.chance(q.key(), chosen) / b.drawWeight(chosen, meanLoad)
	}
	for i, f := range d.Considered {
		n := b.seen.nearest[i]
		if n.s == chosen || f.Exclusions&^ExcludedAtCapacity == 0 && !(routed && n.cost == -math.MaxFloat64) {
			continue
		}
		if n.cost < least {
			d.Preferred = i
			return
		}
	}
}

// bars tells what keeps a server from being sent a request.
func (b *Balancer) bars(q *request, s *server) (up Exclusions) {
	set := func(bar Exclusions, is bool) {
		if is {
			up |= bar
		}
	}
	set(ExcludedDraining, s.State != StateReady || s.awayAt > 0 && b.now < s.awayAt+awayFor)
	set(ExcludedTried, slices.Contains(q.tried, s.ID))
	set(ExcludedScope, !q.mayUse(s))
	set(ExcludedWarmingUp, s.State == StateReady && !b.coldAllows(q, s))
	set(ExcludedSlow, s.slowAt(b.now))
	set(ExcludedRecovering, !s.slowAt(b.now) && b.mustWait(s))
	set(ExcludedAtCapacity, b.spare(s) <= spareFull)
	return up
}

// passedOver tells why a request is not sent to the server cached for its group.
func (b *Balancer) passedOver(q *request, s *server) Reason {
	if b.seen.tell == nil {
		return ReasonWeightedDraw
	}
	before := b.fleet.marks
	defer func() { b.fleet.marks = before }()
	if s == nil {
		return ReasonRouteGone
	}
	b.fleet.summed = false
	switch up := b.bars(q, s); {
	case up&(ExcludedDraining|ExcludedTried|ExcludedScope) != 0:
		return ReasonRouteGone
	case up&ExcludedSlow != 0:
		return ReasonRouteSlow
	case up&ExcludedRecovering != 0:
		return ReasonRouteRecovering
	case up&ExcludedWarmingUp != 0:
		return ReasonRouteWarmingUp
	}
	return ReasonRouteAtCapacity
}

// drawn is the reason of a draw that no cached route came before.
func (q *request) drawn() Reason {
	if q.attempts > 0 {
		return ReasonRedrawn
	}
	return ReasonWeightedDraw
}

// held tells why a request that could be sent to s, if to any, is not.
func (b *Balancer) held(s *server) Reason {
	switch {
	case s == nil:
		return ReasonNoneEligible
	case s.slowAt(b.now):
		return ReasonEndpointSlow
	}
	return ReasonEndpointRecovering
}

// spent tells why no further attempt is allowed at a time.
func (b *Balancer) spent(q *request, at time.Duration) Reason {
	switch {
	case q.attempts >= q.set.MaxAttempts:
		return ReasonAttemptsExhausted
	case at >= q.giveUp:
		return ReasonDeadlineExceeded
	}
	return ReasonNotRepeatable
}
