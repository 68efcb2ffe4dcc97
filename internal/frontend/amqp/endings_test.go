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

// The instants in which something ends, through both frontends. The peers of these tests wait for one another, so
// that the bad order comes about every time.

// answerGate holds an endpoint's answers: the fake endpoint reports that a request has arrived, and waits.
type answerGate struct {
	arrived chan struct{}
	release chan struct{}
}

func newAnswerGate() *answerGate { return &answerGate{make(chan struct{}, 8), make(chan struct{})} }

// wait is called by an endpoint for each request that arrives.
func (gate *answerGate) wait() {
	gate.arrived <- struct{}{}
	<-gate.release
}

// startRequest starts a request; its result is sent once it is known.
func startRequest(ctx context.Context, relay *testRelay, protocol frontendProtocol, timeout time.Duration) <-chan requestResult {
	name := relay.nextName()
	out := make(chan requestResult, 1)
	go func() {
		answer, advice, hold := protocol.open(ctx, relay.address, name, timeout)
		result := requestResult{answer: answer, retryAfter: advice}
		if hold != nil {
			result.end = hold()
		}
		out <- result
	}()
	return out
}

func receiveWithin[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(5 * time.Second):
		t.Fatalf("%s: nothing within 5 s", what)
	}
	return v
}

// forEachProtocol runs a test through both frontends, and through AMQP with connections that requests share.
func forEachProtocol(t *testing.T, do func(t *testing.T, protocol frontendProtocol)) {
	shared := amqpProtocol(func(frontend *Frontend) { frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Second} }, nil)
	shared.name = "amqp, shared"
	for _, protocol := range append(slices.Clip(protocols), shared) {
		t.Run(protocol.name, func(t *testing.T) {
			t.Parallel()
			do(t, protocol)
		})
	}
}

// A connection that comes up while everyone moves has its turn counted from when they began. Counted from when it came
// up, its turn was after the relay's end: brink, roll+term, seed 310850927754, request 61bbdf2b was cut off without MOVE.
func TestRequestEstablishedAfterItsMigrationTimeMigratesAtOnce(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const over = 3 * time.Second
		gate := newAnswerGate()
		relay := newTestRelay(t, protocol, 1, nil)
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) { settings.Classes[0].Deadline = time.Minute })
		late := startRequest(context.Background(), relay, protocol, time.Minute) // its turn is at 0.62 of the time
		receiveWithin(t, "the first comes to a server", gate.arrived)
		relay.proxy.MigrateAll(over)
		began := relay.proxy.Clock.Now()
		testutil.Until(t, "its turn is over", func() bool { return relay.proxy.Clock.Now()-began > over*2/3 })
		close(gate.release)
		up := relay.proxy.Clock.Now()
		if result := receiveWithin(t, "the end", late); result != (requestResult{"up", false, "moved"}) {
			t.Errorf("who comes up late is %+v", result)
		}
		if took := relay.proxy.Clock.Now() - up; took > over/2 {
			t.Errorf("who comes up after its turn is moved %v later", took)
		}
	})
}

// An endpoint begins to drain while a request is at it, and then accepts: its client is moved like those that stood there.
// The drain found none to move, and nobody looked again: the client was cut off as the endpoint stopped.
func TestRequestAcceptedByADrainingEndpointMigrates(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		gate := newAnswerGate()
		relay := newTestRelay(t, protocol, 1, nil)
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) { settings.Classes[0].Deadline = time.Minute })
		late := startRequest(context.Background(), relay, protocol, time.Minute)
		receiveWithin(t, "it comes to a server", gate.arrived)
		relay.setEndpointState(balancer.StateDraining, 0) // the module's mail keeps its order
		close(gate.release)
		if result := receiveWithin(t, "its end", late); result != (requestResult{"up", false, "moved"}) {
			t.Errorf("who is accepted late is %+v", result)
		}
	})
}

// A relay that leaves answers who waits. What it may say depends on whether the attempt that is out may have run: where a
// repeat is not harmless, the unavailable answer would have it run twice.
func TestShutdownAnswersPendingRequestsByClass(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		class balancer.Class
		want  string
	}{
		{"idempotent", balancer.Class{Effect: balancer.Idempotent}, "unavailable"},
		{"at most once", balancer.Class{Effect: balancer.AtMostOnce}, "failed"},
		{"deduplicated by all", balancer.Class{Effect: balancer.Deduplicated, Scope: balancer.ScopeAll, DeduplicationWindow: time.Minute}, "unavailable"},
		{"deduplicated in a cell", balancer.Class{Effect: balancer.Deduplicated, Scope: balancer.ScopeCell, DeduplicationWindow: time.Minute}, "failed"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				gate := newAnswerGate()
				defer close(gate.release)
				relay := newTestRelay(t, protocol, 1, nil)
				relay.scenario.beforeAnswer = gate.wait
				relay.updateSettings(func(settings *balancer.Settings) {
					settings.Classes[0].Effect, settings.Classes[0].Scope, settings.Classes[0].DeduplicationWindow = testCase.class.Effect, testCase.class.Scope, testCase.class.DeduplicationWindow
					settings.Classes[0].Deadline = time.Minute
				})
				waits := startRequest(context.Background(), relay, protocol, time.Minute)
				receiveWithin(t, "it comes to a server", gate.arrived)
				relay.proxy.RejectPending()
				if result := receiveWithin(t, "its answer", waits); result.answer != testCase.want {
					t.Errorf("the client is told %q, want %q", result.answer, testCase.want)
				}
			})
		})
	}
}

// A client that leaves while a connection to its endpoint comes up: nothing of it is sent once the connection is there.
// The same for an endpoint that begins to drain meanwhile, and a repeat that its endpoint would run anew by then.
func TestNothingIsSentOnAConnectionEstablishedTooLate(t *testing.T) {
	for _, testCase := range []struct {
		name string
		do   func(relay *testRelay, leave func())
	}{
		{"the client leaves", func(_ *testRelay, leave func()) { leave() }},
		{"the server drains", func(relay *testRelay, _ func()) { relay.setEndpointState(balancer.StateDraining, 0) }},
		{"the server is gone", func(relay *testRelay, _ func()) { relay.setEndpointState(balancer.StateGone, 0) }},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				f := newFullListener(t)
				relay := newTestRelay(t, protocol, 1, nil)
				relay.updateSettings(func(settings *balancer.Settings) {
					settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
				})
				relay.endpointAddresses = []string{f.Addr().String()}
				relay.setEndpointState(balancer.StateReady, 0)
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				waits := startRequest(ctx, relay, protocol, time.Minute)
				testutil.Until(t, "its pass goes out", func() bool {
					all := relay.proxy.Requests.List()
					return len(all) == 1 && all[0].Attempts == 1
				})
				testCase.do(relay, leave)
				if testCase.name == "the client leaves" {
					testutil.Until(t, "the relay has seen it leave", func() bool { return relay.proxy.Requests.Len() == 0 })
				}
				f.acceptAndServe(t, protocol, relay.scenario)
				receiveWithin(t, "the client's end", waits)
				if result := relay.waitIdle(t); result.received != 0 {
					t.Errorf("%d transactions came to the server", result.received)
				}
			})
		})
	}
}

// An endpoint is told how long the relay still waits, not how long it would have had the connection come up at once: it works
// on for a client that has its answer by then.
func TestEndpointIsSentTheRemainingTimeout(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const giveUp, late = 4 * time.Second, 600 * time.Millisecond
		f := newFullListener(t)
		relay := newTestRelay(t, protocol, 1, nil)
		relay.updateSettings(func(settings *balancer.Settings) {
			settings.ConnectTimeout, settings.Classes[0].Deadline, settings.MaxAttempts = time.Minute, time.Minute, 1
		})
		relay.endpointAddresses = []string{f.Addr().String()}
		relay.setEndpointState(balancer.StateReady, 0)
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		began := relay.proxy.Clock.Now()
		waits := startRequest(ctx, relay, protocol, giveUp)
		testutil.Until(t, "the connection is late", func() bool { return relay.proxy.Clock.Now()-began > late })
		f.acceptAndServe(t, protocol, relay.scenario)
		testutil.Until(t, "it is up", func() bool { return relay.proxy.Counters.Established.Load() == 1 })
		if relay.scenario.mu.Lock(); relay.scenario.lastTimeout <= 0 || relay.scenario.lastTimeout > giveUp-late {
			t.Errorf("the server is told to answer within %v", relay.scenario.lastTimeout)
		}
		relay.scenario.mu.Unlock()
		leave()
		receiveWithin(t, "the client's end", waits)
	})
}

// A repeat whose connection comes up late is not sent where its endpoints have forgotten the first by then: it would run
// anew. Its client is told what its class allows.
func TestRetryStaysWithinTheDeduplicationWindow(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
		const memory = 1200 * time.Millisecond
		f, gate := newFullListener(t), newAnswerGate()
		relay := newTestRelay(t, protocol, 1, []endpointAction{actionReset})
		relay.scenario.beforeAnswer = gate.wait
		relay.updateSettings(func(settings *balancer.Settings) {
			settings.ConnectTimeout = time.Minute
			settings.Classes[0].Deadline, settings.Classes[0].Effect, settings.Classes[0].Scope, settings.Classes[0].DeduplicationWindow = time.Minute, balancer.Deduplicated, balancer.ScopeCell, memory
		})
		began := relay.proxy.Clock.Now()
		waits := startRequest(context.Background(), relay, protocol, time.Minute)
		receiveWithin(t, "the first comes to its server", gate.arrived)
		relay.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: relay.proxy.Endpoints.ID("s-2"), State: balancer.StateReady, Weight: 1}}, []string{f.Addr().String()})
		close(gate.release) // it breaks
		testutil.Until(t, "the repeat is out", func() bool {
			all := relay.proxy.Requests.List()
			return len(all) == 1 && all[0].Attempts == 2
		})
		testutil.Until(t, "the first is forgotten", func() bool { return relay.proxy.Clock.Now() > began+2*memory })
		f.acceptAndServe(t, protocol, relay.scenario)
		if result := receiveWithin(t, "its answer", waits); result.answer != "failed" {
			t.Errorf("the client is told %q", result.answer)
		}
		if result := relay.waitIdle(t); result.received != 1 {
			t.Errorf("it came to servers %d times", result.received)
		}
	})
}

// A client that leaves while its request waits is let go at once, wherever that is, and nothing of it goes out after.
// (A dial, and the wait for a shared connection, are above.)
func TestClientThatLeavesWhilePendingIsForgotten(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		servers int
		acts    []endpointAction
		waits   func(t *testing.T, relay *testRelay) bool // whether it has come to where it is to wait
		want    int                                       // requests that have come to endpoints by then
	}{
		{"for a turn", 1, nil, func(_ *testing.T, relay *testRelay) bool { return relay.proxy.Requests.Len() == 1 }, 0},
		// The last wait takes 1.6 s.
		{"for its backoff", 7, []endpointAction{actionReset, actionReset, actionReset, actionReset, actionReset}, func(_ *testing.T, relay *testRelay) bool {
			return relay.proxy.Counters.Attempts(balancer.StatusReset) == 5
		}, 5},
		{"for a server that takes nothing now", 1, []endpointAction{actionAccept}, func(_ *testing.T, relay *testRelay) bool {
			return relay.proxy.Requests.Len() == 2
		}, 1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			forEachProtocol(t, func(t *testing.T, protocol frontendProtocol) {
				turns := make(chan struct{})
				relay := newDelayedTestRelay(t, protocol, testCase.servers, testCase.acts, 64, turns)
				begin := sync.OnceFunc(func() { close(turns) })
				defer begin()
				relay.updateSettings(func(settings *balancer.Settings) { settings.MaxAttempts, settings.Classes[0].Deadline = 9, time.Minute })
				stands := 0
				if testCase.name != "for a turn" {
					begin()
				}
				first, end := context.WithCancel(context.Background())
				defer end()
				if testCase.name == "for a server that takes nothing now" {
					// It is cold, and another has just had what it bears.
					relay.setEndpointState(balancer.StateReady, relay.proxy.Clock.Now()-18*time.Second)
					startRequest(first, relay, protocol, time.Minute)
					testutil.Until(t, "the first stands", func() bool { return relay.proxy.Counters.Established.Load() == 1 })
					stands = 1
				}
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				waits := startRequest(ctx, relay, protocol, time.Minute)
				testutil.Until(t, "it waits", func() bool { return testCase.waits(t, relay) })
				leave()
				testutil.Until(t, "it is forgotten", func() bool { return relay.proxy.Requests.Len() == stands })
				receiveWithin(t, "its client's end", waits)
				begin()
				if relay.scenario.mu.Lock(); relay.scenario.received != testCase.want {
					t.Errorf("%d transactions came to servers, want %d", relay.scenario.received, testCase.want)
				}
				relay.scenario.mu.Unlock()
				end()
				if result := relay.waitIdle(t); result.received != testCase.want {
					t.Errorf("%d transactions came to servers after it had left, want %d", result.received, testCase.want)
				}
			})
		})
	}
}

// A shared connection that has idled is closed by its endpoint just as the next attach comes: that may have run. It is
// repeated where a repeat is harmless, on another connection, and fails where it is not.
func TestSharedConnectionClosedDuringAnAttach(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		effect   balancer.Effect
		sessions int64 // that endpoints have seen in all
		cond     string
	}{{"idempotent", balancer.Idempotent, 3, ""}, {"at most once", balancer.AtMostOnce, 2, framing.CondInternalError}} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			// The first link comes and goes; the second's attach is read, and its connection closed.
			shared := &sharedEndpoint{acceptAttach: func(_, session int64) bool { return session != 2 }}
			protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = connpool.Settings{MaxSessions: 4, IdleTimeout: time.Minute} }, nil)
			protocol.serveEndpoint = shared.serve
			relay := newTestRelay(t, protocol, 2, nil)
			relay.updateSettings(func(settings *balancer.Settings) {
				settings.Classes[0].Effect, settings.Classes[0].Deadline = testCase.effect, time.Minute
			})
			session := clientOf(t, relay)
			first := attach(t, session, "first")
			ctx, cancel := context.WithTimeout(context.Background(), serverWait)
			defer cancel()
			if err := first.Close(ctx); err != nil {
				t.Fatal(err)
			}
			testutil.Until(t, "the first has ended", func() bool { return relay.proxy.Requests.Len() == 0 })
			_, err := session.NewSender(ctx, "there", &client10.SenderOptions{Name: "second", Properties: linkProperties()})
			var end *client10.Error
			if testCase.cond == "" && err != nil || testCase.cond != "" && (!errors.As(err, &end) || end.Condition != client10.ErrCond(testCase.cond)) {
				t.Errorf("the second's answer is %v", err)
			}
			if got := shared.sessions.Load(); got != testCase.sessions {
				t.Errorf("servers have seen %d sessions, want %d", got, testCase.sessions)
			}
			if n := relay.proxy.Counters.Attempts(balancer.StatusReset); n != 1 {
				t.Errorf("%d passes were reset", n)
			}
		})
	}
}

// A client whose connection is ended for what it says has its links let go first, not once it has read why: what waits for a
// endpoint must not go there meanwhile.
func TestLinksOfAFaultyClientEndAtOnce(t *testing.T) {
	f := newFullListener(t)
	relay := newTestRelay(t, protocols[1], 1, nil)
	relay.updateSettings(func(settings *balancer.Settings) {
		settings.ConnectTimeout, settings.Classes[0].Deadline = time.Minute, time.Minute
	})
	relay.endpointAddresses = []string{f.Addr().String()}
	relay.setEndpointState(balancer.StateReady, 0)
	client := dialRaw(t, relay.address).begin()
	client.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(60000)})
	testutil.Until(t, "its pass goes out", func() bool {
		all := relay.proxy.Requests.List()
		return len(all) == 1 && all[0].Attempts == 1
	})
	client.writeFrame(5, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(1), false}}, nil) // on a channel without a session
	client.expect(framing.CodeClose, 0, framing.CondFramingError)
	told := time.Now() // and it stays: a client that lingers is waited for
	testutil.Until(t, "its link is let go", func() bool { return relay.proxy.Requests.Len() == 0 })
	if took := time.Since(told); took > listener.LingerTimeout/2 {
		t.Errorf("its link is let go %v after its connection's end", took)
	}
}

// A client without links that is shown out as it speaks is told so: closing over what has come would reset its connection.
func TestEvictedClientIsSentAClose(t *testing.T) {
	netListener := listen(t)
	defer netListener.Close()
	there, err := net.Dial("tcp", netListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	here, err := netListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer, tcp := newConnection(there.(*net.TCPConn)), here.(*net.TCPConn)
	if err := peer.writeFrame(0, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{nil, uint32(0), uint32(100), uint32(100)}}, nil); err != nil {
		t.Fatal(err)
	}
	testutil.Unread(t, tcp, framing.HeaderSize)
	(&clientConnection{connection: newConnection(tcp), tcp: tcp}).evict()
	frame, err := peer.readFrame(framing.TypeAMQP, serverWait)
	if cond, _ := frame.Condition(framing.CloseError); err != nil || frame.Code != framing.CodeClose || cond != framing.CondResourceLimitExceeded {
		t.Errorf("it is told %#x, %q, %v", frame.Code, cond, err)
	}
	if _, err := peer.readFrame(framing.TypeAMQP, serverWait); !errors.Is(err, io.EOF) {
		t.Errorf("its connection ends with %v", err)
	}
}
