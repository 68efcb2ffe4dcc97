// An engraver that stops reading delays the deliveries on another link of the same client (issue 31). No case.
package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	hung := make(chan struct{})
	first := startEngraver(c, "s-00000001", "127.0.0.2:0", hung)
	second := startEngraver(c, "s-00000002", "127.0.0.3:"+harness.Port(first), nil)
	member := func(id, address string) harness.Member {
		return harness.Member{ID: id, HostPort: address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: "ready", Size: 1}
	}
	agent := c.StartAgent(member("s-00000001", first))
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, harness.Port(first)),
	})
	c.AwaitPong(listen)
	conn, err := harness.DialAMQP(amqpListen, "usual", 8192, 2048)
	c.Must("connect", err)
	k := &sender{c: c, conn: conn, window: 256, settled: map[uint32]time.Time{}}
	k.changed = sync.NewCond(&k.mu)
	go k.read()
	k.attach("big", 0)
	agent.Set(member("s-00000002", second)) // the next link may go to either; attach until one is there
	time.Sleep(100 * time.Millisecond)
	handle := uint32(0)
	for i := uint32(1); i <= 12 && handle == 0; i++ {
		k.attach(fmt.Sprintf("small-%d", i), i)
		if at, _ := placed.Load(fmt.Sprintf("small-%d", i)); at == "s-00000002" {
			handle = i
		}
	}
	if handle == 0 {
		c.Must("place", fmt.Errorf("no link on the second engraver"))
	}
	if c.Trouble {
		close(hung)
	}
	go func() { // 100 KB deliveries, 13 frames each
		for range 100 {
			if !k.deliver(0, 100<<10) {
				return
			}
		}
	}()
	worst := time.Duration(0)
	for start := time.Now(); time.Since(start) < 8*time.Second; {
		at := time.Now()
		id := k.send(handle, 10)
		took := k.await(id).Sub(at)
		worst = max(worst, took)
		if took > 200*time.Millisecond {
			c.Logf("client", "a delivery on the other link took %v", took)
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Logf("client", "worst on the other link: %v", worst)
	fmt.Println("worst delivery on the other link:", worst)
	if worst > 1050*time.Millisecond {
		c.Break("a delivery on the link of a sound engraver took %v", worst)
	}
	c.Finish()
}

type sender struct {
	c    *harness.Case
	conn *harness.AMQPConn

	mu       sync.Mutex
	changed  *sync.Cond
	window   uint32 // transfers that the relay takes
	sent     uint32
	next     uint32 // delivery id
	credited map[uint32]bool
	settled  map[uint32]time.Time
	gone     map[uint32]bool
	order    sync.Mutex // one delivery at a time is written
}

func (k *sender) read() {
	for {
		f, err := k.conn.Receive()
		if err != nil {
			return
		}
		k.mu.Lock()
		switch f.Code {
		case framing.CodeFlow:
			k.window = f.Uint32(framing.FlowNextIncomingID, 0) + f.Uint32(framing.FlowIncomingWindow, 0) - k.sent
			if f.Field(framing.FlowHandle) != nil && f.Uint32(framing.FlowLinkCredit, 0) > 0 {
				if k.credited == nil {
					k.credited = map[uint32]bool{}
				}
				k.credited[f.Uint32(framing.FlowHandle, 0)] = true
			}
		case framing.CodeDisposition:
			k.settled[f.Uint32(framing.DispositionFirst, 0)] = time.Now()
		case framing.CodeDetach:
			cond, _ := f.Condition(framing.DetachError)
			k.c.Logf("client", "handle %v is detached: %s", f.Field(framing.DetachHandle), cond)
			if k.gone == nil {
				k.gone = map[uint32]bool{}
			}
			k.gone[f.Uint32(framing.DetachHandle, 0)] = true
		}
		k.changed.Broadcast()
		k.mu.Unlock()
	}
}

func (k *sender) attach(name string, handle uint32) {
	k.conn.Attach(name, handle, false, "page-render", 4800*time.Millisecond)
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.credited[handle] && !k.gone[handle] {
		k.changed.Wait()
	}
}

// transfer sends one frame when the window has room; the caller holds mu.
func (k *sender) transfer(handle, id uint32, size int, more bool) bool {
	for k.window == 0 && !k.gone[handle] {
		k.changed.Wait()
	}
	if k.gone[handle] {
		return false
	}
	k.window--
	k.sent++
	k.conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{handle, id, []byte{byte(id), byte(id >> 8)}, uint32(0), false, more}}, make([]byte, size))
	return true
}

func (k *sender) deliver(handle uint32, size int) bool {
	k.mu.Lock()
	id := k.next
	k.next++
	defer k.mu.Unlock()
	for size > 8000 {
		if !k.transfer(handle, id, 8000, true) {
			return false
		}
		size -= 8000
	}
	return k.transfer(handle, id, size, false)
}

func (k *sender) send(handle uint32, size int) uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.next
	k.next++
	k.transfer(handle, id, size, false)
	return id
}

func (k *sender) await(id uint32) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.settled[id].IsZero() {
		k.changed.Wait()
	}
	return k.settled[id]
}

var placed sync.Map

func startEngraver(c *harness.Case, id, address string, hung <-chan struct{}) string {
	listener, err := net.Listen("tcp", address)
	c.Must("start an engraver", err)
	go func() {
		for {
			tcp, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, id, tcp, hung)
		}
	}()
	return listener.Addr().String()
}

func serve(c *harness.Case, id string, tcp net.Conn, hung <-chan struct{}) {
	defer tcp.Close()
	conn, err := harness.AcceptAMQP(tcp, 8192)
	if err != nil {
		return
	}
	defer conn.SendHeartbeats(500 * time.Millisecond)()
	count := uint32(0)
	for {
		f, err := conn.Receive()
		if err != nil {
			return
		}
		select {
		case <-hung:
			c.Logf(id, "hangs: reads no more")
			time.Sleep(20 * time.Second)
			return
		default:
		}
		switch f.Code {
		case framing.CodeBegin:
			conn.Send(framing.Performative{Code: framing.CodeBegin, Fields: codec.List{f.Channel, uint32(0), uint32(1 << 20), uint32(2048), uint32(63)}}, nil)
		case framing.CodeAttach:
			name := fmt.Sprint(f.Field(framing.AttachName))
			placed.Store(name, id)
			conn.Send(f.Performative.With(framing.AttachRole, true).With(framing.AttachProperties, nil).With(framing.AttachInitialDeliveryCount, nil), nil)
			conn.Send(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{uint32(0), uint32(1 << 20), uint32(0), uint32(2048), uint32(0), uint32(0), uint32(1 << 20)}}, nil)
		case framing.CodeTransfer:
			count++
			if f.Bool(framing.TransferMore) {
				continue
			}
			accepted := codec.Described{Descriptor: uint64(framing.CodeAccepted), Value: codec.List{}}
			conn.Send(framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, f.Field(framing.TransferDeliveryID), nil, true, accepted}}, nil)
		case framing.CodeDetach:
			conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		}
	}
}
