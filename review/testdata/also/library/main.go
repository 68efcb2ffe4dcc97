// After one link of a client is moved, its second link, on another engraver, is lost with its session: the client library
// go-amqp ends a session on a transfer that follows the detach of its link. No case.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	amqp10 "github.com/Azure/go-amqp"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

var where sync.Map

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	l, _ := net.Listen("tcp", "127.0.0.2:0")
	l2, _ := net.Listen("tcp", "127.0.0.3:"+harness.Port(l.Addr().String()))
	for _, l := range []net.Listener{l, l2} {
		go func() {
			for {
				tcp, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					conn, err := harness.AcceptAMQP(tcp, 8192)
					if err != nil {
						return
					}
					defer conn.SendHeartbeats(500 * time.Millisecond)()
					window := make(chan uint32, 1000)
					go func() {
						var limit, sent uint32
						for {
							for sent >= limit {
								w, ok := <-window
								if !ok {
									return
								}
								limit = w
							}
							select {
							case w, ok := <-window:
								if !ok {
									return
								}
								limit = w
							default:
							}
							if conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), sent, []byte{byte(sent)}, uint32(0), true}}, append([]byte{0, 0x53, 0x75, 0xa0, 200}, make([]byte, 200)...)) != nil {
								return
							}
							sent++
						}
					}()
					for {
						f, err := conn.Receive()
						if err != nil {
							close(window)
							return
						}
						switch f.Code {
						case framing.CodeBegin:
							conn.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{f.Channel, uint32(0), uint32(2048), uint32(2048), uint32(63)}}, nil)
						case framing.CodeAttach:
							where.Store(fmt.Sprint(f.Field(framing.AttachName)), l.Addr().String())
							conn.Send(f.Performative.With(framing.AttachRole, false).With(framing.AttachInitialDeliveryCount, uint32(0)).With(framing.AttachProperties, nil), nil)
						case framing.CodeFlow:
							window <- f.Uint32(framing.FlowNextIncomingID, 0) + f.Uint32(framing.FlowIncomingWindow, 0)
						}
					}
				}()
			}
		}()
	}
	m := harness.Member{ID: "s-00000001", HostPort: l.Addr().String(), Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: "ready", Size: 1}
	agent := c.StartAgent(m)
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, harness.Port(l.Addr().String())),
	})
	c.AwaitPong(listen)
	m2 := m
	m2.ID, m2.HostPort = "s-00000002", l2.Addr().String()
	lost, rounds := 0, 0
	for range 20 {
		m.Phase, m2.Phase = "ready", "gone"
		agent.Set(m2)
		agent.Set(m)
		time.Sleep(50 * time.Millisecond)
		ctx := context.Background()
		conn, err := amqp10.Dial(ctx, "amqp://"+amqpListen, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous(), ContainerID: fmt.Sprint("u", rounds)})
		if err != nil {
			fmt.Println(err)
			continue
		}
		session, _ := conn.NewSession(ctx, nil)
		open := func(name string, credit int32) *amqp10.Receiver {
			r, err := session.NewReceiver(ctx, "score", &amqp10.ReceiverOptions{Name: name, Credit: credit, Properties: map[string]any{"class": "page-render", "give-up-ms": uint32(4800)}})
			if err != nil {
				fmt.Println("open", name, err)
			}
			return r
		}
		a := open("A", 1000)
		m2.Phase = "ready"
		agent.Set(m2)
		time.Sleep(50 * time.Millisecond)
		var c2 *amqp10.Receiver
		for i := range 20 {
			name := fmt.Sprint("C", rounds, "-", i)
			r := open(name, -1)
			at, _ := where.Load(name)
			if at == l2.Addr().String() {
				c2 = r
				break
			}
		}
		if c2 == nil {
			fmt.Println("no other place")
			conn.Close()
			continue
		}
		got := 0
		aEnd := make(chan error, 1)
		go func() {
			for {
				_, err := a.Receive(ctx, nil)
				if err != nil {
					aEnd <- err
					return
				}
				got++
			}
		}()
		time.Sleep(100 * time.Millisecond)
		m.Phase = "draining"
		agent.Set(m)
		errA := <-aEnd
		cctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		_, errC := c2.Receive(cctx, nil)
		cancel()
		rounds++
		if errC != nil && errC.Error() != "context deadline exceeded" {
			lost++
		}
		fmt.Println(got, "A:", errA, "| C:", errC)
		conn.Close()
	}
	fmt.Println("rounds", rounds, "other link lost", lost)
	if lost > 0 {
		c.Break("the other link was lost in %d of %d moves", lost, rounds)
	}
	c.Finish()
}
