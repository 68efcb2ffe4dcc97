package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/testutil"
)

func TestHeartbeatTimeoutMigratesWithinSevenSeconds(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusOK, lifetime: time.Minute, mute: true})}
		started := proxy.Clock.Now()
		downstream.serve(context.Background(), time.Second)
		if took := proxy.Clock.Now() - started; took > 7*time.Second || len(downstream.answers) != 2 || downstream.answers[1] != "migrated" {
			t.Errorf("within %v the client was notified of %v, want a migration within 7s", took, downstream.answers)
		}
	})
}

func TestAttemptIsNotSentToDrainingEndpoint(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: func() scriptedAction {
			t.Error("an attempt was sent to a draining endpoint")
			return scriptedAction{}
		}}
		// Only the registry knows the new state: the balancer still picks the endpoint.
		proxy.Endpoints.Update(proxy.Endpoints.AssignID("s-0"), "", balancer.StateDraining)
		downstream.serve(context.Background(), time.Second)
		if len(downstream.answers) != 1 || downstream.answers[0] != "rejected" {
			t.Errorf("the client was notified of %v, want a rejection", downstream.answers)
		}
	})
}

// For all sequences of endpoint responses, client disconnects and list updates, attempts of
// a request don't overlap and its client gets exactly one final answer before the deadline.
func FuzzRequests(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 1, 0, 2})
	f.Add([]byte{0, 4, 2, 9, 5, 7, 0, 2, 200, 3, 1, 1, 250, 0, 0, 6, 4, 2})
	f.Add([]byte("the steps of a day with much trouble in it, and a long one at that"))
	f.Add([]byte{0, 0, 0, 1, 4, 0, 1, 5, 9, 1, 1, 1, 1, 0, 9, 9, 3, 0, 2, 1, 3, 5, 1, 4, 1, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 200 {
			return
		}
		script := testutil.NewSource(data)
		var mu sync.Mutex
		nextAction := func() scriptedAction {
			mu.Lock()
			defer mu.Unlock()
			return scriptedAction{
				status: []balancer.AttemptStatus{balancer.StatusOK, balancer.StatusError, balancer.StatusFull, balancer.StatusConnectFailed, balancer.StatusReset}[script.Pick(5)],
				after:  time.Duration(script.Pick(8)) * 90 * ms, lifetime: time.Duration(script.Pick(9)) * time.Second, mute: script.Pick(4) == 1,
			}
		}
		pick := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return script.Pick(n)
		}
		hasMore := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return script.More()
		}
		runProxy(t, 3, func(proxy *Proxy, setState func(int, balancer.EndpointState)) {
			var running sync.WaitGroup
			for hasMore() {
				switch pick(4) {
				case 0, 1:
					downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: nextAction}
					timeout := time.Duration(1+pick(10)) * 100 * ms
					ctx, leave := context.WithCancel(context.Background())
					clientLeft := pick(4) == 1
					if clientLeft {
						time.AfterFunc(time.Duration(pick(10))*70*ms, leave)
					}
					deadline := proxy.Clock.Now() + timeout
					running.Go(func() {
						defer leave()
						downstream.serve(ctx, timeout)
						downstream.check(deadline, clientLeft)
					})
				case 2:
					setState(pick(3), []balancer.EndpointState{balancer.StateReady, balancer.StateDraining, balancer.StateGone}[pick(3)])
				case 3:
					time.Sleep(time.Duration(pick(100)) * 10 * ms) // of the fake clock
				}
			}
			running.Wait()
		})
	})
}
