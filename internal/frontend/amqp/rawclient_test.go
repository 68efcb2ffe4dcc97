package amqp

import (
	"fmt"
	"net"
	"testing"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

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
	client := &rawClient{newConnection(tcp.(*net.TCPConn)), t}
	client.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	if header, err := client.readProtocolHeader(time.Second); err != nil || header != framing.ProtocolHeaderAMQP {
		t.Fatalf("the front answers %q, %v", header, err)
	}
	client.writeFrame(0, newOpen("raw"), nil)
	client.expect(framing.CodeOpen, 0, "")
	return client
}

func (c *rawClient) begin() *rawClient {
	c.writeFrame(3, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(100), uint32(100)}}, nil)
	c.expect(framing.CodeBegin, 0, "")
	return c
}

func (c *rawClient) attach(handle uint32, props codec.Map) {
	c.writeFrame(3, senderAttach("a link", handle, props), nil)
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

var rawProps = codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(900)}

// attachAndWait attaches a link that is to send or to receive, and waits until it is up.
func (c *rawClient) attachAndWait(sends bool, fields ...func(framing.Performative) framing.Performative) (framing.Performative, error) {
	performative := senderAttach("a link", 1, rawProps).With(framing.AttachRole, !sends).With(framing.AttachInitialDeliveryCount, nil)
	if sends {
		performative = performative.With(framing.AttachInitialDeliveryCount, uint32(0))
	}
	for _, set := range fields {
		performative = set(performative)
	}
	c.writeFrame(3, performative, nil)
	frame, err := c.nextFrame()
	if err != nil || frame.Code != framing.CodeAttach {
		return frame.Performative, fmt.Errorf("an attach is answered with %#x, %v", frame.Code, err)
	}
	reply := frame.Performative
	if sends {
		if frame, err = c.nextFrame(); err != nil || frame.Code != framing.CodeFlow {
			return reply, fmt.Errorf("no credit follows the attach: %#x, %v", frame.Code, err)
		}
	}
	return reply, nil
}

// nextFrame waits for a frame with a body.
func (c *rawClient) nextFrame() (framing.Frame, error) {
	for {
		if frame, err := c.readFrame(framing.TypeAMQP, 3*time.Second); err != nil || !frame.Empty {
			return frame, err
		}
	}
}

// checkNext waits for a performative with a condition.
func (c *rawClient) checkNext(code uint64, at int, cond string) error {
	frame, err := c.nextFrame()
	if err != nil {
		return err
	}
	if got, _ := frame.Condition(at); frame.Code != code || got != cond {
		return fmt.Errorf("told %#x with %q, want %#x with %q", frame.Code, got, code, cond)
	}
	return nil
}

func (c *rawClient) sendTransfer(id uint32, settled bool, more, aborted bool, payload []byte) {
	c.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), id, []byte{byte(id)}, uint32(0), settled, more, nil, nil, nil, aborted}}, payload)
}

// terminus is a source or a target with an address.
func terminus(code uint64, address string) codec.Described {
	return codec.Described{Descriptor: code, Value: codec.List{address}}
}

// senderAttach is the attach of a link on which the client sends.
func senderAttach(name string, handle uint32, properties codec.Map) framing.Performative {
	return framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		name, handle, false, nil, nil,
		terminus(framing.CodeSource, "here"), terminus(framing.CodeTarget, "there"), nil, nil, uint32(0), nil, nil, nil, properties,
	}}
}
