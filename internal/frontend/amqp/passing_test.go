package amqp

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// dialFront opens a session of an independent client at a front.
func dialFront(t *testing.T, address string) *client10.Session {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	c, err := client10.Dial(ctx, "amqp://"+address, &client10.ConnOptions{
		SASLType: client10.SASLTypeAnonymous(), MaxFrameSize: 1024,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	session, err := c.NewSession(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

func linkProperties() map[string]any {
	return map[string]any{propClass: "page", propDeadline: uint32(2000), propGroup: "ab"}
}

// What a client sends comes out at the server as it was, in frames of any size,
// and what the server says of it comes back.
func TestDeliveriesPassUp(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	session := dialFront(t, relay.address)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sender, err := session.NewSender(ctx, "score", &client10.SenderOptions{Properties: linkProperties()})
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 10, 900, 5000, 3 * framing.MaxFrameSize} {
		if err := sender.Send(ctx, client10.NewMessage(bytes.Repeat([]byte("n"), size)), nil); err != nil {
			t.Fatalf("a message of %d bytes: %v", size, err)
		}
	}
	if err := sender.Close(ctx); err != nil {
		t.Error(err)
	}
	relay.waitIdle(t)
}

// A server's pages come out at the client as they were, under the client's
// credit; the client's word on them comes back to the server.
func TestDeliveriesPassDown(t *testing.T) {
	const pages = 30
	settled := make(chan uint32, pages)
	protocol := protocols[1]
	protocol.serveEndpoint = func(t testing.TB, tcp *net.TCPConn, _ *scenario) { pageServer(t, tcp, pages, settled) }
	relay := newTestRelay(t, protocol, 1, nil)
	session := dialFront(t, relay.address)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	receiver, err := session.NewReceiver(ctx, "pages", &client10.ReceiverOptions{Properties: linkProperties(), Credit: 4})
	if err != nil {
		t.Fatal(err)
	}
	for i := range pages {
		m, err := receiver.Receive(ctx, nil)
		if err != nil {
			t.Fatalf("page %d: %v", i, err)
		}
		if got := m.GetData(); !bytes.Equal(got, page(i)) {
			t.Fatalf("page %d has %d bytes, want %d", i, len(got), len(page(i)))
		}
		if err := receiver.AcceptMessage(ctx, m); err != nil {
			t.Fatal(err)
		}
	}
	for i := range pages {
		select {
		case id := <-settled:
			if id != uint32(i) {
				t.Errorf("delivery %d was settled, want %d", id, i)
			}
		case <-ctx.Done():
			t.Fatalf("%d pages were settled, want %d", i, pages)
		}
	}
}

func page(i int) []byte { return bytes.Repeat([]byte{byte(i)}, i*i*20) }

// pageServer sends pages as far as the client's credit goes.
func pageServer(t testing.TB, tcp *net.TCPConn, pages int, settled chan<- uint32) {
	c, ok := negotiateAsEndpoint(t, tcp)
	if !ok {
		return
	}
	session := newSession(c, 0)
	sent := 0
	for {
		frame, err := c.readFrame(framing.TypeAMQP, serverWait)
		if err != nil {
			return
		}
		switch frame.Code {
		case framing.CodeOpen, framing.CodeBegin:
			answerOpenOrBegin(c, session, frame)
		case framing.CodeAttach:
			c.writeFrame(0, frame.Performative.With(1, uint32(0)).With(2, false).With(9, uint32(0)).With(13, nil), nil)
		case framing.CodeDisposition:
			for id := frame.Uint32(1, 0); id <= frame.Uint32(2, frame.Uint32(1, 0)); id++ {
				settled <- id
			}
		case framing.CodeFlow:
			session.applyFlow(frame.Performative)
			for most := int(frame.Uint32(5, 0) + frame.Uint32(6, 0)); sent < min(pages, most); sent++ {
				body := codec.Append(nil, codec.Described{Descriptor: uint64(0x75), Value: page(sent)})
				tag := binary.BigEndian.AppendUint32(nil, uint32(sent))
				p := framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), uint32(sent), tag, uint32(0), false, false}}
				if err := session.sendTransfer(p, body); err != nil {
					t.Errorf("page %d: %v", sent, err)
				}
			}
		}
	}
}

// rawClient is a client that says what no library would.
type rawClient struct {
	*connection
	t testing.TB
}

func dialRaw(t testing.TB, address string) *rawClient {
	t.Helper()
	tcp, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	c := &rawClient{newConnection(tcp.(*net.TCPConn)), t}
	c.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	if header, err := c.readProtocolHeader(time.Second); err != nil || header != framing.ProtocolHeaderAMQP {
		t.Fatalf("the front answers %q, %v", header, err)
	}
	c.writeFrame(0, newOpen("raw"), nil)
	c.expect(framing.CodeOpen, 0, "")
	return c
}

func (c *rawClient) begin() *rawClient {
	c.writeFrame(3, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(100), uint32(100)}}, nil)
	c.expect(framing.CodeBegin, 0, "")
	return c
}

func (c *rawClient) attach(handle uint32, props codec.Map) {
	c.writeFrame(3, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", handle, false, nil, nil,
		codec.Described{Descriptor: uint64(0x28), Value: codec.List{"here"}}, codec.Described{Descriptor: uint64(0x29), Value: codec.List{"there"}}, nil, nil, uint32(0), nil, nil, nil, props}}, nil)
}

// expect waits for a performative with a condition at a field.
func (c *rawClient) expect(code uint64, at int, cond string) framing.Frame {
	c.t.Helper()
	for {
		frame, err := c.readFrame(framing.TypeAMQP, 3*time.Second)
		if err != nil {
			c.t.Fatalf("waiting for %#x: %v", code, err)
		}
		if frame.Empty {
			continue
		}
		got, _ := frame.Condition(at)
		if frame.Code != code || got != cond {
			c.t.Fatalf("got %#x with %q, want %#x with %q", frame.Code, got, code, cond)
		}
		return frame
	}
}

// expectEventually passes over what comes before a performative with a condition at a field.
func (c *rawClient) expectEventually(code uint64, at int, cond string, each time.Duration) {
	c.t.Helper()
	for {
		frame, err := c.readFrame(framing.TypeAMQP, each)
		if err != nil {
			c.t.Fatalf("waiting for %#x with %q: %v", code, cond, err)
		}
		if got, _ := frame.Condition(at); frame.Code == code && got == cond {
			return
		}
	}
}

func TestWrongFramesGetTheStandardsConditions(t *testing.T) {
	props := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(400)}
	for name, c := range map[string]struct {
		acts []endpointAction
		do   func(c *rawClient)
	}{
		"a frame that is too large": {nil, func(c *rawClient) {
			_, _ = c.Write([]byte{0, 1, 0, 0, 2, 0, 0, 0})
			c.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a frame that is too small": {nil, func(c *rawClient) {
			_, _ = c.Write([]byte{0, 0, 0, 7, 2, 0, 0})
			c.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a data offset out of range": {nil, func(c *rawClient) {
			_, _ = c.Write([]byte{0, 0, 0, 8, 9, 0, 0, 0})
			c.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a value that makes no sense": {nil, func(c *rawClient) {
			_, _ = c.Write([]byte{0, 0, 0, 11, 2, 0, 0, 0, 0, 0x53, 0x13})
			c.expect(framing.CodeClose, 0, framing.CondDecodeError)
		}},
		"a channel without a session": {nil, func(c *rawClient) {
			c.writeFrame(9, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, uint32(1), uint32(1), uint32(1)}}, nil)
			c.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a channel over the most": {nil, func(c *rawClient) {
			c.writeFrame(maxChannel+1, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(1), uint32(1)}}, nil)
			c.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a handle without a link": {nil, func(c *rawClient) {
			c.begin().writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(5), uint32(0), []byte("t")}}, nil)
			c.expect(framing.CodeEnd, 0, framing.CondUnattachedHandle)
		}},
		"a handle that is in use": {[]endpointAction{actionHang}, func(c *rawClient) {
			c.begin().attach(1, props)
			c.attach(1, props)
			c.expect(framing.CodeEnd, 0, framing.CondHandleInUse)
		}},
		"an attach without its properties": {nil, func(c *rawClient) {
			c.begin().attach(1, nil)
			c.expect(framing.CodeAttach, 0, "")
			c.expect(framing.CodeDetach, 2, framing.CondInvalidField)
		}},
		"a transfer without credit": {[]endpointAction{actionHang}, func(c *rawClient) {
			c.begin().attach(1, props)
			c.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), uint32(0), []byte("t")}}, nil)
			c.expect(framing.CodeAttach, 0, "")
			c.expect(framing.CodeDetach, 2, framing.CondTransferLimitExceeded)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newTestRelay(t, protocols[1], 1, c.acts)
			c.do(dialRaw(t, relay.address))
			relay.waitIdle(t)
		})
	}
}

func TestSilentClientIsClosed(t *testing.T) {
	protocol := protocols[1]
	protocol.newFrontend = func(k *proxy.Proxy, seats int) frontendServer {
		return &Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}, IdleTimeout: 100 * time.Millisecond}
	}
	relay := newTestRelay(t, protocol, 1, nil)
	dialRaw(t, relay.address).expect(framing.CodeClose, 0, framing.CondResourceLimitExceeded)
}

// A refusal needs no credit, and comes while the give-up time still runs.
func TestFinalAnswerNeedsNoCredit(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, []endpointAction{actionNoCredit})
	c := dialRaw(t, relay.address).begin()
	c.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(400)})
	began := time.Now()
	c.expect(framing.CodeAttach, 0, "")
	c.expect(framing.CodeDetach, 2, framing.CondResourceLimitExceeded)
	if took := time.Since(began); took > 1400*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	relay.waitIdle(t)
}

// The relay's heartbeat keeps within the idle time-out that a peer asks for.
func TestIdlePeerIsKeptAlive(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	tcp, err := net.Dial("tcp", relay.address)
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	c := newConnection(tcp.(*net.TCPConn))
	c.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	_, _ = c.readProtocolHeader(time.Second)
	c.writeFrame(0, newOpen("idle").With(4, uint32(90)), nil)
	for beats := 0; beats < 3; {
		frame, err := c.readFrame(framing.TypeAMQP, 90*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if frame.Empty {
			beats++
		}
	}
}

func TestOtherProtocolsAreToldOurs(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	c, err := net.Dial("tcp", relay.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// More than the relay reads of it at once: a close over the rest would be a reset.
	io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("Accept: all that there is\r\n", 1000)+"\r\n")
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if got, err := io.ReadAll(c); string(got) != string(framing.ProtocolHeaderAMQP[:]) || err != nil {
		t.Errorf("the front answers %q, %v", got, err)
	}
}
