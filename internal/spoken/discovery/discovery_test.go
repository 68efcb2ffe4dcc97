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

	"lockroad/balance"
	"lockroad/internal/core"
	"lockroad/internal/steps"
)

func newCore() *core.Core {
	return core.New(balance.Settings{
		Classes: []balance.Class{{Deadline: time.Second}}, Relays: 1, MaxAttempts: 3,
		ColdShare: 0.2, TipMultiple: 3, TipAfter: time.Second,
	}, 1, core.NewClock())
}

func member(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","locality":"b","flavor":"m2","cell":3,"phase":%q,"size":1.5,"up_since_ms":0}`, id, phase)
}

func list(revision int, complete bool, members ...string) string {
	return fmt.Sprintf("{\"revision\":%d,\"complete\":%v,\"members\":[%s]}\n", revision, complete, strings.Join(members, ","))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// agent is a stand-in of discovery's agent. Each watch gets the chunks of its turn.
func agent(t *testing.T, turns ...[]string) (address string, asked <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := make(chan string, len(turns)+8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			text, _ := bufio.NewReader(c).ReadString('\n')
			requests <- strings.TrimSpace(text)
			if len(turns) == 0 {
				t.Cleanup(func() { c.Close() })
				continue // says nothing, as one that is down
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n")
			for _, text := range turns[0] {
				io.WriteString(c, chunk(text))
			}
			turns = turns[1:]
			c.Close()
		}
	}()
	return l.Addr().String(), requests
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

func farmOf(k *core.Core) string {
	var all []string
	for _, s := range k.Farm.List() {
		all = append(all, s.Name+"="+[]string{"gone", "ready", "draining"}[s.Phase])
	}
	return strings.Join(all, " ")
}

// A watch that ends is opened again from the last revision, and every list takes
// effect as it comes.
func TestWatchIsOpenedAgainFromTheLastRevision(t *testing.T) {
	address, asked := agent(t,
		[]string{"\n", list(42, false, member("s-2", "draining")), "\n"},
		[]string{list(50, true, member("s-2", "ready"))[:30], list(50, true, member("s-2", "ready"))[30:] + "\n" + list(51, false, member("s-3", "ready"))},
	)
	k := newCore()
	w := &Watcher{Core: k, Address: address, Zones: []string{"a", "b"}}
	if err := w.Know(List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-1", HostPort: "x", Locality: "a", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "y", Locality: "b", Phase: "ready", Size: 1},
	}}); err != nil {
		t.Fatal(err)
	}
	known, _ := k.Farm.Find(k.Farm.ID("s-2"))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { w.Run(ctx) })
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
			case <-known.Leaving:
			case <-time.After(5 * time.Second):
				t.Fatal("a server that drains is not leaving")
			}
		case 2:
			if got := farmOf(k); got != "s-1=gone s-2=ready s-3=ready" {
				t.Errorf("the farm is %s", got)
			}
		}
	}
	cancel()
	done.Wait()
}

// Lists may come indented. One that is read line by line ends the watch, time after time, and the relay goes on
// with what it knew at its start.
func TestIndentedListsAreTaken(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	all := indent(list(7, true, member("s-1", "ready"), member("s-2", "ready")))
	address, asked := agent(t, []string{"\n", all[:50], all[50:], "\r\n\n", indent(list(8, false, member("s-2", "draining")))}, nil)
	k := newCore()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { (&Watcher{Core: k, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
	defer done.Wait()
	defer cancel()
	wantWatches(t, asked, "from=0", "from=8")
	if got := farmOf(k); got != "s-1=ready s-2=draining" {
		t.Errorf("the farm is %s", got)
	}
}

func TestListsThatMakeNoSenseChangeNothing(t *testing.T) {
	k := newCore()
	w := &Watcher{Core: k}
	for _, m := range []Member{{ID: "", Phase: "ready"}, {ID: "s-1", Phase: "odd"}, {ID: "s-1", Phase: "ready", Size: -1}} {
		if err := w.Know(List{Members: []Member{m}}); err == nil {
			t.Errorf("%+v was taken", m)
		}
	}
	if got := farmOf(k); got != "" {
		t.Errorf("the farm is %s", got)
	}
}

// Lists that are empty, cut short, garbled or no lists are told in the log, the farm is
// kept, and the watch goes on from where it was.
func TestUselessListsAreToldAndChangeNothing(t *testing.T) {
	whole := list(7, true, member("s-1", "ready"), member("s-2", "ready"))
	for name, bad := range map[string]string{
		"empty": list(9, true), "cut short": list(9, true, member("s-1", "ready"))[:60], "garbled": "{\"revision\":\n",
		"no list": "[1]\n", "odd phase": list(9, false, member("s-1", "odd")),
	} {
		t.Run(name, func(t *testing.T) {
			address, asked := agent(t, []string{whole, bad}, []string{list(8, false, member("s-2", "draining"))}, nil)
			k := newCore()
			log := make(lines, 16)
			k.Log = slog.New(slog.NewTextHandler(log, nil))
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { (&Watcher{Core: k, Address: address, Zones: []string{"a", "b"}}).Run(ctx) })
			defer done.Wait()
			defer cancel()
			wantWatches(t, asked, "from=0", "from=7", "from=8")
			if text := <-log; !strings.Contains(text, "watch of the farm has ended") {
				t.Errorf("the log says %q", text)
			}
			if got := farmOf(k); got != "s-1=ready s-2=draining" {
				t.Errorf("the farm is %s", got)
			}
		})
	}
}

// lines takes what is logged.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

func TestWatchesAreOpenedAgainLessAndLessOften(t *testing.T) {
	for _, busy := range []bool{false, true} {
		seen := map[time.Duration]bool{}
		for fails := range 12 {
			most := min(againMost, againWait<<fails)
			if busy {
				most = min(busyMost, busyWait<<fails)
			}
			for range 50 {
				wait := again(fails, busy)
				if seen[wait] = true; wait < most/2 || wait > most {
					t.Fatalf("after %d fails, busy %v, the wait is %v, not within half of %v and all", fails, busy, wait, most)
				}
			}
		}
		if len(seen) < 100 {
			t.Errorf("%d waits of 600 differ: relays come back in step", len(seen))
		}
	}
	_, err := readHead(bufio.NewReader(strings.NewReader("HTTP/1.1 503 Service Unavailable\r\n\r\n")))
	if !errors.Is(err, errBusy) {
		t.Errorf("an overbooked discovery is told as %v", err)
	}
}

func TestAnswersThatMakeNoSense(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 404 Not Found\r\n\r\n", "odd\r\n\r\n", "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 200) + "\r\n",
	} {
		if _, err := readHead(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	for _, text := range []string{"x\r\nab\r\n", "2\r\nabc\r\n0\r\n", "-1\r\n", "ffffffff\r\n", "5\r\nab"} {
		if _, err := io.ReadAll(&chunked{r: bufio.NewReader(strings.NewReader(text))}); err == nil {
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
		io.Copy(io.Discard, &chunked{r: bufio.NewReader(bytes.NewReader(body))})
		readHead(bufio.NewReader(bytes.NewReader(body)))
		var wire strings.Builder
		from := steps.New(cuts)
		for part, rest := from.Cut(body); part != nil; part, rest = from.Cut(rest) {
			wire.WriteString(chunk(string(part)))
		}
		wire.WriteString("0\r\n\r\n")
		got, err := io.ReadAll(&chunked{r: bufio.NewReader(iotest.OneByteReader(strings.NewReader(wire.String())))})
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("got %q, %v, want %q", got, errors.Join(err), body)
		}
	})
}
