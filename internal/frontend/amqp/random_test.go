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

// outcomeOf returns the outcome of a delivery at the fake endpoint, which its first byte selects.
func outcomeOf(payload []byte) any {
	code := uint64(framing.CodeAccepted)
	if len(payload) > 0 {
		code += uint64(payload[0] % 4) // accepted, rejected, released, modified
	}
	return codec.Described{Descriptor: code, Value: codec.List{}}
}

// settlingReadTimeout bounds the reads of serveSettling. It is long because runs are slow on a busy machine.
const settlingReadTimeout = time.Minute

// serveSettling runs a fake endpoint that settles each complete delivery with the outcome of outcomeOf.
func serveSettling(_ testing.TB, tcp *net.TCPConn, _ *scenario) {
	conn, err := AcceptPeerConn(tcp, settlingReadTimeout, false)
	if err != nil {
		return
	}
	defer conn.Close()
	for peer := conn.AcceptSession(); peer != nil; peer = conn.AcceptSession() {
		go func() {
			defer peer.End()
			partial := []byte(nil)
			delivered := uint32(0)
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
					partial = append(partial, frame.Payload...)
					if frame.Bool(framing.TransferMore) && !frame.Bool(framing.TransferAborted) {
						continue
					}
					if !frame.Bool(framing.TransferAborted) && !frame.Bool(framing.TransferSettled) {
						peer.writeFrame(peer.channel, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, frame.Field(framing.TransferDeliveryID), nil, true, outcomeOf(partial)}}, nil)
					}
					partial = nil
					if delivered++; delivered%10 == 0 {
						peer.Credit(frame.Uint32(framing.TransferHandle, 0), delivered, 20)
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

// Random sequences of attaches, partial, aborted, settled and unsettled deliveries and detaches on several links. Each
// unsettled delivery must be settled once with the endpoint's outcome, no other may be, and the session must not end.
func TestRandomDeliveriesAreSettledOnce(t *testing.T) {
	for _, settings := range []connpool.Settings{{}, {MaxSessions: 3, IdleTimeout: time.Minute}} {
		t.Run(fmt.Sprintf("%d sessions", settings.MaxSessions), func(t *testing.T) {
			protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = settings }, nil)
			protocol.serveEndpoint = serveSettling
			relay := newTestRelay(t, protocol, 1, nil)
			rapid.Check(t, func(rt *rapid.T) { randomDeliveries(t, rt, relay.address) })
		})
	}
}

// randomLinkCount is the number of links that randomDeliveries uses.
const randomLinkCount = 4

// lastRandomLink numbers the links of all sequences: names are not reused, because a link may stay open for a moment
// after its client has detached it.
var lastRandomLink atomic.Int64

// randomDeliveries runs one random sequence with a new client.
func randomDeliveries(t *testing.T, rt *rapid.T, address string) {
	client := dialRaw(t, address).begin()
	defer client.Close()
	type linkState struct {
		attached, partial bool   // partial: a delivery is incomplete
		creditLimit       uint32 // delivery-count up to which the client may send
		deliveryCount     uint32
		payload           []byte // of the incomplete delivery
		deliveryID        uint32 // of the incomplete delivery
	}
	links := make([]linkState, randomLinkCount)
	want := make(map[uint32]any) // pending outcomes by delivery id
	nextDeliveryID := uint32(0)
	// receiveUntil handles the relay's frames until done reports true.
	receiveUntil := func(done func() bool) {
		for !done() {
			frame, err := client.nextFrame()
			if err != nil {
				rt.Fatalf("reading the next frame: %v; pending outcomes %v", err, want)
			}
			switch frame.Code {
			case framing.CodeAttach:
				links[frame.Uint32(framing.AttachHandle, 0)].attached = true
			case framing.CodeFlow:
				if frame.Field(framing.FlowHandle) != nil {
					links[frame.Uint32(framing.FlowHandle, 0)].creditLimit = frame.Uint32(framing.FlowDeliveryCount, 0) + frame.Uint32(framing.FlowLinkCredit, 0)
				}
			case framing.CodeDisposition:
				for id := frame.Uint32(framing.DispositionFirst, 0); id <= frame.Uint32(framing.DispositionLast, frame.Uint32(framing.DispositionFirst, 0)); id++ {
					outcome, pending := want[id]
					if !pending || !frame.Bool(framing.DispositionSettled) || fmt.Sprint(frame.Field(framing.DispositionState)) != fmt.Sprint(outcome) {
						rt.Fatalf("delivery %d: received disposition %v, pending %v, want outcome %v", id, frame.Fields, pending, outcome)
					}
					delete(want, id)
				}
			case framing.CodeDetach:
				switch condition, _ := frame.Condition(framing.DetachError); condition {
				case "":
				case framing.CondResourceLimitExceeded, framing.CondConnectionForced: // a timeout on a busy machine
					rt.SkipNow()
				default:
					rt.Fatalf("link %d was detached with condition %s", frame.Uint32(framing.DetachHandle, 0), condition)
				}
				links[frame.Uint32(framing.DetachHandle, 0)] = linkState{}
			default:
				rt.Fatalf("received unexpected performative %#x %v", frame.Code, frame.Fields)
			}
		}
	}
	complete := func(i int) bool { return !links[i].partial }
	transfer := func(i int, settled, more, aborted bool, payload []byte) {
		state := &links[i]
		if state.payload = append(state.payload, payload...); !state.partial {
			state.deliveryID = nextDeliveryID
			nextDeliveryID++
		}
		state.partial = more && !aborted
		client.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(i), state.deliveryID, []byte{byte(state.deliveryID)}, uint32(0), settled, more, nil, nil, nil, aborted}}, payload)
		if state.partial {
			return
		}
		if !settled && !aborted {
			want[state.deliveryID] = outcomeOf(state.payload)
		}
		state.deliveryCount++
		state.payload = nil
	}
	drawLink := func(matches func(linkState) bool) int {
		var candidates []int
		for i, state := range links {
			if matches(state) {
				candidates = append(candidates, i)
			}
		}
		if len(candidates) == 0 {
			rt.Skip()
		}
		return rapid.SampledFrom(candidates).Draw(rt, "link")
	}
	ready := func(state linkState) bool {
		return state.attached && !state.partial && int32(state.creditLimit-state.deliveryCount) > 0
	}
	anyPartial := func() bool {
		for i := range links {
			if !complete(i) {
				return true
			}
		}
		return false
	}
	payload := func() []byte { return rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "payload") }
	rt.Repeat(map[string]func(*rapid.T){
		"attach": func(*rapid.T) {
			i := drawLink(func(state linkState) bool { return !state.attached })
			client.writeFrame(3, senderAttach(fmt.Sprint("link ", lastRandomLink.Add(1)), uint32(i), rawProperties), nil)
			receiveUntil(func() bool { return links[i].attached && links[i].creditLimit > 0 })
		},
		"send": func(rt *rapid.T) {
			transfer(drawLink(ready), rapid.Bool().Draw(rt, "settled"), false, false, payload())
		},
		"send several frames": func(*rapid.T) {
			transfer(drawLink(ready), false, false, false, bytes.Repeat([]byte{byte(nextDeliveryID)}, 3*framing.MaxFrameSize/4))
		},
		"begin or continue a partial delivery": func(*rapid.T) {
			if anyPartial() { // one partial delivery at a time
				transfer(drawLink(func(state linkState) bool { return state.partial }), false, true, false, payload())
				return
			}
			transfer(drawLink(ready), false, true, false, payload())
		},
		"end a partial delivery": func(*rapid.T) {
			transfer(drawLink(func(state linkState) bool { return state.partial }), false, false, false, payload())
		},
		"abort": func(*rapid.T) {
			transfer(drawLink(func(state linkState) bool { return state.partial }), false, false, true, nil)
		},
		"receive all outcomes": func(*rapid.T) { receiveUntil(func() bool { return len(want) == 0 }) },
		"detach": func(*rapid.T) {
			i := drawLink(func(state linkState) bool { return state.attached && !state.partial })
			receiveUntil(func() bool { return len(want) == 0 }) // an outcome that crosses the detach would be lost
			client.writeFrame(3, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(i), true}}, nil)
			receiveUntil(func() bool { return !links[i].attached })
		},
	})
	for i := range links {
		if links[i].partial {
			transfer(i, false, false, false, nil)
		}
	}
	receiveUntil(func() bool { return len(want) == 0 })
	client.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
}

// FuzzClient sends arbitrary bytes after a valid open. The relay must not crash, and must accept the next client.
func FuzzClient(f *testing.F) {
	begin := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(9), uint32(9)}}, nil)
	attach := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a", uint32(0), false, nil, nil, codec.Described{Descriptor: uint64(framing.CodeSource), Value: codec.List{"h"}}, codec.Described{Descriptor: uint64(framing.CodeTarget), Value: codec.List{"t"}}, nil, nil, uint32(0), nil, nil, nil, rawProperties}}, nil)
	send := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), uint32(0), []byte("t"), uint32(0), true}}, []byte("m"))
	settle := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{false, uint32(0), uint32(1 << 31), true}}, nil)
	end := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeEnd}, nil)
	f.Add(bytes.Join([][]byte{begin, attach, send, settle, end, begin}, nil))
	f.Add(bytes.Join([][]byte{begin, settle, attach, attach}, nil))
	f.Add([]byte{0, 0, 0, 8, 2, 0, 0, 0})
	protocol := protocols[1]
	protocol.serveEndpoint = serveSettling
	relay := newTestRelay(f, protocol, 1, nil)
	f.Fuzz(func(t *testing.T, input []byte) {
		client := dialRaw(t, relay.address)
		_, _ = client.Write(input)
		for { // until the relay sends nothing more
			if _, err := client.readFrame(framing.TypeAMQP, 5*time.Millisecond); err != nil {
				break
			}
		}
		client.streamConn.(*net.TCPConn).SetLinger(0) // avoids running out of ports in TIME_WAIT
		client.Close()
	})
}

// BenchmarkRoundTrip measures a line and its echo through the line frontend, and a message and its settlement through
// the AMQP frontend, over loopback. Only results of the same run are comparable.
func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{64, 1 << 10, 64 << 10} {
		if size < 4<<10 { // the line length is limited
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
				message := append(bytes.Repeat([]byte("n"), size-2), "\r\n"...)
				b.SetBytes(int64(size))
				for b.Loop() {
					_, _ = tcp.Write(message)
					for received := 0; received < size; {
						n, err := tcp.Read(make([]byte, size))
						if err != nil {
							b.Fatal(err)
						}
						received += n
					}
				}
			})
		}
		b.Run(fmt.Sprintf("amqp, %d bytes", size), func(b *testing.B) {
			protocol := protocols[1]
			protocol.serveEndpoint = serveSettling
			relay := newTestRelay(b, protocol, 1, nil)
			session := newClientSession(b, relay)
			sender := attach(b, session, "a link")
			message := bytes.Repeat([]byte{3}, size) // the encoded message begins with 0, for accepted
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := sender.Send(b.Context(), client10.NewMessage(message), nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
