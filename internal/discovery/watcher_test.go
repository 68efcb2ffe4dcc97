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

func statesOf(target *proxy.Proxy) string {
	var all []string
	for _, s := range target.Endpoints.List() {
		all = append(all, s.Name+"="+[]string{"gone", "ready", "draining"}[s.State])
	}
	return strings.Join(all, " ")
}

// A watch that ends is reopened from the last revision, and every list takes
// effect as it arrives.
func TestWatchResumesFromLastRevision(t *testing.T) {
	address, requested := fakeAgent(t,
		[]string{"\n", listJSON(42, false, memberJSON("s-2", "draining")), "\n"},
		[]string{listJSON(50, true, memberJSON("s-2", "ready"))[:30], listJSON(50, true, memberJSON("s-2", "ready"))[30:] + "\n" + listJSON(51, false, memberJSON("s-3", "ready"))},
	)
	target := newProxy()
	w := &Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}
	if err := w.Seed(List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "x", Locality: "a", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "y", Locality: "b", Phase: "ready", Size: 1},
	}}); err != nil {
		t.Fatal(err)
	}
	known, _ := target.Endpoints.Find(target.Endpoints.ID("s-2"))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = w.Run(ctx) })
	for i, want := range []string{"from=41", "from=42", "from=51"} {
		select {
		case got := <-requested:
			if got != "GET /discovery/hosts?watch=1&"+want+" HTTP/1.1" {
				t.Errorf("requested %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d was not opened", i)
		}
		switch i {
		case 0: // requests about to go to s-2 are notified at once that it drains
			select {
			case <-known.Draining:
			case <-time.After(5 * time.Second):
				t.Fatal("an endpoint that drains is not marked as draining")
			}
		case 2:
			if got := statesOf(target); got != "s-1=gone s-2=ready s-3=ready" {
				t.Errorf("the endpoints are %s", got)
			}
		}
	}
	cancel()
	done.Wait()
}

// Lists may come indented. A reader by lines would end the watch each time, and the relay would stay with the list
// that it had at its start.
func TestIndentedListsAreApplied(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	all := indent(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
	address, requested := fakeAgent(t, []string{"\n", all[:50], all[50:], "\r\n\n", indent(listJSON(8, false, memberJSON("s-2", "draining")))}, nil)
	target := newProxy()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = (&Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
	defer done.Wait()
	defer cancel()
	expectWatches(t, requested, "from=0", "from=8")
	if got := statesOf(target); got != "s-1=ready s-2=draining" {
		t.Errorf("the endpoints are %s", got)
	}
}

// Lists that are empty, truncated, garbled or no lists are logged, the endpoints are retained,
// and the next watch continues from the last revision.
func TestInvalidListsAreLoggedAndChangeNothing(t *testing.T) {
	complete := listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))
	for name, bad := range map[string]string{
		"empty": listJSON(9, true), "cut short": listJSON(9, true, memberJSON("s-1", "ready"))[:60], "garbled": "{\"revision\":\n",
		"no list": "[1]\n", "odd phase": listJSON(9, false, memberJSON("s-1", "odd")),
	} {
		t.Run(name, func(t *testing.T) {
			address, requested := fakeAgent(t, []string{complete, bad}, []string{listJSON(8, false, memberJSON("s-2", "draining"))}, nil)
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
				t.Errorf("the log says %q", text)
			}
			if got := statesOf(target); got != "s-1=ready s-2=draining" {
				t.Errorf("the endpoints are %s", got)
			}
		})
	}
}

// logLines receives each log line; lines beyond its buffer are dropped.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

// startWatcher runs a watcher until the test's end; with poll, discovery is a service that is polled.
func startWatcher(t *testing.T, address string, poll bool) (*proxy.Proxy, *Watcher) {
	target := newProxy()
	if poll {
		s := *target.Settings()
		s.PollList, s.PollInterval = true, 10*time.Second
		target.UpdateSettings(&s)
	}
	w := &Watcher{Proxy: target, Address: address, Zones: []string{"a", "b"}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = w.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return target, w
}

// What a silent watch misses counts as notified 6 s later, whether lists are pushed or polled: by then the next watch
// has to have brought it, though its first request may go unanswered too.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		ask  bool
		part string // of a list, where it falls silent within
	}{{"pushed", false, ""}, {"polled", true, ""}, {"within a list", false, listJSON(9, false, memberJSON("s-1", "draining"))[:40]}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			agent := newScriptedAgent(t)
			target, _ := startWatcher(t, agent.address, c.ask)
			watch, _ := agent.nextWatch("0")
			watch.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
			testutil.Until(t, "the list is there", func() bool { return statesOf(target) == "s-1=ready s-2=ready" })
			startedAt := time.Now() // it is silent from now on
			if c.part != "" {
				io.WriteString(watch, chunkText(c.part))
			}
			agent.nextWatch("7") // the first request of the next watch gets no response
			watch, _ = agent.nextWatch("7")
			watch.answer(listJSON(9, false, memberJSON("s-1", "draining")))
			testutil.Until(t, "the drain is there", func() bool { return statesOf(target) == "s-1=draining s-2=ready" })
			if elapsed := time.Since(startedAt); elapsed > 6*time.Second {
				t.Errorf("a drain took effect %v after the watch fell silent", elapsed)
			}
		})
	}
}

// What an agent has counts as notified whether a watch is open or not: a watch that breaks is reopened within a fraction
// of any grace period, however often that was needed before and though nothing had changed.
func TestBrokenWatchIsReopenedAtOnce(t *testing.T) {
	agent := newScriptedAgent(t)
	target, _ := startWatcher(t, agent.address, false)
	watch, _ := agent.nextWatch("0")
	watch.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list is there", func() bool { return statesOf(target) == "s-1=ready" })
	for range 8 {
		watch.Conn.(*net.TCPConn).SetLinger(0)
		watch.Close()
		var elapsed time.Duration
		if watch, elapsed = agent.nextWatch("7"); elapsed > 700*time.Millisecond {
			t.Fatalf("a watch that was reset is reopened after %v", elapsed)
		}
		watch.answer("\n")
	}
}

// A configuration with the same address of discovery leaves the watch open.
func TestHealthyWatchContinuesAtSameAddress(t *testing.T) {
	agent := newScriptedAgent(t)
	target, w := startWatcher(t, agent.address, false)
	watch, _ := agent.nextWatch("0")
	watch.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list is there", func() bool { return statesOf(target) == "s-1=ready" })
	w.SetAddress(agent.address)
	io.WriteString(watch, chunkText(listJSON(8, false, memberJSON("s-1", "draining"))))
	testutil.Until(t, "the watch still brings changes", func() bool { return statesOf(target) == "s-1=draining" })
	if n := len(agent.watches); n != 0 {
		t.Errorf("%d more watches were opened", n)
	}
}
