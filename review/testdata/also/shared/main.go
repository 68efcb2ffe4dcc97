// One client's attach cuts off the other clients' links on shared connections. No case.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

const engraverMaxFrame = 1024 // the standard allows 512 and more

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	// Three engravers at one AMQP port on three loopback addresses.
	port := ""
	var members []harness.Member
	for i := range 3 {
		address, err := engraver(c, fmt.Sprintf("s-0000000%d", i+1), fmt.Sprintf("127.0.0.%d:%s", i+2, port))
		c.Must("start an engraver", err)
		_, port, _ = net.SplitHostPort(address)
		members = append(members, harness.Member{ID: fmt.Sprintf("s-0000000%d", i+1), HostPort: address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: "ready", Size: 1})
	}
	agent := c.StartAgent(members...)
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\nshared = 16\nshared_idle = \"10s\"\n", amqpListen, port),
	})
	c.AwaitPong(listen)

	var mu sync.Mutex
	ended := map[string]string{}
	for i := range 9 {
		name := fmt.Sprintf("usual-%d", i)
		conn, err := harness.DialAMQP(amqpListen, name, 8192, 2048)
		c.Must("connect", err)
		c.Must("attach", conn.Attach(name, 0, false, "page-render", 4800*time.Millisecond))
		for {
			frame, err := conn.Receive()
			c.Must("wait for credit", err)
			if frame.Code == framing.CodeDetach {
				c.Must("attach", fmt.Errorf("%s was detached", name))
			}
			if frame.Code == framing.CodeFlow {
				break
			}
		}
		c.Logf(name, "stands")
		go func() {
			for {
				frame, err := conn.Receive()
				what := ""
				if err != nil {
					what = err.Error()
				} else if frame.Code == framing.CodeDetach {
					condition, _ := frame.Condition(framing.DetachError)
					what = "detach " + condition
				} else {
					continue
				}
				c.Logf(name, "ends: %s", what)
				mu.Lock()
				ended[name] = what
				mu.Unlock()
				return
			}
		}()
		go func() {
			for id := uint32(0); ; id++ {
				if conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), id, []byte{byte(id)}}}, []byte("note")) != nil {
					return
				}
				time.Sleep(2 * time.Second)
			}
		}()
	}
	time.Sleep(time.Second)
	other, err := harness.DialAMQP(amqpListen, "other", 8192, 2048)
	c.Must("connect", err)
	group := "cafe"
	if c.Trouble {
		group = strings.Repeat("x", 2000)
	}
	c.Must("attach", attachWithGroup(other, "other-link", group))
	go func() {
		for {
			frame, err := other.Receive()
			if err != nil {
				return
			}
			c.Logf("other", "gets performative %#x", frame.Code)
			if frame.Code == framing.CodeDetach {
				condition, _ := frame.Condition(framing.DetachError)
				c.Logf("other", "is detached: %s", condition)
			}
		}
	}()
	time.Sleep(6 * time.Second)
	mu.Lock()
	for name, what := range ended {
		if what != "detach "+framing.CondDetachForced {
			c.Break("%s was cut off (%s), not moved, and its engraver runs", name, what)
		}
	}
	mu.Unlock()
	c.Finish()
}

func attachWithGroup(conn *harness.AMQPConn, name, group string) error {
	properties := codec.Map{codec.Symbol("class"), "page-render", codec.Symbol("give-up-ms"), uint32(4800), codec.Symbol("group"), group}
	terminus := func(code uint64) any { return codec.Described{Descriptor: code, Value: codec.List{"score"}} }
	return conn.Send(framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		name, uint32(0), false, uint8(0), uint8(0), terminus(framing.CodeSource), terminus(framing.CodeTarget),
		nil, nil, uint32(0), nil, nil, nil, properties,
	}}, nil)
}

// engraver accepts each link and settles each delivery. It closes a connection with a framing error on a frame that is
// larger than its max-frame-size, as the standard has it (2.3.1, 2.8.16).
func engraver(c *harness.Case, id, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			tcp, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, id, tcp)
		}
	}()
	return listener.Addr().String(), nil
}

func serve(c *harness.Case, id string, tcp net.Conn) {
	defer tcp.Close()
	conn, err := harness.AcceptAMQP(tcp, engraverMaxFrame)
	if err != nil {
		c.Logf(id, "open: %v", err)
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				conn.SendOn(0, framing.Performative{}, nil)
			}
		}
	}()
	for {
		frame, size, err := conn.ReceiveSize()
		if err != nil {
			c.Logf(id, "connection ends: %v", err)
			return
		}
		if size > engraverMaxFrame {
			c.Logf(id, "got a frame of %d bytes, and takes %d: closes with a framing error", size, engraverMaxFrame)
			conn.SendOn(0, framing.NewClose(framing.Errorf(framing.CondFramingError, "frame of %d bytes", size)), nil)
			return
		}
		switch frame.Code {
		case framing.CodeBegin:
			conn.SendOn(frame.Channel, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{frame.Channel, uint32(0), uint32(2048), uint32(2048), uint32(63)}}, nil)
		case framing.CodeAttach:
			c.Logf(id, "attaches %v on channel %d", frame.Field(framing.AttachName), frame.Channel)
			conn.SendOn(frame.Channel, frame.Performative.With(framing.AttachRole, true).With(framing.AttachInitialDeliveryCount, nil).With(framing.AttachProperties, nil), nil)
			conn.SendOn(frame.Channel, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{uint32(0), uint32(2048), uint32(0), uint32(2048), uint32(0), uint32(0), uint32(1000)}}, nil)
		case framing.CodeTransfer:
			accepted := codec.Described{Descriptor: uint64(framing.CodeAccepted), Value: codec.List{}}
			conn.SendOn(frame.Channel, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, frame.Field(framing.TransferDeliveryID), nil, true, accepted}}, nil)
		case framing.CodeDetach:
			conn.SendOn(frame.Channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		case framing.CodeEnd:
			conn.SendOn(frame.Channel, framing.Performative{Code: framing.CodeEnd}, nil)
		case framing.CodeClose:
			conn.SendOn(0, framing.Performative{Code: framing.CodeClose}, nil)
			return
		}
	}
}
