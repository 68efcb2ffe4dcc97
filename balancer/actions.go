package balancer

import "time"

// Action is something for the embedder to do: one of the types in this file with an action method.
type Action interface{ action() }

// SendAttempt sends an attempt to an endpoint.
type SendAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  time.Duration // 0: until the client's deadline
	NotAfter time.Duration // it is not sent later, on the relay's clock; 0: at any time
}

// Reject is a final answer: the request was rejected, and trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // when to try again; 0: the answer doesn't say
}

// Fail is a final answer that does not promise that trying again is harmless.
type Fail struct{ Request RequestID }

// Migrate closes an established connection in a way that makes its client reconnect.
type Migrate struct{ Request RequestID }

// SetTimer asks for a Timer event after a time.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// WatchEndpoints asks for the endpoint list: for the changes that were missed, and for those to come.
type WatchEndpoints struct{}

func (SendAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Migrate) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}
