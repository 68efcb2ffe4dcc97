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
	w := &Watcher{Proxy: target}
	for _, m := range []Member{{ID: "", Phase: "ready"}, {ID: "s-1", Phase: "odd"}, {ID: "s-1", Phase: "ready", Size: -1}} {
		if err := w.Seed(List{Members: []Member{m}}); err == nil {
			t.Errorf("%+v was accepted", m)
		}
	}
	if got := statesOf(target); got != "" {
		t.Errorf("the endpoints are %s", got)
	}
}

// A list that arrives late on an old watch, or from the previous agent, never undoes a newer one.
func TestOldWatchNeverUndoesNewerList(t *testing.T) {
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	target, w := startWatcher(t, before.address, false)
	oldWatch, _ := before.nextWatch("0")
	oldWatch.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")), listJSON(8, false, memberJSON("s-1", "draining"))[:50])
	testutil.Until(t, "the list is there", func() bool { return statesOf(target) == "s-1=ready s-2=ready" })
	w.SetAddress(after.address)
	watch, _ := after.nextWatch("0")
	watch.answer(listJSON(9, true, memberJSON("s-1", "draining"), memberJSON("s-2", "draining")))
	testutil.Until(t, "the new agent's list is there", func() bool { return statesOf(target) == "s-1=draining s-2=draining" })
	io.WriteString(oldWatch, chunkText(listJSON(8, false, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))))
	// Nor do changes that newer ones have overtaken on one watch.
	io.WriteString(watch, chunkText(listJSON(8, false, memberJSON("s-1", "ready")))+chunkText(listJSON(10, false, memberJSON("s-3", "ready"))))
	testutil.Until(t, "the newest change is there", func() bool { return strings.HasSuffix(statesOf(target), "s-3=ready") })
	if got := statesOf(target); got != "s-1=draining s-2=draining s-3=ready" {
		t.Errorf("the endpoints are %s", got)
	}
}

// A new agent may have an older list than the previous one. An endpoint that was draining or gone does not become ready by it,
// but by a newer list, by a start since then, or once the news must have reached every agent.
func TestOlderListOfNewAgentRestoresNoEndpoint(t *testing.T) {
	t.Parallel()
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	target, w := startWatcher(t, before.address, false)
	oldWatch, _ := before.nextWatch("0")
	oldWatch.answer(listJSON(50, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-3", "ready"), memberJSON("s-4", "ready"), memberJSON("s-5", "ready")))
	io.WriteString(oldWatch, chunkText(listJSON(51, false, memberJSON("s-1", "draining"), memberJSON("s-2", "draining"), memberJSON("s-3", "draining"), memberJSON("s-4", "gone"))))
	testutil.Until(t, "the drains are known", func() bool { return statesOf(target) == "s-1=draining s-2=draining s-3=draining s-4=gone s-5=ready" })
	passes, _ := target.Endpoints.Find(target.Endpoints.AssignID("s-1"))
	w.SetAddress(after.address)
	watch, _ := after.nextWatch("0")
	restarted := strings.Replace(memberJSON("s-3", "ready"), `"up_since_ms":0`, fmt.Sprintf(`"up_since_ms":%d`, time.Now().Add(time.Second).UnixMilli()), 1)
	watch.answer(listJSON(48, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), restarted, memberJSON("s-4", "ready"), memberJSON("s-5", "draining"), memberJSON("s-6", "ready")))
	testutil.Until(t, "the new agent's list is there", func() bool { return strings.HasSuffix(statesOf(target), "s-6=ready") })
	if got := statesOf(target); got != "s-1=draining s-2=draining s-3=ready s-4=gone s-5=draining s-6=ready" {
		t.Errorf("the endpoints are %s", got)
	}
	if !passes.IsDraining() {
		t.Error("an attempt would go to an endpoint that drains")
	}
	io.WriteString(watch, chunkText(listJSON(52, false, memberJSON("s-2", "ready"))))
	testutil.Until(t, "a newer list has it ready", func() bool { return strings.Contains(statesOf(target), "s-2=ready") })
	startedAt := time.Now()
	go func() { // a healthy watch sends something
		for healthy := watch; ; time.Sleep(time.Second) {
			if _, err := io.WriteString(healthy, chunkText("\n")); err != nil {
				return
			}
		}
	}()
	watch, _ = after.nextWatch("0") // the full list is requested again
	if elapsed := time.Since(startedAt); elapsed < propagationDelay/2 {
		t.Errorf("the full list is requested again after %v", elapsed)
	}
	watch.answer(listJSON(49, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-4", "ready")))
	testutil.Until(t, "what the agent still says is so", func() bool {
		return statesOf(target) == "s-1=ready s-2=ready s-3=gone s-4=ready s-5=gone s-6=gone"
	})
}

// Localities keep their zone numbers, and two that no configuration names are two zones: duplicates are dropped within
// one zone only.
func TestZoneNumbersAreStable(t *testing.T) {
	target := newProxy()
	w := &Watcher{Proxy: target, Zones: []string{"a", "b"}}
	for i, want := range map[string]int{"a": 0, "b": 1} {
		if got := w.ZoneNumber(i); got != want {
			t.Errorf("locality %q is %d", i, got)
		}
	}
	c, d := w.ZoneNumber("c"), w.ZoneNumber("d")
	if c < 2 || d < 2 || c == d || w.ZoneNumber("c") != c || w.ZoneNumber("b") != 1 {
		t.Errorf("localities that no configuration names are %d and %d, then %d and %d", c, d, w.ZoneNumber("c"), w.ZoneNumber("b"))
	}
}
