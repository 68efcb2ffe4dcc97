package balancer

import "time"

// DecisionObserver is notified of every decision on a request. Decided is called during Tick: it must not
// block, call the Loop or retain the decision, which is reused.
type DecisionObserver interface{ Decided(decision *Decision) }

// Verdict is the outcome of a decision.
type Verdict uint8

// The verdicts of a decision.
const (
	VerdictSent     Verdict = iota // to Endpoint, with Wait as timeout; 0: until the deadline
	VerdictHeld                    // for Wait; 0: until the concurrency window is not full
	VerdictRejected                // with Wait as retry-after
	VerdictFailed                  // with an answer that does not allow a repeat
	VerdictMigrated                // from Endpoint
	verdictCount
)

// VerdictNames are the names of the verdicts, indexed by value. Decision records and queries use them.
var VerdictNames = [verdictCount]string{"sent", "held", "refused", "failed", "moved"}

// String returns the name of a verdict.
func (v Verdict) String() string { return nameAt(VerdictNames[:], int(v)) }

// Reason is the reason for a decision.
type Reason uint8

// The reasons of a decision.
const (
	ReasonNone               Reason = iota
	ReasonCachedRoute               // sent: to the endpoint cached for its group
	ReasonWeightedDraw              // sent: drawn at random by weight
	ReasonRouteGone                 // sent: drawn, as the cached endpoint takes no new requests
	ReasonRouteSlow                 // sent: drawn, as the cached endpoint is slow or full
	ReasonRouteRecovering           // sent: drawn, as the cached endpoint is recovering
	ReasonRouteAtCapacity           // sent: drawn, as the cached endpoint has little headroom
	ReasonRouteWarmingUp            // sent: drawn, as the cached endpoint is warming up
	ReasonRedrawn                   // sent: drawn for a retry
	ReasonWindowFull                // held: the concurrency window is full
	ReasonNoneEligible              // held: no endpoint is eligible now, but one may be later
	ReasonEndpointSlow              // held: the selected endpoint is slow or full
	ReasonEndpointRecovering        // held: the selected endpoint is recovering
	ReasonBackoff                   // held: backoff before the next attempt
	ReasonNoViableEndpoint          // answered: no ready endpoint is left untried
	ReasonDeadlineExceeded          // answered: the deadline has passed or leaves no time for a retry
	ReasonAttemptsExhausted         // answered: the maximum number of attempts is reached
	ReasonNotRepeatable             // answered: it may have been executed and must not be repeated
	ReasonLoadRelief                // migrated: its endpoint is slow and sheds load
	ReasonEndpointDraining          // migrated: its endpoint is draining
	ReasonShutdown                  // answered: its relay is shutting down
	reasonCount
)

// ReasonNames are the names of the reasons, indexed by value. Decision records and queries use them.
var ReasonNames = [reasonCount]string{
	"none", "cached-route", "drawn", "route-gone", "route-slow", "route-eased", "route-full", "route-cold",
	"drawn-again", "window-full", "none-usable", "server-slow", "server-eased", "backoff", "no-hope",
	"out-of-time", "out-of-tries", "may-not-repeat", "relief", "server-drains",
	"relay-leaves",
}

// String returns the name of a reason.
func (r Reason) String() string { return nameAt(ReasonNames[:], int(r)) }

// nameAt returns the name at an index, or "unknown" for a value that this version does not define.
func nameAt(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Exclusions is the set of reasons why an endpoint does not get a request.
type Exclusions uint16

// The exclusions, one bit each.
const (
	ExcludedDraining   Exclusions = 1 << iota // draining, gone, or recently redirected a client
	ExcludedTried                             // failed an earlier attempt of the request
	ExcludedScope                             // outside the request's deduplication scope
	ExcludedWarmingUp                         // warming up, without a slot for this relay now
	ExcludedSlow                              // slow or full
	ExcludedRecovering                        // recovering, without a slot for this relay now
	ExcludedAtCapacity                        // little headroom
	exclusionCount     = 7
)

// ExclusionNames are the names of the exclusions, indexed by bit.
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

// ConsideredEndpoint is the state of an endpoint at the time of a decision.
type ConsideredEndpoint struct {
	Endpoint    EndpointID
	State       EndpointState
	Exclusions  Exclusions
	Weight      float64       // the controller's weight
	Warmth      float64       // assumed share of its capacity, 1 if not warming up
	Load        float64       // placed by this relay, in multiples of the mean load of a connection
	Probability float64       // of being drawn, by weight alone; 0 if it is not ready
	Delay       time.Duration // last reported delay of a message
	DelayAge    time.Duration // age of that report; negative if there was none
}

// MaxConsidered limits the endpoints in Decision.Considered.
const MaxConsidered = 4

// Decision is one decision on one request, as reported to a DecisionObserver.
type Decision struct {
	At             time.Duration // on the relay's clock
	Verdict        Verdict
	Reason         Reason
	Attempt        int           // number of the attempt that is sent, else of attempts sent so far
	Endpoint       EndpointID    // if VerdictSent or VerdictMigrated
	Wait           time.Duration // its meaning depends on the verdict
	TimeLeft       time.Duration // until the request's deadline
	ReadyEndpoints int           // number of endpoints listed as ready
	SlowShare      float64       // share of their total size that is slow
	Revision       uint64        // of the endpoint list; 0 if unknown
	ListAge        time.Duration // time since the last list update; negative if unknown

	// Considered holds the chosen endpoint, if any, and then the best alternatives, best
	// first. PreferredIndex is the index in Considered of the endpoint that would have
	// been chosen but for its exclusions; -1 if there is none.
	Considered     []ConsideredEndpoint
	PreferredIndex int
}
