package amqp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// Each protocol violation must be answered with the condition that the standard requires.
func TestProtocolViolationsGetTheStandardConditions(t *testing.T) {
	properties := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(400)}
	for name, testCase := range map[string]struct {
		actions []endpointAction
		run     func(client *rawClient)
	}{
		"a frame that is too large": {nil, func(client *rawClient) {
			_, _ = client.Write([]byte{0, 1, 0, 0, 2, 0, 0, 0})
			client.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a frame that is too small": {nil, func(client *rawClient) {
			_, _ = client.Write([]byte{0, 0, 0, 7, 2, 0, 0})
			client.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a data offset out of range": {nil, func(client *rawClient) {
			_, _ = client.Write([]byte{0, 0, 0, 8, 9, 0, 0, 0})
			client.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a body that cannot be decoded": {nil, func(client *rawClient) {
			_, _ = client.Write([]byte{0, 0, 0, 11, 2, 0, 0, 0, 0, 0x53, 0x13})
			client.expect(framing.CodeClose, 0, framing.CondDecodeError)
		}},
		"a channel without a session": {nil, func(client *rawClient) {
			client.writeFrame(9, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, uint32(1), uint32(1), uint32(1)}}, nil)
			client.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a channel above channel-max": {nil, func(client *rawClient) {
			client.writeFrame(maxChannel+1, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(1), uint32(1)}}, nil)
			client.expect(framing.CodeClose, 0, framing.CondFramingError)
		}},
		"a handle without a link": {nil, func(client *rawClient) {
			client.begin().writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(5), uint32(0), []byte("t")}}, nil)
			client.expect(framing.CodeEnd, 0, framing.CondUnattachedHandle)
		}},
		"a handle that is in use": {[]endpointAction{actionHang}, func(client *rawClient) {
			client.begin().attach(1, properties)
			client.attach(1, properties)
			client.expect(framing.CodeEnd, 0, framing.CondHandleInUse)
		}},
		"an attach without its properties": {nil, func(client *rawClient) {
			client.begin().attach(1, nil)
			client.expect(framing.CodeAttach, 0, "")
			client.expect(framing.CodeDetach, 2, framing.CondInvalidField)
		}},
		"a transfer without credit": {[]endpointAction{actionHang}, func(client *rawClient) {
			client.begin().attach(1, properties)
			client.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), uint32(0), []byte("t")}}, nil)
			client.expect(framing.CodeAttach, 0, "")
			client.expect(framing.CodeDetach, 2, framing.CondTransferLimitExceeded)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newTestRelay(t, protocols[1], 1, testCase.actions)
			testCase.run(dialRaw(t, relay.address))
			relay.waitIdle(t)
		})
	}
}

// A client that sends nothing for IdleTimeout must be disconnected with a close.
func TestSilentClientIsClosed(t *testing.T) {
	protocol := protocols[1]
	protocol.newFrontend = func(relayProxy *proxy.Proxy, slots int) frontendServer {
		return &Frontend{Proxy: relayProxy, Limiter: &listener.ConnLimiter{Slots: slots, MaxIdle: 64}, IdleTimeout: 100 * time.Millisecond}
	}
	relay := newTestRelay(t, protocol, 1, nil)
	dialRaw(t, relay.address).expect(framing.CodeClose, 0, framing.CondResourceLimitExceeded)
}

// A request whose endpoint grants no credit must be rejected by the client's deadline.
func TestRequestWithoutCreditIsRejectedByItsDeadline(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, []endpointAction{actionNoCredit})
	client := dialRaw(t, relay.address).begin()
	client.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(400)})
	began := time.Now()
	client.expect(framing.CodeAttach, 0, "")
	client.expect(framing.CodeDetach, 2, framing.CondResourceLimitExceeded)
	if took := time.Since(began); took > 1400*time.Millisecond {
		t.Errorf("the request was rejected after %v", took)
	}
	relay.waitIdle(t)
}

// The relay must send heartbeats within the idle-time-out of a client's open.
func TestHeartbeatsFollowTheClientsIdleTimeout(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	tcp, err := net.Dial("tcp", relay.address)
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	conn := newConnection(tcp.(*net.TCPConn))
	conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	_, _ = conn.readProtocolHeader(time.Second)
	conn.writeFrame(0, newOpen("idle").With(framing.OpenIdleTimeout, uint32(90)), nil)
	for heartbeats := 0; heartbeats < 3; {
		frame, err := conn.readFrame(framing.TypeAMQP, 90*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if frame.Empty {
			heartbeats++
		}
	}
}

// An unsupported protocol must be answered with the AMQP header and a regular end of the connection.
func TestOtherProtocolsAreAnsweredWithTheAMQPHeader(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	conn, err := net.Dial("tcp", relay.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// More than the relay reads at once: closing the socket with unread input would reset the connection.
	io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("Accept: all that there is\r\n", 1000)+"\r\n")
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if got, err := io.ReadAll(conn); string(got) != string(framing.ProtocolHeaderAMQP[:]) || err != nil {
		t.Errorf("received %q, %v, want the AMQP header", got, err)
	}
}
