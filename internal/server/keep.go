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
	learntEvery = 5 * time.Second
	orderMost   = 3 * time.Second // that a console waits for the disk
)

// keeper keeps what a relay is to keep. One without a store keeps orders until the relay ends.
type keeper struct {
	core  *proxy.Proxy
	r     *relay
	shelf *shelf // nil: no decisions are kept

	mu     sync.Mutex // of what follows, and so that orders come one after another
	store  *store.Store
	off    error // why there is no store; nil: none is wanted
	orders map[string]persistence.DrainDirective

	settled chan struct{} // closed once the store is open, or is known not to be
}

var (
	errNoStore = errors.New("the operator's file names no store")
	errNotYet  = errors.New("the old process has the store still")
)

func newKeeper(r *relay) *keeper {
	return &keeper{r: r, orders: make(map[string]persistence.DrainDirective), settled: make(chan struct{})}
}

// wait leaves the store to the old process, until it is gone.
func (k *keeper) wait() { k.off = errNotYet }

// open opens the store, if one is wanted and it is not the old process's still.
func (k *keeper) open(o config.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Dir == "" {
		k.off = errNoStore
		return
	}
	s, report, err := store.Open(store.Dir(o.Dir), store.Options{Kinds: persistence.Kinds(), Bytes: int64(o.MB) << 20, Log: k.r.log})
	if err != nil {
		k.off = err
		k.r.log.Error("nothing is kept: the relay runs on without its store", "folder", o.Dir, "error", err)
		return
	}
	k.store, k.off = s, nil
	k.r.log.Info("what is kept was read", "folder", o.Dir, "records", report.Records, "commits", report.Commits, "took", report.Duration)
	if t := report.TornTail; t != nil {
		k.r.log.Warn("the store's end was torn by a crash: what was not committed is gone", "file", t.File, "byte", t.Offset, "bytes", t.Bytes)
	}
}

func (k *keeper) table() *store.Table[persistence.DrainDirective] {
	return &store.Table[persistence.DrainDirective]{Store: k.store, Kind: persistence.KindDrainDirectives, Version: 1}
}

// learnt is where what the module has learnt is kept, under one key.
func learnt(s *store.Store) *store.Table[persistence.RelaySnapshot] {
	return &store.Table[persistence.RelaySnapshot]{Store: s, Kind: persistence.KindSnapshots, Version: 1}
}

const learntKey = "now"

// recall puts the orders in force that were kept, and those of the old process.
func (k *keeper) recall(handed []persistence.DrainDirective) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.enforce(append(k.read(), handed...))
}

// read returns the orders that are kept.
func (k *keeper) read() (all []persistence.DrainDirective) {
	if err := k.table().Each(false, func(_ string, _ time.Time, o persistence.DrainDirective) bool { all = append(all, o); return true }); err != nil {
		k.r.log.Error("an order that was kept can't be read", "error", err)
	}
	return all
}

// renew goes by the store that the old process has let go of: it took orders and let go of them after it had
// handed over those that it had.
func (k *keeper) renew() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return // what was handed over is all there is to go by
	}
	kept := k.read()
	for server := range k.orders {
		if !slices.ContainsFunc(kept, func(o persistence.DrainDirective) bool { return o.Endpoint == server }) {
			delete(k.orders, server)
			k.core.SetDrain(server, false)
		}
	}
	k.enforce(kept)
}

// enforce puts orders in force that are not yet.
func (k *keeper) enforce(all []persistence.DrainDirective) {
	for _, o := range all {
		if _, there := k.orders[o.Endpoint]; there || o.Expired(time.Now()) {
			continue
		}
		k.orders[o.Endpoint] = o
		k.core.SetDrain(o.Endpoint, true)
		k.r.log.Info("a server drains as ordered", "server", o.Endpoint, "who", o.By, "since", o.Since, "why", o.Reason)
	}
}

// Drain has a server drain. kept says why the order does not outlast a restart; was is the order that it replaces.
func (k *keeper) Drain(ctx context.Context, o persistence.DrainDirective) (was *persistence.DrainDirective, kept, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.core.Endpoints.Lookup(o.Endpoint); !known {
		return nil, nil, fmt.Errorf("no server %q is listed; farm names them", o.Endpoint)
	}
	if old, there := k.orders[o.Endpoint]; there {
		was = &old
	}
	k.orders[o.Endpoint] = o
	k.core.SetDrain(o.Endpoint, true) // at once, whatever the disk does
	k.r.log.Warn("a server is ordered to drain", "server", o.Endpoint, "who", o.By, "until", o.Until, "why", o.Reason)
	return was, k.kept(ctx, func(ctx context.Context) error { return k.table().Commit(ctx, o.Endpoint, o) }), nil
}

// Undrain withdraws an order. It returns the one that was in force.
func (k *keeper) Undrain(ctx context.Context, server, who string) (was persistence.DrainDirective, kept, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was, there := k.orders[server]
	if !there {
		return was, nil, fmt.Errorf("no order has %q drain; orders lists those in force", server)
	}
	k.r.log.Warn("an order to drain is withdrawn", "server", server, "who", who)
	return was, k.withdraw(ctx, server), nil
}

func (k *keeper) withdraw(ctx context.Context, server string) (kept error) {
	delete(k.orders, server)
	k.core.SetDrain(server, false)
	return k.kept(ctx, func(ctx context.Context) error { return k.table().Remove(ctx, server) })
}

func (k *keeper) kept(ctx context.Context, commit func(context.Context) error) error {
	if k.store == nil {
		return k.off
	}
	ctx, cancel := context.WithTimeout(ctx, orderMost)
	defer cancel()
	return commit(ctx)
}

// DrainDirectives are those in force, by server.
func (k *keeper) DrainDirectives() []persistence.DrainDirective {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []persistence.DrainDirective
	for _, o := range k.orders {
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y persistence.DrainDirective) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// shelf is where accounts of decisions are kept. They are made by a goroutine of its own: nothing
// that a transaction does waits for words or the disk.
type shelf struct {
	k       *keeper
	teller  *explain.Explainer
	numbers chan uint64
	missed  atomic.Uint64 // that found no room
	done    chan struct{}
}

// numbersMost bounds the transactions whose accounts are still to be made.
const numbersMost = 512

func newShelf(k *keeper) *shelf {
	return &shelf{k: k, numbers: make(chan uint64, numbersMost), done: make(chan struct{})}
}

// run makes accounts until there are no more numbers.
func (s *shelf) run() {
	defer close(s.done)
	for n := range s.numbers {
		s.teller.Save(n)
	}
}

// stop makes those that wait, and ends.
func (s *shelf) stop() {
	close(s.numbers)
	<-s.done
	if n := s.missed.Load(); n > 0 {
		s.k.r.log.Warn("accounts of decisions were not kept for lack of room", "count", n)
	}
}

func (s *shelf) keep(number uint64) {
	select {
	case s.numbers <- number:
	default:
		s.missed.Add(1)
	}
}

func (s *shelf) table() *store.Table[explain.Explanation] {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	return &store.Table[explain.Explanation]{Store: s.k.store, Kind: persistence.KindDecisions, Version: 1}
}

// Put keeps an account.
func (s *shelf) Put(key string, a *explain.Explanation) { s.table().Put(key, *a) }

// Each calls do with the accounts that are kept, the youngest first.
func (s *shelf) Each(do func(*explain.Explanation) bool) error {
	return s.table().Each(true, func(_ string, _ time.Time, a explain.Explanation) bool { return do(&a) })
}

// Began has the account of a transaction kept once it has ended.
func (s *shelf) Began(number uint64, _ proxy.Request) proxy.RequestObserver {
	return shelved{s, number}
}

// shelved is a transaction whose account may be kept. Only its end matters.
type shelved struct {
	*shelf
	number uint64
}

func (shelved) Decided(*balancer.Decision) {}
func (shelved) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}
func (shelved) Established()         {}
func (s shelved) Ended(proxy.Result) { s.keep(s.number) }

// Pinned keeps the account of a transaction that was pinned, as far as it has come.
func (k *keeper) Pinned(number uint64) {
	if k.shelf != nil {
		k.shelf.keep(number)
	}
}

// Stats tells of the store; the error says why there is none.
func (k *keeper) Stats() (store.Stats, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return store.Stats{}, k.off
	}
	return k.store.Stats(), nil
}

// run lets orders expire and keeps what is learnt, until ctx ends. A process that has taken over
// opens the store once the old one has let go of it.
func (k *keeper) run(ctx context.Context, o config.Store) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	late := o.Dir != "" && k.r.guest != nil
	orphan := k.r.orphan
	if !late {
		orphan = nil
		close(k.settled)
	}
	due := time.Now().Add(learntEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-orphan:
			orphan = nil
			k.openLate(ctx, o)
			k.renew()
			close(k.settled)
		case now := <-tick.C:
			k.expire(ctx, now)
			if now.After(due) {
				due = now.Add(learntEvery)
				k.learn(ctx)
			}
		}
	}
}

// openLate opens the store that an old process has just let go of, or is about to.
func (k *keeper) openLate(ctx context.Context, o config.Store) {
	letGo(ctx, func() bool {
		lock, err := store.Dir(o.Dir).Lock()
		if err == nil {
			_ = lock.Close()
		}
		return !errors.Is(err, store.ErrLocked)
	})
	k.open(o)
}

func (k *keeper) expire(ctx context.Context, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for server, o := range k.orders {
		if o.Expired(now) {
			k.r.log.Info("an order to drain has expired", "server", server, "who", o.By)
			if err := k.withdraw(ctx, server); err != nil && k.store != nil {
				k.r.log.Error("an order that has expired is still kept", "server", server, "error", err)
			}
		}
	}
}

// learn keeps what the module has learnt.
func (k *keeper) learn(ctx context.Context) {
	k.mu.Lock()
	s := k.store
	k.mu.Unlock()
	if s == nil || !k.r.takes.Load() {
		return
	}
	asking, cancel := context.WithTimeout(ctx, recollectWait)
	defer cancel()
	m, err := k.core.Snapshot(asking)
	if err != nil {
		return
	}
	known := persistence.RelaySnapshot{Name: k.r.config.Name, Clock: k.core.Clock.Now(), ClockStart: k.core.Clock.Start(), TakenAt: time.Now(), Names: make(map[balancer.EndpointID]string), Balancer: m}
	known.List, known.Agent = k.r.watcher.List()
	for _, one := range m.Endpoints {
		known.Names[one.ID] = k.core.Endpoints.Name(one.ID)
	}
	learnt(s).Put(learntKey, known)
}

// known returns what was learnt before a restart, if it is young enough.
func (k *keeper) known() (persistence.RelaySnapshot, time.Duration, bool) {
	known, _, ok, err := learnt(k.store).Get(learntKey)
	if err != nil {
		k.r.log.Warn("what was learnt before can't be read", "error", err)
	}
	if !ok {
		return known, 0, false
	}
	age, ok := known.DiscardStale(k.r.config.Name, time.Now())
	return known, age, ok
}

// readings are what telemetry tells of the store.
func (k *keeper) readings() []proxy.Instrument {
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
func (k *keeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store != nil {
		if err := k.store.Close(); err != nil {
			k.r.log.Error("the last was not kept", "error", err)
		}
		k.store, k.off = nil, store.ErrClosed
	}
}
