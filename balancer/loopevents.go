package balancer

import "time"

// LoopEvent is an event that is reported to a Loop: one of the types below.
type LoopEvent interface{ loopEvent() }

// AttemptEstablished reports that the connection of a request's attempt is established.
type AttemptEstablished struct {
	Handle    *RequestHandle
	SetupTime time.Duration
}

// AttemptEnded reports the end of an attempt or of an established connection.
type AttemptEnded struct {
	Handle *RequestHandle
	Status AttemptStatus
}

// RequireAnswer demands the final answer to a request that is not established, as its relay shuts down.
type RequireAnswer struct{ Handle *RequestHandle }

// ClientDisconnected reports that the client of a request disconnected, which ends the request.
type ClientDisconnected struct{ Handle *RequestHandle }

// LoadReport reports the load of an established connection, in seconds of work per second.
type LoadReport struct {
	Handle *RequestHandle
	Load   float64
}

// DelayReport reports the delay of a message at an endpoint.
type DelayReport struct {
	Endpoint EndpointID
	Delay    time.Duration
}

// EndpointUpdate reports an update of the endpoint list.
type EndpointUpdate struct {
	Kind      ListKind
	Endpoints []Endpoint
	Revision  uint64 // of the list, for decision observers; 0 if unknown
}

// UpdateSettings replaces the settings for requests that arrive from now on. PollList is ignored.
type UpdateSettings struct{ Settings *Settings }

// RestoreSnapshot restores the snapshot of the relay's previous process.
type RestoreSnapshot struct{ Snapshot Snapshot }

// SetSlowStartShare sets the share, from 0 to 1, of the relay's slow-start budget that this process may use.
// It is 0 while another process of the relay uses all of it.
type SetSlowStartShare struct{ Share float64 }

func (RestoreSnapshot) loopEvent() {}

func (SetSlowStartShare) loopEvent() {}

func (UpdateSettings) loopEvent() {}

func (AttemptEstablished) loopEvent() {}

func (AttemptEnded) loopEvent() {}

func (RequireAnswer) loopEvent() {}

func (ClientDisconnected) loopEvent() {}

func (LoadReport) loopEvent() {}

func (DelayReport) loopEvent() {}

func (EndpointUpdate) loopEvent() {}
