package balancer

import "time"

// EndpointID identifies an endpoint. It stays the same when the endpoint restarts.
type EndpointID uint32

// RequestID identifies a request. An ID is never reused.
type RequestID uint32

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	StateGone     EndpointState = iota // no longer in the list
	StateReady                         // takes requests
	StateDraining                      // serves its connections but takes no new requests
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Zone      int
	Cell      int
	Size      float64       // registered capacity relative to other endpoints
	StartedAt time.Duration // last start, on the relay's clock; 0 if long ago
}

// Event is an input of a Balancer: one of the types in this file with an event method.
type Event interface{ event() }

// ListKind says what an EndpointList contains.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListFailed ListKind = iota // nothing: getting the list failed and the old list stays valid
	ListFull                   // all endpoints; any other is gone
	ListCached                 // all endpoints as last seen before a restart; it may be stale
	ListDelta                  // changed endpoints only
)

// EndpointList is an update of the endpoint list.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// SettingsChanged replaces the settings for requests that arrive from now on.
type SettingsChanged struct{ Settings *Settings }

// Request is the arrival of a client's request for a connection.
type Request struct {
	ID           RequestID
	Class        int
	Item         uint64        // the object that it concerns; 0 if none
	Group        uint64        // requests of a group share work at an endpoint; 0 if none
	TimeLeft     time.Duration // until the client's deadline
	ExpectedLoad float64       // in seconds of work per second; 0 if unknown
	Returning    bool          // the client reconnects after a disconnect or migration

	Settings *Settings // those at its arrival, to which Class refers; nil: the current ones
}

// Resumed reports a connection that was established before this process of the relay started.
type Resumed struct {
	Request  Request
	Endpoint EndpointID
}

// Established reports that the connection of an attempt is established.
type Established struct {
	Request   RequestID
	Endpoint  EndpointID
	SetupTime time.Duration
}

// AttemptStatus is the outcome of an attempt or connection.
type AttemptStatus uint8

// The outcomes of an attempt or connection.
const (
	StatusOK            AttemptStatus = iota
	StatusError                       // the endpoint answered with an error
	StatusFull                        // the endpoint rejected it before processing
	StatusTimeout                     // no answer in time
	StatusConnectFailed               // no connection could be made
	StatusReset                       // the connection was reset
	StatusCancelled                   // cancelled, or the client left
	StatusNotSent                     // not sent to the endpoint
	StatusRedirected                  // the endpoint is draining and redirected the client
)

// Outcome reports the end of an attempt or of an established connection.
type Outcome struct {
	Request  RequestID
	Endpoint EndpointID
	Status   AttemptStatus
	Final    bool // the request has ended
}

// AnswerRequired demands the final answer to a request that is not established, as its relay shuts down.
type AnswerRequired struct{ Request RequestID }

// ClientLeft reports that the client of a request disconnected, which ends the request.
type ClientLeft struct{ Request RequestID }

// ConnectionLoad reports the load of an established connection, in seconds of work per second.
type ConnectionLoad struct {
	Request  RequestID
	Endpoint EndpointID
	Load     float64
}

// EndpointDelay reports the delay of a message at an endpoint.
type EndpointDelay struct {
	Request  RequestID
	Endpoint EndpointID
	Delay    time.Duration
}

// Timer reports that a timer set by SetTimer has expired.
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
