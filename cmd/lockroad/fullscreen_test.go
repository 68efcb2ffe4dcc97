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

// A session on a pseudo-terminal of 80 by 24 drains an endpoint, and is killed right after the confirmation: the drain goes on,
// nothing new reaches the endpoint, everyone there is migrated and nothing is lost; the next session shows it.
func TestSessionDrains(t *testing.T) {
	t.Parallel()
	cluster, relay, socket, _ := newLoadedClusterWithStore(t)
	one := startConsoleSession(t, socket)
	one.awaitText("[1 servers]")
	one.awaitText("> s-1")
	one.typeKeys("d")
	one.awaitText("Drain s-1?")
	one.typeKeys("y")
	testutil.Until(t, "nothing is ordered", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1") })
	ordered := time.Now()
	_ = one.Process.Kill()
	next := startConsoleSession(t, socket)
	next.awaitText("as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(runConsole(t, socket, "orders"), "s-1     0 ") })
	letClientsRun()
	next.typeKeys("q")
	testutil.Until(t, "the session does not end", next.hasEnded)
	cluster.stopClients()
	relay.shutDown()
	if n := cluster.attemptsAt("s-1", ordered.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d attempts came to s-1", n)
	}
	for _, b := range invariants.Check(invariants.History{Sessions: cluster.site.Log.Sessions(), Attempts: cluster.site.Log.Attempts(), EndpointChanges: cluster.site.Log.EndpointChanges(), Limits: invariants.DefaultLimits()}) {
		t.Error(b)
	}
}

// consoleSession is a console on a pseudo-terminal.
type consoleSession struct {
	*exec.Cmd
	t     *testing.T
	file  *os.File
	mu    sync.Mutex
	seen  strings.Builder
	ended bool
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
		b := make([]byte, 4096)
		for {
			n, err := c.file.Read(b)
			c.mu.Lock()
			c.seen.Write(b[:n])
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

// awaitText waits until the terminal was sent a text.
func (c *consoleSession) awaitText(text string) {
	c.t.Helper()
	testutil.Until(c.t, "the terminal does not show "+text, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Contains(c.seen.String(), text)
	})
}
