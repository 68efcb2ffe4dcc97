package balancer

import (
	"time"
)

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
