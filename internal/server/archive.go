package server

import (
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/store"
)

// maxPendingExplanations bounds the requests whose explanations are still to be made.
const maxPendingExplanations = 512

// archive saves explanations of requests that have ended, which outlast the decision log and a restart. They are made by a
// goroutine of its own: nothing that a request does waits for their text or the disk.
//
// It is a request observer of the proxy, and the explainer's archive.
type archive struct {
	persistence *persistentState
	explainer   *explain.Explainer
	pending     chan uint64   // numbers of requests
	dropped     atomic.Uint64 // that found no room in pending
	done        chan struct{} // closed once run has returned
}

func newArchive(p *persistentState) *archive {
	return &archive{persistence: p, pending: make(chan uint64, maxPendingExplanations), done: make(chan struct{})}
}

// run makes and saves explanations until pending is closed.
func (a *archive) run() {
	defer close(a.done)
	for number := range a.pending {
		a.explainer.Save(number)
	}
}

// stop makes run save those that wait and return, and waits for it. Nothing may be enqueued from then on.
func (a *archive) stop() {
	close(a.pending)
	<-a.done
	if n := a.dropped.Load(); n > 0 {
		a.persistence.relay.log.Warn("explanations dropped, archive queue full", "count", n)
	}
}

// enqueue queues a request whose explanation is to be saved, or counts it as dropped. It never waits.
func (a *archive) enqueue(number uint64) {
	select {
	case a.pending <- number:
	default:
		a.dropped.Add(1)
	}
}

func (a *archive) table() *store.Table[explain.Explanation] {
	a.persistence.mu.Lock()
	defer a.persistence.mu.Unlock()
	return &store.Table[explain.Explanation]{Store: a.persistence.store, Kind: persistence.KindDecisions, Version: 1}
}

// Put saves an explanation.
func (a *archive) Put(key string, explanation *explain.Explanation) {
	a.table().Put(key, *explanation)
}

// Each calls do with each explanation that is saved, the youngest first, until it returns false.
func (a *archive) Each(do func(*explain.Explanation) bool) error {
	return a.table().Each(true, func(_ string, _ time.Time, explanation explain.Explanation) bool { return do(&explanation) })
}

// RequestStarted returns an observer that enqueues a request once it has ended.
func (a *archive) RequestStarted(number uint64, _ proxy.Request) proxy.RequestObserver {
	return archivedRequest{archive: a, number: number}
}

// archivedRequest is a request whose explanation may be saved. Only its end matters.
type archivedRequest struct {
	*archive
	number uint64
}

func (archivedRequest) Decided(*balancer.Decision) {}

func (archivedRequest) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}

func (archivedRequest) Established() {}

func (r archivedRequest) Ended(proxy.Result) { r.enqueue(r.number) }

// Pinned queues the explanation of a request that was pinned, as far as the request has come.
func (p *persistentState) Pinned(number uint64) {
	if p.archive != nil {
		p.archive.enqueue(number)
	}
}
