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

// scripted is a front's side of a transaction whose passes end as told.
type scripted struct {
	hows []balancer.AttemptStatus
	seen []string // server and outcome of each pass
	farm *registry.Endpoints
}

type noLink struct{}

func (noLink) Close() {}

func (x *scripted) Attempt(_ context.Context, out proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	how := balancer.StatusOK
	if n := len(x.seen); n < len(x.hows) {
		how = x.hows[n]
	}
	if how == balancer.StatusTimeout {
		time.Sleep(out.Timeout)
	} else {
		time.Sleep(20 * time.Millisecond)
	}
	x.seen = append(x.seen, x.farm.Name(out.Endpoint.ID)+" "+registry.StatusNames[how])
	if how == balancer.StatusOK {
		return noLink{}, how
	}
	return nil, how
}

func (x *scripted) Pipe(ctx context.Context, _ proxy.UpstreamConn, p *proxy.Heartbeat) balancer.AttemptStatus {
	p.Established()
	select {
	case <-time.After(time.Second):
		return balancer.StatusOK
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
}
func (*scripted) BadRequest(string)    {}
func (*scripted) Reject(time.Duration) {}
func (*scripted) Fail()                {}
func (*scripted) Migrate() bool        { return true }

// The whole way: the module's own decisions on a transaction that three servers fail,
// the third refusing, and the next of its group; then a server that drains.
func TestModulesOwnDecisionsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := proxy.New(balancer.Settings{
			Classes: []balancer.Class{{LatencyObjective: 200 * time.Millisecond, Deadline: 4 * time.Second}}, Relays: 1, MaxAttempts: 3, MinTick: 2 * time.Millisecond,
			ConnectTimeout: 50 * time.Millisecond, MaxRetryAfter: 2 * time.Second, InitialCapacity: 0.2, SlowStartDuration: time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		}, 1, proxy.NewClock())
		r, err := decisionlog.New(decisionlog.MinBytes, k.Clock)
		if err != nil {
			t.Fatal(err)
		}
		k.Observe(r)
		w := &Explainer{Log: r, Names: k.Endpoints}
		var list []balancer.Endpoint
		for i := range 3 {
			list = append(list, balancer.Endpoint{ID: k.Endpoints.ID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Weight: 1})
		}
		k.SetRevision(17)
		k.UpdateEndpoints(balancer.ListFull, list, []string{"a", "b", "c"})
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		all.Go(func() { _ = k.Run(ctx) })
		serve := func(hows ...balancer.AttemptStatus) (*scripted, *Explanation) {
			x := &scripted{hows: hows, farm: k.Endpoints}
			k.Serve(ctx, proxy.Request{Front: "line", Class: "page", Name: "a", RequestOptions: balancer.RequestOptions{Group: 7, Deadline: k.Clock.Now() + 4*time.Second}}, x)
			synctest.Wait()
			kept, err := r.Name("a")
			if err != nil {
				t.Fatal(err)
			}
			return x, w.Explain(kept[0])
		}
		check := func(x *scripted, a *Explanation, reasons, answer string) {
			t.Helper()
			var passes, why []string
			for _, s := range a.Events {
				if s.What == "outcome" {
					passes = append(passes, s.Endpoint+" "+s.Outcome)
				}
				if s.Reason != "" {
					why = append(why, s.What+" "+s.Reason)
				}
			}
			if fmt.Sprint(passes) != fmt.Sprint(x.seen) || strings.Join(why, ", ") != reasons || a.Result != answer || a.Events[0].Revision != 17 {
				t.Errorf("told %v, %s, %s; seen %v; want %s, %s", passes, strings.Join(why, ", "), a.Result, x.seen, reasons, answer)
			}
		}
		x, a := serve(balancer.StatusTimeout, balancer.StatusReset, balancer.StatusFull)
		check(x, a, "sent drawn, held backoff, sent drawn-again, held backoff, sent drawn-again, refused out-of-tries", "unavailable")
		if len(x.seen) != 3 || a.RetryAfterMS == 0 {
			t.Errorf("seen %v, to come back in %v ms", x.seen, a.RetryAfterMS)
		}
		time.Sleep(15 * time.Second) // until what was full is no longer eased into work
		first, a := serve()
		check(first, a, "sent drawn", "ended")
		x, a = serve()
		check(x, a, "sent cached-route", "ended")
		home := x.seen[0][:3]
		for i := range list {
			if k.Endpoints.Name(list[i].ID) == home {
				list[i].State = balancer.StateDraining
			}
		}
		k.SetRevision(18)
		k.UpdateEndpoints(balancer.ListDelta, list, []string{"a", "b", "c"})
		x, a = serve()
		if a.Events[0].Reason != "route-gone" || a.Events[0].Revision != 18 || strings.HasPrefix(x.seen[0], home) || !strings.Contains(a.Events[0].Text, "as "+home+", where its group is, takes nothing new") {
			t.Errorf("told %+v; seen %v", a.Events[0], x.seen)
		}
		cancel()
		all.Wait()
	})
}

// BenchmarkTurnWhileAsked takes 2,000 decisions a second with the record full, and
// reports the p50 and p99 of a turn, and their ratio to those without a question, while
// somebody counts all that the record has again and again.
func BenchmarkTurnWhileAsked(b *testing.B) {
	var alone [2]float64
	for _, asked := range []bool{false, true} {
		b.Run(fmt.Sprintf("asked=%v", asked), func(b *testing.B) {
			clock := proxy.NewClock()
			r, err := decisionlog.New(decisionlog.DefaultBytes, clock)
			if err != nil {
				b.Fatal(err)
			}
			farm := registry.NewEndpoints()
			var list []balancer.Endpoint
			for i := range 13 {
				list = append(list, balancer.Endpoint{ID: farm.ID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Weight: 1})
			}
			m := balancer.New(balancer.Settings{
				Classes: []balancer.Class{{Deadline: time.Second}}, Relays: 4, MaxAttempts: 5, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
			}, 1)
			m.Handle(clock.Now(), balancer.EndpointList{Kind: balancer.ListFull, Endpoints: list})
			var trace proxy.RequestObserver
			m.Observe(func(_ balancer.RequestID, d *balancer.Decision) { trace.Decided(d) })
			number := uint64(0)
			turn := func() {
				number++
				trace = r.Began(number, proxy.Request{Front: "line", Class: "page", RequestOptions: balancer.RequestOptions{Deadline: clock.Now() + time.Second}})
				id, now := balancer.RequestID(number), clock.Now()
				m.Handle(now, balancer.Request{ID: id, Group: number % 64, TimeLeft: time.Second})
				m.Handle(now, balancer.ClientLeft{Request: id})
				trace.Ended(proxy.Result{End: registry.EndClosed})
			}
			for range 20_000 {
				turn()
			}
			stop := make(chan struct{})
			var reader sync.WaitGroup
			if asked {
				w := &Explainer{Log: r, Names: farm}
				reader.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if err := w.Answer(Query{By: []string{"server", "reason"}}, &strings.Builder{}); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			took := hdrhistogram.New(1, time.Second.Nanoseconds(), 3)
			b.ResetTimer()
			tick := time.NewTicker(time.Millisecond)
			defer tick.Stop()
			for range b.N {
				<-tick.C
				for range 2 {
					began := time.Now()
					turn()
					took.RecordValue(time.Since(began).Nanoseconds())
				}
			}
			b.StopTimer()
			close(stop)
			reader.Wait()
			for i, q := range []float64{50, 99} {
				v := float64(took.ValueAtQuantile(q))
				b.ReportMetric(v, fmt.Sprintf("p%v-ns", q))
				if !asked {
					alone[i] = v
				} else if alone[i] > 0 {
					b.ReportMetric(v/alone[i], fmt.Sprintf("p%v-ratio", q))
				}
			}
		})
	}
}
