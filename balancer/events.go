package balancer

import "time"

// EndpointID identifies an endpoint. One that restarts keeps its ID.
type EndpointID uint32

// RequestID identifies a request. An ID is never used twice.
type RequestID uint32

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	StateGone     EndpointState = iota // no longer in the list
	StateReady                         // takes requests
	StateDraining                      // completes what it has and takes nothing new
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Zone      int
	Cell      int
	Size      float64       // its registered size, relative to that of others
	StartedAt time.Duration // its last start, on the relay's clock; 0 if long ago
}

// Event is something that happened: one of the types in this file with an event method.
type Event interface{ event() }

// ListKind is what an EndpointList holds.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListFailed ListKind = iota // nothing: a call for the list failed, and the old one holds
	ListFull                   // all endpoints; those missing are gone
	ListCached                 // all endpoints as last seen before a restart; it may be stale
	ListDelta                  // changes only
)

// EndpointList is an update of the endpoint list.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// SettingsChanged puts other settings in force, for requests that arrive from now on.
type SettingsChanged struct{ Settings *Settings }

// Request is a client asking for a connection.
type Request struct {
	ID           RequestID
	Class        int
	Item         uint64        // what it is about; 0 if nothing
	Group        uint64        // the group it shares work with; 0 if none
	TimeLeft     time.Duration // until the client's deadline
	ExpectedLoad float64       // in seconds of work a second; 0 if unknown
	Returning    bool          // the client is back after a break or a migration

	Settings *Settings // those that it arrived under, and that Class is of; nil: those in force
}

// Resumed is a connection that was established before the relay's process started.
type Resumed struct {
	Request  Request
	Endpoint EndpointID
}

// Established means that the connection of an attempt is established.
type Established struct {
	Request   RequestID
	Endpoint  EndpointID
	SetupTime time.Duration
}

// AttemptStatus is how an attempt ended.
type AttemptStatus uint8

// The outcomes of an attempt.
const (
	StatusOK            AttemptStatus = iota
	StatusError                       // the endpoint answered with an error
	StatusFull                        // the endpoint rejected it unseen
	StatusTimeout                     // no answer in time
	StatusConnectFailed               // no connection could be made
	StatusReset                       // the connection broke
	StatusCancelled                   // cancelled, or the client left
	StatusNotSent                     // never sent
	StatusRedirected                  // the endpoint drains, and has redirected the client
)

// Outcome is the end of an attempt, or of the connection that it became.
type Outcome struct {
	Request  RequestID
	Endpoint EndpointID
	Status   AttemptStatus
	Final    bool // the request has ended
}

// AnswerRequired demands the final answer to a request that is not established: its relay shuts down.
type AnswerRequired struct{ Request RequestID }

// ClientLeft ends a request: its client disconnected.
type ClientLeft struct{ Request RequestID }

// ConnectionLoad reports the load of an established connection, in seconds of work a second.
type ConnectionLoad struct {
	Request  RequestID
	Endpoint EndpointID
	Load     float64
}

// EndpointDelay reports how long a message takes at an endpoint.
type EndpointDelay struct {
	Request  RequestID
	Endpoint EndpointID
	Delay    time.Duration
}

// Timer means that a timer which SetTimer set is due.
type Timer struct{ Token uint32 }

func (EndpointList) event() {}

func (SettingsChanged) event() {}

func (Request) event() {}

func (Resumed) event() {}

func (Established) event() {}

func (Outcome) event() {}

func (AnswerRequired) event() {}

func (ClientLeft) event() {}

func (ConnectionLoad) event() {}

func (EndpointDelay) event() {}

func (Timer) event() {}
