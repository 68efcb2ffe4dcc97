package balancer

import (
	"math"
	"slices"
	"time"
)

// This file tells what was decided, why, and what was believed when it was. It
// looks only: with a witness or without, the same events bring the same actions.

// DecisionObserver is told of every decision on a transaction. Decided is called in the
// turn that decides: it must neither block nor keep d, which is used again.
type DecisionObserver interface{ Decided(d *Decision) }

// Verdict is what was decided.
type Verdict uint8

// The verdicts of a decision.
const (
	VerdictSent     Verdict = iota // to Server, for Wait at the most; 0 means until the client gives up
	VerdictHeld                    // for Wait; 0 means until the window opens
	VerdictRejected                // with the advice to come back after Wait
	VerdictFailed                  // with an answer that promises nothing
	VerdictMigrated                // away from Server
	verdicts
)

// VerdictNames are the names of the verdicts, in the order of their numbers.
var VerdictNames = [verdicts]string{"sent", "held", "refused", "failed", "moved"}

// String is the name of a verdict.
func (v Verdict) String() string { return word(VerdictNames[:], int(v)) }

// Reason is why it was decided: one of a closed set.
type Reason uint8

// The reasons of a decision.
const (
	ReasonNone               Reason = iota
	ReasonCachedRoute               // the server that is cached for its group
	ReasonWeightedDraw              // at random by weight
	ReasonRouteGone                 // drawn anew, as the cached server takes nothing new
	ReasonRouteSlow                 // drawn anew, as the cached server is slow or full
	ReasonRouteRecovering           // drawn anew, as the cached server is eased into work
	ReasonRouteAtCapacity           // drawn anew, as messages at the cached server take up their time
	ReasonRouteWarmingUp            // drawn anew, as the cached server has had what it bears cold
	ReasonRedrawn                   // drawn past the servers that have failed it
	ReasonWindowFull                // as many set-ups are under way as may be
	ReasonNoneEligible              // no server may take it now, but one may later
	ReasonEndpointSlow              // the server that it would go to is slow or full
	ReasonEndpointRecovering        // the server that it would go to is eased into work
	ReasonBackoff                   // before the next attempt
	ReasonNoViableEndpoint          // no ready server is left untried
	ReasonDeadlineExceeded          // its client's time is up, or will be before another attempt
	ReasonAttemptsExhausted         // it has had all attempts that a transaction may have
	ReasonNotRepeatable             // it may have run, and must not run twice
	ReasonLoadRelief                // its server is slow, and has to lose connections
	ReasonEndpointDraining          // its server drains
	ReasonShutdown                  // its relay leaves
	reasons
)

// ReasonNames are the names of the reasons, in the order of their numbers.
var ReasonNames = [reasons]string{
	"none", "cached-route", "drawn", "route-gone", "route-slow", "route-eased", "route-full", "route-cold",
	"drawn-again", "window-full", "none-usable", "server-slow", "server-eased", "backoff", "no-hope",
	"out-of-time", "out-of-tries", "may-not-repeat", "relief", "server-drains",
	"relay-leaves",
}

// String is the name of a reason.
func (r Reason) String() string { return word(ReasonNames[:], int(r)) }

func word(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Exclusions are what keeps a server from being sent a transaction.
type Exclusions uint16

// The bars, one bit each.
const (
	ExcludedDraining   Exclusions = 1 << iota // it drains, is gone, or has lately sent clients away itself
	ExcludedTried                             // it has failed the transaction
	ExcludedScope                             // a repeat must not run there
	ExcludedWarmingUp                         // it has had what it bears cold, or it is another relay's turn
	ExcludedSlow                              // it is slow or full
	ExcludedRecovering                        // it is eased into work, and not this relay's turn
	ExcludedAtCapacity                        // messages there take up half their wanted time
	bars               = 7
)

// ExclusionNames are the names of the bars, from the lowest bit up.
var ExclusionNames = [bars]string{"away", "tried", "no-repeat", "cold", "slow", "eased", "full"}

// Names are the names of the bars that are up.
func (b Exclusions) Names() []string {
	var names []string
	for i, name := range ExclusionNames {
		if b&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// ConsideredEndpoint is what the module held of a server when it decided.
type ConsideredEndpoint struct {
	Endpoint    EndpointID
	State       EndpointState
	Exclusions  Exclusions
	Weight      float64       // the controller's
	Warmth      float64       // part of its capacity that it has at the least
	Load        float64       // what this relay has placed there, in mean connections
	Probability float64       // weight in the draw, against the sum of all; 0 where none may be drawn
	Delay       time.Duration // of a message
	DelayAge    time.Duration // of the word on the delay; negative if there was none
}

// MaxConsidered is how many servers a decision tells of.
const MaxConsidered = 4

// Decision is one decision on one transaction.
type Decision struct {
	At             time.Duration // on the relay's clock
	Verdict        Verdict
	Reason         Reason
	Attempt        int           // that goes out, or that were made so far
	Endpoint       EndpointID    // of Sent and Moving
	Wait           time.Duration // see the verdicts
	TimeLeft       time.Duration // until the client gives up
	ReadyEndpoints int           // that the list names as ready
	SlowShare      float64       // of their size that is slow
	Revision       uint64        // of the list; 0 if not known
	ListAge        time.Duration // since the list last changed; negative if not known

	// Believed is what was held of the chosen server, if there is one, and then of
	// those that came nearest, best first. Instead names the server that would have
	// been chosen but for its bars: an index into Believed, or -1.
	Considered []ConsideredEndpoint
	Preferred  int
}

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
			Endpoint: s.ID, State: s.State, Exclusions: b.bars(q, s), Weight: s.weightAt(b.now), Warmth: b.warmth(s),
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
	case d.Verdict == VerdictMigrated || d.Reason == ReasonCachedRoute || d.Reason == ReasonWindowFull || d.Reason == ReasonBackoff:
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
