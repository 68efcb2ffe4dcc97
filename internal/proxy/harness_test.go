package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
)

const ms = time.Millisecond

func settings() balancer.Settings {
	return balancer.Settings{
		Classes: []balancer.Class{{LatencyObjective: 200 * ms, Deadline: time.Second, MessageLatencyObjective: 60 * ms}},
		Relays:  1, MaxAttempts: 3, MinTick: 2 * ms, ConnectTimeout: 50 * ms, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
}

// runProxy runs a proxy with n endpoints on a fake clock, and checks at the end that nothing is left of its requests.
func runProxy(t *testing.T, n int, run func(proxy *Proxy, setState func(index int, state balancer.EndpointState))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		proxy := New(settings(), 1, NewClock())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = proxy.Run(ctx) }()
		go func() { _ = proxy.MonitorHeartbeats(ctx) }()
		endpoint := func(i int, state balancer.EndpointState) balancer.Endpoint {
			return balancer.Endpoint{ID: proxy.Endpoints.ID(fmt.Sprintf("s-%d", i)), State: state, Weight: 1}
		}
		for i := range n {
			proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{endpoint(i, balancer.StateReady)}, []string{"address"})
		}
		run(proxy, func(index int, state balancer.EndpointState) {
			proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{endpoint(index, state)}, []string{"address"})
		})
		synctest.Wait()
		if n := proxy.Requests.Len(); n != 0 {
			t.Errorf("%d requests are still open", n)
		}
		if n := assert.Broken(); n != 0 {
			t.Errorf("%d invariants are broken", n)
		}
		cancel()
		synctest.Wait()
	})
}

// scriptedAction is what an endpoint does with an attempt.
type scriptedAction struct {
	status   balancer.AttemptStatus
	after    time.Duration
	lifetime time.Duration // once established
	mute     bool          // it sends nothing once established
}

// fakeDownstream is a frontend's side of a request, and the model that the proxy is checked by.
type fakeDownstream struct {
	t          *testing.T
	proxy      *Proxy
	nextAction func() scriptedAction

	mu         sync.Mutex
	inFlight   int // attempts in progress
	answers    []string
	answeredAt time.Duration // time of the last answer
}

type fakeUpstreamConn struct{ scriptedAction }

func (fakeUpstreamConn) Close() {}

func (downstream *fakeDownstream) Attempt(ctx context.Context, attempt Attempt) (UpstreamConn, balancer.AttemptStatus) {
	downstream.mu.Lock()
	if downstream.inFlight++; downstream.inFlight > 1 {
		downstream.t.Error("two attempts are in progress at once")
	}
	if len(downstream.answers) > 0 {
		downstream.t.Errorf("an attempt starts after the answer %v", downstream.answers)
	}
	downstream.mu.Unlock()
	defer func() {
		downstream.mu.Lock()
		downstream.inFlight--
		downstream.mu.Unlock()
	}()
	if attempt.Timeout <= 0 {
		downstream.t.Errorf("an attempt has a timeout of %v", attempt.Timeout)
	}
	if !attempt.StillPermitted(ctx) {
		return nil, balancer.StatusNotSent
	}
	action := downstream.nextAction()
	select {
	case <-time.After(action.after):
		if action.status == balancer.StatusOK {
			return fakeUpstreamConn{action}, action.status
		}
		return nil, action.status
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return nil, balancer.StatusTimeout
		}
		return nil, balancer.StatusCancelled
	}
}

func (downstream *fakeDownstream) Pipe(ctx context.Context, conn UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus {
	downstream.answer("up")
	heartbeat.Established()
	action := conn.(fakeUpstreamConn)
	end := time.After(action.lifetime)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			heartbeat.ClientSent()
			if !action.mute {
				heartbeat.EndpointSent()
			}
		case <-end:
			return balancer.StatusOK
		case <-ctx.Done():
			return balancer.StatusCancelled
		}
	}
}

func (downstream *fakeDownstream) answer(what string) {
	downstream.mu.Lock()
	defer downstream.mu.Unlock()
	downstream.answers = append(downstream.answers, what)
	downstream.answeredAt = downstream.proxy.Clock.Now()
}

func (downstream *fakeDownstream) BadRequest(string) { downstream.answer("bad") }

func (downstream *fakeDownstream) Reject(time.Duration) { downstream.answer("unavailable") }

func (downstream *fakeDownstream) Fail() { downstream.answer("failed") }

func (downstream *fakeDownstream) Migrate() bool { downstream.answer("move"); return true }

// serve serves a request and returns once it has ended.
func (downstream *fakeDownstream) serve(ctx context.Context, wait time.Duration) {
	downstream.proxy.Serve(ctx, Request{Front: "fake", RequestOptions: balancer.RequestOptions{Group: 7, Deadline: downstream.proxy.Clock.Now() + wait}}, downstream)
}

func always(action scriptedAction) func() scriptedAction {
	return func() scriptedAction { return action }
}

// check holds what the client was notified of against the model: an answer in time, and
// after it is established nothing but a migration.
func (downstream *fakeDownstream) check(deadline time.Duration, left bool) {
	switch n := len(downstream.answers); {
	case n == 0 && left:
	case n == 0:
		downstream.t.Error("no answer")
	case n == 1 && downstream.answeredAt > deadline:
		downstream.t.Errorf("answered %v after the deadline", downstream.answeredAt-deadline)
	case n == 2 && downstream.answers[0] == "up" && downstream.answers[1] == "move":
	case n > 1:
		downstream.t.Errorf("the client was notified of %v", downstream.answers)
	}
}
