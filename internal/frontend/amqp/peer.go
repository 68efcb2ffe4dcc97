package amqp

import (
	"errors"
	"fmt"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// PeerConn is an endpoint's end of a connection that the relay has opened, for fake servers: the opening (section 2.4; part
// 5, section 5.3), and the sessions that the relay begins.
type PeerConn struct {
	multiplexer *multiplexer
	readTimeout time.Duration
	done        chan struct{}     // closed by Close
	sessions    chan *PeerSession // begun by the relay, and not yet returned by Session
	ended       chan struct{}     // closed once the reader has ended
}

// PeerSession is one session of a PeerConn, and the links that are attached to it. Its methods are for one goroutine.
type PeerSession struct {
	*sharedSession
	conn            *PeerConn
	partialPayloads map[uint32][]byte // of partial deliveries, by link handle
}

// PeerEvent is an event of a Peer: a link is attached, a delivery is complete, or a link is detached.
type PeerEvent struct {
	Kind       PeerEventKind
	Handle     uint32
	DeliveryID uint32         // of PeerDelivered
	Settled    bool           // by the sender, of PeerDelivered
	Payload    []byte         // of PeerDelivered: the message's data section, where it is one
	Name       string         // of the link, of PeerAttached
	RelaySends bool           // the relay's side sends, of PeerAttached
	Properties map[string]any // of PeerAttached: strings, numbers and booleans
	attach     framing.Performative
}

// PeerEventKind is the kind of a PeerEvent.
type PeerEventKind uint8

// The kinds of PeerEvent.
const (
	PeerAttached  PeerEventKind = iota // the other side has attached a link
	PeerDelivered                      // the other side has sent a complete delivery
	PeerDetached                       // the other side has detached a link
)

// maxPeerSessions is how many sessions a fake server accepts on a connection.
const maxPeerSessions = 256

// AcceptPeerConn opens the connection of a relay that has connected. wait bounds each read, here and later. plain rejects
// the security layer. Its errors are those of the connection, or say how the relay breaks the standard.
func AcceptPeerConn(tcp streamConn, wait time.Duration, plain bool) (*PeerConn, error) {
	c := newConnection(tcp)
	if err := acceptProtocolHeaders(c, wait, plain); err != nil {
		return nil, err
	}
	frame, err := c.readFrame(framing.TypeAMQP, wait)
	if err != nil {
		return nil, err
	}
	if frame.Code != framing.CodeOpen {
		return nil, fmt.Errorf("a server was told %#x for an open", frame.Code)
	}
	p := &PeerConn{
		multiplexer: newMultiplexer(c), readTimeout: wait, done: make(chan struct{}),
		sessions: make(chan *PeerSession, maxPeerSessions), ended: make(chan struct{}),
	}
	p.multiplexer.onSession = func(shared *sharedSession) {
		select {
		case p.sessions <- &PeerSession{sharedSession: shared, conn: p, partialPayloads: make(map[uint32][]byte)}:
		default: // more sessions than a fake server accepts in all
			shared.endLocally()
		}
	}
	idle := c.applyOpen(frame.Performative)
	c.writeFrame(0, newOpen("server").With(framing.OpenChannelMax, uint16(maxPeerSessions-1)), nil) // on failure the next read sees why
	go c.sendHeartbeats(idle, p.done)
	go func() {
		p.multiplexer.serve(wait)
		close(p.ended)
	}()
	return p, nil
}

// acceptProtocolHeaders passes the protocol headers, and the security layer between them unless plain rejects it.
func acceptProtocolHeaders(conn *connection, wait time.Duration, plain bool) error {
	header, err := conn.readProtocolHeader(wait)
	if err != nil {
		return err
	}
	if header == framing.ProtocolHeaderSASL && plain {
		conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
		return errors.New("the relay began with the security layer")
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
		return fmt.Errorf("a server was greeted with %q", header)
	}
	return conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
}

// AcceptSession waits for the next session that the relay begins; nil: the connection has ended.
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

// Close ends the connection at once.
func (p *PeerConn) Close() {
	close(p.done)
	p.multiplexer.Close()
	<-p.ended
}

// AcceptPeerSession opens the connection of a relay as AcceptPeerConn does, and waits for the first session.
func AcceptPeerSession(tcp streamConn, wait time.Duration, plain bool) (*PeerSession, error) {
	c, err := AcceptPeerConn(tcp, wait, plain)
	if err != nil {
		return nil, err
	}
	p := c.AcceptSession()
	if p == nil {
		c.Close()
		return nil, c.multiplexer.err
	}
	return p, nil
}

// acceptSASL passes the security layer: the relay authenticates anonymously.
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
		return fmt.Errorf("a server was told %#x for an init", frame.Code)
	}
	return conn.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// errPeerSessionEnded says that the relay has sent an end or a close.
var errPeerSessionEnded = errors.New("the relay has ended the session")

// Close ends the connection at once.
func (p *PeerSession) Close() { p.conn.Close() }

// End ends the session.
func (p *PeerSession) End() { p.sharedSession.endLocally() }

// DiscardInput reads and ignores the session's frames until its end.
func (p *PeerSession) DiscardInput() {
	for {
		if frame, err := p.nextFrame(0); err != nil || frame.Code == framing.CodeEnd {
			return
		}
	}
}

// Next waits for the next event. Its errors are those of the connection, or say that the relay has ended the session.
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
			_ = p.handleFlow(frame.Performative) // a fake server ignores a bad flow
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

// attachedEvent is the event of the relay's attach.
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

// receiveDelivery adds a transfer to its delivery. It returns the event, and true, once the delivery is complete.
func (p *PeerSession) receiveDelivery(transfer framing.Frame) (event PeerEvent, complete bool, err error) {
	if err := p.receiveTransfer(false); err != nil {
		return PeerEvent{}, false, err
	}
	handle := transfer.Uint32(framing.TransferHandle, 0)
	payload := append(p.partialPayloads[handle], transfer.Payload...)
	if len(payload) > maxPeerMessageSize {
		return PeerEvent{}, false, errors.New("a message is longer than a stand-in reads")
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

// maxPeerMessageSize is the longest message that a fake server reads, in bytes.
const maxPeerMessageSize = 4 << 20

// dataSection returns the contents of a message that is one data section (section 3.2.6); nil of any other.
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

// Attach answers an attach, and grants credit if the relay's side is to send.
func (p *PeerSession) Attach(e PeerEvent, credit uint32) error {
	reply := attachReply(e.attach, e.Handle)
	if err := p.writeFrame(p.channel, reply, nil); err != nil || credit == 0 {
		return err
	}
	return p.Credit(e.Handle, 0, credit)
}

// attachReply is the answer to an attach: the same in the other role, without what the initiator alone says.
func attachReply(attach framing.Performative, handle uint32) framing.Performative {
	return attach.With(framing.AttachHandle, handle).
		With(framing.AttachRole, !attach.Bool(framing.AttachRole)).
		With(framing.AttachInitialDeliveryCount, nil).
		With(framing.AttachProperties, nil)
}

// Credit grants credit for credit deliveries from the delivery-count count on.
func (p *PeerSession) Credit(handle, count, credit uint32) error {
	return p.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, handle, count, credit}})
}

// RejectAttach answers an attach and detaches the link at once, with a condition of the standard.
func (p *PeerSession) RejectAttach(e PeerEvent, condition string) error {
	reply := attachReply(e.attach, e.Handle).With(framing.AttachTarget, nil)
	if err := p.writeFrame(p.channel, reply, nil); err != nil {
		return err
	}
	return p.Detach(e.Handle, condition)
}

// Detach detaches a link, with an error if the condition is not empty.
func (p *PeerSession) Detach(handle uint32, condition string) error {
	errorValue := framing.NewErrorValue(condition, "as the script has it", nil)
	return p.writeFrame(p.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{handle, true, errorValue}}, nil)
}

// Settle accepts and settles a delivery.
func (p *PeerSession) Settle(delivery uint32) error {
	return p.writeFrame(p.channel, acceptingDisposition(delivery), nil)
}

// acceptingDisposition is a receiver's disposition that accepts and settles a delivery.
func acceptingDisposition(deliveryID any) framing.Performative {
	accepted := codec.Described{Descriptor: uint64(framing.CodeAccepted), Value: codec.List{}}
	return framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, deliveryID, nil, true, accepted}}
}

// AsUint64 returns a property that is an integer and not negative; it reports false for any other.
func AsUint64(v any) (uint64, bool) { return codec.AsUint64(v) }

// Conditions with which a server detaches links.
const (
	ConditionResourceLimit = framing.CondResourceLimitExceeded
	ConditionInternalError = framing.CondInternalError
	ConditionDetachForced  = framing.CondDetachForced
)
