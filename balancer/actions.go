package balancer

import "time"

// Action is an output of a Balancer that the embedding code executes: one of the types in this file with an
// action method.
type Action interface{ action() }

// SendAttempt sends an attempt of a request to an endpoint.
type SendAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  time.Duration // 0: until the client's deadline
	NotAfter time.Duration // latest time to send it, on the relay's clock; 0: no limit
}

// Reject is a final answer to a request: it was rejected and the client may safely retry it.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // wait before the retry; 0: not specified
}

// Fail is a final answer to a request: it failed and a retry may execute it a second time.
type Fail struct{ Request RequestID }

// Migrate closes an established connection so that its client reconnects, usually to another endpoint.
type Migrate struct{ Request RequestID }

// SetTimer requests a Timer event with the same token after a time.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// WatchEndpoints requests an EndpointList with the changes that the Balancer has missed, and later changes as
// they happen. It is repeated until it is answered. Retries that need a fresh list cause one, too.
type WatchEndpoints struct{}

func (SendAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Migrate) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}
