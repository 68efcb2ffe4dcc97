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

// The same scenarios must have the same results through both frontends.
func TestBothFrontendsGiveTheSameResults(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		endpoints int
		actions   []endpointAction
		run       func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult
		want      caseResult
	}{
		{"established and ended by the endpoint", 2, []endpointAction{actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"one endpoint full, then accepted", 2, []endpointAction{actionRejectFull, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 full=1", 2}},
		{"all endpoints full", 2, []endpointAction{actionRejectFull, actionRejectFull}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "full=2", 2}},
		{"error, then accepted", 2, []endpointAction{actionFail, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 error=1", 2}},
		{"connection reset, then accepted", 2, []endpointAction{actionReset, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 reset=1", 2}},
		{"timeout at a hanging endpoint, then accepted", 2, []endpointAction{actionHang, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit, then accepted by another endpoint", 2, []endpointAction{actionNoCredit, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit until the deadline", 1, []endpointAction{actionNoCredit}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"endpoint hangs until the deadline", 1, []endpointAction{actionHang}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"redirected by the endpoint", 1, []endpointAction{actionAcceptAndRedirect}, nil,
			caseResult{[]requestResult{{"up", false, "moved"}}, "sent_away=1", 1}},
		// An endpoint that redirects is draining before the endpoint list says so. It must not get the client's next
		// request.
		{"redirected client does not return to the same endpoint", 2, []endpointAction{actionAcceptAndRedirect, actionAcceptAndDetach},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				first := runRequest(t, relay, protocol, clientTimeout, nil)
				relay.waitIdle(t, first)
				relay.scenario.mu.Lock()
				relay.scenario.excludedAddress = relay.scenario.lastAddress
				relay.scenario.mu.Unlock()
				return relay.waitIdle(t, first, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"up", false, "moved"}, {"up", false, "ended"}}, "ok=1 sent_away=1", 2}},
		{"established connection reset by the endpoint", 1, []endpointAction{actionAcceptAndReset}, nil,
			caseResult{[]requestResult{{"up", false, "broken"}}, "reset=1", 1}},
		{"migrated at shutdown", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, func() { relay.proxy.MigrateAll(time.Millisecond) }))
			},
			caseResult{[]requestResult{{"up", false, "moved"}}, "cancelled=1", 1}},
		{"client leaves during an attempt", 1, []endpointAction{actionHang}, clientLeaves,
			caseResult{[]requestResult{{"lost", false, ""}}, "cancelled=1", 1}},
		{"draining endpoints get no requests", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateDraining, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		{"endpoints that are gone get no requests", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateGone, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		// If it were forwarded, each endpoint would reject it and count as failing.
		{"name of another open request", 2, []endpointAction{actionAccept, actionFail, actionFail}, sameName,
			caseResult{[]requestResult{{"failed", false, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"client sends before its answer", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				result := relay.waitIdle(t, requestResult{answer: protocol.openAndSend(t, relay.address)})
				return caseResult{results: result.results} // whether an attempt was started depends on timing
			},
			caseResult{[]requestResult{{"failed", false, ""}}, "", 0}},
		{"no connection slot is free", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				var rejected requestResult
				first := runRequest(t, relay, protocol, clientTimeout, func() {
					rejected = runRequest(t, relay, protocol, clientTimeout, nil)
					relay.proxy.MigrateAll(time.Millisecond)
				})
				return relay.waitIdle(t, rejected, first)
			},
			caseResult{[]requestResult{{"unavailable", true, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"many clients that never complete their opening", 1, []endpointAction{actionAcceptAndDetach}, slowClients,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"client timeout beyond the class deadline", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				ctx, disconnect := context.WithTimeout(context.Background(), 4*clientTimeout)
				defer disconnect()
				answer, retryAfter, _ := protocol.open(ctx, relay.address, relay.nextName(), time.Hour)
				return relay.waitIdle(t, requestResult{answer: answer, retryAfter: retryAfter})
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"slow start limits a new endpoint", 1, []endpointAction{actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach}, clientsDuringSlowStart,
			caseResult{[]requestResult{
				{"unavailable", true, ""}, {"unavailable", true, ""}, {"unavailable", true, ""}, {"up", false, "ended"},
			}, "ok=1", 1}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			for _, protocol := range protocols {
				t.Run(protocol.name, func(t *testing.T) {
					t.Parallel()
					slots := 64
					if testCase.name == "no connection slot is free" {
						slots = 1
					}
					relay := newTestRelayWithSlots(t, protocol, testCase.endpoints, testCase.actions, slots)
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

// clientLeaves disconnects the client while the endpoint has not answered, which must end the attempt.
func clientLeaves(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	ctx, disconnect := context.WithCancel(context.Background())
	results := make(chan requestResult)
	go func() {
		answer, retryAfter, _ := protocol.open(ctx, relay.address, relay.nextName(), 5*time.Second)
		results <- requestResult{answer: answer, retryAfter: retryAfter}
	}()
	for pending := 0; pending == 0; time.Sleep(time.Millisecond) { // bounded by the timeout of the test run
		relay.scenario.mu.Lock()
		pending = relay.scenario.pending
		relay.scenario.mu.Unlock()
	}
	disconnect()
	result := <-results
	select {
	case <-relay.scenario.ended:
	case <-time.After(2 * time.Second):
		t.Error("the connection to the endpoint is still open 2 s after the client left")
	}
	return relay.waitIdle(t, result)
}

// sameName sends a second request with the name of one that is established.
func sameName(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var second requestResult
	name := relay.nextName()
	first := runNamedRequest(t, relay, protocol, name, clientTimeout, func() {
		second = runNamedRequest(t, relay, protocol, name, clientTimeout, nil)
		relay.proxy.MigrateAll(time.Millisecond)
	})
	return relay.waitIdle(t, second, first)
}

// sendSlowly connects and sends pieces and then filler repeatedly, one part per interval. It returns how long the
// frontend keeps the connection open.
func sendSlowly(t *testing.T, address string, pieces []string, filler string, interval time.Duration) time.Duration {
	began := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(peerReadTimeout))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	tick := time.NewTicker(max(interval, time.Nanosecond))
	defer tick.Stop()
	for remaining := 64 << 20; remaining > 0; {
		var part string
		if len(pieces) > 0 {
			part, pieces = pieces[0], pieces[1:]
		} else {
			part = filler
		}
		if _, err := io.WriteString(conn, part); err != nil {
			break
		}
		remaining -= len(part)
		select {
		case <-ended:
			return time.Since(began)
		case <-tick.C:
		}
	}
	<-ended
	return time.Since(began)
}

// slowClients connects more silent clients than the frontend admits, and others that never complete their opening. All
// must be disconnected within 3 s, and a regular request must be served meanwhile.
func slowClients(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var clients sync.WaitGroup
	for i := range 150 {
		pieces, filler, interval := protocol.slowPieces[:0], "", 100*time.Millisecond
		switch i % 50 {
		case 0:
			pieces, filler = protocol.slowPieces, protocol.slowPieces[len(protocol.slowPieces)-1]
		case 1:
			pieces, filler, interval = []string{protocol.endless}, strings.Repeat("x", 1<<16), 0
		}
		clients.Go(func() {
			if took := sendSlowly(t, relay.address, pieces, filler, interval); took > 3*time.Second {
				t.Errorf("a client that sends %q is disconnected only after %v", pieces, took)
			}
		})
	}
	// On a busy machine the regular client may be evicted before it sends its opening. It tries again then.
	result := requestResult{}
	for try := 0; try < 5 && result.answer != "up"; try++ {
		result = runRequest(t, relay, protocol, clientTimeout, nil)
	}
	clients.Wait()
	return relay.waitIdle(t, result)
}

// clientsDuringSlowStart sends four requests at the same time to an endpoint in slow start, which must get only one
// of them.
func clientsDuringSlowStart(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	relay.setEndpointState(balancer.StateReady, relay.proxy.Clock.Now()-18*time.Second)
	var clients sync.WaitGroup
	results := make([]requestResult, 4)
	for i := range results {
		clients.Go(func() { results[i] = runRequest(t, relay, protocol, clientTimeout, nil) })
	}
	clients.Wait()
	slices.SortFunc(results, func(a, b requestResult) int { return -strings.Compare(a.answer, b.answer) })
	slices.Reverse(results)
	return relay.waitIdle(t, results...)
}
