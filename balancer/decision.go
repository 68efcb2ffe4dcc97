package balancer

import "time"

// DecisionObserver is told of every decision on a request. Decided is called within the Tick that decides:
// it must not block, call the Loop or keep the decision, which is used again.
type DecisionObserver interface{ Decided(decision *Decision) }

// Verdict is what was decided.
type Verdict uint8

// The verdicts of a decision.
const (
	VerdictSent     Verdict = iota // to Endpoint, with the time-out Wait; 0: until the deadline
	VerdictHeld                    // for Wait; 0: until the concurrency window has room
	VerdictRejected                // with the retry-after Wait
	VerdictFailed                  // with an answer that promises nothing
	VerdictMigrated                // from Endpoint
	verdictCount
)

// VerdictNames are the names of the verdicts, by their values. Records of decisions and queries use them.
var VerdictNames = [verdictCount]string{"sent", "held", "refused", "failed", "moved"}

// String returns the name of a verdict.
func (v Verdict) String() string { return nameAt(VerdictNames[:], int(v)) }

// Reason is why it was decided.
type Reason uint8

// The reasons of a decision.
const (
	ReasonNone               Reason = iota
	ReasonCachedRoute               // sent to the endpoint cached for its group
	ReasonWeightedDraw              // drawn at random by weight
	ReasonRouteGone                 // drawn anew: the cached endpoint takes nothing new
	ReasonRouteSlow                 // drawn anew: the cached endpoint is slow or full
	ReasonRouteRecovering           // drawn anew: the cached endpoint is recovering
	ReasonRouteAtCapacity           // drawn anew: the cached endpoint has little headroom
	ReasonRouteWarmingUp            // drawn anew: the cached endpoint is warming up
	ReasonRedrawn                   // drawn anew for a retry
	ReasonWindowFull                // queued: as many set-ups are in flight as may be
	ReasonNoneEligible              // held: no endpoint may take it now, but one may later
	ReasonEndpointSlow              // held: the endpoint that it would go to is slow or full
	ReasonEndpointRecovering        // held: the endpoint that it would go to is recovering
	ReasonBackoff                   // held before its next attempt
	ReasonNoViableEndpoint          // no ready endpoint is left untried
	ReasonDeadlineExceeded          // its deadline has come, or comes before another attempt
	ReasonAttemptsExhausted         // it has had all attempts that a request may have
	ReasonNotRepeatable             // it may have run, and must not run twice
	ReasonLoadRelief                // its endpoint is slow and sheds load
	ReasonEndpointDraining          // its endpoint drains
	ReasonShutdown                  // its relay shuts down
	reasonCount
)

// ReasonNames are the names of the reasons, by their values. Records of decisions and queries use them.
var ReasonNames = [reasonCount]string{
	"none", "cached-route", "drawn", "route-gone", "route-slow", "route-eased", "route-full", "route-cold",
	"drawn-again", "window-full", "none-usable", "server-slow", "server-eased", "backoff", "no-hope",
	"out-of-time", "out-of-tries", "may-not-repeat", "relief", "server-drains",
	"relay-leaves",
}

// String returns the name of a reason.
func (r Reason) String() string { return nameAt(ReasonNames[:], int(r)) }

// nameAt returns a value's name; "unknown" for a value that this version does not know.
func nameAt(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Exclusions is the set of what keeps an endpoint from being sent a request.
type Exclusions uint16

// The exclusions, one bit each.
const (
	ExcludedDraining   Exclusions = 1 << iota // it drains, is gone, or lately redirected a client
	ExcludedTried                             // it has failed the request
	ExcludedScope                             // a repeat must not run there
	ExcludedWarmingUp                         // it is warming up, and has no slot for this relay now
	ExcludedSlow                              // it is slow or full
	ExcludedRecovering                        // it is recovering, and has no slot for this relay now
	ExcludedAtCapacity                        // it has little headroom
	exclusionCount     = 7
)

// ExclusionNames are the names of the exclusions, from the lowest bit up.
var ExclusionNames = [exclusionCount]string{"away", "tried", "no-repeat", "cold", "slow", "eased", "full"}

// Names returns the names of the exclusions in the set.
func (e Exclusions) Names() []string {
	var names []string
	for i, name := range ExclusionNames {
		if e&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// ConsideredEndpoint is what was known of an endpoint when it was decided.
type ConsideredEndpoint struct {
	Endpoint    EndpointID
	State       EndpointState
	Exclusions  Exclusions
	Weight      float64       // the controller's
	Warmth      float64       // share of its capacity that it has at least
	Load        float64       // what this relay has placed there, in mean connections
	Probability float64       // share of the weights in the draw; 0 if it is not ready
	Delay       time.Duration // of a message
	DelayAge    time.Duration // of the report of the delay; negative if there was none
}

// MaxConsidered bounds the endpoints that a decision tells of.
const MaxConsidered = 4

// Decision is one decision on one request.
type Decision struct {
	At             time.Duration // on the relay's clock
	Verdict        Verdict
	Reason         Reason
	Attempt        int           // number of the attempt that is sent; else how many were sent so far
	Endpoint       EndpointID    // of VerdictSent and VerdictMigrated
	Wait           time.Duration // see the verdicts
	TimeLeft       time.Duration // until the deadline
	ReadyEndpoints int           // number of endpoints that the list says are ready
	SlowShare      float64       // share of their size that is slow
	Revision       uint64        // of the list; 0 if not known
	ListAge        time.Duration // since the list last changed; negative if not known

	// Considered is what was known of the chosen endpoint, if there is one, and then of
	// those that came nearest, best first. Preferred is the index in it of the endpoint
	// that would have been chosen but for its exclusions; -1 if there is none.
	Considered []ConsideredEndpoint
	Preferred  int
}
