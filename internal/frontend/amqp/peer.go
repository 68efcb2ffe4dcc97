package amqp

import (
	"errors"
	"fmt"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// PeerConn is the endpoint's end of a connection from the relay, for fake endpoints. It accepts the connection
// (sections 2.4 and 5.3) and the sessions that the relay begins.
type PeerConn struct {
	multiplexer *multiplexer
	readTimeout time.Duration
	done        chan struct{}     // closed by Close
	sessions    chan *PeerSession // begun by the relay and not yet returned by AcceptSession
	ended       chan struct{}     // closed once the reading goroutine has ended
}

// PeerSession is one session of a PeerConn and its links. Its methods must be called from a single goroutine.
type PeerSession struct {
	*sharedSession
	conn            *PeerConn
	partialPayloads map[uint32][]byte // payloads of partial deliveries, by link handle
}

// PeerEvent is an event of a PeerSession: the relay has attached a link, completed a delivery or detached a link.
type PeerEvent struct {
	Kind       PeerEventKind
	Handle     uint32
	DeliveryID uint32         // PeerDelivered: the delivery's id
	Settled    bool           // PeerDelivered: the relay sent the delivery settled
	Payload    []byte         // PeerDelivered: the content of a message that is one data section, otherwise nil
	Name       string         // PeerAttached: the link's name
	RelaySends bool           // PeerAttached: the relay is the sender on the link
	Properties map[string]any // PeerAttached: the properties of the attach
	attach     framing.Performative
}

// PeerEventKind is the kind of a PeerEvent.
type PeerEventKind uint8

// The kinds of PeerEvent.
const (
	PeerAttached  PeerEventKind = iota // the relay has attached a link
	PeerDelivered                      // the relay has sent a complete delivery
	PeerDetached                       // the relay has detached a link
)

// maxPeerSessions limits the sessions that a fake endpoint accepts on a connection.
const maxPeerSessions = 256

// AcceptPeerConn negotiates the server side of a connection from the relay. wait bounds each read, here and later.
// rejectSASL rejects the SASL header. An error is an I/O error, or describes how the relay violates the standard.
func AcceptPeerConn(tcp streamConn, wait time.Duration, rejectSASL bool) (*PeerConn, error) {
	conn := newConnection(tcp)
	if err := acceptProtocolHeaders(conn, wait, rejectSASL); err != nil {
		return nil, err
	}
	frame, err := conn.readFrame(framing.TypeAMQP, wait)
	if err != nil {
		return nil, err
	}
	if frame.Code != framing.CodeOpen {
		return nil, fmt.Errorf("received performative %#x from the relay, want an open", frame.Code)
	}
	peer := &PeerConn{
		multiplexer: newMultiplexer(conn), readTimeout: wait, done: make(chan struct{}),
		sessions: make(chan *PeerSession, maxPeerSessions), ended: make(chan struct{}),
	}
	peer.multiplexer.onSession = func(shared *sharedSession) {
		select {
		case peer.sessions <- &PeerSession{sharedSession: shared, conn: peer, partialPayloads: make(map[uint32][]byte)}:
		default: // more than maxPeerSessions are waiting to be accepted
			shared.endLocally()
		}
	}
	idle := conn.applyOpen(frame.Performative)
	// A write error also fails the next read.
	conn.writeFrame(0, newOpen("server").With(framing.OpenChannelMax, uint16(maxPeerSessions-1)), nil)
	go conn.sendHeartbeats(idle, peer.done)
	go func() {
		peer.multiplexer.serve(wait)
		close(peer.ended)
	}()
	return peer, nil
}

// acceptProtocolHeaders exchanges protocol headers, and SASL frames if the relay begins with SASL and rejectSASL is
// false.
func acceptProtocolHeaders(conn *connection, wait time.Duration, rejectSASL bool) error {
	header, err := conn.readProtocolHeader(wait)
	if err != nil {
		return err
	}
	if header == framing.ProtocolHeaderSASL && rejectSASL {
		conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
		return errors.New("received the SASL header from the relay, but SASL is disabled")
	}
	if header == framing.ProtocolHeaderSASL {
		if err := acceptSASL(conn, wait); err != nil {
			return err
		}
		if header, err = conn.readProtocolHeader(wait); err != nil {
			return err
		}
	}
	if header != framing.ProtocolHeaderAMQP {
		return fmt.Errorf("received protocol header %q from the relay, want AMQP 1.0", header)
	}
	return conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
}

// AcceptSession waits for the next session that the relay begins. It returns nil once the connection has ended.
func (p *PeerConn) AcceptSession() *PeerSession {
	select {
	case s := <-p.sessions:
		return s
	case <-p.ended:
	}
	select {
	case s := <-p.sessions:
		return s
	default:
		return nil
	}
}

// Close closes the connection immediately and waits for its reader to end.
func (p *PeerConn) Close() {
	close(p.done)
	p.multiplexer.Close()
	<-p.ended
}

// AcceptPeerSession accepts a connection like AcceptPeerConn, and waits for its first session.
func AcceptPeerSession(tcp streamConn, wait time.Duration, rejectSASL bool) (*PeerSession, error) {
	conn, err := AcceptPeerConn(tcp, wait, rejectSASL)
	if err != nil {
		return nil, err
	}
	session := conn.AcceptSession()
	if session == nil {
		conn.Close()
		return nil, conn.multiplexer.err
	}
	return session, nil
}

// acceptSASL runs the SASL exchange, in which the relay authenticates as ANONYMOUS.
func acceptSASL(conn *connection, wait time.Duration) error {
	if err := conn.writeProtocolHeader(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	mechanisms := codec.Array{codec.Symbol("ANONYMOUS")}
	if err := conn.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{mechanisms}}); err != nil {
		return err
	}
	frame, err := conn.readFrame(framing.TypeSASL, wait)
	if err != nil {
		return err
	}
	if frame.Code != framing.CodeSASLInit {
		return fmt.Errorf("received SASL performative %#x from the relay, want an init", frame.Code)
	}
	return conn.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// errPeerSessionEnded is returned after the relay has sent an end or a close.
var errPeerSessionEnded = errors.New("AMQP session was ended by the relay")

// Close closes the session's connection immediately.
func (p *PeerSession) Close() { p.conn.Close() }

// End ends the session.
func (p *PeerSession) End() { p.sharedSession.endLocally() }

// DiscardInput reads and ignores the session's frames until the session ends.
func (p *PeerSession) DiscardInput() {
	for {
		if frame, err := p.nextFrame(0); err != nil || frame.Code == framing.CodeEnd {
			return
		}
	}
}

// Next waits for the next event. It fails with errPeerSessionEnded if the relay ends the session, and with the
// connection's error if the connection fails.
func (p *PeerSession) Next() (PeerEvent, error) {
	for {
		frame, err := p.nextFrame(p.conn.readTimeout)
		if err != nil {
			return PeerEvent{}, err
		}
		switch frame.Code {
		case framing.CodeAttach:
			return attachedEvent(frame.Performative), nil
		case framing.CodeFlow:
			_ = p.handleFlow(frame.Performative) // a fake endpoint ignores an invalid flow
		case framing.CodeTransfer:
			event, complete, err := p.receiveDelivery(frame)
			if err != nil || complete {
				return event, err
			}
		case framing.CodeDetach:
			return PeerEvent{Kind: PeerDetached, Handle: frame.Uint32(framing.DetachHandle, 0)}, nil
		case framing.CodeEnd, framing.CodeClose:
			return PeerEvent{}, errPeerSessionEnded
		}
	}
}

// attachedEvent returns the event for an attach of the relay.
func attachedEvent(attach framing.Performative) PeerEvent {
	event := PeerEvent{
		Kind:       PeerAttached,
		Handle:     attach.Uint32(framing.AttachHandle, 0),
		Name:       codec.AsString(attach.Field(framing.AttachName)),
		RelaySends: !attach.Bool(framing.AttachRole),
		Properties: make(map[string]any),
		attach:     attach,
	}
	properties, _ := attach.Field(framing.AttachProperties).(codec.Map)
	for i := 0; i+1 < len(properties); i += 2 {
		event.Properties[codec.AsString(properties[i])] = properties[i+1]
	}
	return event
}

// receiveDelivery appends a transfer to its delivery. It returns an event and true if the delivery is complete.
func (p *PeerSession) receiveDelivery(transfer framing.Frame) (event PeerEvent, complete bool, err error) {
	if err := p.receiveTransfer(false); err != nil {
		return PeerEvent{}, false, err
	}
	handle := transfer.Uint32(framing.TransferHandle, 0)
	payload := append(p.partialPayloads[handle], transfer.Payload...)
	if len(payload) > maxPeerMessageSize {
		return PeerEvent{}, false, errors.New("message from the relay exceeds 4 MiB, the limit of a fake endpoint")
	}
	if transfer.Bool(framing.TransferMore) {
		p.partialPayloads[handle] = payload
		return PeerEvent{}, false, nil
	}
	delete(p.partialPayloads, handle)
	return PeerEvent{
		Kind:       PeerDelivered,
		Handle:     handle,
		DeliveryID: transfer.Uint32(framing.TransferDeliveryID, 0),
		Settled:    transfer.Bool(framing.TransferSettled),
		Payload:    dataSection(payload),
	}, true, nil
}

// maxPeerMessageSize is the size limit of messages to a fake endpoint, in bytes.
const maxPeerMessageSize = 4 << 20

// dataSection returns the content of a message that consists of one data section (section 3.2.6), and nil for any
// other.
func dataSection(message []byte) []byte {
	if len(message) < 5 || message[0] != 0 || message[1] != 0x53 || message[2] != 0x75 {
		return nil
	}
	switch message[3] {
	case 0xa0:
		return message[5:]
	case 0xb0:
		return message[min(8, len(message)):]
	}
	return nil
}

// Attach accepts an attach. A positive credit is granted to the relay, which must be the sender then.
func (p *PeerSession) Attach(event PeerEvent, credit uint32) error {
	reply := attachReply(event.attach, event.Handle)
	if err := p.writeFrame(p.channel, reply, nil); err != nil || credit == 0 {
		return err
	}
	return p.Credit(event.Handle, 0, credit)
}

// attachReply returns the answer to an attach: a copy in the opposite role, without the initiator's properties and
// initial-delivery-count.
func attachReply(attach framing.Performative, handle uint32) framing.Performative {
	return attach.With(framing.AttachHandle, handle).
		With(framing.AttachRole, !attach.Bool(framing.AttachRole)).
		With(framing.AttachInitialDeliveryCount, nil).
		With(framing.AttachProperties, nil)
}

// Credit sets a link's credit to the given number of deliveries, counted from a delivery-count.
func (p *PeerSession) Credit(handle, deliveryCount, credit uint32) error {
	return p.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, handle, deliveryCount, credit}})
}

// RejectAttach rejects an attach: it answers without a target and detaches the link with an error condition.
func (p *PeerSession) RejectAttach(event PeerEvent, condition string) error {
	reply := attachReply(event.attach, event.Handle).With(framing.AttachTarget, nil)
	if err := p.writeFrame(p.channel, reply, nil); err != nil {
		return err
	}
	return p.Detach(event.Handle, condition)
}

// Detach detaches a link, with an error unless the condition is empty.
func (p *PeerSession) Detach(handle uint32, condition string) error {
	errorValue := framing.NewErrorValue(condition, "as the script has it", nil)
	return p.writeFrame(p.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{handle, true, errorValue}}, nil)
}

// Settle accepts and settles a delivery.
func (p *PeerSession) Settle(delivery uint32) error {
	return p.writeFrame(p.channel, acceptingDisposition(delivery), nil)
}

// acceptingDisposition returns a receiver's disposition that accepts and settles a delivery.
func acceptingDisposition(deliveryID any) framing.Performative {
	accepted := codec.Described{Descriptor: uint64(framing.CodeAccepted), Value: codec.List{}}
	return framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, deliveryID, nil, true, accepted}}
}

// AsUint64 returns the value of an integer property. It reports false for a negative integer and for any other type.
func AsUint64(value any) (uint64, bool) { return codec.AsUint64(value) }

// Error conditions for RejectAttach and Detach.
const (
	ConditionResourceLimit = framing.CondResourceLimitExceeded
	ConditionInternalError = framing.CondInternalError
	ConditionDetachForced  = framing.CondDetachForced
)
