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

// startServer serves the console of a relay with something in most answers. It returns the socket, and
// a function that counts the calls of Shutdown.
func startServer(t *testing.T) (socket string, drained func() int) {
	t.Helper()
	relay := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1,
	}, 1, proxy.NewClock())
	id := relay.Endpoints.AssignID("s-5be2a07c")
	relay.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: id, State: balancer.StateDraining, Size: 1}}, []string{"10.1.0.18:3000"})
	n, _ := relay.Requests.Add(registry.Request{Frontend: "line", Name: "9b1f03aa", Class: "page", Since: relay.Clock.Now()})
	relay.Requests.SetStage(n, registry.StageEstablished, id)
	relay.Counters.CountEnd(registry.EndMigrated)
	relay.Counters.CountAttempt(balancer.StatusTimeout)
	log, err := decisionlog.New(decisionlog.MinBytes, relay.Clock)
	if err != nil {
		t.Fatal(err)
	}
	observer := log.RequestStarted(1, proxy.Request{Frontend: "line", Class: "page", Name: "9b1f03aa", RequestOptions: balancer.RequestOptions{Deadline: relay.Clock.Now() + time.Second}})
	observer.AttemptStarted(id)(balancer.StatusFull)
	observer.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Second})
	var mu sync.Mutex
	drains := 0
	server := &Server{Name: "n3", Proxy: relay, Frontends: []Frontend{{"line", "10.0.0.4:3000"}}, Explainer: &explain.Explainer{Log: log, Names: relay.Endpoints}, Shutdown: func() {
		mu.Lock()
		defer mu.Unlock()
		drains++
	}, LogTail: func(most int) []string { return []string{"first\n", "second\n", "third\n"}[3-min(3, most):] }, Restart: func() error { return nil }}
	socket = filepath.Join(t.TempDir(), "console")
	listener, err := Listen(socket)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(ctx, listener) })
	done.Go(func() { _ = relay.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return socket, func() int {
		mu.Lock()
		defer mu.Unlock()
		return drains
	}
}

func runConsole(in, socket, command string) (code int, out, errs string) {
	var o, e strings.Builder
	code = Run(socket, command, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func TestCommandsAreAnswered(t *testing.T) {
	socket, drained := startServer(t)
	for command, want := range map[string][]string{
		"status":       {"relay", "n3", "moved", "passes timeout", "broken invariants"},
		"farm":         {"s-5be2a07c", "10.1.0.18:3000", "draining"},
		"transactions": {"9b1f03aa", "page", "open", "s-5be2a07c"},
		"fronts":       {"line", "10.0.0.4:3000"},
		"help":         {"status", "farm", "transactions", "fronts", "drain"},
		"drain":        {"moved away"},
		"record":       {"eventful", "pinned", "uneventful"},
		"pin 1":        {"transaction 1 is pinned"},
		"unpin 1":      {"transaction 1 is no longer pinned"},
		"servers":      {"s-5be2a07c", "draining", "drains", "10.1.0.18:3000"},
		"log 2":        {"second\nthird\n"},
		"restart":      {"the relay restarts after the last has left"},
		"help why":     {"(answer ANSWER ...)", "--by"},
		"why 9b1f03aa": {"transaction 1, front line, name 9b1f03aa, class page", "s-5be2a07c turns it away as full", "to come back in 1.0 s"},

		`why (server "s-5be2a07c")`:            {"transaction 1,"},
		"why --by answer,outcome (class page)": {"unavailable"},
	} {
		code, out, errs := runConsole("", socket, command)
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

func TestRejectedCommandsAndExitCodes(t *testing.T) {
	socket, drained := startServer(t)
	for name, connection := range map[string]struct {
		socket, command string
		code            int
		errs            string
	}{
		"unknown command":     {socket, "explode", ExitRejected, `unknown command "explode"`},
		"words after a name":  {socket, "status farm", ExitRejected, `status: unexpected argument "farm"`},
		"a bad query":         {socket, "why (class", ExitRejected, "why: line 1, column 1: a list that is not closed"},
		"no such pin":         {socket, "pin 99", ExitRejected, "pin: transaction 99 has not come"},
		"a pin of a name":     {socket, "pin x", ExitRejected, `pin: invalid transaction number "x"`},
		"no lines":            {socket, "log 0", ExitRejected, `log: invalid number of lines "0"`},
		"no JSON of an order": {socket, "undrain --json", ExitRejected, "undrain: "},
		"odd help":            {socket, "help me", ExitRejected, `help: "me": expected nothing or why`},
		"nobody there":        {socket + "x", "status", ExitUnreachable, "no relay answers"},
	} {
		code, out, errs := runConsole("", connection.socket, connection.command)
		if code != connection.code || !strings.Contains(errs, connection.errs) || out != "" {
			t.Errorf("%s: code %d, out %q, errors %q", name, code, out, errs)
		}
	}
	if drained() != 0 {
		t.Error("told to drain")
	}
}

func TestRunReadsCommands(t *testing.T) {
	socket, _ := startServer(t)
	code, out, errs := runConsole("fronts\n\nodd\nfarm\nquit\nstatus\n", socket, "")
	if code != ExitOK || !strings.Contains(out, "10.0.0.4:3000") || !strings.Contains(out, "s-5be2a07c") ||
		strings.Contains(out, "passes") || !strings.Contains(errs, `unknown command "odd"`) {
		t.Errorf("code %d, errors %q, out\n%s", code, errs, out)
	}
}

// A relay that was killed leaves its socket behind, which is replaced; that of a running one is not.
func TestListenReplacesOnlyStaleSocket(t *testing.T) {
	socket, _ := startServer(t)
	if _, err := Listen(socket); err == nil {
		t.Error("a socket that answers was taken over")
	}
	stale := filepath.Join(t.TempDir(), "stale")
	listener, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	listener.Close()
	if listener, err = Listen(stale); err != nil {
		t.Fatal(err)
	}
	listener.Close()
}

// Every command that reports something does so as JSON too, an object a line, with numbers as numbers.
func TestAnswersAsJSON(t *testing.T) {
	socket, _ := startServer(t)
	for command, want := range map[string]map[string]any{
		"status": {"relay": "n3", "open": 1.0, "passes_timeout": 1.0}, "farm": {"server": "s-5be2a07c", "phase": "draining"},
		"servers": {"transactions": 1.0, "avoided": "drains", "delay": nil}, "transactions": {"name": "9b1f03aa", "stage": "open", "passes": 0.0},
		"fronts": {"front": "line"}, "record": {"kind": "under-way", "kept": 0.0}, "health": {"note": "discovery tells which servers are up; farm has them"},
		"orders": {"note": "no order is in force"}, "store": {"note": "nothing is kept on disk"}, "log": {"note": "first"},
	} {
		code, out, errs := runConsole("", socket, command+" --json")
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

// Names come from clients: none of them controls the terminal, and JSON stays valid.
func TestNamesDoNotMoveTheTerminal(t *testing.T) {
	const evil = "a\x1b[2J\u202e\u009bb"
	server := &Server{Proxy: proxy.New(balancer.Settings{RelayCount: 1}, 1, proxy.NewClock())}
	server.Proxy.Requests.Add(registry.Request{Frontend: "line", Name: evil, Class: evil})
	for _, command := range []string{"transactions", "transactions --json"} {
		_, answer := server.execute(context.Background(), command, "me")
		head, body, _ := strings.Cut(frameAnswer("ok", answer), "\n")
		if strings.ContainsAny(body, "\x1b\u202e\u009b") || !strings.Contains(body, "b") || head != fmt.Sprintf("ok %d", len(body)) {
			t.Errorf("%s: %q, %q", command, head, body)
		}
		if o := map[string]any{}; strings.HasSuffix(command, "--json") && json.Unmarshal([]byte(body), &o) != nil {
			t.Errorf("%s: %q", command, body)
		}
	}
}

// MaxSessions are answered, though one of them never reads. One more is rejected, and accepted once
// others have ended.
func TestSessionsAreLimited(t *testing.T) {
	socket, _ := startServer(t)
	stalled, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	stalled.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for err == nil { // until the server waits for it to read
		_, err = io.WriteString(stalled, "help why\n")
	}
	var connections []net.Conn
	for len(connections) < MaxSessions-1 {
		connection, err := net.Dial("unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		connections = append(connections, connection)
		s := &clientSession{conn: connection, reader: bufio.NewReader(connection)}
		if _, err := s.send("status"); err != nil {
			t.Fatalf("console %d: %v", len(connections), err)
		}
	}
	if code, _, errs := runConsole("", socket, "status"); code == ExitOK || !strings.Contains(errs, "too many console sessions") && code != ExitUnreachable {
		t.Errorf("one too many: code %d, %s", code, errs)
	}
	for _, connection := range connections[10:] {
		connection.Close()
	}
	testutil.Until(t, "there is no room again", func() bool {
		code, _, _ := runConsole("", socket, "status")
		return code == ExitOK
	})
}

// flakyListener fails to accept at first, as in a process that is out of file descriptors.
type flakyListener struct {
	net.Listener
	failuresLeft int
}

func (listener *flakyListener) Accept() (net.Conn, error) {
	if listener.failuresLeft--; listener.failuresLeft >= 0 {
		return nil, syscall.EMFILE
	}
	return listener.Listener.Accept()
}

// Watch goes on while the relay is unreachable; a relay that is out of file descriptors answers once it
// has some.
func TestWatchContinuesOverRestart(t *testing.T) {
	server := &Server{Name: "n1", Proxy: proxy.New(balancer.Settings{RelayCount: 1}, 1, proxy.NewClock())}
	socket := filepath.Join(t.TempDir(), "console")
	if code := Watch(t.Context(), socket, "status", time.Millisecond, false, io.Discard, io.Discard); code != ExitUnreachable {
		t.Errorf("code %d of a relay that was never there", code)
	}
	serve := func(name string) (stop func()) {
		listener, err := Listen(socket)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		server := *server
		server.Name = name
		done.Go(func() { _ = server.Serve(ctx, &flakyListener{listener, 2}) })
		return func() { cancel(); done.Wait() }
	}
	stop := serve("before")
	log, w := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { Watch(ctx, socket, "status --json", time.Millisecond, false, w, io.Discard) })
	defer watch.Wait()
	defer func() { _ = log.Close() }()
	defer cancel()
	lines := bufio.NewScanner(log)
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
