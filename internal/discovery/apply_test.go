package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

func TestInvalidSeedListsChangeNothing(t *testing.T) {
	target := newProxy()
	watcher := &Watcher{Proxy: target}
	for _, member := range []Member{{ID: "", Phase: "ready"}, {ID: "s-1", Phase: "odd"}, {ID: "s-1", Phase: "ready", Size: -1}} {
		if err := watcher.Seed(List{Members: []Member{member}}); err == nil {
			t.Errorf("Seed accepted the invalid member %+v", member)
		}
	}
	if got := statesOf(target); got != "" {
		t.Errorf("got endpoints %q", got)
	}
}

// A list that arrives late on an earlier watch, or from the previous agent, must not override a newer list.
func TestStaleListDoesNotOverrideNewerList(t *testing.T) {
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	target, watcher := startWatcher(t, before.address, false)
	oldWatch, _ := before.nextWatch("0")
	oldWatch.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")), listJSON(8, false, memberJSON("s-1", "draining"))[:50])
	testutil.Until(t, "the list was not applied", func() bool { return statesOf(target) == "s-1=ready s-2=ready" })
	watcher.SetAddress(after.address)
	watch, _ := after.nextWatch("0")
	watch.answer(listJSON(9, true, memberJSON("s-1", "draining"), memberJSON("s-2", "draining")))
	testutil.Until(t, "the new agent's list was not applied", func() bool { return statesOf(target) == "s-1=draining s-2=draining" })
	io.WriteString(oldWatch, chunkText(listJSON(8, false, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))))
	// The same holds for an older delta on the current watch.
	io.WriteString(watch, chunkText(listJSON(8, false, memberJSON("s-1", "ready")))+chunkText(listJSON(10, false, memberJSON("s-3", "ready"))))
	testutil.Until(t, "the newest delta was not applied", func() bool { return strings.HasSuffix(statesOf(target), "s-3=ready") })
	if got := statesOf(target); got != "s-1=draining s-2=draining s-3=ready" {
		t.Errorf("got endpoints %q", got)
	}
}

// A new agent may send an older list than the previous one. It must not make draining or gone endpoints ready again.
// Only a newer list, a restart of the endpoint, or a list after propagationDelay may.
func TestStaleListOfNewAgentKeepsEndpointsDraining(t *testing.T) {
	t.Parallel()
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	target, watcher := startWatcher(t, before.address, false)
	oldWatch, _ := before.nextWatch("0")
	oldWatch.answer(listJSON(50, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-3", "ready"), memberJSON("s-4", "ready"), memberJSON("s-5", "ready")))
	io.WriteString(oldWatch, chunkText(listJSON(51, false, memberJSON("s-1", "draining"), memberJSON("s-2", "draining"), memberJSON("s-3", "draining"), memberJSON("s-4", "gone"))))
	testutil.Until(t, "the drains were not applied", func() bool { return statesOf(target) == "s-1=draining s-2=draining s-3=draining s-4=gone s-5=ready" })
	draining, _ := target.Endpoints.Find(target.Endpoints.AssignID("s-1"))
	watcher.SetAddress(after.address)
	watch, _ := after.nextWatch("0")
	restarted := strings.Replace(memberJSON("s-3", "ready"), `"up_since_ms":0`, fmt.Sprintf(`"up_since_ms":%d`, time.Now().Add(time.Second).UnixMilli()), 1)
	watch.answer(listJSON(48, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), restarted, memberJSON("s-4", "ready"), memberJSON("s-5", "draining"), memberJSON("s-6", "ready")))
	testutil.Until(t, "the new agent's list was not applied", func() bool { return strings.HasSuffix(statesOf(target), "s-6=ready") })
	if got := statesOf(target); got != "s-1=draining s-2=draining s-3=ready s-4=gone s-5=draining s-6=ready" {
		t.Errorf("got endpoints %q", got)
	}
	if !draining.IsDraining() {
		t.Error("s-1 is no longer marked as draining: attempts would be sent to it")
	}
	io.WriteString(watch, chunkText(listJSON(52, false, memberJSON("s-2", "ready"))))
	testutil.Until(t, "a newer list did not make s-2 ready", func() bool { return strings.Contains(statesOf(target), "s-2=ready") })
	startedAt := time.Now()
	go func() { // keeps the watch from timing out
		for current := watch; ; time.Sleep(time.Second) {
			if _, err := io.WriteString(current, chunkText("\n")); err != nil {
				return
			}
		}
	}()
	watch, _ = after.nextWatch("0") // the scheduled request for the full list
	if elapsed := time.Since(startedAt); elapsed < propagationDelay/2 {
		t.Errorf("the full list was requested after %v, before the agent must have every change", elapsed)
	}
	watch.answer(listJSON(49, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-4", "ready")))
	testutil.Until(t, "the repeated list was not applied as it is", func() bool {
		return statesOf(target) == "s-1=ready s-2=ready s-3=gone s-4=ready s-5=gone s-6=gone"
	})
}

// Localities keep their zone numbers, and localities missing from the configuration get distinct ones: requests are
// deduplicated per zone.
func TestZoneNumbersAreStable(t *testing.T) {
	target := newProxy()
	watcher := &Watcher{Proxy: target, Zones: []string{"a", "b"}}
	for locality, want := range map[string]int{"a": 0, "b": 1} {
		if got := watcher.ZoneNumber(locality); got != want {
			t.Errorf("locality %q has zone number %d", locality, got)
		}
	}
	c, d := watcher.ZoneNumber("c"), watcher.ZoneNumber("d")
	if c < 2 || d < 2 || c == d || watcher.ZoneNumber("c") != c || watcher.ZoneNumber("b") != 1 {
		t.Errorf("unconfigured localities have zone numbers %d and %d, then %d, and locality b has %d", c, d, watcher.ZoneNumber("c"), watcher.ZoneNumber("b"))
	}
}
