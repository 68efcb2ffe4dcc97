package balancer

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// watched is a relay whose decisions are kept.
type watched struct {
	*relay
	told []Decision
	of   []RequestID
}

func newWatched(t *testing.T, s Settings, servers ...Endpoint) *watched {
	w := &watched{relay: newRelay(t, s, servers...)}
	w.b.Observe(func(id RequestID, d *Decision) {
		kept := *d
		kept.Considered = slices.Clone(d.Considered)
		w.told, w.of = append(w.told, kept), append(w.of, id)
	})
	return w
}

// last returns the last decision, which has to be as wanted.
func (w *watched) last(v Verdict, why Reason) Decision {
	w.t.Helper()
	if len(w.told) == 0 {
		w.t.Fatalf("nothing was told, want %v: %v", v, why)
	}
	d := w.told[len(w.told)-1]
	if d.Verdict != v || d.Reason != why {
		w.t.Fatalf("told %v: %v, want %v: %v", d.Verdict, d.Reason, v, why)
	}
	return d
}

// slow has a server be slow from now on.
func (w *watched) slow(id EndpointID) { w.do(EndpointDelay{Endpoint: id, Delay: 3 * time.Second}) }

func TestEveryReasonIsTold(t *testing.T) {
	const group = 7
	t.Run("a cached route, and what passes it over", func(t *testing.T) {
		w := newWatched(t, testSettings(), ready(4)...)
		id, home := w.open(group)
		if d := w.last(VerdictSent, ReasonWeightedDraw); d.Endpoint != home || d.Attempt != 1 || len(d.Considered) != MaxConsidered || d.ReadyEndpoints != 4 {
			t.Errorf("told %+v", d)
		}
		w.open(group)
		if d := w.last(VerdictSent, ReasonCachedRoute); d.Endpoint != home || d.Considered[0].Endpoint != home || d.Considered[0].Load <= 0 || d.Preferred != -1 {
			t.Errorf("told %+v", d)
		}
		w.do(ConnectionLoad{Request: id, Endpoint: home, Load: 0.1})
		w.slow(home)
		w.last(VerdictMigrated, ReasonLoadRelief)
		// A group that has lost its route is drawn past the slow server, and told so.
		w.do(Established{})
		w.b.routes.put(group, home, w.now+time.Minute)
		w.ask(group)
		d := w.last(VerdictSent, ReasonRouteSlow)
		if d.Endpoint == home || d.Preferred < 0 || d.Considered[d.Preferred].Endpoint != home || d.Considered[d.Preferred].Exclusions&ExcludedSlow == 0 ||
			d.Considered[d.Preferred].Delay != 3*time.Second || d.Considered[d.Preferred].DelayAge != 0 || d.SlowShare != 0.25 {
			t.Errorf("told %+v", d)
		}
		w.pass(slowLife + ms)
		w.b.fleet.find(home).lastSent = w.now // its turn is past
		w.b.routes.put(group, home, w.now+time.Minute)
		w.ask(group)
		w.last(VerdictSent, ReasonRouteRecovering)
		w.pass(easeFor)
		w.do(EndpointDelay{Endpoint: home, Delay: 60 * ms})
		w.b.routes.put(group, home, w.now+time.Minute)
		w.ask(group)
		w.last(VerdictSent, ReasonRouteAtCapacity)
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: home, State: StateDraining, Weight: 1}}})
		w.b.routes.put(group, home, w.now+time.Minute)
		w.ask(group)
		w.last(VerdictSent, ReasonRouteGone)
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: home, State: StateReady, Weight: 1, StartedAt: w.now}}})
		w.b.fleet.find(home).lastSent = w.now
		w.b.routes.put(group, home, w.now+time.Minute)
		w.ask(group)
		w.last(VerdictSent, ReasonRouteWarmingUp)
	})
	t.Run("tried again until its tries are used up", func(t *testing.T) {
		w := newWatched(t, testSettings(), ready(4)...)
		id, done := w.ask(group)
		var tried []EndpointID
		for attempt := 1; ; attempt++ {
			s := done[0].(SendAttempt)
			tried = append(tried, s.Endpoint)
			w.fail(id, s.Endpoint, StatusReset)
			if attempt == w.b.set.MaxAttempts {
				break
			}
			if d := w.last(VerdictHeld, ReasonBackoff); d.Wait != backoffBase<<(attempt-1) || d.Attempt != attempt {
				t.Errorf("told %+v", d)
			}
			done = w.pass(backoffBase << (attempt - 1))
			d := w.last(VerdictSent, ReasonRedrawn)
			if d.Attempt != attempt+1 || slices.Contains(tried, d.Endpoint) {
				t.Errorf("tried %v, then told %+v", tried, d)
			}
			for _, f := range d.Considered {
				if f.Exclusions&ExcludedTried != 0 != slices.Contains(tried, f.Endpoint) {
					t.Errorf("tried %v, told of %+v", tried, f)
				}
			}
		}
		w.last(VerdictRejected, ReasonAttemptsExhausted)
	})
	t.Run("held and given up", func(t *testing.T) {
		w := newWatched(t, testSettings(), ready(1)...)
		w.slow(1)
		w.ask(group)
		if d := w.last(VerdictHeld, ReasonEndpointSlow); d.Considered[0].Endpoint != 1 || d.Wait != holdFor {
			t.Errorf("told %+v", d)
		}
		for range 20 {
			w.slow(1)
			w.pass(100 * ms)
		}
		if d := w.last(VerdictRejected, ReasonDeadlineExceeded); d.TimeLeft != 0 {
			t.Errorf("told %+v", d)
		}
		w.pass(slowLife)
		w.b.fleet.find(1).lastSent = w.now
		w.ask(group)
		w.last(VerdictHeld, ReasonNoneEligible) // it is eased into work, and few are slow
		// Where many are slow a request waits for the one that it falls on.
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 2, State: StateReady, Weight: 1}}})
		w.slow(2)
		for other := uint64(1); w.told[len(w.told)-1].Reason != ReasonEndpointRecovering && other < 99; other++ {
			w.ask(group + other)
		}
		w.last(VerdictHeld, ReasonEndpointRecovering)
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 2, State: StateGone}}})
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Weight: 1}}})
		w.ask(group)
		if d := w.last(VerdictRejected, ReasonNoViableEndpoint); d.ReadyEndpoints != 0 {
			t.Errorf("told %+v", d)
		}
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Weight: 1, StartedAt: w.now}}})
		w.b.fleet.find(1).lastSent = w.now
		w.ask(group)
		w.last(VerdictHeld, ReasonNoneEligible)
	})
	t.Run("the window, a repeat that must not be, a drain", func(t *testing.T) {
		s := testSettings()
		s.Classes[0].Effect = AtMostOnce
		w := newWatched(t, s, ready(2)...)
		w.b.window.size = 1
		first, done := w.ask(group)
		w.ask(group + 1)
		w.last(VerdictHeld, ReasonWindowFull)
		w.fail(first, done[0].(SendAttempt).Endpoint, StatusReset)
		if i := slices.Index(w.of, first); w.told[i].Verdict != VerdictSent || w.of[len(w.of)-1] == first {
			t.Error("the second was not sent once the window opened")
		}
		i := len(w.told) - 2
		if d := w.told[i]; w.of[i] != first || d.Verdict != VerdictFailed || d.Reason != ReasonNotRepeatable {
			t.Errorf("told %+v", d)
		}
		w.b.window.size = 9
		_, home := w.open(group + 2)
		w.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: home, State: StateDraining, Weight: 1}}})
		if d := w.last(VerdictMigrated, ReasonEndpointDraining); d.Endpoint != home || d.Considered[0].State != StateDraining {
			t.Errorf("told %+v", d)
		}
	})
}

// Whoever looks on must not change what is decided: the same events bring the same
// actions with a witness and without, and each action on a request is told once.
func TestWitnessChangesNothing(t *testing.T) {
	reached := make(map[Reason]bool)
	rapid.Check(t, func(rt *rapid.T) {
		set := testSettings()
		set.Relays = rapid.IntRange(1, 4).Draw(rt, "relays")
		set.CrossZoneCost = float64(rapid.IntRange(0, 1).Draw(rt, "cost"))
		set.Classes[0].Effect = Effect(rapid.IntRange(0, 2).Draw(rt, "effect"))
		set.Classes[0].DeduplicationWindow = time.Second
		n := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(largeFleet, largeFleet+9)).Draw(rt, "servers")
		blind, seen := newRelay(t, set, ready(n)...), newWatched(t, set, ready(n)...)
		both := func(ev Event) []Action {
			want, got := blind.do(ev), seen.do(ev)
			if len(want)+len(got) > 0 && !reflect.DeepEqual(want, got) {
				rt.Fatalf("%T %+v: %v without a witness, %v with one", ev, ev, want, got)
			}
			return got
		}
		out := make(map[RequestID]EndpointID)
		up := make(map[RequestID]EndpointID)
		var next RequestID
		from := len(seen.told)
		account := func(done []Action) {
			var want []string
			for _, a := range done {
				switch a := a.(type) {
				case SendAttempt:
					out[a.Request] = a.Endpoint
					want = append(want, fmt.Sprint(a.Request, VerdictSent, a.Endpoint, a.Timeout))
				case Reject:
					delete(out, a.Request)
					want = append(want, fmt.Sprint(a.Request, VerdictRejected, 0, a.RetryAfter))
				case Fail:
					delete(out, a.Request)
					want = append(want, fmt.Sprint(a.Request, VerdictFailed, 0, time.Duration(0)))
				case Migrate:
					want = append(want, fmt.Sprint(a.Request, VerdictMigrated, up[a.Request], time.Duration(0)))
					delete(up, a.Request)
				}
			}
			var got []string
			for i := from; i < len(seen.told); i++ {
				d := seen.told[i]
				reached[d.Reason] = true
				if d.Verdict != VerdictHeld {
					got = append(got, fmt.Sprint(seen.of[i], d.Verdict, d.Endpoint, d.Wait))
				}
			}
			from = len(seen.told)
			if !slices.Equal(want, got) {
				rt.Fatalf("the actions are %v, told was %v", want, got)
			}
		}
		pass := func(d time.Duration) {
			want, got := blind.pass(d), seen.pass(d)
			if len(want)+len(got) > 0 && !reflect.DeepEqual(want, got) {
				rt.Fatalf("%v later: %v without a witness, %v with one", d, want, got)
			}
			account(got)
		}
		pick := func(m map[RequestID]EndpointID, what string) (RequestID, EndpointID, bool) {
			var ids []RequestID
			for id := range m {
				ids = append(ids, id)
			}
			if len(ids) == 0 {
				return 0, 0, false
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(rt, what)
			return id, m[id], true
		}
		server := rapid.Map(rapid.IntRange(1, n), func(i int) EndpointID { return EndpointID(i) })
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				next++
				account(both(Request{
					ID: next, Group: rapid.Uint64Range(0, 5).Draw(rt, "group"), TimeLeft: 2 * time.Second,
					Returning: rapid.Bool().Draw(rt, "return"),
				}))
			},
			"stand": func(_ *rapid.T) {
				if id, s, ok := pick(out, "stands"); ok {
					delete(out, id)
					up[id] = s
					account(both(Established{Request: id, Endpoint: s, SetupTime: 20 * ms}))
				}
			},
			"fail": func(rt *rapid.T) {
				if id, s, ok := pick(out, "fails"); ok {
					delete(out, id)
					account(both(Outcome{Request: id, Endpoint: s, Status: AttemptStatus(rapid.IntRange(1, 8).Draw(rt, "status"))}))
				}
			},
			"end": func(rt *rapid.T) {
				if id, s, ok := pick(up, "ends"); ok {
					delete(up, id)
					account(both(Outcome{Request: id, Endpoint: s, Status: []AttemptStatus{StatusOK, StatusReset, StatusRedirected}[rapid.IntRange(0, 2).Draw(rt, "end")], Final: true}))
				}
			},
			"delay": func(rt *rapid.T) {
				account(both(EndpointDelay{Endpoint: server.Draw(rt, "slow"), Delay: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * ms}))
			},
			"list": func(rt *rapid.T) {
				line := Endpoint{ID: server.Draw(rt, "listed"), State: EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")), Weight: 1, Zone: 0}
				if rapid.Bool().Draw(rt, "restarted") {
					line.StartedAt = seen.now
				}
				account(both(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{line}}))
			},
			"pass": func(rt *rapid.T) { pass(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * ms) },
		})
	})
	for r := ReasonCachedRoute; r < reasons; r++ {
		if !reached[r] {
			t.Logf("no random run came to %v", r)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{13, 200} {
		for _, told := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/told=%v", n, told), func(b *testing.B) {
				m := New(testSettings(), 1)
				m.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: ready(n)})
				if told {
					m.Observe(func(RequestID, *Decision) {})
				}
				b.ReportAllocs()
				for i := range b.N {
					now := time.Hour + time.Duration(i)*time.Millisecond
					id := RequestID(i + 1)
					m.Handle(now, Request{ID: id, Group: uint64(i%64) + 1, TimeLeft: 2 * time.Second})
					m.Handle(now, ClientLeft{Request: id})
				}
			})
		}
	}
}
