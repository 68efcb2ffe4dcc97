package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// AMQPEngraver is a sound engraver that speaks AMQP 1.0, on the project's own codec: it accepts each link, grants
// credit and settles each delivery.
type AMQPEngraver struct {
	c       *Case
	ID      string
	Address string

	Quiet bool // it leaves deliveries out of the record
}

// StartAMQPEngraver starts an engraver.
func (c *Case) StartAMQPEngraver(id string) *AMQPEngraver {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must("start an engraver", err)
	e := &AMQPEngraver{c: c, ID: id, Address: listener.Addr().String()}
	go func() {
		for {
			tcp, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(tcp.(*net.TCPConn))
		}
	}()
	return e
}

// Member returns the engraver's entry in the list.
func (e *AMQPEngraver) Member(phase string) Member {
	return Member{ID: e.ID, HostPort: e.Address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: phase, Size: 1}
}

func (e *AMQPEngraver) serve(tcp *net.TCPConn) {
	conn, err := amqp.AcceptPeerConn(tcp, 20*time.Second, false)
	if err != nil {
		return
	}
	defer conn.Close()
	for session := conn.AcceptSession(); session != nil; session = conn.AcceptSession() {
		go e.serveSession(session)
	}
}

func (e *AMQPEngraver) serveSession(session *amqp.PeerSession) {
	defer session.End()
	for delivered := uint32(0); ; {
		event, err := session.Next()
		if err != nil {
			e.c.Logf(e.ID, "session ends: %v", err)
			return
		}
		switch event.Kind {
		case amqp.PeerAttached:
			e.c.Logf(e.ID, "attaches %s", event.Name)
			if session.Attach(event, 100) != nil {
				return
			}
		case amqp.PeerDelivered:
			if !e.Quiet {
				e.c.Logf(e.ID, "delivery %d", event.DeliveryID)
			}
			delivered++
			if !event.Settled && session.Settle(event.DeliveryID) != nil {
				return
			}
			if delivered%50 == 0 && session.Credit(event.Handle, delivered, 100) != nil {
				return
			}
		case amqp.PeerDetached:
			session.Detach(event.Handle, "")
		}
	}
}

// AMQPConn is one end of a connection, frame by frame. One goroutine reads; any may write.
type AMQPConn struct {
	Conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // held while a frame is written
}

// DialAMQP connects without SASL, and opens the connection and one session on channel 0. maxFrame is the largest
// frame that the client takes, window the transfers that its session takes.
func DialAMQP(address, container string, maxFrame, window uint32) (*AMQPConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &AMQPConn{Conn: conn, reader: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(framing.ProtocolHeaderAMQP[:]); err != nil {
		return nil, err
	}
	var header [8]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil || header != framing.ProtocolHeaderAMQP {
		return nil, fmt.Errorf("protocol header %q: %w", header, err)
	}
	c.Send(framing.Performative{Code: framing.CodeOpen, Fields: codec.List{container, nil, maxFrame, uint16(7)}}, nil)
	c.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), window, uint32(2048), uint32(63)}}, nil)
	for _, code := range []uint64{framing.CodeOpen, framing.CodeBegin} {
		if frame, err := c.Receive(); err != nil || frame.Code != code {
			return nil, fmt.Errorf("got performative %#x instead of %#x: %w", frame.Code, code, err)
		}
	}
	conn.SetDeadline(time.Time{})
	return c, nil
}

// Send writes a frame on channel 0.
func (c *AMQPConn) Send(performative framing.Performative, payload []byte) error {
	return c.SendOn(0, performative, payload)
}

// SendOn writes a frame on a channel.
func (c *AMQPConn) SendOn(channel uint16, performative framing.Performative, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Conn.Write(framing.AppendFrame(nil, framing.TypeAMQP, channel, performative, payload))
	return err
}

// SendHeartbeats sends empty frames until the returned function is called.
func (c *AMQPConn) SendHeartbeats(interval time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				c.SendOn(0, framing.Performative{}, nil)
			}
		}
	}()
	return func() { close(done) }
}

// Receive reads the next frame that is not empty.
func (c *AMQPConn) Receive() (framing.Frame, error) {
	frame, _, err := c.ReceiveSize()
	return frame, err
}

// ReceiveSize reads the next frame that is not empty, and returns its size.
func (c *AMQPConn) ReceiveSize() (framing.Frame, uint32, error) {
	for {
		var prefix [4]byte
		if _, err := io.ReadFull(c.reader, prefix[:]); err != nil {
			return framing.Frame{}, 0, err
		}
		size := binary.BigEndian.Uint32(prefix[:])
		body := make([]byte, size-4)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return framing.Frame{}, 0, err
		}
		frame, err := framing.ParseFrame(body)
		if err != nil || !frame.Empty {
			return frame, size, err
		}
	}
}

// Attach sends an attach of a request.
func (c *AMQPConn) Attach(name string, handle uint32, receiver bool, class string, deadline time.Duration) error {
	properties := codec.Map{codec.Symbol("class"), class, codec.Symbol("give-up-ms"), uint32(deadline.Milliseconds())}
	terminus := func(code uint64) any { return codec.Described{Descriptor: code, Value: codec.List{"score"}} }
	fields := codec.List{
		name, handle, receiver, uint8(0), uint8(0), terminus(framing.CodeSource), terminus(framing.CodeTarget),
		nil, nil, uint32(0), nil, nil, nil, properties,
	}
	if receiver {
		fields[framing.AttachInitialDeliveryCount] = nil
	}
	return c.Send(framing.Performative{Code: framing.CodeAttach, Fields: fields}, nil)
}

// AcceptAMQP opens a connection from the relay and its first session as an engraver: with SASL ANONYMOUS if the relay
// begins with SASL. maxFrame is the largest frame that the engraver takes.
func AcceptAMQP(conn net.Conn, maxFrame uint32) (*AMQPConn, error) {
	c := &AMQPConn{Conn: conn, reader: bufio.NewReader(conn)}
	var header [8]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	if header == framing.ProtocolHeaderSASL {
		conn.Write(header[:])
		c.sendSASL(framing.CodeSASLMechanisms, codec.List{codec.Array{codec.Symbol("ANONYMOUS")}})
		if frame, err := c.Receive(); err != nil || frame.Code != framing.CodeSASLInit {
			return nil, fmt.Errorf("no SASL init: %w", err)
		}
		c.sendSASL(framing.CodeSASLOutcome, codec.List{uint8(0)})
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return nil, err
		}
	}
	conn.Write(framing.ProtocolHeaderAMQP[:])
	if frame, err := c.Receive(); err != nil || frame.Code != framing.CodeOpen {
		return nil, fmt.Errorf("no open: %w", err)
	}
	c.Send(framing.Performative{Code: framing.CodeOpen, Fields: codec.List{"engraver", nil, maxFrame, uint16(255)}}, nil)
	return c, nil
}

func (c *AMQPConn) sendSASL(code uint64, fields codec.List) {
	c.Conn.Write(framing.AppendFrame(nil, framing.TypeSASL, 0, framing.Performative{Code: code, Fields: fields}, nil))
}
