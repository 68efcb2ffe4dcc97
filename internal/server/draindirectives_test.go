package server

import (
	"log/slog"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/config"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/store"
)

// Where the predecessor did not pass on its last orders, its store has them. An order that was given here while another
// process still held the store must not be undone by them, and must be stored.
func TestOrdersBeforeTheStoreIsOpenAreKept(t *testing.T) {
	dir := t.TempDir()
	predecessors, _, err := store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()})
	if err != nil {
		t.Fatal(err)
	}
	table := &store.Table[persistence.DrainDirective]{Store: predecessors, Kind: persistence.KindDrainDirectives, Version: 1}
	for _, endpoint := range []string{"s-1", "s-2"} {
		if err := table.Commit(t.Context(), endpoint, persistence.DrainDirective{Endpoint: endpoint, By: "before", Since: time.Now()}); err != nil {
			t.Fatal(err)
		}
	}
	relay := &relay{log: slog.New(slog.DiscardHandler)}
	p := newPersistentState(relay)
	relay.persistence = p
	p.proxy = proxy.New(balancer.Settings{Classes: []balancer.Class{{Deadline: time.Second}}, MaxAttempts: 1, ClockResolution: time.Millisecond}, 1, proxy.NewClock())
	p.deferToPredecessor()
	p.restoreDirectives([]persistence.DrainDirective{{Endpoint: "s-1", By: "before"}})
	opening := &storeOpening{state: p, settings: config.Store{Dir: dir, MB: 1}}
	if opening.attempt(t.Context()); opening.done {
		t.Fatal("the store was opened while another process held it")
	}
	for _, endpoint := range []string{"s-3", "s-4"} {
		p.proxy.Endpoints.AssignID(endpoint)
		if _, storeErr, err := p.Drain(t.Context(), persistence.DrainDirective{Endpoint: endpoint, By: "here", Since: time.Now()}); storeErr == nil || err != nil {
			t.Errorf("drain %s: store error %v, error %v, want a store error alone", endpoint, storeErr, err)
		}
	}
	for _, endpoint := range []string{"s-1", "s-4"} {
		if _, _, err := p.Undrain(t.Context(), endpoint, "here"); err != nil {
			t.Error(err)
		}
	}
	if err := predecessors.Close(); err != nil {
		t.Fatal(err)
	}
	if opening.attempt(t.Context()); !opening.done {
		t.Fatal("the store was not opened once it was released")
	}
	defer p.close()
	for name, directives := range map[string][]persistence.DrainDirective{"in force": p.DrainDirectives(), "stored": p.readDirectives()} {
		by := make(map[string]string)
		for _, directive := range directives {
			by[directive.Endpoint] = directive.By
		}
		if len(by) != 2 || by["s-2"] != "before" || by["s-3"] != "here" {
			t.Errorf("%s: %v, want s-2 from before and s-3 from here", name, by)
		}
	}
}
