package discovery

import (
	"maps"
	"slices"
	"time"

	"lockroad/balancer"
)

// propagationDelay is how long news may take from discovery to every agent.
const propagationDelay = 6 * time.Second

// phaseRecord is the last known phase of an endpoint, and since when it is known.
type phaseRecord struct {
	phase string
	since time.Time
}

// apply makes a list take effect, whole or not at all.
func (w *Watcher) apply(list List, kind balancer.ListKind) error {
	if kind == balancer.ListFull && len(list.Members) == 0 && len(w.Proxy.Endpoints.List()) > 0 {
		return errEmptyList // an agent that has lost its list would have every client rejected
	}
	heldBack := w.holdBack(&list)
	endpoints, addresses, err := w.endpoints(list.Members)
	if err != nil {
		return err
	}
	w.revision = list.Revision
	if w.RetainList {
		w.retain(list, kind)
	}
	w.failures = 0
	w.Proxy.SetRevision(list.Revision)
	w.Proxy.UpdateEndpoints(kind, endpoints, addresses)
	w.recordPhases(list, kind, heldBack)
	if heldBack {
		w.Proxy.Log.Warn("older endpoint list partly held back", "revision", list.Revision, "newest", w.newestRevision)
		w.scheduleResync()
	}
	return nil
}

// endpoints converts members to the balancer's form, with their addresses in
// the same order.
func (w *Watcher) endpoints(members []Member) ([]balancer.Endpoint, []string, error) {
	endpoints := make([]balancer.Endpoint, 0, len(members))
	addresses := make([]string, 0, len(members))
	for i := range members {
		member := &members[i]
		state, err := member.state()
		if err != nil {
			return nil, nil, err
		}
		endpoints = append(endpoints, balancer.Endpoint{
			ID: w.Proxy.Endpoints.ID(member.ID), State: state, Zone: w.ZoneNumber(member.Locality),
			Cell: member.Cell, Size: member.Size, StartedAt: w.Proxy.Clock.AtUnixMilli(member.UpSince),
		})
		addresses = append(addresses, member.HostPort)
	}
	return endpoints, addresses, nil
}

// retain updates the list that List returns.
func (w *Watcher) retain(list List, kind balancer.ListKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == balancer.ListDelta {
		w.retained.merge(list)
		return
	}
	w.retained = list
	w.retained.Members = slices.Clone(list.Members)
}

// holdBack keeps endpoints that are known as draining or gone in that phase
// where an older list has them ready: its agent, as one that the watcher has
// just moved to, has not heard the newer news yet. An endpoint that has started
// since is not held back. It reports whether any endpoint was.
func (w *Watcher) holdBack(list *List) (heldBack bool) {
	if list.Revision >= w.newestRevision {
		return false
	}
	for i, member := range list.Members {
		last, known := w.lastPhases[member.ID]
		if !known || last.phase == phaseReady || member.Phase != phaseReady {
			continue
		}
		if time.Since(last.since) >= propagationDelay || member.UpSince > last.since.UnixMilli() {
			continue
		}
		if !heldBack {
			heldBack, list.Members = true, slices.Clone(list.Members) // the caller's list stays as it is
		}
		list.Members[i].Phase = last.phase
	}
	return heldBack
}

// recordPhases records the phases of a list that took effect. An older list
// that endpoints were held back from does not lower the newest revision.
func (w *Watcher) recordPhases(list List, kind balancer.ListKind, heldBack bool) {
	now := time.Now()
	if w.lastPhases == nil {
		w.lastPhases = make(map[string]phaseRecord)
	}
	w.newestRevision = max(w.newestRevision, list.Revision)
	if kind != balancer.ListDelta {
		if !heldBack {
			w.newestRevision = list.Revision
		}
		w.recordMissingAsGone(list, now)
	}
	for _, member := range list.Members {
		w.recordPhase(member.ID, member.Phase, now)
	}
	w.sweepPhases(now)
}

// recordPhase records an endpoint's phase; since stays where it is unchanged.
func (w *Watcher) recordPhase(id, phase string, now time.Time) {
	if w.lastPhases[id].phase != phase {
		w.lastPhases[id] = phaseRecord{phase, now}
	}
}

// recordMissingAsGone records endpoints that a full list does not name as gone.
func (w *Watcher) recordMissingAsGone(list List, now time.Time) {
	named := make(map[string]bool, len(list.Members))
	for _, member := range list.Members {
		named[member.ID] = true
	}
	for id := range w.lastPhases {
		if !named[id] {
			w.recordPhase(id, phaseGone, now)
		}
	}
}

// sweepPhases forgets endpoints that every agent knows as gone by now, once in
// a while.
func (w *Watcher) sweepPhases(now time.Time) {
	if now.Sub(w.lastSweep) < propagationDelay {
		return
	}
	w.lastSweep = now
	maps.DeleteFunc(w.lastPhases, func(_ string, last phaseRecord) bool {
		return last.phase == phaseGone && now.Sub(last.since) >= propagationDelay
	})
}

// scheduleResync requests the full list again after propagationDelay, once
// however often it is called until then: what an agent says when it must have
// heard everything is true.
func (w *Watcher) scheduleResync() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resyncScheduled {
		return
	}
	w.resyncScheduled = true
	time.AfterFunc(propagationDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.resyncScheduled, w.needsFullList = false, true
		if w.cancelWatch != nil {
			w.cancelWatch()
		}
	})
}
