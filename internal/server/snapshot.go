package server

import (
	"context"
	"time"

	"lockroad/balancer"
	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

const (
	snapshotInterval = 5 * time.Second // between two that are saved
	snapshotTimeout  = time.Second     // for the turn in which the balancer takes one
	snapshotKey      = "now"           // the one that the table has
)

// savedSnapshot is a snapshot from before a restart.
type savedSnapshot struct {
	persistence.RelaySnapshot
	age    time.Duration
	usable bool // there is one, of this relay, and not too old
}

// snapshotTable has the latest snapshot, under one key.
func snapshotTable(s *store.Store) *store.Table[persistence.RelaySnapshot] {
	return &store.Table[persistence.RelaySnapshot]{Store: s, Kind: persistence.KindSnapshots, Version: 1}
}

// saveSnapshot saves what the balancer has learnt. One of a relay that isn't ready would replace a better one.
func (p *persistentState) saveSnapshot(ctx context.Context) {
	p.mu.Lock()
	opened := p.store
	p.mu.Unlock()
	if opened == nil || !p.relay.ready.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	learnt, err := p.proxy.Snapshot(ctx)
	if err != nil {
		return
	}
	snapshot := persistence.RelaySnapshot{
		Name:       p.relay.config.Name,
		Clock:      p.proxy.Clock.Now(),
		ClockStart: p.proxy.Clock.Start(),
		TakenAt:    time.Now(),
		Names:      make(map[balancer.EndpointID]string),
		Balancer:   learnt,
	}
	snapshot.List, snapshot.Agent = p.relay.watcher.List()
	for _, endpoint := range learnt.Endpoints {
		snapshot.Names[endpoint.ID] = p.proxy.Endpoints.Name(endpoint.ID)
	}
	snapshotTable(opened).Put(snapshotKey, snapshot)
}

// loadSnapshot returns the snapshot from before a restart, with what is too old discarded. It is called before the services
// run.
func (p *persistentState) loadSnapshot() savedSnapshot {
	snapshot, _, found, err := snapshotTable(p.store).Get(snapshotKey)
	if err != nil {
		p.relay.log.Warn("stored snapshot unreadable", "error", err)
	}
	saved := savedSnapshot{RelaySnapshot: snapshot}
	if found {
		saved.age, saved.usable = saved.DiscardStale(p.relay.config.Name, time.Now())
	}
	return saved
}
