package decisionlog

import (
	"slices"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
)

// Entry is what the log has of one request: a copy that belongs to the reader.
type Entry struct {
	Number        uint64
	Frontend      string // name of the frontend
	Class         string
	Tenant        string        // "" if it has none
	Name          string        // as the client calls it, or the first part of that
	NameTruncated bool          // Name is only the first part
	Group         uint64        // 0 if none
	Flow          uint64        // 0 if none; with the platform's protocol the key of the flow
	StartedAt     time.Duration // on the proxy's clock
	TimeLimit     time.Duration // that its client had then
	ExpectedLoad  float64       // expected, in seconds of work per second; 0 if unknown
	Returning     bool          // its client came back after a disconnect or a migration
	Resumed       bool          // it was established at an endpoint before the start of this process
	HeadEvicted   bool          // its first events were evicted
	EventsOmitted bool          // not all of its events were kept
	Notable       bool          // see the package comment
	Pinned        bool
	Ended         bool
	Events        []Event

	headBlock  uint32
	nameHash   uint64                        // of the whole name
	considered []balancer.ConsideredEndpoint // memory for those of all decisions
}

// Clone returns a copy that shares no memory with the entry.
func (e *Entry) Clone() *Entry {
	clone := *e
	clone.Events = slices.Clone(e.Events)
	for i := range clone.Events {
		clone.Events[i].Decision.Considered = slices.Clone(clone.Events[i].Decision.Considered)
	}
	clone.considered = nil
	return &clone
}

// EventKind says what kind of event one is.
type EventKind uint8

// The kinds of event.
const (
	EventDecision       EventKind = 1 + iota // of the balancer: Decision and Repeats
	EventAttemptStarted                      // an attempt at Endpoint begins
	EventAttemptEnded                        // the attempt at Endpoint ended with Status; balancer.StatusOK means accepted
	EventEstablished                         // the client was notified that its request is established
	EventEnded                               // Result says how
)

// Event is one thing that happened to a request.
type Event struct {
	Kind     EventKind
	At       time.Duration // on the proxy's clock
	Decision balancer.Decision
	Repeats  int // how often the same was decided again right after
	Endpoint balancer.EndpointID
	Status   balancer.AttemptStatus
	Result   proxy.Result
}

// Result returns how the request ended; false if it has not, or its end is not kept.
func (e *Entry) Result() (proxy.Result, bool) {
	if n := len(e.Events); n > 0 && e.Events[n-1].Kind == EventEnded {
		return e.Events[n-1].Result, true
	}
	return proxy.Result{}, false
}

// ResultName returns the word for how the request ended, or for how far it has come:
// "waiting" or "up".
func (e *Entry) ResultName() string {
	if result, ended := e.Result(); ended {
		return result.End.String()
	}
	if slices.ContainsFunc(e.Events, func(event Event) bool { return event.Kind == EventEstablished }) {
		return "up"
	}
	return "waiting"
}

// LastEventAt returns the time of the last event, or of the start if there is none.
func (e *Entry) LastEventAt() time.Duration {
	if n := len(e.Events); n > 0 {
		return e.Events[n-1].At
	}
	return e.StartedAt
}

// Attempt is one attempt at an endpoint.
type Attempt struct {
	Endpoint   balancer.EndpointID
	Status     balancer.AttemptStatus // once it has ended
	InProgress bool
	StartedAt  time.Duration // on the proxy's clock
	Duration   time.Duration // once it has ended
}

// Attempts returns the attempts in their order.
func (e *Entry) Attempts() []Attempt {
	var attempts []Attempt
	for i := range e.Events {
		event := &e.Events[i]
		switch event.Kind {
		case EventAttemptStarted:
			attempts = append(attempts, Attempt{Endpoint: event.Endpoint, InProgress: true, StartedAt: event.At})
		case EventAttemptEnded:
			if n := len(attempts); n > 0 && attempts[n-1].InProgress && attempts[n-1].Endpoint == event.Endpoint {
				last := &attempts[n-1]
				last.InProgress, last.Status, last.Duration = false, event.Status, event.At-last.StartedAt
			}
		}
	}
	return attempts
}
