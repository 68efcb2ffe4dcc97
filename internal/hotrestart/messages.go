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
	kindPaused                            // predecessor: it has stopped accepting
	kindConnection                        // predecessor: an established connection with its sockets
	kindAck                               // successor: it serves the connection with this number
	kindNack                              // successor: it declines the connection with this number
)

// Errors of the exchange between the two processes.
var (
	errProtocol  = errors.New("hotrestart: malformed or unexpected message")
	errOtherUser = errors.New("hotrestart: peer process runs as another user")
	errNoPeer    = errors.New("hotrestart: no successor to hand off to")
	errDeclined  = errors.New("hotrestart: successor declined the connection")
)

// helloMessage identifies a successor.
type helloMessage struct {
	Version int `json:"Format"`
	PID     int `json:"PID"`
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
