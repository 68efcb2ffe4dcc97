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

// maxPendingExplanations bounds the queue of requests whose explanations are to be saved.
const maxPendingExplanations = 512

// archive saves explanations of ended requests, so that they outlive the decision log and a restart. A separate
// goroutine builds and saves them, so that requests wait for neither.
//
// It is an observer of the proxy and the archive of the explainer.
type archive struct {
	persistence *persistentState
	explainer   *explain.Explainer
	pending     chan uint64   // numbers of the requests to save
	dropped     atomic.Uint64 // requests dropped because pending was full
	done        chan struct{} // closed once run has returned
}

func newArchive(p *persistentState) *archive {
	return &archive{persistence: p, pending: make(chan uint64, maxPendingExplanations), done: make(chan struct{})}
}

// run saves explanations until pending is closed.
func (a *archive) run() {
	defer close(a.done)
	for number := range a.pending {
		a.explainer.Save(number)
	}
}

// stop waits until run has saved all queued explanations. enqueue must not be called afterwards.
func (a *archive) stop() {
	close(a.pending)
	<-a.done
	if n := a.dropped.Load(); n > 0 {
		a.persistence.relay.log.Warn("explanations dropped, archive queue full", "count", n)
	}
}

// enqueue queues a request for saving, or drops it and counts it if the queue is full. It never blocks.
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

// Each calls visit with each saved explanation, newest first, until visit returns false.
func (a *archive) Each(visit func(*explain.Explanation) bool) error {
	return a.table().Each(true, func(_ string, _ time.Time, explanation explain.Explanation) bool { return visit(&explanation) })
}

// RequestStarted returns an observer that enqueues the request when it ends.
func (a *archive) RequestStarted(number uint64, _ proxy.Request) proxy.RequestObserver {
	return archivedRequest{archive: a, number: number}
}

// archivedRequest observes one request and enqueues it when it ends. It ignores all other events.
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

// ArchivePinned enqueues a request that was pinned. Its explanation covers the request's decisions so far.
func (p *persistentState) ArchivePinned(number uint64) {
	if p.archive != nil {
		p.archive.enqueue(number)
	}
}
