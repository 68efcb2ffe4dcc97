package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// benchEndpointCounts are the fleet sizes of the benchmarks, below and above largeTableSize.
var benchEndpointCounts = []int{5, 60, 1000, 5000}

// benchConnectionsPerEndpoint is the number of established connections per endpoint during a benchmark.
const benchConnectionsPerEndpoint = 4

// BenchmarkSetUp measures a request from its arrival to the end of its connection: with a cached route, with a
// draw for a group, and without a group.
func BenchmarkSetUp(b *testing.B) {
	for _, endpointCount := range benchEndpointCounts {
		for _, variant := range []string{"cached", "drawn", "alone"} {
			b.Run(fmt.Sprintf("servers=%d/%s", endpointCount, variant), func(b *testing.B) {
				balancer, id := benchBalancer(endpointCount)
				now := 2 * time.Hour
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					id++
					now += 5 * time.Millisecond
					runRequest(b, balancer, now, Request{ID: id, Group: benchGroup(variant, i), TimeLeft: 2 * time.Second})
				}
			})
		}
	}
}

// BenchmarkLoopSetUp measures a request through NextAction, Report and Tick of a Loop, from its arrival to the end of
// its connection.
func BenchmarkLoopSetUp(b *testing.B) {
	for _, endpointCount := range benchEndpointCounts {
		for _, variant := range []string{"cached", "drawn"} {
			b.Run(fmt.Sprintf("servers=%d/%s", endpointCount, variant), func(b *testing.B) {
				loop := NewLoop(testSettings(), 1)
				loop.Report(EndpointUpdate{Kind: ListFull, Endpoints: readyEndpoints(endpointCount)})
				loop.Tick(time.Hour)
				now := time.Hour
				canceled, cancel := context.WithCancel(context.Background())
				cancel()
				wantAction := func(handle *RequestHandle, want ActionKind) {
					if action, err := loop.NextAction(canceled, handle); err != nil || action.Kind != want {
						b.Fatalf("got action %v, error %v; want kind %d", action, err, want)
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now += 5 * time.Millisecond
					handle := NewRequestHandle(RequestOptions{Group: benchGroup(variant, i), Deadline: now + 2*time.Second})
					if action, err := loop.NextAction(canceled, handle); err == nil {
						b.Fatalf("got action %v before a Tick", action)
					}
					loop.Tick(now)
					wantAction(handle, ActionAttempt)
					loop.Report(AttemptEstablished{Handle: handle, SetupTime: 20 * time.Millisecond})
					loop.Tick(now)
					wantAction(handle, ActionEstablished)
					loop.Report(AttemptEnded{Handle: handle, Status: StatusOK})
					loop.Tick(now)
					wantAction(handle, ActionClosed)
				}
			})
		}
	}
}

// benchGroup returns the group of the i-th request of a benchmark variant.
func benchGroup(variant string, i int) uint64 {
	switch variant {
	case "cached":
		return uint64(i%64) + 1
	case "drawn":
		return uint64(i) + 1<<40
	}
	return 0
}

// benchBalancer returns a Balancer with n endpoints and established connections, and the last request ID.
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

// runRequest passes the events of a request from its arrival to its end, and its deadline timer.
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
