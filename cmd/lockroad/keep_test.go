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

// kept is a service whose relay has a console, and a store.
func kept(t *testing.T) (s *service, socket string, env string) {
	t.Helper()
	s = newService(t)
	socket = filepath.Join(s.folder, "console.sock")
	folder := filepath.Join(s.folder, "kept")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	operator := filepath.Join(s.folder, "operator.toml")
	text := fmt.Sprintf("[console]\nsocket = %q\n[store]\ndir = %q\n", socket, folder)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s, socket, "LOCKROAD_OPERATOR=" + operator
}

// keptLoaded is one with a process that clients come to, so that s-1 has had some.
func keptLoaded(t *testing.T) (s *service, p *process, socket, env string) {
	t.Helper()
	s, socket, env = kept(t)
	p = s.start(env)
	p.ready()
	s.crowd(60)
	testutil.Until(t, "no pass comes to s-1", func() bool { return s.passesAt("s-1", time.Time{}) > 3 })
	return s, p, socket, env
}

// says runs a command at a relay's console, once that answers, and wants words in what it says.
func says(t *testing.T, socket, words string, want ...string) string {
	t.Helper()
	var out, errs string
	testutil.Until(t, "the console does not answer", func() bool {
		var code int
		code, out, errs = command(append([]string{"console", "--socket", socket}, strings.Fields(words)...)...)
		return code != 3
	})
	for _, w := range want {
		if !strings.Contains(out+errs, w) {
			t.Errorf("%s says %q%q; want %q", words, out, errs, w)
		}
	}
	return out
}

// passesAt are the passes that a server had since a time.
func (s *service) passesAt(server string, since time.Time) (n int) {
	for _, p := range s.site.Log.Attempts() {
		if p.Server == server && p.At.After(since) {
			n++
		}
	}
	return n
}

// An order to drain a server is in force at once, over a kill, over an upgrade under load, and until it is withdrawn: nothing
// new goes there, everyone who stood there is moved, and the list that calls the server ready changes nothing.
func TestOrderOutlivesKillAndUpgrade(t *testing.T) {
	t.Parallel()
	s, p, socket, env := keptLoaded(t)
	says(t, socket, "drain s-9", `no server "s-9" is listed`)
	says(t, socket, "drain s-1 for ever", "expected a time above 0")
	says(t, socket, "undrain s-1", "no order")
	says(t, socket, "drain s-1 for 1h because new strings", "s-1 drains", "outlasts a restart")
	ordered := time.Now()
	says(t, socket, "orders", "s-1", `"new strings"`)
	says(t, socket, "farm", "draining, as ordered")
	testutil.Until(t, "someone is left at s-1", func() bool { return strings.Contains(says(t, socket, "orders"), "s-1     0 ") })
	s.left()
	p.kill()
	p = s.start(env)
	p.ready()
	s.crowd(60)
	pause()
	says(t, socket, "orders", `"new strings"`)
	says(t, socket, "store", "all is well", "orders")
	next := s.start(env)
	next.ready()
	// The old process still answers here: what it is told now the new one has to go by, too.
	says(t, socket, "drain s-2 because of a flood", "outlasts a restart")
	pause()
	p.leave()
	if out := says(t, socket, "orders", `"new strings"`, `"of a flood"`); !strings.Contains(out, "s-2") {
		t.Errorf("of two orders the new process has\n%s", out)
	}
	says(t, socket, "undrain s-2", "outlasts a restart")
	pause()
	if n := s.passesAt("s-1", ordered.Add(50*time.Millisecond)); n > 0 {
		t.Errorf("%d passes came to s-1 after the order", n)
	}
	testutil.Until(t, "the new process has no store", func() bool { return strings.Contains(says(t, socket, "store"), "all is well") })
	says(t, socket, "undrain s-1", "as the list has it again", "outlasts a restart")
	again := time.Now()
	testutil.Until(t, "no pass comes to s-1 again", func() bool { return s.passesAt("s-1", again) > 0 })
	s.left()
	next.kill()
	last := s.start(env)
	last.ready()
	says(t, socket, "orders", "no order is in force")
	last.leave()
}

// An order expires by itself, and one that can't be kept says so and holds all the same.
func TestOrderWithoutStore(t *testing.T) {
	t.Parallel()
	s, socket, env := kept(t)
	lock := filepath.Join(s.folder, "kept")
	if err := os.RemoveAll(lock); err != nil { // the folder is not there any more: the relay is to run on
		t.Fatal(err)
	}
	if err := os.WriteFile(lock, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := s.start(env)
	if err := <-p.ended; err == nil || !strings.Contains(p.log.String(), "store.dir") {
		t.Errorf("a file for a folder: %v, %s", err, p.log.String())
	}
	p.ended <- nil
	if err := os.Remove(lock); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(lock, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(lock, "0000000000000001.log"), []byte("this is no file of a store, by far"), 0o600); err != nil {
		t.Fatal(err)
	}
	p = s.start(env)
	p.ready()
	says(t, socket, "store", "nothing is kept", "0000000000000001.log is damaged at byte 0")
	says(t, socket, "drain s-2 for 300ms", "s-2 drains", "does not outlast a restart")
	says(t, socket, "orders", "s-2")
	testutil.Until(t, "the order does not expire", func() bool { return strings.Contains(says(t, socket, "orders"), "no order") })
	p.leave()
}

// A relay that was killed and comes back soon goes on with the routes that it had: documents stay whole. One that has no
// store splits them.
func TestRoutesOutliveKill(t *testing.T) {
	t.Parallel()
	s, socket, env := kept(t)
	p := s.start(env)
	p.ready()
	s.crowdOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 3)
	testutil.Until(t, "nothing is learnt", func() bool {
		return strings.Contains(strings.Join(strings.Fields(says(t, socket, "store")), " "), "learnt 1 kept")
	})
	s.left()
	before := make(map[string]string) // where each document was last
	group := make(map[string]string)
	for _, v := range s.site.Log.Sessions() {
		group[v.Name] = v.Group
	}
	for _, pass := range s.site.Log.Attempts() {
		if pass.Answer == "up" {
			before[group[pass.Name]] = pass.Server
		}
	}
	p.kill()
	p = s.start(env)
	p.ready()
	killed := time.Now()
	s.crowdOf(60, []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}, 4)
	testutil.Until(t, "nobody comes", func() bool { return len(s.site.Log.Sessions()) > len(group)+40 })
	s.left()
	same, other := 0, 0
	for _, v := range s.site.Log.Sessions() {
		group[v.Name] = v.Group
	}
	for _, pass := range s.site.Log.Attempts() {
		if was, ok := before[group[pass.Name]]; ok && pass.At.After(killed) {
			if was == pass.Server {
				same++
			} else {
				other++
			}
		}
	}
	if same == 0 || other > same/10 {
		t.Errorf("%d came to the server of their document, %d to another", same, other)
	}
	if p.leave(); !strings.Contains(p.log.String(), "snapshot restored") {
		t.Error("nothing was taken up")
	}
}

// Why a client was turned away is told after a kill, by its name and by the key of its flow, in the words of
// before; what came of no note is not kept.
func TestReasonsOutliveKill(t *testing.T) {
	t.Parallel()
	s, socket, env := kept(t)
	for _, one := range s.site.Servers {
		one.Set(fake.ModeBusy, 0)
	}
	p := s.start(env)
	p.ready()
	s.site.Clients = &fake.ClientPool{Log: s.site.Log, LineAddress: s.listen, MaxClients: 5, Seed: 9}
	s.site.Clients.Prepare()
	v := s.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "77", 0)
	if v.Answer != "unavailable" {
		t.Fatalf("the client got %s", v.Answer)
	}
	before := says(t, socket, "why "+v.Name, "unavailable", "s-1")
	testutil.Until(t, "it is not kept", func() bool {
		return strings.Contains(strings.Join(strings.Fields(says(t, socket, "store")), " "), "decisions 1 kept")
	})
	p.kill()
	p = s.start(env)
	p.ready()
	after := says(t, socket, "why "+v.Name)
	cut := func(text string) string { _, rest, _ := strings.Cut(text, "its client waits"); return rest } // before that it says how long ago
	if cut(after) == "" || cut(before) != cut(after) {
		t.Errorf("before:\n%s\nafter:\n%s", before, after)
	}
	says(t, socket, "why --json "+v.Flow, v.Name)
	says(t, socket, "why nobody", "has not come")
	p.leave()
	folder := filepath.Join(s.folder, "kept")
	if code, out, errs := command("store", "dump", folder, "--kind", "decisions"); code != 0 || !strings.Contains(out, v.Name) {
		t.Errorf("%d %s%s", code, out, errs)
	}
	if code, out, errs := command("store", "erase", folder, v.Flow); code != 0 || !strings.Contains(out, "1 accounts are erased") {
		t.Errorf("%d %s%s", code, out, errs)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		if text, _ := os.ReadFile(file); strings.Contains(string(text), v.Name) {
			t.Errorf("%s still has the client's name", file)
		}
	}
}
