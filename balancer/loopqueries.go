package balancer

import (
	"context"
	"slices"
	"time"
)

// endpointCounts is what EndpointCounts goes by: the table of endpoints at the end of a Tick.
type endpointCounts struct {
	listed       int
	avoidedUntil []time.Duration // of each endpoint that was avoided
}

// EndpointCounts returns how many endpoints are listed and how many of them are avoided at a time. It
// waits for no Tick, and any goroutine may call it. Without PublishCounts both are 0.
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

// publishCounts updates what EndpointCounts goes by. It allocates only if something has changed.
func (l *Loop) publishCounts() {
	listed, avoided := l.balancer.avoidedEndpoints(l.avoidedBuffer)
	l.avoidedBuffer = avoided
	old := l.counts.Load()
	if old == nil || old.listed != listed || !slices.Equal(old.avoidedUntil, avoided) {
		l.counts.Store(&endpointCounts{listed, slices.Clone(avoided)})
	}
}

// query is asked of the Balancer in a Tick; it belongs to no request.
type query func()

// queryBalancer asks the Balancer and waits for the Tick that answers. It fails if ctx ends or the Loop is
// closed first.
func queryBalancer[T any](ctx context.Context, l *Loop, ask func(*Balancer) T) (T, error) {
	answers := make(chan T, 1)
	l.enqueue(query(func() { answers <- ask(l.balancer) }))
	var none T
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	case <-l.closed:
		return none, context.Canceled
	}
}

// RetryAfter returns when a client should try again that the relay has rejected on its own; 0 if ctx ends
// or the Loop is closed first.
func (l *Loop) RetryAfter(ctx context.Context) time.Duration {
	wait, _ := queryBalancer(ctx, l, func(b *Balancer) time.Duration { return b.RetryAfter(l.now) })
	return wait
}

// Snapshot returns what the Balancer has observed, for another process to restore. It fails if ctx ends or
// the Loop is closed first.
func (l *Loop) Snapshot(ctx context.Context) (Snapshot, error) {
	return queryBalancer(ctx, l, (*Balancer).Snapshot)
}

// EndpointViews returns what the Balancer knows of each endpoint that is listed. It fails if ctx ends or the
// Loop is closed first.
func (l *Loop) EndpointViews(ctx context.Context) ([]EndpointView, error) {
	return queryBalancer(ctx, l, (*Balancer).endpointViews)
}
