package amqp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/balancer"
	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/testutil"
)

// A connection that requests share, and whose endpoint stops reading: whoever writes on it waits for the one before.
// (The line frontend has a connection for each request, which is new as the opening is written.)

// blockedEndpoint is an endpoint that reads up to so many attaches, and then nothing until unblock is called.
type blockedEndpoint struct {
	net.Listener
	maxAttaches int
	window      uint32 // transfers that it takes in a session
	unblock     func()
	unblocked   chan struct{} // closed by let
	done        chan struct{} // closed once its one connection has ended

	mu        sync.Mutex
	linkNames []string // links, by name
	sessions  int      // sessions
	err       error    // what is wrong with what came, or how it ended
}

var blockingPayload = bytes.Repeat([]byte("a page "), 1000)

func newBlockedEndpoint(t *testing.T, attaches int, window uint32) *blockedEndpoint {
	t.Helper()
	little := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
		return errors.Join(err, failed)
	}}
	netListener, err := little.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &blockedEndpoint{Listener: netListener, maxAttaches: attaches, window: window, unblocked: make(chan struct{}), done: make(chan struct{})}
	endpoint.unblock = sync.OnceFunc(func() { close(endpoint.unblocked) })
	go endpoint.serve(t)
	t.Cleanup(func() { endpoint.unblock(); endpoint.Close(); <-endpoint.done })
	return endpoint
}

func (endpoint *blockedEndpoint) serve(t *testing.T) {
	defer close(endpoint.done)
	tcp, err := endpoint.Accept()
	if err != nil {
		return
	}
	defer tcp.Close()
	conn, ok := negotiateAsEndpoint(t, tcp.(*net.TCPConn))
	if !ok {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go conn.sendHeartbeats(time.Second, stop) // it lives all the while
	sessions := make(map[uint16]*session)
	for {
		frame, err := conn.readFrame(framing.TypeAMQP, time.Minute)
		endpoint.mu.Lock()
		if err != nil {
			endpoint.err = err
			endpoint.mu.Unlock()
			return
		}
		switch frame.Code {
		case framing.CodeOpen:
			conn.applyOpen(frame.Performative)
			conn.writeFrame(0, newOpen("dam").With(framing.OpenChannelMax, uint16(7)), nil)
		case framing.CodeBegin:
			endpoint.sessions++
			s := newSession(conn, frame.Channel)
			_ = s.applyBegin(frame.Performative)
			sessions[frame.Channel] = s
			conn.writeFrame(frame.Channel, s.newBegin(frame.Channel).With(framing.BeginIncomingWindow, endpoint.window), nil)
		case framing.CodeAttach:
			endpoint.linkNames = append(endpoint.linkNames, codec.AsString(frame.Field(framing.AttachName)))
			s := sessions[frame.Channel]
			s.writeFrame(frame.Channel, frame.Performative.With(framing.AttachRole, !frame.Bool(framing.AttachRole)).With(framing.AttachInitialDeliveryCount, nil).With(framing.AttachProperties, nil), nil)
			s.writeFrame(frame.Channel, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{uint32(0), endpoint.window, uint32(0), uint32(sessionWindow), frame.Field(framing.AttachHandle), uint32(0), uint32(50000)}}, nil)
		case framing.CodeTransfer:
			if !bytes.Contains(frame.Payload, blockingPayload) {
				endpoint.err = errors.New("a delivery is not what its client has sent")
			}
		}
		n := len(endpoint.linkNames)
		endpoint.mu.Unlock()
		if n == endpoint.maxAttaches {
			<-endpoint.unblocked
		}
	}
}

// checkOnlyFirstArrived ends the relay, and checks that nothing has come to the endpoint but its first link.
func (endpoint *blockedEndpoint) checkOnlyFirstArrived(t *testing.T, relay *testRelay) {
	t.Helper()
	relay.shutdown()
	<-endpoint.done
	if endpoint.sessions != 1 || !slices.Equal(endpoint.linkNames, []string{"first"}) {
		t.Errorf("the server has seen %d sessions, and the links %q", endpoint.sessions, endpoint.linkNames)
	}
}

// newRelayToBlockedEndpoint is a relay whose requests share connections to such an endpoint, and a client that has one.
func newRelayToBlockedEndpoint(t *testing.T, endpoint *blockedEndpoint) (*testRelay, *Frontend, *client10.Sender) {
	t.Helper()
	var front *Frontend
	relay := newTestRelay(t, amqpProtocol(func(frontend *Frontend) {
		frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Minute}
		front = frontend
	}, nil), 1, nil)
	relay.updateSettings(func(settings *balancer.Settings) {
		settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
	})
	relay.endpointAddresses = []string{endpoint.Addr().String()}
	relay.setEndpointState(balancer.StateReady, 0)
	first, err := clientOf(t, relay).NewSender(t.Context(), "there", &client10.SenderOptions{
		Name: "first", Properties: linkProperties(), SettlementMode: client10.SenderSettleModeSettled.Ptr(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return relay, front, first
}

// blockConnection sends deliveries until the connection to the endpoint is blocked.
func blockConnection(t *testing.T, frontend *Frontend, link *client10.Sender) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() { stop(); <-ended })
	go func() {
		defer close(ended)
		var err error
		for err == nil {
			err = link.Send(ctx, client10.NewMessage(blockingPayload), nil)
		}
	}()
	held := 0 // looks in a row at which somebody was writing
	testutil.Until(t, "the connection is blocked", func() bool {
		m := onlyMultiplexer(frontend)
		if held++; m.connection.mu.TryLock() {
			held = 0
			m.connection.mu.Unlock()
		}
		return held > 100
	})
}

// onlyMultiplexer is the one shared connection.
func onlyMultiplexer(frontend *Frontend) *multiplexer {
	frontend.sharedConnections.mu.Lock()
	defer frontend.sharedConnections.mu.Unlock()
	for _, conn := range frontend.sharedConnections.connections {
		return conn.multiplexer
	}
	return nil
}

func (m *multiplexer) sessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.localChannels)
}

// An attach waits for a connection on which another request is being written, to an endpoint that does not read. Its client
// leaves, its endpoint drains, or the relay ends: nothing of it is sent once the endpoint reads again, and nobody waits for that.
func TestNothingIsSentWhenASharedConnectionFreesTooLate(t *testing.T) {
	for _, c := range []string{"the client leaves", "the server drains", "the relay ends"} {
		t.Run(c, func(t *testing.T) {
			t.Parallel()
			endpoint := newBlockedEndpoint(t, 1, 10000)
			relay, frontend, first := newRelayToBlockedEndpoint(t, endpoint)
			blockConnection(t, frontend, first)
			second := dialRaw(t, relay.address).begin()
			second.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(60000)})
			testutil.Until(t, "the second waits for its turn", func() bool { return onlyMultiplexer(frontend).sessionCount() == 2 })
			switch c {
			case "the client leaves":
				second.writeFrame(3, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(1), true}}, nil)
				second.attach(2, nil) // its answer shows that the detach was taken
				second.expectEventually(framing.CodeDetach, 2, framing.CondInvalidField, 3*time.Second)
				testutil.Until(t, "the second's pass is over", func() bool { return relay.proxy.Counters.Attempts(balancer.StatusNotSent) == 1 })
				endpoint.unblock()
			case "the server drains":
				relay.setEndpointState(balancer.StateDraining, 0)
				endpoint.unblock()
				second.expect(framing.CodeAttach, 0, "")
				second.expect(framing.CodeDetach, 2, framing.CondResourceLimitExceeded)
			case "the relay ends":
				began := time.Now()
				relay.shutdown()
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("the front's end takes %v", took)
				}
				endpoint.unblock()
			}
			_ = first.Close(t.Context())
			endpoint.checkOnlyFirstArrived(t, relay)
		})
	}
}

// An attempt that waits for its turn on such a connection is given up at its time like any other: its client goes to another endpoint,
// and the one that reads again hears nothing of it.
func TestAttemptWaitingForASharedConnectionTimesOut(t *testing.T) {
	t.Parallel()
	endpoint := newBlockedEndpoint(t, 1, 10000)
	relay, frontend, first := newRelayToBlockedEndpoint(t, endpoint)
	relay.updateSettings(func(settings *balancer.Settings) { settings.ConnectTimeout = 400 * time.Millisecond })
	blockConnection(t, frontend, first)
	netListener := listen(t)
	defer netListener.Close()
	other := &sharedEndpoint{}
	var served sync.WaitGroup
	defer served.Wait()
	defer netListener.Close()
	served.Go(func() { serveAll(t, netListener, frontendProtocol{serveEndpoint: other.serve}, relay.scenario) })
	second := dialRaw(t, relay.address).begin()
	// Its group's route leads to the first endpoint, as the first link's does.
	props := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(3000), codec.Symbol(propGroup), codec.AsString(linkProperties()[propGroup])}
	second.attach(1, props)
	testutil.Until(t, "the second waits for its turn", func() bool { return onlyMultiplexer(frontend).sessionCount() == 2 })
	relay.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: relay.proxy.Endpoints.ID("s-2"), State: balancer.StateReady, Weight: 1}}, []string{netListener.Addr().String()})
	began := time.Now()
	second.expect(framing.CodeAttach, 0, "")
	second.expect(framing.CodeFlow, 0, "")
	if took := time.Since(began); took > 2800*time.Millisecond {
		t.Errorf("it is up after %v", took)
	}
	if n := other.sessions.Load(); n != 1 {
		t.Errorf("the other server has seen %d sessions", n)
	}
	endpoint.unblock()
	_ = first.Close(t.Context())
	second.Close()
	testutil.Until(t, "both are over", func() bool { return relay.proxy.Requests.Len() == 0 })
	endpoint.checkOnlyFirstArrived(t, relay)
}

// A frame that went out in part is the last on its connection: the next would be read as its rest, by an endpoint that
// delivers it. All who share the connection are told that their endpoint is lost.
func TestNothingFollowsAPartiallyWrittenFrame(t *testing.T) {
	t.Parallel()
	endpoint := newBlockedEndpoint(t, 2, 10000)
	relay, frontend, first := newRelayToBlockedEndpoint(t, endpoint)
	second := dialRaw(t, relay.address).begin()
	second.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(60000)})
	second.expect(framing.CodeAttach, 0, "")
	second.expect(framing.CodeFlow, 0, "")
	blockConnection(t, frontend, first)
	second.expectEventually(framing.CodeDetach, 2, framing.CondConnectionForced, 2*writeTimeout)
	endpoint.unblock()
	<-endpoint.done
	if !errors.Is(endpoint.err, io.EOF) && !errors.Is(endpoint.err, io.ErrUnexpectedEOF) && !errors.Is(endpoint.err, syscall.ECONNRESET) {
		t.Errorf("after the part of a frame the server reads: %v", endpoint.err)
	}
}

// An endpoint that lives and takes no transfer for long is silent as far as its client goes: the client is moved. It went on
// sending to an endpoint that got nothing of it.
func TestEndpointWhoseWindowStaysClosedIsLeft(t *testing.T) {
	t.Parallel()
	endpoint := newBlockedEndpoint(t, 1000, 1)
	relay, _, first := newRelayToBlockedEndpoint(t, endpoint)
	if err := first.Send(t.Context(), client10.NewMessage(blockingPayload), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*writeTimeout)
	defer cancel()
	var end *client10.LinkError
	for err := error(nil); ; {
		if err = first.Send(ctx, client10.NewMessage(blockingPayload), nil); err != nil {
			if !errors.As(err, &end) || end.RemoteErr == nil || end.RemoteErr.Condition != framing.CondDetachForced {
				t.Fatalf("its client is told %v", err)
			}
			break
		}
	}
	testutil.Until(t, "the transaction is over", func() bool { return relay.proxy.Requests.Len() == 0 })
}

// An attempt that is given up, or a request that ends, closes its session at once, while a word of its endpoint may be in
// hand already: a flow that is taken after that opens no window, and ends no relay.
func TestFlowAfterTheSessionsEndIsIgnored(t *testing.T) {
	endpoint := newBlockedEndpoint(t, 3, 100)
	relay, front, first := newRelayToBlockedEndpoint(t, endpoint)
	u, err := front.connect(t.Context(), relay.proxy.Endpoints.List()[0], endpoint.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	attach := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"second", uint32(0), false}}
	if err := u.writeInitial(t.Context(), u.sharedSession.permitBegin, u.newBegin(nil), attach); err != nil {
		t.Fatal(err)
	}
	var frame framing.Frame
	for frame.Code != framing.CodeFlow {
		if frame, err = u.nextFrame(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	u.Close()
	u.applyFlow(frame.Performative)
	if err := u.awaitWindow(); !errors.Is(err, errConnectionClosing) {
		t.Errorf("a transfer of a session that has ended: %v", err)
	}
	if err := first.Send(t.Context(), client10.NewMessage(blockingPayload), nil); err != nil {
		t.Errorf("a transaction beside it: %v", err)
	}
}
