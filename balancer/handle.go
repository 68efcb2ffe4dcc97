package balancer

import (
	"time"
)

// RequestOptions is what a client asks for.
type RequestOptions struct {
	Class        int
	Item         uint64
	Group        uint64
	Deadline     time.Duration // on the clock that Tick is given
	ExpectedLoad float64       // in seconds of work a second; 0 if unknown
	Returning    bool          // the client is back after a break or a move
	Settings     *Settings     // that it began under, and that Class is of; nil: those in force
	Endpoint     EndpointID    // the server that already has it open, if Open
	Established  bool

	Observer DecisionObserver // is told what is decided for it; nil: nobody is
}

// ActionKind says what is to be done next for a transaction.
type ActionKind uint8

// The kinds of step.
const (
	ActionAttempt     ActionKind = iota // begin a proxy pass to Server
	ActionEstablished                   // the pass is accepted: it is the client's
	ActionMigrate                       // send the client away politely; final
	ActionClosed                        // the connection has ended; final
	ActionReject                        // answer: unavailable, come back after Wait; final
	ActionFail                          // answer: failed; final
)

// RequestAction is one thing to do for a transaction.
type RequestAction struct {
	Kind     ActionKind
	Endpoint EndpointID
	Wait     time.Duration // the pass's time-out, or when to come back; 0 if there is none
	NotAfter time.Duration // on the clock that Tick is given: a pass is not sent later; 0: at any time
}

// RequestHandle stands for one transaction at a Facade.
type RequestHandle struct {
	ask   RequestOptions
	begun bool // only its own goroutine looks
	id    RequestID
	at    EndpointID         // of the pass that is out
	steps chan RequestAction // a pass, its acceptance and a final step fit without a reader
	over  bool
}

// NewRequestHandle returns the ticket of a transaction that has come in.
func NewRequestHandle(ask RequestOptions) *RequestHandle {
	return &RequestHandle{ask: ask, steps: make(chan RequestAction, 8)}
}

// TimeLeft returns how long its client will still wait at a time.
func (t *RequestHandle) TimeLeft(now time.Duration) time.Duration { return max(0, t.ask.Deadline-now) }
