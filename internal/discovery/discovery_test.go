package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

func newProxy() *proxy.Proxy {
	return proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, Relays: 1, MaxAttempts: 3,
		InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
}

func memberJSON(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","locality":"b","flavor":"m2","cell":3,"phase":%q,"size":1.5,"up_since_ms":0}`, id, phase)
}

func listJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf("{\"revision\":%d,\"complete\":%v,\"members\":[%s]}\n", revision, complete, strings.Join(members, ","))
}

func chunkText(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// fakeAgent is a stand-in of discovery's agent. Each watch gets the chunks of its turn.
func fakeAgent(t *testing.T, turns ...[]string) (address string, asked <-chan string) {
	t.Helper()
	requests := make(chan string, len(turns)+8)
	address = listenAsAgent(t, func(c net.Conn, request string) {
		requests <- request
		if len(turns) == 0 {
			t.Cleanup(func() { c.Close() })
			return // says nothing, as one that is down
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n")
		for _, text := range turns[0] {
			io.WriteString(c, chunkText(text))
		}
		turns = turns[1:]
		c.Close()
	})
	return address, requests
}

// listenAsAgent listens as discovery's agent does, and gives each call with its first line to call, one after another.
func listenAsAgent(t *testing.T, call func(c net.Conn, request string)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			text, _ := bufio.NewReader(c).ReadString('\n')
			call(c, strings.TrimSpace(text))
		}
	}()
	return l.Addr().String()
}

// wantWatches waits for watches to be opened, each from its revision.
func wantWatches(t *testing.T, asked <-chan string, from ...string) {
	t.Helper()
	for _, want := range from {
		select {
		case got := <-asked:
			if !strings.Contains(got, want) {
				t.Fatalf("asked %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no watch %s", want)
		}
	}
}

func statesOf(k *proxy.Proxy) string {
	var all []string
	for _, s := range k.Endpoints.List() {
		all = append(all, s.Name+"="+[]string{"gone", "ready", "draining"}[s.State])
	}
	return strings.Join(all, " ")
}

// A watch that ends is opened again from the last revision, and every list takes
// effect as it comes.
func TestWatchResumesFromLastRevision(t *testing.T) {
	address, asked := fakeAgent(t,
		[]string{"\n", listJSON(42, false, memberJSON("s-2", "draining")), "\n"},
		[]string{listJSON(50, true, memberJSON("s-2", "ready"))[:30], listJSON(50, true, memberJSON("s-2", "ready"))[30:] + "\n" + listJSON(51, false, memberJSON("s-3", "ready"))},
	)
	k := newProxy()
	w := &Watcher{Proxy: k, Address: address, Zones: []string{"a", "b"}}
	if err := w.Seed(List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "x", Locality: "a", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "y", Locality: "b", Phase: "ready", Size: 1},
	}}); err != nil {
		t.Fatal(err)
	}
	known, _ := k.Endpoints.Find(k.Endpoints.ID("s-2"))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = w.Run(ctx) })
	for i, want := range []string{"from=41", "from=42", "from=51"} {
		select {
		case got := <-asked:
			if got != "GET /discovery/hosts?watch=1&"+want+" HTTP/1.1" {
				t.Errorf("asked %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d was not opened", i)
		}
		switch i {
		case 0: // what is about to go out to s-2 learns at once that it drains
			select {
			case <-known.Draining:
			case <-time.After(5 * time.Second):
				t.Fatal("a server that drains is not leaving")
			}
		case 2:
			if got := statesOf(k); got != "s-1=gone s-2=ready s-3=ready" {
				t.Errorf("the farm is %s", got)
			}
		}
	}
	cancel()
	done.Wait()
}

// Lists may come indented. One that is read line by line ends the watch, time after time, and the relay goes on
// with what it knew at its start.
func TestIndentedListsAreApplied(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	all := indent(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
	address, asked := fakeAgent(t, []string{"\n", all[:50], all[50:], "\r\n\n", indent(listJSON(8, false, memberJSON("s-2", "draining")))}, nil)
	k := newProxy()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = (&Watcher{Proxy: k, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
	defer done.Wait()
	defer cancel()
	wantWatches(t, asked, "from=0", "from=8")
	if got := statesOf(k); got != "s-1=ready s-2=draining" {
		t.Errorf("the farm is %s", got)
	}
}

func TestInvalidSeedListsChangeNothing(t *testing.T) {
	k := newProxy()
	w := &Watcher{Proxy: k}
	for _, m := range []Member{{ID: "", Phase: "ready"}, {ID: "s-1", Phase: "odd"}, {ID: "s-1", Phase: "ready", Size: -1}} {
		if err := w.Seed(List{Members: []Member{m}}); err == nil {
			t.Errorf("%+v was taken", m)
		}
	}
	if got := statesOf(k); got != "" {
		t.Errorf("the farm is %s", got)
	}
}

// Lists that are empty, cut short, garbled or no lists are told in the log, the farm is
// kept, and the watch goes on from where it was.
func TestInvalidListsAreLoggedAndChangeNothing(t *testing.T) {
	whole := listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))
	for name, bad := range map[string]string{
		"empty": listJSON(9, true), "cut short": listJSON(9, true, memberJSON("s-1", "ready"))[:60], "garbled": "{\"revision\":\n",
		"no list": "[1]\n", "odd phase": listJSON(9, false, memberJSON("s-1", "odd")),
	} {
		t.Run(name, func(t *testing.T) {
			address, asked := fakeAgent(t, []string{whole, bad}, []string{listJSON(8, false, memberJSON("s-2", "draining"))}, nil)
			k := newProxy()
			log := make(logLines, 16)
			k.Log = slog.New(slog.NewTextHandler(log, nil))
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { _ = (&Watcher{Proxy: k, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
			defer done.Wait()
			defer cancel()
			wantWatches(t, asked, "from=0", "from=7", "from=8")
			if text := <-log; !strings.Contains(text, "watch of the farm has ended") {
				t.Errorf("the log says %q", text)
			}
			if got := statesOf(k); got != "s-1=ready s-2=draining" {
				t.Errorf("the farm is %s", got)
			}
		})
	}
}

// logLines takes what is logged.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

func TestWatchBackoffGrowsWithFailures(t *testing.T) {
	for i, p := range []watchPolicy{agentPolicy, servicePolicy, servicePolicy} {
		busy := i == 2
		seen := map[time.Duration]bool{}
		for fails := range 12 {
			most := min(p.maxBackoff, p.minBackoff<<fails)
			if busy {
				most = min(overloadedMaxBackoff, overloadedMinBackoff<<fails)
			}
			for range 50 {
				wait := p.backoff(fails, busy, 0)
				if seen[wait] = true; wait < most/2 || wait > most {
					t.Fatalf("after %d fails, busy %v, the wait is %v, not within half of %v and all", fails, busy, wait, most)
				}
			}
		}
		if len(seen) < 100 {
			t.Errorf("%d waits of 600 differ: relays come back in step", len(seen))
		}
	}
	if wait := servicePolicy.backoff(12, true, 6*time.Second); wait > 3*time.Second {
		t.Errorf("discovery that is to be asked every 6 s is asked after %v", wait)
	}
	_, err := readResponseHead(bufio.NewReader(strings.NewReader("HTTP/1.1 503 Service Unavailable\r\n\r\n")))
	if !errors.Is(err, errOverloaded) {
		t.Errorf("an overbooked discovery is told as %v", err)
	}
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 404 Not Found\r\n\r\n", "odd\r\n\r\n", "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 200) + "\r\n",
	} {
		if _, err := readResponseHead(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	for _, text := range []string{"x\r\nab\r\n", "2\r\nabc\r\n0\r\n", "-1\r\n", "ffffffff\r\n", "5\r\nab"} {
		if _, err := io.ReadAll(&chunkedReader{reader: bufio.NewReader(strings.NewReader(text))}); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// However a body is cut into chunks, and those into packets, it comes out whole;
// and whatever comes in, reading it ends.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("{\"revision\":1}\n\n"), []byte{3, 200, 0})
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, body, cuts []byte) {
		_, _ = io.Copy(io.Discard, &chunkedReader{reader: bufio.NewReader(bytes.NewReader(body))})
		_, _ = readResponseHead(bufio.NewReader(bytes.NewReader(body)))
		var wire strings.Builder
		from := testutil.New(cuts)
		for part, rest := from.Cut(body); part != nil; part, rest = from.Cut(rest) {
			wire.WriteString(chunkText(string(part)))
		}
		wire.WriteString("0\r\n\r\n")
		got, err := io.ReadAll(&chunkedReader{reader: bufio.NewReader(iotest.OneByteReader(strings.NewReader(wire.String())))})
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("got %q, %v, want %q", got, errors.Join(err), body)
		}
	})
}

// scriptedAgent is an agent whose watches the test holds, one after another.
type scriptedAgent struct {
	t       *testing.T
	watches chan *agentWatch
	address string
}

// agentWatch is one watch, at the agent's side.
type agentWatch struct {
	net.Conn
	from string
}

func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	s := &scriptedAgent{t: t, watches: make(chan *agentWatch, 64)}
	s.address = listenAsAgent(t, func(c net.Conn, request string) {
		_, from, _ := strings.Cut(strings.TrimSuffix(request, " HTTP/1.1"), "from=")
		s.watches <- &agentWatch{c, from}
	})
	return s
}

// next is the watch that is opened next, and how long that took.
func (s *scriptedAgent) next(from string) (*agentWatch, time.Duration) {
	s.t.Helper()
	began := time.Now()
	select {
	case h := <-s.watches:
		s.t.Cleanup(func() { h.Close() })
		if h.from != from {
			s.t.Fatalf("a watch from %s, want %s", h.from, from)
		}
		return h, time.Since(began)
	case <-time.After(8 * time.Second):
		s.t.Fatal("no watch is opened")
	}
	return nil, 0
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (h *agentWatch) answer(texts ...string) {
	io.WriteString(h, okHead)
	for _, text := range texts {
		io.WriteString(h, chunkText(text))
	}
}

// startWatcher has a farm watched until the test's end.
func startWatcher(t *testing.T, address string, ask bool) (*proxy.Proxy, *Watcher) {
	k := newProxy()
	if ask {
		s := *k.Settings()
		s.PollList, s.PollInterval = true, 10*time.Second
		k.UpdateSettings(&s)
	}
	w := &Watcher{Proxy: k, Address: address, Zones: []string{"a", "b"}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = w.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return k, w
}

// What a watch that falls silent misses counts as told 6 s later, whether lists are pushed or asked for: by then the
// next has to have brought it. That one may find nobody who answers, too.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		ask  bool
		part string // of a list, where it falls silent within
	}{{"pushed", false, ""}, {"asked for", true, ""}, {"within a list", false, listJSON(9, false, memberJSON("s-1", "draining"))[:40]}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			agent := newScriptedAgent(t)
			k, _ := startWatcher(t, agent.address, c.ask)
			h, _ := agent.next("0")
			h.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")))
			testutil.Until(t, "the list is there", func() bool { return statesOf(k) == "s-1=ready s-2=ready" })
			began := time.Now() // it says nothing from now on
			if c.part != "" {
				io.WriteString(h, chunkText(c.part))
			}
			agent.next("7") // and the next one not even that it is there
			h, _ = agent.next("7")
			h.answer(listJSON(9, false, memberJSON("s-1", "draining")))
			testutil.Until(t, "the drain is there", func() bool { return statesOf(k) == "s-1=draining s-2=ready" })
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("a drain is known %v after the watch fell silent", took)
			}
		})
	}
}

// An agent has what it was sent, whether a watch is open or not, and it counts as told: a watch that breaks is opened
// again within a part of any grace, however often that was needed before and though nothing had changed.
func TestBrokenWatchIsReopenedAtOnce(t *testing.T) {
	agent := newScriptedAgent(t)
	k, _ := startWatcher(t, agent.address, false)
	h, _ := agent.next("0")
	h.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list is there", func() bool { return statesOf(k) == "s-1=ready" })
	for range 8 {
		h.Conn.(*net.TCPConn).SetLinger(0)
		h.Close()
		var took time.Duration
		if h, took = agent.next("7"); took > 700*time.Millisecond {
			t.Fatalf("a watch that was reset is opened again after %v", took)
		}
		h.answer("\n")
	}
}

// A list that an old watch, or the agent before, still has to tell never undoes a newer one.
func TestOldWatchNeverUndoesNewerList(t *testing.T) {
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	k, w := startWatcher(t, before.address, false)
	old, _ := before.next("0")
	old.answer(listJSON(7, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready")), listJSON(8, false, memberJSON("s-1", "draining"))[:50])
	testutil.Until(t, "the list is there", func() bool { return statesOf(k) == "s-1=ready s-2=ready" })
	w.SetAddress(after.address)
	h, _ := after.next("0")
	h.answer(listJSON(9, true, memberJSON("s-1", "draining"), memberJSON("s-2", "draining")))
	testutil.Until(t, "the new agent's list is there", func() bool { return statesOf(k) == "s-1=draining s-2=draining" })
	io.WriteString(old, chunkText(listJSON(8, false, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"))))
	// Nor do changes that newer ones have overtaken on one watch.
	io.WriteString(h, chunkText(listJSON(8, false, memberJSON("s-1", "ready")))+chunkText(listJSON(10, false, memberJSON("s-3", "ready"))))
	testutil.Until(t, "the newest change is there", func() bool { return strings.HasSuffix(statesOf(k), "s-3=ready") })
	if got := statesOf(k); got != "s-1=draining s-2=draining s-3=ready" {
		t.Errorf("the farm is %s", got)
	}
}

// A new agent may have an older list than the last one had. Who was told to drain, or is gone, does not come back by it, but
// by a newer one, by a start since then, or once every agent must have heard.
func TestOlderListOfNewAgentRestoresNoEndpoint(t *testing.T) {
	t.Parallel()
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	k, w := startWatcher(t, before.address, false)
	old, _ := before.next("0")
	old.answer(listJSON(50, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-3", "ready"), memberJSON("s-4", "ready"), memberJSON("s-5", "ready")))
	io.WriteString(old, chunkText(listJSON(51, false, memberJSON("s-1", "draining"), memberJSON("s-2", "draining"), memberJSON("s-3", "draining"), memberJSON("s-4", "gone"))))
	testutil.Until(t, "the drains are told", func() bool { return statesOf(k) == "s-1=draining s-2=draining s-3=draining s-4=gone s-5=ready" })
	passes, _ := k.Endpoints.Find(k.Endpoints.ID("s-1"))
	w.SetAddress(after.address)
	h, _ := after.next("0")
	again := strings.Replace(memberJSON("s-3", "ready"), `"up_since_ms":0`, fmt.Sprintf(`"up_since_ms":%d`, time.Now().Add(time.Second).UnixMilli()), 1)
	h.answer(listJSON(48, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), again, memberJSON("s-4", "ready"), memberJSON("s-5", "draining"), memberJSON("s-6", "ready")))
	testutil.Until(t, "the new agent's list is there", func() bool { return strings.HasSuffix(statesOf(k), "s-6=ready") })
	if got := statesOf(k); got != "s-1=draining s-2=draining s-3=ready s-4=gone s-5=draining s-6=ready" {
		t.Errorf("the farm is %s", got)
	}
	if !passes.IsDraining() {
		t.Error("a pass would go to a server that drains")
	}
	io.WriteString(h, chunkText(listJSON(52, false, memberJSON("s-2", "ready"))))
	testutil.Until(t, "a newer list has it ready", func() bool { return strings.Contains(statesOf(k), "s-2=ready") })
	began := time.Now()
	go func() { // a sound watch says something
		for sound := h; ; time.Sleep(time.Second) {
			if _, err := io.WriteString(sound, chunkText("\n")); err != nil {
				return
			}
		}
	}()
	h, _ = after.next("0") // the list is asked for once more
	if took := time.Since(began); took < propagationDelay/2 {
		t.Errorf("the list is asked for anew after %v", took)
	}
	h.answer(listJSON(49, true, memberJSON("s-1", "ready"), memberJSON("s-2", "ready"), memberJSON("s-4", "ready")))
	testutil.Until(t, "what the agent still says is so", func() bool {
		return statesOf(k) == "s-1=ready s-2=ready s-3=gone s-4=ready s-5=gone s-6=gone"
	})
}

// Servers keep the numbers of their localities, and two that no configuration names are two: a repeat is dropped within
// one zone alone.
func TestZoneNumbersAreStable(t *testing.T) {
	k := newProxy()
	w := &Watcher{Proxy: k, Zones: []string{"a", "b"}}
	for i, want := range map[string]int{"a": 0, "b": 1} {
		if got := w.ZoneNumber(i); got != want {
			t.Errorf("locality %q is %d", i, got)
		}
	}
	c, d := w.ZoneNumber("c"), w.ZoneNumber("d")
	if c < 2 || d < 2 || c == d || w.ZoneNumber("c") != c || w.ZoneNumber("b") != 1 {
		t.Errorf("localities that nobody named are %d and %d, then %d and %d", c, d, w.ZoneNumber("c"), w.ZoneNumber("b"))
	}
}

// A configuration that leaves discovery where it is leaves the watch alone.
func TestHealthyWatchContinuesAtSameAddress(t *testing.T) {
	agent := newScriptedAgent(t)
	k, w := startWatcher(t, agent.address, false)
	h, _ := agent.next("0")
	h.answer(listJSON(7, true, memberJSON("s-1", "ready")))
	testutil.Until(t, "the list is there", func() bool { return statesOf(k) == "s-1=ready" })
	w.SetAddress(agent.address)
	io.WriteString(h, chunkText(listJSON(8, false, memberJSON("s-1", "draining"))))
	testutil.Until(t, "the watch still tells", func() bool { return statesOf(k) == "s-1=draining" })
	if n := len(agent.watches); n != 0 {
		t.Errorf("%d more watches were opened", n)
	}
}
