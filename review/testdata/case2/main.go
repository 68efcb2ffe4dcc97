// Case 2: a delivery of a link that was moved reaches the client on the link that it attached next.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

const (
	engravers    = 4  // one of them drains
	clientWindow = 10 // transfers that the client's session takes until its next flow
	messages     = 30 // that an engraver sends on each link
	pause        = 500 * time.Millisecond
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	all := map[string]*engraver{}
	placed := make(chan *engraver, 10)
	var members []harness.Member
	port := "0"
	for i := range engravers {
		e := startEngraver(c, fmt.Sprintf("s-0000000%d", i+1), fmt.Sprintf("127.0.0.%d:%s", i+2, port), placed)
		port = harness.Port(e.address)
		all[e.id] = e
		members = append(members, e.member("ready"))
	}
	agent := c.StartAgent(members...)
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, port),
	})
	c.AwaitPong(listen)

	conn, err := harness.DialAMQP(amqpListen, "usual", 8192, clientWindow)
	c.Must("connect", err)
	k := &receiver{c: c, conn: conn, links: map[uint32]string{}}
	k.attach("score-A", 0)
	k.await(framing.CodeAttach)
	k.flow(0)
	for k.received < clientWindow { // the session's window is used up now, and the client is busy for a while
		k.await(framing.CodeTransfer)
	}
	time.Sleep(pause)

	// The client opens another score on the lowest free handle. With the disruption, that is handle 0: the engraver of
	// the first link has begun to drain, the relay has moved the client, and both sides have detached the link.
	handle := uint32(1)
	if c.Trouble {
		agent.Set((<-placed).member("draining"))
		k.await(framing.CodeDetach)
		c.Must("detach", conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil))
		handle = 0
	}
	k.attach("score-B", handle)
	k.await(framing.CodeAttach)
	k.flow(handle)
	for idle := time.Now(); time.Since(idle) < 3*time.Second; {
		frame, ok := k.receive(time.Second)
		if ok && frame.Code == framing.CodeTransfer {
			idle = time.Now()
			if k.received%clientWindow == 0 {
				k.flow(handle)
			}
		}
	}
	c.Logf("client", "got %d deliveries in all", k.received)
	c.Finish()
}

// receiver is a client with one session that takes only clientWindow transfers at a time.
type receiver struct {
	c        *harness.Case
	conn     *harness.AMQPConn
	links    map[uint32]string // attached links, by handle
	received int
}

func (k *receiver) attach(name string, handle uint32) {
	k.c.Logf("client", "attaches %s on handle %d", name, handle)
	k.links[handle] = name
	k.c.Must("attach", k.conn.Attach(name, handle, true, "page-render", 4800*time.Millisecond))
}

// flow opens the session's window, and grants credit on a link.
func (k *receiver) flow(handle uint32) {
	k.conn.Send(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{
		uint32(k.received), uint32(clientWindow), uint32(0), uint32(2048), handle, uint32(0), uint32(1000),
	}}, nil)
}

// await waits for a performative.
func (k *receiver) await(code uint64) {
	for deadline := time.Now().Add(5 * time.Second); ; {
		frame, ok := k.receive(time.Second)
		if ok && frame.Code == code {
			return
		}
		if time.Now().After(deadline) {
			k.c.Must("wait", fmt.Errorf("no performative %#x", code))
		}
	}
}

func (k *receiver) receive(wait time.Duration) (framing.Frame, bool) {
	k.conn.Conn.SetReadDeadline(time.Now().Add(wait))
	frame, err := k.conn.Receive()
	if err != nil {
		return frame, false
	}
	switch frame.Code {
	case framing.CodeAttach:
		k.c.Logf("client", "link %v stands on handle %v", frame.Field(framing.AttachName), frame.Field(framing.AttachHandle))
	case framing.CodeDetach:
		condition, _ := frame.Condition(framing.DetachError)
		k.c.Logf("client", "the link on handle %v is detached: %s", frame.Field(framing.DetachHandle), condition)
		delete(k.links, frame.Uint32(framing.DetachHandle, 0))
	case framing.CodeTransfer:
		k.received++
		link, text := k.links[frame.Uint32(framing.TransferHandle, 0)], string(frame.Payload[5:])
		k.c.Logf("client", "gets on handle %v, where link %q is: %q", frame.Field(framing.TransferHandle), link, text)
		if !strings.HasPrefix(text, "for "+link+":") {
			k.c.Break("on the link %s the client got %q, which no engraver made for it", link, text)
		}
	}
	return frame, true
}

// engraver sends some messages on each link that is attached. Each message names the link that it is for.
type engraver struct {
	c           *harness.Case
	id, address string
	placed      chan<- *engraver
}

func startEngraver(c *harness.Case, id, address string, placed chan<- *engraver) *engraver {
	listener, err := net.Listen("tcp", address)
	c.Must("start an engraver", err)
	e := &engraver{c: c, id: id, address: listener.Addr().String(), placed: placed}
	go func() {
		for {
			tcp, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(tcp)
		}
	}()
	return e
}

func (e *engraver) member(phase string) harness.Member {
	return harness.Member{ID: e.id, HostPort: e.address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: phase, Size: 1}
}

func (e *engraver) serve(tcp net.Conn) {
	defer tcp.Close()
	conn, err := harness.AcceptAMQP(tcp, 8192)
	if err != nil {
		return
	}
	defer conn.SendHeartbeats(500 * time.Millisecond)()
	name, sent := "", uint32(0)
	for {
		frame, err := conn.Receive()
		if err != nil {
			e.c.Logf(e.id, "connection ends: %v", err)
			return
		}
		switch frame.Code {
		case framing.CodeBegin:
			conn.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{frame.Channel, uint32(0), uint32(2048), uint32(2048), uint32(63)}}, nil)
		case framing.CodeAttach:
			name = codec.AsString(frame.Field(framing.AttachName))
			e.c.Logf(e.id, "attaches %s", name)
			e.placed <- e
			conn.Send(frame.Performative.With(framing.AttachRole, false).With(framing.AttachInitialDeliveryCount, uint32(0)).With(framing.AttachProperties, nil), nil)
		case framing.CodeFlow:
			if frame.Field(framing.FlowHandle) == nil || frame.Uint32(framing.FlowLinkCredit, 0) < messages {
				continue
			}
			for ; sent < messages; sent++ {
				text := fmt.Sprintf("for %s: message %d of %s", name, sent, e.id)
				conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), sent, []byte{byte(sent)}, uint32(0), true}},
					append([]byte{0, 0x53, 0x75, 0xa0, byte(len(text))}, text...))
			}
			e.c.Logf(e.id, "has sent %d messages for %s", sent, name)
		case framing.CodeDetach:
			e.c.Logf(e.id, "%s is detached", name)
			conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		case framing.CodeEnd, framing.CodeClose:
			conn.Send(framing.Performative{Code: frame.Code}, nil)
		}
	}
}
