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

// Told to restart at the console, the relay moves everyone and asks its supervisor for another
// start: by an exit code of its own. One that nobody would start again stays.
func TestRestartFromTheConsole(t *testing.T) {
	t.Parallel()
	s, p, socket, env := keptLoaded(t)
	says(t, socket, "restart", "nobody would start the relay again")
	p.lives()
	p.leave()
	p = s.start(env, "LOCKROAD_SUPERVISED=1")
	p.ready()
	pause()
	says(t, socket, "log", "ready")
	asked := time.Now()
	says(t, socket, "restart", "starts again after the last")
	err := <-p.ended
	p.ended <- nil
	if code := (*exec.ExitError)(nil); !errors.As(err, &code) || code.ExitCode() != exitRestart || time.Since(asked) > s.patience {
		t.Fatalf("it ended with %v after %v", err, time.Since(asked))
	}
	p = s.start(env, "LOCKROAD_SUPERVISED=1") // as the supervisor does
	p.ready()
	again := time.Now()
	testutil.Until(t, "nobody comes again", func() bool { return s.passesAt("s-1", again) > 0 })
	says(t, socket, "drain", "stops after the last") // and a stop is none
	if err := <-p.ended; err != nil {
		t.Errorf("a stop ends with %v", err)
	}
	p.ended <- nil
	s.left()
	for _, v := range s.site.Log.Sessions() {
		if v.Answer == "up" && v.End == "broken" {
			t.Errorf("%s was cut off", v.Name)
		}
	}
}

// Two operators give opposite orders on one server, again and again: each is told whose order its own
// takes the place of, and the last one holds.
func TestOppositeOrders(t *testing.T) {
	t.Parallel()
	s, p, socket, _ := keptLoaded(t)
	var both sync.WaitGroup
	for _, words := range []string{"drain s-1 because one says so", "undrain s-1"} {
		both.Go(func() {
			for range 15 {
				code, out, errs := command(append([]string{"console", "--socket", socket}, strings.Fields(words)...)...)
				if code != 0 && !strings.Contains(errs, "no order") || code == 0 && !strings.Contains(out, "s-1") {
					t.Errorf("%s: %d %s%s", words, code, out, errs)
				}
			}
		})
	}
	both.Wait()
	says(t, socket, "drain s-1", "s-1 drains")
	last := time.Now()
	says(t, socket, "drain s-1 because of the other", "this replaces the order of")
	says(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(says(t, socket, "orders"), "s-1     0 ") })
	pause()
	if n := s.passesAt("s-1", last.Add(550*time.Millisecond)); n > 0 {
		t.Errorf("%d passes came to s-1 after the last order", n)
	}
	says(t, socket, "undrain s-1", "as the list has it again")
	again := time.Now()
	testutil.Until(t, "no pass comes to s-1 again", func() bool { return s.passesAt("s-1", again) > 0 })
	p.leave()
}
