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

// stuck is a front's side that can't be parked, as one side is in the middle of a write.
type stuck struct {
	fake
	parked time.Duration
}

func (x *stuck) Pause() (any, []syscall.Conn, bool) {
	x.mu.Lock()
	x.parked = x.k.Clock.Now()
	x.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	return nil, nil, false
}

func (x *stuck) Resolve(handed bool) bool { return handed }

// What can't be handed over stands still for less than a second until it is moved: a side's end is to be passed on
// within that. Its turn to be handed over came before the try, and a turn to be moved after it: 1.6 s in all.
func TestWhatIsNotHandedOverIsMovedInTime(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		var all []*stuck
		var here sync.WaitGroup
		for range 20 {
			x := &stuck{fake: fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, lives: time.Minute})}}
			all = append(all, x)
			name := string(rune('a' + len(all)))
			here.Go(func() {
				x.k.Serve(context.Background(), Request{Front: "fake", Name: name, RequestOptions: balancer.RequestOptions{Deadline: k.Clock.Now() + 5*time.Second}}, x)
			})
			time.Sleep(500 * time.Millisecond) // of the fake clock
		}
		k.HandOffAll(func(any, ...syscall.Conn) error { return nil }, 800*time.Millisecond)
		here.Wait()
		var tries []time.Duration
		for i, x := range all {
			if !slices.Contains(x.answers, "move") {
				t.Errorf("%d was told %v", i, x.answers)
				continue
			}
			if still := x.at - x.parked; still >= 900*time.Millisecond {
				t.Errorf("%d stood still for %v", i, still)
			}
			tries = append(tries, x.parked)
		}
		if len(tries) > 1 && slices.Max(tries)-slices.Min(tries) < 400*time.Millisecond {
			t.Errorf("all were tried within %v", slices.Max(tries)-slices.Min(tries))
		}
	})
}
