package main

import (
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/creack/pty"

	"lockroad/internal/invariants"
	"lockroad/internal/testutil"
)

// A full-screen console drains an endpoint and is killed right after the confirmation. The drain must continue: no new
// attempt reaches the endpoint, its clients are migrated without loss, and the next console shows the drain.
func TestDrainFromFullScreenConsole(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, _ := newLoadedClusterWithStore(t)
	first := startConsoleSession(t, socket)
	first.awaitText("[1 servers]")
	first.awaitText("> s-1")
	first.typeKeys("d")
	first.awaitText("Drain s-1?")
	first.typeKeys("y")
	testutil.Until(t, "no drain directive for s-1 is in force", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1") })
	drainedAt := time.Now()
	_ = first.Process.Kill()
	next := startConsoleSession(t, socket)
	next.awaitText("as ordered")
	testutil.Until(t, "transactions are left at s-1, which drains", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
	letClientsRun()
	next.typeKeys("q")
	testutil.Until(t, "the full-screen console does not exit at q", next.hasEnded)
	cluster.stopClients()
	relay.shutDown()
	if n := cluster.attemptsAt("s-1", drainedAt.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts went to s-1 after its drain directive", n)
	}
	for _, violation := range invariants.Check(invariants.History{Sessions: cluster.site.Log.Sessions(), Attempts: cluster.site.Log.Attempts(), EndpointChanges: cluster.site.Log.EndpointChanges(), Limits: invariants.DefaultLimits()}) {
		t.Error(violation)
	}
}

// consoleSession is a full-screen console on a pseudo-terminal of 80 by 24.
type consoleSession struct {
	*exec.Cmd
	t      *testing.T
	file   *os.File   // controlling side of the pseudo-terminal
	mu     sync.Mutex // guards the fields below
	output strings.Builder
	ended  bool
}

func startConsoleSession(t *testing.T, socket string) *consoleSession {
	t.Helper()
	c := &consoleSession{Cmd: exec.Command(os.Args[0], "console", "--full", "--socket", socket), t: t}
	c.Env = append(os.Environ(), "LOCKROAD_TEST_PROGRAM=1", "TERM=xterm", "GORACE=atexit_sleep_ms=0", "NO_COLOR=1")
	var err error
	if c.file, err = pty.StartWithSize(c.Cmd, &pty.Winsize{Rows: 24, Cols: 80}); err != nil {
		t.Fatal(err)
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := c.file.Read(buffer)
			c.mu.Lock()
			c.output.Write(buffer[:n])
			c.ended = err != nil
			c.mu.Unlock()
			if err != nil {
				_ = c.Wait()
				return
			}
		}
	}()
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.file.Close() })
	return c
}

func (c *consoleSession) typeKeys(keys string) { io.WriteString(c.file, keys) }

func (c *consoleSession) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// awaitText waits until the console has written a text to the terminal.
func (c *consoleSession) awaitText(text string) {
	c.t.Helper()
	testutil.Until(c.t, "the terminal does not show "+text, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Contains(c.output.String(), text)
	})
}
