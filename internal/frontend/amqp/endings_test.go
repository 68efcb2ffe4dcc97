package amqp

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/balancer"
	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/testutil"
)

// These tests cover races at the end of requests, connections and the relay, through both frontends. The peers wait for
// one another, so that the critical order of events occurs in every run.

// answerGate delays an endpoint's answers: wait signals that a request has arrived, and blocks until release is closed.
type answerGate struct {
	arrived chan struct{}
	release chan struct{}
}

func newAnswerGate() *answerGate { return &answerGate{make(chan struct{}, 8), make(chan struct{})} }

// wait is called by a fake endpoint for each received request.
func (gate *answerGate) wait() {
	gate.arrived <- struct{}{}
	<-gate.release
}

// startRequest starts a request and returns a channel that receives its result.
func startRequest(ctx context.Context, relay *testRelay, protocol frontendProtocol, timeout time.Duration) <-chan requestResult {
	name := relay.nextName()
	results := make(chan requestResult, 1)
	go func() {
		answer, retryAfter, waitEnd := protocol.open(ctx, relay.address, name, timeout)
		result := requestResult{answer: answer, retryAfter: retryAfter}
		if waitEnd != nil {
			result.end = waitEnd()
		}
		results <- result
	}()
	return results
}

// receiveWithin receives a value, and fails the test if none arrives within 5 s.
func receiveWithin[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(5 * time.Second):
		t.Fatalf("%s: not within 5 s", what)
	}
	return value
}

// forEachProtocol runs a test through both frontends, and through AMQP with shared connections to endpoints.
func forEachProtocol(t *testing.T, test func(t *testing.T, protocol frontendProtocol)) {
	shared := amqpProtocol(func(frontend *Frontend) { frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Second} }, nil)
	shared.name = "amqp, shared"
	for _, protocol := range append(slices.Clip(protocols), shared) {
		t.Run(protocol.name, func(t *testing.T) {
			t.Parallel()
			test(t, protocol)
		})
	}
}

// Guards against a request that is established during a migration and is cut off at shutdown without a redirect,
// because its migration time was counted from its establishment instead of the start of the migration.
func TestRequestEstablishedAfterItsMigrationTimeMigratesAtOnce(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const duration = 3 * time.Second
		gate := newAnswerGate()
		relay := newTestRelay(t, protocol, 1, nil)
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) { settings.Classes[0].Deadline = time.Minute })
		results := startRequest(context.Background(), relay, protocol, time.Minute) // migrates at 0.62 of the duration
		receiveWithin(t, "the request arrives at an endpoint", gate.arrived)
		relay.proxy.MigrateAll(duration)
		began := relay.proxy.Clock.Now()
		testutil.Until(t, "the migration time did not pass", func() bool { return relay.proxy.Clock.Now()-began > duration*2/3 })
		close(gate.release)
		released := relay.proxy.Clock.Now()
		if result := receiveWithin(t, "result of the request", results); result != (requestResult{"up", false, "moved"}) {
			t.Errorf("result of the request that was established late: %+v", result)
		}
		if took := relay.proxy.Clock.Now() - released; took > duration/2 {
			t.Errorf("request was migrated %v after its establishment", took)
		}
	})
}

// Guards against a request that its endpoint accepts after it began to drain, and that is never migrated because the
// drain did not see it.
func TestRequestAcceptedByADrainingEndpointMigrates(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		gate := newAnswerGate()
		relay := newTestRelay(t, protocol, 1, nil)
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) { settings.Classes[0].Deadline = time.Minute })
		results := startRequest(context.Background(), relay, protocol, time.Minute)
		receiveWithin(t, "the request arrives at an endpoint", gate.arrived)
		relay.setEndpointState(balancer.StateDraining, 0) // the balancer handles events in order
		close(gate.release)
		if result := receiveWithin(t, "result of the request", results); result != (requestResult{"up", false, "moved"}) {
			t.Errorf("result of the request accepted by a draining endpoint: %+v", result)
		}
	})
}

// At shutdown, pending requests are answered. If the current attempt may have been executed and a repetition is not
// safe, the answer must not invite a retry.
func TestShutdownAnswersPendingRequestsByClass(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		class balancer.Class
		want  string
	}{
		{"idempotent", balancer.Class{Semantics: balancer.Idempotent}, "unavailable"},
		{"at most once", balancer.Class{Semantics: balancer.AtMostOnce}, "failed"},
		{"deduplicated by all endpoints", balancer.Class{Semantics: balancer.Deduplicated, DeduplicationScope: balancer.ScopeAll, DeduplicationWindow: time.Minute}, "unavailable"},
		{"deduplicated within a cell", balancer.Class{Semantics: balancer.Deduplicated, DeduplicationScope: balancer.ScopeCell, DeduplicationWindow: time.Minute}, "failed"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				gate := newAnswerGate()
				defer close(gate.release)
				relay := newTestRelay(t, protocol, 1, nil)
				relay.scenario.beforeAnswer = gate.wait
				relay.updateSettings(func(settings *balancer.Settings) {
					settings.Classes[0].Semantics, settings.Classes[0].DeduplicationScope, settings.Classes[0].DeduplicationWindow = testCase.class.Semantics, testCase.class.DeduplicationScope, testCase.class.DeduplicationWindow
					settings.Classes[0].Deadline = time.Minute
				})
				results := startRequest(context.Background(), relay, protocol, time.Minute)
				receiveWithin(t, "the request arrives at an endpoint", gate.arrived)
				relay.proxy.RejectPending()
				if result := receiveWithin(t, "answer to the request", results); result.answer != testCase.want {
					t.Errorf("the client received the answer %q, want %q", result.answer, testCase.want)
				}
			})
		})
	}
}

// If the client leaves or the endpoint drains or disappears while the connection to the endpoint is being established,
// the request must not be sent on it.
func TestNothingIsSentOnAConnectionEstablishedTooLate(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		change func(relay *testRelay, disconnect func())
	}{
		{"the client leaves", func(_ *testRelay, disconnect func()) { disconnect() }},
		{"the endpoint drains", func(relay *testRelay, _ func()) { relay.setEndpointState(balancer.StateDraining, 0) }},
		{"the endpoint is gone", func(relay *testRelay, _ func()) { relay.setEndpointState(balancer.StateGone, 0) }},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				endpointListener := newFullListener(t)
				relay := newTestRelay(t, protocol, 1, nil)
				relay.updateSettings(func(settings *balancer.Settings) {
					settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
				})
				relay.endpointAddresses = []string{endpointListener.Addr().String()}
				relay.setEndpointState(balancer.StateReady, 0)
				ctx, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				results := startRequest(ctx, relay, protocol, time.Minute)
				testutil.Until(t, "no attempt was started", func() bool {
					requests := relay.proxy.Requests.List()
					return len(requests) == 1 && requests[0].Attempts == 1
				})
				testCase.change(relay, disconnect)
				if testCase.name == "the client leaves" {
					testutil.Until(t, "the relay did not notice that the client left", func() bool { return relay.proxy.Requests.Len() == 0 })
				}
				endpointListener.acceptAndServe(t, protocol, relay.scenario)
				receiveWithin(t, "result of the request", results)
				if result := relay.waitIdle(t); result.received != 0 {
					t.Errorf("the endpoint received %d requests, want none", result.received)
				}
			})
		})
	}
}

// The timeout sent to an endpoint must exclude the time spent on connecting: the endpoint would otherwise work for a
// client that was already answered.
func TestEndpointIsSentTheRemainingTimeout(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const timeout, connectDelay = 4 * time.Second, 600 * time.Millisecond
		endpointListener := newFullListener(t)
		relay := newTestRelay(t, protocol, 1, nil)
		relay.updateSettings(func(settings *balancer.Settings) {
			settings.ConnectTimeout, settings.Classes[0].Deadline, settings.MaxAttempts = time.Minute, time.Minute, 1
		})
		relay.endpointAddresses = []string{endpointListener.Addr().String()}
		relay.setEndpointState(balancer.StateReady, 0)
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		began := relay.proxy.Clock.Now()
		results := startRequest(ctx, relay, protocol, timeout)
		testutil.Until(t, "the connect delay did not pass", func() bool { return relay.proxy.Clock.Now()-began > connectDelay })
		endpointListener.acceptAndServe(t, protocol, relay.scenario)
		testutil.Until(t, "the request was not established", func() bool { return relay.proxy.Counters.Established.Load() == 1 })
		if relay.scenario.mu.Lock(); relay.scenario.lastTimeout <= 0 || relay.scenario.lastTimeout > timeout-connectDelay {
			t.Errorf("the endpoint received the timeout %v", relay.scenario.lastTimeout)
		}
		relay.scenario.mu.Unlock()
		disconnect()
		receiveWithin(t, "result of the request", results)
	})
}

// A retry whose connection is established after the deduplication window must not be sent, because it would be executed
// a second time.
func TestRetryStaysWithinTheDeduplicationWindow(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const window = 1200 * time.Millisecond
		endpointListener, gate := newFullListener(t), newAnswerGate()
		relay := newTestRelay(t, protocol, 1, []endpointAction{actionReset})
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) {
			settings.ConnectTimeout = time.Minute
			settings.Classes[0].Deadline, settings.Classes[0].Semantics, settings.Classes[0].DeduplicationScope, settings.Classes[0].DeduplicationWindow = time.Minute, balancer.Deduplicated, balancer.ScopeCell, window
		})
		began := relay.proxy.Clock.Now()
		results := startRequest(context.Background(), relay, protocol, time.Minute)
		receiveWithin(t, "the first attempt arrives at its endpoint", gate.arrived)
		relay.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: relay.proxy.Endpoints.AssignID("s-2"), State: balancer.StateReady, Size: 1}}, []string{endpointListener.Addr().String()})
		close(gate.release) // the first attempt's connection is reset
		testutil.Until(t, "no retry was started", func() bool {
			requests := relay.proxy.Requests.List()
			return len(requests) == 1 && requests[0].Attempts == 2
		})
		testutil.Until(t, "the deduplication window did not pass", func() bool { return relay.proxy.Clock.Now() > began+2*window })
		endpointListener.acceptAndServe(t, protocol, relay.scenario)
		if result := receiveWithin(t, "answer to the request", results); result.answer != "failed" {
			t.Errorf("the client received the answer %q, want failed", result.answer)
		}
		if result := relay.waitIdle(t); result.received != 1 {
			t.Errorf("endpoints received the request %d times, want 1", result.received)
		}
	})
}

// A client that leaves while its request is pending must release the request immediately, in every stage, and no
// attempt may follow. TestNothingIsSentOnAConnectionEstablishedTooLate covers the connect stage.
func TestPendingRequestIsReleasedWhenItsClientLeaves(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		endpoints int
		actions   []endpointAction
		reached   func(t *testing.T, relay *testRelay) bool // reports whether the request has reached the stage
		want      int                                       // requests that endpoints have received by then
	}{
		{"waiting for the event loop", 1, nil, func(_ *testing.T, relay *testRelay) bool { return relay.proxy.Requests.Len() == 1 }, 0},
		// The fifth backoff takes 1.6 s.
		{"waiting for a backoff", 7, []endpointAction{actionReset, actionReset, actionReset, actionReset, actionReset}, func(_ *testing.T, relay *testRelay) bool {
			return relay.proxy.Counters.Attempts(balancer.StatusReset) == 5
		}, 5},
		{"waiting for an endpoint in slow start", 1, []endpointAction{actionAccept}, func(_ *testing.T, relay *testRelay) bool {
			return relay.proxy.Requests.Len() == 2
		}, 1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				start := make(chan struct{})
				relay := newDelayedTestRelay(t, protocol, testCase.endpoints, testCase.actions, 64, start)
				startLoop := sync.OnceFunc(func() { close(start) })
				defer startLoop()
				relay.updateSettings(func(settings *balancer.Settings) { settings.MaxAttempts, settings.Classes[0].Deadline = 9, time.Minute })
				established := 0
				if testCase.name != "waiting for the event loop" {
					startLoop()
				}
				first, endFirst := context.WithCancel(context.Background())
				defer endFirst()
				if testCase.name == "waiting for an endpoint in slow start" {
					// Another request uses up the capacity of the endpoint in slow start.
					relay.setEndpointState(balancer.StateReady, relay.proxy.Clock.Now()-18*time.Second)
					startRequest(first, relay, protocol, time.Minute)
					testutil.Until(t, "the first request was not established", func() bool { return relay.proxy.Counters.Established.Load() == 1 })
					established = 1
				}
				ctx, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				results := startRequest(ctx, relay, protocol, time.Minute)
				testutil.Until(t, "the request did not reach the stage", func() bool { return testCase.reached(t, relay) })
				disconnect()
				testutil.Until(t, "the request was not released", func() bool { return relay.proxy.Requests.Len() == established })
				receiveWithin(t, "result of the request", results)
				startLoop()
				if relay.scenario.mu.Lock(); relay.scenario.received != testCase.want {
					t.Errorf("endpoints received %d requests, want %d", relay.scenario.received, testCase.want)
				}
				relay.scenario.mu.Unlock()
				endFirst()
				if result := relay.waitIdle(t); result.received != testCase.want {
					t.Errorf("endpoints received %d requests after the client left, want %d", result.received, testCase.want)
				}
			})
		})
	}
}

// If an endpoint closes a shared connection while it receives an attach, the request may have been executed. It must be
// retried on another connection if its class is idempotent, and fail otherwise.
func TestSharedConnectionClosedDuringAnAttach(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		semantics balancer.DeliverySemantics
		sessions  int64 // sessions that endpoints have accepted in total
		condition string
	}{{"idempotent", balancer.Idempotent, 3, ""}, {"at most once", balancer.AtMostOnce, 2, framing.CondInternalError}} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			// The first link is established and closed. The second attach is read, and the connection is closed.
			shared := &sharedEndpoint{acceptAttach: func(_, session int64) bool { return session != 2 }}
			protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Minute} }, nil)
			protocol.serveEndpoint = shared.serve
			relay := newTestRelay(t, protocol, 2, nil)
			relay.updateSettings(func(settings *balancer.Settings) {
				settings.Classes[0].Semantics, settings.Classes[0].Deadline = testCase.semantics, time.Minute
			})
			session := newClientSession(t, relay)
			first := attach(t, session, "first")
			ctx, cancel := context.WithTimeout(context.Background(), peerReadTimeout)
			defer cancel()
			if err := first.Close(ctx); err != nil {
				t.Fatal(err)
			}
			testutil.Until(t, "the first request did not end", func() bool { return relay.proxy.Requests.Len() == 0 })
			_, err := session.NewSender(ctx, "there", &client10.SenderOptions{Name: "second", Properties: linkProperties()})
			var rejection *client10.Error
			if testCase.condition == "" && err != nil || testCase.condition != "" && (!errors.As(err, &rejection) || rejection.Condition != client10.ErrCond(testCase.condition)) {
				t.Errorf("attach of the second link: %v, want condition %q", err, testCase.condition)
			}
			if got := shared.sessions.Load(); got != testCase.sessions {
				t.Errorf("endpoints accepted %d sessions, want %d", got, testCase.sessions)
			}
			if n := relay.proxy.Counters.Attempts(balancer.StatusReset); n != 1 {
				t.Errorf("%d attempts were reset, want 1", n)
			}
		})
	}
}

// When a protocol error ends a client's connection, its links must end before the relay waits for the client to read
// the close: until then a pending request could still be sent to an endpoint.
func TestProtocolErrorEndsLinksImmediately(t *testing.T) {
	endpointListener := newFullListener(t)
	relay := newTestRelay(t, protocols[1], 1, nil)
	relay.updateSettings(func(settings *balancer.Settings) {
		settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
	})
	relay.endpointAddresses = []string{endpointListener.Addr().String()}
	relay.setEndpointState(balancer.StateReady, 0)
	client := dialRaw(t, relay.address).begin()
	client.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(60000)})
	testutil.Until(t, "no attempt was started", func() bool {
		requests := relay.proxy.Requests.List()
		return len(requests) == 1 && requests[0].Attempts == 1
	})
	// Channel 5 has no session.
	client.writeFrame(5, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(1), false}}, nil)
	client.expect(framing.CodeClose, 0, framing.CondFramingError)
	closed := time.Now() // the client keeps its connection open, so the relay lingers
	testutil.Until(t, "the request did not end", func() bool { return relay.proxy.Requests.Len() == 0 })
	if took := time.Since(closed); took > listener.LingerTimeout/2 {
		t.Errorf("the request ended %v after the close of its connection", took)
	}
}

// A client that is evicted while it sends must receive the close frame: closing a socket with unread input would reset
// the connection before the client reads the frame.
func TestEvictedClientIsSentAClose(t *testing.T) {
	netListener := listen(t)
	defer netListener.Close()
	clientSide, err := net.Dial("tcp", netListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer clientSide.Close()
	relaySide, err := netListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer, tcp := newConnection(clientSide.(*net.TCPConn)), relaySide.(*net.TCPConn)
	if err := peer.writeFrame(0, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(100), uint32(100)}}, nil); err != nil {
		t.Fatal(err)
	}
	testutil.AwaitUnread(t, tcp, framing.HeaderSize)
	(&clientConnection{connection: newConnection(tcp), tcp: tcp}).evict()
	frame, err := peer.readFrame(framing.TypeAMQP, peerReadTimeout)
	if condition, _ := frame.Condition(framing.CloseError); err != nil || frame.Code != framing.CodeClose || condition != framing.CondResourceLimitExceeded {
		t.Errorf("the evicted client received performative %#x with condition %q, %v", frame.Code, condition, err)
	}
	if _, err := peer.readFrame(framing.TypeAMQP, peerReadTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("the evicted client's connection ended with %v, want EOF", err)
	}
}
