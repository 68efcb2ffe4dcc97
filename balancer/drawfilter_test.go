package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fullDraw is drawEndpoint without the filter and the cached totals: it visits every endpoint.
func (b *Balancer) fullDraw(request *requestRecord) *endpointRecord {
	totals := b.sumTotals(b.endpoints.sorted)
	load, size, slow := totals.load, totals.size, totals.slowSize
	if endpoint := b.slowStartCandidate(request); endpoint != nil {
		return endpoint
	}
	var best *endpointRecord
	least := math.Inf(1)
	for _, endpoint := range b.endpoints.sorted {
		if !b.eligible(request, endpoint) || slow < slowAvoidanceShare*size && endpoint.isSlow(b.now) || slow < recoveryAvoidanceShare*size && b.mustHold(endpoint) {
			continue
		}
		if cost := b.exponentialVariate(request.routeKey(), endpoint) / b.drawWeight(endpoint, load/size); cost < least {
			best, least = endpoint, cost
		}
	}
	return best
}

// Guards against decisions that depend on the filter or the cached totals of a large table: after random events each
// draw equals a full draw, and the totals equal fresh sums.
func TestFilteredDrawEqualsFullDraw(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.RelayCount = rapid.IntRange(1, 8).Draw(rt, "relays")
		settings.CrossZoneCost = float64(rapid.IntRange(0, 1).Draw(rt, "cross-zone cost"))
		endpointCount := rapid.IntRange(largeTableSize, 3*largeTableSize).Draw(rt, "endpoints")
		list := readyEndpoints(endpointCount)
		for i := range list {
			list[i].Zone = i % 3
			list[i].Size = 1 + float64(i%4)/2
		}
		relay := newTestRelay(t, settings, list...)
		endpointID := rapid.Map(rapid.IntRange(1, endpointCount), func(i int) EndpointID { return EndpointID(i) })
		inFlight, established := make(map[RequestID]EndpointID), make(map[RequestID]EndpointID)
		apply := func(actions []Action) {
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
				cached := relay.balancer.totals()
				summed := relay.balancer.sumTotals(relay.balancer.endpoints.sorted)
				for i, pair := range [][2]float64{
					{cached.load, summed.load}, {cached.size, summed.size}, {cached.warmSize, summed.warmSize}, {cached.slowSize, summed.slowSize},
				} {
					if math.Abs(pair[0]-pair[1]) > 1e-6*(1+pair[1]) {
						rt.Fatalf("total %d: cached value is %v, fresh sum is %v", i, pair[0], pair[1])
					}
				}
				for key := range uint64(4) {
					request := &requestRecord{Request: Request{Group: 1 + key*7919 + uint64(relay.lastID)}, class: &settings.Classes[0], deadline: relay.now + time.Second}
					relay.balancer.endpoints.eventTotalsValid = false
					if got, want := relay.balancer.drawEndpoint(request), relay.balancer.fullDraw(request); got != want {
						rt.Fatalf("group %d: filtered draw gives %v, full draw gives %v", request.Group, got, want)
					}
				}
			},
			"arrive": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "n") {
					relay.lastID++
					apply(relay.handle(Request{ID: relay.lastID, Group: rapid.Uint64Range(1, 500).Draw(rt, "group"), TimeLeft: 2 * time.Second}))
				}
			},
			"succeed": func(_ *rapid.T) {
				for id, endpoint := range inFlight {
					delete(inFlight, id)
					established[id] = endpoint
					apply(relay.handle(Established{Request: id, Endpoint: endpoint, SetupTime: 20 * ms}))
					apply(relay.handle(ConnectionLoad{Request: id, Endpoint: endpoint, Load: 0.01 + float64(id%7)/20}))
				}
			},
			"fail": func(_ *rapid.T) {
				for id, endpoint := range inFlight {
					delete(inFlight, id)
					apply(relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: AttemptStatus(1 + id%5)}))
				}
			},
			"end": func(_ *rapid.T) {
				for id, endpoint := range established {
					if delete(established, id); id%2 == 0 {
						apply(relay.handle(Outcome{Request: id, Endpoint: endpoint, Status: StatusOK, Final: true}))
					}
				}
			},
			"slow": func(rt *rapid.T) {
				for range rapid.IntRange(1, endpointCount/2).Draw(rt, "n") {
					apply(relay.handle(EndpointDelay{Endpoint: endpointID.Draw(rt, "endpoint"), Delay: time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * ms}))
				}
			},
			"list": func(rt *rapid.T) {
				listed := Endpoint{ID: endpointID.Draw(rt, "endpoint"), State: EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")), Size: rapid.Float64Range(0.1, 4).Draw(rt, "size"), Zone: 0}
				if rapid.Bool().Draw(rt, "restarted") {
					listed.StartedAt = relay.now
				}
				apply(relay.handle(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{listed}}))
			},
			"pass": func(rt *rapid.T) { apply(relay.advance(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * ms)) },
		})
	})
}

// BenchmarkDraw compares filtered and full draws for a group without a route, by number of endpoints.
func BenchmarkDraw(b *testing.B) {
	for _, endpointCount := range []int{5, 12, 60, 100, 1000, 5000} {
		for _, variant := range []string{"full", "filtered"} {
			b.Run(fmt.Sprintf("servers=%d/%s", endpointCount, variant), func(b *testing.B) {
				balancer := New(testSettings(), 1)
				balancer.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: readyEndpoints(endpointCount)})
				for i := range 6 * endpointCount { // gives the endpoints different loads
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
					if variant == "filtered" {
						balancer.drawEndpoint(request)
					} else {
						balancer.fullDraw(request)
					}
				}
			})
		}
	}
}
