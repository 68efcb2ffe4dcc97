package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fullDraw is drawEndpoint without a filter and without totals that are kept: it looks at every endpoint, and
// adds up all sums anew.
func (b *Balancer) fullDraw(request *requestRecord) *endpointRecord {
	totals := b.sumTotals(b.endpoints.sorted)
	load, size, slow := totals.load, totals.size, totals.slowSize
	if state := b.slowStartCandidate(request); state != nil {
		return state
	}
	var best *endpointRecord
	least := math.Inf(1)
	for _, state := range b.endpoints.sorted {
		if !b.eligible(request, state) || slow < slowAvoidanceShare*size && state.isSlow(b.now) || slow < recoveryAvoidanceShare*size && b.mustHold(state) {
			continue
		}
		if d := b.exponentialVariate(request.routeKey(), state) / b.drawWeight(state, load/size); d < least {
			best, least = state, d
		}
	}
	return best
}

// The totals kept of a large table and the filter change no decision: over random steps each draw falls on
// the endpoint that a full draw falls on, and the totals equal those added up anew.
func TestFilteredDrawEqualsFullDraw(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.Relays = rapid.IntRange(1, 8).Draw(rt, "relays")
		settings.CrossZoneCost = float64(rapid.IntRange(0, 1).Draw(rt, "cost"))
		n := rapid.IntRange(largeTableSize, 3*largeTableSize).Draw(rt, "servers")
		list := readyEndpoints(n)
		for i := range list {
			list[i].Zone = i % 3
			list[i].Size = 1 + float64(i%4)/2
		}
		relay := newTestRelay(t, settings, list...)
		server := rapid.Map(rapid.IntRange(1, n), func(i int) EndpointID { return EndpointID(i) })
		inFlight, established := make(map[RequestID]EndpointID), make(map[RequestID]EndpointID)
		take := func(actions []Action) {
			for _, action := range actions {
				switch action := action.(type) {
				case SendAttempt:
					inFlight[action.Request] = action.Endpoint
				case Reject:
					delete(inFlight, action.Request)
				case Migrate:
					delete(established, action.Request)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				relay.balancer.now, relay.balancer.endpoints.eventTotalsValid = relay.now, false
				kept := relay.balancer.totals()
				summed := relay.balancer.sumTotals(relay.balancer.endpoints.sorted)
				for i, d := range [][2]float64{
					{kept.load, summed.load}, {kept.size, summed.size}, {kept.warmSize, summed.warmSize}, {kept.slowSize, summed.slowSize},
				} {
					if math.Abs(d[0]-d[1]) > 1e-6*(1+d[1]) {
						rt.Fatalf("total %d is kept as %v, added up as %v", i, d[0], d[1])
					}
				}
				for key := range uint64(4) {
					request := &requestRecord{Request: Request{Group: 1 + key*7919 + uint64(relay.lastID)}, class: &settings.Classes[0], deadline: relay.now + time.Second}
					relay.balancer.endpoints.eventTotalsValid = false
					if got, want := relay.balancer.drawEndpoint(request), relay.balancer.fullDraw(request); got != want {
						rt.Fatalf("group %d is drawn to %v, by a full draw to %v", request.Group, got, want)
					}
				}
			},
			"ask": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "n") {
					relay.lastID++
					take(relay.handle(Request{ID: relay.lastID, Group: rapid.Uint64Range(1, 500).Draw(rt, "group"), TimeLeft: 2 * time.Second}))
				}
			},
			"stand": func(_ *rapid.T) {
				for id, s := range inFlight {
					delete(inFlight, id)
					established[id] = s
					take(relay.handle(Established{Request: id, Endpoint: s, SetupTime: 20 * ms}))
					take(relay.handle(ConnectionLoad{Request: id, Endpoint: s, Load: 0.01 + float64(id%7)/20}))
				}
			},
			"fail": func(_ *rapid.T) {
				for id, s := range inFlight {
					delete(inFlight, id)
					take(relay.handle(Outcome{Request: id, Endpoint: s, Status: AttemptStatus(1 + id%5)}))
				}
			},
			"end": func(_ *rapid.T) {
				for id, s := range established {
					if delete(established, id); id%2 == 0 {
						take(relay.handle(Outcome{Request: id, Endpoint: s, Status: StatusOK, Final: true}))
					}
				}
			},
			"slow": func(rt *rapid.T) {
				for range rapid.IntRange(1, n/2).Draw(rt, "n") {
					take(relay.handle(EndpointDelay{Endpoint: server.Draw(rt, "server"), Delay: time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * ms}))
				}
			},
			"list": func(rt *rapid.T) {
				listed := Endpoint{ID: server.Draw(rt, "server"), State: EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")), Size: rapid.Float64Range(0.1, 4).Draw(rt, "size"), Zone: 0}
				if rapid.Bool().Draw(rt, "restarted") {
					listed.StartedAt = relay.now
				}
				take(relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
			},
			"pass": func(rt *rapid.T) { take(relay.advance(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * ms)) },
		})
	})
}

// BenchmarkDraw is a draw for a group without a route, by the number of endpoints, with a full draw beside it.
func BenchmarkDraw(b *testing.B) {
	for _, n := range []int{5, 12, 60, 100, 1000, 5000} {
		for _, how := range []string{"looking at all", "as it is"} {
			b.Run(fmt.Sprintf("servers=%d/%s", n, how), func(b *testing.B) {
				balancer := New(testSettings(), 1)
				balancer.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: readyEndpoints(n)})
				for i := range 6 * n { // their loads differ
					id := RequestID(i + 1)
					for _, action := range balancer.Handle(time.Hour+time.Duration(i)*ms, Request{ID: id, Group: uint64(i + 1), TimeLeft: 2 * time.Second}) {
						if attempt, ok := action.(SendAttempt); ok {
							balancer.Handle(time.Hour+time.Duration(i)*ms, Established{Request: id, Endpoint: attempt.Endpoint})
						}
					}
				}
				request := &requestRecord{class: &balancer.settings.Classes[0]}
				b.ResetTimer()
				for i := range b.N {
					request.Group = uint64(i) + 1<<40
					balancer.endpoints.eventTotalsValid = false
					if how == "as it is" {
						balancer.drawEndpoint(request)
					} else {
						balancer.fullDraw(request)
					}
				}
			})
		}
	}
}
