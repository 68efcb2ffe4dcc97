package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Azure/go-amqp"

	"lockroad/internal/config"
	"lockroad/internal/config/configtest"
	"lockroad/internal/console"
)

// listen returns a listener on a free port, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// lineFrontendAddress waits until a relay's console answers and returns the address of its line frontend.
func lineFrontendAddress(t *testing.T, socket string) string {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		var out strings.Builder
		if console.Run(socket, "fronts", nil, &out, io.Discard) == console.ExitOK {
			for line := range strings.Lines(out.String()) {
				if fields := strings.Fields(line); fields[0] == "line" {
					return fields[1]
				}
			}
		}
	}
	t.Fatal("the relay's console doesn't answer")
	return ""
}

var requestCount atomic.Uint64 // generates unique request names

// openRequest opens a request through the relay, requires the answer UP, and returns the connection's reader.
func openRequest(t *testing.T, address string) *bufio.Reader {
	t.Helper()
	answer, r := requestClass(t, address, "page")
	if answer != "UP 1\r\n" {
		t.Fatalf("got answer %q, want UP 1", answer)
	}
	return r
}

// requestClass opens a request of a class and returns the answer line and the connection's reader.
func requestClass(t *testing.T, address, class string) (string, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "OPEN %016x 2 c=%s,d=1500\r\n", requestCount.Add(1), class)
	r := bufio.NewReader(conn)
	answer, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("read answer: got %q, %v", answer, err)
	}
	return answer, r
}

// startRelay runs a relay with an endpoint that accepts every request. It returns the address of the line
// frontend and a channel that receives Run's result.
func startRelay(t *testing.T, options RunOptions, discovery net.Listener, operator *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startRelayWithAdmin(t, "", options, discovery, operator, log)
}

// serveEndpoint sends an answer on each connection to an endpoint and keeps the connection open until the test ends.
func serveEndpoint(t *testing.T, endpoint net.Listener, answer string) {
	for {
		conn, err := endpoint.Accept()
		if err != nil {
			return
		}
		io.WriteString(conn, answer)
		t.Cleanup(func() { conn.Close() })
	}
}

// startRelayWithAdmin is like startRelay, with an admin address.
func startRelayWithAdmin(t *testing.T, admin string, options RunOptions, discovery net.Listener, operator *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	endpoint := listen(t)
	go serveEndpoint(t, endpoint, "UP 1\r\n")
	return startRelayWithEndpoint(t, admin, options, discovery, endpoint, operator, log)
}

// startRelayWithEndpoint is like startRelayWithAdmin, with the given endpoint.
func startRelayWithEndpoint(t *testing.T, admin string, options RunOptions, discovery, endpoint net.Listener, operator *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startRelayWithConfig(t, configtest.PlatformConfig("127.0.0.1:0", discovery.Addr().String(), endpoint.Addr().String()), admin, options, operator, log)
}

// startRelayWithConfig is like startRelayWithAdmin, with the given platform configuration.
func startRelayWithConfig(t *testing.T, text, admin string, options RunOptions, operator *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	cfg, err := config.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.AdminAddr = admin
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	stopped := make(chan struct{})
	t.Cleanup(func() { cancel(); <-stopped })
	operator.Console.Socket = filepath.Join(t.TempDir(), "console")
	go func() {
		defer close(stopped)
		result <- Run(ctx, options, cfg, operator, slog.New(slog.NewTextHandler(log, nil)))
	}()
	return lineFrontendAddress(t, operator.Console.Socket), result
}

// requireExitWithin fails the test unless the relay exits without an error before SIGKILL would be sent.
func requireExitWithin(t *testing.T, done <-chan error, shutdownAt time.Time, killAfter time.Duration) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Until(shutdownAt.Add(killAfter))):
		t.Error("the relay is still running when SIGKILL would be sent")
	}
}

// Clients that connect just after the shutdown request must still be served, all clients must be told to move,
// and the relay must exit before SIGKILL.
func TestShutdownMigratesAllClients(t *testing.T) {
	shutdown := make(chan struct{})
	address, done := startRelay(t, RunOptions{Shutdown: shutdown}, listen(t), &config.Operator{AMQP: config.AMQP{Listen: "127.0.0.1:0"}}, io.Discard)
	clients := []*bufio.Reader{openRequest(t, address)}
	shutdownAt := time.Now()
	close(shutdown)
	clients = append(clients, openRequest(t, address)) // new clients are still admitted
	for i, r := range clients {
		if rest, err := io.ReadAll(r); string(rest) != "MOVE\r\n" || err != nil {
			t.Errorf("client %d received %q, %v, want MOVE", i, rest, err)
		}
	}
	requireExitWithin(t, done, shutdownAt, 2200*time.Millisecond) // the class's deadline of 1.5 s plus killGrace
}

// With short class deadlines little time is left until SIGKILL. An idle AMQP client must still receive a close,
// and a line client that has sent nothing must still be rejected.
func TestShutdownWithShortDeadlineAnswersIdleClients(t *testing.T) {
	shutdown := make(chan struct{})
	text := strings.Replace(configtest.PlatformConfig("127.0.0.1:0", listen(t).Addr().String(), listen(t).Addr().String()), `"DeadlineUs": 1500000`, `"DeadlineUs": 200000`, 1)
	free := listen(t) // its port is free for the AMQP frontend once it is closed
	free.Close()
	address, done := startRelayWithConfig(t, text, "", RunOptions{Shutdown: shutdown}, &config.Operator{AMQP: config.AMQP{Listen: free.Addr().String()}}, io.Discard)
	idleAMQP, err := amqp.Dial(t.Context(), "amqp://"+free.Addr().String(), &amqp.ConnOptions{SASLType: amqp.SASLTypeAnonymous()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idleAMQP.Close() }()
	idleLine, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idleLine.Close()
	idleLine.SetDeadline(time.Now().Add(10 * time.Second))
	shutdownAt := time.Now()
	close(shutdown)
	select {
	case <-idleAMQP.Done():
		var connErr *amqp.ConnError
		if !errors.As(idleAMQP.Err(), &connErr) || connErr.RemoteErr == nil || connErr.RemoteErr.Condition != amqp.ErrCondConnectionForced {
			t.Errorf("the AMQP client's connection ended with %v, want connection-forced", idleAMQP.Err())
		}
	case <-time.After(5 * time.Second):
		t.Error("the AMQP client's connection was not closed")
	}
	if rest, err := io.ReadAll(idleLine); string(rest) != "BUSY\r\n" || err != nil {
		t.Errorf("the line client received %q, %v, want BUSY", rest, err)
	}
	requireExitWithin(t, done, shutdownAt, 900*time.Millisecond) // the class's deadline of 0.2 s plus killGrace
}

// If the endpoints hang during a shutdown, clients that wait for an endpoint, connect after the shutdown request
// or have sent part of their opening line must each get one answer, and the relay must exit in time.
func TestShutdownAnswersClientsOfHangingEndpoints(t *testing.T) {
	agent, endpoint := listen(t), listen(t)
	received := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				_, _ = bufio.NewReader(conn).ReadString('\n')
				received <- struct{}{} // and never answers
			}()
		}
	}()
	shutdown := make(chan struct{})
	address, done := startRelayWithEndpoint(t, "", RunOptions{Shutdown: shutdown}, agent, endpoint, &config.Operator{}, io.Discard)
	send := func(text string) *bufio.Reader {
		t.Helper()
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, text)
		return bufio.NewReader(conn)
	}
	opening := func() string { return fmt.Sprintf("OPEN %016x 2 c=page,d=1500\r\n", requestCount.Add(1)) }
	clients := []*bufio.Reader{send(opening()), send(opening())}
	for range clients {
		<-received
	}
	partial := send("PING\r\nOPEN 7")
	if answer, err := partial.ReadString('\n'); answer != "PONG\r\n" {
		t.Fatalf("got answer %q, %v, want PONG", answer, err)
	}
	shutdownAt := time.Now()
	close(shutdown)
	clients = append(clients, partial, send(opening()), send(opening()))
	for i, r := range clients {
		if rest, err := io.ReadAll(r); !regexp.MustCompile(`^BUSY( \d+)?\r\n$`).Match(rest) || err != nil {
			t.Errorf("client %d received %q, %v, want BUSY", i, rest, err)
		}
	}
	requireExitWithin(t, done, shutdownAt, 2200*time.Millisecond) // the class's deadline of 1.5 s plus killGrace
}

// Console queries during a shutdown must be answered completely or not at all, and must not delay the exit.
func TestShutdownDuringConsoleQueries(t *testing.T) {
	shutdown := make(chan struct{})
	operator := &config.Operator{}
	address, done := startRelay(t, RunOptions{Shutdown: shutdown}, listen(t), operator, io.Discard)
	for range 3 {
		openRequest(t, address)
	}
	answered := make(chan int)
	go func() {
		n := 0
		defer func() { answered <- n }()
		for {
			var out, errs strings.Builder
			switch code := console.Run(operator.Console.Socket, "why --json", nil, &out, &errs); {
			case code == console.ExitUnreachable:
				return
			case code != console.ExitOK || strings.Count(out.String(), "\n") < 3 || !strings.HasSuffix(out.String(), "}\n"):
				t.Errorf("query ended with exit code %d: %s%s", code, out.String(), errs.String())
				return
			}
			n++
		}
	}()
	shutdownAt := time.Now()
	close(shutdown)
	requireExitWithin(t, done, shutdownAt, 2200*time.Millisecond) // the class's deadline of 1.5 s plus killGrace
	if n := <-answered; n == 0 {
		t.Error("no query was answered")
	}
}

// The configured endpoint list may be outdated. A client that connects before the discovery agent has answered
// must be routed by the agent's list.
func TestFirstClientWaitsForListFromDiscovery(t *testing.T) {
	defaultTimeout := firstListTimeout
	firstListTimeout = time.Minute // the agent answers only after the client has connected
	t.Cleanup(func() { firstListTimeout = defaultTimeout })
	agent, listed := listen(t), listen(t)
	go serveEndpoint(t, listed, "UP 2\r\n")
	address, _ := startRelay(t, RunOptions{}, agent, &config.Operator{}, io.Discard)
	_, _, watchConn := acceptWatchConn(t, agent)
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(client, "OPEN %016x 2 c=page,d=1500\r\n", requestCount.Add(1))
	list := fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"s-1","phase":"draining","size":1},{"id":"s-2","host_port":%q,"phase":"ready","size":1}]}`, listed.Addr())
	fmt.Fprintf(watchConn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
	if answer, err := bufio.NewReader(client).ReadString('\n'); answer != "UP 2\r\n" {
		t.Errorf("got answer %q, %v, want UP 2 from the endpoint in the agent's list", answer, err)
	}
}

// acceptWatch waits for a relay to open a discovery watch and returns its request line and the connection's reader.
func acceptWatch(t *testing.T, l net.Listener) (string, *bufio.Reader) {
	t.Helper()
	requestLine, r, _ := acceptWatchConn(t, l)
	return requestLine, r
}

// acceptWatchConn is like acceptWatch and also returns the connection.
func acceptWatchConn(t *testing.T, l net.Listener) (string, *bufio.Reader, net.Conn) {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	requestLine, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(requestLine), r, conn
}

// A reload with another discovery address must move the watch there and request the complete list. Established
// clients stay, and new ones are routed by the old list until then. A malformed configuration changes nothing.
func TestReloadMovesWatchAndKeepsClients(t *testing.T) {
	file, reload := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	replace := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reload <- syscall.SIGHUP
	}
	agents := []net.Listener{listen(t), listen(t), listen(t)}
	var log logBuffer
	operator := &config.Operator{}
	address, done := startRelay(t, RunOptions{Reload: reload, ConfigPath: file}, agents[0], operator, &log)
	requestLine, watch := acceptWatch(t, agents[0])
	if requestLine != "GET /discovery/hosts?watch=1&from=41 HTTP/1.1" {
		t.Errorf("first watch: got request %q", requestLine)
	}
	clients := []*bufio.Reader{openRequest(t, address)}
	rejected := 0
	replaceInvalid := func(text string) {
		t.Helper()
		replace(text)
		rejected++
		// The file must not be replaced again before it has been read.
		for deadline := time.Now().Add(10 * time.Second); log.count("configuration reload rejected") != rejected; {
			if time.Now().After(deadline) {
				t.Fatalf("rejection of %q was not logged", text)
			}
		}
	}
	for _, next := range agents[1:] {
		replaceInvalid("{half a fi")
		replaceInvalid(configtest.PlatformConfig("127.0.0.1:0", "no address", "x"))
		replace(configtest.PlatformConfig("127.0.0.1:0", next.Addr().String(), "x"))
		if _, err := io.Copy(io.Discard, watch); err != nil {
			t.Errorf("watch at the previous address ended with %v", err)
		}
		requestLine, watch = acceptWatch(t, next)
		if requestLine != "GET /discovery/hosts?watch=1&from=0 HTTP/1.1" {
			t.Errorf("watch after reload: got request %q", requestLine)
		}
		clients = append(clients, openRequest(t, address))
	}
	var requests strings.Builder
	console.Run(operator.Console.Socket, "transactions", nil, &requests, io.Discard)
	if n := strings.Count(requests.String(), "open"); n != len(clients) {
		t.Errorf("of %d clients, %d are still connected:\n%s", len(clients), n, requests.String())
	}
	select {
	case err := <-done:
		t.Errorf("the relay exited: %v", err)
	default:
	}
}

// logBuffer collects log output and is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(substring string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), substring)
}
