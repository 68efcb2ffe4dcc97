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

// newClusterWithStore returns a cluster whose relay has a console and a store when it is started with env.
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

// newLoadedClusterWithStore returns one with a relay that clients come to, once s-1 has had some attempts.
func newLoadedClusterWithStore(t *testing.T) (cluster *testCluster, relay *process, socket, env string) {
	t.Helper()
	cluster, socket, env = newClusterWithStore(t)
	relay = cluster.startProcess(env)
	relay.awaitReady()
	cluster.startClients(60)
	testutil.Until(t, "no attempt comes to s-1", func() bool { return cluster.attemptsAt("s-1", time.Time{}) > 3 })
	return cluster, relay, socket, env
}

// runConsole runs a command at a relay's console, once that answers, and requires words in its output.
func runConsole(t *testing.T, socket, words string, want ...string) string {
	t.Helper()
	var out, errs string
	testutil.Until(t, "the console does not answer", func() bool {
		var code int
		code, out, errs = runCommandLine(append([]string{"console", "--socket", socket}, strings.Fields(words)...)...)
		return code != 3
	})
	for _, w := range want {
		if !strings.Contains(out+errs, w) {
			t.Errorf("%s says %q%q; want %q", words, out, errs, w)
		}
	}
	return out
}

// attemptsAt returns how many attempts an endpoint had since a time.
func (cluster *testCluster) attemptsAt(server string, since time.Time) (n int) {
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Endpoint == server && attempt.At.After(since) {
			n++
		}
	}
	return n
}

// A drain directive is in force at once, after a kill, after an upgrade under load, and until it is withdrawn: nothing new goes to
// the endpoint, everyone established there is migrated, and the list that calls the endpoint ready changes nothing.
func TestDrainDirectiveSurvivesKillAndUpgrade(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, env := newLoadedClusterWithStore(t)
	runConsole(t, socket, "drain s-9", `server "s-9" is not in the endpoint list`)
	runConsole(t, socket, "drain s-1 for ever", "expected a time above 0")
	runConsole(t, socket, "undrain s-1", "no order")
	runConsole(t, socket, "drain s-1 for 1h because new strings", "s-1 drains", "outlasts a restart")
	ordered := time.Now()
	runConsole(t, socket, "orders", "s-1", `"new strings"`)
	runConsole(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
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
	// The old process still answers here: what it is told now the new one has to go by, too.
	runConsole(t, socket, "drain s-2 because of a flood", "outlasts a restart")
	letClientsRun()
	relay.shutDown()
	if out := runConsole(t, socket, "orders", `"new strings"`, `"of a flood"`); !strings.Contains(out, "s-2") {
		t.Errorf("of two orders the new process has\n%s", out)
	}
	runConsole(t, socket, "undrain s-2", "outlasts a restart")
	letClientsRun()
	if n := cluster.attemptsAt("s-1", ordered.Add(50*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts came to s-1 after the order", n)
	}
	testutil.Until(t, "the new process has no store", func() bool { return strings.Contains(runConsole(t, socket, "store"), "all is well") })
	runConsole(t, socket, "undrain s-1", "as the list has it again", "outlasts a restart")
	again := time.Now()
	testutil.Until(t, "no attempt comes to s-1 again", func() bool { return cluster.attemptsAt("s-1", again) > 0 })
	cluster.stopClients()
	next.kill()
	last := cluster.startProcess(env)
	last.awaitReady()
	runConsole(t, socket, "orders", "no order is in force")
	last.shutDown()
}

// A drain directive expires by itself, and one that can't be saved says so and is in force all the same.
func TestDrainDirectiveWithoutStore(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	lock := filepath.Join(cluster.dir, "kept")
	if err := os.RemoveAll(lock); err != nil { // the folder is not there any more: the relay is to run on
		t.Fatal(err)
	}
	if err := os.WriteFile(lock, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	relay := cluster.startProcess(env)
	if err := <-relay.exited; err == nil || !strings.Contains(relay.log.String(), "store.dir") {
		t.Errorf("a file for a folder: %v, %s", err, relay.log.String())
	}
	relay.exited <- nil
	if err := os.Remove(lock); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(lock, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(lock, "0000000000000001.log"), []byte("this is no file of a store, by far"), 0o600); err != nil {
		t.Fatal(err)
	}
	relay = cluster.startProcess(env)
	relay.awaitReady()
	runConsole(t, socket, "store", "nothing is kept", "0000000000000001.log is damaged at byte 0")
	runConsole(t, socket, "drain s-2 for 300ms", "s-2 drains", "does not outlast a restart")
	runConsole(t, socket, "orders", "s-2")
	testutil.Until(t, "the order does not expire", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "no order") })
	relay.shutDown()
}

// A relay that was killed and comes back soon goes on with the routes that it had: documents stay at one endpoint each. One that
// has no store splits them.
func TestRoutesSurviveKill(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	relay := cluster.startProcess(env)
	relay.awaitReady()
	cluster.startClientsOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 3)
	testutil.Until(t, "nothing is learnt", func() bool {
		return strings.Contains(strings.Join(strings.Fields(runConsole(t, socket, "store")), " "), "learnt 1 kept")
	})
	cluster.stopClients()
	before := make(map[string]string) // where each document was last
	group := make(map[string]string)
	for _, session := range cluster.site.Log.Sessions() {
		group[session.Name] = session.Group
	}
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Answer == "up" {
			before[group[attempt.Name]] = attempt.Endpoint
		}
	}
	relay.kill()
	relay = cluster.startProcess(env)
	relay.awaitReady()
	killed := time.Now()
	cluster.startClientsOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 4)
	testutil.Until(t, "nobody comes", func() bool { return len(cluster.site.Log.Sessions()) > len(group)+40 })
	cluster.stopClients()
	same, other := 0, 0
	for _, session := range cluster.site.Log.Sessions() {
		group[session.Name] = session.Group
	}
	for _, attempt := range cluster.site.Log.Attempts() {
		if was, ok := before[group[attempt.Name]]; ok && attempt.At.After(killed) {
			if was == attempt.Endpoint {
				same++
			} else {
				other++
			}
		}
	}
	if same == 0 || other > same/10 {
		t.Errorf("%d came to the server of their document, %d to another", same, other)
	}
	if relay.shutDown(); !strings.Contains(relay.log.String(), "snapshot restored") {
		t.Error("nothing was taken up")
	}
}

// The explanation of a rejected request is available after a kill, by its name and by the key of its flow, in the words of
// before.
func TestExplanationsSurviveKill(t *testing.T) {
	t.Parallel()
	cluster, socket, env := newClusterWithStore(t)
	for _, one := range cluster.site.Servers {
		one.SetMode(fake.ModeBusy, 0)
	}
	relay := cluster.startProcess(env)
	relay.awaitReady()
	cluster.site.Clients = &fake.ClientPool{Log: cluster.site.Log, LineAddress: cluster.listen, MaxClients: 5, Seed: 9}
	cluster.site.Clients.Prepare()
	session := cluster.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "77", 0)
	if session.Answer != "unavailable" {
		t.Fatalf("the client got %s", session.Answer)
	}
	before := runConsole(t, socket, "why "+session.Name, "unavailable", "s-1")
	testutil.Until(t, "it is not kept", func() bool {
		return strings.Contains(strings.Join(strings.Fields(runConsole(t, socket, "store")), " "), "decisions 1 kept")
	})
	relay.kill()
	relay = cluster.startProcess(env)
	relay.awaitReady()
	after := runConsole(t, socket, "why "+session.Name)
	cut := func(text string) string { _, rest, _ := strings.Cut(text, "its client waits"); return rest } // before that it says how long ago
	if cut(after) == "" || cut(before) != cut(after) {
		t.Errorf("before:\n%s\nafter:\n%s", before, after)
	}
	runConsole(t, socket, "why --json "+session.Flow, session.Name)
	runConsole(t, socket, "why nobody", "has not come")
	relay.shutDown()
	folder := filepath.Join(cluster.dir, "kept")
	if code, out, errs := runCommandLine("store", "dump", folder, "--kind", "decisions"); code != 0 || !strings.Contains(out, session.Name) {
		t.Errorf("%d %s%s", code, out, errs)
	}
	if code, out, errs := runCommandLine("store", "erase", folder, session.Flow); code != 0 || !strings.Contains(out, "1 accounts are erased") {
		t.Errorf("%d %s%s", code, out, errs)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		if text, _ := os.ReadFile(file); strings.Contains(string(text), session.Name) {
			t.Errorf("%s still has the client's name", file)
		}
	}
}
