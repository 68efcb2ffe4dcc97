// Package balancer decides where a relay sends long-lived connections.
//
// A Balancer is a deterministic state machine. The relay that embeds it hands
// every event to Handle together with its clock and carries out the actions
// that Handle returns, in order. This file holds the types that cross that
// boundary; every decision is in balance.go.
package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// EndpointID names a server. A server that restarts keeps its ID.
type EndpointID uint32

// RequestID names a request. An ID is never used twice.
type RequestID uint32

// Effect says what sending a request of a class more than once does.
type Effect uint8

// The effects of sending a request more than once.
const (
	Idempotent   Effect = iota // safe to repeat anywhere
	Deduplicated               // repeats are dropped within a scope, for a while
	AtMostOnce                 // unsafe to repeat
)

// Scope is the set of servers that drop each other's repeats of a request.
type Scope uint8

// The scopes of deduplication.
const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	Name                    string        // as clients call it; "" where they use its number
	LatencyObjective        time.Duration // wanted time to set a connection up
	Deadline                time.Duration // time a client waits over all its tries
	Effect                  Effect
	Scope                   Scope         // for Deduplicated
	DeduplicationWindow     time.Duration // for Deduplicated: how long repeats are known
	MessageLatencyObjective time.Duration // wanted time of a message on an open connection; 0 if unknown
}

// Settings is what a relay is told. Nobody changes one: other settings are another
// value, and a request keeps to its end those that it began under.
type Settings struct {
	Classes []Class
	Tenants []string // whose requests are told apart; none: requests have no tenant
	Relays  int      // relays that share the servers, this one included
	Zone    int      // zone of this relay

	PollList       bool          // the server list comes only when asked for
	PollInterval   time.Duration // with Ask: how often it must be asked for without a subscription
	MaxAttempts    int           // attempts a request may have
	MinTick        time.Duration // shortest time between two events at different times
	ConnectTimeout time.Duration // a connection not made by then has failed

	MaxRetryAfter time.Duration // longest advice to clients that they follow; 0 if refusals carry none

	InitialCapacity   float64       // part of its capacity that a started server has at once
	SlowStartDuration time.Duration // time by which a started server is warm
	OverloadMultiple  float64       // a cold server sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long falls over

	CrossZoneCost float64 // price of every connection crossing zones

	// What servers tell of open connections: their loads, and how long a message takes.
	// Wires that have one word for both need to know.
	ReportsLoad, ReportsDelay bool
}

// Validate reports what is missing from the settings or contradicts itself.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings: no classes")
	case s.Relays < 1:
		return errors.New("settings: fewer than one relay")
	case s.MaxAttempts < 1:
		return errors.New("settings: no attempt is allowed")
	case s.InitialCapacity <= 0 || s.InitialCapacity > 1:
		return fmt.Errorf("settings: cold share %v is not within (0, 1]", s.InitialCapacity)
	case s.OverloadMultiple <= 0 || s.OverloadWindow <= 0 || s.SlowStartDuration < 0:
		return errors.New("settings: the figures for cold servers are not positive")
	case s.MinTick < 0 || s.ConnectTimeout < 0 || s.MaxRetryAfter < 0:
		return errors.New("settings: a time is negative")
	case s.PollList && s.PollInterval <= 0:
		return errors.New("settings: lists are asked for, but no time is set within which to ask")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: class %d has no deadline", i)
		}
		if c.Effect == Deduplicated && c.DeduplicationWindow <= 0 {
			return fmt.Errorf("settings: class %d is deduplicated, but for no time", i)
		}
	}
	return nil
}

// ClassIndex returns the number of a class by its name; -1 if there is none.
func (s *Settings) ClassIndex(class string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class })
}

// AcceptsTenant tells whether a request may be of a tenant: one of those named, where any is.
func (s *Settings) AcceptsTenant(tenant string) bool {
	return len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant)
}

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

func (EndpointList) event()    {}
func (SettingsChanged) event() {}
func (Request) event()         {}
func (Resumed) event()         {}
func (Established) event()     {}
func (Outcome) event()         {}
func (AnswerRequired) event()  {}
func (ClientLeft) event()      {}
func (ConnectionLoad) event()  {}
func (EndpointDelay) event()   {}
func (Timer) event()           {}

// Action is something for the relay to do: one of the types below.
type Action interface{ action() }

// SendAttempt begins an attempt.
type SendAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  time.Duration // 0 means until the client gives up
	NotAfter time.Duration // it is not to be sent after this, on the relay's clock; 0: at any time
}

// Reject is a final answer: turned away, trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0 means no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Migrate closes an open connection politely; its client comes again.
type Migrate struct{ Request RequestID }

// SetTimer asks for a Timer event.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// WatchEndpoints asks for the changes of the server list, missed ones first, and for
// those to come.
type WatchEndpoints struct{}

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Migrate) action()        {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
