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

// A relay started by lockroad init and lockroad run must serve clients, detect an endpoint that dies and returns,
// reload an edited site file, and reject an invalid one, without violating an invariant.
func TestSiteLifecycle(t *testing.T) {
	t.Parallel()
	cluster := newClusterOf(t, 3, func(endpoint *fake.Server) { endpoint.AnswersProbes = true })
	file, socket := filepath.Join(cluster.dir, "site.toml"), filepath.Join(cluster.dir, "sock")
	args := []string{"init", file, "--name", "music-room", "--listen", cluster.lineAddress, "--socket", socket}
	for _, endpoint := range cluster.site.Servers {
		args = append(args, "--server", endpoint.LineAddress())
	}
	began := time.Now()
	if code, out, errs := runCommandLine(args...); code != 0 {
		t.Fatalf("init: exit code %d, want 0\n%s%s", code, out, errs)
	}
	if code, _, errs := runCommandLine(args...); code != 1 || !strings.Contains(errs, "exists") {
		t.Errorf("init over an existing file: exit code %d, want 1\n%s", code, errs)
	}
	if code, out, errs := runCommandLine("check", file); code != 0 || !strings.Contains(out, "OK (site file)") {
		t.Errorf("check: exit code %d, want 0\n%s%s", code, out, errs)
	}
	shortenProbes := strings.NewReplacer(`every = "2s"`, `every = "200ms"`, `timeout = "1s"`, `timeout = "200ms"`)
	text, _ := os.ReadFile(file)
	fast := shortenProbes.Replace(string(text))
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
				t.Logf("the relay process exited: %v", err)
			}
			t.Log(log.String())
		}
	})
	testutil.Until(t, "the relay does not start", func() bool { return answersPing(cluster.lineAddress) })
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
	testutil.Until(t, "no client is served", func() bool { return served() > 0 })
	t.Logf("time from init to the first client served: %v", time.Since(began).Round(time.Millisecond))

	stopped := cluster.site.Servers[0]
	stopped.Stop()
	runConsole(t, socket, "health", "SERVER")
	testutil.Until(t, "a stopped server is still reported up", func() bool { return strings.Contains(runConsole(t, socket, "health"), "down") })
	if err := stopped.Start(stopped.LineAddress(), ""); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "a server that was started again is still reported down", func() bool { return !strings.Contains(runConsole(t, socket, "health"), "down") })
	restartedAt := time.Now()
	testutil.Until(t, "no attempt goes to a server that was started again", func() bool { return cluster.attemptsAt("s-1", restartedAt) > 0 })

	removed := cluster.site.Servers[1]
	without := strings.Replace(fast, "[[server]]\nname = \"s-2\"\naddress = \""+removed.LineAddress()+"\"\nsize = 1.0                   # capacity relative to the other servers\n", "", 1)
	without = strings.Replace(without, "attempts = 5", "attempts = 4", 1)
	if err := os.WriteFile(file, []byte(without), 0o600); err != nil {
		t.Fatal(err)
	}
	runConsole(t, socket, "reload --dry-run", `server[s-2].name: removed, was "s-2"`, `limits.attempts: changed from "5" to "4"`)
	if runConsole(t, socket, "farm"); cluster.attemptsAt("s-2", restartedAt) == 0 {
		t.Error("no attempt went to s-2, which only a dry run removed")
	}
	if err := os.WriteFile(file, []byte(without+"\n[[class]]\nname = \"page\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	runConsole(t, socket, "reload", file, "another class is already named")
	if err := os.WriteFile(file, []byte(without), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP)
	testutil.Until(t, "a server removed from the site file does not drain", func() bool { return strings.Contains(runConsole(t, socket, "farm"), "draining") })
	drainedBy := time.Now().Add(550 * time.Millisecond)
	testutil.Until(t, "a transaction is left at a server removed from the site file", func() bool {
		return time.Now().After(drainedBy) && !strings.Contains(runConsole(t, socket, "transactions"), "s-2")
	})
	letClientsRun()
	if n := cluster.attemptsAt("s-2", drainedBy); n > 0 {
		t.Errorf("%d attempts went to s-2 after its removal from the site file", n)
	}
	cluster.stopClients()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if ended <- err; err != nil {
			t.Errorf("after SIGTERM the relay process exited with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the relay process did not exit within 5 s of SIGTERM")
	}
	for _, violation := range invariants.Check(invariants.History{Sessions: cluster.site.Log.Sessions(), Attempts: cluster.site.Log.Attempts(), Limits: invariants.DefaultLimits(),
		ServerFaulted: func(attempt fake.Attempt) bool { return attempt.Endpoint == "s-1" }, ClientFaulted: func(session fake.Session) bool { return session.End == "broken" }}) {
		t.Error(violation)
	}
}

// lockroad init must prompt for values without a flag, and lockroad check report each error with its line.
func TestInitPromptsAndCheckReportsErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "site.toml")
	var out, errs strings.Builder
	code := execute([]string{"init", file}, streams{strings.NewReader("room\n\n127.0.0.1:4000, 127.0.0.1:4001\n\n"), &out, &errs})
	text, _ := os.ReadFile(file)
	if code != 0 || !strings.Contains(string(text), `name = "room"`) || strings.Count(string(text), "[[server]]") != 2 || !strings.Contains(string(text), "0.0.0.0:3000") {
		t.Errorf("init: exit code %d\n%s%s\n%s", code, out.String(), errs.String(), text)
	}
	invalid := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(invalid, []byte("name = \"x\"\nlisten = \"nowhere\"\n[[server]]\naddress = \"a:1\"\n[[server]]\naddress = \"b\"\nsize = -1.0\n[[class]]\nname = \"p\"\ngive_up_after = \"soon\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := runCommandLine("check", invalid); code != 1 || !strings.Contains(errs, invalid+":10: class[0].give_up_after") {
		t.Errorf("check: exit code %d, want 1 and an error for class[0].give_up_after at line 10\n%s", code, errs)
	}
	if err := os.WriteFile(invalid, []byte("name = \"x\"\nlisten = \"nowhere\"\n[[server]]\naddress = \"a:1\"\n[[server]]\naddress = \"b\"\nsize = -1.0\n[health]\nevery = \"50ms\"\ntimeout = \"40ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, stderr := runCommandLine("check", invalid)
	for _, want := range []string{":2: listen: ", ":6: server[1].address: ", ":7: server[1].size: ", ":8: health: ", "class: is missing"} {
		if code != 1 || !strings.Contains(stderr, want) {
			t.Errorf("check: exit code %d, want 1; no %q in\n%s", code, want, stderr)
		}
	}
}

// While one client address floods a relay of 24 admission slots, clients from another address must be served if slots
// are shared fairly; without fair shares most of them are rejected.
func TestFairShareUnderFloodFromOneAddress(t *testing.T) {
	t.Parallel()
	for _, fair := range []bool{true, false} {
		cluster := newClusterOf(t, 2, func(endpoint *fake.Server) { endpoint.AnswersProbes = true })
		var servers []string
		for _, endpoint := range cluster.site.Servers {
			servers = append(servers, endpoint.LineAddress())
		}
		file := filepath.Join(cluster.dir, "site.toml")
		text := config.RenderSite("box", cluster.lineAddress, filepath.Join(cluster.dir, "sock"), servers)
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
		shutdown, ended := make(chan struct{}), make(chan error, 1)
		go func() {
			ended <- server.Run(context.Background(), server.RunOptions{Shutdown: shutdown, ConfigPath: file, Site: site}, site.Config, site.Operator, slog.New(slog.DiscardHandler))
		}()
		testutil.Until(t, "the relay does not start", func() bool { return answersPing(cluster.lineAddress) })
		flood := &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.lineAddress, SourceAddress: "127.0.0.9", Classes: siteClasses[:1], Rate: 300, Groups: 9, MessageInterval: 100 * time.Millisecond, MaxClients: 200, Seed: 1}
		flood.Classes = []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 30 * time.Second}}
		flood.Prepare()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); flood.Run(ctx) }()
		testutil.Until(t, "the flood does not use up the admission slots", func() bool {
			up, rejected := 0, 0
			for _, session := range cluster.site.Log.Sessions() {
				switch session.Answer {
				case "up":
					up++
				case "unavailable":
					rejected++
				}
			}
			return up >= 15 && rejected > 20
		})
		other := &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.lineAddress, SourceAddress: "127.0.0.8", MaxClients: 50, Seed: 2}
		other.Prepare()
		served := 0
		for range 20 {
			if session := other.RunSession(ctx, "line", siteClasses[0], "5", 20*time.Millisecond); session.Answer == "up" {
				served++
			}
		}
		t.Logf("fair %v: %d of 20 clients from the other address are served", fair, served)
		if fair && served < 19 || !fair && served > 10 {
			t.Errorf("fair %v: %d of 20 clients from the other address are served; want at least 19 if fair, else at most 10", fair, served)
		}
		stop()
		<-done
		close(shutdown)
		if err := <-ended; err != nil {
			t.Logf("the relay ended: %v", err)
		}
	}
}
