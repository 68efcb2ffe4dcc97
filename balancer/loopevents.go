package balancer

import "time"

// LoopEvent is something that is reported to a Loop: one of the types below.
type LoopEvent interface{ loopEvent() }

// AttemptEstablished reports that the attempt of a request is established.
type AttemptEstablished struct {
	Handle    *RequestHandle
	SetupTime time.Duration
}

// AttemptEnded reports how an attempt, or the connection that it became, has ended.
type AttemptEnded struct {
	Handle *RequestHandle
	Status AttemptStatus
}

// RequireAnswer demands the final answer to a request that is not established: the relay shuts down.
type RequireAnswer struct{ Handle *RequestHandle }

// ClientDisconnected reports that a client has disconnected, which ends its request.
type ClientDisconnected struct{ Handle *RequestHandle }

// LoadReport reports the load of an established connection, in seconds of work a second.
type LoadReport struct {
	Handle *RequestHandle
	Load   float64
}

// DelayReport reports how long a message takes at an endpoint.
type DelayReport struct {
	Endpoint EndpointID
	Delay    time.Duration
}

// EndpointUpdate is an update of the endpoint list.
type EndpointUpdate struct {
	Kind      ListKind
	Endpoints []Endpoint
	Revision  uint64 // of the list, for observers of decisions; 0 if not known
}

// UpdateSettings puts other settings in force, for requests that arrive from now on. PollList is ignored.
type UpdateSettings struct{ Settings *Settings }

// RestoreSnapshot restores what the Balancer of the relay's former process has observed.
type RestoreSnapshot struct{ Snapshot Snapshot }

// SlowStartBudget sets the share, from 0 to 1, of the relay's slow-start budget that this process may spend:
// none while another process of the relay spends it.
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
