package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ProtocolVersion is the version of the messages. A predecessor rejects a successor
// of another version, which then starts alone.
const ProtocolVersion = 1

// Timeouts of both processes.
const (
	messageTimeout = time.Second      // for writing a message, and for receiving its answer
	startupTimeout = 10 * time.Second // from the offer until the successor is ready to take over
)

// messageKind is the type of a message.
type messageKind uint8

// Kinds of messages with their numbers on the wire, each with its sender and contents.
const (
	kindHello      messageKind = 1 + iota // successor: its protocol version
	kindOffer                             // predecessor: its state and listening sockets
	kindReject                            // predecessor: the reason why it makes no offer
	kindTakeOver                          // successor: it is ready to take over
	kindPaused                            // predecessor: it has stopped accepting; its current state
	kindConnection                        // predecessor: an established connection with its sockets
	kindAck                               // successor: it serves the connection with this number
	kindNack                              // successor: it declines the connection with this number
	kindState                             // predecessor: its current state, which has changed since the offer
	kindCall                              // predecessor: a call for the successor
	kindResult                            // successor: the result of the call with this number
	kindRejoin                            // older process: it has lost its successor, and yields to this one; its current state
	kindRejoined                          // newer process: it serves the older one as its successor; its current state
)

// Errors of the exchange between the two processes.
var (
	errProtocol  = errors.New("hotrestart: malformed or unexpected message")
	errOtherUser = errors.New("hotrestart: peer process runs as another user")
	errNoPeer    = errors.New("hotrestart: no successor to hand off to")
	errDeclined  = errors.New("hotrestart: successor declined the connection")
)

// Errors of Predecessor.Call.
var (
	// ErrNoSuccessor means that no successor has taken over: this process serves.
	ErrNoSuccessor = errors.New("hotrestart: no successor has taken over")
	// ErrCallsUnsupported means that the successor is of a release without calls.
	ErrCallsUnsupported = errors.New("hotrestart: successor does not support calls")
	// ErrSuccessorLost means that the connection ended before the result arrived.
	ErrSuccessorLost = errors.New("hotrestart: successor lost during a call")
)

// CallError is an error that the successor returned for a call.
type CallError struct{ Text string }

// Error returns the successor's text.
func (e *CallError) Error() string { return e.Text }

// helloMessage identifies a successor.
type helloMessage struct {
	Version      int  `json:"Format"`
	PID          int  `json:"PID"`
	AcceptsCalls bool `json:"Calls,omitempty"` // it understands calls and states; false in earlier releases
}

// Offer is the state that a predecessor passes to its successor.
type Offer struct {
	Clock         time.Duration   `json:"Clock"` // current reading of the predecessor's clock
	ClockStart    time.Time       `json:"Start"` // when that clock was started
	ListenerNames []string        `json:"Doors"` // names of the listening sockets, in the order of their descriptors
	State         json.RawMessage `json:"State"`
}

// connectionMessage describes a connection that is handed off to the successor.
type connectionMessage struct {
	Number  int             `json:"Number"` // identifies the connection in the acknowledgement
	Payload json.RawMessage `json:"What"`
}

// Method names what a call asks for. The caller of this package defines the methods.
type Method string

// callMessage is a call for the successor.
type callMessage struct {
	Number   int             `json:"Number"` // identifies the call in its result
	Method   Method          `json:"Method"`
	Argument json.RawMessage `json:"Argument"`
	Timeout  time.Duration   `json:"Timeout"` // within which the predecessor needs the result
}

// resultMessage is the result of a call.
type resultMessage struct {
	Number int             `json:"Number"`
	Error  string          `json:"Error,omitempty"` // "": the call succeeded
	Result json.RawMessage `json:"Result,omitempty"`
}

// rejoinMessage identifies an older process that yields to a newer one.
type rejoinMessage struct {
	Version int             `json:"Format"`
	PID     int             `json:"PID"`
	State   json.RawMessage `json:"State"`
}

// expect returns an error unless the message is of the given kind. For a rejection,
// the error contains the predecessor's reason.
func (m *message) expect(kind messageKind) error {
	switch m.kind {
	case kind:
		return nil
	case kindReject:
		var reason string
		_ = m.decode(&reason) // a rejection without a valid reason is still a rejection
		return fmt.Errorf("hotrestart: predecessor rejected the takeover: %.200s", reason)
	}
	return errProtocol
}
