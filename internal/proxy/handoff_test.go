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

// unpausable is a frontend's side that can't be paused, as one side is in the middle of a write.
type unpausable struct {
	fakeDownstream
	pausedAt time.Duration
}

func (d *unpausable) Pause() (any, []syscall.Conn, bool) {
	d.mu.Lock()
	d.pausedAt = d.proxy.Clock.Now()
	d.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	return nil, nil, false
}

func (d *unpausable) Resolve(handed bool) bool { return handed }

// A connection that can't be handed off is paused for less than a second until its client is migrated: a side's end is to
// be passed on within that. With a turn before the pause and another before the migration it took 1.6 s.
func TestFailedHandoffsMigrateInTime(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		var downstreams []*unpausable
		var running sync.WaitGroup
		for range 20 {
			downstream := &unpausable{fakeDownstream: fakeDownstream{t: t, proxy: proxy, nextAction: establish(time.Minute)}}
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
				t.Errorf("%d was notified of %v", i, downstream.answers)
				continue
			}
			if paused := downstream.answeredAt - downstream.pausedAt; paused >= 900*time.Millisecond {
				t.Errorf("%d was paused for %v", i, paused)
			}
			pauses = append(pauses, downstream.pausedAt)
		}
		if len(pauses) > 1 && slices.Max(pauses)-slices.Min(pauses) < 400*time.Millisecond {
			t.Errorf("all were paused within %v", slices.Max(pauses)-slices.Min(pauses))
		}
	})
}
