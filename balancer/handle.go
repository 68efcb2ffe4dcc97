package balancer

import "time"

// RequestOptions describe a request to a Loop.
type RequestOptions struct {
	Class        int           // index into the classes of Settings
	Item         uint64        // what the request is about; 0 if nothing
	Group        uint64        // the group that it shares work with; 0 if none
	Deadline     time.Duration // on the clock that Tick is given
	ExpectedLoad float64       // in seconds of work a second; 0 if unknown
	Returning    bool          // the client is back after a break or a migration
	Settings     *Settings     // those that it arrived under, and that Class is of; nil: those in force
	Endpoint     EndpointID    // where its connection is established, if Established
	Established  bool          // its connection was established by a former process

	Observer DecisionObserver // is told what is decided for it; nil: nobody is
}

// ActionKind is what is to be done next for a request.
type ActionKind uint8

// The kinds of action. Those that are final are the last action of their request.
const (
	ActionAttempt     ActionKind = iota // begin an attempt at Endpoint
	ActionEstablished                   // the attempt is established: its connection is the client's
	ActionMigrate                       // make the client reconnect elsewhere; final
	ActionClosed                        // the connection has ended; final
	ActionReject                        // answer: rejected, retry after Wait; final
	ActionFail                          // answer: failed; final
)

// RequestAction is one thing to do for a request.
type RequestAction struct {
	Kind     ActionKind
	Endpoint EndpointID
	Wait     time.Duration // of an attempt its time-out, of a rejection its retry-after; 0 if there is none
	NotAfter time.Duration // the attempt is not sent later, on the clock that Tick is given; 0: at any time
}

// actionBufferSize is the room for actions that nobody has taken yet: an attempt, its establishment and a
// final action fit without a reader.
const actionBufferSize = 8

// RequestHandle stands for one request at a Loop. One goroutine calls Pick with it.
type RequestHandle struct {
	options   RequestOptions
	submitted bool // only the goroutine that calls Pick uses it
	actions   chan RequestAction

	// Only the goroutine that calls Tick uses these.
	id       RequestID
	endpoint EndpointID // of the attempt in flight or of the connection
	done     bool
}

// NewRequestHandle returns the handle of a request that has arrived.
func NewRequestHandle(options RequestOptions) *RequestHandle {
	return &RequestHandle{options: options, actions: make(chan RequestAction, actionBufferSize)}
}

// TimeLeft returns how long the client still waits at a time, on the clock that Tick is given.
func (h *RequestHandle) TimeLeft(now time.Duration) time.Duration {
	return max(0, h.options.Deadline-now)
}
