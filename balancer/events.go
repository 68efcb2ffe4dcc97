package balancer

import (
	"time"
)

// EndpointID names a server. A server that restarts keeps its ID.
type EndpointID uint32

// RequestID names a request. An ID is never used twice.
type RequestID uint32

// EndpointState is what the server list says of a server.
type EndpointState uint8

// The states of a server in the server list.
const (
	StateGone     EndpointState = iota // no longer in the list
	StateReady                         // takes requests
	StateDraining                      // finishes what it has and takes nothing new
)

// Endpoint is one line of the server list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Zone      int
	Cell      int
	Weight    float64       // its registered size against that of others
	StartedAt time.Duration // time of its last start; 0 if long ago
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

// ListKind tells how a server list is to be read.
type ListKind uint8

// The kinds of server list.
const (
	ListFailed ListKind = iota // a call for the list failed; the old one holds
	ListFull                   // all servers; those missing are gone
	ListCached                 // all servers as last seen before a restart
	ListDelta                  // changes only
)

// EndpointList is news of the servers.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// SettingsChanged says that other settings are in force, for all that begins from now on.
type SettingsChanged struct{ Settings *Settings }

// Request is a client asking for a connection.
type Request struct {
	ID           RequestID
	Class        int
	Item         uint64        // what it is about; 0 if nothing
	Group        uint64        // the group it shares work with; 0 if none
	TimeLeft     time.Duration // time until the client gives up
	ExpectedLoad float64       // expected load, in seconds of work a second; 0 if unknown
	Returning    bool          // the client is back after a break or a move

	Settings *Settings // that it began under, and that Class is of; nil: those in force
}

// Resumed is a connection already open when the relay starts.
type Resumed struct {
	Request  Request
	Endpoint EndpointID
}

// Established says that the connection of an attempt is up.
type Established struct {
	Request   RequestID
	Endpoint  EndpointID
	SetupTime time.Duration
}

// AttemptStatus is how an attempt ended.
type AttemptStatus uint8

// The results of an attempt.
const (
	StatusOK            AttemptStatus = iota
	StatusError                       // the server answered with an error
	StatusFull                        // turned away unseen
	StatusTimeout                     // no answer in time
	StatusConnectFailed               // no connection could be made
	StatusReset                       // the connection broke
	StatusCancelled                   // called off, or the client left
	StatusNotSent                     // never sent
	StatusRedirected                  // its server drains, and has sent the client away
)

// Outcome is the end of an attempt.
type Outcome struct {
	Request  RequestID
	Endpoint EndpointID
	Status   AttemptStatus
	Final    bool // the request is over
}

// AnswerRequired says that a request gets its final answer now, if it is not up: its relay leaves.
type AnswerRequired struct{ Request RequestID }

// ClientLeft says that a request is over because its client went away.
type ClientLeft struct{ Request RequestID }

// ConnectionLoad tells the load of an open connection, in seconds of work a second.
type ConnectionLoad struct {
	Request  RequestID
	Endpoint EndpointID
	Load     float64
}

// EndpointDelay tells how long a message takes at a server.
type EndpointDelay struct {
	Request  RequestID
	Endpoint EndpointID
	Delay    time.Duration
}

// Timer is a timer that SetTimer set.
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
