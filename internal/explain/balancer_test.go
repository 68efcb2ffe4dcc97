package explain

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// scriptedFrontend serves a request whose attempts end with the given statuses, and succeed after them.
type scriptedFrontend struct {
	statuses  []balancer.AttemptStatus
	attempts  []string // endpoint and outcome of each attempt
	endpoints *registry.Endpoints
}

// fakeUpstream is the connection of a successful attempt.
type fakeUpstream struct{}

func (fakeUpstream) Close() {}

func (f *scriptedFrontend) Attempt(_ context.Context, attempt proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	status := balancer.StatusOK
	if n := len(f.attempts); n < len(f.statuses) {
		status = f.statuses[n]
	}
	if status == balancer.StatusTimeout {
		time.Sleep(attempt.Timeout)
	} else {
		time.Sleep(20 * time.Millisecond)
	}
	f.attempts = append(f.attempts, f.endpoints.Name(attempt.Endpoint.ID)+" "+registry.StatusNames[status])
	if status == balancer.StatusOK {
		return fakeUpstream{}, status
	}
	return nil, status
}

func (*scriptedFrontend) Pipe(ctx context.Context, _ proxy.UpstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	heartbeat.Established()
	select {
	case <-time.After(time.Second):
		return balancer.StatusOK
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
}
func (*scriptedFrontend) BadRequest(string)    {}
func (*scriptedFrontend) Reject(time.Duration) {}
func (*scriptedFrontend) Fail()                {}
func (*scriptedFrontend) Migrate() bool        { return true }

// Explains decisions of a running proxy: a request that fails at three endpoints, the third of
// which is full, later requests of its group, and the draining of its cached endpoint.
func TestBalancerDecisionsAreExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := proxy.New(balancer.Settings{
			Classes: []balancer.Class{{LatencyObjective: 200 * time.Millisecond, Deadline: 4 * time.Second}}, RelayCount: 1, MaxAttempts: 3, ClockResolution: 2 * time.Millisecond,
			ConnectTimeout: 50 * time.Millisecond, MaxRetryAfter: 2 * time.Second, InitialCapacity: 0.2, SlowStartDuration: time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		}, 1, proxy.NewClock())
		log, err := decisionlog.New(decisionlog.MinBytes, relay.Clock)
		if err != nil {
			t.Fatal(err)
		}
		relay.Observe(log)
		explainer := &Explainer{Log: log, Names: relay.Endpoints}
		var list []balancer.Endpoint
		for i := range 3 {
			list = append(list, balancer.Endpoint{ID: relay.Endpoints.AssignID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Size: 1})
		}
		relay.SetListRevision(17)
		relay.UpdateEndpoints(balancer.ListFull, list, []string{"a", "b", "c"})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = relay.Run(ctx) })
		serve := func(statuses ...balancer.AttemptStatus) (*scriptedFrontend, *Explanation) {
			frontend := &scriptedFrontend{statuses: statuses, endpoints: relay.Endpoints}
			relay.Serve(ctx, proxy.Request{Frontend: "line", Class: "page", Name: "a", RequestOptions: balancer.RequestOptions{Group: 7, Deadline: relay.Clock.Now() + 4*time.Second}}, frontend)
			synctest.Wait()
			entries, err := log.EntriesByName("a")
			if err != nil {
				t.Fatal(err)
			}
			return frontend, explainer.Explain(entries[0])
		}
		check := func(frontend *scriptedFrontend, explanation *Explanation, reasons, result string) {
			t.Helper()
			var attempts, decisions []string
			for _, event := range explanation.Events {
				if event.Kind == "outcome" {
					attempts = append(attempts, event.Endpoint+" "+event.Outcome)
				}
				if event.Reason != "" {
					decisions = append(decisions, event.Kind+" "+event.Reason)
				}
			}
			if fmt.Sprint(attempts) != fmt.Sprint(frontend.attempts) || strings.Join(decisions, ", ") != reasons || explanation.Result != result || explanation.Events[0].Revision != 17 {
				t.Errorf("explained attempts %v, decisions %s, result %s; want %v, %s, %s, with list revision 17", attempts, strings.Join(decisions, ", "), explanation.Result, frontend.attempts, reasons, result)
			}
		}
		frontend, explanation := serve(balancer.StatusTimeout, balancer.StatusReset, balancer.StatusFull)
		check(frontend, explanation, "sent drawn, held backoff, sent drawn-again, held backoff, sent drawn-again, refused out-of-tries", "unavailable")
		if len(frontend.attempts) != 3 || explanation.RetryAfterMS == 0 {
			t.Errorf("rejected after the attempts %v with a retry delay of %v ms, want three attempts and a delay", frontend.attempts, explanation.RetryAfterMS)
		}
		time.Sleep(15 * time.Second) // until the full endpoint has recovered
		first, explanation := serve()
		check(first, explanation, "sent drawn", "ended")
		frontend, explanation = serve()
		check(frontend, explanation, "sent cached-route", "ended")
		cachedEndpoint := frontend.attempts[0][:3]
		for i := range list {
			if relay.Endpoints.Name(list[i].ID) == cachedEndpoint {
				list[i].State = balancer.StateDraining
			}
		}
		relay.SetListRevision(18)
		relay.UpdateEndpoints(balancer.ListDelta, list, []string{"a", "b", "c"})
		frontend, explanation = serve()
		if explanation.Events[0].Reason != "route-gone" || explanation.Events[0].Revision != 18 || strings.HasPrefix(frontend.attempts[0], cachedEndpoint) || !strings.Contains(explanation.Events[0].Text, "as "+cachedEndpoint+", where its group is, takes nothing new") {
			t.Errorf("first decision after the drain is explained as %+v, with attempts %v", explanation.Events[0], frontend.attempts)
		}
		cancel()
		running.Wait()
	})
}

// BenchmarkBalancerDuringQueries measures the p50 and p99 latency of 2,000 decisions per second
// with a full log, first alone and then, with the ratio of both, while another goroutine counts
// all entries in a loop.
func BenchmarkBalancerDuringQueries(b *testing.B) {
	var baseline [2]float64
	for _, querying := range []bool{false, true} {
		b.Run(fmt.Sprintf("asked=%v", querying), func(b *testing.B) {
			clock := proxy.NewClock()
			log, err := decisionlog.New(decisionlog.DefaultBytes, clock)
			if err != nil {
				b.Fatal(err)
			}
			endpoints := registry.NewEndpoints()
			var list []balancer.Endpoint
			for i := range 13 {
				list = append(list, balancer.Endpoint{ID: endpoints.AssignID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Size: 1})
			}
			module := balancer.New(balancer.Settings{
				Classes: []balancer.Class{{Deadline: time.Second}}, RelayCount: 4, MaxAttempts: 5, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
			}, 1)
			module.Handle(clock.Now(), balancer.EndpointList{Kind: balancer.ListFull, Endpoints: list})
			var observer proxy.RequestObserver
			module.Observe(func(_ balancer.RequestID, decision *balancer.Decision) { observer.Decided(decision) })
			number := uint64(0)
			serveOne := func() {
				number++
				observer = log.RequestStarted(number, proxy.Request{Frontend: "line", Class: "page", RequestOptions: balancer.RequestOptions{Deadline: clock.Now() + time.Second}})
				id, now := balancer.RequestID(number), clock.Now()
				module.Handle(now, balancer.Request{ID: id, Group: number % 64, TimeLeft: time.Second})
				module.Handle(now, balancer.ClientLeft{Request: id})
				observer.Ended(proxy.Result{End: registry.EndClosed})
			}
			for range 20_000 {
				serveOne()
			}
			stop := make(chan struct{})
			var reader sync.WaitGroup
			if querying {
				explainer := &Explainer{Log: log, Names: endpoints}
				reader.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if err := explainer.Answer(Query{CountBy: []string{"server", "reason"}}, &strings.Builder{}); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			latencies := hdrhistogram.New(1, time.Second.Nanoseconds(), 3)
			b.ResetTimer()
			tick := time.NewTicker(time.Millisecond)
			defer tick.Stop()
			for range b.N {
				<-tick.C
				for range 2 {
					began := time.Now()
					serveOne()
					latencies.RecordValue(time.Since(began).Nanoseconds())
				}
			}
			b.StopTimer()
			close(stop)
			reader.Wait()
			for i, quantile := range []float64{50, 99} {
				value := float64(latencies.ValueAtQuantile(quantile))
				b.ReportMetric(value, fmt.Sprintf("p%v-ns", quantile))
				if !querying {
					baseline[i] = value
				} else if baseline[i] > 0 {
					b.ReportMetric(value/baseline[i], fmt.Sprintf("p%v-ratio", quantile))
				}
			}
		})
	}
}
