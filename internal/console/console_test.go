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

// startServer serves the console of a relay with a draining endpoint, an established request, and a rejected one in its
// decision log. It returns the socket, and a function that returns how often Shutdown was called.
func startServer(t *testing.T) (socket string, shutdowns func() int) {
	t.Helper()
	relay := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1,
	}, 1, proxy.NewClock())
	id := relay.Endpoints.AssignID("s-5be2a07c")
	relay.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: id, State: balancer.StateDraining, Size: 1}}, []string{"10.1.0.18:3000"})
	number, _ := relay.Requests.Add(registry.Request{Frontend: "line", Name: "9b1f03aa", Class: "page", Since: relay.Clock.Now()})
	relay.Requests.SetStage(number, registry.StageEstablished, id)
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
	shutdownCalls := 0
	server := &Server{Name: "n3", Proxy: relay, Frontends: []Frontend{{"line", "10.0.0.4:3000"}}, Explainer: &explain.Explainer{Log: log, Names: relay.Endpoints}, Shutdown: func() error {
		mu.Lock()
		defer mu.Unlock()
		shutdownCalls++
		return nil
	}, LogTail: func(limit int) []string { return []string{"first\n", "second\n", "third\n"}[3-min(3, limit):] }, Restart: func() error { return nil }}
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
		return shutdownCalls
	}
}

// runConsole calls Run, and returns the exit code and what was written.
func runConsole(in, socket, command string) (code int, out, errs string) {
	var outText, errText strings.Builder
	code = Run(socket, command, strings.NewReader(in), &outText, &errText)
	return code, outText.String(), errText.String()
}

func TestCommandsAreAnswered(t *testing.T) {
	socket, shutdowns := startServer(t)
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
				t.Errorf("%s: exit code %d, errors %q, want %q in answer\n%s", command, code, errs, word, out)
			}
		}
	}
	if shutdowns() != 1 {
		t.Errorf("Shutdown was called %d times, want 1", shutdowns())
	}
}

func TestRejectedCommandsAndExitCodes(t *testing.T) {
	socket, shutdowns := startServer(t)
	for name, test := range map[string]struct {
		socket, command string
		code            int
		errs            string
	}{
		"unknown command":               {socket, "explode", ExitRejected, `unknown command "explode"`},
		"unexpected argument":           {socket, "status farm", ExitRejected, `status: unexpected argument "farm"`},
		"invalid query":                 {socket, "why (class", ExitRejected, "why: line 1, column 1: list is not closed"},
		"pin of an unknown transaction": {socket, "pin 99", ExitRejected, "pin: transaction 99 not found"},
		"pin of a name":                 {socket, "pin x", ExitRejected, `pin: invalid transaction number "x"`},
		"log of 0 lines":                {socket, "log 0", ExitRejected, `log: invalid number of lines "0"`},
		"JSON where unsupported":        {socket, "undrain --json", ExitRejected, "undrain: "},
		"help on another command":       {socket, "help me", ExitRejected, `help: "me": expected nothing or why`},
		"no relay":                      {socket + "x", "status", ExitUnreachable, "no relay answers"},
	} {
		code, out, errs := runConsole("", test.socket, test.command)
		if code != test.code || !strings.Contains(errs, test.errs) || out != "" {
			t.Errorf("%s: exit code %d, want %d; answer %q, want none; errors %q, want %q", name, code, test.code, out, errs, test.errs)
		}
	}
	if shutdowns() != 0 {
		t.Error("Shutdown was called for rejected commands")
	}
}

func TestRunReadsCommandsFromInput(t *testing.T) {
	socket, _ := startServer(t)
	code, out, errs := runConsole("fronts\n\nodd\nfarm\nquit\nstatus\n", socket, "")
	if code != ExitOK || !strings.Contains(out, "10.0.0.4:3000") || !strings.Contains(out, "s-5be2a07c") ||
		strings.Contains(out, "passes") || !strings.Contains(errs, `unknown command "odd"`) {
		t.Errorf("exit code %d, errors %q, answers\n%s", code, errs, out)
	}
}

// The socket file of a killed process must not prevent the next start, and a running process must keep its socket.
func TestListenReplacesOnlyStaleSocket(t *testing.T) {
	socket, _ := startServer(t)
	if _, err := Listen(socket); err == nil {
		t.Error("Listen replaced the socket of a running server")
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

// Answers with --json are one object per line, with numbers as JSON numbers.
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
			t.Errorf("%s --json: exit code %d, errors %q", command, code, errs)
		}
		for i, line := range strings.Split(strings.TrimSpace(out), "\n") {
			var object map[string]any
			if err := json.Unmarshal([]byte(line), &object); err != nil {
				t.Errorf("%s --json: %v in line %s", command, err, line)
			}
			for name, value := range want {
				if got, present := object[name]; i == 0 && (!present || got != value) {
					t.Errorf("%s --json: member %s is %v, want %v, in line %s", command, name, got, value, line)
				}
			}
		}
	}
}

// A client must not be able to control the operator's terminal through the name of a request.
func TestControlCharactersInNamesAreReplaced(t *testing.T) {
	const name = "a\x1b[2J\u202e\u009bb"
	server := &Server{Proxy: proxy.New(balancer.Settings{RelayCount: 1}, 1, proxy.NewClock())}
	server.Proxy.Requests.Add(registry.Request{Frontend: "line", Name: name, Class: name})
	for _, command := range []string{"transactions", "transactions --json"} {
		_, answer := server.execute(context.Background(), command, "me")
		header, body, _ := strings.Cut(frameAnswer("ok", answer), "\n")
		if strings.ContainsAny(body, "\x1b\u202e\u009b") || !strings.Contains(body, "b") || header != fmt.Sprintf("ok %d", len(body)) {
			t.Errorf("%s: answer with header %q and body %q", command, header, body)
		}
		if object := map[string]any{}; strings.HasSuffix(command, "--json") && json.Unmarshal([]byte(body), &object) != nil {
			t.Errorf("%s: invalid JSON %q", command, body)
		}
	}
}

// MaxSessions sessions are answered, even if one of them never reads. Another is rejected until some have
// ended.
func TestSessionsAreLimited(t *testing.T) {
	socket, _ := startServer(t)
	stalled, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	stalled.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for err == nil { // until the server blocks in writing an answer
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
		session := &clientSession{conn: connection, reader: bufio.NewReader(connection)}
		if _, err := session.send("status"); err != nil {
			t.Fatalf("session %d: %v", len(connections), err)
		}
	}
	if code, _, errs := runConsole("", socket, "status"); code == ExitOK || !strings.Contains(errs, "too many console sessions") && code != ExitUnreachable {
		t.Errorf("session %d: exit code %d, errors %q, want a rejection", MaxSessions+1, code, errs)
	}
	for _, connection := range connections[10:] {
		connection.Close()
	}
	testutil.Until(t, "sessions are still rejected after others have ended", func() bool {
		code, _, _ := runConsole("", socket, "status")
		return code == ExitOK
	})
}

// flakyListener fails its first calls of Accept, as in a process that is out of file descriptors.
type flakyListener struct {
	net.Listener
	failuresLeft int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failuresLeft--; l.failuresLeft >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Watch must continue over a restart of the relay, and Serve over failures to accept a connection.
func TestWatchContinuesOverRestart(t *testing.T) {
	server := &Server{Name: "n1", Proxy: proxy.New(balancer.Settings{RelayCount: 1}, 1, proxy.NewClock())}
	socket := filepath.Join(t.TempDir(), "console")
	if code := Watch(t.Context(), socket, "status", time.Millisecond, false, io.Discard, io.Discard); code != ExitUnreachable {
		t.Errorf("without a relay: exit code %d, want %d", code, ExitUnreachable)
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
	answers, watchOut := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { Watch(ctx, socket, "status --json", time.Millisecond, false, watchOut, io.Discard) })
	defer watch.Wait()
	defer func() { _ = answers.Close() }()
	defer cancel()
	lines := bufio.NewScanner(answers)
	awaitAnswerOf := func(name string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), name) {
				return
			}
		}
		t.Fatalf("no answer of relay %q", name)
	}
	awaitAnswerOf("before")
	stop()
	stop = serve("after")
	defer stop()
	awaitAnswerOf("after")
}
