package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"lockroad/internal/config"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/store"
)

// persistentState is the state of a relay that survives a restart: drain directives (draindirectives.go), a
// snapshot of the balancer (snapshot.go) and explanations of decisions (archive.go). It is stored on disk if a
// store directory is configured. If the store can't be used, the error is logged, the relay runs without it, and
// directives last until the relay exits.
//
// It implements console.Persistence. Exported methods are safe for concurrent use once the services run.
type persistentState struct {
	proxy   *proxy.Proxy
	relay   *relay
	archive *archive // nil: explanations are not saved

	changeMu     sync.Mutex // held while a directive is changed, passed on and committed; locked before mu
	resendNeeded bool       // the successor may have other directives; guarded by changeMu

	mu         sync.Mutex // guards the fields up to unsaved
	store      *store.Store
	storeErr   error                                 // why store is nil
	directives map[string]persistence.DrainDirective // in force, by endpoint name
	revision   uint64                                // of directives, see directiveState
	inSync     bool                                  // the predecessor has passed on all changes of its directives
	unsaved    map[string]bool                       // endpoints whose directives were changed here while no store was open

	settleOnce   sync.Once     // guards closing storeSettled
	storeSettled chan struct{} // closed once opening the store has succeeded, failed or taken too long
}

var (
	errNoStoreConfigured      = errors.New("no store directory is configured")
	errStoreHeldByPredecessor = errors.New("the store is still held by the previous process of this relay")
)

func newPersistentState(r *relay) *persistentState {
	return &persistentState{relay: r, directives: make(map[string]persistence.DrainDirective), unsaved: make(map[string]bool), storeSettled: make(chan struct{})}
}

// deferToPredecessor leaves the store closed while the predecessor holds it.
func (p *persistentState) deferToPredecessor() { p.storeErr = errStoreHeldByPredecessor }

// open opens the store, if one is configured. An error is logged, and Stats returns it from then on.
func (p *persistentState) open(settings config.Store) {
	if err := p.tryOpen(settings); err != nil {
		p.logOpenError(settings, err)
	}
}

func (p *persistentState) logOpenError(settings config.Store, err error) {
	p.relay.log.Error("failed to open store, running without it", "folder", settings.Dir, "error", err)
}

// tryOpen opens the store, if one is configured. Stats returns the error from then on.
func (p *persistentState) tryOpen(settings config.Store) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if settings.Dir == "" {
		p.storeErr = errNoStoreConfigured
		return nil
	}
	options := store.Options{Kinds: persistence.Kinds(), MaxBytes: int64(settings.MB) << 20, Log: p.relay.log}
	opened, report, err := store.Open(store.Dir(settings.Dir), options)
	if err != nil {
		p.storeErr = err
		return err
	}
	p.store, p.storeErr = opened, nil
	p.relay.log.Info("store opened", "folder", settings.Dir, "records", report.Records, "commits", report.Commits, "took", report.Duration)
	if tail := report.TornTail; tail != nil {
		p.relay.log.Warn("incomplete write at end of store file, uncommitted records lost", "file", tail.File, "byte", tail.Offset, "bytes", tail.Bytes)
	}
	return nil
}

// markOutOfSync records that the predecessor may have changed its directives without passing that on.
func (p *persistentState) markOutOfSync() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inSync = false
}

// run expires directives and saves snapshots periodically until ctx is cancelled. In a successor it opens the
// store once the predecessor has released it.
func (p *persistentState) run(ctx context.Context, settings config.Store) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	opening := &storeOpening{state: p, settings: settings}
	if settings.Dir == "" || p.relay.asSuccessor == nil {
		opening.done = true // nothing to wait for
		p.settleStore()
	}
	nextSnapshot := time.Now().Add(snapshotInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-opening.nextAttempt(p.relay.predecessorGone):
			opening.attempt(ctx)
		case now := <-ticker.C:
			p.expireDirectives(ctx, now)
			if now.After(nextSnapshot) {
				nextSnapshot = now.Add(snapshotInterval)
				p.saveSnapshot(ctx)
			}
		}
	}
}

// openBeforeServing opens the store of a predecessor that is lost before this process admits clients, so that its
// last directives are in force. It gives up soon: the predecessor may still run.
func (p *persistentState) openBeforeServing(ctx context.Context, settings config.Store) {
	if settings.Dir == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lostPredecessorWait)
	defer cancel()
	opening := &storeOpening{state: p, settings: settings}
	for !opening.done && ctx.Err() == nil {
		opening.attempt(ctx)
		sleep(ctx, storeRetryInterval)
	}
}

// settleStore closes storeSettled.
func (p *persistentState) settleStore() { p.settleOnce.Do(func() { close(p.storeSettled) }) }

func (p *persistentState) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store != nil
}

// close writes queued records and closes the store.
func (p *persistentState) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.relay.log.Error("failed to close store", "error", err)
		}
		p.store, p.storeErr = nil, store.ErrClosed
	}
}

// Stats returns the store's statistics, or the reason why no store is open.
func (p *persistentState) Stats() (store.Stats, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store == nil {
		return store.Stats{}, p.storeErr
	}
	return p.store.Stats(), nil
}

// instruments returns the store's metrics for telemetry.
func (p *persistentState) instruments() []proxy.Instrument {
	return []proxy.Instrument{
		{Name: "lockroad.store.failing", Description: "1 while nothing can be kept on disk", Read: p.failing},
		{Name: "lockroad.store.bytes", Description: "bytes of the store's files", Read: p.bytes},
		{Name: "lockroad.store.dropped", Description: "records that were not kept", Cumulative: true, Read: p.droppedRecords},
	}
}

func (p *persistentState) failing() int64 {
	if stats, err := p.Stats(); err != nil || stats.LastError != nil {
		return 1
	}
	return 0
}

func (p *persistentState) bytes() int64 {
	stats, _ := p.Stats()
	return stats.Bytes
}

func (p *persistentState) droppedRecords() (total int64) {
	stats, _ := p.Stats()
	for _, dropped := range stats.Dropped {
		total += int64(dropped)
	}
	return total
}
