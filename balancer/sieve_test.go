package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainDraw is the draw as it is without a sieve and without accounts: every server is
// looked at, and all sums are made anew.
func (b *Balancer) plainDraw(q *request) *server {
	load, size, _, slow := b.added(b.fleet.servers)
	if s := b.coldTurn(q); s != nil {
		return s
	}
	var best *server
	least := math.Inf(1)
	for _, s := range b.fleet.servers {
		if !b.usable(q, s) || slow < slowPart*size && s.slowAt(b.now) || slow < easePart*size && b.mustWait(s) {
			continue
		}
		if d := b.chance(q.key(), s) / b.drawWeight(s, load/size); d < least {
			best, least = s, d
		}
	}
	return best
}

// The accounts of a large fleet, and the servers that a draw passes over unseen, change
// no decision: by random steps, each draw falls where one that looks at every server
// does, and the sums are those added up anew.
func TestLargeFleetIsDrawnFromAsASmallOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := testSettings()
		set.Relays = rapid.IntRange(1, 8).Draw(rt, "relays")
		set.CrossZoneCost = float64(rapid.IntRange(0, 1).Draw(rt, "cost"))
		n := rapid.IntRange(largeFleet, 3*largeFleet).Draw(rt, "servers")
		list := ready(n)
		for i := range list {
			list[i].Zone = i % 3
			list[i].Weight = 1 + float64(i%4)/2
		}
		r := newRelay(t, set, list...)
		server := rapid.Map(rapid.IntRange(1, n), func(i int) EndpointID { return EndpointID(i) })
		out, up := make(map[RequestID]EndpointID), make(map[RequestID]EndpointID)
		take := func(done []Action) {
			for _, a := range done {
				switch a := a.(type) {
				case SendAttempt:
					out[a.Request] = a.Endpoint
				case Reject:
					delete(out, a.Request)
				case Migrate:
					delete(up, a.Request)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				r.b.now, r.b.fleet.summed = r.now, false
				l, z, w, s := r.b.totals()
				l0, z0, w0, s0 := r.b.added(r.b.fleet.servers)
				for i, d := range [][2]float64{{l, l0}, {z, z0}, {w, w0}, {s, s0}} {
					if math.Abs(d[0]-d[1]) > 1e-6*(1+d[1]) {
						rt.Fatalf("sum %d is kept as %v, added up %v", i, d[0], d[1])
					}
				}
				for key := range uint64(4) {
					q := &request{Request: Request{Group: 1 + key*7919 + uint64(r.next)}, class: &set.Classes[0], giveUp: r.now + time.Second}
					r.b.fleet.summed = false
					if got, want := r.b.draw(q), r.b.plainDraw(q); got != want {
						rt.Fatalf("group %d is drawn to %v, looking at all it is %v", q.Group, got, want)
					}
				}
			},
			"ask": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "n") {
					r.next++
					take(r.do(Request{ID: r.next, Group: rapid.Uint64Range(1, 500).Draw(rt, "group"), TimeLeft: 2 * time.Second}))
				}
			},
			"stand": func(_ *rapid.T) {
				for id, s := range out {
					delete(out, id)
					up[id] = s
					take(r.do(Established{Request: id, Endpoint: s, SetupTime: 20 * ms}))
					take(r.do(ConnectionLoad{Request: id, Endpoint: s, Load: 0.01 + float64(id%7)/20}))
				}
			},
			"fail": func(_ *rapid.T) {
				for id, s := range out {
					delete(out, id)
					take(r.do(Outcome{Request: id, Endpoint: s, Status: AttemptStatus(1 + id%5)}))
				}
			},
			"end": func(_ *rapid.T) {
				for id, s := range up {
					if delete(up, id); id%2 == 0 {
						take(r.do(Outcome{Request: id, Endpoint: s, Status: StatusOK, Final: true}))
					}
				}
			},
			"slow": func(rt *rapid.T) {
				for range rapid.IntRange(1, n/2).Draw(rt, "n") {
					take(r.do(EndpointDelay{Endpoint: server.Draw(rt, "server"), Delay: time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * ms}))
				}
			},
			"list": func(rt *rapid.T) {
				line := Endpoint{ID: server.Draw(rt, "server"), State: EndpointState(rapid.IntRange(0, 2).Draw(rt, "state")), Weight: rapid.Float64Range(0.1, 4).Draw(rt, "size"), Zone: 0}
				if rapid.Bool().Draw(rt, "restarted") {
					line.StartedAt = r.now
				}
				take(r.do(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{line}}))
			},
			"pass": func(rt *rapid.T) { take(r.pass(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * ms)) },
		})
	})
}

// BenchmarkDraw is a draw of a group without a route, by the fleet's size; told is with a
// witness that looks on.
func BenchmarkDraw(b *testing.B) {
	for _, n := range []int{5, 12, 60, 100, 1000, 5000} {
		for _, how := range []string{"looking at all", "as it is"} {
			b.Run(fmt.Sprintf("servers=%d/%s", n, how), func(b *testing.B) {
				m := New(testSettings(), 1)
				m.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: ready(n)})
				for i := range 6 * n { // what stands on them differs
					id := RequestID(i + 1)
					for _, a := range m.Handle(time.Hour+time.Duration(i)*ms, Request{ID: id, Group: uint64(i + 1), TimeLeft: 2 * time.Second}) {
						if s, ok := a.(SendAttempt); ok {
							m.Handle(time.Hour+time.Duration(i)*ms, Established{Request: id, Endpoint: s.Endpoint})
						}
					}
				}
				q := &request{class: &m.set.Classes[0]}
				b.ResetTimer()
				for i := range b.N {
					q.Group = uint64(i) + 1<<40
					m.fleet.summed = false
					if how == "as it is" {
						m.draw(q)
					} else {
						m.plainDraw(q)
					}
				}
			})
		}
	}
}

// After the last connection nothing is left of the load, not even what rounding leaves: by a mean of next to nothing,
// servers that had one counted as crowded beyond measure.
func TestNothingIsLeftOfTheLoadOfAnEmptyFleet(t *testing.T) {
	r := newRelay(t, testSettings(), ready(3)...)
	var up []RequestID
	for id := RequestID(1); id <= 30; id++ {
		for _, a := range r.do(Request{ID: id, Group: uint64(id), TimeLeft: time.Second}) {
			if s, sent := a.(SendAttempt); sent {
				r.do(Established{Request: id, Endpoint: s.Endpoint, SetupTime: 20 * ms})
				r.do(ConnectionLoad{Request: id, Endpoint: s.Endpoint, Load: 0.1 * float64(id)})
				up = append(up, id)
			}
		}
	}
	if len(up) < 10 {
		t.Fatalf("%d connections stand", len(up))
	}
	for _, id := range up {
		r.do(Outcome{Request: id, Status: StatusOK, Final: true})
	}
	if load, _, _, _ := r.b.totals(); load != 0 {
		t.Errorf("the kept load is %v", load)
	}
	for _, s := range r.b.fleet.servers {
		if s.demand() != 0 {
			t.Errorf("server %d has a demand of %v", s.ID, s.demand())
		}
	}
}
