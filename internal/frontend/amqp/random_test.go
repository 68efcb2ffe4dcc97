package amqp

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"
	"pgregory.net/rapid"

	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// outcomeOf is the outcome that the fake endpoint gives a delivery, by its first byte.
func outcomeOf(payload []byte) any {
	code := uint64(framing.CodeAccepted)
	if len(payload) > 0 {
		code += uint64(payload[0] % 4) // accepted, rejected, released, modified
	}
	return codec.Described{Descriptor: code, Value: codec.List{}}
}

// settlingReadTimeout is how long judges waits for a link that says nothing: on a busy machine a run takes a while.
const settlingReadTimeout = time.Minute

// serveSettling is an endpoint that takes deliveries whole and gives each its outcome, in turns: some at once, some several together.
func serveSettling(_ testing.TB, tcp *net.TCPConn, _ *scenario) {
	conn, err := AcceptPeerConn(tcp, settlingReadTimeout, false)
	if err != nil {
		return
	}
	defer conn.Close()
	for peer := conn.AcceptSession(); peer != nil; peer = conn.AcceptSession() {
		go func() {
			defer peer.End()
			part := []byte(nil)
			count := uint32(0)
			for {
				frame, err := peer.nextFrame(settlingReadTimeout)
				if err != nil || frame.Code == framing.CodeEnd {
					return
				}
				switch frame.Code {
				case framing.CodeAttach:
					peer.Attach(PeerEvent{Handle: frame.Uint32(framing.AttachHandle, 0), attach: frame.Performative}, 20)
				case framing.CodeTransfer:
					_ = peer.receiveTransfer(false)
					part = append(part, frame.Payload...)
					if frame.Bool(framing.TransferMore) && !frame.Bool(framing.TransferAborted) {
						continue
					}
					if !frame.Bool(framing.TransferAborted) && !frame.Bool(framing.TransferSettled) {
						peer.writeFrame(peer.channel, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, frame.Field(framing.TransferDeliveryID), nil, true, outcomeOf(part)}}, nil)
					}
					part = nil
					if count++; count%10 == 0 {
						peer.Credit(frame.Uint32(framing.TransferHandle, 0), count, 20)
					}
				case framing.CodeFlow:
					_ = peer.handleFlow(frame.Performative)
				case framing.CodeDetach:
					peer.Detach(frame.Uint32(framing.DetachHandle, 0), "")
				}
			}
		}()
	}
}

// A client that attaches, sends in pieces, aborts, settles beforehand and detaches in any order, over any number of links, gets
// the outcome of each delivery that wants one once, as its endpoint gave it, and of no other; the session and the connection stay.
func TestRandomDeliveriesAreSettledOnce(t *testing.T) {
	for _, set := range []connpool.Settings{{}, {MaxSessions: 3, IdleTimeout: time.Minute}} {
		t.Run(fmt.Sprintf("%d sessions", set.MaxSessions), func(t *testing.T) {
			protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = set }, nil)
			protocol.serveEndpoint = serveSettling
			relay := newTestRelay(t, protocol, 1, nil)
			rapid.Check(t, func(rt *rapid.T) { randomDeliveries(t, rt, relay.address) })
		})
	}
}

const randomLinks = 4

var randomNames atomic.Int64 // one that was used may still be open for a moment

func randomDeliveries(t *testing.T, rt *rapid.T, address string) {
	client := dialRaw(t, address).begin()
	defer client.Close()
	type known struct {
		up, coming bool
		credit     uint32 // up to which it may send
		count      uint32
		part       []byte
		delivery   uint32 // of the part
	}
	links := make([]known, randomLinks)
	want := make(map[uint32]any) // outcomes that are to come
	next := uint32(0)
	// hear takes what has come, until done says so or nothing is awaited.
	hear := func(done func() bool) {
		for !done() {
			frame, err := client.nextFrame()
			if err != nil {
				rt.Fatalf("%v; still to come %v", err, want)
			}
			switch frame.Code {
			case framing.CodeAttach:
				links[frame.Uint32(framing.AttachHandle, 0)].up = true
			case framing.CodeFlow:
				if frame.Field(framing.FlowHandle) != nil {
					links[frame.Uint32(framing.FlowHandle, 0)].credit = frame.Uint32(framing.FlowDeliveryCount, 0) + frame.Uint32(framing.FlowLinkCredit, 0)
				}
			case framing.CodeDisposition:
				for id := frame.Uint32(framing.DispositionFirst, 0); id <= frame.Uint32(framing.DispositionLast, frame.Uint32(framing.DispositionFirst, 0)); id++ {
					outcome, waits := want[id]
					if !waits || !frame.Bool(framing.DispositionSettled) || fmt.Sprint(frame.Field(framing.DispositionState)) != fmt.Sprint(outcome) {
						rt.Fatalf("delivery %d: told %v, waits %v for %v", id, frame.Fields, waits, outcome)
					}
					delete(want, id)
				}
			case framing.CodeDetach:
				switch cond, _ := frame.Condition(framing.DetachError); cond {
				case "":
				case framing.CondResourceLimitExceeded, framing.CondConnectionForced: // no connection came up in time, or none was heard of: the machine has other things to do
					rt.SkipNow()
				default:
					rt.Fatalf("link %d is detached as %s", frame.Uint32(framing.DetachHandle, 0), cond)
				}
				links[frame.Uint32(framing.DetachHandle, 0)] = known{}
			default:
				rt.Fatalf("told %#x %v", frame.Code, frame.Fields)
			}
		}
	}
	idle := func(i int) bool { return !links[i].coming }
	transfer := func(i int, settled, more, aborted bool, payload []byte) {
		l := &links[i]
		if l.part = append(l.part, payload...); !l.coming {
			l.delivery = next
			next++
		}
		l.coming = more && !aborted
		client.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(i), l.delivery, []byte{byte(l.delivery)}, uint32(0), settled, more, nil, nil, nil, aborted}}, payload)
		if l.coming {
			return
		}
		if !settled && !aborted {
			want[l.delivery] = outcomeOf(l.part)
		}
		l.count++
		l.part = nil
	}
	some := func(fits func(known) bool) int {
		var all []int
		for i, l := range links {
			if fits(l) {
				all = append(all, i)
			}
		}
		if len(all) == 0 {
			rt.Skip()
		}
		return rapid.SampledFrom(all).Draw(rt, "link")
	}
	ready := func(l known) bool { return l.up && !l.coming && int32(l.credit-l.count) > 0 }
	anyComing := func() bool {
		for i := range links {
			if !idle(i) {
				return true
			}
		}
		return false
	}
	payload := func() []byte { return rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "payload") }
	rt.Repeat(map[string]func(*rapid.T){
		"attach": func(*rapid.T) {
			i := some(func(l known) bool { return !l.up })
			client.writeFrame(3, senderAttach(fmt.Sprint("link ", randomNames.Add(1)), uint32(i), rawProps), nil)
			hear(func() bool { return links[i].up && links[i].credit > 0 })
		},
		"send": func(rt *rapid.T) {
			transfer(some(ready), rapid.Bool().Draw(rt, "settled"), false, false, payload())
		},
		"send a lot": func(*rapid.T) {
			transfer(some(ready), false, false, false, bytes.Repeat([]byte{byte(next)}, 3*framing.MaxFrameSize/4))
		},
		"begin a piece": func(*rapid.T) {
			if anyComing() { // deliveries of a session are numbered as they begin, so pieces of two may cross: the standard allows it
				transfer(some(func(l known) bool { return l.coming }), false, true, false, payload())
				return
			}
			transfer(some(ready), false, true, false, payload())
		},
		"end a piece": func(*rapid.T) { transfer(some(func(l known) bool { return l.coming }), false, false, false, payload()) },
		"abort":       func(*rapid.T) { transfer(some(func(l known) bool { return l.coming }), false, false, true, nil) },
		"hear all":    func(*rapid.T) { hear(func() bool { return len(want) == 0 }) },
		"detach": func(*rapid.T) {
			i := some(func(l known) bool { return l.up && !l.coming })
			hear(func() bool { return len(want) == 0 }) // an outcome that crosses a detach is the sender's no more
			client.writeFrame(3, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(i), true}}, nil)
			hear(func() bool { return !links[i].up })
		},
	})
	for i := range links {
		if links[i].coming {
			transfer(i, false, false, false, nil)
		}
	}
	hear(func() bool { return len(want) == 0 })
	client.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
}

// FuzzClient sends a frontend whatever bytes after a sound beginning, and it never falls over: the next client is accepted.
func FuzzClient(f *testing.F) {
	begin := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(9), uint32(9)}}, nil)
	attach := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a", uint32(0), false, nil, nil, codec.Described{Descriptor: uint64(framing.CodeSource), Value: codec.List{"h"}}, codec.Described{Descriptor: uint64(framing.CodeTarget), Value: codec.List{"t"}}, nil, nil, uint32(0), nil, nil, nil, rawProps}}, nil)
	send := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), uint32(0), []byte("t"), uint32(0), true}}, []byte("m"))
	settle := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{false, uint32(0), uint32(1 << 31), true}}, nil)
	end := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeEnd}, nil)
	f.Add(bytes.Join([][]byte{begin, attach, send, settle, end, begin}, nil))
	f.Add(bytes.Join([][]byte{begin, settle, attach, attach}, nil))
	f.Add([]byte{0, 0, 0, 8, 2, 0, 0, 0})
	protocol := protocols[1]
	protocol.serveEndpoint = serveSettling
	relay := newTestRelay(f, protocol, 1, nil)
	f.Fuzz(func(t *testing.T, text []byte) {
		client := dialRaw(t, relay.address)
		_, _ = client.Write(text)
		for { // until it has nothing more to say to that
			if _, err := client.readFrame(framing.TypeAMQP, 5*time.Millisecond); err != nil {
				break
			}
		}
		client.streamConn.(*net.TCPConn).SetLinger(0) // ports would run out
		client.Close()
	})
}

// BenchmarkRoundTrip is a note and its echo by the line frontend, and a message and its settlement by AMQP, through a relay on
// loopback. Compare within one run.
func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{64, 1 << 10, 64 << 10} {
		if size < 4<<10 { // a line has no more
			b.Run(fmt.Sprintf("line, %d bytes", size), func(b *testing.B) {
				relay := newTestRelay(b, protocols[0], 1, nil)
				tcp, err := net.Dial("tcp", relay.address)
				if err != nil {
					b.Fatal(err)
				}
				defer tcp.Close()
				fmt.Fprintf(tcp, "OPEN %016x 7f3a9c21e0b4d655 c=page,d=900\r\n", 1)
				answer := make([]byte, 8)
				if _, err := tcp.Read(answer); err != nil {
					b.Fatal(err)
				}
				note := append(bytes.Repeat([]byte("n"), size-2), "\r\n"...)
				b.SetBytes(int64(size))
				for b.Loop() {
					_, _ = tcp.Write(note)
					for got := 0; got < size; {
						n, err := tcp.Read(make([]byte, size))
						if err != nil {
							b.Fatal(err)
						}
						got += n
					}
				}
			})
		}
		b.Run(fmt.Sprintf("amqp, %d bytes", size), func(b *testing.B) {
			protocol := protocols[1]
			protocol.serveEndpoint = serveSettling
			relay := newTestRelay(b, protocol, 1, nil)
			session := clientOf(b, relay)
			sender := attach(b, session, "a link")
			message := bytes.Repeat([]byte{3}, size) // a message's section says so: accepted
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := sender.Send(b.Context(), client10.NewMessage(message), nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
