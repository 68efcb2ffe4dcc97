package proxy

import (
	"context"
	"math"
	"time"
)

// migrationWindow is the interval over which the relocations of established requests are
// spread.
type migrationWindow struct{ start, duration time.Duration }

// MigrateAll tells the clients of all established requests, including those established
// later, to migrate to other relays. The migrations are spread over a time, to limit the
// load on those relays. Only the first call sets the migration window.
func (p *Proxy) MigrateAll(over time.Duration) {
	p.migration.CompareAndSwap(nil, &migrationWindow{start: p.Clock.Now(), duration: over})
	p.startMigrating()
}

// HandOffAll hands all established requests, including those established later, off to
// another process, spread over a time as by MigrateAll. Clients of requests that can't be
// handed off are migrated.
func (p *Proxy) HandOffAll(handoff HandoffFunc, over time.Duration) {
	p.handoff.CompareAndSwap(nil, &handoff)
	p.MigrateAll(over)
}

// RejectPending makes the balancer answer all requests that are not established, including
// later ones, so that none is still waiting when the process is killed.
func (p *Proxy) RejectPending() { p.startRejecting() }

// RejectingPending returns a context that RejectPending cancels.
func (p *Proxy) RejectingPending() context.Context { return p.rejecting }

// Migrating returns a channel that MigrateAll and HandOffAll close.
func (p *Proxy) Migrating() <-chan struct{} { return p.migrating.Done() }

// waitForRelocation waits for a request's time in the migration window, or until ctx or its
// connection ends. The fractional parts of the multiples of the golden ratio spread the
// requests evenly, whatever their numbers. A request that is established after its time is
// relocated at once, as the process may end soon after the window.
func (p *Proxy) waitForRelocation(ctx context.Context, connEnded <-chan struct{}, number uint64) {
	const goldenRatio = 0.6180339887498949 // its fractional part
	_, fraction := math.Modf(float64(number) * goldenRatio)
	window := p.migration.Load()
	relocateAt := window.start + time.Duration(fraction*float64(window.duration))
	select {
	case <-ctx.Done():
	case <-connEnded:
	case <-time.After(relocateAt - p.Clock.Now()):
	}
}
