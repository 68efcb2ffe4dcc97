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

// settings returns settings with one class, whose deadline is one second.
func settings() balancer.Settings {
	return balancer.Settings{
		Classes:    []balancer.Class{{LatencyObjective: 200 * ms, Deadline: time.Second, MessageLatencyObjective: 60 * ms}},
		RelayCount: 1, MaxAttempts: 3, ClockResolution: 2 * ms, ConnectTimeout: 50 * ms, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
}

// runProxy calls run with a running proxy on a fake clock, with a number of ready endpoints named s-0, s-1 and so on.
// It then checks that no request is left open and no invariant was violated.
func runProxy(t *testing.T, endpoints int, run func(proxy *Proxy, setState func(index int, state balancer.EndpointState))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		proxy := New(settings(), 1, NewClock())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = proxy.Run(ctx) }()
		go func() { _ = proxy.MonitorHeartbeats(ctx) }()
		endpoint := func(i int, state balancer.EndpointState) balancer.Endpoint {
			return balancer.Endpoint{ID: proxy.Endpoints.AssignID(fmt.Sprintf("s-%d", i)), State: state, Size: 1}
		}
		for i := range endpoints {
			proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{endpoint(i, balancer.StateReady)}, []string{"address"})
		}
		run(proxy, func(index int, state balancer.EndpointState) {
			proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{endpoint(index, state)}, []string{"address"})
		})
		synctest.Wait()
		if open := proxy.Requests.Len(); open != 0 {
			t.Errorf("%d requests are still open at the end", open)
		}
		if violations := assert.Violations(); violations != 0 {
			t.Errorf("%d invariant violations", violations)
		}
		cancel()
		synctest.Wait()
	})
}

// scriptedAction is how an endpoint responds to an attempt.
type scriptedAction struct {
	status   balancer.AttemptStatus
	after    time.Duration // delay of the answer
	lifetime time.Duration // of the established connection
	mute     bool          // the endpoint sends nothing on the established connection
}

// fakeDownstream is a Downstream that simulates the endpoints with a script, and checks how the proxy calls it.
type fakeDownstream struct {
	t          *testing.T
	proxy      *Proxy
	nextAction func() scriptedAction

	mu         sync.Mutex
	inFlight   int           // attempts in progress
	answers    []string      // notifications of the client, in order
	answeredAt time.Duration // time of the last notification
}

// fakeUpstreamConn is the connection of a successful attempt.
type fakeUpstreamConn struct{ scriptedAction }

func (fakeUpstreamConn) Close() {}

func (d *fakeDownstream) Attempt(ctx context.Context, attempt Attempt) (UpstreamConn, balancer.AttemptStatus) {
	d.mu.Lock()
	if d.inFlight++; d.inFlight > 1 {
		d.t.Error("an attempt starts while another is in progress")
	}
	if len(d.answers) > 0 {
		d.t.Errorf("an attempt starts after the client was notified of %v", d.answers)
	}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.inFlight--
		d.mu.Unlock()
	}()
	if attempt.Timeout <= 0 {
		d.t.Errorf("an attempt has the timeout %v, want a positive one", attempt.Timeout)
	}
	if !attempt.StillPermitted(ctx) {
		return nil, balancer.StatusNotSent
	}
	action := d.nextAction()
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

func (d *fakeDownstream) Pipe(ctx context.Context, conn UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus {
	d.answer("established")
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

// answer records a notification of the client.
func (d *fakeDownstream) answer(notification string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers = append(d.answers, notification)
	d.answeredAt = d.proxy.Clock.Now()
}

func (d *fakeDownstream) BadRequest(string) { d.answer("bad request") }

func (d *fakeDownstream) Reject(time.Duration) { d.answer("rejected") }

func (d *fakeDownstream) Fail() { d.answer("failed") }

func (d *fakeDownstream) Migrate() bool { d.answer("migrated"); return true }

// serve has the proxy serve a request with a timeout, and returns once it has ended.
func (d *fakeDownstream) serve(ctx context.Context, timeout time.Duration) {
	d.proxy.Serve(ctx, Request{Frontend: "fake", RequestOptions: balancer.RequestOptions{Group: 7, Deadline: d.proxy.Clock.Now() + timeout}}, d)
}

// establish returns a script in which all attempts establish a connection of the same lifetime.
func establish(lifetime time.Duration) func() scriptedAction {
	return always(scriptedAction{status: balancer.StatusOK, lifetime: lifetime})
}

// always returns a script in which all attempts have the same outcome.
func always(action scriptedAction) func() scriptedAction {
	return func() scriptedAction { return action }
}

// check verifies that the client was answered before the deadline unless it left, and was
// notified of nothing else after that but a migration of an established request.
func (d *fakeDownstream) check(deadline time.Duration, clientLeft bool) {
	switch n := len(d.answers); {
	case n == 0 && clientLeft:
	case n == 0:
		d.t.Error("the client was not answered")
	case n == 1 && d.answeredAt > deadline:
		d.t.Errorf("the client was answered %v after the deadline", d.answeredAt-deadline)
	case n == 2 && d.answers[0] == "established" && d.answers[1] == "migrated":
	case n > 1:
		d.t.Errorf("the client was notified of %v", d.answers)
	}
}
