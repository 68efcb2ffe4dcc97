// Package discovery keeps the proxy's endpoint list up to date from the
// discovery agent on the relay's own machine, or from a service that all relays
// poll: HTTP/1.1 with a watch whose response stays open and brings lists.
//
// One goroutine, in Watcher.Run, opens watches and applies lists. All other
// methods of Watcher may be called from any goroutine, except Seed and Resume,
// which belong before Run.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
)

// Watcher keeps the endpoint list of a proxy up to date.
type Watcher struct {
	Proxy      *proxy.Proxy
	Address    string   // of the agent at the start, "host:port"; SetAddress changes it
	Zones      []string // localities by zone number; ZoneNumber appends unknown ones
	RetainList bool     // a copy of the list is retained for List

	// Used by the goroutine of Run, and by Seed and Resume before it.
	revision       uint64
	failures       int                    // watches since one last brought anything
	newestRevision uint64                 // of the newest list, whichever agent sent it
	lastPhases     map[string]phaseRecord // by ID, of endpoints that are listed or were lately
	lastSweep      time.Time              // when lastPhases was last rid of old entries

	mu              sync.Mutex    // guards what follows, Zones, and Address, which Run alone writes
	synced          chan struct{} // closed once a watch has brought a list; nil until Synced is called
	retained        List
	nextAddress     string             // where the next watch is to be opened; "" for no change
	needsFullList   bool               // the next watch starts from revision 0
	resyncScheduled bool               // a timer will set needsFullList
	cancelWatch     context.CancelFunc // ends the watch that is open
}

// SetAddress makes the watcher use another address from now on. The current
// watch ends at once, as its agent may be about to go, and the endpoints stay
// as they are until the new agent has sent its list. A watch that is open at
// the same address continues.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address && w.nextAddress == "" {
		return
	}
	w.nextAddress = address
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// beginWatch returns the context of the next watch, after a change of address
// if one is due. An agent that was not watched before has to send its full
// list: its revisions need not continue those of the last agent.
func (w *Watcher) beginWatch(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != "" && w.nextAddress != w.Address {
		w.Address, w.needsFullList = w.nextAddress, true
	}
	if w.needsFullList {
		w.revision = 0
	}
	w.nextAddress, w.needsFullList = "", false
	ctx, w.cancelWatch = context.WithCancel(ctx)
	return ctx, w.cancelWatch
}

// List returns a copy of the retained list, and the address of the agent that
// its revision belongs to. It is empty unless RetainList is set.
func (w *Watcher) List() (list List, agent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list = w.retained
	list.Members = slices.Clone(list.Members)
	return list, w.Address
}

// Seed applies the list that the relay had before its start. It must be called
// before Run.
func (w *Watcher) Seed(list List) error { return w.apply(list, balancer.ListCached) }

// Resume applies the list of another process of this relay, whose revision
// belongs to the given agent. It must be called before Run.
func (w *Watcher) Resume(list List, agent string) error {
	if err := w.apply(list, balancer.ListCached); err != nil {
		return err
	}
	if agent != w.Address {
		w.revision = 0
	}
	return nil
}

// ZoneNumber returns the number of a locality, which stays the same for the
// lifetime of the relay, whatever the order of a later configuration. A
// locality that no configuration has named gets a number of its own: two of
// them must not pass for one zone, in which duplicates are dropped.
func (w *Watcher) ZoneNumber(locality string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if number := slices.Index(w.Zones, locality); number >= 0 {
		return number
	}
	w.Zones = append(slices.Clip(w.Zones), locality)
	return len(w.Zones) - 1
}

// Synced returns a channel that is closed once a watch has brought a list.
// Clients that wait for it are not placed by the list from before the start:
// what the agent has counts as notified from a process's first moment.
func (w *Watcher) Synced() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced == nil {
		w.synced = make(chan struct{})
	}
	return w.synced
}

// markSynced closes the channel of Synced.
func (w *Watcher) markSynced() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced == nil {
		return
	}
	select {
	case <-w.synced:
	default:
		close(w.synced)
	}
}

// Run watches until ctx ends, and returns nil then. A watch that ends is
// reopened from the last revision, after a backoff, or at once where the
// address has changed.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		watchCtx, cancel := w.beginWatch(ctx)
		w.failures++
		startedAt := time.Now()
		err := w.watch(watchCtx)
		if time.Since(startedAt) > idleTimeout {
			w.failures = 0 // it was healthy for a while, be it without news
		}
		if watchCtx.Err() == nil {
			w.Proxy.Log.Warn("discovery watch ended", "error", cmp.Or(err, io.EOF), "revision", w.revision)
		}
		wait := w.policy().backoff(w.failures, errors.Is(err, errOverloaded), w.Proxy.Settings().PollInterval)
		select {
		case <-watchCtx.Done():
		case <-time.After(wait):
		}
		cancel()
	}
	return nil
}

// watch opens one watch and applies the lists that it brings until it ends.
func (w *Watcher) watch(ctx context.Context) error {
	response, err := w.openWatch(ctx)
	if err != nil {
		return err
	}
	defer response.conn.Close()
	defer context.AfterFunc(ctx, func() { response.conn.Close() })()
	// Lists may come indented, over many lines: what ends one is its last brace.
	body := &boundedReader{Reader: response.body}
	for decoder := json.NewDecoder(body); ; {
		var list List
		body.remaining = maxListBytes
		if err := decoder.Decode(&list); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		kind := balancer.ListDelta
		if list.Complete {
			kind = balancer.ListFull
		} else if list.Revision < w.revision {
			continue // changes that newer ones have overtaken
		}
		if err := w.apply(list, kind); err != nil {
			return err
		}
		w.markSynced()
	}
}
