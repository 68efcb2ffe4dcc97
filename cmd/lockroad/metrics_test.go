package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/fake"
	"lockroad/internal/testutil"
)

// openRequest opens a request at the line frontend and returns its connection. With wait it also returns the first line
// of the answer.
func (cluster *testCluster) openRequest(name, class string, wait bool) (*net.TCPConn, string) {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.lineAddress)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "OPEN %s 1 c=%s,d=900\r\n", name, class)
	if !wait {
		return conn.(*net.TCPConn), ""
	}
	answer, _ := bufio.NewReaderSize(conn, 64).ReadString('\n')
	return conn.(*net.TCPConn), answer
}

// Each event must change exactly the metrics that count it. The expected number of attempts is taken from the
// endpoints.
func TestMetricsCountEachEvent(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t)
	relay := cluster.startProcess()
	relay.awaitReady()
	setMode := func(mode fake.ServerMode) {
		for _, server := range cluster.site.Servers {
			server.SetMode(mode, 0)
		}
	}
	for _, test := range []struct {
		name string
		do   func()
		want map[string]int
	}{
		{"a client disconnects before its answer", func() {
			setMode(fake.ModeHang)
			conn, _ := cluster.openRequest("a1", "page", false)
			testutil.Until(t, "no attempt is made", func() bool { return relay.metrics()["active"] == 1 && len(cluster.site.Log.Attempts()) == 1 })
			conn.Close()
		}, nil},
		{"a client is served and leaves", func() {
			setMode(fake.ModeAccept)
			conn, answer := cluster.openRequest("b1", "page", true)
			if relay.metrics()["active"] != 1 {
				t.Errorf("after the answer %q the metric active is %d, want 1", answer, relay.metrics()["active"])
			}
			conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`ok_total{kind="page"}`: 1}},
		{"a client is migrated and returns", func() {
			conn, _ := cluster.openRequest("c1", "live", true)
			for _, server := range cluster.site.Servers {
				if server.Name == cluster.site.Log.Attempts()[len(cluster.site.Log.Attempts())-1].Endpoint {
					server.Drain()
				}
			}
			if text, _ := io.ReadAll(conn); len(text) == 0 {
				t.Error("the client of a draining endpoint is not told to migrate")
			}
			returning, _ := cluster.openRequest("c2", "live", true)
			returning.CloseWrite()
			_, _ = io.Copy(io.Discard, returning)
		}, map[string]int{`ok_total{kind="live"}`: 2}},
		{"a client sends its opening line twice", func() {
			conn, err := net.Dial("tcp", cluster.lineAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			io.WriteString(conn, "OPEN d1 1 c=page,d=900\r\nOPEN d2 1 c=page,d=900\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`errors_total{kind="page"}`: 1}},
		{"a client has an unknown class", func() {
			conn, _ := cluster.openRequest("e1", "extra", true)
			_, _ = io.Copy(io.Discard, conn)
		}, nil},
		{"a client has a class added at SIGHUP", func() {
			cluster.writeConfig(append([]fake.Class{{Name: "extra", TimeLimit: time.Second}}, serviceClasses...))
			_ = relay.Process.Signal(syscall.SIGHUP)
			testutil.Until(t, "the configuration is not reloaded", func() bool { return relay.metrics()["config_applied_total"] == 1 })
			conn, _ := cluster.openRequest("f1", "extra", true)
			conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`ok_total{kind="extra"}`: 1, "config_applied_total": 1}},
		{"a client is served while its class is removed, and leaves", func() {
			conn, _ := cluster.openRequest("g1", "extra", true)
			cluster.writeConfig(serviceClasses)
			_ = relay.Process.Signal(syscall.SIGHUP)
			testutil.Until(t, "the configuration is not reloaded", func() bool { return relay.metrics()["config_applied_total"] == 2 })
			if n := relay.metrics()["active"]; n != 1 {
				t.Errorf("after the removal of its class the metric active is %d, want 1", n)
			}
			conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`ok_total{kind="extra"}`: 1, "config_applied_total": 1}},
		{"endpoints break every connection", func() {
			setMode(fake.ModeBreak)
			conn, _ := cluster.openRequest("h1", "page", true)
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`shed_total{kind="page"}`: 1}},
		{"endpoints cannot be reached, which is no attempt", func() {
			for _, server := range cluster.site.Servers {
				server.Stop()
			}
			conn, _ := cluster.openRequest("i1", "page", true)
			_, _ = io.Copy(io.Discard, conn)
		}, map[string]int{`shed_total{kind="page"}`: 1}},
	} {
		before, attempts := relay.metrics(), len(cluster.site.Log.Attempts())
		test.do()
		testutil.Until(t, test.name+": a transaction is still active", func() bool { return relay.metrics()["active"] == 0 })
		after := relay.metrics()
		for _, gauge := range []string{"pool_size", "pool_ejected", "active"} {
			delete(after, gauge)
		}
		for name, n := range after {
			want := test.want[name]
			if name == "tries_total" {
				want = len(cluster.site.Log.Attempts()) - attempts
			}
			if n-before[name] != want {
				t.Errorf("%s: metric %s grows by %d, want %d", test.name, name, n-before[name], want)
			}
		}
	}
	relay.requireRunning()
}
