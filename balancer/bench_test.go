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
				loop := NewLoop(testSettings(), 1)
				loop.Report(EndpointUpdate{Kind: ListFull, Endpoints: readyEndpoints(n)})
				loop.Tick(time.Hour)
				now := time.Hour
				gone, cancel := context.WithCancel(context.Background())
				cancel()
				next := func(handle *RequestHandle, want ActionKind) {
					if action, err := loop.NextAction(gone, handle); err != nil || action.Kind != want {
						b.Fatalf("step %v, %v; want kind %d", action, err, want)
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now += 5 * time.Millisecond
					handle := NewRequestHandle(RequestOptions{Group: benchGroup(how, i), Deadline: now + 2*time.Second})
					if action, err := loop.NextAction(gone, handle); err == nil {
						b.Fatalf("action %v before a Tick", action)
					}
					loop.Tick(now)
					next(handle, ActionAttempt)
					loop.Report(AttemptEstablished{Handle: handle, SetupTime: 20 * time.Millisecond})
					loop.Tick(now)
					next(handle, ActionEstablished)
					loop.Report(AttemptEnded{Handle: handle, Status: StatusOK})
					loop.Tick(now)
					next(handle, ActionClosed)
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
		for _, action := range balancer.Handle(now, Request{ID: id, Group: uint64(id) + 1000, TimeLeft: 2 * time.Second}) {
			if attempt, sent := action.(SendAttempt); sent {
				balancer.Handle(now, Established{Request: id, Endpoint: attempt.Endpoint, SetupTime: 20 * time.Millisecond})
			}
		}
	}
	return balancer, id
}

// runRequest plays a request from its arrival to its end, and the timer that was set for it.
func runRequest(b *testing.B, balancer *Balancer, now time.Duration, request Request) {
	var endpoint EndpointID
	var token uint32
	for _, action := range balancer.Handle(now, request) {
		switch action := action.(type) {
		case SendAttempt:
			endpoint = action.Endpoint
		case SetTimer:
			token = action.Token
		}
	}
	if endpoint == 0 {
		b.Fatalf("request %d was not sent", request.ID)
	}
	balancer.Handle(now, Established{Request: request.ID, Endpoint: endpoint, SetupTime: 20 * time.Millisecond})
	balancer.Handle(now, Outcome{Request: request.ID, Endpoint: endpoint, Status: StatusOK, Final: true})
	balancer.Handle(now, Timer{Token: token})
}
