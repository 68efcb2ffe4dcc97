package amqp

import (
	"errors"
	"fmt"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"time"
)

// PeerConn is an application server's end of a connection of the relay's, for stand-ins: the greeting as the
// standard has it (part 2, section 2.4; part 5, section 5.3), and the sessions that the relay begins.
type PeerConn struct {
	mux      *mux
	wait     time.Duration
	stop     chan struct{}
	sessions chan *Peer
	ended    chan struct{}
}

// Peer is one session of a PeerConn, and the links that are attached to it. One goroutine uses it.
type Peer struct {
	*lane
	conn    *PeerConn
	payload map[uint32][]byte // of deliveries that have come in part, by their links
}

// PeerEvent is what a Peer is told: a link is attached, a delivery has come whole, or
// a link is detached.
type PeerEvent struct {
	Kind       PeerKind
	Handle     uint32
	Delivery   uint32         // of PeerDelivered
	Settled    bool           // by the sender, of PeerDelivered
	Payload    []byte         // of PeerDelivered: the message's data section, where it is one
	Name       string         // of the link, of PeerAttached
	Sends      bool           // the relay's side sends, of PeerAttached
	Properties map[string]any // of PeerAttached: strings, numbers and truths
	attach     framing.Performative
}

// PeerKind is the kind of a PeerEvent.
type PeerKind uint8

// The kinds of PeerEvent.
const (
	PeerAttached  PeerKind = iota // the other side has attached a link
	PeerDelivered                 // the other side has sent a whole delivery
	PeerDetached                  // the other side has detached a link
)

// sessionsMost is how many sessions a stand-in takes on a connection.
const sessionsMost = 256

// AcceptPeerConn greets a relay that has connected, up to the open. wait bounds each read, here and later. plain
// refuses the security layer. Its errors are those of the connection, or say how the relay breaks the standard.
func AcceptPeerConn(tcp socket, wait time.Duration, plain bool) (*PeerConn, error) {
	c := newConn(tcp)
	h, err := c.readHeader(wait)
	if err != nil {
		return nil, err
	}
	if h == framing.ProtocolHeaderSASL && plain {
		c.header(framing.ProtocolHeaderAMQP)
		return nil, errors.New("the relay began with the security layer")
	}
	if h == framing.ProtocolHeaderSASL {
		if err := acceptSASL(c, wait); err != nil {
			return nil, err
		}
		if h, err = c.readHeader(wait); err != nil {
			return nil, err
		}
	}
	if h != framing.ProtocolHeaderAMQP {
		return nil, fmt.Errorf("a server was greeted with %q", h)
	}
	if err := c.header(framing.ProtocolHeaderAMQP); err != nil {
		return nil, err
	}
	f, err := c.read(framing.TypeAMQP, wait)
	if err != nil {
		return nil, err
	}
	if f.Code != framing.CodeOpen {
		return nil, fmt.Errorf("a server was told %#x for an open", f.Code)
	}
	p := &PeerConn{mux: newMux(c), wait: wait, stop: make(chan struct{}), sessions: make(chan *Peer, sessionsMost), ended: make(chan struct{})}
	p.mux.begins = func(l *lane) {
		select {
		case p.sessions <- &Peer{lane: l, conn: p, payload: make(map[uint32][]byte)}:
		default: // more wait to be taken than a stand-in takes in all
			l.close()
		}
	}
	idle := c.opened(f.Performative)
	c.write(0, open("server").With(3, uint16(sessionsMost-1)), nil) // if this fails, the next read sees why
	go c.beat(idle, p.stop)
	go func() {
		p.mux.run(wait)
		close(p.ended)
	}()
	return p, nil
}

// Session waits for the next session that the relay begins; nil: none comes any more.
func (p *PeerConn) Session() *Peer {
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
	close(p.stop)
	p.mux.Close()
	<-p.ended
}

// AcceptPeer greets a relay that has connected, up to the first session.
func AcceptPeer(tcp socket, wait time.Duration, plain bool) (*Peer, error) {
	c, err := AcceptPeerConn(tcp, wait, plain)
	if err != nil {
		return nil, err
	}
	p := c.Session()
	if p == nil {
		c.Close()
		return nil, c.mux.err
	}
	return p, nil
}

func acceptSASL(p *conn, wait time.Duration) error {
	if err := p.header(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	if err := p.sasl(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{codec.Array{codec.Symbol("ANONYMOUS")}}}); err != nil {
		return err
	}
	f, err := p.read(framing.TypeSASL, wait)
	if err != nil {
		return err
	}
	if f.Code != framing.CodeSASLInit {
		return fmt.Errorf("a server was told %#x for an init", f.Code)
	}
	return p.sasl(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
}

// errClosed says that the relay has ended the session, or closed the connection, in good order.
var errClosed = errors.New("the relay has ended the session")

// Close ends the connection at once.
func (p *Peer) Close() { p.conn.Close() }

// End ends the session.
func (p *Peer) End() { p.lane.close() }

// DiscardInput takes what comes for the session and says nothing, until its end.
func (p *Peer) DiscardInput() {
	for {
		if f, err := p.next(0); err != nil || f.Code == framing.CodeEnd {
			return
		}
	}
}

// Next waits for the next event. Its errors are those of the connection, or say that
// the relay has ended it.
func (p *Peer) Next() (PeerEvent, error) {
	for {
		f, err := p.next(p.conn.wait)
		if err != nil {
			return PeerEvent{}, err
		}
		switch f.Code {
		case framing.CodeAttach:
			e := PeerEvent{Kind: PeerAttached, Handle: f.Uint32(1, 0), Name: codec.AsString(f.Field(0)), Sends: !f.Bool(2),
				Properties: make(map[string]any), attach: f.Performative}
			props, _ := f.Field(13).(codec.Map)
			for i := 0; i+1 < len(props); i += 2 {
				e.Properties[codec.AsString(props[i])] = props[i+1]
			}
			return e, nil
		case framing.CodeFlow:
			_ = p.flowTaken(f.Performative) // a stand-in overlooks a bad flow
		case framing.CodeTransfer:
			if err := p.took(false); err != nil {
				return PeerEvent{}, err
			}
			handle := f.Uint32(0, 0)
			whole := append(p.payload[handle], f.Payload...)
			if len(whole) > peerMost {
				return PeerEvent{}, errors.New("a message is longer than a stand-in reads")
			}
			if f.Bool(5) {
				p.payload[handle] = whole
				continue
			}
			delete(p.payload, handle)
			return PeerEvent{Kind: PeerDelivered, Handle: handle, Delivery: f.Uint32(1, 0), Settled: f.Bool(4), Payload: dataOf(whole)}, nil
		case framing.CodeDetach:
			return PeerEvent{Kind: PeerDetached, Handle: f.Uint32(0, 0)}, nil
		case framing.CodeEnd, framing.CodeClose:
			return PeerEvent{}, errClosed
		}
	}
}

const peerMost = 4 << 20 // bytes of a message

// dataOf is the data section of a message that has nothing else (part 3, section 3.2.6);
// nil of any other.
func dataOf(message []byte) []byte {
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
func (p *Peer) Attach(e PeerEvent, credit uint32) error {
	reply := e.attach.With(1, e.Handle).With(2, !e.attach.Bool(2)).With(9, nil).With(13, nil)
	if err := p.write(p.channel, reply, nil); err != nil || credit == 0 {
		return err
	}
	return p.flow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, e.Handle, uint32(0), credit}})
}

// Credit grants credit anew: so many deliveries from a delivery count on.
func (p *Peer) Credit(handle, count, credit uint32) error {
	return p.flow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, handle, count, credit}})
}

// RejectAttach answers an attach with an end at once, by a condition of the standard.
func (p *Peer) RejectAttach(e PeerEvent, condition string) error {
	reply := e.attach.With(1, e.Handle).With(2, !e.attach.Bool(2)).With(6, nil).With(9, nil).With(13, nil)
	if err := p.write(p.channel, reply, nil); err != nil {
		return err
	}
	return p.Detach(e.Handle, condition)
}

// Detach ends a link, with a condition if one is given.
func (p *Peer) Detach(handle uint32, condition string) error {
	var e any
	if condition != "" {
		e = framing.NewErrorValue(condition, "as the script has it", nil)
	}
	return p.write(p.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{handle, true, e}}, nil)
}

// Settle accepts a delivery.
func (p *Peer) Settle(delivery uint32) error {
	return p.write(p.channel, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, delivery, nil, true, codec.Described{Descriptor: uint64(0x24), Value: codec.List{}}}}, nil)
}

// WholeNumber reads a property that is a whole number.
func WholeNumber(v any) (uint64, bool) { return codec.AsUint64(v) }

// Conditions that a server ends links with.
const (
	ConditionResourceLimit = framing.CondResourceLimitExceeded
	ConditionInternalError = framing.CondInternalError
	ConditionDetachForced  = framing.CondDetachForced
)
