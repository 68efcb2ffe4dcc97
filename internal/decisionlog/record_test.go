package decisionlog

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

func newRecord(t testing.TB, bytes int) *Log {
	t.Helper()
	r, err := New(bytes, proxy.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func ask(number uint64) proxy.Request {
	return proxy.Request{Front: "line", Class: "page", Name: fmt.Sprintf("%016x", number*0x9e3779b97f4a7c15), RequestOptions: balancer.RequestOptions{
		Group: number % 9, Item: number, Deadline: 2 * time.Hour,
	}}
}

// decision is one of a verdict, with as much as there can be in it.
func decision(v balancer.Verdict, why balancer.Reason, attempt int, server balancer.EndpointID) *balancer.Decision {
	d := &balancer.Decision{At: time.Hour, Verdict: v, Reason: why, Attempt: attempt, Endpoint: server, Preferred: -1, ListAge: -1,
		TimeLeft: 2 * time.Second, ReadyEndpoints: 12, Revision: 41}
	for i := range balancer.MaxConsidered {
		d.Considered = append(d.Considered, balancer.ConsideredEndpoint{Endpoint: server + balancer.EndpointID(i), State: balancer.StateReady, Weight: 0.5, DelayAge: -1})
	}
	return d
}

// serve keeps a transaction with passes that end as told; the last is accepted if it
// is balancer.StatusOK.
func serve(r *Log, number uint64, how ...balancer.AttemptStatus) proxy.RequestObserver {
	t := r.Began(number, ask(number))
	for i, h := range how {
		server := balancer.EndpointID(i + 1)
		t.Decided(decision(balancer.VerdictSent, balancer.ReasonWeightedDraw, i+1, server))
		t.AttemptStarted(server)(h)
		if h == balancer.StatusOK {
			t.Established()
		}
	}
	return t
}

func TestDecisionsAreKeptAsTheyWere(t *testing.T) {
	r := newRecord(t, MinBytes)
	number := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.Custom(func(rt *rapid.T) float64 { return float64(rapid.Uint16().Draw(rt, "part")) / 0xffff })
		us := rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.Uint32().Draw(rt, "us")) * time.Microsecond
		})
		age := rapid.Custom(func(rt *rapid.T) time.Duration {
			if rapid.Bool().Draw(rt, "none") {
				return -1
			}
			return time.Duration(rapid.Uint32Range(0, math.MaxUint32-1).Draw(rt, "ms")) * time.Millisecond
		})
		d := balancer.Decision{
			At: us.Draw(rt, "at"), Verdict: balancer.Verdict(rapid.IntRange(0, 4).Draw(rt, "verdict")),
			Reason:  balancer.Reason(rapid.IntRange(0, len(balancer.ReasonNames)-1).Draw(rt, "reason")),
			Attempt: rapid.IntRange(0, 255).Draw(rt, "attempt"), Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "server")),
			Wait: us.Draw(rt, "wait"), TimeLeft: us.Draw(rt, "left"), ReadyEndpoints: rapid.IntRange(0, 0xffff).Draw(rt, "servers"),
			SlowShare: part.Draw(rt, "slow"), Revision: rapid.Uint64().Draw(rt, "revision"), ListAge: age.Draw(rt, "list"),
		}
		for range rapid.IntRange(0, balancer.MaxConsidered).Draw(rt, "beliefs") {
			d.Considered = append(d.Considered, balancer.ConsideredEndpoint{
				Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "s")), State: balancer.EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")),
				Exclusions: balancer.Exclusions(rapid.IntRange(0, 127).Draw(rt, "bars")), Weight: part.Draw(rt, "weight"), Warmth: part.Draw(rt, "warmth"),
				Load: float64(rapid.Float32().Draw(rt, "load")), Probability: part.Draw(rt, "pull"), Delay: us.Draw(rt, "delay"), DelayAge: age.Draw(rt, "age"),
			})
		}
		d.Preferred = rapid.IntRange(-1, len(d.Considered)-1).Draw(rt, "instead")
		number++
		r.Began(number, ask(number)).Decided(&d)
		got, err := r.Number(number)
		if err != nil || len(got.Events) != 1 || got.Events[0].At != d.At || !reflect.DeepEqual(got.Events[0].Decision, d) {
			rt.Fatalf("kept %+v as %+v, %v", d, got, err)
		}
	})
}

func TestTenantIsKept(t *testing.T) {
	r := newRecord(t, MinBytes)
	for i, tenant := range []string{"", "fraser", "cedar"} {
		trace := r.Began(uint64(i+1), proxy.Request{Front: "line", Name: "a name", Class: "page", Tenant: tenant})
		trace.Ended(proxy.Result{})
		got, err := r.Number(uint64(i + 1))
		if err != nil || got.Tenant != tenant || got.Class != "page" || got.Front != "line" || got.Name != "a name" {
			t.Errorf("kept as %+v, %v, want the tenant %q", got, err, tenant)
		}
	}
}

func TestTransactionIsKeptWhole(t *testing.T) {
	r := newRecord(t, MinBytes)
	const long = "a container that has been given a name of some length/and so has the link"
	tr := r.Began(7, proxy.Request{Front: "amqp", Class: "live-preview", Name: long, RequestOptions: balancer.RequestOptions{
		Group: 5, Item: 6, Deadline: r.clock.Now() + 2*time.Second, ExpectedLoad: 0.25, Returning: true, Established: true,
	}})
	hold := decision(balancer.VerdictHeld, balancer.ReasonEndpointSlow, 0, 3)
	for range 40 { // the same again takes no more room
		tr.Decided(hold)
	}
	tr.Decided(decision(balancer.VerdictSent, balancer.ReasonRouteSlow, 1, 3))
	back := tr.AttemptStarted(3)
	if got, _ := r.Number(7); got.ResultName() != "waiting" || !got.Attempts()[0].InProgress {
		t.Errorf("kept %+v", got)
	}
	back(balancer.StatusFull)
	tr.Decided(decision(balancer.VerdictSent, balancer.ReasonRedrawn, 2, 1<<31))
	tr.AttemptStarted(1 << 31)(balancer.StatusOK)
	tr.Established()
	tr.Ended(proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond})
	tr.Decided(decision(balancer.VerdictRejected, balancer.ReasonDeadlineExceeded, 2, 0)) // it has crossed the end
	got, err := r.Number(7)
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != long[:nameMost] || !got.NameCut || got.Front != "amqp" || got.Class != "live-preview" || got.Group != 5 || got.Item != 6 ||
		!got.Returning || !got.Resumed || got.Load != 0.25 || got.TimeLimit > 2*time.Second || got.TimeLimit < time.Second || !got.Notable || got.HeadEvicted || got.EventsOmitted {
		t.Errorf("kept %+v", got)
	}
	var kinds []string
	for _, s := range got.Events {
		kinds = append(kinds, fmt.Sprint(s.Kind, s.Repeats))
	}
	if want := "[1 39 1 0 2 0 3 0 1 0 2 0 3 0 4 0 5 0]"; fmt.Sprint(kinds) != want {
		t.Errorf("kept the steps %v, want %v", kinds, want)
	}
	f, ended := got.Result()
	if want := (proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond}); !ended || f != want {
		t.Errorf("kept the end %+v", f)
	}
	passes := got.Attempts()
	if len(passes) != 2 || passes[0].Endpoint != 3 || passes[0].Status != balancer.StatusFull || passes[1].Endpoint != 1<<31 || passes[1].Status != balancer.StatusOK || passes[1].InProgress {
		t.Errorf("kept the passes %+v", passes)
	}
	if all, err := r.Name(long); err != nil || len(all) != 1 || all[0].Number != 7 {
		t.Errorf("by its whole name: %v, %v", all, err)
	}
	if _, err := r.Name(long[:nameMost]); !errors.Is(err, ErrUnknown) {
		t.Errorf("by a part of its name: %v", err)
	}
}

// During a surge uneventful transactions go first; refused and retried ones stay.
func TestSurgeLeavesWhatComplaintsAreAbout(t *testing.T) {
	r := newRecord(t, MinBytes)
	var bad []uint64
	const n = 20_000
	for i := uint64(1); i <= n; i++ {
		switch i % 100 {
		case 0:
			bad = append(bad, i)
			tr := serve(r, i, balancer.StatusFull, balancer.StatusTimeout)
			tr.Decided(decision(balancer.VerdictRejected, balancer.ReasonDeadlineExceeded, 2, 0))
			tr.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Second})
		default:
			serve(r, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
		}
	}
	for _, i := range bad {
		if got, err := r.Number(i); err != nil || got.ResultName() != "unavailable" || len(got.Events) != 8 {
			t.Fatalf("the refusal of %d: %+v, %v", i, got, err)
		}
	}
	s := r.Stats()
	if s.Dropped["eventful"] != 0 || s.Dropped["under-way"] != 0 || s.Entries["eventful"] != len(bad) ||
		int(s.Dropped["uneventful"])+s.Entries["uneventful"]+len(bad) != n || s.Bytes > MinBytes {
		t.Errorf("the record holds %+v", s)
	}
	if _, err := r.Number(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("of one that was dropped it is said: %v", err)
	}
	if _, err := r.Number(n + 1); !errors.Is(err, ErrUnknown) {
		t.Errorf("of one that never came it is said: %v", err)
	}
	if _, err := r.Name("never came"); !errors.Is(err, ErrEvicted) {
		t.Errorf("of a name that nobody can know of any more it is said: %v", err)
	}
	// Where all are refused, the oldest of those go, and never the whole of the rest.
	for i := uint64(n + 1); i <= 2*n; i++ {
		serve(r, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	s = r.Stats()
	if share := float64(s.BlocksInUse["eventful"]) / float64(s.Blocks); s.Entries["uneventful"] == 0 || share > 0.77 {
		t.Errorf("eventful transactions hold %.2f of the record; %+v", share, s)
	}
	if got, err := r.Number(2 * n); err != nil || got.ResultName() != "unavailable" {
		t.Errorf("the last: %+v, %v", got, err)
	}
}

// A client that still waits is not forgotten for those that are done.
func TestWhoWaitsGoesLast(t *testing.T) {
	r := newRecord(t, MinBytes)
	waiting := r.Began(1, ask(1))
	for i := uint64(2); i < 10_000; i++ {
		serve(r, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	if got, err := r.Number(1); err != nil || got.HeadEvicted {
		t.Errorf("who waits: %+v, %v", got, err)
	}
	waiting.AttemptStarted(4)(balancer.StatusOK)
	waiting.Established()
	for i := uint64(10_000); i < 20_000; i++ {
		serve(r, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	}
	// It has stood for so long that its beginning is gone. Its end is told by itself.
	if _, err := r.Number(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("who has stood for long: %v", err)
	}
	waiting.Decided(decision(balancer.VerdictMigrated, balancer.ReasonLoadRelief, 1, 4))
	waiting.Ended(proxy.Result{End: registry.EndMigrated})
	if got, err := r.Number(1); err != nil || !got.HeadEvicted || got.ResultName() != "moved" || len(got.Events) != 2 {
		t.Errorf("its end: %+v, %v", got, err)
	}
}

func TestPinStaysWithinItsShare(t *testing.T) {
	r := newRecord(t, MinBytes)
	serve(r, 1, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	if err := r.Pin(1, true); err != nil {
		t.Fatal(err)
	}
	standing := serve(r, 2, balancer.StatusOK)
	if err := r.Pin(2, true); err != nil {
		t.Fatal(err)
	}
	for i := uint64(3); i < 5000; i++ {
		serve(r, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	}
	standing.Ended(proxy.Result{End: registry.EndHeartbeatTimeout})
	for _, i := range []uint64{1, 2} {
		if got, err := r.Number(i); err != nil || !got.Pinned || got.HeadEvicted || !got.Ended {
			t.Errorf("pinned: %+v, %v", got, err)
		}
	}
	var full error
	pins := 2
	for i := uint64(4999); full == nil; i-- {
		if full = r.Pin(i, true); full == nil {
			pins++
		}
	}
	s := r.Stats()
	if !errors.Is(full, ErrPinLimit) || s.Entries["pinned"] != pins || s.BlocksInUse["pinned"] > s.Blocks*pinnedShare/100 || pins < 10 {
		t.Errorf("%d pins, then %v; %+v", pins, full, s)
	}
	for _, c := range []struct {
		number uint64
		want   error
	}{{9, ErrEvicted}, {9999, ErrUnknown}} {
		if err := r.Pin(c.number, true); !errors.Is(err, c.want) {
			t.Errorf("pinning %d: %v", c.number, err)
		}
	}
	if err := r.Pin(2, false); err != nil {
		t.Fatal(err)
	}
	if got, err := r.Number(2); err != nil || got.Pinned || !got.Notable {
		t.Errorf("unpinned: %+v, %v", got, err)
	}
}

func TestSizesOutOfRangeAreRefused(t *testing.T) {
	for _, n := range []int{-1, 0, MinBytes - 1, MaxBytes + 1} {
		if r, err := New(n, proxy.NewClock()); err == nil || !strings.Contains(err.Error(), fmt.Sprint(n)) {
			t.Errorf("%d bytes: %v, %v", n, r, err)
		}
	}
}

// sound checks that every block is in one place, and that the counts are true.
func sound(t interface{ Fatalf(string, ...any) }, r *ring) {
	where := make([]int, r.blocks)
	for b := r.free; b != none; b = r.newer[b] {
		where[b]++
		if tagOf(r.load(b, 0)) != tagFree {
			t.Fatalf("block %d is free and has tag %d", b, tagOf(r.load(b, 0)))
		}
	}
	for l := range lists {
		chains, held, before := 0, 0, none
		for h := r.oldest[l]; h != none; h = r.newer[h] {
			chains++
			if r.older[h] != before || listOf(r.load(h, 0)) != l || tagOf(r.load(h, 0)) != tagHead || r.epochs[h]&1 != 0 {
				t.Fatalf("chain %d in list %d is not linked as it should be", h, l)
			}
			before = h
			for b := h; b != none; b = nextOf(r.load(b, 0)) {
				where[b]++
				held++
				if nextOf(r.load(b, 0)) == none && r.tail[h] != b {
					t.Fatalf("the tail of chain %d is %d, not %d", h, r.tail[h], b)
				}
			}
		}
		if chains != int(r.chains[l].Load()) || held != int(r.held[l].Load()) || r.newest[l] != before {
			t.Fatalf("list %d counts %d chains of %d blocks, and has %d of %d", l, r.chains[l].Load(), r.held[l].Load(), chains, held)
		}
	}
	for b, n := range where {
		if n != 1 {
			t.Fatalf("block %d is in %d places", b, n)
		}
	}
}

// Whatever comes, the memory stays whole, and a transaction is kept whole, or its end
// by itself, or it is said to be gone. The memory is so small that all of it turns over.
func TestRandomStepsLeaveTheRecordWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRecord(t, MinBytes)
		r.ring = newRing(perBlock * rapid.IntRange(4, 60).Draw(rt, "blocks"))
		type model struct {
			proxy.RequestObserver
			steps int // since its beginning or its last loss
			done  bool
			held  balancer.Reason
		}
		all := make(map[uint64]*model)
		var last uint64
		pick := func() (uint64, *model) {
			if last == 0 {
				return 0, nil
			}
			n := rapid.Uint64Range(max(1, last-min(last-1, 12)), last).Draw(rt, "number")
			return n, all[n]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				sound(rt, r.ring)
				for n, m := range all {
					got, err := r.Number(n)
					switch {
					case errors.Is(err, ErrEvicted):
					case err != nil:
						rt.Fatalf("%d: %v", n, err)
					case got.Name != ask(n).Name || got.Item != n:
						rt.Fatalf("%d is kept as %+v", n, got)
					case !got.HeadEvicted && !got.EventsOmitted && len(got.Events) != m.steps:
						rt.Fatalf("%d has %d steps, kept are %d: %+v", n, m.steps, len(got.Events), got.Events)
					case got.HeadEvicted && len(got.Events) > m.steps:
						rt.Fatalf("%d has %d steps, kept are %d", n, m.steps, len(got.Events))
					}
				}
			},
			"begin": func(_ *rapid.T) {
				last++
				all[last] = &model{RequestObserver: r.Began(last, ask(last))}
			},
			"decide": func(rt *rapid.T) {
				_, m := pick()
				if m == nil || m.done {
					return
				}
				why := balancer.Reason(rapid.IntRange(int(balancer.ReasonNoneEligible), int(balancer.ReasonEndpointRecovering)).Draw(rt, "why"))
				if rapid.Bool().Draw(rt, "held") {
					m.Decided(decision(balancer.VerdictHeld, why, 1, 2))
					if m.held != why {
						m.steps++
					}
					m.held = why
					return
				}
				m.Decided(decision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 2))
				m.steps++
				m.held = 0
			},
			"pass": func(rt *rapid.T) {
				if _, m := pick(); m != nil && !m.done {
					m.AttemptStarted(1)(balancer.AttemptStatus(rapid.IntRange(0, 8).Draw(rt, "how")))
					m.steps += 2
					m.held = 0
				}
			},
			"up": func(_ *rapid.T) {
				if _, m := pick(); m != nil && !m.done {
					m.Established()
					m.steps++
					m.held = 0
				}
			},
			"end": func(rt *rapid.T) {
				if _, m := pick(); m != nil && !m.done {
					m.Ended(proxy.Result{End: registry.End(rapid.IntRange(0, 5).Draw(rt, "end"))})
					m.steps++
					m.done = true
				}
			},
			"pin": func(rt *rapid.T) {
				if n, m := pick(); m != nil {
					err := r.Pin(n, rapid.Bool().Draw(rt, "on"))
					if err != nil && !errors.Is(err, ErrEvicted) && !errors.Is(err, ErrPinLimit) {
						rt.Fatalf("pin %d: %v", n, err)
					}
				}
			},
		})
	})
}

// Readers never see half a change, and hold nobody up.
func TestReadersSeeWholeTransactions(t *testing.T) {
	r := newRecord(t, MinBytes)
	var writers, readers sync.WaitGroup
	var number atomic.Uint64
	var done atomic.Bool
	for range 3 {
		writers.Go(func() {
			for range 4000 {
				n := number.Add(1)
				tr := r.Began(n, ask(n))
				server := balancer.EndpointID(n)
				for attempt := range int(n % 4) {
					tr.Decided(decision(balancer.VerdictSent, balancer.ReasonRedrawn, attempt+1, server))
					tr.AttemptStarted(server)(balancer.StatusFull)
				}
				tr.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Duration(n) * time.Microsecond})
			}
		})
	}
	seen := 0
	readers.Go(func() {
		for !done.Load() {
			r.Each(func(x *Entry) bool {
				seen++
				if x.Item != x.Number || x.Name != ask(x.Number).Name {
					t.Errorf("read a mix of two: %+v", x)
				}
				for _, s := range x.Events {
					if s.Kind == EventDecision && s.Decision.Endpoint != balancer.EndpointID(x.Number) || s.Kind == EventAttemptStarted && s.Endpoint != balancer.EndpointID(x.Number) ||
						s.Kind == EventEnded && s.Result.RetryAfter != time.Duration(x.Number)*time.Microsecond {
						t.Errorf("transaction %d has a step of another: %+v", x.Number, s)
					}
				}
				if f, ended := x.Result(); ended && len(x.Attempts()) != int(x.Number%4) {
					t.Errorf("transaction %d ended %v after %d passes", x.Number, f.End, len(x.Attempts()))
				}
				return true
			})
		}
	})
	writers.Wait()
	done.Store(true)
	readers.Wait()
	sound(t, r.ring)
	if seen == 0 {
		t.Error("nothing was read")
	}
}

func TestWritingMakesNoGarbage(t *testing.T) {
	r := newRecord(t, MinBytes)
	tr := r.Began(1, ask(1))
	d := decision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 3)
	for i := range uint64(5000) { // until the ring is full
		serve(r, i+2, balancer.StatusOK)
	}
	if n := testing.AllocsPerRun(1000, func() { tr.Decided(d) }); n != 0 {
		t.Errorf("a decision makes %v allocations", n)
	}
	if n := testing.AllocsPerRun(1000, func() { tr.Established() }); n != 0 {
		t.Errorf("a step makes %v allocations", n)
	}
	if r.Bytes() > MinBytes {
		t.Errorf("the record takes %d bytes", r.Bytes())
	}
}

// The record takes what it was given and no more, however much goes through it.
func TestMemoryStaysUnderItsCap(t *testing.T) {
	for _, bytes := range []int{MinBytes, DefaultBytes} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newRecord(t, bytes)
		for i := uint64(1); i <= 40_000; i++ {
			serve(r, i, balancer.StatusFull, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		if grown > int64(bytes)+32<<10 || grown < int64(bytes)/2 {
			t.Errorf("a record of %d bytes takes %d", bytes, grown)
		}
		runtime.KeepAlive(r)
	}
}

// What a step costs with the record full, alone and while somebody reads all of it
// again and again.
func BenchmarkStep(b *testing.B) {
	for _, reading := range []bool{false, true} {
		b.Run(fmt.Sprintf("reader=%v", reading), func(b *testing.B) {
			r := newRecord(b, DefaultBytes)
			for i := range uint64(20_000) {
				serve(r, i+1, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
			}
			var done atomic.Bool
			var reader sync.WaitGroup
			if reading {
				reader.Go(func() {
					for !done.Load() {
						r.Each(func(*Entry) bool { return true })
					}
				})
			}
			d := decision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 3)
			var tr proxy.RequestObserver
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%8 == 0 {
					b.StopTimer()
					tr = r.Began(uint64(30_000+i), ask(1))
					b.StartTimer()
				}
				tr.Decided(d)
			}
			b.StopTimer()
			done.Store(true)
			reader.Wait()
		})
	}
}
