package balancer

import (
	"context"
	"slices"
	"time"
)

// pool is the farm as the module saw it at the end of a turn.
type pool struct {
	listed  int
	avoided []time.Duration // until then, of each server that is
}

// EndpointCounts tells how many servers are listed and how many of them the module avoids at a
// time. It waits for no turn.
func (f *Loop) EndpointCounts(now time.Duration) (listed, avoided int) {
	p := f.pool.Load()
	if p == nil {
		return 0, 0
	}
	for _, until := range p.avoided {
		if now < until {
			avoided++
		}
	}
	return p.listed, avoided
}

// publish has Pool tell of the farm as it is now.
func (f *Loop) publish() {
	listed, avoided := f.b.avoided(f.room)
	f.room = avoided
	if old := f.pool.Load(); old == nil || old.listed != listed || !slices.Equal(old.avoided, avoided) {
		f.pool.Store(&pool{listed, slices.Clone(avoided)})
	}
}

// question is asked of the Balancer in a turn; no ticket stands for it.
type question func()

// asked puts a question and waits for the answer. It fails if ctx or the turns end first.
func asked[T any](ctx context.Context, f *Loop, of func(*Balancer) T) (T, error) {
	answer := make(chan T, 1)
	f.post(question(func() { answer <- of(f.b) }))
	var none T
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	case <-f.done:
		return none, context.Canceled
	}
}

// RetryAfter returns when a client should come again that there is no place for; 0 if
// ctx or the turns end first.
func (f *Loop) RetryAfter(ctx context.Context) time.Duration {
	wait, _ := asked(ctx, f, func(b *Balancer) time.Duration { return b.RetryAfter(f.now) })
	return wait
}

// Snapshot returns what the module has learnt, for another process to take over. It
// fails if ctx or the turns end first.
func (f *Loop) Snapshot(ctx context.Context) (Snapshot, error) {
	return asked(ctx, f, (*Balancer).Snapshot)
}

// EndpointViews tells what the module holds of each server that is listed. It fails if ctx or the turns
// end first.
func (f *Loop) EndpointViews(ctx context.Context) ([]EndpointView, error) {
	return asked(ctx, f, (*Balancer).views)
}
