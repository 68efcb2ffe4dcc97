package balancer

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observedRelay is a testRelay that records the reported decisions.
type observedRelay struct {
	*testRelay
	decisions  []Decision
	requestIDs []RequestID // of the decisions
}

// newObservedRelay returns a relay with an observer for its Balancer.
func newObservedRelay(t *testing.T, settings Settings, endpoints ...Endpoint) *observedRelay {
	relay := &observedRelay{testRelay: newTestRelay(t, settings, endpoints...)}
	relay.balancer.Observe(func(id RequestID, decision *Decision) {
		saved := *decision
		saved.Considered = slices.Clone(decision.Considered)
		relay.decisions, relay.requestIDs = append(relay.decisions, saved), append(relay.requestIDs, id)
	})
	return relay
}

// wantLast returns the last decision and fails the test if its verdict or reason is not as wanted.
func (r *observedRelay) wantLast(verdict Verdict, reason Reason) Decision {
	r.t.Helper()
	if len(r.decisions) == 0 {
		r.t.Fatalf("no decision was observed, want %v: %v", verdict, reason)
	}
	decision := r.decisions[len(r.decisions)-1]
	if decision.Verdict != verdict || decision.Reason != reason {
		r.t.Fatalf("last decision is %v: %v, want %v: %v", decision.Verdict, decision.Reason, verdict, reason)
	}
	return decision
}

// makeSlow reports a delay that makes an endpoint slow.
func (r *observedRelay) makeSlow(id EndpointID) {
	r.handle(EndpointDelay{Endpoint: id, Delay: 3 * time.Second})
}

func TestEveryReasonIsObserved(t *testing.T) {
	const group = 7
	t.Run("cached route used or rejected", func(t *testing.T) {
		relay := newObservedRelay(t, testSettings(), readyEndpoints(4)...)
		id, cached := relay.connect(group)
		if decision := relay.wantLast(VerdictSent, ReasonWeightedDraw); decision.Endpoint != cached || decision.Attempt != 1 || len(decision.Considered) != MaxConsidered || decision.ReadyEndpoints != 4 {
			t.Errorf("decision on the first request of the group is %+v, want attempt 1 at the connected endpoint, all 4 ready and considered", decision)
		}
		relay.connect(group)
		if decision := relay.wantLast(VerdictSent, ReasonCachedRoute); decision.Endpoint != cached || decision.Considered[0].Endpoint != cached || decision.Considered[0].Load <= 0 || decision.PreferredIndex != -1 {
			t.Errorf("decision on the second request of the group is %+v, want the cached endpoint considered first, with its load, and none preferred", decision)
		}
		relay.handle(ConnectionLoad{Request: id, Endpoint: cached, Load: 0.1})
		relay.makeSlow(cached)
		relay.wantLast(VerdictMigrated, ReasonLoadRelief)
		// The draw for a group with a cached route to a slow endpoint skips that endpoint.
		relay.handle(Established{})
		relay.balancer.routes.put(group, cached, relay.now+time.Minute)
		relay.request(group)
		decision := relay.wantLast(VerdictSent, ReasonRouteSlow)
		if decision.Endpoint == cached || decision.PreferredIndex < 0 || decision.Considered[decision.PreferredIndex].Endpoint != cached || decision.Considered[decision.PreferredIndex].Exclusions&ExcludedSlow == 0 ||
			decision.Considered[decision.PreferredIndex].Delay != 3*time.Second || decision.Considered[decision.PreferredIndex].DelayAge != 0 || decision.SlowShare != 0.25 {
			t.Errorf("decision with a slow cached endpoint is %+v, want another endpoint, and the cached one preferred but slow", decision)
		}
		relay.advance(slowDuration + ms)
		relay.balancer.endpoints.find(cached).lastAttemptAt = relay.now // uses its slot
		relay.balancer.routes.put(group, cached, relay.now+time.Minute)
		relay.request(group)
		relay.wantLast(VerdictSent, ReasonRouteRecovering)
		relay.advance(recoveryDuration)
		relay.handle(EndpointDelay{Endpoint: cached, Delay: 60 * ms})
		relay.balancer.routes.put(group, cached, relay.now+time.Minute)
		relay.request(group)
		relay.wantLast(VerdictSent, ReasonRouteAtCapacity)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: cached, State: StateDraining, Size: 1}}})
		relay.balancer.routes.put(group, cached, relay.now+time.Minute)
		relay.request(group)
		relay.wantLast(VerdictSent, ReasonRouteGone)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: cached, State: StateReady, Size: 1, StartedAt: relay.now}}})
		relay.balancer.endpoints.find(cached).lastAttemptAt = relay.now
		relay.balancer.routes.put(group, cached, relay.now+time.Minute)
		relay.request(group)
		relay.wantLast(VerdictSent, ReasonRouteWarmingUp)
	})
	t.Run("retries until the attempts are exhausted", func(t *testing.T) {
		relay := newObservedRelay(t, testSettings(), readyEndpoints(4)...)
		id, actions := relay.request(group)
		var tried []EndpointID
		for attempt := 1; ; attempt++ {
			sent := actions[0].(SendAttempt)
			tried = append(tried, sent.Endpoint)
			relay.fail(id, sent.Endpoint, StatusReset)
			if attempt == relay.balancer.settings.MaxAttempts {
				break
			}
			if decision := relay.wantLast(VerdictHeld, ReasonBackoff); decision.Wait != retryBackoffBase<<(attempt-1) || decision.Attempt != attempt {
				t.Errorf("decision after attempt %d failed is %+v, want its backoff", attempt, decision)
			}
			actions = relay.advance(retryBackoffBase << (attempt - 1))
			decision := relay.wantLast(VerdictSent, ReasonRedrawn)
			if decision.Attempt != attempt+1 || slices.Contains(tried, decision.Endpoint) {
				t.Errorf("decision on a retry after attempts at %v is %+v, want the next attempt at an untried endpoint", tried, decision)
			}
			for _, considered := range decision.Considered {
				if considered.Exclusions&ExcludedTried != 0 != slices.Contains(tried, considered.Endpoint) {
					t.Errorf("considered endpoint after attempts at %v is %+v, want ExcludedTried set for these only", tried, considered)
				}
			}
		}
		relay.wantLast(VerdictRejected, ReasonAttemptsExhausted)
	})
	t.Run("held until the deadline", func(t *testing.T) {
		relay := newObservedRelay(t, testSettings(), readyEndpoints(1)...)
		relay.makeSlow(1)
		relay.request(group)
		if decision := relay.wantLast(VerdictHeld, ReasonEndpointSlow); decision.Considered[0].Endpoint != 1 || decision.Wait != holdInterval {
			t.Errorf("decision while the only endpoint is slow is %+v, want it considered and a wait of holdInterval", decision)
		}
		for range 20 {
			relay.makeSlow(1)
			relay.advance(100 * ms)
		}
		if decision := relay.wantLast(VerdictRejected, ReasonDeadlineExceeded); decision.TimeLeft != 0 {
			t.Errorf("decision at the deadline is %+v, want no time left", decision)
		}
		relay.advance(slowDuration)
		relay.balancer.endpoints.find(1).lastAttemptAt = relay.now
		relay.request(group)
		relay.wantLast(VerdictHeld, ReasonNoneEligible) // the endpoint is recovering and few are slow
		// While many endpoints are slow, a request is held for the one drawn.
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 2, State: StateReady, Size: 1}}})
		relay.makeSlow(2)
		for other := uint64(1); relay.decisions[len(relay.decisions)-1].Reason != ReasonEndpointRecovering && other < 99; other++ {
			relay.request(group + other)
		}
		relay.wantLast(VerdictHeld, ReasonEndpointRecovering)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 2, State: StateGone}}})
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateDraining, Size: 1}}})
		relay.request(group)
		if decision := relay.wantLast(VerdictRejected, ReasonNoViableEndpoint); decision.ReadyEndpoints != 0 {
			t.Errorf("decision while the only endpoint is draining is %+v, want none ready", decision)
		}
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, State: StateReady, Size: 1, StartedAt: relay.now}}})
		relay.balancer.endpoints.find(1).lastAttemptAt = relay.now
		relay.request(group)
		relay.wantLast(VerdictHeld, ReasonNoneEligible)
	})
	t.Run("concurrency window, non-repeatable request, draining", func(t *testing.T) {
		settings := testSettings()
		settings.Classes[0].Semantics = AtMostOnce
		relay := newObservedRelay(t, settings, readyEndpoints(2)...)
		relay.balancer.concurrency.limit = 1
		first, actions := relay.request(group)
		relay.request(group + 1)
		relay.wantLast(VerdictHeld, ReasonWindowFull)
		relay.fail(first, actions[0].(SendAttempt).Endpoint, StatusReset)
		if i := slices.Index(relay.requestIDs, first); relay.decisions[i].Verdict != VerdictSent || relay.requestIDs[len(relay.requestIDs)-1] == first {
			t.Error("the queued request was not sent when the window was no longer full")
		}
		i := len(relay.decisions) - 2
		if decision := relay.decisions[i]; relay.requestIDs[i] != first || decision.Verdict != VerdictFailed || decision.Reason != ReasonNotRepeatable {
			t.Errorf("decision after a reset of a non-repeatable request is %+v, want VerdictFailed and ReasonNotRepeatable", decision)
		}
		relay.balancer.concurrency.limit = 9
		_, endpoint := relay.connect(group + 2)
		relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{ID: endpoint, State: StateDraining, Size: 1}}})
		if decision := relay.wantLast(VerdictMigrated, ReasonEndpointDraining); decision.Endpoint != endpoint || decision.Considered[0].State != StateDraining {
			t.Errorf("decision on the connection of a draining endpoint is %+v, want it migrated from there", decision)
		}
	})
}

// Guards against an observer that changes decisions, and against actions that are not reported exactly once.
func TestObservingChangesNoDecision(t *testing.T) {
	reached := make(map[Reason]bool)
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.RelayCount = rapid.IntRange(1, 4).Draw(rt, "relays")
		settings.CrossZoneCost = float64(rapid.IntRange(0, 1).Draw(rt, "cross-zone cost"))
		settings.Classes[0].Semantics = DeliverySemantics(rapid.IntRange(0, 2).Draw(rt, "semantics"))
		settings.Classes[0].DeduplicationWindow = time.Second
		endpointCount := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(largeTableSize, largeTableSize+9)).Draw(rt, "endpoints")
		unobserved, observed := newTestRelay(t, settings, readyEndpoints(endpointCount)...), newObservedRelay(t, settings, readyEndpoints(endpointCount)...)
		handleBoth := func(event Event) []Action {
			want, got := unobserved.handle(event), observed.handle(event)
			if len(want)+len(got) > 0 && !reflect.DeepEqual(want, got) {
				rt.Fatalf("event %T %+v: actions are %v without an observer, %v with one", event, event, want, got)
			}
			return got
		}
		inFlight := make(map[RequestID]EndpointID)
		established := make(map[RequestID]EndpointID)
		var lastID RequestID
		checked := len(observed.decisions)
		checkObserved := func(actions []Action) {
			var want []string
			for _, action := range actions {
				switch action := action.(type) {
				case SendAttempt:
					inFlight[action.Request] = action.Endpoint
					want = append(want, fmt.Sprint(action.Request, VerdictSent, action.Endpoint, action.Timeout))
				case Reject:
					delete(inFlight, action.Request)
					want = append(want, fmt.Sprint(action.Request, VerdictRejected, 0, action.RetryAfter))
				case Fail:
					delete(inFlight, action.Request)
					want = append(want, fmt.Sprint(action.Request, VerdictFailed, 0, time.Duration(0)))
				case Migrate:
					want = append(want, fmt.Sprint(action.Request, VerdictMigrated, established[action.Request], time.Duration(0)))
					delete(established, action.Request)
				}
			}
			var got []string
			for i := checked; i < len(observed.decisions); i++ {
				decision := observed.decisions[i]
				reached[decision.Reason] = true
				if decision.Verdict != VerdictHeld {
					got = append(got, fmt.Sprint(observed.requestIDs[i], decision.Verdict, decision.Endpoint, decision.Wait))
				}
			}
			checked = len(observed.decisions)
			if !slices.Equal(want, got) {
				rt.Fatalf("actions are %v, observed decisions are %v", want, got)
			}
		}
		advanceBoth := func(d time.Duration) {
			want, got := unobserved.advance(d), observed.advance(d)
			if len(want)+len(got) > 0 && !reflect.DeepEqual(want, got) {
				rt.Fatalf("timers within %v: actions are %v without an observer, %v with one", d, want, got)
			}
			checkObserved(got)
		}
		choose := func(requests map[RequestID]EndpointID, label string) (RequestID, EndpointID, bool) {
			var ids []RequestID
			for id := range requests {
				ids = append(ids, id)
			}
			if len(ids) == 0 {
				return 0, 0, false
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(rt, label)
			return id, requests[id], true
		}
		endpointID := rapid.Map(rapid.IntRange(1, endpointCount), func(i int) EndpointID { return EndpointID(i) })
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				lastID++
				checkObserved(handleBoth(Request{
					ID: lastID, Group: rapid.Uint64Range(0, 5).Draw(rt, "group"), TimeLeft: 2 * time.Second,
					Returning: rapid.Bool().Draw(rt, "returning"),
				}))
			},
			"succeed": func(_ *rapid.T) {
				if id, endpoint, ok := choose(inFlight, "succeeds"); ok {
					delete(inFlight, id)
					established[id] = endpoint
					checkObserved(handleBoth(Established{Request: id, Endpoint: endpoint, SetupTime: 20 * ms}))
				}
			},
			"fail": func(rt *rapid.T) {
				if id, endpoint, ok := choose(inFlight, "fails"); ok {
					delete(inFlight, id)
					checkObserved(handleBoth(Outcome{Request: id, Endpoint: endpoint, Status: AttemptStatus(rapid.IntRange(1, 8).Draw(rt, "status"))}))
				}
			},
			"end": func(rt *rapid.T) {
				if id, endpoint, ok := choose(established, "ends"); ok {
					delete(established, id)
					checkObserved(handleBoth(Outcome{Request: id, Endpoint: endpoint, Status: []AttemptStatus{StatusOK, StatusReset, StatusRedirected}[rapid.IntRange(0, 2).Draw(rt, "end")], Final: true}))
				}
			},
			"delay": func(rt *rapid.T) {
				checkObserved(handleBoth(EndpointDelay{Endpoint: endpointID.Draw(rt, "endpoint"), Delay: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * ms}))
			},
			"list": func(rt *rapid.T) {
				listed := Endpoint{ID: endpointID.Draw(rt, "endpoint"), State: EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")), Size: 1, Zone: 0}
				if rapid.Bool().Draw(rt, "restarted") {
					listed.StartedAt = observed.now
				}
				checkObserved(handleBoth(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
			},
			"pass": func(rt *rapid.T) { advanceBoth(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * ms) },
		})
	})
	for reason := ReasonCachedRoute; reason < reasonCount; reason++ {
		if !reached[reason] {
			t.Logf("no random run had a decision with reason %v", reason)
		}
	}
}

// BenchmarkDecision measures a request with and without an observer.
func BenchmarkDecision(b *testing.B) {
	for _, endpointCount := range []int{13, 200} {
		for _, observed := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/observed=%v", endpointCount, observed), func(b *testing.B) {
				balancer := New(testSettings(), 1)
				balancer.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: readyEndpoints(endpointCount)})
				if observed {
					balancer.Observe(func(RequestID, *Decision) {})
				}
				b.ReportAllocs()
				for i := range b.N {
					now := time.Hour + time.Duration(i)*time.Millisecond
					id := RequestID(i + 1)
					balancer.Handle(now, Request{ID: id, Group: uint64(i%64) + 1, TimeLeft: 2 * time.Second})
					balancer.Handle(now, ClientLeft{Request: id})
				}
			})
		}
	}
}
