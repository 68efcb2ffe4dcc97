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

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// lineFrontendAddress asks a relay's console where its line frontend listens.
func lineFrontendAddress(t *testing.T, socket string) string {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); time.Now().Before(late); { // until it has started
		var out strings.Builder
		if console.Run(socket, "fronts", nil, &out, io.Discard) == console.ExitOK {
			for text := range strings.Lines(out.String()) {
				if options := strings.Fields(text); options[0] == "line" {
					return options[1]
				}
			}
		}
	}
	t.Fatal("the relay's console doesn't answer")
	return ""
}

var requestCount atomic.Uint64 // connections, whose names have to differ

// openRequest opens a request through the relay and returns its connection's reader after UP.
func openRequest(t *testing.T, address string) *bufio.Reader {
	t.Helper()
	text, r := requestClass(t, address, "page")
	if text != "UP 1\r\n" {
		t.Fatalf("answered %q", text)
	}
	return r
}

// requestClass opens a request of a class and returns the line that answers it, and the connection's reader.
func requestClass(t *testing.T, address, class string) (string, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "OPEN %016x 2 c=%s,d=1500\r\n", requestCount.Add(1), class)
	r := bufio.NewReader(c)
	text, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("answered %q, %v", text, err)
	}
	return text, r
}

// startRelay runs a relay with an endpoint that accepts everyone. It returns where its line frontend listens, and what Run returns.
func startRelay(t *testing.T, options RunOptions, discovery net.Listener, o *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startRelayWithAdmin(t, "", options, discovery, o, log)
}

// serveEndpoint answers each connection to an endpoint, and holds it until the test's end.
func serveEndpoint(t *testing.T, server net.Listener, answer string) {
	for {
		c, err := server.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, answer)
		t.Cleanup(func() { c.Close() })
	}
}

// startRelayWithAdmin is the same, with a second address.
func startRelayWithAdmin(t *testing.T, admin string, options RunOptions, discovery net.Listener, o *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	server := listen(t)
	go serveEndpoint(t, server, "UP 1\r\n")
	return startRelayWithEndpoint(t, admin, options, discovery, server, o, log)
}

// startRelayWithEndpoint is the same, with an endpoint of the test's own.
func startRelayWithEndpoint(t *testing.T, admin string, options RunOptions, discovery, server net.Listener, o *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startRelayWithConfig(t, configtest.PlatformConfig("127.0.0.1:0", discovery.Addr().String(), server.Addr().String()), admin, options, o, log)
}

// startRelayWithConfig is the same, with a configuration of the test's own.
func startRelayWithConfig(t *testing.T, text, admin string, options RunOptions, o *config.Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	c, err := config.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c.AdminAddr = admin
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	over := make(chan struct{})
	t.Cleanup(func() { cancel(); <-over })
	o.Console.Socket = filepath.Join(t.TempDir(), "console")
	go func() {
		defer close(over)
		end <- Run(ctx, options, c, o, slog.New(slog.NewTextHandler(log, nil)))
	}()
	return lineFrontendAddress(t, o.Console.Socket), end
}

// requireEndWithin waits for the relay's end, which has to come before SIGKILL does.
func requireEndWithin(t *testing.T, done <-chan error, told time.Time, most time.Duration) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Until(told.Add(most))):
		t.Error("the relay is still there when SIGKILL comes")
	}
}

// At a planned restart clients still come for a moment: they are served as the others, everyone is migrated, and the relay ends
// well before SIGKILL.
func TestRelayLeavesInGoodOrder(t *testing.T) {
	drain := make(chan struct{})
	address, done := startRelay(t, RunOptions{Shutdown: drain}, listen(t), &config.Operator{AMQP: config.AMQP{Listen: "127.0.0.1:0"}}, io.Discard)
	clients := []*bufio.Reader{openRequest(t, address)}
	told := time.Now()
	close(drain)
	clients = append(clients, openRequest(t, address)) // the front has not noticed yet
	for i, r := range clients {
		if rest, err := io.ReadAll(r); string(rest) != "MOVE\r\n" || err != nil {
			t.Errorf("client %d was told %q, %v", i, rest, err)
		}
	}
	requireEndWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
}

// Where deadlines are short SIGKILL comes soon: a client of AMQP without a link is told that its connection is closed, and
// one of lines that has sent nothing is rejected.
func TestIdleClientsAreToldOfTheEndThoughItComesSoon(t *testing.T) {
	drain := make(chan struct{})
	text := strings.Replace(configtest.PlatformConfig("127.0.0.1:0", listen(t).Addr().String(), listen(t).Addr().String()), `"DeadlineUs": 1500000`, `"DeadlineUs": 200000`, 1)
	free := listen(t)
	free.Close()
	address, done := startRelayWithConfig(t, text, "", RunOptions{Shutdown: drain}, &config.Operator{AMQP: config.AMQP{Listen: free.Addr().String()}}, io.Discard)
	idle, err := amqp.Dial(t.Context(), "amqp://"+free.Addr().String(), &amqp.ConnOptions{SASLType: amqp.SASLTypeAnonymous()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	rests, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer rests.Close()
	rests.SetDeadline(time.Now().Add(10 * time.Second))
	told := time.Now()
	close(drain)
	select {
	case <-idle.Done():
		var end *amqp.ConnError
		if !errors.As(idle.Err(), &end) || end.RemoteErr == nil || end.RemoteErr.Condition != amqp.ErrCondConnectionForced {
			t.Errorf("the client of AMQP sees %v", idle.Err())
		}
	case <-time.After(5 * time.Second):
		t.Error("the client of AMQP is not told of the end")
	}
	if rest, err := io.ReadAll(rests); string(rest) != "BUSY\r\n" || err != nil {
		t.Errorf("the client of lines was told %q, %v", rest, err)
	}
	requireEndWithin(t, done, told, 900*time.Millisecond) // the class's 0.2 s and 0.7
}

// A relay that shuts down while its endpoints hang: who is at one of them, who comes after the request to shut down, and who is in
// the middle of an opening all get one answer, and the relay ends in time.
func TestEveryoneIsAnsweredThoughServersHang(t *testing.T) {
	agent, server := listen(t), listen(t)
	came := make(chan struct{}, 8)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				_, _ = bufio.NewReader(c).ReadString('\n')
				came <- struct{}{} // and it says nothing
			}()
		}
	}()
	drain := make(chan struct{})
	address, done := startRelayWithEndpoint(t, "", RunOptions{Shutdown: drain}, agent, server, &config.Operator{}, io.Discard)
	say := func(text string) *bufio.Reader {
		t.Helper()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, text)
		return bufio.NewReader(c)
	}
	opening := func() string { return fmt.Sprintf("OPEN %016x 2 c=page,d=1500\r\n", requestCount.Add(1)) }
	clients := []*bufio.Reader{say(opening()), say(opening())}
	for range clients {
		<-came
	}
	half := say("PING\r\nOPEN 7")
	if text, err := half.ReadString('\n'); text != "PONG\r\n" {
		t.Fatalf("answered %q, %v", text, err)
	}
	told := time.Now()
	close(drain)
	clients = append(clients, half, say(opening()), say(opening()))
	for i, r := range clients {
		if rest, err := io.ReadAll(r); !regexp.MustCompile(`^BUSY( \d+)?\r\n$`).Match(rest) || err != nil {
			t.Errorf("client %d was told %q, %v", i, rest, err)
		}
	}
	requireEndWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
}

// A relay that shuts down while its console is queried answers completely or not at all, and ends in time.
func TestShutdownDuringConsoleQueries(t *testing.T) {
	drain := make(chan struct{})
	o := &config.Operator{}
	address, done := startRelay(t, RunOptions{Shutdown: drain}, listen(t), o, io.Discard)
	for range 3 {
		openRequest(t, address)
	}
	asked := make(chan int)
	go func() {
		n := 0
		defer func() { asked <- n }()
		for {
			var out, errs strings.Builder
			switch code := console.Run(o.Console.Socket, "why --json", nil, &out, &errs); {
			case code == console.ExitUnreachable:
				return
			case code != console.ExitOK || strings.Count(out.String(), "\n") < 3 || !strings.HasSuffix(out.String(), "}\n"):
				t.Errorf("code %d: %s%s", code, out.String(), errs.String())
				return
			}
			n++
		}
	}()
	told := time.Now()
	close(drain)
	requireEndWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
	if n := <-asked; n == 0 {
		t.Error("no question was answered")
	}
}

// What discovery's agent has counts as notified from a process's first moment, and the list from before the start may be older: a
// client that comes before the agent has answered is placed by what it answers.
func TestClientsArePlacedByTheListOfNow(t *testing.T) {
	usual := firstListTimeout
	firstListTimeout = time.Minute // the agent waits for the client here
	t.Cleanup(func() { firstListTimeout = usual })
	agent, other := listen(t), listen(t)
	go serveEndpoint(t, other, "UP 2\r\n")
	address, _ := startRelay(t, RunOptions{}, agent, &config.Operator{}, io.Discard)
	_, _, conn := acceptHeldWatch(t, agent)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "OPEN %016x 2 c=page,d=1500\r\n", requestCount.Add(1))
	list := fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"s-1","phase":"draining","size":1},{"id":"s-2","host_port":%q,"phase":"ready","size":1}]}`, other.Addr())
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
	if text, err := bufio.NewReader(c).ReadString('\n'); text != "UP 2\r\n" {
		t.Errorf("answered %q, %v: the client is placed by the list from before the start", text, err)
	}
}

// acceptWatch waits for a relay to open a watch, and returns its request line and the connection's reader.
func acceptWatch(t *testing.T, l net.Listener) (string, *bufio.Reader) {
	t.Helper()
	text, r, _ := acceptHeldWatch(t, l)
	return text, r
}

func acceptHeldWatch(t *testing.T, l net.Listener) (string, *bufio.Reader, net.Conn) {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	text, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(text), r, c
}

// A reload under load: the watch goes over to the new address at once and asks for the complete list, clients stay where they are
// and new ones are still placed by the old list. A malformed file changes nothing.
func TestNewConfigurationMovesTheWatchOnly(t *testing.T) {
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
	o := &config.Operator{}
	address, done := startRelay(t, RunOptions{Reload: reload, ConfigPath: file}, agents[0], o, &log)
	asked, old := acceptWatch(t, agents[0])
	if asked != "GET /discovery/hosts?watch=1&from=41 HTTP/1.1" {
		t.Errorf("asked %q", asked)
	}
	clients := []*bufio.Reader{openRequest(t, address)}
	bad := 0
	unreadable := func(text string) {
		t.Helper()
		replace(text)
		bad++
		// The file may be replaced again only once it has been read.
		for late := time.Now().Add(10 * time.Second); log.count("configuration reload rejected") != bad; {
			if time.Now().After(late) {
				t.Fatalf("%q was not logged", text)
			}
		}
	}
	for _, next := range agents[1:] {
		unreadable("{half a fi")
		unreadable(configtest.PlatformConfig("127.0.0.1:0", "no address", "x"))
		replace(configtest.PlatformConfig("127.0.0.1:0", next.Addr().String(), "x"))
		if _, err := io.Copy(io.Discard, old); err != nil {
			t.Errorf("the watch at the old address ended with %v", err)
		}
		asked, old = acceptWatch(t, next)
		if asked != "GET /discovery/hosts?watch=1&from=0 HTTP/1.1" {
			t.Errorf("asked %q", asked)
		}
		clients = append(clients, openRequest(t, address))
	}
	var held strings.Builder
	console.Run(o.Console.Socket, "transactions", nil, &held, io.Discard)
	if n := strings.Count(held.String(), "open"); n != len(clients) {
		t.Errorf("of %d clients %d are still there:\n%s", len(clients), n, held.String())
	}
	select {
	case err := <-done:
		t.Errorf("the relay has ended with %v", err)
	default:
	}
}

// logBuffer is a log that a test reads.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}
