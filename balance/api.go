// Package balance decides where a relay sends long-lived connections.
//
// A Balancer is a deterministic state machine. The relay that embeds it hands
// every event to Handle together with its clock and carries out the actions
// that Handle returns, in order. This file holds the types that cross that
// boundary; every decision is in balance.go.
package balance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ServerID names a server. A server that restarts keeps its ID.
type ServerID uint32

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
	Name       string        // as clients call it; "" where they use its number
	Aim        time.Duration // wanted time to set a connection up
	Deadline   time.Duration // time a client waits over all its tries
	Effect     Effect
	Scope      Scope         // for Deduplicated
	Memory     time.Duration // for Deduplicated: how long repeats are known
	MessageAim time.Duration // wanted time of a message on an open connection; 0 if unknown
}

// Settings is what a relay is told. Nobody changes one: other settings are another
// value, and a request keeps to its end those that it began under.
type Settings struct {
	Classes []Class
	Tenants []string // whose requests are told apart; none: requests have no tenant
	Relays  int      // relays that share the servers, this one included
	Zone    int      // zone of this relay

	Ask         bool          // the server list comes only when asked for
	AskEvery    time.Duration // with Ask: how often it must be asked for without a subscription
	MaxAttempts int           // attempts a request may have
	Tick        time.Duration // shortest time between two events at different times
	Connect     time.Duration // a connection not made by then has failed

	MaxRetryAfter time.Duration // longest advice to clients that they follow; 0 if refusals carry none

	ColdShare   float64       // part of its capacity that a started server has at once
	ColdFor     time.Duration // time by which a started server is warm
	TipMultiple float64       // a cold server sent more than this multiple of its capacity
	TipAfter    time.Duration // for this long falls over

	CrossZoneCost float64 // price of every connection crossing zones

	// What servers tell of open connections: their loads, and how long a message takes.
	// Wires that have one word for both need to know.
	TellsLoad, TellsDelay bool
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
	case s.ColdShare <= 0 || s.ColdShare > 1:
		return fmt.Errorf("settings: cold share %v is not within (0, 1]", s.ColdShare)
	case s.TipMultiple <= 0 || s.TipAfter <= 0 || s.ColdFor < 0:
		return errors.New("settings: the figures for cold servers are not positive")
	case s.Tick < 0 || s.Connect < 0 || s.MaxRetryAfter < 0:
		return errors.New("settings: a time is negative")
	case s.Ask && s.AskEvery <= 0:
		return errors.New("settings: lists are asked for, but no time is set within which to ask")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: class %d has no deadline", i)
		}
		if c.Effect == Deduplicated && c.Memory <= 0 {
			return fmt.Errorf("settings: class %d is deduplicated, but for no time", i)
		}
	}
	return nil
}

// Named returns the number of a class by its name; -1 if there is none.
func (s *Settings) Named(class string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class })
}

// Serves tells whether a request may be of a tenant: one of those named, where any is.
func (s *Settings) Serves(tenant string) bool {
	return len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant)
}

// State is what the server list says of a server.
type State uint8

// The states of a server in the server list.
const (
	Gone     State = iota // no longer in the list
	Ready                 // takes requests
	Draining              // finishes what it has and takes nothing new
)

// Server is one line of the server list.
type Server struct {
	ID     ServerID
	State  State
	Zone   int
	Cell   int
	Weight float64       // its registered size against that of others
	Born   time.Duration // time of its last start; 0 if long ago
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

// ServerList is news of the servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Retuned says that other settings are in force, for all that begins from now on.
type Retuned struct{ Settings *Settings }

// Request is a client asking for a connection.
type Request struct {
	ID     RequestID
	Class  int
	Item   uint64        // what it is about; 0 if nothing
	Group  uint64        // the group it shares work with; 0 if none
	Left   time.Duration // time until the client gives up
	Load   float64       // expected load, in seconds of work a second; 0 if unknown
	Return bool          // the client is back after a break or a move

	Under *Settings // that it began under, and that Class is of; nil: those in force
}

// Resumed is a connection already open when the relay starts.
type Resumed struct {
	Request Request
	Server  ServerID
}

// Standing says that the connection of an attempt is up.
type Standing struct {
	Request RequestID
	Server  ServerID
	Took    time.Duration
}

// Status is how an attempt ended.
type Status uint8

// The results of an attempt.
const (
	OK            Status = iota
	Error                // the server answered with an error
	Full                 // turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // no connection could be made
	Reset                // the connection broke
	Cancelled            // called off, or the client left
	Moot                 // never sent
	SentAway             // its server drains, and has sent the client away
)

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Server  ServerID
	Status  Status
	Done    bool // the request is over
}

// Dismissed says that a request gets its final answer now, if it is not up: its relay leaves.
type Dismissed struct{ Request RequestID }

// ClientLeft says that a request is over because its client went away.
type ClientLeft struct{ Request RequestID }

// LoadNote tells the load of an open connection, in seconds of work a second.
type LoadNote struct {
	Request RequestID
	Server  ServerID
	Load    float64
}

// DelayNote tells how long a message takes at a server.
type DelayNote struct {
	Request RequestID
	Server  ServerID
	Delay   time.Duration
}

// Timer is a timer that SetTimer set.
type Timer struct{ Token uint32 }

func (ServerList) event() {}
func (Retuned) event()    {}
func (Request) event()    {}
func (Resumed) event()    {}
func (Standing) event()   {}
func (Outcome) event()    {}
func (Dismissed) event()  {}
func (ClientLeft) event() {}
func (LoadNote) event()   {}
func (DelayNote) event()  {}
func (Timer) event()      {}

// Action is something for the relay to do: one of the types below.
type Action interface{ action() }

// Send begins an attempt.
type Send struct {
	Request RequestID
	Server  ServerID
	Timeout time.Duration // 0 means until the client gives up
	Latest  time.Duration // it is not to be sent after this, on the relay's clock; 0: at any time
}

// Refuse is a final answer: turned away, trying again is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter time.Duration // 0 means no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Move closes an open connection politely; its client comes again.
type Move struct{ Request RequestID }

// SetTimer asks for a Timer event.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// Watch asks for the changes of the server list, missed ones first, and for
// those to come.
type Watch struct{}

func (Send) action()     {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (Move) action()     {}
func (SetTimer) action() {}
func (Watch) action()    {}
