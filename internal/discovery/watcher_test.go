package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

func newProxy() *proxy.Proxy {
	return proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 3,
		InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
}

// statesOf returns the state of each endpoint of a proxy, as in "s-1=ready s-2=gone".
func statesOf(target *proxy.Proxy) string {
	var all []string
	for _, endpoint := range target.Endpoints.List() {
		all = append(all, endpoint.Name+"="+[]string{"gone", "ready", "draining"}[endpoint.State])
	}
	return strings.Join(all, " ")
}

// A watch that ends is reopened from the last revision, and each list is applied as it arrives.
func TestWatchResumesFromLastRevision(t *testing.T) {
	address, requested := fakeAgent(t,
		[]string{"\n", listJSON(42, false, memberJSON("s-2", "draining")), "\n"},
		[]string{listJSON(50, true, memberJSON("s-2", "ready"))[:30], listJSON(50, true, memberJSON("s-2", "ready"))[30:] + "\n" + listJSON(51, false, memberJSON("s-3", "ready"))},
	)
	target := newProxy()
	watcher := &Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}
	if err := watcher.Seed(List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "x", Locality: "a", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "y", Locality: "b", Phase: "ready", Size: 1},
	}}); err != nil {
		t.Fatal(err)
	}
	known, _ := target.Endpoints.Find(target.Endpoints.AssignID("s-2"))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = watcher.Run(ctx) })
	for i, want := range []string{"from=41", "from=42", "from=51"} {
		select {
		case got := <-requested:
			if got != "GET /discovery/hosts?watch=1&"+want+" HTTP/1.1" {
				t.Errorf("watch requested with %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d was not opened within 5 s", i)
		}
		switch i {
		case 0: // Draining of s-2 is closed as soon as it drains
			select {
			case <-known.Draining:
			case <-time.After(5 * time.Second):
				t.Fatal("s-2 is not marked as draining within 5 s")
			}
		case 2:
			if got := statesOf(target); got != "s-1=gone s-2=ready s-3=ready" {
				t.Errorf("got endpoints %q", got)
			}
		}
	}
	cancel()
	done.Wait()
}

// A list may be indented JSON. Splitting the body by lines would fail each watch, and leave the initial list in use.
func TestIndentedListsAreApplied(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	full := indent(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
	address, requested := fakeAgent(t, []string{"\n", full[:50], full[50:], "\r\n\n", indent(listJSON(8, false, memberJSON("s-2", "draining")))}, nil)
	target := newProxy()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = (&Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
	defer done.Wait()
	defer cancel()
	expectWatches(t, requested, "from=0", "from=8")
	if got := statesOf(target); got != "s-1=ready s-2=draining" {
		t.Errorf("got endpoints %q", got)
	}
}

// An empty, truncated or malformed list ends the watch with a log line. The endpoints stay unchanged, and the next
// watch continues from the last revision.
func TestInvalidListsAreLoggedAndChangeNothing(t *testing.T) {
	complete := listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))
	for name, invalid := range map[string]string{
		"empty": listJSON(9, true), "truncated": listJSON(9, true, memberJSON("s-1", "ready"))[:60], "malformed": "{\"revision\":\n",
		"not an object": "[1]\n", "unknown phase": listJSON(9, false, memberJSON("s-1", "odd")),
	} {
		t.Run(name, func(t *testing.T) {
			address, requested := fakeAgent(t, []string{complete, invalid}, []string{listJSON(8, false, memberJSON("s-2", "draining"))}, nil)
			target := newProxy()
			log := make(logLines, 16)
			target.Log = slog.New(slog.NewTextHandler(log, nil))
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { _ = (&Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
			defer done.Wait()
			defer cancel()
			expectWatches(t, requested, "from=0", "from=7", "from=8")
			if text := <-log; !strings.Contains(text, "discovery watch ended") {
				t.Errorf("logged %q, want \"discovery watch ended\"", text)
			}
			if got := statesOf(target); got != "s-1=ready s-2=draining" {
				t.Errorf("got endpoints %q", got)
			}
		})
	}
}

// logLines is a log writer that sends each line to the channel, and drops lines if the channel is full.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

// startWatcher runs a watcher until the test's end, of an agent or, with poll, of a service that all relays poll.
func startWatcher(t *testing.T, address string, poll bool) (*proxy.Proxy, *Watcher) {
	target := newProxy()
	if poll {
		settings := *target.Settings()
		settings.PollList, settings.PollInterval = true, 10*time.Second
		target.UpdateSettings(&settings)
	}
	watcher := &Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = watcher.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return target, watcher
}

// A change that a silent watch misses must be applied within 6 s of the silence, by the next watch, even if the first
// request for that gets no response.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		poll    bool
		partial string // sent before the silence
	}{{"pushed", false, ""}, {"polled", true, ""}, {"silent within a list", false, listJSON(9, false, memberJSON("s-1", "draining"))[:40]}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			agent := newScriptedAgent(t)
			target, _ := startWatcher(t, agent.address, test.poll)
			watch, _ := agent.nextWatch("0")
			watch.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
			testutil.Until(t, "the list was not applied", func() bool { return statesOf(target) == "s-1=ready s-2=ready" })
			startedAt := time.Now() // the watch is silent from now on
			if test.partial != "" {
				io.WriteString(watch, chunkText(test.partial))
			}
			agent.nextWatch("7") // the first request of the next watch gets no response
			watch, _ = agent.nextWatch("7")
			watch.answer(listJSON(9, false, memberJSON("s-1", "draining")))
			testutil.Until(t, "the drain was not applied", func() bool { return statesOf(target) == "s-1=draining s-2=ready" })
			if elapsed := time.Since(startedAt); elapsed > 6*time.Second {
				t.Errorf("a drain was applied %v after the watch fell silent, want at most 6 s", elapsed)
			}
		})
	}
}

// A watch that is reset is reopened within 700 ms, even after many consecutive resets without a change. A longer gap
// would delay the changes that the agent knows already.
func TestResetWatchIsReopenedAtOnce(t *testing.T) {
	agent := newScriptedAgent(t)
	target, _ := startWatcher(t, agent.address, false)
	watch, _ := agent.nextWatch("0")
	watch.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list was not applied", func() bool { return statesOf(target) == "s-1=ready" })
	for range 8 {
		watch.Conn.(*net.TCPConn).SetLinger(0)
		watch.Close()
		var elapsed time.Duration
		if watch, elapsed = agent.nextWatch("7"); elapsed > 700*time.Millisecond {
			t.Fatalf("a reset watch was reopened after %v, want at most 700 ms", elapsed)
		}
		watch.answer("\n")
	}
}

// SetAddress with the current address must not interrupt the watch.
func TestSettingSameAddressKeepsWatch(t *testing.T) {
	agent := newScriptedAgent(t)
	target, watcher := startWatcher(t, agent.address, false)
	watch, _ := agent.nextWatch("0")
	watch.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list was not applied", func() bool { return statesOf(target) == "s-1=ready" })
	watcher.SetAddress(agent.address)
	io.WriteString(watch, chunkText(listJSON(8, false, memberJSON("s-1", "draining"))))
	testutil.Until(t, "a change on the same watch was not applied", func() bool { return statesOf(target) == "s-1=draining" })
	if n := len(agent.watches); n != 0 {
		t.Errorf("%d more watches were opened, want none", n)
	}
}
