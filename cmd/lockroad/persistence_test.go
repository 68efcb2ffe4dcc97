package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockroad/internal/fake"
	"lockroad/internal/testutil"
)

// newClusterWithStore returns a cluster, and the environment with which its relay has a console and a store.
func newClusterWithStore(t *testing.T) (cluster *testCluster, socket string, env string) {
	t.Helper()
	cluster = newCluster(t)
	socket = filepath.Join(cluster.dir, "console.sock")
	folder := filepath.Join(cluster.dir, "kept")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	operator := filepath.Join(cluster.dir, "operator.toml")
	text := fmt.Sprintf("[console]\nsocket = %q\n[store]\ndir = %q\n", socket, folder)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return cluster, socket, "LOCKROAD_OPERATOR=" + operator
}

// newLoadedClusterWithStore starts a relay with a console, a store and clients, and returns once s-1 has had some
// attempts.
func newLoadedClusterWithStore(t *testing.T) (cluster *testCluster, relay *process, socket, env string) {
	t.Helper()
	cluster, socket, env = newClusterWithStore(t)
	relay = cluster.startProcess(env)
	relay.awaitReady()
	cluster.startClients(60)
	testutil.Until(t, "no attempts go to s-1", func() bool { return cluster.attemptsAt("s-1", time.Time{}) > 3 })
	return cluster, relay, socket, env
}

// runConsole runs a command at a relay's console, once that answers, and returns its output. The output and the error
// must contain each of the strings in want.
func runConsole(t *testing.T, socket, command string, want ...string) string {
	t.Helper()
	var out, errs string
	testutil.Until(t, "the console does not answer", func() bool {
		var code int
		code, out, errs = runCommandLine(append([]string{"console", "--socket", socket}, strings.Fields(command)...)...)
		return code != 3
	})
	for _, part := range want {
		if !strings.Contains(out+errs, part) {
			t.Errorf("console command %q: got output %q, error %q; want %q", command, out, errs, part)
		}
	}
	return out
}

// attemptsAt returns the number of attempts that an endpoint has received since a time.
func (cluster *testCluster) attemptsAt(endpoint string, since time.Time) (n int) {
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Endpoint == endpoint && attempt.At.After(since) {
			n++
		}
	}
	return n
}

// A drain directive must be in force at once, after a kill, and after an upgrade under load, until it is withdrawn: no
// new attempt goes to the endpoint and its clients are migrated, even though discovery reports the endpoint as ready.
func TestDrainDirectiveSurvivesKillAndUpgrade(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, env := newLoadedClusterWithStore(t)
	runConsole(t, socket, "drain s-9", `server "s-9" is not in the endpoint list`)
	runConsole(t, socket, "drain s-1 for ever", "expected a duration above 0")
	runConsole(t, socket, "undrain s-1", "no order")
	runConsole(t, socket, "drain s-1 for 1h because new strings", "s-1 drains", "outlasts a restart")
	drainedAt := time.Now()
	runConsole(t, socket, "orders", "s-1", `"new strings"`)
	runConsole(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "transactions are left at s-1, which drains", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
	cluster.stopClients()
	relay.kill()
	relay = cluster.startProcess(env)
	relay.awaitReady()
	cluster.startClients(60)
	letClientsRun()
	runConsole(t, socket, "orders", `"new strings"`)
	runConsole(t, socket, "store", "all is well", "orders")
	next := cluster.startProcess(env)
	next.awaitReady()
	// The predecessor still answers at the console: directives given to it must reach the successor, too.
	runConsole(t, socket, "drain s-2 because of a flood", "outlasts a restart")
	letClientsRun()
	relay.shutDown()
	if out := runConsole(t, socket, "orders", `"new strings"`, `"of a flood"`); !strings.Contains(out, "s-2") {
		t.Errorf("the successor lacks the drain directive for s-2, has\n%s", out)
	}
	runConsole(t, socket, "undrain s-2", "outlasts a restart")
	letClientsRun()
	if n := cluster.attemptsAt("s-1", drainedAt.Add(50*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts went to s-1 after its drain directive", n)
	}
	testutil.Until(t, "the successor has not opened the store", func() bool { return strings.Contains(runConsole(t, socket, "store"), "all is well") })
	runConsole(t, socket, "undrain s-1", "follows the endpoint list again", "outlasts a restart")
	undrainedAt := time.Now()
	testutil.Until(t, "no attempt goes to s-1 after its drain directive was withdrawn", func() bool { return cluster.attemptsAt("s-1", undrainedAt) > 0 })
	cluster.stopClients()
	next.kill()
	last := cluster.startProcess(env)
	last.awaitReady()
	runConsole(t, socket, "orders", "no order is in force")
	last.shutDown()
}

// A relay must not start if store.dir is a file, and must run without persistence if the store is damaged: a drain
// directive is then in force, reported as not persisted, and expires at its time.
func TestDrainDirectiveIsInForceWithoutStore(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	folder := filepath.Join(cluster.dir, "kept")
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	relay := cluster.startProcess(env)
	if err := <-relay.exited; err == nil || !strings.Contains(relay.log.String(), "store.dir") {
		t.Errorf("with a file as store.dir the process exited with %v, want an error about store.dir; log:\n%s", err, relay.log.String())
	}
	relay.exited <- nil
	if err := os.Remove(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "0000000000000001.log"), []byte("this is not a segment file of a store"), 0o600); err != nil {
		t.Fatal(err)
	}
	relay = cluster.startProcess(env)
	relay.awaitReady()
	runConsole(t, socket, "store", "nothing is kept", "0000000000000001.log is damaged at byte 0")
	runConsole(t, socket, "drain s-2 for 300ms", "s-2 drains", "does not outlast a restart")
	runConsole(t, socket, "orders", "s-2")
	testutil.Until(t, "the drain directive does not expire", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "no order") })
	relay.shutDown()
}

// A relay that starts soon after it was killed must restore its routes from the store, so that groups stay at their
// endpoints.
func TestRoutesSurviveKill(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	relay := cluster.startProcess(env)
	relay.awaitReady()
	cluster.startClientsOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 3)
	testutil.Until(t, "no snapshot is saved", func() bool {
		return strings.Contains(strings.Join(strings.Fields(runConsole(t, socket, "store")), " "), "learnt 1 kept")
	})
	cluster.stopClients()
	endpoints := make(map[string]string) // by group, before the kill
	groups := make(map[string]string)    // by name of the request
	for _, session := range cluster.site.Log.Sessions() {
		groups[session.Name] = session.Group
	}
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Answer == "up" {
			endpoints[groups[attempt.Name]] = attempt.Endpoint
		}
	}
	relay.kill()
	relay = cluster.startProcess(env)
	relay.awaitReady()
	restartedAt := time.Now()
	cluster.startClientsOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 4)
	testutil.Until(t, "too few sessions after the restart", func() bool { return len(cluster.site.Log.Sessions()) > len(groups)+40 })
	cluster.stopClients()
	same, other := 0, 0
	for _, session := range cluster.site.Log.Sessions() {
		groups[session.Name] = session.Group
	}
	for _, attempt := range cluster.site.Log.Attempts() {
		if previous, ok := endpoints[groups[attempt.Name]]; ok && attempt.At.After(restartedAt) {
			if previous == attempt.Endpoint {
				same++
			} else {
				other++
			}
		}
	}
	if same == 0 || other > same/10 {
		t.Errorf("after the restart %d attempts went to the endpoint of their group and %d to another, want at most a tenth to another", same, other)
	}
	if relay.shutDown(); !strings.Contains(relay.log.String(), "snapshot restored") {
		t.Error("the log does not report a restored snapshot")
	}
}

// The explanation of a rejected request must be the same after the relay was killed, by its name and by its flow's key,
// and lockroad store erase must remove it from the files.
func TestExplanationsSurviveKill(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	for _, server := range cluster.site.Servers {
		server.SetMode(fake.ModeBusy, 0)
	}
	relay := cluster.startProcess(env)
	relay.awaitReady()
	cluster.site.Clients = &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.lineAddress, MaxClients: 5, Seed: 9}
	cluster.site.Clients.Prepare()
	session := cluster.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "77", 0)
	if session.Answer != "unavailable" {
		t.Fatalf("the client got %s, want unavailable", session.Answer)
	}
	before := runConsole(t, socket, "why "+session.Name, "unavailable", "s-1")
	testutil.Until(t, "the explanation is not saved", func() bool {
		return strings.Contains(strings.Join(strings.Fields(runConsole(t, socket, "store")), " "), "decisions 1 kept")
	})
	relay.kill()
	relay = cluster.startProcess(env)
	relay.awaitReady()
	after := runConsole(t, socket, "why "+session.Name)
	cut := func(text string) string { _, rest, _ := strings.Cut(text, "its client waits"); return rest } // without the age
	if cut(after) == "" || cut(before) != cut(after) {
		t.Errorf("explanation before the kill:\n%s\nafter:\n%s", before, after)
	}
	runConsole(t, socket, "why --json "+session.Flow, session.Name)
	runConsole(t, socket, "why nobody", "not found: the log has all")
	relay.shutDown()
	folder := filepath.Join(cluster.dir, "kept")
	if code, out, errs := runCommandLine("store", "dump", folder, "--kind", "decisions"); code != 0 || !strings.Contains(out, session.Name) {
		t.Errorf("store dump: exit code %d, want 0 and a record of %s\n%s%s", code, session.Name, out, errs)
	}
	if code, out, errs := runCommandLine("store", "erase", folder, session.Flow); code != 0 || !strings.Contains(out, "erased 1 stored decisions") {
		t.Errorf("store erase: exit code %d, want 0 and 1 erased record\n%s%s", code, out, errs)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		if text, _ := os.ReadFile(file); strings.Contains(string(text), session.Name) {
			t.Errorf("after store erase %s still contains the name of the request", file)
		}
	}
}
