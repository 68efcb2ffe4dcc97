package amqp

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lockroad/balancer"
)

func TestBothFrontendsGiveTheSameResults(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		servers int
		acts    []endpointAction
		run     func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult
		want    caseResult
	}{
		{"served to its end", 2, []endpointAction{actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"busy, then up", 2, []endpointAction{actionRejectFull, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 full=1", 2}},
		{"busy everywhere", 2, []endpointAction{actionRejectFull, actionRejectFull}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "full=2", 2}},
		{"error, then up", 2, []endpointAction{actionFail, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 error=1", 2}},
		{"reset, then up", 2, []endpointAction{actionReset, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 reset=1", 2}},
		{"a hung server, then up", 2, []endpointAction{actionHang, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit, then up", 2, []endpointAction{actionNoCredit, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit until the deadline", 1, []endpointAction{actionNoCredit}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"hung until the deadline", 1, []endpointAction{actionHang}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"sent away by the server", 1, []endpointAction{actionAcceptAndRedirect}, nil,
			caseResult{[]requestResult{{"up", false, "moved"}}, "sent_away=1", 1}},
		// It drains, which the list doesn't say yet: the client would be sent away again.
		{"sent away by the server, and back", 2, []endpointAction{actionAcceptAndRedirect, actionAcceptAndDetach},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				first := runRequest(t, relay, protocol, clientTimeout, nil)
				relay.waitIdle(t, first)
				relay.scenario.mu.Lock()
				relay.scenario.excludedAddress = relay.scenario.lastAddress
				relay.scenario.mu.Unlock()
				return relay.waitIdle(t, first, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"up", false, "moved"}, {"up", false, "ended"}}, "ok=1 sent_away=1", 2}},
		{"the server dies", 1, []endpointAction{actionAcceptAndReset}, nil,
			caseResult{[]requestResult{{"up", false, "broken"}}, "reset=1", 1}},
		{"the relay leaves", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, func() { relay.proxy.MigrateAll(time.Millisecond) }))
			},
			caseResult{[]requestResult{{"up", false, "moved"}}, "cancelled=1", 1}},
		{"the client leaves a pass that is out", 1, []endpointAction{actionHang}, clientLeaves,
			caseResult{[]requestResult{{"lost", false, ""}}, "cancelled=1", 1}},
		{"nothing goes to a draining server", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateDraining, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		{"nothing goes to a server that is gone", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateGone, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		// Passed on, it would be turned down by one endpoint after another, each of
		// them blamed for it.
		{"the name of another's open transaction", 2, []endpointAction{actionAccept, actionFail, actionFail}, sameName,
			caseResult{[]requestResult{{"failed", false, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a client that doesn't wait for its answer", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				result := relay.waitIdle(t, requestResult{answer: protocol.openAndSend(t, relay.address)})
				return caseResult{results: result.results} // an attempt may have gone out, or not
			},
			caseResult{[]requestResult{{"failed", false, ""}}, "", 0}},
		{"no seat is free", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				var late requestResult
				first := runRequest(t, relay, protocol, clientTimeout, func() {
					late = runRequest(t, relay, protocol, clientTimeout, nil)
					relay.proxy.MigrateAll(time.Millisecond)
				})
				return relay.waitIdle(t, late, first)
			},
			caseResult{[]requestResult{{"unavailable", true, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a crowd that never comes to its point", 1, []endpointAction{actionAcceptAndDetach}, slowClients,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"a client that says it waits for hours", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				ctx, leave := context.WithTimeout(context.Background(), 4*clientTimeout)
				defer leave()
				answer, advice, _ := protocol.open(ctx, relay.address, relay.nextName(), time.Hour)
				return relay.waitIdle(t, requestResult{answer: answer, retryAfter: advice})
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"a cold server is spared", 1, []endpointAction{actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach}, clientsAtWarmingEndpoint,
			caseResult{[]requestResult{
				{"unavailable", true, ""}, {"unavailable", true, ""}, {"unavailable", true, ""}, {"up", false, "ended"},
			}, "ok=1", 1}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			for _, protocol := range protocols {
				t.Run(protocol.name, func(t *testing.T) {
					t.Parallel()
					seats := 64
					if testCase.name == "no seat is free" {
						seats = 1
					}
					relay := newTestRelayWithSlots(t, protocol, testCase.servers, testCase.acts, seats)
					run := testCase.run
					if run == nil {
						run = func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
							return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
						}
					}
					got := run(t, relay, protocol)
					if !slices.Equal(got.results, testCase.want.results) || got.attempts != testCase.want.attempts || got.received != testCase.want.received {
						t.Errorf("got  %+v\nwant %+v", got, testCase.want)
					}
				})
			}
		})
	}
}

// clientLeaves has the client go while the endpoint says nothing: the attempt is
// closed with it.
func clientLeaves(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	ctx, leave := context.WithCancel(context.Background())
	result := make(chan requestResult)
	go func() {
		answer, advice, _ := protocol.open(ctx, relay.address, relay.nextName(), 5*time.Second)
		result <- requestResult{answer: answer, retryAfter: advice}
	}()
	for out := 0; out == 0; time.Sleep(time.Millisecond) { // a poll: the test's own limit bounds it
		relay.scenario.mu.Lock()
		out = relay.scenario.pending
		relay.scenario.mu.Unlock()
	}
	leave()
	s := <-result
	select {
	case <-relay.scenario.ended:
	case <-time.After(2 * time.Second):
		t.Error("the pass is still out though its client has left")
	}
	return relay.waitIdle(t, s)
}

// sameName has a second client come with the name of one that is up.
func sameName(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var second requestResult
	name := relay.nextName()
	first := runNamedRequest(t, relay, protocol, name, clientTimeout, func() {
		second = runNamedRequest(t, relay, protocol, name, clientTimeout, nil)
		relay.proxy.MigrateAll(time.Millisecond)
	})
	return relay.waitIdle(t, second, first)
}

// sendSlowly dials and says something, a piece at a time, and more to the end. It
// returns how long the frontend bears that.
func sendSlowly(t *testing.T, address string, pieces []string, more string, every time.Duration) time.Duration {
	began := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(serverWait))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	tick := time.NewTicker(max(every, time.Nanosecond))
	defer tick.Stop()
	for most := 64 << 20; most > 0; {
		var part string
		if len(pieces) > 0 {
			part, pieces = pieces[0], pieces[1:]
		} else {
			part = more
		}
		if _, err := io.WriteString(conn, part); err != nil {
			break
		}
		most -= len(part)
		select {
		case <-ended:
			return time.Since(began)
		case <-tick.C:
		}
	}
	<-ended
	return time.Since(began)
}

// slowClients has clients come that say nothing, more of them than there is room
// for, and others that never come to their point. All go within 3 s, and a usual
// client is served meanwhile.
func slowClients(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var all sync.WaitGroup
	for i := range 150 {
		pieces, more, every := protocol.slowPieces[:0], "", 100*time.Millisecond
		switch i % 50 {
		case 0:
			pieces, more = protocol.slowPieces, protocol.slowPieces[len(protocol.slowPieces)-1]
		case 1:
			pieces, more, every = []string{protocol.endless}, strings.Repeat("x", 1<<16), 0
		}
		all.Go(func() {
			if took := sendSlowly(t, relay.address, pieces, more, every); took > 3*time.Second {
				t.Errorf("a client that says %q goes after %v", pieces, took)
			}
		})
	}
	// On a busy machine the client's own first word can be late, and its place be
	// given to another: then it comes again.
	result := requestResult{}
	for try := 0; try < 5 && result.answer != "up"; try++ {
		result = runRequest(t, relay, protocol, clientTimeout, nil)
	}
	all.Wait()
	return relay.waitIdle(t, result)
}

// clientsAtWarmingEndpoint has four clients ask at once for an endpoint that has just
// started. Within the time that could push it over it takes one of them.
func clientsAtWarmingEndpoint(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	relay.setEndpointState(balancer.StateReady, relay.proxy.Clock.Now()-18*time.Second)
	var all sync.WaitGroup
	got := make([]requestResult, 4)
	for i := range got {
		all.Go(func() { got[i] = runRequest(t, relay, protocol, clientTimeout, nil) })
	}
	all.Wait()
	slices.SortFunc(got, func(a, b requestResult) int { return -strings.Compare(a.answer, b.answer) })
	slices.Reverse(got)
	return relay.waitIdle(t, got...)
}
