// Package peer10 has the AMQP 1.0 stand-ins of the second review: a server that takes every link and counts what is
// delivered, and a client's connection. They use the project's own codec and keep to the standard.
package peer10

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
	"lockroad/review/stand-2/testdata/rig"
)

// Server is an AMQP 1.0 server.
type Server struct {
	Name    string
	Address string

	c         *rig.Case
	mu        sync.Mutex
	delivered map[string]int // by message
	attached  []string       // names of links, in order
}

// NewServer starts a server.
func NewServer(c *rig.Case, name string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Need(err)
	c.Defer(func() { l.Close() })
	s := &Server{Name: name, Address: l.Addr().String(), c: c, delivered: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// Member returns its entry in discovery's list.
func (s *Server) Member() rig.Member {
	return rig.Member{ID: s.Name, HostPort: s.Address, Locality: "hall-a", Flavor: "std-2", Phase: "ready", Size: 1}
}

// Delivered returns how often a message was delivered.
func (s *Server) Delivered(message string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delivered[message]
}

func (s *Server) serve(conn *net.TCPConn) {
	peer, err := amqp.AcceptPeerConn(conn, 30*time.Second, false)
	if err != nil {
		conn.Close()
		return
	}
	defer peer.Close()
	for session := peer.AcceptSession(); session != nil; session = peer.AcceptSession() {
		go s.serveSession(session)
	}
}

func (s *Server) serveSession(session *amqp.PeerSession) {
	defer session.End()
	name := ""
	for {
		event, err := session.Next()
		if err != nil {
			s.c.Log("server %s: link %s: %v", s.Name, name, err)
			return
		}
		switch event.Kind {
		case amqp.PeerAttached:
			name = event.Name
			s.c.Log("server %s: link %s attached", s.Name, name)
			session.Attach(event, 200)
		case amqp.PeerDelivered:
			s.mu.Lock()
			s.delivered[string(event.Payload)]++
			s.mu.Unlock()
			if !event.Settled {
				session.Settle(event.DeliveryID)
			}
		case amqp.PeerDetached:
			s.c.Log("server %s: link %s detached", s.Name, name)
			session.Detach(event.Handle, "")
		}
	}
}

// Conn is the connection of an AMQP 1.0 client, with one session.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a relay, and opens a connection of a container and a session.
func Dial(address, container string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	c := &Conn{Conn: conn, reader: bufio.NewReader(conn)}
	header := framing.ProtocolHeaderAMQP
	conn.Write(header[:])
	if _, err := io.ReadFull(c.reader, header[:]); err != nil || header != framing.ProtocolHeaderAMQP {
		conn.Close()
		return nil, fmt.Errorf("protocol header %q, %v", header, err)
	}
	c.Send(framing.Performative{Code: framing.CodeOpen, Fields: codec.List{container}}, nil)
	c.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(500), uint32(500)}}, nil)
	return c, nil
}

// Send sends a frame.
func (c *Conn) Send(p framing.Performative, payload []byte) error {
	_, err := c.Write(framing.AppendFrame(nil, framing.TypeAMQP, 0, p, payload))
	return err
}

// Next returns the next frame that is no heartbeat.
func (c *Conn) Next() (framing.Frame, error) {
	for {
		var size [4]byte
		if _, err := io.ReadFull(c.reader, size[:]); err != nil {
			return framing.Frame{}, err
		}
		body := make([]byte, binary.BigEndian.Uint32(size[:])-4)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return framing.Frame{}, err
		}
		frame, err := framing.ParseFrame(body)
		if err != nil || !frame.Empty {
			return frame, err
		}
	}
}

// Attach attaches a link on which the client sends, and returns its credit. The error names the condition with which the
// relay detached it.
func (c *Conn) Attach(name, class string, deadline time.Duration) (credit uint32, err error) {
	properties := codec.Map{codec.Symbol("class"), class, codec.Symbol("give-up-ms"), uint32(deadline.Milliseconds())}
	source := codec.Described{Descriptor: uint64(framing.CodeSource), Value: codec.List{"here"}}
	target := codec.Described{Descriptor: uint64(framing.CodeTarget), Value: codec.List{"scores/1"}}
	c.Send(framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		name, uint32(0), false, uint8(1), nil, source, target, nil, nil, uint32(0), nil, nil, nil, properties}}, nil)
	for {
		frame, err := c.Next()
		if err != nil {
			return 0, err
		}
		switch frame.Code {
		case framing.CodeFlow:
			if credit := frame.Uint32(framing.FlowLinkCredit, 0); credit > 0 {
				return credit, nil
			}
		case framing.CodeDetach:
			condition, description, _ := frame.ErrorFields(framing.DetachError)
			return 0, fmt.Errorf("%s: %s", condition, description)
		case framing.CodeClose, framing.CodeEnd:
			condition, description, _ := frame.ErrorFields(framing.CloseError)
			return 0, fmt.Errorf("connection closed, %s: %s", condition, description)
		}
	}
}

// Transfer sends a settled message on the link.
func (c *Conn) Transfer(id uint32, text string) error {
	payload := append([]byte{0, 0x53, 0x75, 0xa0, byte(len(text))}, text...)
	return c.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{
		uint32(0), id, []byte{byte(id)}, uint32(0), true}}, payload)
}

// Await reads frames until one with a code.
func (c *Conn) Await(code uint64) (framing.Frame, error) {
	for {
		frame, err := c.Next()
		if err != nil || frame.Code == code {
			return frame, err
		}
	}
}
