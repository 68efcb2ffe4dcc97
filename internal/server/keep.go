package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/config"
	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/store"
)

// This file has a relay keep on disk what must outlast a restart, where an operator names a folder. Whatever is
// wrong with the folder or the disk, the relay runs on without, and says so.

const (
	snapshotInterval       = 5 * time.Second
	directiveCommitTimeout = 3 * time.Second // that a console waits for the disk
)

// persistentState keeps what a relay is to keep. One without a store keeps orders until the relay ends.
type persistentState struct {
	proxy   *proxy.Proxy
	relay   *relay
	archive *archive // nil: no decisions are kept

	mu         sync.Mutex // of what follows, and so that orders come one after another
	store      *store.Store
	storeErr   error // why there is no store; nil: none is wanted
	directives map[string]persistence.DrainDirective

	storeSettled chan struct{} // closed once the store is open, or is known not to be
}

var (
	errNoStoreConfigured      = errors.New("the operator's file names no store")
	errStoreHeldByPredecessor = errors.New("the old process has the store still")
)

func newPersistentState(r *relay) *persistentState {
	return &persistentState{relay: r, directives: make(map[string]persistence.DrainDirective), storeSettled: make(chan struct{})}
}

// deferToPredecessor leaves the store to the old process, until it is gone.
func (k *persistentState) deferToPredecessor() { k.storeErr = errStoreHeldByPredecessor }

// open opens the store, if one is wanted and it is not the old process's still.
func (k *persistentState) open(o config.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Dir == "" {
		k.storeErr = errNoStoreConfigured
		return
	}
	s, report, err := store.Open(store.Dir(o.Dir), store.Options{Kinds: persistence.Kinds(), Bytes: int64(o.MB) << 20, Log: k.relay.log})
	if err != nil {
		k.storeErr = err
		k.relay.log.Error("nothing is kept: the relay runs on without its store", "folder", o.Dir, "error", err)
		return
	}
	k.store, k.storeErr = s, nil
	k.relay.log.Info("what is kept was read", "folder", o.Dir, "records", report.Records, "commits", report.Commits, "took", report.Duration)
	if t := report.TornTail; t != nil {
		k.relay.log.Warn("the store's end was torn by a crash: what was not committed is gone", "file", t.File, "byte", t.Offset, "bytes", t.Bytes)
	}
}

func (k *persistentState) directiveTable() *store.Table[persistence.DrainDirective] {
	return &store.Table[persistence.DrainDirective]{Store: k.store, Kind: persistence.KindDrainDirectives, Version: 1}
}

// snapshotTable is where what the module has learnt is kept, under one key.
func snapshotTable(s *store.Store) *store.Table[persistence.RelaySnapshot] {
	return &store.Table[persistence.RelaySnapshot]{Store: s, Kind: persistence.KindSnapshots, Version: 1}
}

const snapshotKey = "now"

// restoreDirectives puts the orders in force that were kept, and those of the old process.
func (k *persistentState) restoreDirectives(handed []persistence.DrainDirective) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDirectives(append(k.readDirectives(), handed...))
}

// readDirectives returns the orders that are kept.
func (k *persistentState) readDirectives() (all []persistence.DrainDirective) {
	if err := k.directiveTable().Each(false, func(_ string, _ time.Time, o persistence.DrainDirective) bool { all = append(all, o); return true }); err != nil {
		k.relay.log.Error("an order that was kept can't be read", "error", err)
	}
	return all
}

// reconcileDirectives goes by the store that the old process has let go of: it took orders and let go of them after it had
// handed over those that it had.
func (k *persistentState) reconcileDirectives() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return // what was handed over is all there is to go by
	}
	kept := k.readDirectives()
	for server := range k.directives {
		if !slices.ContainsFunc(kept, func(o persistence.DrainDirective) bool { return o.Endpoint == server }) {
			delete(k.directives, server)
			k.proxy.SetDrain(server, false)
		}
	}
	k.applyDirectives(kept)
}

// applyDirectives puts orders in force that are not yet.
func (k *persistentState) applyDirectives(all []persistence.DrainDirective) {
	for _, o := range all {
		if _, there := k.directives[o.Endpoint]; there || o.Expired(time.Now()) {
			continue
		}
		k.directives[o.Endpoint] = o
		k.proxy.SetDrain(o.Endpoint, true)
		k.relay.log.Info("a server drains as ordered", "server", o.Endpoint, "who", o.By, "since", o.Since, "why", o.Reason)
	}
}

// Drain has a server drain. kept says why the order does not outlast a restart; was is the order that it replaces.
func (k *persistentState) Drain(ctx context.Context, o persistence.DrainDirective) (was *persistence.DrainDirective, kept, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.proxy.Endpoints.Lookup(o.Endpoint); !known {
		return nil, nil, fmt.Errorf("no server %q is listed; farm names them", o.Endpoint)
	}
	if old, there := k.directives[o.Endpoint]; there {
		was = &old
	}
	k.directives[o.Endpoint] = o
	k.proxy.SetDrain(o.Endpoint, true) // at once, whatever the disk does
	k.relay.log.Warn("a server is ordered to drain", "server", o.Endpoint, "who", o.By, "until", o.Until, "why", o.Reason)
	return was, k.commit(ctx, func(ctx context.Context) error { return k.directiveTable().Commit(ctx, o.Endpoint, o) }), nil
}

// Undrain withdraws an order. It returns the one that was in force.
func (k *persistentState) Undrain(ctx context.Context, server, who string) (was persistence.DrainDirective, kept, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was, there := k.directives[server]
	if !there {
		return was, nil, fmt.Errorf("no order has %q drain; orders lists those in force", server)
	}
	k.relay.log.Warn("an order to drain is withdrawn", "server", server, "who", who)
	return was, k.removeDirective(ctx, server), nil
}

func (k *persistentState) removeDirective(ctx context.Context, server string) (kept error) {
	delete(k.directives, server)
	k.proxy.SetDrain(server, false)
	return k.commit(ctx, func(ctx context.Context) error { return k.directiveTable().Remove(ctx, server) })
}

func (k *persistentState) commit(ctx context.Context, commit func(context.Context) error) error {
	if k.store == nil {
		return k.storeErr
	}
	ctx, cancel := context.WithTimeout(ctx, directiveCommitTimeout)
	defer cancel()
	return commit(ctx)
}

// DrainDirectives are those in force, by server.
func (k *persistentState) DrainDirectives() []persistence.DrainDirective {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []persistence.DrainDirective
	for _, o := range k.directives {
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y persistence.DrainDirective) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// archive is where accounts of decisions are kept. They are made by a goroutine of its own: nothing
// that a transaction does waits for words or the disk.
type archive struct {
	persistence *persistentState
	explainer   *explain.Explainer
	pending     chan uint64
	dropped     atomic.Uint64 // that found no room
	done        chan struct{}
}

// maxPendingExplanations bounds the transactions whose accounts are still to be made.
const maxPendingExplanations = 512

func newArchive(k *persistentState) *archive {
	return &archive{persistence: k, pending: make(chan uint64, maxPendingExplanations), done: make(chan struct{})}
}

// run makes accounts until there are no more numbers.
func (s *archive) run() {
	defer close(s.done)
	for n := range s.pending {
		s.explainer.Save(n)
	}
}

// stop makes those that wait, and ends.
func (s *archive) stop() {
	close(s.pending)
	<-s.done
	if n := s.dropped.Load(); n > 0 {
		s.persistence.relay.log.Warn("accounts of decisions were not kept for lack of room", "count", n)
	}
}

func (s *archive) enqueue(number uint64) {
	select {
	case s.pending <- number:
	default:
		s.dropped.Add(1)
	}
}

func (s *archive) table() *store.Table[explain.Explanation] {
	s.persistence.mu.Lock()
	defer s.persistence.mu.Unlock()
	return &store.Table[explain.Explanation]{Store: s.persistence.store, Kind: persistence.KindDecisions, Version: 1}
}

// Put keeps an account.
func (s *archive) Put(key string, a *explain.Explanation) { s.table().Put(key, *a) }

// Each calls do with the accounts that are kept, the youngest first.
func (s *archive) Each(do func(*explain.Explanation) bool) error {
	return s.table().Each(true, func(_ string, _ time.Time, a explain.Explanation) bool { return do(&a) })
}

// Began has the account of a transaction kept once it has ended.
func (s *archive) Began(number uint64, _ proxy.Request) proxy.RequestObserver {
	return archivedRequest{s, number}
}

// archivedRequest is a transaction whose account may be kept. Only its end matters.
type archivedRequest struct {
	*archive
	number uint64
}

func (archivedRequest) Decided(*balancer.Decision) {}
func (archivedRequest) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}
func (archivedRequest) Established()         {}
func (s archivedRequest) Ended(proxy.Result) { s.enqueue(s.number) }

// Pinned keeps the account of a transaction that was pinned, as far as it has come.
func (k *persistentState) Pinned(number uint64) {
	if k.archive != nil {
		k.archive.enqueue(number)
	}
}

// Stats tells of the store; the error says why there is none.
func (k *persistentState) Stats() (store.Stats, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return store.Stats{}, k.storeErr
	}
	return k.store.Stats(), nil
}

// run lets orders expire and keeps what is learnt, until ctx ends. A process that has taken over
// opens the store once the old one has let go of it.
func (k *persistentState) run(ctx context.Context, o config.Store) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	late := o.Dir != "" && k.relay.asSuccessor != nil
	orphan := k.relay.predecessorGone
	if !late {
		orphan = nil
		close(k.storeSettled)
	}
	due := time.Now().Add(snapshotInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-orphan:
			orphan = nil
			k.openAfterPredecessor(ctx, o)
			k.reconcileDirectives()
			close(k.storeSettled)
		case now := <-tick.C:
			k.expireDirectives(ctx, now)
			if now.After(due) {
				due = now.Add(snapshotInterval)
				k.saveSnapshot(ctx)
			}
		}
	}
}

// openAfterPredecessor opens the store that an old process has just let go of, or is about to.
func (k *persistentState) openAfterPredecessor(ctx context.Context, o config.Store) {
	retryUntilReleased(ctx, func() bool {
		lock, err := store.Dir(o.Dir).Lock()
		if err == nil {
			_ = lock.Close()
		}
		return !errors.Is(err, store.ErrLocked)
	})
	k.open(o)
}

func (k *persistentState) expireDirectives(ctx context.Context, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for server, o := range k.directives {
		if o.Expired(now) {
			k.relay.log.Info("an order to drain has expired", "server", server, "who", o.By)
			if err := k.removeDirective(ctx, server); err != nil && k.store != nil {
				k.relay.log.Error("an order that has expired is still kept", "server", server, "error", err)
			}
		}
	}
}

// saveSnapshot keeps what the module has learnt.
func (k *persistentState) saveSnapshot(ctx context.Context) {
	k.mu.Lock()
	s := k.store
	k.mu.Unlock()
	if s == nil || !k.relay.ready.Load() {
		return
	}
	asking, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	m, err := k.proxy.Snapshot(asking)
	if err != nil {
		return
	}
	known := persistence.RelaySnapshot{Name: k.relay.config.Name, Clock: k.proxy.Clock.Now(), ClockStart: k.proxy.Clock.Start(), TakenAt: time.Now(), Names: make(map[balancer.EndpointID]string), Balancer: m}
	known.List, known.Agent = k.relay.watcher.List()
	for _, one := range m.Endpoints {
		known.Names[one.ID] = k.proxy.Endpoints.Name(one.ID)
	}
	snapshotTable(s).Put(snapshotKey, known)
}

// loadSnapshot returns what was learnt before a restart, if it is young enough.
func (k *persistentState) loadSnapshot() (persistence.RelaySnapshot, time.Duration, bool) {
	known, _, ok, err := snapshotTable(k.store).Get(snapshotKey)
	if err != nil {
		k.relay.log.Warn("what was learnt before can't be read", "error", err)
	}
	if !ok {
		return known, 0, false
	}
	age, ok := known.DiscardStale(k.relay.config.Name, time.Now())
	return known, age, ok
}

// instruments are what telemetry tells of the store.
func (k *persistentState) instruments() []proxy.Instrument {
	return []proxy.Instrument{
		{Name: "lockroad.store.failing", Description: "1 while nothing can be kept on disk", Read: func() int64 {
			if s, err := k.Stats(); err != nil || s.LastError != nil {
				return 1
			}
			return 0
		}},
		{Name: "lockroad.store.bytes", Description: "bytes of the store's files", Read: func() int64 { s, _ := k.Stats(); return s.Bytes }},
		{Name: "lockroad.store.dropped", Description: "records that were not kept", Cumulative: true, Read: func() (n int64) {
			s, _ := k.Stats()
			for _, of := range s.Dropped {
				n += int64(of)
			}
			return n
		}},
	}
}

// close keeps the last, and lets go of the store.
func (k *persistentState) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store != nil {
		if err := k.store.Close(); err != nil {
			k.relay.log.Error("the last was not kept", "error", err)
		}
		k.store, k.storeErr = nil, store.ErrClosed
	}
}
