// Package discovery keeps the proxy's endpoint list up to date, from the
// discovery agent on the relay's own machine or from a service that all relays
// poll. A watch is an HTTP/1.1 request whose response stays open and delivers
// endpoint lists as they change.
//
// Watcher.Run opens watches and applies lists on one goroutine. All other methods
// of Watcher may be called from any goroutine, except Seed and Resume, which must
// be called before Run.
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
	Address    string   // of the agent or service, "host:port"; use SetAddress once Run was called
	Zones      []string // localities, indexed by zone number; ZoneNumber appends unknown ones
	RetainList bool     // keep a copy of the list for List

	// Used by the goroutine of Run, and by Seed and Resume before it.
	revision       uint64                 // of the last list applied; the next watch continues from it
	failures       int                    // consecutive watches that delivered no list
	newestRevision uint64                 // of the newest list from any agent
	lastPhases     map[string]phaseRecord // by endpoint ID; of listed and recently listed endpoints
	lastCleanup    time.Time              // when old entries were last removed from lastPhases

	mu              sync.Mutex    // guards the fields below, Zones, and Address, which only Run writes
	synced          chan struct{} // closed once a watch has delivered a list; nil until Synced is called
	retained        List
	nextAddress     string             // address for the next watch; "" if unchanged
	needsFullList   bool               // the next watch starts from revision 0
	resyncScheduled bool               // a timer is running that sets needsFullList
	cancelWatch     context.CancelFunc // cancels the current watch
}

// SetAddress changes the address of the agent. The current watch ends at once,
// and the endpoints stay unchanged until the new agent sends its list. If the
// address is the current one, the watch continues.
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

// beginWatch applies a pending change of address, and returns the context of the
// next watch. A new agent is asked for its full list, as its revisions need not
// match those of the previous agent.
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

// List returns a copy of the retained list, which is empty unless RetainList is
// set, and the address of the agent that its revision belongs to.
func (w *Watcher) List() (list List, agent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list = w.retained
	list.Members = slices.Clone(list.Members)
	return list, w.Address
}

// Seed applies a list that was saved before the relay's start. It must be called
// before Run.
func (w *Watcher) Seed(list List) error { return w.apply(list, balancer.ListCached) }

// Resume applies the list of the relay's previous process, whose revision belongs
// to the given agent: watches continue from it if the agent is the same. It must
// be called before Run.
func (w *Watcher) Resume(list List, agent string) error {
	if err := w.apply(list, balancer.ListCached); err != nil {
		return err
	}
	if agent != w.Address {
		w.revision = 0
	}
	return nil
}

// ZoneNumber returns the zone number of a locality, which stays the same for the
// lifetime of the relay. Each locality that is missing from the configuration gets
// a distinct number: requests are deduplicated per zone, so two localities must
// not share one.
func (w *Watcher) ZoneNumber(locality string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if number := slices.Index(w.Zones, locality); number >= 0 {
		return number
	}
	w.Zones = append(slices.Clip(w.Zones), locality)
	return len(w.Zones) - 1
}

// Synced returns a channel that is closed once a watch has delivered a list. Clients
// should be sent to endpoints only after that: in a list from before the start, endpoints
// may be ready that the agent knows as gone or draining.
func (w *Watcher) Synced() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced == nil {
		w.synced = make(chan struct{})
	}
	return w.synced
}

// markSynced closes the channel that Synced returns.
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

// Run watches until ctx ends, and returns nil then. A watch that ends is reopened
// from the last revision after a backoff, or at once if the address has changed.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		watchCtx, cancel := w.beginWatch(ctx)
		w.failures++
		startedAt := time.Now()
		err := w.watch(watchCtx)
		if time.Since(startedAt) > idleTimeout {
			w.failures = 0 // the watch was healthy, even if it delivered no list
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

// watch opens a watch and applies the lists that it delivers until it ends.
func (w *Watcher) watch(ctx context.Context) error {
	response, err := w.openWatch(ctx)
	if err != nil {
		return err
	}
	defer response.conn.Close()
	defer context.AfterFunc(ctx, func() { response.conn.Close() })()
	// A list may span many lines, so the JSON decoder finds its end.
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
			continue // a newer list was applied already
		}
		if err := w.apply(list, kind); err != nil {
			return err
		}
		w.markSynced()
	}
}
