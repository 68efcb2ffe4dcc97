package main

import (
	"errors"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// A restart requested at the console must migrate all clients and exit with the code that asks the supervisor to start
// the relay again. Without a supervisor the request must be rejected.
func TestRestartFromConsole(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, env := newLoadedClusterWithStore(t)
	runConsole(t, socket, "restart", "no supervisor would start the relay again")
	relay.requireRunning()
	relay.shutDown()
	relay = cluster.startProcess(env, "LOCKROAD_SUPERVISED=1")
	relay.awaitReady()
	letClientsRun()
	runConsole(t, socket, "log", "ready")
	requestedAt := time.Now()
	runConsole(t, socket, "restart", "restarts after the last")
	err := <-relay.exited
	relay.exited <- nil
	if code := (*exec.ExitError)(nil); !errors.As(err, &code) || code.ExitCode() != exitRestart || time.Since(requestedAt) > cluster.killAfter {
		t.Fatalf("after a restart request the relay process exited with %v after %v, want code %d within %v", err, time.Since(requestedAt), exitRestart, cluster.killAfter)
	}
	relay = cluster.startProcess(env, "LOCKROAD_SUPERVISED=1") // as the supervisor does
	relay.awaitReady()
	restartedAt := time.Now()
	testutil.Until(t, "no attempt goes to s-1 after the restart", func() bool { return cluster.attemptsAt("s-1", restartedAt) > 0 })
	runConsole(t, socket, "drain", "stops after the last") // a shutdown that is not a restart
	if err := <-relay.exited; err != nil {
		t.Errorf("after a shutdown at the console the relay process exited with %v, want code 0", err)
	}
	relay.exited <- nil
	cluster.stopClients()
	for _, session := range cluster.site.Log.Sessions() {
		if session.Answer == "up" && session.End == "broken" {
			t.Errorf("the connection of session %s was broken", session.Name)
		}
	}
}

// Two operators repeatedly give conflicting drain directives for one endpoint: each must see which directive its own
// replaces, and the last one must be in force.
func TestLastDrainDirectiveIsInForce(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, _ := newLoadedClusterWithStore(t)
	var operators sync.WaitGroup
	for _, command := range []string{"drain s-1 because one says so", "undrain s-1"} {
		operators.Go(func() {
			for range 15 {
				code, out, errs := runCommandLine(append([]string{"console", "--socket", socket}, strings.Fields(command)...)...)
				if code != 0 && !strings.Contains(errs, "no order") || code == 0 && !strings.Contains(out, "s-1") {
					t.Errorf("%q: exit code %d\n%s%s", command, code, out, errs)
				}
			}
		})
	}
	operators.Wait()
	runConsole(t, socket, "drain s-1", "s-1 drains")
	drainedAt := time.Now()
	runConsole(t, socket, "drain s-1 because of the other", "this replaces the order of")
	runConsole(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "transactions are left at s-1, which drains", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
	letClientsRun()
	if n := cluster.attemptsAt("s-1", drainedAt.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts went to s-1 after the last drain directive", n)
	}
	runConsole(t, socket, "undrain s-1", "follows the endpoint list again")
	undrainedAt := time.Now()
	testutil.Until(t, "no attempt goes to s-1 after its drain directive was withdrawn", func() bool { return cluster.attemptsAt("s-1", undrainedAt) > 0 })
	relay.shutDown()
}
