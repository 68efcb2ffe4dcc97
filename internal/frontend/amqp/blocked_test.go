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

// These tests cover a shared connection whose endpoint stops reading, so that writers wait for each other. The line
// frontend is not affected, because it uses a new connection for each request.

// blockedEndpoint is a fake endpoint that stops reading after maxAttaches attaches until unblock is called.
type blockedEndpoint struct {
	net.Listener
	maxAttaches int
	window      uint32 // incoming window of its sessions
	unblock     func()
	unblocked   chan struct{} // closed by unblock
	done        chan struct{} // closed once its only connection has ended

	mu        sync.Mutex
	linkNames []string // names of attached links
	sessions  int      // number of sessions
	err       error    // an unexpected delivery, or the error that ended the connection
}

// blockingPayload is the content of the deliveries that fill a connection.
var blockingPayload = bytes.Repeat([]byte("a page "), 1000)

func newBlockedEndpoint(t *testing.T, maxAttaches int, window uint32) *blockedEndpoint {
	t.Helper()
	// A small receive buffer fills soon.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
		return errors.Join(err, optionErr)
	}}
	netListener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &blockedEndpoint{Listener: netListener, maxAttaches: maxAttaches, window: window, unblocked: make(chan struct{}), done: make(chan struct{})}
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
	go conn.sendHeartbeats(time.Second, stop) // the endpoint stays alive while it does not read
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
			conn.writeFrame(0, newOpen("blocked").With(framing.OpenChannelMax, uint16(7)), nil)
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
				endpoint.err = errors.New("a delivery differs from what the client sent")
			}
		}
		attached := len(endpoint.linkNames)
		endpoint.mu.Unlock()
		if attached == endpoint.maxAttaches {
			<-endpoint.unblocked
		}
	}
}

// checkOnlyFirstArrived stops the relay, and checks that the endpoint received only the first link.
func (endpoint *blockedEndpoint) checkOnlyFirstArrived(t *testing.T, relay *testRelay) {
	t.Helper()
	relay.shutdown()
	<-endpoint.done
	if endpoint.sessions != 1 || !slices.Equal(endpoint.linkNames, []string{"first"}) {
		t.Errorf("the endpoint received %d sessions and the links %q, want only the first", endpoint.sessions, endpoint.linkNames)
	}
}

// newRelayToBlockedEndpoint returns a relay whose requests share connections to the endpoint, its frontend, and a
// client's established link.
func newRelayToBlockedEndpoint(t *testing.T, endpoint *blockedEndpoint) (*testRelay, *Frontend, *client10.Sender) {
	t.Helper()
	var relayFrontend *Frontend
	relay := newTestRelay(t, amqpProtocol(func(frontend *Frontend) {
		frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Minute}
		relayFrontend = frontend
	}, nil), 1, nil)
	relay.updateSettings(func(settings *balancer.Settings) {
		settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
	})
	relay.endpointAddresses = []string{endpoint.Addr().String()}
	relay.setEndpointState(balancer.StateReady, 0)
	first, err := newClientSession(t, relay).NewSender(t.Context(), "there", &client10.SenderOptions{
		Name: "first", Properties: linkProperties(), SettlementMode: client10.SenderSettleModeSettled.Ptr(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return relay, relayFrontend, first
}

// blockConnection sends deliveries in the background, and waits until a write to the endpoint is blocked.
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
	held := 0 // consecutive polls during which a write was in progress
	testutil.Until(t, "the connection did not block", func() bool {
		shared := onlyMultiplexer(frontend)
		if held++; shared.connection.mu.TryLock() {
			held = 0
			shared.connection.mu.Unlock()
		}
		return held > 100
	})
}

// onlyMultiplexer returns the multiplexer of the frontend's only shared connection.
func onlyMultiplexer(frontend *Frontend) *multiplexer {
	frontend.sharedConnections.mu.Lock()
	defer frontend.sharedConnections.mu.Unlock()
	for _, conn := range frontend.sharedConnections.connections {
		return conn.multiplexer
	}
	return nil
}

// sessionCount returns the number of open sessions.
func (m *multiplexer) sessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.localChannels)
}

// While an attach waits for a blocked shared connection, its client leaves, its endpoint drains, or the relay stops.
// The attach must not be sent once the endpoint reads again, and nothing may wait for that.
func TestNothingIsSentWhenASharedConnectionUnblocksTooLate(t *testing.T) {
	for _, event := range []string{"the client leaves", "the endpoint drains", "the relay stops"} {
		t.Run(event, func(t *testing.T) {
			t.Parallel()
			endpoint := newBlockedEndpoint(t, 1, 10000)
			relay, frontend, first := newRelayToBlockedEndpoint(t, endpoint)
			blockConnection(t, frontend, first)
			second := dialRaw(t, relay.address).begin()
			second.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(60000)})
			testutil.Until(t, "the second request did not open a session", func() bool { return onlyMultiplexer(frontend).sessionCount() == 2 })
			switch event {
			case "the client leaves":
				second.writeFrame(3, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(1), true}}, nil)
				second.attach(2, nil) // its rejection shows that the detach was handled
				second.expectEventually(framing.CodeDetach, 2, framing.CondInvalidField, 3*time.Second)
				testutil.Until(t, "the attempt of the second request did not end", func() bool { return relay.proxy.Counters.Attempts(balancer.StatusNotSent) == 1 })
				endpoint.unblock()
			case "the endpoint drains":
				relay.setEndpointState(balancer.StateDraining, 0)
				endpoint.unblock()
				second.expect(framing.CodeAttach, 0, "")
				second.expect(framing.CodeDetach, 2, framing.CondResourceLimitExceeded)
			case "the relay stops":
				began := time.Now()
				relay.shutdown()
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("stopping the relay took %v", took)
				}
				endpoint.unblock()
			}
			_ = first.Close(t.Context())
			endpoint.checkOnlyFirstArrived(t, relay)
		})
	}
}

// An attempt that waits for a blocked shared connection must time out and be retried at another endpoint, and its
// attach must not be sent once the first endpoint reads again.
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
	served.Go(func() { serveConnections(t, netListener, frontendProtocol{serveEndpoint: other.serve}, relay.scenario) })
	second := dialRaw(t, relay.address).begin()
	// The group routes the request to the first endpoint, like the first link.
	properties := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(3000), codec.Symbol(propGroup), codec.AsString(linkProperties()[propGroup])}
	second.attach(1, properties)
	testutil.Until(t, "the second request did not open a session", func() bool { return onlyMultiplexer(frontend).sessionCount() == 2 })
	relay.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: relay.proxy.Endpoints.AssignID("s-2"), State: balancer.StateReady, Size: 1}}, []string{netListener.Addr().String()})
	began := time.Now()
	second.expect(framing.CodeAttach, 0, "")
	second.expect(framing.CodeFlow, 0, "")
	if took := time.Since(began); took > 2800*time.Millisecond {
		t.Errorf("the second request was established after %v", took)
	}
	if sessions := other.sessions.Load(); sessions != 1 {
		t.Errorf("the other endpoint accepted %d sessions, want 1", sessions)
	}
	endpoint.unblock()
	_ = first.Close(t.Context())
	second.Close()
	testutil.Until(t, "requests did not end", func() bool { return relay.proxy.Requests.Len() == 0 })
	endpoint.checkOnlyFirstArrived(t, relay)
}

// After a partially written frame nothing more may be written to the connection, because the endpoint would read it as
// the rest of that frame. All links on the connection must be detached.
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
		t.Errorf("after a partial frame the endpoint's connection ended with %v, want EOF or a reset", endpoint.err)
	}
}

// If an endpoint stays alive but keeps its session window closed, the client must be migrated instead of sending
// deliveries that never arrive.
func TestClientMigratesWhenTheEndpointsWindowStaysClosed(t *testing.T) {
	t.Parallel()
	endpoint := newBlockedEndpoint(t, 1000, 1)
	relay, _, first := newRelayToBlockedEndpoint(t, endpoint)
	if err := first.Send(t.Context(), client10.NewMessage(blockingPayload), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*writeTimeout)
	defer cancel()
	var linkErr *client10.LinkError
	for err := error(nil); ; {
		if err = first.Send(ctx, client10.NewMessage(blockingPayload), nil); err != nil {
			if !errors.As(err, &linkErr) || linkErr.RemoteErr == nil || linkErr.RemoteErr.Condition != framing.CondDetachForced {
				t.Fatalf("the client's link ended with %v, want a forced detach", err)
			}
			break
		}
	}
	testutil.Until(t, "the request did not end", func() bool { return relay.proxy.Requests.Len() == 0 })
}

// A flow that is handled after its session was closed must be ignored. Closing the window's channel a second time would
// panic.
func TestFlowAfterTheSessionsEndIsIgnored(t *testing.T) {
	endpoint := newBlockedEndpoint(t, 3, 100)
	relay, frontend, first := newRelayToBlockedEndpoint(t, endpoint)
	upstreamConn, err := frontend.connect(t.Context(), relay.proxy.Endpoints.List()[0], endpoint.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	attach := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"second", uint32(0), false}}
	if err := upstreamConn.writeInitial(t.Context(), upstreamConn.sharedSession.permitBegin, upstreamConn.newBegin(nil), attach); err != nil {
		t.Fatal(err)
	}
	var frame framing.Frame
	for frame.Code != framing.CodeFlow {
		if frame, err = upstreamConn.nextFrame(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	upstreamConn.Close()
	upstreamConn.applyFlow(frame.Performative)
	if err := upstreamConn.awaitWindow(); !errors.Is(err, errConnectionClosing) {
		t.Errorf("awaitWindow on an ended session: %v", err)
	}
	if err := first.Send(t.Context(), client10.NewMessage(blockingPayload), nil); err != nil {
		t.Errorf("sending on another session of the connection: %v", err)
	}
}
