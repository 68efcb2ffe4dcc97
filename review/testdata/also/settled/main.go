// Deliveries in two transfers that the engraver sends settled, and says so on the first transfer only (AMQP 1.0, 2.7.5), no
// longer reach the client after 4,096 of them. Without the disruption each delivery is one transfer. No case.
package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

const (
	deliveries = 6500
	pace       = time.Millisecond // between two deliveries of the engraver
	window     = 1 << 20
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	stream := &engraver{c: c, done: make(chan struct{})}
	address := stream.start()
	agent := c.StartAgent(harness.Member{
		ID: "s-00000001", HostPort: address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: "ready", Size: 1,
	})
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	relay := c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, harness.Port(address)),
	})
	c.AwaitPong(listen)

	client, err := harness.DialAMQP(amqpListen, "usual", 8192, window)
	c.Must("connect", err)
	c.Must("attach", client.Attach("usual-link", 0, true, "page-render", 4800*time.Millisecond))
	for {
		frame, err := client.Receive()
		c.Must("wait for the attach", err)
		if frame.Code == framing.CodeDetach {
			c.Must("attach", fmt.Errorf("the link was detached"))
		}
		if frame.Code == framing.CodeAttach {
			break
		}
	}
	c.Must("grant credit", client.Send(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{
		uint32(0), uint32(window), uint32(0), uint32(2048), uint32(0), uint32(0), uint32(deliveries),
	}}, nil))
	c.Logf("client", "grants credit for %d deliveries", deliveries)
	got, ended := receive(c, client)

	select {
	case <-stream.done:
	case <-relay.Exited:
	case <-time.After(5 * time.Second):
	}
	sent, settled := stream.counts()
	c.Logf("engraver", "has sent %d deliveries, %d of them are settled", sent, settled)
	missing, first, last := 0, -1, -1
	for number := range sent {
		if got[uint32(number)] == 0 {
			if missing++; first < 0 {
				first = number
			}
			last = number
		}
	}
	c.Logf("client", "has got %d deliveries, %d are missing, numbers %d to %d; link ended: %q", len(got), missing, first, last, ended)
	if missing > 0 && ended == "" {
		c.Break("%d of %d deliveries never came (numbers %d to %d), and the link stood all the time", missing, sent, first, last)
	}
	c.Finish()
}

// receive receives deliveries until the last one or 2 s without one.
func receive(c *harness.Case, client *harness.AMQPConn) (got map[uint32]int, ended string) {
	got = make(map[uint32]int)
	var payload []byte
	for {
		client.Conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		frame, err := client.Receive()
		if err != nil {
			c.Logf("client", "gets no more: %v", err)
			return got, ""
		}
		switch frame.Code {
		case framing.CodeDetach, framing.CodeEnd, framing.CodeClose:
			return got, fmt.Sprintf("performative %#x", frame.Code)
		case framing.CodeTransfer:
			payload = append(payload, frame.Payload...)
			if !frame.Bool(framing.TransferMore) {
				got[binary.BigEndian.Uint32(payload[5:])]++
				payload = nil
			}
		}
		if got[deliveries-1] > 0 {
			return got, ""
		}
	}
}

// engraver streams numbered deliveries to the first link that is attached, within its credit and the session's window.
type engraver struct {
	c    *harness.Case
	done chan struct{} // closed once all are sent

	mu            sync.Mutex
	sent, settled int
}

func (e *engraver) counts() (sent, settled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent, e.settled
}

func (e *engraver) start() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	e.c.Must("start the engraver", err)
	go func() {
		tcp, err := listener.Accept()
		if err != nil {
			return
		}
		conn, err := harness.AcceptAMQP(tcp, 8192)
		if err != nil {
			e.c.Logf("engraver", "open: %v", err)
			return
		}
		e.serve(conn)
	}()
	return listener.Addr().String()
}

func (e *engraver) serve(conn *harness.AMQPConn) {
	frames := make(chan framing.Frame, 2*deliveries)
	go func() {
		defer close(frames)
		for {
			frame, err := conn.Receive()
			if err != nil {
				e.c.Logf("engraver", "connection ended: %v", err)
				return
			}
			frames <- frame
		}
	}()
	var total, open, credit, frames2 uint32 // frames2: second transfers sent
	tick := time.NewTicker(pace)
	defer tick.Stop()
	heartbeat := time.NewTicker(500 * time.Millisecond)
	defer heartbeat.Stop()
	for {
		select {
		case frame, ok := <-frames:
			if !ok {
				return
			}
			switch frame.Code {
			case framing.CodeBegin:
				open = frame.Uint32(framing.BeginIncomingWindow, 0)
				conn.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{frame.Channel, uint32(0), uint32(2048), uint32(2048), uint32(63)}}, nil)
			case framing.CodeAttach:
				e.c.Logf("engraver", "attaches %v", frame.Field(framing.AttachName))
				conn.Send(frame.Performative.With(framing.AttachRole, false).With(framing.AttachInitialDeliveryCount, uint32(0)).With(framing.AttachProperties, nil), nil)
			case framing.CodeFlow:
				open = frame.Uint32(framing.FlowNextIncomingID, 0) + frame.Uint32(framing.FlowIncomingWindow, 0) - total - frames2
				if frame.Field(framing.FlowHandle) != nil {
					credit = frame.Uint32(framing.FlowDeliveryCount, 0) + frame.Uint32(framing.FlowLinkCredit, 0) - total
				}
			case framing.CodeDisposition:
				first := frame.Uint32(framing.DispositionFirst, 0)
				e.mu.Lock()
				e.settled += int(frame.Uint32(framing.DispositionLast, first) - first + 1)
				e.mu.Unlock()
			case framing.CodeDetach, framing.CodeEnd, framing.CodeClose:
				e.c.Logf("engraver", "gets performative %#x", frame.Code)
			}
		case <-heartbeat.C:
			conn.Send(framing.Performative{}, nil)
		case <-tick.C:
			if open == 0 || credit == 0 || total == deliveries {
				continue
			}
			payload := append([]byte{0, 0x53, 0x75, 0xa0, 4}, binary.BigEndian.AppendUint32(nil, total)...)
			tag := binary.BigEndian.AppendUint32(nil, total)
			first := framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), total, tag, uint32(0), true}}
			if e.c.Trouble {
				if open < 2 {
					continue
				}
				conn.Send(first.With(framing.TransferMore, true), payload[:5])
				conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0)}}, payload[5:])
				open--
				frames2++
			} else {
				conn.Send(first, payload)
			}
			total, open, credit = total+1, open-1, credit-1
			e.mu.Lock()
			e.sent = int(total)
			e.mu.Unlock()
			if total%500 == 0 {
				e.c.Logf("engraver", "has sent %d deliveries", total)
			}
			if total == deliveries {
				close(e.done)
			}
		}
	}
}
