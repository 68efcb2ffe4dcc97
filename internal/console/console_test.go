package console

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/explain"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
	"lockroad/internal/testutil"
)

// start opens a console on a relay with something to show, and returns its
// socket and how often it was told to drain.
func start(t *testing.T) (socket string, drained func() int) {
	t.Helper()
	k := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, Relays: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1,
	}, 1, proxy.NewClock())
	id := k.Endpoints.ID("s-5be2a07c")
	k.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: id, State: balancer.StateDraining, Weight: 1}}, []string{"10.1.0.18:3000"})
	n, _ := k.Requests.Add(registry.Request{Front: "line", Name: "9b1f03aa", Class: "page", Since: k.Clock.Now()})
	k.Requests.Set(n, registry.StageEstablished, id)
	k.Counters.CountEnd(registry.EndMigrated)
	k.Counters.CountAttempt(balancer.StatusTimeout)
	r, err := decisionlog.New(decisionlog.MinBytes, k.Clock)
	if err != nil {
		t.Fatal(err)
	}
	tr := r.Began(1, proxy.Request{Front: "line", Class: "page", Name: "9b1f03aa", RequestOptions: balancer.RequestOptions{Deadline: k.Clock.Now() + time.Second}})
	tr.AttemptStarted(id)(balancer.StatusFull)
	tr.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Second})
	var mu sync.Mutex
	drains := 0
	d := &Server{Name: "n3", Proxy: k, Frontends: []Frontend{{"line", "10.0.0.4:3000"}}, Explainer: &explain.Explainer{Log: r, Names: k.Endpoints}, Drain: func() {
		mu.Lock()
		defer mu.Unlock()
		drains++
	}, Log: func(most int) []string { return []string{"first\n", "second\n", "third\n"}[3-min(3, most):] }, Restart: func() error { return nil }}
	socket = filepath.Join(t.TempDir(), "console")
	l, err := Listen(socket)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = d.Serve(ctx, l) })
	done.Go(func() { _ = k.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return socket, func() int {
		mu.Lock()
		defer mu.Unlock()
		return drains
	}
}

func run(in, socket, command string) (code int, out, errs string) {
	var o, e strings.Builder
	code = Run(socket, command, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func TestCommandsAreAnswered(t *testing.T) {
	socket, drained := start(t)
	for command, want := range map[string][]string{
		"status":       {"relay", "n3", "moved", "passes timeout", "broken invariants"},
		"farm":         {"s-5be2a07c", "10.1.0.18:3000", "draining"},
		"transactions": {"9b1f03aa", "page", "open", "s-5be2a07c"},
		"fronts":       {"line", "10.0.0.4:3000"},
		"help":         {"status", "farm", "transactions", "fronts", "drain"},
		"drain":        {"moved"},
		"record":       {"eventful", "pinned", "uneventful"},
		"pin 1":        {"transaction 1 is pinned"},
		"unpin 1":      {"transaction 1 is no longer pinned"},
		"servers":      {"s-5be2a07c", "draining", "drains", "10.1.0.18:3000"},
		"log 2":        {"second\nthird\n"},
		"restart":      {"starts again"},
		"help why":     {"(answer ANSWER ...)", "--by"},
		"why 9b1f03aa": {"transaction 1, front line, name 9b1f03aa, class page", "s-5be2a07c turns it away as full", "to come back in 1.0 s"},

		`why (server "s-5be2a07c")`:            {"transaction 1,"},
		"why --by answer,outcome (class page)": {"unavailable"},
	} {
		code, out, errs := run("", socket, command)
		for _, word := range want {
			if code != ExitOK || errs != "" || !strings.Contains(out, word) {
				t.Errorf("%s: code %d, errors %q, no %q in\n%s", command, code, errs, word, out)
			}
		}
	}
	if drained() != 1 {
		t.Errorf("told to drain %d times, want 1", drained())
	}
}

func TestCodesTellWhatWentWrong(t *testing.T) {
	socket, drained := start(t)
	for name, c := range map[string]struct {
		socket, command string
		code            int
		errs            string
	}{
		"unknown command":     {socket, "explode", ExitRejected, `unknown command "explode"`},
		"words after a name":  {socket, "status farm", ExitRejected, `status: nothing may follow here, not "farm"`},
		"a bad query":         {socket, "why (class", ExitRejected, "why: line 1, column 1: a list that is not closed"},
		"no such pin":         {socket, "pin 99", ExitRejected, "pin: transaction 99 has not come"},
		"a pin of a name":     {socket, "pin x", ExitRejected, `"x" is no transaction's number`},
		"no lines":            {socket, "log 0", ExitRejected, "no number of lines"},
		"no JSON of an order": {socket, "undrain --json", ExitRejected, "undrain: "},
		"odd help":            {socket, "help me", ExitRejected, "there is more to tell of why only"},
		"nobody there":        {socket + "x", "status", ExitUnreachable, "no relay answers"},
	} {
		code, out, errs := run("", c.socket, c.command)
		if code != c.code || !strings.Contains(errs, c.errs) || out != "" {
			t.Errorf("%s: code %d, out %q, errors %q", name, code, out, errs)
		}
	}
	if drained() != 0 {
		t.Error("told to drain")
	}
}

func TestConsoleReadsCommands(t *testing.T) {
	socket, _ := start(t)
	code, out, errs := run("fronts\n\nodd\nfarm\nquit\nstatus\n", socket, "")
	if code != ExitOK || !strings.Contains(out, "10.0.0.4:3000") || !strings.Contains(out, "s-5be2a07c") ||
		strings.Contains(out, "passes") || !strings.Contains(errs, `unknown command "odd"`) {
		t.Errorf("code %d, errors %q, out\n%s", code, errs, out)
	}
}

// A relay that was killed leaves its socket behind; one that runs keeps it.
func TestSocketIsTakenOverFromTheDeadOnly(t *testing.T) {
	socket, _ := start(t)
	if _, err := Listen(socket); err == nil {
		t.Error("a socket that answers was taken over")
	}
	stale := filepath.Join(t.TempDir(), "stale")
	l, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	if l, err = Listen(stale); err != nil {
		t.Fatal(err)
	}
	l.Close()
}

// Every command that tells of something tells it as JSON too, an object a line, with the
// figures as figures.
func TestAnswersAsJSON(t *testing.T) {
	socket, _ := start(t)
	for command, want := range map[string]map[string]any{
		"status": {"relay": "n3", "open": 1.0, "passes_timeout": 1.0}, "farm": {"server": "s-5be2a07c", "phase": "draining"},
		"servers": {"transactions": 1.0, "avoided": "drains", "delay": nil}, "transactions": {"name": "9b1f03aa", "stage": "open", "passes": 0.0},
		"fronts": {"front": "line"}, "record": {"kind": "under-way", "kept": 0.0}, "health": {"note": "discovery tells which servers are up; farm has them"},
		"orders": {"note": "no order is in force"}, "store": {"note": "nothing is kept on disk"}, "log": {"note": "first"},
	} {
		code, out, errs := run("", socket, command+" --json")
		if code != ExitOK || errs != "" {
			t.Errorf("%s: code %d, %s", command, code, errs)
		}
		for i, line := range strings.Split(strings.TrimSpace(out), "\n") {
			var o map[string]any
			if err := json.Unmarshal([]byte(line), &o); err != nil {
				t.Errorf("%s: %v in %s", command, err, line)
			}
			for name, v := range want {
				if got, has := o[name]; i == 0 && (!has || got != v) {
					t.Errorf("%s: %s is %v, want %v, in %s", command, name, got, v, line)
				}
			}
		}
	}
}

// Names come from clients: none of them moves the terminal, and JSON stays JSON.
func TestNamesDoNotMoveTheTerminal(t *testing.T) {
	const evil = "a\x1b[2J\u202e\u009bb"
	d := &Server{Proxy: proxy.New(balancer.Settings{Relays: 1}, 1, proxy.NewClock())}
	d.Proxy.Requests.Add(registry.Request{Front: "line", Name: evil, Class: evil})
	for _, command := range []string{"transactions", "transactions --json"} {
		_, answer := d.answer(context.Background(), command, "me")
		head, body, _ := strings.Cut(frame("ok", answer), "\n")
		if strings.ContainsAny(body, "\x1b\u202e\u009b") || !strings.Contains(body, "b") || head != fmt.Sprintf("ok %d", len(body)) {
			t.Errorf("%s: %q, %q", command, head, body)
		}
		if o := map[string]any{}; strings.HasSuffix(command, "--json") && json.Unmarshal([]byte(body), &o) != nil {
			t.Errorf("%s: %q", command, body)
		}
	}
}

// Twenty consoles are answered, though one of them never reads; those beyond as many as may be
// are told so, and there is room again once some have gone.
func TestManyConsoles(t *testing.T) {
	socket, _ := start(t)
	deaf, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	deaf.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for err == nil { // until the desk waits for it
		_, err = io.WriteString(deaf, "help why\n")
	}
	var all []net.Conn
	for len(all) < MaxSessions-1 {
		c, err := net.Dial("unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
		s := &session{conn: c, r: bufio.NewReader(c)}
		if _, err := s.ask("status"); err != nil {
			t.Fatalf("console %d: %v", len(all), err)
		}
	}
	if code, _, errs := run("", socket, "status"); code == ExitOK || !strings.Contains(errs, "as many as may be") && code != ExitUnreachable {
		t.Errorf("one too many: code %d, %s", code, errs)
	}
	for _, c := range all[10:] {
		c.Close()
	}
	testutil.Until(t, "there is no room again", func() bool {
		code, _, _ := run("", socket, "status")
		return code == ExitOK
	})
}

// lame fails to accept at first, as a relay that is out of descriptors does.
type lame struct {
	net.Listener
	left int
}

func (l *lame) Accept() (net.Conn, error) {
	if l.left--; l.left >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A console that looks on goes on while the relay is away; a relay that is out of descriptors
// answers once it has some.
func TestWatchGoesOnOverARestart(t *testing.T) {
	d := &Server{Name: "n1", Proxy: proxy.New(balancer.Settings{Relays: 1}, 1, proxy.NewClock())}
	socket := filepath.Join(t.TempDir(), "console")
	if code := Watch(t.Context(), socket, "status", time.Millisecond, false, io.Discard, io.Discard); code != ExitUnreachable {
		t.Errorf("code %d of a relay that was never there", code)
	}
	serve := func(name string) (stop func()) {
		l, err := Listen(socket)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		desk := *d
		desk.Name = name
		done.Go(func() { _ = desk.Serve(ctx, &lame{l, 2}) })
		return func() { cancel(); done.Wait() }
	}
	stop := serve("before")
	r, w := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { Watch(ctx, socket, "status --json", time.Millisecond, false, w, io.Discard) })
	defer watch.Wait()
	defer func() { _ = r.Close() }()
	defer cancel()
	lines := bufio.NewScanner(r)
	until := func(name string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), name) {
				return
			}
		}
		t.Fatalf("%s is never seen", name)
	}
	until("before")
	stop()
	stop = serve("after")
	defer stop()
	until("after")
}
