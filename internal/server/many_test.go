package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/config"
	"lockroad/internal/config/configtest"
	"lockroad/internal/console"
	"lockroad/internal/discovery"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/store"
	"lockroad/internal/testutil"
)

// endpointCounts are far above those of today: nothing may be cut off in silence at a thousand endpoints.
var endpointCounts = []int{1024, 2000}

func listOf(n int) discovery.List {
	l := discovery.List{Revision: 41, Complete: true}
	for i := range n {
		l.Members = append(l.Members, discovery.Member{
			ID: fmt.Sprintf("s-%08x", i+1), HostPort: fmt.Sprintf("10.%d.%d.%d:3000", i>>16, i>>8&255, i&255), Locality: "a",
			Flavor: "std-2", Cell: i / 8, Phase: "ready", Size: 1, UpSince: 1764633600000 + int64(i),
		})
	}
	return l
}

// proxyWithList returns a proxy with a list of n endpoints, and the watcher that has applied it.
func proxyWithList(t testing.TB, n int) (*proxy.Proxy, *discovery.Watcher) {
	t.Helper()
	k := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "page", Deadline: time.Second}}, RelayCount: 350, MaxAttempts: 3, ClockResolution: 2 * time.Millisecond,
		InitialCapacity: 0.2, SlowStartDuration: 23 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
	w := &discovery.Watcher{Proxy: k, Zones: []string{"a"}, RetainList: true}
	if err := w.Seed(listOf(n)); err != nil {
		t.Fatal(err)
	}
	return k, w
}

// snapshotOf returns a snapshot with n endpoints and all the routes that are cached.
func snapshotOf(n int) balancer.Snapshot {
	var m balancer.Snapshot
	for i := range n {
		at := time.Duration(i) * time.Second
		m.Endpoints = append(m.Endpoints, balancer.EndpointSnapshot{ID: balancer.EndpointID(i + 1), Weight: 0.123456789, WeightSetAt: at, LastAttemptAt: at, EstablishedAt: at,
			FailedAt: at, SlowAt: at, Delay: at, DelayAt: at, RelievedAt: at, DrainingSince: at, RedirectedAt: at, StartedAt: at})
	}
	for i := range 4096 {
		m.Routes = append(m.Routes, balancer.RouteSnapshot{Key: uint64(i) << 40, Endpoint: balancer.EndpointID(i%n + 1), ExpiresAt: time.Hour})
	}
	return m
}

func TestManyServersInTheFirstConfiguration(t *testing.T) {
	for _, n := range endpointCounts {
		var fields map[string]any
		if err := json.Unmarshal([]byte(configtest.Text("127.0.0.1:3000", "127.0.0.1:8500", "x")), &fields); err != nil {
			t.Fatal(err)
		}
		fields["known"] = listOf(n)
		text, _ := json.MarshalIndent(fields, "", "    ")
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := config.ReadConfig(file); err != nil || len(c.Known.Members) != n {
			t.Errorf("%d servers: %d are read, %v", n, len(c.Known.Members), err)
		}
	}
}

// serveDiscovery answers a watch with a text, in chunks of some bytes.
func serveDiscovery(t *testing.T, text []byte, chunk int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := text; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
			part := rest[:min(chunk, len(rest))]
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		}
		_, _ = io.Copy(io.Discard, c) // the watch stays open
	}()
	return l.Addr().String()
}

func TestManyServersFromDiscovery(t *testing.T) {
	for _, n := range endpointCounts {
		whole, _ := json.Marshal(listOf(n))
		indented, _ := json.MarshalIndent(listOf(n), "", "    ")
		var pieces, drains bytes.Buffer
		for i, m := range listOf(n).Members { // one change a server, then each drains
			one := discovery.List{Revision: uint64(50 + i), Members: []discovery.Member{m}}
			if err := json.NewEncoder(&pieces).Encode(one); err != nil {
				t.Fatal(err)
			}
			one.Members[0].Phase = "draining"
			if err := json.NewEncoder(&drains).Encode(one); err != nil {
				t.Fatal(err)
			}
		}
		for name, c := range map[string]struct {
			text  []byte
			phase balancer.EndpointState
		}{
			"whole": {whole, balancer.StateReady}, "indented": {indented, balancer.StateReady}, "pieces": {pieces.Bytes(), balancer.StateReady},
			"changes": {append(append(whole, '\n'), drains.Bytes()...), balancer.StateDraining},
		} {
			k, _ := proxyWithList(t, 0)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			w := &discovery.Watcher{Proxy: k, Address: serveDiscovery(t, c.text, 1000), Zones: []string{"a"}, RetainList: true}
			go func() { _ = w.Run(ctx); close(done) }()
			go func() { _ = k.Run(ctx) }()
			testutil.Until(t, fmt.Sprintf("%d servers, %s: not all are there", n, name), func() bool { return k.Endpoints.CountByState()[c.phase] == int64(n) })
			cancel()
			<-done
			if l, _ := w.List(); len(l.Members) != n {
				t.Errorf("%d servers, %s: %d are kept for another process", n, name, len(l.Members))
			}
		}
	}
}

// A snapshot is one record, and drain directives are one an endpoint. Past a megabyte the one was dropped in silence, and of the
// others all but the last thousand.
func TestManyServersOutlastARestart(t *testing.T) {
	for _, n := range endpointCounts {
		dir := t.TempDir()
		s, _, err := store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()})
		if err != nil {
			t.Fatal(err)
		}
		known := persistence.RelaySnapshot{Name: "n1", TakenAt: time.Now(), List: listOf(n), Names: map[balancer.EndpointID]string{}, Balancer: snapshotOf(n)}
		for i, m := range known.List.Members {
			known.Names[balancer.EndpointID(i+1)] = m.ID
		}
		if err := snapshotTable(s).Commit(t.Context(), snapshotKey, known); err != nil {
			t.Errorf("%d servers: what is learnt is not kept: %v", n, err)
		}
		orders := &store.Table[persistence.DrainDirective]{Store: s, Kind: persistence.KindDrainDirectives, Version: 1}
		for i, m := range known.List.Members {
			if orders.Put(m.ID, persistence.DrainDirective{Endpoint: m.ID, Since: time.Now()}); i%200 == 0 { // the queue has a bound
				if err := orders.Commit(t.Context(), m.ID, persistence.DrainDirective{Endpoint: m.ID}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := orders.Commit(t.Context(), "s-00000001", persistence.DrainDirective{Endpoint: "s-00000001"}); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		if s, _, err = store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()}); err != nil {
			t.Fatal(err)
		}
		got, _, ok, err := snapshotTable(s).Get(snapshotKey)
		if !ok || err != nil || len(got.List.Members) != n || len(got.Balancer.Endpoints) != n || len(got.Balancer.Routes) != 4096 {
			t.Errorf("%d servers: %v, %v, %d, %d and %d are read back", n, ok, err, len(got.List.Members), len(got.Balancer.Endpoints), len(got.Balancer.Routes))
		}
		if stats := s.Stats(); stats.Records[persistence.KindDrainDirectives] != n {
			t.Errorf("%d orders: %d are there after a restart", n, stats.Records[persistence.KindDrainDirectives])
		}
		_ = s.Close()
	}
}

func TestManyServersAtTheConsole(t *testing.T) {
	for _, n := range endpointCounts {
		k, _ := proxyWithList(t, n)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = k.Run(ctx) }()
		socket := filepath.Join(t.TempDir(), "c")
		l, err := console.Listen(socket)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = (&console.Server{Name: "n1", Proxy: k}).Serve(ctx, l) }()
		for _, command := range []string{"farm", "servers", "farm --json"} {
			var out strings.Builder
			if code := console.Run(socket, command, nil, &out, os.Stderr); code != 0 {
				t.Fatalf("%s ends with %d", command, code)
			}
			if got := strings.Count(out.String(), "s-0000"); got != n {
				t.Errorf("%s names %d of %d servers", command, got, n)
			}
		}
	}
}

// The state that is handed over for a large endpoint list fits into one message.
func TestManyServersAreHandedOver(t *testing.T) {
	for _, n := range endpointCounts {
		text, err := json.Marshal(handoffState{List: listOf(n), Snapshot: snapshotOf(n)})
		if err != nil {
			t.Fatal(err)
		}
		if err != nil || len(text) > 4<<20 { // TestLargeOffer hands over nine
			t.Errorf("the state of %d servers has %d bytes, %v", n, len(text), err)
		}
	}
}

// The memory that a relay takes for an endpoint list, beside what it takes for none. The platform's limits are some 70 MB.
func TestMemoryByServers(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []int{12, 90, 500, 1024, 2000} {
		before := heap()
		k, w := proxyWithList(t, n)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = k.Run(ctx); close(done) }()
		if _, err := k.Snapshot(ctx); err != nil { // the list has been taken
			t.Fatal(err)
		}
		took := int64(heap()) - int64(before)
		cancel()
		<-done
		runtime.KeepAlive(w)
		t.Logf("%4d servers: %d KB", n, took>>10)
		if took > 256<<10+int64(n)*3<<10 {
			t.Errorf("%d servers take %d bytes", n, took)
		}
	}
}
