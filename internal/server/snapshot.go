package server

import (
	"context"
	"time"

	"lockroad/balancer"
	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

const (
	snapshotInterval = 5 * time.Second // between saved snapshots
	snapshotTimeout  = time.Second     // for the balancer to take a snapshot
	snapshotKey      = "now"           // the only key in the table
)

// savedSnapshot is a snapshot that was stored before a restart.
type savedSnapshot struct {
	persistence.RelaySnapshot
	age    time.Duration
	usable bool // it exists, belongs to this relay and is recent enough
}

// snapshotTable returns the table that holds the latest snapshot under snapshotKey.
func snapshotTable(s *store.Store) *store.Table[persistence.RelaySnapshot] {
	return &store.Table[persistence.RelaySnapshot]{Store: s, Kind: persistence.KindSnapshots, Version: 1}
}

// saveSnapshot stores a snapshot of the balancer. It does nothing while the relay isn't ready, so as not to
// replace a better snapshot.
func (p *persistentState) saveSnapshot(ctx context.Context) {
	p.mu.Lock()
	opened := p.store
	p.mu.Unlock()
	if opened == nil || !p.relay.ready.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	balancerSnapshot, err := p.proxy.Snapshot(ctx)
	if err != nil {
		return
	}
	snapshot := persistence.RelaySnapshot{
		Name:       p.relay.config.Name,
		Clock:      p.proxy.Clock.Now(),
		ClockStart: p.proxy.Clock.Start(),
		TakenAt:    time.Now(),
		Names:      make(map[balancer.EndpointID]string),
		Balancer:   balancerSnapshot,
	}
	snapshot.List, snapshot.Agent = p.relay.watcher.List()
	for _, endpoint := range balancerSnapshot.Endpoints {
		snapshot.Names[endpoint.ID] = p.proxy.Endpoints.Name(endpoint.ID)
	}
	snapshotTable(opened).Put(snapshotKey, snapshot)
}

// loadSnapshot reads the stored snapshot and discards stale parts of it. It is called before the services run.
func (p *persistentState) loadSnapshot() savedSnapshot {
	snapshot, _, found, err := snapshotTable(p.store).Get(snapshotKey)
	if err != nil {
		p.relay.log.Warn("failed to read stored snapshot", "error", err)
	}
	saved := savedSnapshot{RelaySnapshot: snapshot}
	if found {
		saved.age, saved.usable = saved.DiscardStale(p.relay.config.Name, time.Now())
	}
	return saved
}
