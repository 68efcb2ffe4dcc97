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

// At a restart by the console the relay migrates everyone, and asks its supervisor for another start by an exit code of its own.
// One that nobody would start again runs on.
func TestRestartFromTheConsole(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, env := newLoadedClusterWithStore(t)
	runConsole(t, socket, "restart", "no supervisor would start the relay again")
	relay.requireRunning()
	relay.shutDown()
	relay = cluster.startProcess(env, "LOCKROAD_SUPERVISED=1")
	relay.awaitReady()
	letClientsRun()
	runConsole(t, socket, "log", "ready")
	asked := time.Now()
	runConsole(t, socket, "restart", "restarts after the last")
	err := <-relay.exited
	relay.exited <- nil
	if code := (*exec.ExitError)(nil); !errors.As(err, &code) || code.ExitCode() != exitRestart || time.Since(asked) > cluster.killAfter {
		t.Fatalf("it ended with %v after %v", err, time.Since(asked))
	}
	relay = cluster.startProcess(env, "LOCKROAD_SUPERVISED=1") // as the supervisor does
	relay.awaitReady()
	again := time.Now()
	testutil.Until(t, "nobody comes again", func() bool { return cluster.attemptsAt("s-1", again) > 0 })
	runConsole(t, socket, "drain", "stops after the last") // and a stop is none
	if err := <-relay.exited; err != nil {
		t.Errorf("a stop ends with %v", err)
	}
	relay.exited <- nil
	cluster.stopClients()
	for _, session := range cluster.site.Log.Sessions() {
		if session.Answer == "up" && session.End == "broken" {
			t.Errorf("%s was cut off", session.Name)
		}
	}
}

// Two operators give conflicting drain directives for one endpoint, again and again: each sees whose its own replaces, and the last
// one is in force.
func TestConflictingDrainDirectives(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, _ := newLoadedClusterWithStore(t)
	var both sync.WaitGroup
	for _, words := range []string{"drain s-1 because one says so", "undrain s-1"} {
		both.Go(func() {
			for range 15 {
				code, out, errs := runCommandLine(append([]string{"console", "--socket", socket}, strings.Fields(words)...)...)
				if code != 0 && !strings.Contains(errs, "no order") || code == 0 && !strings.Contains(out, "s-1") {
					t.Errorf("%s: %d %s%s", words, code, out, errs)
				}
			}
		})
	}
	both.Wait()
	runConsole(t, socket, "drain s-1", "s-1 drains")
	last := time.Now()
	runConsole(t, socket, "drain s-1 because of the other", "this replaces the order of")
	runConsole(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
	letClientsRun()
	if n := cluster.attemptsAt("s-1", last.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts came to s-1 after the last order", n)
	}
	runConsole(t, socket, "undrain s-1", "follows the endpoint list again")
	again := time.Now()
	testutil.Until(t, "no attempt comes to s-1 again", func() bool { return cluster.attemptsAt("s-1", again) > 0 })
	relay.shutDown()
}
