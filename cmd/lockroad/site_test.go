package main

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/config"
	"lockroad/internal/fake"
	"lockroad/internal/invariants"
	"lockroad/internal/server"
	"lockroad/internal/testutil"
)

var siteClasses = []fake.Class{
	{Name: "page", Share: 0.7, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 500 * time.Millisecond},
	{Name: "live", Share: 0.3, TimeLimit: 2 * time.Second, MeanLifetime: time.Second},
}

// From nothing to a client that is served by two commands; then an endpoint dies and comes back, the file is reloaded with another
// list, and a broken one is rejected. Nothing of it violates an invariant.
func TestSiteFromNothing(t *testing.T) {
	t.Parallel()
	cluster := newClusterOf(t, 3, func(one *fake.Server) { one.AnswersProbes = true })
	file, socket := filepath.Join(cluster.dir, "site.toml"), filepath.Join(cluster.dir, "sock")
	args := []string{"init", file, "--name", "music-room", "--listen", cluster.listen, "--socket", socket}
	for _, one := range cluster.site.Servers {
		args = append(args, "--server", one.LineAddress())
	}
	began := time.Now()
	if code, out, errs := runCommandLine(args...); code != 0 {
		t.Fatalf("%d %s%s", code, out, errs)
	}
	if code, _, errs := runCommandLine(args...); code != 1 || !strings.Contains(errs, "exists") {
		t.Errorf("a second time: %d %s", code, errs)
	}
	if code, out, errs := runCommandLine("check", file); code != 0 || !strings.Contains(out, "a sound site's file") {
		t.Errorf("%d %s%s", code, out, errs)
	}
	quick := strings.NewReplacer(`every = "2s"`, `every = "200ms"`, `timeout = "1s"`, `timeout = "200ms"`)
	text, _ := os.ReadFile(file)
	fast := quick.Replace(string(text))
	if err := os.WriteFile(file, []byte(fast), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "run", "--site", file)
	cmd.Env = append(os.Environ(), "LOCKROAD_TEST_PROGRAM=1", "GORACE=atexit_sleep_ms=0", "LOCKROAD_OPERATOR=", "PROXY_CONFIG=", "PROXY_ADMIN_ADDR=", "TMPDIR="+cluster.dir)
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if t.Failed() {
			if err := <-ended; err != nil {
				t.Logf("the process ended: %v", err)
			}
			t.Log(log.String())
		}
	})
	testutil.Until(t, "no start", func() bool { return answersPing(cluster.listen) })
	cluster.runClients(&fake.ClientPool{Classes: siteClasses, Rate: 60, Groups: 20, MessageInterval: 40 * time.Millisecond, MaxClients: 100, Seed: 5})
	served := func() int {
		n := 0
		for _, session := range cluster.site.Log.Sessions() {
			if session.Answer == "up" {
				n++
			}
		}
		return n
	}
	testutil.Until(t, "nobody is served", func() bool { return served() > 0 })
	t.Logf("from nothing to the first client served: %v", time.Since(began).Round(time.Millisecond))

	dead := cluster.site.Servers[0]
	dead.Stop()
	runConsole(t, socket, "health", "SERVER")
	testutil.Until(t, "a dead server is up", func() bool { return strings.Contains(runConsole(t, socket, "health"), "down") })
	if err := dead.Start(dead.LineAddress(), ""); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "a server that is back is down", func() bool { return !strings.Contains(runConsole(t, socket, "health"), "down") })
	back := time.Now()
	testutil.Until(t, "nobody comes to it", func() bool { return cluster.attemptsAt("s-1", back) > 0 })

	gone := cluster.site.Servers[1]
	without := strings.Replace(fast, "[[server]]\nname = \"s-2\"\naddress = \""+gone.LineAddress()+"\"\nsize = 1.0                   # capacity relative to the other servers\n", "", 1)
	without = strings.Replace(without, "attempts = 5", "attempts = 4", 1)
	if err := os.WriteFile(file, []byte(without), 0o600); err != nil {
		t.Fatal(err)
	}
	runConsole(t, socket, "reload --dry-run", `server[s-2].name: removed, was "s-2"`, `limits.attempts: changed from "5" to "4"`)
	if runConsole(t, socket, "farm"); cluster.attemptsAt("s-2", back) == 0 {
		t.Error("a dry run took the server out")
	}
	if err := os.WriteFile(file, []byte(without+"\n[[class]]\nname = \"page\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	runConsole(t, socket, "reload", file, "another class is already named")
	if err := os.WriteFile(file, []byte(without), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP)
	testutil.Until(t, "the server is still there", func() bool { return strings.Contains(runConsole(t, socket, "farm"), "draining") })
	reloaded := time.Now().Add(550 * time.Millisecond)
	testutil.Until(t, "someone is left there", func() bool {
		return time.Now().After(reloaded) && !strings.Contains(runConsole(t, socket, "transactions"), "s-2")
	})
	letClientsRun()
	if n := cluster.attemptsAt("s-2", reloaded); n > 0 {
		t.Errorf("%d attempts come to a server that the file no longer names", n)
	}
	cluster.stopClients()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if ended <- err; err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
	for _, b := range invariants.Check(invariants.History{Sessions: cluster.site.Log.Sessions(), Attempts: cluster.site.Log.Attempts(), Limits: invariants.DefaultLimits(),
		ServerFaulted: func(p fake.Attempt) bool { return p.Endpoint == "s-1" }, ClientFaulted: func(session fake.Session) bool { return session.End == "broken" }}) {
		t.Error(b)
	}
}

func TestInitAsks(t *testing.T) {
	file := filepath.Join(t.TempDir(), "site.toml")
	var out, errs strings.Builder
	code := execute([]string{"init", file}, streams{strings.NewReader("room\n\n127.0.0.1:4000, 127.0.0.1:4001\n\n"), &out, &errs})
	text, _ := os.ReadFile(file)
	if code != 0 || !strings.Contains(string(text), `name = "room"`) || strings.Count(string(text), "[[server]]") != 2 || !strings.Contains(string(text), "0.0.0.0:3000") {
		t.Errorf("%d %s%s\n%s", code, out.String(), errs.String(), text)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nlisten = \"nowhere\"\n[[server]]\naddress = \"a:1\"\n[[server]]\naddress = \"b\"\nsize = -1.0\n[[class]]\nname = \"p\"\ngive_up_after = \"soon\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := runCommandLine("check", bad); code != 1 || !strings.Contains(errs, bad+":10: class.give_up_after") {
		t.Errorf("%d %s", code, errs)
	}
	if err := os.WriteFile(bad, []byte("name = \"x\"\nlisten = \"nowhere\"\n[[server]]\naddress = \"a:1\"\n[[server]]\naddress = \"b\"\nsize = -1.0\n[health]\nevery = \"50ms\"\ntimeout = \"40ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, told := runCommandLine("check", bad)
	for _, want := range []string{":2: listen: ", ":6: server[1].address: ", ":7: server[1].size: ", ":8: health: ", "class: is missing"} {
		if code != 1 || !strings.Contains(told, want) {
			t.Errorf("%d: no %q in\n%s", code, want, told)
		}
	}
}

// One classroom floods a relay of 24 admission slots, and another comes as always. Where slots are shared out fairly the other is
// served; where they are not it is rejected.
func TestFairShareUnderFloodOfOneAddress(t *testing.T) {
	t.Parallel()
	for _, fair := range []bool{true, false} {
		cluster := newClusterOf(t, 2, func(one *fake.Server) { one.AnswersProbes = true })
		var servers []string
		for _, one := range cluster.site.Servers {
			servers = append(servers, one.LineAddress())
		}
		file := filepath.Join(cluster.dir, "site.toml")
		text := config.RenderSite("box", cluster.listen, filepath.Join(cluster.dir, "sock"), servers)
		text = strings.Replace(text, "sockets = 4096", "sockets = 64", 1)
		if !fair {
			text = strings.Replace(text, "fair = true", "fair = false", 1)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		site, err := config.ReadSite(file)
		if err != nil {
			t.Fatal(err)
		}
		leave, ended := make(chan struct{}), make(chan error, 1)
		go func() {
			ended <- server.Run(context.Background(), server.RunOptions{Shutdown: leave, ConfigPath: file, Site: site}, site.Config, site.Operator, slog.New(slog.DiscardHandler))
		}()
		testutil.Until(t, "no start", func() bool { return answersPing(cluster.listen) })
		flood := &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.listen, SourceAddress: "127.0.0.9", Classes: siteClasses[:1], Rate: 300, Groups: 9, MessageInterval: 100 * time.Millisecond, MaxClients: 200, Seed: 1}
		flood.Classes = []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 30 * time.Second}}
		flood.Prepare()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); flood.Run(ctx) }()
		testutil.Until(t, "the flood does not fill the box", func() bool {
			up, away := 0, 0
			for _, session := range cluster.site.Log.Sessions() {
				switch session.Answer {
				case "up":
					up++
				case "unavailable":
					away++
				}
			}
			return up >= 15 && away > 20
		})
		other := &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.listen, SourceAddress: "127.0.0.8", MaxClients: 50, Seed: 2}
		other.Prepare()
		served := 0
		for range 20 {
			if session := other.RunSession(ctx, "line", siteClasses[0], "5", 20*time.Millisecond); session.Answer == "up" {
				served++
			}
		}
		t.Logf("fair %v: of 20 of the other classroom %d are served", fair, served)
		if fair && served < 19 || !fair && served > 10 {
			t.Errorf("fair %v: %d of 20 are served", fair, served)
		}
		stop()
		<-done
		close(leave)
		if err := <-ended; err != nil {
			t.Logf("the process ended: %v", err)
		}
	}
}
