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

// openRequest opens a request at the line frontend. It returns its connection, and the first line of the answer, or "" if it does
// not wait for one.
func (cluster *testCluster) openRequest(name, class string, wait bool) (*net.TCPConn, string) {
	cluster.t.Helper()
	c, err := net.Dial("tcp", cluster.listen)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPEN %s 1 c=%s,d=900\r\n", name, class)
	if !wait {
		return c.(*net.TCPConn), ""
	}
	answer, _ := bufio.NewReaderSize(c, 64).ReadString('\n')
	return c.(*net.TCPConn), answer
}

// Each case has one event and what it may add to the metrics; the endpoints' log says how many attempts there were.
func TestFiguresCountTheEvent(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t)
	relay := cluster.startProcess()
	relay.awaitReady()
	all := func(m fake.ServerMode) {
		for _, one := range cluster.site.Servers {
			one.SetMode(m, 0)
		}
	}
	for _, c := range []struct {
		name string
		do   func()
		want map[string]int
	}{
		{"a client that goes before its answer", func() {
			all(fake.ModeHang)
			c, _ := cluster.openRequest("a1", "page", false)
			testutil.Until(t, "it is not taken", func() bool { return relay.metrics()["active"] == 1 && len(cluster.site.Log.Attempts()) == 1 })
			c.Close()
		}, nil},
		{"one that is served and leaves", func() {
			all(fake.ModeAccept)
			c, answer := cluster.openRequest("b1", "page", true)
			if relay.metrics()["active"] != 1 {
				t.Errorf("%q, and active is %d", answer, relay.metrics()["active"])
			}
			c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`ok_total{kind="page"}`: 1}},
		{"one that is moved, and comes again", func() {
			c, _ := cluster.openRequest("c1", "live", true)
			for _, one := range cluster.site.Servers {
				if one.Name == cluster.site.Log.Attempts()[len(cluster.site.Log.Attempts())-1].Endpoint {
					one.Drain()
				}
			}
			if text, _ := io.ReadAll(c); len(text) == 0 {
				t.Error("it is not told to move")
			}
			again, _ := cluster.openRequest("c2", "live", true)
			again.CloseWrite()
			_, _ = io.Copy(io.Discard, again)
		}, map[string]int{`ok_total{kind="live"}`: 2}},
		{"one that says what it wants twice over", func() {
			c, err := net.Dial("tcp", cluster.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			io.WriteString(c, "OPEN d1 1 c=page,d=900\r\nOPEN d2 1 c=page,d=900\r\n")
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`errors_total{kind="page"}`: 1}},
		{"one without a class that there is", func() {
			c, _ := cluster.openRequest("e1", "extra", true)
			_, _ = io.Copy(io.Discard, c)
		}, nil},
		{"the same, once the class has come by SIGHUP", func() {
			cluster.writeConfig(append([]fake.Class{{Name: "extra", TimeLimit: time.Second}}, serviceClasses...))
			_ = relay.Process.Signal(syscall.SIGHUP)
			testutil.Until(t, "the file is not taken", func() bool { return relay.metrics()["config_applied_total"] == 1 })
			c, _ := cluster.openRequest("f1", "extra", true)
			c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`ok_total{kind="extra"}`: 1, "config_applied_total": 1}},
		{"one that stands as its class goes, and ends then", func() {
			c, _ := cluster.openRequest("g1", "extra", true)
			cluster.writeConfig(serviceClasses)
			_ = relay.Process.Signal(syscall.SIGHUP)
			testutil.Until(t, "the file is not taken", func() bool { return relay.metrics()["config_applied_total"] == 2 })
			if n := relay.metrics()["active"]; n != 1 {
				t.Errorf("active is %d", n)
			}
			c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`ok_total{kind="extra"}`: 1, "config_applied_total": 1}},
		{"servers that break what comes", func() {
			all(fake.ModeBreak)
			c, _ := cluster.openRequest("h1", "page", true)
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`shed_total{kind="page"}`: 1}},
		{"servers that can't be reached: no try is written", func() {
			for _, one := range cluster.site.Servers {
				one.Stop()
			}
			c, _ := cluster.openRequest("i1", "page", true)
			_, _ = io.Copy(io.Discard, c)
		}, map[string]int{`shed_total{kind="page"}`: 1}},
	} {
		before, tries := relay.metrics(), len(cluster.site.Log.Attempts())
		c.do()
		testutil.Until(t, c.name+": it is still active", func() bool { return relay.metrics()["active"] == 0 })
		after := relay.metrics()
		for _, pool := range []string{"pool_size", "pool_ejected", "active"} {
			delete(after, pool)
		}
		for name, n := range after {
			want := c.want[name]
			if name == "tries_total" {
				want = len(cluster.site.Log.Attempts()) - tries
			}
			if n-before[name] != want {
				t.Errorf("%s: %s grows by %d, want %d", c.name, name, n-before[name], want)
			}
		}
	}
	relay.requireRunning()
}
