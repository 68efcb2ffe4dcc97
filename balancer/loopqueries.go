package balancer

import (
	"context"
	"slices"
	"time"
)

// endpointCounts is the state of the endpoints at the end of a Tick, from which EndpointCounts is computed.
type endpointCounts struct {
	listed       int
	avoidedUntil []time.Duration // of each avoided endpoint
}

// EndpointCounts returns the number of listed endpoints and how many of them are avoided at a time. It does
// not wait for a Tick, and any goroutine may call it. Both are 0 unless PublishCounts was called.
func (l *Loop) EndpointCounts(now time.Duration) (listed, avoided int) {
	counts := l.counts.Load()
	if counts == nil {
		return 0, 0
	}
	for _, until := range counts.avoidedUntil {
		if now < until {
			avoided++
		}
	}
	return counts.listed, avoided
}

// publishCounts updates the counts for EndpointCounts. It allocates only if they have changed.
func (l *Loop) publishCounts() {
	listed, avoided := l.balancer.avoidedEndpoints(l.avoidedBuffer)
	l.avoidedBuffer = avoided
	old := l.counts.Load()
	if old == nil || old.listed != listed || !slices.Equal(old.avoidedUntil, avoided) {
		l.counts.Store(&endpointCounts{listed, slices.Clone(avoided)})
	}
}

// query is a function that a Tick calls to read the state of the Balancer.
type query func()

// queryBalancer calls read in the next Tick and returns its result. It fails if ctx ends or the Loop is
// closed first.
func queryBalancer[T any](ctx context.Context, l *Loop, read func(*Balancer) T) (T, error) {
	answers := make(chan T, 1)
	l.enqueue(query(func() { answers <- read(l.balancer) }))
	var zero T
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	case <-l.closed:
		return zero, context.Canceled
	}
}

// RetryAfter returns how long a client should wait before it retries if the relay itself rejected it; 0 if
// ctx ends or the Loop is closed first.
func (l *Loop) RetryAfter(ctx context.Context) time.Duration {
	wait, _ := queryBalancer(ctx, l, func(b *Balancer) time.Duration { return b.RetryAfter(l.now) })
	return wait
}

// Snapshot returns a snapshot of the Balancer for another process to restore. It fails if ctx ends or the
// Loop is closed first.
func (l *Loop) Snapshot(ctx context.Context) (Snapshot, error) {
	return queryBalancer(ctx, l, (*Balancer).Snapshot)
}

// EndpointViews returns a view of each listed endpoint for operators. It fails if ctx ends or the Loop is
// closed first.
func (l *Loop) EndpointViews(ctx context.Context) ([]EndpointView, error) {
	return queryBalancer(ctx, l, (*Balancer).endpointViews)
}
