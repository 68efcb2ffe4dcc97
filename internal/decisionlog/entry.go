package decisionlog

import (
	"slices"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
)

// Entry is a copy of the log's entry of one request.
type Entry struct {
	Number        uint64
	Frontend      string // name of the frontend
	Class         string
	Tenant        string        // "" if it has none
	Name          string        // name that the client gave the request, possibly truncated
	NameTruncated bool          // Name is only the first part of the name
	Group         uint64        // 0 if none
	Flow          uint64        // key of the request's flow; 0 if none
	StartedAt     time.Duration // on the proxy's clock
	TimeLimit     time.Duration // from StartedAt to the request's deadline; 0 if that had passed
	ExpectedLoad  float64       // in seconds of work per second; 0 if unknown
	Returning     bool          // the client came back after a disconnect or a migration
	Resumed       bool          // the request was established before the start of this process
	HeadEvicted   bool          // the first events were evicted
	EventsOmitted bool          // events were omitted for lack of space
	Notable       bool          // see the package comment
	Pinned        bool
	Ended         bool
	Events        []Event

	headBlock  uint32
	nameHash   uint64                        // hash of the whole name
	considered []balancer.ConsideredEndpoint // buffer for the considered endpoints of all decisions
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

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that they set besides At.
const (
	EventDecision       EventKind = 1 + iota // the balancer made Decision, and repeated it Repeats times
	EventAttemptStarted                      // an attempt at Endpoint started
	EventAttemptEnded                        // the attempt at Endpoint ended with Status; balancer.StatusOK means accepted
	EventEstablished                         // the client was notified that its request is established
	EventEnded                               // the request ended with Result
)

// Event is one event in the life of a request.
type Event struct {
	Kind     EventKind
	At       time.Duration // on the proxy's clock
	Decision balancer.Decision
	Repeats  int // how often the same decision was repeated directly afterwards
	Endpoint balancer.EndpointID
	Status   balancer.AttemptStatus
	Result   proxy.Result
}

// Result returns how the request ended. It returns false if the request has not ended, or
// if its end was not recorded.
func (e *Entry) Result() (proxy.Result, bool) {
	if n := len(e.Events); n > 0 && e.Events[n-1].Kind == EventEnded {
		return e.Events[n-1].Result, true
	}
	return proxy.Result{}, false
}

// ResultName returns the name of the request's result, or of its state if it has not ended:
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

// LastEventAt returns the time of the last event, or StartedAt if there is none.
func (e *Entry) LastEventAt() time.Duration {
	if n := len(e.Events); n > 0 {
		return e.Events[n-1].At
	}
	return e.StartedAt
}

// Attempt is one attempt to establish a request at an endpoint.
type Attempt struct {
	Endpoint   balancer.EndpointID
	Status     balancer.AttemptStatus // only set if it has ended
	InProgress bool
	StartedAt  time.Duration // on the proxy's clock
	Duration   time.Duration // only set if it has ended
}

// Attempts returns the recorded attempts in the order of their start.
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
