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

// testDecision returns a decision with the maximum number of considered endpoints.
func testDecision(verdict balancer.Verdict, reason balancer.Reason, attempt int, endpoint balancer.EndpointID) *balancer.Decision {
	decision := &balancer.Decision{At: time.Hour, Verdict: verdict, Reason: reason, Attempt: attempt, Endpoint: endpoint, PreferredIndex: -1, ListAge: -1,
		TimeLeft: 2 * time.Second, ReadyEndpoints: 12, Revision: 41}
	for i := range balancer.MaxConsidered {
		decision.Considered = append(decision.Considered, balancer.ConsideredEndpoint{Endpoint: endpoint + balancer.EndpointID(i), State: balancer.StateReady, Weight: 0.5, DelayAge: -1})
	}
	return decision
}

// recordAttempts records a request whose attempts end with the given statuses. StatusOK establishes it.
func recordAttempts(log *Log, number uint64, statuses ...balancer.AttemptStatus) proxy.RequestObserver {
	observer := log.RequestStarted(number, testRequest(number))
	for i, status := range statuses {
		endpoint := balancer.EndpointID(i + 1)
		observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, i+1, endpoint))
		observer.AttemptStarted(endpoint)(status)
		if status == balancer.StatusOK {
			observer.Established()
		}
	}
	return observer
}

func TestDecisionEncodingRoundTrip(t *testing.T) {
	log := newTestLog(t, MinBytes)
	number := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		fraction := rapid.Custom(func(rt *rapid.T) float64 { return float64(rapid.Uint16().Draw(rt, "fraction")) / 0xffff })
		microseconds := rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.Uint32().Draw(rt, "microseconds")) * time.Microsecond
		})
		age := rapid.Custom(func(rt *rapid.T) time.Duration {
			if rapid.Bool().Draw(rt, "unknown age") {
				return -1
			}
			return time.Duration(rapid.Uint32Range(0, math.MaxUint32-1).Draw(rt, "milliseconds")) * time.Millisecond
		})
		decision := balancer.Decision{
			At: microseconds.Draw(rt, "at"), Verdict: balancer.Verdict(rapid.IntRange(0, 4).Draw(rt, "verdict")),
			Reason:  balancer.Reason(rapid.IntRange(0, len(balancer.ReasonNames)-1).Draw(rt, "reason")),
			Attempt: rapid.IntRange(0, 255).Draw(rt, "attempt"), Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "endpoint")),
			Wait: microseconds.Draw(rt, "wait"), TimeLeft: microseconds.Draw(rt, "time left"), ReadyEndpoints: rapid.IntRange(0, 0xffff).Draw(rt, "ready endpoints"),
			SlowShare: fraction.Draw(rt, "slow share"), Revision: rapid.Uint64().Draw(rt, "revision"), ListAge: age.Draw(rt, "list age"),
		}
		for range rapid.IntRange(0, balancer.MaxConsidered).Draw(rt, "considered") {
			decision.Considered = append(decision.Considered, balancer.ConsideredEndpoint{
				Endpoint: balancer.EndpointID(rapid.Uint32().Draw(rt, "considered endpoint")), State: balancer.EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")),
				Exclusions: balancer.Exclusions(rapid.IntRange(0, 127).Draw(rt, "exclusions")), Weight: fraction.Draw(rt, "weight"), Warmth: fraction.Draw(rt, "warmth"),
				Load: float64(rapid.Float32().Draw(rt, "load")), Probability: fraction.Draw(rt, "probability"), Delay: microseconds.Draw(rt, "delay"), DelayAge: age.Draw(rt, "delay age"),
			})
		}
		decision.PreferredIndex = rapid.IntRange(-1, len(decision.Considered)-1).Draw(rt, "preferred index")
		number++
		log.RequestStarted(number, testRequest(number)).Decided(&decision)
		entry, err := log.EntryByNumber(number)
		if err != nil || len(entry.Events) != 1 || entry.Events[0].At != decision.At || !reflect.DeepEqual(entry.Events[0].Decision, decision) {
			rt.Fatalf("recorded %+v, read %+v, %v", decision, entry, err)
		}
	})
}

func TestEntryHasTenant(t *testing.T) {
	log := newTestLog(t, MinBytes)
	for i, tenant := range []string{"", "fraser", "cedar"} {
		observer := log.RequestStarted(uint64(i+1), proxy.Request{Frontend: "line", Name: "a name", Class: "page", Tenant: tenant})
		observer.Ended(proxy.Result{})
		entry, err := log.EntryByNumber(uint64(i + 1))
		if err != nil || entry.Tenant != tenant || entry.Class != "page" || entry.Frontend != "line" || entry.Name != "a name" {
			t.Errorf("entry is %+v, %v, want tenant %q", entry, err, tenant)
		}
	}
}

func TestEntryHasAllEvents(t *testing.T) {
	log := newTestLog(t, MinBytes)
	const longName = "a container that has been given a name of some length/and so has the link"
	observer := log.RequestStarted(7, proxy.Request{Frontend: "amqp", Class: "live-preview", Name: longName, RequestOptions: balancer.RequestOptions{
		Group: 5, Item: 6, Deadline: log.clock.Now() + 2*time.Second, ExpectedLoad: 0.25, Returning: true, Established: true,
	}})
	heldDecision := testDecision(balancer.VerdictHeld, balancer.ReasonEndpointSlow, 0, 3)
	for range 40 { // repetitions are only counted
		observer.Decided(heldDecision)
	}
	observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonRouteSlow, 1, 3))
	attemptEnded := observer.AttemptStarted(3)
	if entry, _ := log.EntryByNumber(7); entry.ResultName() != "waiting" || !entry.Attempts()[0].InProgress {
		t.Errorf("entry during the first attempt is %+v, want result waiting and an attempt in progress", entry)
	}
	attemptEnded(balancer.StatusFull)
	observer.Decided(testDecision(balancer.VerdictSent, balancer.ReasonRedrawn, 2, 1<<31))
	observer.AttemptStarted(1 << 31)(balancer.StatusOK)
	observer.Established()
	observer.Ended(proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond})
	observer.Decided(testDecision(balancer.VerdictRejected, balancer.ReasonDeadlineExceeded, 2, 0)) // ignored after the end
	entry, err := log.EntryByNumber(7)
	if err != nil {
		t.Fatal(err)
	}
	if entry.Name != longName[:maxNameBytes] || !entry.NameTruncated || entry.Frontend != "amqp" || entry.Class != "live-preview" || entry.Group != 5 || entry.Flow != 6 ||
		!entry.Returning || !entry.Resumed || entry.ExpectedLoad != 0.25 || entry.TimeLimit > 2*time.Second || entry.TimeLimit < time.Second || !entry.Notable || entry.HeadEvicted || entry.EventsOmitted {
		t.Errorf("entry after the end is %+v, want the attributes of the request and a truncated name", entry)
	}
	var kinds []string
	for _, event := range entry.Events {
		kinds = append(kinds, fmt.Sprint(event.Kind, event.Repeats))
	}
	if want := "[1 39 1 0 2 0 3 0 1 0 2 0 3 0 4 0 5 0]"; fmt.Sprint(kinds) != want {
		t.Errorf("event kinds and repetitions are %v, want %v", kinds, want)
	}
	result, ended := entry.Result()
	if want := (proxy.Result{End: registry.EndMigrated, Cause: proxy.CauseShutdown, Status: balancer.StatusCancelled, RetryAfter: 1500 * time.Millisecond}); !ended || result != want {
		t.Errorf("result is %+v, ended %v, want %+v", result, ended, want)
	}
	attempts := entry.Attempts()
	if len(attempts) != 2 || attempts[0].Endpoint != 3 || attempts[0].Status != balancer.StatusFull || attempts[1].Endpoint != 1<<31 || attempts[1].Status != balancer.StatusOK || attempts[1].InProgress {
		t.Errorf("attempts are %+v, want a full one at endpoint 3 and a successful one at endpoint 1<<31", attempts)
	}
	if all, err := log.EntriesByName(longName); err != nil || len(all) != 1 || all[0].Number != 7 {
		t.Errorf("EntriesByName of the whole name returns %v, %v, want entry 7", all, err)
	}
	if _, err := log.EntriesByName(longName[:maxNameBytes]); !errors.Is(err, ErrUnknown) {
		t.Errorf("EntriesByName of a part of the name: error %v, want ErrUnknown", err)
	}
}

// Entries of rejected and retried requests are evicted only if they exceed their share of the memory; until then,
// routine entries are.
func TestRoutineEntriesAreEvictedBeforeNotable(t *testing.T) {
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
			t.Fatalf("entry of rejected request %d is %+v, %v, want 8 events and result unavailable", i, entry, err)
		}
	}
	stats := log.Stats()
	if stats.Evicted["eventful"] != 0 || stats.Evicted["under-way"] != 0 || stats.Entries["eventful"] != len(notable) ||
		int(stats.Evicted["uneventful"])+stats.Entries["uneventful"]+len(notable) != n || stats.Bytes > MinBytes {
		t.Errorf("after %d requests the statistics are %+v, want all eventful entries kept and only uneventful ones evicted", n, stats)
	}
	if _, err := log.EntryByNumber(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("evicted entry: error %v, want ErrEvicted", err)
	}
	if _, err := log.EntryByNumber(n + 1); !errors.Is(err, ErrUnknown) {
		t.Errorf("number of no request: error %v, want ErrUnknown", err)
	}
	if _, err := log.EntriesByName("unknown"); !errors.Is(err, ErrEvicted) {
		t.Errorf("name that may have been evicted: error %v, want ErrEvicted", err)
	}
	// If all requests are rejected, the oldest notable entries are evicted, and some routine entries remain.
	for i := uint64(n + 1); i <= 2*n; i++ {
		recordAttempts(log, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	stats = log.Stats()
	if share := float64(stats.BlocksInUse["eventful"]) / float64(stats.Blocks); stats.Entries["uneventful"] == 0 || share > 0.77 {
		t.Errorf("notable entries use %.2f of the memory, want at most 0.77; statistics are %+v", share, stats)
	}
	if entry, err := log.EntryByNumber(2 * n); err != nil || entry.ResultName() != "unavailable" {
		t.Errorf("entry of the latest request is %+v, %v, want result unavailable", entry, err)
	}
}

// The entry of a client that still waits for an answer is evicted after those of ended requests.
func TestPendingEntriesAreEvictedLast(t *testing.T) {
	log := newTestLog(t, MinBytes)
	pending := log.RequestStarted(1, testRequest(1))
	for i := uint64(2); i < 10_000; i++ {
		recordAttempts(log, i, balancer.StatusFull).Ended(proxy.Result{End: registry.EndRejected})
	}
	if entry, err := log.EntryByNumber(1); err != nil || entry.HeadEvicted {
		t.Errorf("pending entry is %+v, %v, want it complete", entry, err)
	}
	pending.AttemptStarted(4)(balancer.StatusOK)
	pending.Established()
	for i := uint64(10_000); i < 20_000; i++ {
		recordAttempts(log, i, balancer.StatusOK).Ended(proxy.Result{End: registry.EndClosed})
	}
	// The entry of the established request is evicted; its later events are recorded in a new entry.
	if _, err := log.EntryByNumber(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("entry of a long established request: error %v, want ErrEvicted", err)
	}
	pending.Decided(testDecision(balancer.VerdictMigrated, balancer.ReasonLoadRelief, 1, 4))
	pending.Ended(proxy.Result{End: registry.EndMigrated})
	if entry, err := log.EntryByNumber(1); err != nil || !entry.HeadEvicted || entry.ResultName() != "moved" || len(entry.Events) != 2 {
		t.Errorf("entry with the end of the request is %+v, %v, want HeadEvicted, 2 events and result moved", entry, err)
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
			t.Errorf("pinned entry %d is %+v, %v, want it complete, pinned and ended", i, entry, err)
		}
	}
	var limitErr error
	pinnedCount := 2
	for i := uint64(4999); limitErr == nil; i-- {
		if limitErr = log.Pin(i, true); limitErr == nil {
			pinnedCount++
		}
	}
	stats := log.Stats()
	if !errors.Is(limitErr, ErrPinLimit) || stats.Entries["pinned"] != pinnedCount || stats.BlocksInUse["pinned"] > stats.Blocks*pinnedSharePercent/100 || pinnedCount < 10 {
		t.Errorf("%d entries were pinned before error %v, want at least 10 and ErrPinLimit; statistics are %+v", pinnedCount, limitErr, stats)
	}
	for _, c := range []struct {
		number uint64
		want   error
	}{{9, ErrEvicted}, {9999, ErrUnknown}} {
		if err := log.Pin(c.number, true); !errors.Is(err, c.want) {
			t.Errorf("Pin(%d): error %v, want %v", c.number, err, c.want)
		}
	}
	if err := log.Pin(2, false); err != nil {
		t.Fatal(err)
	}
	if entry, err := log.EntryByNumber(2); err != nil || entry.Pinned || !entry.Notable {
		t.Errorf("unpinned entry is %+v, %v, want it notable and not pinned", entry, err)
	}
}

func TestSizesOutOfRangeAreRejected(t *testing.T) {
	for _, n := range []int{-1, 0, MinBytes - 1, MaxBytes + 1} {
		if log, err := New(n, proxy.NewClock()); err == nil || !strings.Contains(err.Error(), fmt.Sprint(n)) {
			t.Errorf("New(%d) = %v, %v, want an error with the size", n, log, err)
		}
	}
}

// Concurrent readers see only complete changes of entries.
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
					t.Errorf("entry has data of two requests: %+v", entry)
				}
				for _, event := range entry.Events {
					if event.Kind == EventDecision && event.Decision.Endpoint != balancer.EndpointID(entry.Number) ||
						event.Kind == EventAttemptStarted && event.Endpoint != balancer.EndpointID(entry.Number) ||
						event.Kind == EventEnded && event.Result.RetryAfter != time.Duration(entry.Number)*time.Microsecond {
						t.Errorf("entry %d has an event of another request: %+v", entry.Number, event)
					}
				}
				if result, ended := entry.Result(); ended && len(entry.Attempts()) != int(entry.Number%4) {
					t.Errorf("request %d ended as %v with %d attempts, want %d", entry.Number, result.End, len(entry.Attempts()), entry.Number%4)
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
		t.Error("the reader saw no entry")
	}
}

func TestWritingDoesNotAllocate(t *testing.T) {
	log := newTestLog(t, MinBytes)
	observer := log.RequestStarted(1, testRequest(1))
	decision := testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 3)
	for i := range uint64(5000) { // fills the memory
		recordAttempts(log, i+2, balancer.StatusOK)
	}
	if n := testing.AllocsPerRun(1000, func() { observer.Decided(decision) }); n != 0 {
		t.Errorf("recording a decision makes %v allocations, want 0", n)
	}
	if n := testing.AllocsPerRun(1000, func() { observer.Established() }); n != 0 {
		t.Errorf("recording an event makes %v allocations, want 0", n)
	}
	if log.Bytes() > MinBytes {
		t.Errorf("log has %d bytes, want at most %d", log.Bytes(), MinBytes)
	}
}

// The log's use of the heap does not grow with the number of recorded requests.
func TestMemoryStaysWithinConfiguredSize(t *testing.T) {
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
			t.Errorf("log of %d bytes uses %d bytes of heap, want at least half and at most 32 KB more", bytes, grown)
		}
		runtime.KeepAlive(log)
	}
}

// BenchmarkDecided measures recording a decision in a full log, without readers and while another goroutine reads
// all entries in a loop.
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
