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

// persistentState is what of a relay outlasts a restart: drain directives (draindirectives.go), a snapshot of what the balancer
// has learnt (snapshot.go) and explanations of decisions (archive.go). It is kept on disk where an operator names a folder.
// Whatever is wrong with the folder or the disk, the relay runs on without, and says so: directives then hold until it ends.
//
// It is the console's Persistence. Exported methods may be called by any goroutine once the services run.
type persistentState struct {
	proxy   *proxy.Proxy
	relay   *relay
	archive *archive // nil: no decisions are saved

	mu         sync.Mutex // guards what follows, and holds while a directive is committed: one comes after another
	store      *store.Store
	storeErr   error                                 // why there is no store
	directives map[string]persistence.DrainDirective // in force, by endpoint

	storeSettled chan struct{} // closed once the store is open, or is known not to be
}

var (
	errNoStoreConfigured      = errors.New("the operator's file names no store")
	errStoreHeldByPredecessor = errors.New("the old process has the store still")
)

func newPersistentState(r *relay) *persistentState {
	return &persistentState{relay: r, directives: make(map[string]persistence.DrainDirective), storeSettled: make(chan struct{})}
}

// deferToPredecessor leaves the store to the predecessor, until that is gone.
func (p *persistentState) deferToPredecessor() { p.storeErr = errStoreHeldByPredecessor }

// open opens the store, if one is configured. An error is logged, and is what Stats returns from then on.
func (p *persistentState) open(settings config.Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if settings.Dir == "" {
		p.storeErr = errNoStoreConfigured
		return
	}
	options := store.Options{Kinds: persistence.Kinds(), Bytes: int64(settings.MB) << 20, Log: p.relay.log}
	opened, report, err := store.Open(store.Dir(settings.Dir), options)
	if err != nil {
		p.storeErr = err
		p.relay.log.Error("store unavailable, running without it", "folder", settings.Dir, "error", err)
		return
	}
	p.store, p.storeErr = opened, nil
	p.relay.log.Info("store opened", "folder", settings.Dir, "records", report.Records, "commits", report.Commits, "took", report.Duration)
	if tail := report.TornTail; tail != nil {
		p.relay.log.Warn("store tail torn by a crash, uncommitted records lost", "file", tail.File, "byte", tail.Offset, "bytes", tail.Bytes)
	}
}

// run lets directives expire and saves snapshots, until ctx ends. In a successor it opens the store once the predecessor has
// let go of it.
func (p *persistentState) run(ctx context.Context, settings config.Store) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	predecessorGone := p.relay.predecessorGone
	if settings.Dir == "" || p.relay.asSuccessor == nil {
		predecessorGone = nil // nothing to wait for
		close(p.storeSettled)
	}
	nextSnapshot := time.Now().Add(snapshotInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-predecessorGone:
			predecessorGone = nil
			p.openAfterPredecessor(ctx, settings)
			p.reconcileDirectives()
			close(p.storeSettled)
		case now := <-ticker.C:
			p.expireDirectives(ctx, now)
			if now.After(nextSnapshot) {
				nextSnapshot = now.Add(snapshotInterval)
				p.saveSnapshot(ctx)
			}
		}
	}
}

// openAfterPredecessor opens the store that a predecessor has just let go of, or is about to. It waits for that
// predecessorExitTimeout at the most.
func (p *persistentState) openAfterPredecessor(ctx context.Context, settings config.Store) {
	retryUntilReleased(ctx, func() bool {
		lock, err := store.Dir(settings.Dir).Lock()
		if err == nil {
			_ = lock.Close()
		}
		return !errors.Is(err, store.ErrLocked)
	})
	p.open(settings)
}

// close writes what is left and lets go of the store.
func (p *persistentState) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.relay.log.Error("store close failed", "error", err)
		}
		p.store, p.storeErr = nil, store.ErrClosed
	}
}

// Stats returns the store's; the error says why there is none.
func (p *persistentState) Stats() (store.Stats, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store == nil {
		return store.Stats{}, p.storeErr
	}
	return p.store.Stats(), nil
}

// instruments are what telemetry exports of the store.
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
