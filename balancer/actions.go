package balancer

import "time"

// Action is an output of a Balancer that the embedder executes: one of the types in this file with an action
// method.
type Action interface{ action() }

// SendAttempt sends an attempt of a request to an endpoint.
type SendAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  time.Duration // 0: until the client's deadline
	NotAfter time.Duration // latest time to send it, on the relay's clock; 0: no limit
}

// Reject answers a request finally: it was rejected and the client may safely retry it.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // wait before the retry; 0: not specified
}

// Fail answers a request finally, without a promise that a retry is safe.
type Fail struct{ Request RequestID }

// Migrate closes an established connection such that its client reconnects.
type Migrate struct{ Request RequestID }

// SetTimer requires a Timer event with the same token after a time.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// WatchEndpoints polls for the endpoint list: changes that were missed and future ones.
type WatchEndpoints struct{}

func (SendAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Migrate) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}
