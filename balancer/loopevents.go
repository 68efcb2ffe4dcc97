package balancer

import (
	"time"
)

// LoopEvent is something that has happened: one of the types below.
type LoopEvent interface{ loopEvent() }

// AttemptEstablished says that the pass of a transaction was accepted.
type AttemptEstablished struct {
	Handle    *RequestHandle
	SetupTime time.Duration
}

// AttemptEnded says how the pass, or the connection it became, has ended.
type AttemptEnded struct {
	Handle *RequestHandle
	Status AttemptStatus
}

// RequireAnswer asks for the final answer to a transaction that is not up: the relay leaves.
type RequireAnswer struct{ Handle *RequestHandle }

// ClientDisconnected says that the client has gone, and its pass with it.
type ClientDisconnected struct{ Handle *RequestHandle }

// LoadReport tells the load of an open connection, in seconds of work a second.
type LoadReport struct {
	Handle *RequestHandle
	Load   float64
}

// DelayReport tells how long a message takes at a server.
type DelayReport struct {
	Endpoint EndpointID
	Delay    time.Duration
}

// EndpointUpdate is news of the servers.
type EndpointUpdate struct {
	Kind      ListKind
	Endpoints []Endpoint
	Revision  uint64 // of the list, for those who are told of decisions; 0 if not known
}

// UpdateSettings says that other settings are in force.
type UpdateSettings struct{ Settings *Settings }

// RestoreSnapshot has the module take over what another process's has learnt.
type RestoreSnapshot struct{ Snapshot Snapshot }

// SlowStartBudget tells what part of the relay's budget for cold servers is this process's: all of
// it, or none while another process of the relay spends it.
type SlowStartBudget struct{ Share float64 }

func (RestoreSnapshot) loopEvent() {}

func (SlowStartBudget) loopEvent() {}

func (UpdateSettings) loopEvent() {}

func (AttemptEstablished) loopEvent() {}

func (AttemptEnded) loopEvent() {}

func (RequireAnswer) loopEvent() {}

func (ClientDisconnected) loopEvent() {}

func (LoadReport) loopEvent() {}

func (DelayReport) loopEvent() {}

func (EndpointUpdate) loopEvent() {}
