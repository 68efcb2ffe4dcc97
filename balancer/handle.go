package balancer

import "time"

// RequestOptions describe a request that is submitted to a Loop.
type RequestOptions struct {
	Class        int           // index into the classes of Settings
	Item         uint64        // the object that it concerns; 0 if none
	Group        uint64        // requests of a group share work at an endpoint; 0 if none
	Deadline     time.Duration // on the clock passed to Tick
	ExpectedLoad float64       // in seconds of work per second; 0 if unknown
	Returning    bool          // the client reconnects after a disconnect or migration
	Settings     *Settings     // those at its arrival, to which Class refers; nil: the current ones
	Endpoint     EndpointID    // of its connection, if Established
	Established  bool          // its connection was established by a previous process

	Observer DecisionObserver // is notified of decisions on it; nil: none
}

// ActionKind is the kind of a RequestAction.
type ActionKind uint8

// The kinds of action. A final action is the last one for its request.
const (
	ActionAttempt     ActionKind = iota // start an attempt at Endpoint
	ActionEstablished                   // the attempt's connection is established and serves the client
	ActionMigrate                       // make the client reconnect elsewhere; final
	ActionClosed                        // the client or the connection has ended; final
	ActionReject                        // answer: rejected, retry after Wait; final
	ActionFail                          // answer: failed; final
)

// RequestAction is the next action to execute for a request.
type RequestAction struct {
	Kind     ActionKind
	Endpoint EndpointID
	Wait     time.Duration // timeout of an attempt, or retry-after of a rejection; 0 if none
	NotAfter time.Duration // latest time to send the attempt, on the clock passed to Tick; 0: no limit
}

// actionBufferSize is the number of actions that a handle buffers until NextAction returns them: an attempt,
// its establishment and a final action fit.
const actionBufferSize = 8

// RequestHandle identifies one request of a Loop. Only one goroutine calls NextAction with it.
type RequestHandle struct {
	options   RequestOptions
	submitted bool // used only by the goroutine that calls NextAction
	actions   chan RequestAction

	// These fields are used only by the goroutine that calls Tick.
	id       RequestID
	endpoint EndpointID // of the attempt in flight or the connection
	done     bool
}

// NewRequestHandle returns a handle for a request that has arrived. NextAction submits it.
func NewRequestHandle(options RequestOptions) *RequestHandle {
	return &RequestHandle{options: options, actions: make(chan RequestAction, actionBufferSize)}
}

// TimeLeft returns the time left until the client's deadline. now is on the clock passed to Tick.
func (h *RequestHandle) TimeLeft(now time.Duration) time.Duration {
	return max(0, h.options.Deadline-now)
}
