package proxy

import (
	"context"
	"math"
	"time"
)

// migrationWindow is the interval over which established requests depart.
type migrationWindow struct{ start, duration time.Duration }

// MigrateAll migrates every request that is established, and every one that will be,
// to other relays. Their turns are spread over a time, lest whoever takes them in is
// swamped. Only the first call's window counts.
func (p *Proxy) MigrateAll(over time.Duration) {
	p.migration.CompareAndSwap(nil, &migrationWindow{start: p.Clock.Now(), duration: over})
	p.startMigrating()
}

// HandOffAll hands every request that is established, and every one that will be, to
// another process; those that can't be handed over are migrated. Their turns are spread
// over a time, as by MigrateAll.
func (p *Proxy) HandOffAll(handoff HandoffFunc, over time.Duration) {
	p.handoff.CompareAndSwap(nil, &handoff)
	p.MigrateAll(over)
}

// RejectPending answers every request that isn't established, now or later, so that
// none still waits when the process is killed.
func (p *Proxy) RejectPending() { p.startRejecting() }

// RejectingPending returns a context that ends once RejectPending was called.
func (p *Proxy) RejectingPending() context.Context { return p.rejecting }

// Migrating returns a channel that is closed once MigrateAll or HandOffAll was called.
func (p *Proxy) Migrating() <-chan struct{} { return p.migrating.Done() }

// waitForRelocation waits for a request's turn to depart, or for the end of ctx or of its
// connection. Turns are spread evenly whatever the request numbers: multiples of the
// golden ratio, modulo 1, are. They count from the start of the migration window: a
// request established after its turn departs at once, as the process may end before
// another window is over.
func (p *Proxy) waitForRelocation(ctx context.Context, connEnded <-chan struct{}, number uint64) {
	const goldenRatio = 0.6180339887498949 // its fractional part
	_, fraction := math.Modf(float64(number) * goldenRatio)
	window := p.migration.Load()
	turn := window.start + time.Duration(fraction*float64(window.duration))
	select {
	case <-ctx.Done():
	case <-connEnded:
	case <-time.After(turn - p.Clock.Now()):
	}
}
