package discovery

import (
	"maps"
	"slices"
	"time"

	"lockroad/balancer"
)

// propagationDelay is how long a change may take from discovery to every agent.
const propagationDelay = 6 * time.Second

// phaseRecord is the last known phase of an endpoint, and when it became known.
type phaseRecord struct {
	phase string
	since time.Time
}

// apply applies a list to the proxy. A list with an invalid member, or a full
// one without members, is rejected as a whole.
func (w *Watcher) apply(list List, kind balancer.ListKind) error {
	if kind == balancer.ListFull && len(list.Members) == 0 && len(w.Proxy.Endpoints.List()) > 0 {
		return errEmptyList // the agent may have lost its list; applying it would reject every client
	}
	overridden := w.keepKnownPhases(&list)
	endpoints, addresses, err := w.convertMembers(list.Members)
	if err != nil {
		return err
	}
	w.revision = list.Revision
	if w.RetainList {
		w.retain(list, kind)
	}
	w.failures = 0
	w.Proxy.SetListRevision(list.Revision)
	w.Proxy.UpdateEndpoints(kind, endpoints, addresses)
	w.recordPhases(list, kind, overridden)
	if overridden {
		w.Proxy.Log.Warn("stale endpoint list applied, kept endpoints known as draining or gone", "revision", list.Revision, "newest", w.newestRevision)
		w.scheduleResync()
	}
	return nil
}

// convertMembers converts members to the balancer's endpoints, and returns their
// addresses in the same order.
func (w *Watcher) convertMembers(members []Member) ([]balancer.Endpoint, []string, error) {
	endpoints := make([]balancer.Endpoint, 0, len(members))
	addresses := make([]string, 0, len(members))
	for i := range members {
		member := &members[i]
		state, err := member.state()
		if err != nil {
			return nil, nil, err
		}
		endpoints = append(endpoints, balancer.Endpoint{
			ID: w.Proxy.Endpoints.AssignID(member.ID), State: state, Zone: w.ZoneNumber(member.Locality),
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

// keepKnownPhases replaces phases in a list that is older than the newest one:
// endpoints known as draining or gone keep that phase where the list has them as
// ready. An agent that the watcher has just switched to may not know of the
// change yet. Endpoints that have started since the change are excepted. It
// reports whether any phase was replaced.
func (w *Watcher) keepKnownPhases(list *List) (overridden bool) {
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
		if !overridden {
			overridden, list.Members = true, slices.Clone(list.Members) // the caller's list is not modified
		}
		list.Members[i].Phase = last.phase
	}
	return overridden
}

// recordPhases records the phases of a list that was applied. A list with
// overridden phases does not lower the newest revision.
func (w *Watcher) recordPhases(list List, kind balancer.ListKind, overridden bool) {
	now := time.Now()
	if w.lastPhases == nil {
		w.lastPhases = make(map[string]phaseRecord)
	}
	w.newestRevision = max(w.newestRevision, list.Revision)
	if kind != balancer.ListDelta {
		if !overridden {
			w.newestRevision = list.Revision
		}
		w.recordUnlistedAsGone(list, now)
	}
	for _, member := range list.Members {
		w.recordPhase(member.ID, member.Phase, now)
	}
	w.removeGoneRecords(now)
}

// recordPhase records an endpoint's phase. The time of an unchanged phase is kept.
func (w *Watcher) recordPhase(id, phase string, now time.Time) {
	if w.lastPhases[id].phase != phase {
		w.lastPhases[id] = phaseRecord{phase, now}
	}
}

// recordUnlistedAsGone records endpoints that are missing from a full list as gone.
func (w *Watcher) recordUnlistedAsGone(list List, now time.Time) {
	listed := make(map[string]bool, len(list.Members))
	for _, member := range list.Members {
		listed[member.ID] = true
	}
	for id := range w.lastPhases {
		if !listed[id] {
			w.recordPhase(id, phaseGone, now)
		}
	}
}

// removeGoneRecords removes the records of endpoints that have been gone for
// propagationDelay, as every agent knows that by now. It does so at most once per
// propagationDelay.
func (w *Watcher) removeGoneRecords(now time.Time) {
	if now.Sub(w.lastCleanup) < propagationDelay {
		return
	}
	w.lastCleanup = now
	maps.DeleteFunc(w.lastPhases, func(_ string, last phaseRecord) bool {
		return last.phase == phaseGone && now.Sub(last.since) >= propagationDelay
	})
}

// scheduleResync makes the watcher request the full list after propagationDelay,
// when the agent must have received the changes that its stale list lacked. Calls
// before then have no further effect.
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
