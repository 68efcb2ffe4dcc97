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

func newTestLog(t testing.TB, bytes int) *Log {
	t.Helper()
	log, err := New(bytes, proxy.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func testRequest(number uint64) proxy.Request {
	return proxy.Request{Frontend: "line", Class: "page", Name: fmt.Sprintf("%016x", number*0x9e3779b97f4a7c15), RequestOptions: balancer.RequestOptions{
		Group: number % 9, Item: number, Deadline: 2 * time.Hour,
	}}
}

// testDecision returns a decision with as many considered endpoints as there can be.
func testDecision(verdict balancer.Verdict, reason balancer.Reason, attempt int, endpoint balancer.EndpointID) *balancer.Decision {
	decision := &balancer.Decision{At: time.Hour, Verdict: verdict, Reason: reason, Attempt: attempt, Endpoint: endpoint, PreferredIndex: -1, ListAge: -1,
		TimeLeft: 2 * time.Second, ReadyEndpoints: 12, Revision: 41}
	for i := range balancer.MaxConsidered {
		decision.Considered = append(decision.Considered, balancer.ConsideredEndpoint{Endpoint: endpoint + balancer.EndpointID(i), State: balancer.StateReady, Weight: 0.5, DelayAge: -1})
	}
	return decision
}

// recordAttempts records a request whose attempts end with the given statuses; it is established
// by one that is balancer.StatusOK.
func recordAttempts(log *Log, number uint64, statuses ...balancer.AttemptStatus) proxy.RequestObserver {
	t := log.RequestStarted(number, testRequest(number))
	for i, status := range statuses {
		endpoint := balancer.EndpointID(i + 1)
		t.Decided(testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, i+1, endpoint))
		t.AttemptStarted(endpoint)(status)
		if status == balancer.StatusOK {
			t.Established()
		}
	}
	return t
}

func TestDecisionsAreReadAsWritten(t *testing.T) {
	log := newTestLog(t, MinBytes)
	number := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		fraction := rapid.Custom(func(rt *rapid.T) float64 { return float64(rapid.Uint16().Draw(rt, "part")) / 0xffff })
		us := rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.Uint32().Draw(rt, "us")) * time.Microsecond
		})
		age := rapid.Custom(func(rt *rapid.T) time.Duration {
			if rapid.Bool().Draw(rt, "none") {
				return -1
			}
			return time.Duration(rapid.Uint32Range(0, math.MaxUint32-1).Draw(rt, "ms")) * time.Millisecond
		})
		decision := balancer.Decision{
			At: us.Draw(rt, "at"), Verdict: balancer.Verdict(rapid.IntRange(0, 4).Draw(rt, "verdict")),
			Reason:  balancer.Reason(rapid.IntRange(0, len(balancer.ReasonNames)-1).Draw(rt, "reason")),
			Attempt: rapid.IntRange(0, 255).Draw(rt, "attempt"), Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "server")),
			Wait: us.Draw(rt, "wait"), TimeLeft: us.Draw(rt, "left"), ReadyEndpoints: rapid.IntRange(0, 0xffff).Draw(rt, "servers"),
			SlowShare: fraction.Draw(rt, "slow"), Revision: rapid.Uint64().Draw(rt, "revision"), ListAge: age.Draw(rt, "list"),
		}
		for range rapid.IntRange(0, balancer.MaxConsidered).Draw(rt, "beliefs") {
			decision.Considered = append(decision.Considered, balancer.ConsideredEndpoint{
				Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "s")), State: balancer.EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")),
				Exclusions: balancer.Exclusions(rapid.IntRange(0, 127).Draw(rt, "bars")), Weight: fraction.Draw(rt, "weight"), Warmth: fraction.Draw(rt, "warmth"),
				Load: float64(rapid.Float32().Draw(rt, "load")), Probability: fraction.Draw(rt, "pull"), Delay: us.Draw(rt, "delay"), DelayAge: age.Draw(rt, "age"),
			})
		}
		decision.PreferredIndex = rapid.IntRange(-1, len(decision.Considered)-1).Draw(rt, "instead")
		number++
		log.RequestStarted(number, testRequest(number)).Decided(&decision)
		entry, err := log.EntryByNumber(number)
		if err != nil || len(entry.Events) != 1 || entry.Events[0].At != decision.At || !reflect.DeepEqual(entry.Events[0].Decision, decision) {
			rt.Fatalf("recorded %+v, read %+v, %v", decision, entry, err)
		}
	})
}

func TestTenantIsKept(t *testing.T) {
	log := newTestLog(t, MinBytes)
	for i, tenant := range []string{"", "fraser", "cedar"} {
		observer := log.RequestStarted(uint64(i+1), proxy.Request{Frontend: "line", Name: "a name", Class: "page", Tenant: tenant})
		observer.Ended(proxy.Result{})
		entry, err := log.EntryByNumber(uint64(i + 1))
		if err != nil || entry.Tenant != tenant || entry.Class != "page" || entry.Frontend != "line" || entry.Name != "a name" {
			t.Errorf("read as %+v, %v, want the tenant %q", entry, err, tenant)
		}
	}
}

func TestEntryHasAllEvents(t *testing.T) {
	log := newTestLog(t, MinBytes)
	const long = "a container that has been given a name of some length/and so has the link"
	observer := log.RequestStarted(7, proxy.Request{Frontend: "amqp", Class: "live-preview", Name: long, RequestOptions: balancer.RequestOptions{
		Group: 5, Item: 6, Deadline: log.clock.Now() + 2*time.Second, ExpectedLoad: 0.25, Returning: true, Established: true,
	}})
	heldDecision := testDecision(balancer.VerdictHeld, balancer.ReasonEndpointSlow, 0, 3)
	for range 40 { // the same again takes no more room
		observer.Decided(heldDecision)
	}
	observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonRouteSlow, 1, 3))
	attemptEnded := observer.AttemptStarted(3)
	if entry, _ := log.EntryByNumber(7); entry.ResultName() != "waiting" || !entry.Attempts()[0].InProgress {
		t.Errorf("read %+v", entry)
	}
	attemptEnded(balancer.StatusFull)
	observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonRedrawn, 2, 1<<31))
	observer.AttemptStarted(1 << 31)(balancer.StatusOK)
	observer.Established()
	observer.Ended(proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond})
	observer.Decided(testDecision(balancer.VerdictRejected, balancer.ReasonDeadlineExceeded, 2, 0)) // it comes after the end
	entry, err := log.EntryByNumber(7)
	if err != nil {
		t.Fatal(err)
	}
	if entry.Name != long[:maxNameBytes] || !entry.NameTruncated || entry.Frontend != "amqp" || entry.Class != "live-preview" || entry.Group != 5 || entry.Flow != 6 ||
		!entry.Returning || !entry.Resumed || entry.ExpectedLoad != 0.25 || entry.TimeLimit > 2*time.Second || entry.TimeLimit < time.Second || !entry.Notable || entry.HeadEvicted || entry.EventsOmitted {
		t.Errorf("read %+v", entry)
	}
	var kinds []string
	for _, event := range entry.Events {
		kinds = append(kinds, fmt.Sprint(event.Kind, event.Repeats))
	}
	if want := "[1 39 1 0 2 0 3 0 1 0 2 0 3 0 4 0 5 0]"; fmt.Sprint(kinds) != want {
		t.Errorf("read the events %v, want %v", kinds, want)
	}
	result, ended := entry.Result()
	if want := (proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond}); !ended || result != want {
		t.Errorf("read the result %+v", result)
	}
	attempts := entry.Attempts()
	if len(attempts) != 2 || attempts[0].Endpoint != 3 || attempts[0].Status != balancer.StatusFull || attempts[1].Endpoint != 1<<31 || attempts[1].Status != balancer.StatusOK || attempts[1].InProgress {
		t.Errorf("read the attempts %+v", attempts)
	}
	if all, err := log.EntriesByName(long); err != nil || len(all) != 1 || all[0].Number != 7 {
		t.Errorf("by its whole name: %v, %v", all, err)
	}
	if _, err := log.EntriesByName(long[:maxNameBytes]); !errors.Is(err, ErrUnknown) {
		t.Errorf("by a part of its name: %v", err)
	}
}

// During a surge routine entries are evicted first; those of rejected and retried requests stay.
func TestNotableEntriesOutliveSurge(t *testing.T) {
	log := newTestLog(t, MinBytes)
	var notable []uint64
	const n = 20_000
	for i := uint64(1); i <= n; i++ {
		switch i % 100 {
		case 0:
			notable = append(notable, i)
			observer := recordAttempts(log, i, balancer.StatusFull, balancer.StatusTimeout)
			observer.Decided(testDecision(balancer.VerdictRejected, balancer.ReasonDeadlineExceeded, 2, 0))
			observer.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Second})
		default:
			recordAttempts(log, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
		}
	}
	for _, i := range notable {
		if entry, err := log.EntryByNumber(i); err != nil || entry.ResultName() != "unavailable" || len(entry.Events) != 8 {
			t.Fatalf("the rejected request %d: %+v, %v", i, entry, err)
		}
	}
	stats := log.Stats()
	if stats.Evicted["eventful"] != 0 || stats.Evicted["under-way"] != 0 || stats.Entries["eventful"] != len(notable) ||
		int(stats.Evicted["uneventful"])+stats.Entries["uneventful"]+len(notable) != n || stats.Bytes > MinBytes {
		t.Errorf("the log holds %+v", stats)
	}
	if _, err := log.EntryByNumber(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("for an evicted entry the error is %v", err)
	}
	if _, err := log.EntryByNumber(n + 1); !errors.Is(err, ErrUnknown) {
		t.Errorf("for a request that never came the error is %v", err)
	}
	if _, err := log.EntriesByName("never came"); !errors.Is(err, ErrEvicted) {
		t.Errorf("for a name that may have been evicted the error is %v", err)
	}
	// Where all are rejected, the oldest of those are evicted, and never all of the rest.
	for i := uint64(n + 1); i <= 2*n; i++ {
		recordAttempts(log, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	stats = log.Stats()
	if share := float64(stats.BlocksInUse["eventful"]) / float64(stats.Blocks); stats.Entries["uneventful"] == 0 || share > 0.77 {
		t.Errorf("notable entries use %.2f of the memory; %+v", share, stats)
	}
	if entry, err := log.EntryByNumber(2 * n); err != nil || entry.ResultName() != "unavailable" {
		t.Errorf("the last: %+v, %v", entry, err)
	}
}

// The entry of a client that still waits outlives those of requests that have ended.
func TestPendingEntriesAreEvictedLast(t *testing.T) {
	log := newTestLog(t, MinBytes)
	pending := log.RequestStarted(1, testRequest(1))
	for i := uint64(2); i < 10_000; i++ {
		recordAttempts(log, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	if entry, err := log.EntryByNumber(1); err != nil || entry.HeadEvicted {
		t.Errorf("the pending entry: %+v, %v", entry, err)
	}
	pending.AttemptStarted(4)(balancer.StatusOK)
	pending.Established()
	for i := uint64(10_000); i < 20_000; i++ {
		recordAttempts(log, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	}
	// It has been established for so long that its first events were evicted. Its end is kept on its own.
	if _, err := log.EntryByNumber(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("the entry of a long established request: %v", err)
	}
	pending.Decided(testDecision(balancer.VerdictMigrated, balancer.ReasonLoadRelief, 1, 4))
	pending.Ended(proxy.Result{End: registry.EndMigrated})
	if entry, err := log.EntryByNumber(1); err != nil || !entry.HeadEvicted || entry.ResultName() != "moved" || len(entry.Events) != 2 {
		t.Errorf("its end: %+v, %v", entry, err)
	}
}

func TestPinnedEntriesStayWithinTheirShare(t *testing.T) {
	log := newTestLog(t, MinBytes)
	recordAttempts(log, 1, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	if err := log.Pin(1, true); err != nil {
		t.Fatal(err)
	}
	established := recordAttempts(log, 2, balancer.StatusOK)
	if err := log.Pin(2, true); err != nil {
		t.Fatal(err)
	}
	for i := uint64(3); i < 5000; i++ {
		recordAttempts(log, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	}
	established.Ended(proxy.Result{End: registry.EndHeartbeatTimeout})
	for _, i := range []uint64{1, 2} {
		if entry, err := log.EntryByNumber(i); err != nil || !entry.Pinned || entry.HeadEvicted || !entry.Ended {
			t.Errorf("pinned: %+v, %v", entry, err)
		}
	}
	var full error
	pinnedCount := 2
	for i := uint64(4999); full == nil; i-- {
		if full = log.Pin(i, true); full == nil {
			pinnedCount++
		}
	}
	stats := log.Stats()
	if !errors.Is(full, ErrPinLimit) || stats.Entries["pinned"] != pinnedCount || stats.BlocksInUse["pinned"] > stats.Blocks*pinnedSharePercent/100 || pinnedCount < 10 {
		t.Errorf("%d pins, then %v; %+v", pinnedCount, full, stats)
	}
	for _, c := range []struct {
		number uint64
		want   error
	}{{9, ErrEvicted}, {9999, ErrUnknown}} {
		if err := log.Pin(c.number, true); !errors.Is(err, c.want) {
			t.Errorf("pinning %d: %v", c.number, err)
		}
	}
	if err := log.Pin(2, false); err != nil {
		t.Fatal(err)
	}
	if entry, err := log.EntryByNumber(2); err != nil || entry.Pinned || !entry.Notable {
		t.Errorf("unpinned: %+v, %v", entry, err)
	}
}

func TestSizesOutOfRangeAreRejected(t *testing.T) {
	for _, n := range []int{-1, 0, MinBytes - 1, MaxBytes + 1} {
		if log, err := New(n, proxy.NewClock()); err == nil || !strings.Contains(err.Error(), fmt.Sprint(n)) {
			t.Errorf("%d bytes: %v, %v", n, log, err)
		}
	}
}

// Readers never see a partial change, and block no writer.
func TestReadersSeeOnlyCompleteEntries(t *testing.T) {
	log := newTestLog(t, MinBytes)
	var writers, readers sync.WaitGroup
	var number atomic.Uint64
	var done atomic.Bool
	for range 3 {
		writers.Go(func() {
			for range 4000 {
				n := number.Add(1)
				observer := log.RequestStarted(n, testRequest(n))
				endpoint := balancer.EndpointID(n)
				for attempt := range int(n % 4) {
					observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonRedrawn, attempt+1, endpoint))
					observer.AttemptStarted(endpoint)(balancer.StatusFull)
				}
				observer.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Duration(n) * time.Microsecond})
			}
		})
	}
	seen := 0
	readers.Go(func() {
		for !done.Load() {
			log.Each(func(entry *Entry) bool {
				seen++
				if entry.Flow != entry.Number || entry.Name != testRequest(entry.Number).Name {
					t.Errorf("read a mix of two entries: %+v", entry)
				}
				for _, event := range entry.Events {
					if event.Kind == EventDecision && event.Decision.Endpoint != balancer.EndpointID(entry.Number) ||
						event.Kind == EventAttemptStarted && event.Endpoint != balancer.EndpointID(entry.Number) ||
						event.Kind == EventEnded && event.Result.RetryAfter != time.Duration(entry.Number)*time.Microsecond {
						t.Errorf("entry %d has an event of another: %+v", entry.Number, event)
					}
				}
				if result, ended := entry.Result(); ended && len(entry.Attempts()) != int(entry.Number%4) {
					t.Errorf("request %d ended %v after %d attempts", entry.Number, result.End, len(entry.Attempts()))
				}
				return true
			})
		}
	})
	writers.Wait()
	done.Store(true)
	readers.Wait()
	checkPool(t, log.pool)
	if seen == 0 {
		t.Error("nothing was read")
	}
}

func TestWritingDoesNotAllocate(t *testing.T) {
	log := newTestLog(t, MinBytes)
	observer := log.RequestStarted(1, testRequest(1))
	decision := testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 3)
	for i := range uint64(5000) { // until the memory is full
		recordAttempts(log, i+2, balancer.StatusOK)
	}
	if n := testing.AllocsPerRun(1000, func() { observer.Decided(decision) }); n != 0 {
		t.Errorf("a decision makes %v allocations", n)
	}
	if n := testing.AllocsPerRun(1000, func() { observer.Established() }); n != 0 {
		t.Errorf("an event makes %v allocations", n)
	}
	if log.Bytes() > MinBytes {
		t.Errorf("the log takes %d bytes", log.Bytes())
	}
}

// The log takes the memory that it was given and no more, however many requests there are.
func TestMemoryStaysUnderItsCap(t *testing.T) {
	for _, bytes := range []int{MinBytes, DefaultBytes} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		log := newTestLog(t, bytes)
		for i := uint64(1); i <= 40_000; i++ {
			recordAttempts(log, i, balancer.StatusFull, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		if grown > int64(bytes)+32<<10 || grown < int64(bytes)/2 {
			t.Errorf("a log of %d bytes takes %d", bytes, grown)
		}
		runtime.KeepAlive(log)
	}
}

// BenchmarkDecided measures what recording a decision costs with a full log, alone and while another goroutine
// reads all entries in a loop.
func BenchmarkDecided(b *testing.B) {
	for _, reading := range []bool{false, true} {
		b.Run(fmt.Sprintf("reader=%v", reading), func(b *testing.B) {
			log := newTestLog(b, DefaultBytes)
			for i := range uint64(20_000) {
				recordAttempts(log, i+1, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
			}
			var done atomic.Bool
			var reader sync.WaitGroup
			if reading {
				reader.Go(func() {
					for !done.Load() {
						log.Each(func(*Entry) bool { return true })
					}
				})
			}
			decision := testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 3)
			var observer proxy.RequestObserver
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%8 == 0 {
					b.StopTimer()
					observer = log.RequestStarted(uint64(30_000+i), testRequest(1))
					b.StartTimer()
				}
				observer.Decided(decision)
			}
			b.StopTimer()
			done.Store(true)
			reader.Wait()
		})
	}
}
