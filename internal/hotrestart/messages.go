package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ProtocolVersion is the version of the messages. A peer of another version is
// rejected, and starts alone.
const ProtocolVersion = 1

// Bounds on the waits of both processes.
const (
	messageTimeout = time.Second      // for a message to be written, and for the answer to it
	startupTimeout = 10 * time.Second // for a successor to be ready, once it has the offer
)

// messageKind is what a message says.
type messageKind uint8

// The numbers go over the wire.
const (
	kindHello      messageKind = 1 + iota // successor: its version
	kindOffer                             // predecessor: its state, with the listening sockets
	kindReject                            // predecessor: why there is no offer
	kindTakeOver                          // successor: it is ready to take over
	kindPaused                            // predecessor: it accepts no more
	kindConnection                        // predecessor: a connection, with its sockets
	kindAck                               // successor: the connection is served here
	kindNack                              // successor: it is not
)

// Errors of the exchange between the two processes.
var (
	errProtocol   = errors.New("hotrestart: malformed or unexpected message")
	errOtherUser  = errors.New("hotrestart: peer belongs to another user")
	errNoPeer     = errors.New("hotrestart: no successor to hand off to")
	errNotAdopted = errors.New("hotrestart: successor declined the connection")
)

// helloMessage says who a successor is.
type helloMessage struct {
	Version int `json:"Format"`
	PID     int `json:"PID"`
}

// Offer is what a successor starts with.
type Offer struct {
	Clock         time.Duration   `json:"Clock"` // reading of the predecessor's clock
	ClockStart    time.Time       `json:"Start"` // when that clock was started
	ListenerNames []string        `json:"Doors"` // one for each listening socket, in their order
	State         json.RawMessage `json:"State"`
}

// connectionMessage describes a connection that is handed off.
type connectionMessage struct {
	Number  int             `json:"Number"` // repeated in the acknowledgement
	Payload json.RawMessage `json:"What"`
}

// expect returns an error unless the message is of a kind. A rejection's error
// has its reason.
func (m *message) expect(kind messageKind) error {
	switch m.kind {
	case kind:
		return nil
	case kindReject:
		var reason string
		_ = m.decode(&reason) // the rejection counts, with its reason or without
		return fmt.Errorf("hotrestart: refused by the predecessor: %.200s", reason)
	}
	return errProtocol
}
