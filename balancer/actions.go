package balancer

import (
	"time"
)

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

func (SendAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Migrate) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}
