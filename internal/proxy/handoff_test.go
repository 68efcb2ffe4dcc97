package proxy

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockroad/balancer"
)

// unpausableDownstream is a Transferable whose Pause fails after 300 ms, as with a blocked write.
type unpausableDownstream struct {
	fakeDownstream
	pausedAt time.Duration
}

func (d *unpausableDownstream) Pause() (any, []syscall.Conn, bool) {
	d.mu.Lock()
	d.pausedAt = d.proxy.Clock.Now()
	d.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	return nil, nil, false
}

func (d *unpausableDownstream) Resolve(handedOff bool) bool { return handedOff }

// Guards against connections that stay paused for long after a failed handoff: neither data nor the end of a stream is
// forwarded meanwhile.
func TestFailedHandoffMigratesClientWithinASecond(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		var downstreams []*unpausableDownstream
		var running sync.WaitGroup
		for range 20 {
			downstream := &unpausableDownstream{fakeDownstream: fakeDownstream{t: t, proxy: proxy, nextAction: establish(time.Minute)}}
			downstreams = append(downstreams, downstream)
			name := string(rune('a' + len(downstreams)))
			running.Go(func() {
				downstream.proxy.Serve(context.Background(), Request{Frontend: "fake", Name: name, RequestOptions: balancer.RequestOptions{Deadline: proxy.Clock.Now() + 5*time.Second}}, downstream)
			})
			time.Sleep(500 * time.Millisecond) // of the fake clock
		}
		proxy.HandOffAll(func(any, ...syscall.Conn) error { return nil }, 800*time.Millisecond)
		running.Wait()
		var pauses []time.Duration
		for i, downstream := range downstreams {
			if !slices.Contains(downstream.answers, "migrated") {
				t.Errorf("client %d was notified of %v, want a migration", i, downstream.answers)
				continue
			}
			if paused := downstream.answeredAt - downstream.pausedAt; paused >= 900*time.Millisecond {
				t.Errorf("connection %d was paused for %v, want less than 900ms", i, paused)
			}
			pauses = append(pauses, downstream.pausedAt)
		}
		if len(pauses) > 1 && slices.Max(pauses)-slices.Min(pauses) < 400*time.Millisecond {
			t.Errorf("all connections were paused within %v, want them spread over at least 400ms", slices.Max(pauses)-slices.Min(pauses))
		}
	})
}
