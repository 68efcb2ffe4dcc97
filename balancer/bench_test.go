package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// benchEndpointCounts are the numbers of endpoints that benchmarks run with. From 64 on a draw uses a filter.
var benchEndpointCounts = []int{5, 60, 1000, 5000}

// benchConnectionsPerEndpoint is how many connections are established per endpoint while a benchmark runs.
const benchConnectionsPerEndpoint = 4

// BenchmarkSetUp is a request from its arrival to the end of its connection: of a group whose route is cached, of one
// that is drawn for, and of no group.
func BenchmarkSetUp(b *testing.B) {
	for _, n := range benchEndpointCounts {
		for _, how := range []string{"cached", "drawn", "alone"} {
			b.Run(fmt.Sprintf("servers=%d/%s", n, how), func(b *testing.B) {
				balancer, id := benchBalancer(n)
				now := 2 * time.Hour
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					id++
					now += 5 * time.Millisecond
					runRequest(b, balancer, now, Request{ID: id, Group: benchGroup(how, i), TimeLeft: 2 * time.Second})
				}
			})
		}
	}
}

// BenchmarkLoopSetUp is the same through Pick, Report and Tick.
func BenchmarkLoopSetUp(b *testing.B) {
	for _, n := range benchEndpointCounts {
		for _, how := range []string{"cached", "drawn"} {
			b.Run(fmt.Sprintf("servers=%d/%s", n, how), func(b *testing.B) {
				f := NewLoop(testSettings(), 1)
				f.Report(EndpointUpdate{Kind: ListFull, Endpoints: readyEndpoints(n)})
				f.Tick(time.Hour)
				now := time.Hour
				gone, cancel := context.WithCancel(context.Background())
				cancel()
				next := func(t *RequestHandle, want ActionKind) {
					if s, err := f.Pick(gone, t); err != nil || s.Kind != want {
						b.Fatalf("step %v, %v; want kind %d", s, err, want)
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now += 5 * time.Millisecond
					t := NewRequestHandle(RequestOptions{Group: benchGroup(how, i), Deadline: now + 2*time.Second})
					_, _ = f.Pick(gone, t)
					f.Tick(now)
					next(t, ActionAttempt)
					f.Report(AttemptEstablished{Handle: t, SetupTime: 20 * time.Millisecond})
					f.Tick(now)
					next(t, ActionEstablished)
					f.Report(AttemptEnded{Handle: t, Status: StatusOK})
					f.Tick(now)
					next(t, ActionClosed)
				}
			})
		}
	}
}

func benchGroup(how string, i int) uint64 {
	switch how {
	case "cached":
		return uint64(i%64) + 1
	case "drawn":
		return uint64(i) + 1<<40
	}
	return 0
}

// benchBalancer returns a Balancer of n endpoints with established connections, and the last request's number.
func benchBalancer(n int) (*Balancer, RequestID) {
	balancer := New(testSettings(), 1)
	balancer.Handle(time.Hour, EndpointList{Kind: ListFull, Endpoints: readyEndpoints(n)})
	id := RequestID(0)
	for i := range benchConnectionsPerEndpoint * n {
		id++
		now := time.Hour + time.Duration(i)*time.Millisecond
		for _, a := range balancer.Handle(now, Request{ID: id, Group: uint64(id) + 1000, TimeLeft: 2 * time.Second}) {
			if s, sent := a.(SendAttempt); sent {
				balancer.Handle(now, Established{Request: id, Endpoint: s.Endpoint, SetupTime: 20 * time.Millisecond})
			}
		}
	}
	return balancer, id
}

// runRequest plays a request from its arrival to its end, and the timer that was set for it.
func runRequest(b *testing.B, balancer *Balancer, now time.Duration, q Request) {
	var endpoint EndpointID
	var token uint32
	for _, a := range balancer.Handle(now, q) {
		switch a := a.(type) {
		case SendAttempt:
			endpoint = a.Endpoint
		case SetTimer:
			token = a.Token
		}
	}
	if endpoint == 0 {
		b.Fatalf("request %d was not sent", q.ID)
	}
	balancer.Handle(now, Established{Request: q.ID, Endpoint: endpoint, SetupTime: 20 * time.Millisecond})
	balancer.Handle(now, Outcome{Request: q.ID, Endpoint: endpoint, Status: StatusOK, Final: true})
	balancer.Handle(now, Timer{Token: token})
}
