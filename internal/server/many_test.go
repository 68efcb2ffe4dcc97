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

// endpointCounts exceed the sizes of real endpoint lists. Nothing may be truncated at a thousand endpoints.
var endpointCounts = []int{1024, 2000}

// listOf returns a list of n endpoints.
func listOf(n int) discovery.List {
	list := discovery.List{Revision: 41, Complete: true}
	for i := range n {
		list.Members = append(list.Members, discovery.Member{
			ID: fmt.Sprintf("s-%08x", i+1), HostPort: fmt.Sprintf("10.%d.%d.%d:3000", i>>16, i>>8&255, i&255), Locality: "a",
			Flavor: "std-2", Cell: i / 8, Phase: "ready", Size: 1, UpSince: 1764633600000 + int64(i),
		})
	}
	return list
}

// proxyWithList returns a proxy with a list of n endpoints and the watcher that applied the list.
func proxyWithList(t testing.TB, n int) (*proxy.Proxy, *discovery.Watcher) {
	t.Helper()
	p := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "page", Deadline: time.Second}}, RelayCount: 350, MaxAttempts: 3, ClockResolution: 2 * time.Millisecond,
		InitialCapacity: 0.2, SlowStartDuration: 23 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
	watcher := &discovery.Watcher{Proxy: p, Zones: []string{"a"}, RetainList: true}
	if err := watcher.Seed(listOf(n)); err != nil {
		t.Fatal(err)
	}
	return p, watcher
}

// snapshotOf returns a snapshot with n endpoints and 4096 cached routes.
func snapshotOf(n int) balancer.Snapshot {
	var snapshot balancer.Snapshot
	for i := range n {
		at := time.Duration(i) * time.Second
		snapshot.Endpoints = append(snapshot.Endpoints, balancer.EndpointSnapshot{ID: balancer.EndpointID(i + 1), Weight: 0.123456789, WeightSetAt: at, LastAttemptAt: at, EstablishedAt: at,
			FailedAt: at, SlowAt: at, Delay: at, DelayAt: at, RelievedAt: at, DrainingSince: at, RedirectedAt: at, StartedAt: at})
	}
	for i := range 4096 {
		snapshot.Routes = append(snapshot.Routes, balancer.RouteSnapshot{Key: uint64(i) << 40, Endpoint: balancer.EndpointID(i%n + 1), ExpiresAt: time.Hour})
	}
	return snapshot
}

func TestLargeListInConfiguration(t *testing.T) {
	for _, n := range endpointCounts {
		var fields map[string]any
		if err := json.Unmarshal([]byte(configtest.PlatformConfig("127.0.0.1:3000", "127.0.0.1:8500", "x")), &fields); err != nil {
			t.Fatal(err)
		}
		fields["known"] = listOf(n)
		text, _ := json.MarshalIndent(fields, "", "    ")
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if cfg, err := config.ReadConfig(file); err != nil || len(cfg.InitialList.Members) != n {
			t.Errorf("%d endpoints: read %d, %v", n, len(cfg.InitialList.Members), err)
		}
	}
}

// serveDiscovery answers a discovery watch with body, in HTTP chunks of chunkSize bytes. It returns the address.
func serveDiscovery(t *testing.T, body []byte, chunkSize int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; rest = rest[min(chunkSize, len(rest)):] {
			part := rest[:min(chunkSize, len(rest))]
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		}
		_, _ = io.Copy(io.Discard, conn) // the watch stays open
	}()
	return l.Addr().String()
}

func TestLargeListFromDiscovery(t *testing.T) {
	for _, n := range endpointCounts {
		compact, _ := json.Marshal(listOf(n))
		indented, _ := json.MarshalIndent(listOf(n), "", "    ")
		var additions, drains bytes.Buffer
		for i, m := range listOf(n).Members { // one update to add each endpoint, one to drain it
			update := discovery.List{Revision: uint64(50 + i), Members: []discovery.Member{m}}
			if err := json.NewEncoder(&additions).Encode(update); err != nil {
				t.Fatal(err)
			}
			update.Members[0].Phase = "draining"
			if err := json.NewEncoder(&drains).Encode(update); err != nil {
				t.Fatal(err)
			}
		}
		for name, test := range map[string]struct {
			body  []byte
			phase balancer.EndpointState
		}{
			"compact": {compact, balancer.StateReady}, "indented": {indented, balancer.StateReady}, "additions": {additions.Bytes(), balancer.StateReady},
			"drains": {append(append(compact, '\n'), drains.Bytes()...), balancer.StateDraining},
		} {
			p, _ := proxyWithList(t, 0)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			watcher := &discovery.Watcher{Proxy: p, Address: serveDiscovery(t, test.body, 1000), Zones: []string{"a"}, RetainList: true}
			go func() { _ = watcher.Run(ctx); close(done) }()
			go func() { _ = p.Run(ctx) }()
			testutil.Until(t, fmt.Sprintf("%d endpoints, %s: not all are listed", n, name), func() bool { return p.Endpoints.CountByState()[test.phase] == int64(n) })
			cancel()
			<-done
			if list, _ := watcher.List(); len(list.Members) != n {
				t.Errorf("%d endpoints, %s: the watcher retains %d for a handoff", n, name, len(list.Members))
			}
		}
	}
}

// A snapshot larger than a megabyte, or more than a thousand drain directives, must not be dropped from the
// store silently.
func TestLargeListSurvivesRestart(t *testing.T) {
	for _, n := range endpointCounts {
		dir := t.TempDir()
		s, _, err := store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()})
		if err != nil {
			t.Fatal(err)
		}
		snapshot := persistence.RelaySnapshot{Name: "n1", TakenAt: time.Now(), List: listOf(n), Names: map[balancer.EndpointID]string{}, Balancer: snapshotOf(n)}
		for i, m := range snapshot.List.Members {
			snapshot.Names[balancer.EndpointID(i+1)] = m.ID
		}
		if err := snapshotTable(s).Commit(t.Context(), snapshotKey, snapshot); err != nil {
			t.Errorf("%d endpoints: commit snapshot: %v", n, err)
		}
		directives := &store.Table[persistence.DrainDirective]{Store: s, Kind: persistence.KindDrainDirectives, Version: 1}
		for i, m := range snapshot.List.Members {
			if directives.Put(m.ID, persistence.DrainDirective{Endpoint: m.ID, Since: time.Now()}); i%200 == 0 { // a full write queue drops records
				if err := directives.Commit(t.Context(), m.ID, persistence.DrainDirective{Endpoint: m.ID}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := directives.Commit(t.Context(), "s-00000001", persistence.DrainDirective{Endpoint: "s-00000001"}); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		if s, _, err = store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()}); err != nil {
			t.Fatal(err)
		}
		got, _, ok, err := snapshotTable(s).Get(snapshotKey)
		if !ok || err != nil || len(got.List.Members) != n || len(got.Balancer.Endpoints) != n || len(got.Balancer.Routes) != 4096 {
			t.Errorf("%d endpoints: read back (found: %v, error: %v) %d in the list, %d in the balancer's snapshot and %d routes",
				n, ok, err, len(got.List.Members), len(got.Balancer.Endpoints), len(got.Balancer.Routes))
		}
		if stats := s.Stats(); stats.Records[persistence.KindDrainDirectives] != n {
			t.Errorf("%d drain directives: %d are stored after a restart", n, stats.Records[persistence.KindDrainDirectives])
		}
		_ = s.Close()
	}
}

func TestConsoleShowsLargeList(t *testing.T) {
	for _, n := range endpointCounts {
		p, _ := proxyWithList(t, n)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = p.Run(ctx) }()
		socket := filepath.Join(t.TempDir(), "c")
		l, err := console.Listen(socket)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = (&console.Server{Name: "n1", Proxy: p}).Serve(ctx, l) }()
		for _, command := range []string{"farm", "servers", "farm --json"} {
			var out strings.Builder
			if code := console.Run(socket, command, nil, &out, os.Stderr); code != 0 {
				t.Fatalf("command %q: exit code %d", command, code)
			}
			if got := strings.Count(out.String(), "s-0000"); got != n {
				t.Errorf("command %q shows %d of %d endpoints", command, got, n)
			}
		}
	}
}

// The handoff state of a large endpoint list must fit into one message to the successor.
func TestHandoffStateOfLargeListFitsMessage(t *testing.T) {
	for _, n := range endpointCounts {
		text, err := json.Marshal(handoffState{List: listOf(n), Snapshot: snapshotOf(n)})
		if err != nil {
			t.Fatal(err)
		}
		if err != nil || len(text) > 4<<20 { // TestLargeOffer in package hotrestart covers up to 9 MB
			t.Errorf("handoff state of %d endpoints has %d bytes, %v", n, len(text), err)
		}
	}
}

// The memory used for an endpoint list must stay small against the platform's limit of some 70 MB per relay.
func TestMemoryPerEndpoint(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for _, n := range []int{12, 90, 500, 1024, 2000} {
		before := heap()
		p, watcher := proxyWithList(t, n)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = p.Run(ctx); close(done) }()
		if _, err := p.Snapshot(ctx); err != nil { // returns once the list has been applied
			t.Fatal(err)
		}
		used := int64(heap()) - int64(before)
		cancel()
		<-done
		runtime.KeepAlive(watcher)
		t.Logf("%4d endpoints: %d KB", n, used>>10)
		if used > 256<<10+int64(n)*3<<10 {
			t.Errorf("%d endpoints use %d bytes of heap", n, used)
		}
	}
}
