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

// A session on a pseudo-terminal of 80 by 24 drains a server, and is killed right after the yes: the drain goes on, nothing
// new reaches the server, everyone there is moved and nothing is lost; the next session sees it.
func TestSessionDrains(t *testing.T) {
	t.Parallel()
	s, p, socket, _ := keptLoaded(t)
	one := session(t, socket)
	one.shows("[1 servers]")
	one.shows("> s-1")
	one.types("d")
	one.shows("Drain s-1?")
	one.types("y")
	testutil.Until(t, "nothing is ordered", func() bool { return strings.Contains(says(t, socket, "orders"), "s-1") })
	ordered := time.Now()
	_ = one.Process.Kill()
	next := session(t, socket)
	next.shows("as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(says(t, socket, "orders"), "s-1     0 ") })
	pause()
	next.types("q")
	testutil.Until(t, "the session does not end", next.over)
	s.left()
	p.leave()
	if n := s.passesAt("s-1", ordered.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d passes came to s-1", n)
	}
	for _, b := range invariants.Check(invariants.History{Sessions: s.site.Log.Sessions(), Attempts: s.site.Log.Attempts(), EndpointChanges: s.site.Log.EndpointChanges(), Limits: invariants.DefaultLimits()}) {
		t.Error(b)
	}
}

// tty is a console on a pseudo-terminal.
type tty struct {
	*exec.Cmd
	t     *testing.T
	file  *os.File
	mu    sync.Mutex
	seen  strings.Builder
	ended bool
}

func session(t *testing.T, socket string) *tty {
	t.Helper()
	c := &tty{Cmd: exec.Command(os.Args[0], "console", "--full", "--socket", socket), t: t}
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

func (c *tty) types(keys string) { io.WriteString(c.file, keys) }

func (c *tty) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// shows waits until the terminal was sent a text.
func (c *tty) shows(text string) {
	c.t.Helper()
	testutil.Until(c.t, "the terminal does not show "+text, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Contains(c.seen.String(), text)
	})
}
