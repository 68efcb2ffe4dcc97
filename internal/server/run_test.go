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
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Azure/go-amqp"

	"lockroad/internal/console"
	"lockroad/internal/decisionlog"
)

const settingsText = `{
	"Classes": [{"AimUs": 800000, "DeadlineUs": 1500000, "KeyScope": "all", "Name": "page", "Semantics": "idempotent"}],
	"Discovery": "push", "Localities": ["a", "b"], "NInstances": 3, "QuantumUs": 2000, "Zone": 1,
	"Guarantees": {"ColdUs": 23000000, "FallUs": 3000000, "StartCapacity": 0.12, "TipMultiple": 3.0},
	"Limits": {"ConnectTimeoutUs": 500000, "MaxRetryAfterUs": 2000000, "RetryAfter": false, "TryLimit": 5}}`

func configText(listen, discovery, server string) string {
	return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
		"known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":%q,"locality":"a","flavor":"m","cell":1,
		"phase":"ready","size":1.0,"up_since_ms":0}]},"settings":%s}`, listen, discovery, server, settingsText)
}

func TestConfigIsRead(t *testing.T) {
	c, err := ParseConfig([]byte(configText("127.0.0.1:3000", "127.0.0.1:8500", "x")))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 4096 || c.MemoryMB != 2048 || c.Settings.ClassIndex("page") != 0 ||
		c.Zones[1] != "b" || c.Known.Revision != 41 || c.Settings.MaxRetryAfter != 2*time.Second || c.Settings.Relays != 3 {
		t.Errorf("read as %+v", c)
	}
	for _, text := range []string{"", "{}", strings.Replace(configText("", "d:1", "x"), `"name":"n3",`, "", 1),
		strings.Replace(configText("l:1", "d:1", "x"), "8c1f", "zz", 1), strings.Replace(configText("l:1", "d:1", "x"), "TryLimit", "Odd", 1)} {
		if c, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("%q was read as %+v", text, c)
		}
	}
}

func TestOperatorsFile(t *testing.T) {
	if o, err := ReadOperator(""); err != nil || !reflect.DeepEqual(*o, Operator{}) || o.record() != 0 {
		t.Errorf("without a file: %+v, %v", o, err)
	}
	o, err := ReadOperator("../../deploy/operator.toml")
	if err != nil || o.AMQP.Listen == "" || o.Console.Socket == "" || o.OTLP.Endpoint != "" {
		t.Errorf("the file that ships: %+v, %v", o, err)
	}
	if o.record() != decisionlog.DefaultBytes {
		t.Errorf("a console without a record of %d bytes", o.record())
	}
	for text, want := range map[string]string{
		"[amqp]\nlisten = \"nowhere\"":            `:2: amqp.listen: "nowhere" is no host:port`,
		"[amqp]\nlisten = \"a:b\"":                `:2: amqp.listen: port "b" is no number`,
		"[amqp]\nserver_port = 70000\nlinks = -1": ":2: amqp.server_port: 70000 is no port\nFILE:3: amqp.links: -1 is negative",
		"[odd]\nx = 1\n[amqp]\nlsten = \"a:1\"":   ":1: odd: there is no such key\nFILE:4: amqp.lsten: there is no such key",
		"\n[otlp]\nendpoint = \"collector:4318\"": `:3: otlp.endpoint: "collector:4318" is no http or https URL`,
		"[why]\nbytes = 4096":                     ":2: why.bytes: 4096 is neither 0",
		"[why]\nbytes = \"much\"":                 ":2: why.bytes: ",
		"[log]\nlevel = \"loud\"\nform = \"xml\"": ":2: log.level: \"loud\" is no level; expected one of debug, info, warn, error\nFILE:3: log.form: ",
		"[amqp]\nshared = -1":                     ":2: amqp.shared: -1 is not within",
		"[amqp.tls]\ncert = \"x\"":                ":2: amqp.tls.cert: a certificate wants its key",
		"[amqp.tls]\ncert = \"x\"\nkey = \"y\"":   ":2: amqp.tls.cert: x and y: open x: no such file",
		"[amqp.sasl]\nusers = \"x\"":              ":2: amqp.sasl.users: passwords would come in the clear",
		"[amqp.sasl]\n\nanonymous = false":        ":3: amqp.sasl.anonymous: nobody could come",
		"[amqp.servers_tls]\nname = \"x\"":        ":1: amqp.servers_tls.ca: is missing",
		"[[amqp.grant]]\nuser = \"x\"":            ":1: amqp.grant: the 1. one wants a user and classes",
		"[[amqp.place]]\ngive_up = \"1s\"":        ":1: amqp.place[0].class: is missing",
		"[[amqp.place]]\ngive_up = \"soon\"":      ":2: amqp.place.give_up: ",
		"# a comment\n\nnot toml":                 ":3: ",
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := ReadOperator(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+strings.ReplaceAll(want, "FILE", path)) {
			t.Errorf("%q was read as %+v, %v, want %s", text, o, err, want)
		}
		if _, again := Check(path); again == nil || again.Error() != err.Error() {
			t.Errorf("%q: checked as %v, read as %v", text, again, err)
		}
	}
}

// All that is wrong with a configuration is told at once, with line and key.
func TestConfigurationIsCheckedWhole(t *testing.T) {
	good := configText("127.0.0.1:3000", "127.0.0.1:8500", "x")
	path := filepath.Join(t.TempDir(), "config.json")
	check := func(text string) string {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		what, err := Check(path)
		if what != "platform's configuration" {
			t.Errorf("taken for a %s", what)
		}
		if err == nil {
			return ""
		}
		return strings.ReplaceAll(err.Error(), path, "FILE")
	}
	if got := check(good); got != "" {
		t.Errorf("a sound one: %s", got)
	}
	bad := strings.NewReplacer("8c1f", "zz", "127.0.0.1:8500", "nowhere", `"TryLimit": 5`, `"TryLimit": "five"`, "idempotent", "sometimes", `"Zone": 1`, `"Zon": 1`).Replace(good)
	want := []string{
		`FILE:4: settings.Zone: is missing`, `FILE:1: seed: "zz30d27a5be964" is no hexadecimal number of 64 bits`,
		`FILE:1: discovery: "nowhere" is no host:port: address nowhere: missing port in address`,
		`FILE:5: settings.Classes[0].Semantics: has the unknown word "sometimes"`, `FILE:8: settings.Limits.TryLimit: can't be read: `,
	}
	got := strings.Split(check(bad), "\n")
	for i, w := range want {
		if len(got) != len(want) || !slices.ContainsFunc(got, func(g string) bool { return strings.HasPrefix(g, w) }) {
			t.Errorf("got %q, want %q (%d)", got, w, i)
		}
	}
	if got := check(strings.Replace(good, `"MaxRetryAfterUs": 2000000`, `"MaxRetryAfterUs": -2000000`, 1)); got != "FILE:8: settings.Limits.MaxRetryAfterUs: is a time of -2e+06 microseconds, which is out of range" {
		t.Errorf("a time that is none: %s", got)
	}
	if got := check(good[:200]); !strings.HasPrefix(got, "FILE:") || !strings.Contains(got, "unexpected end") {
		t.Errorf("half a file: %s", got)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// lineFront asks a relay's console where its line front listens.
func lineFront(t *testing.T, socket string) string {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); time.Now().Before(late); { // until it has started
		var out strings.Builder
		if console.Run(socket, "fronts", nil, &out, io.Discard) == console.ExitOK {
			for text := range strings.Lines(out.String()) {
				if words := strings.Fields(text); words[0] == "line" {
					return words[1]
				}
			}
		}
	}
	t.Fatal("the relay's console doesn't answer")
	return ""
}

var opened atomic.Uint64 // connections, whose names have to differ

// open opens a connection through the relay and returns its reader after UP.
func open(t *testing.T, address string) *bufio.Reader {
	t.Helper()
	text, r := ask(t, address, "page")
	if text != "UP 1\r\n" {
		t.Fatalf("answered %q", text)
	}
	return r
}

// ask opens a connection of a class and returns the line that answers it, and the reader.
func ask(t *testing.T, address, class string) (string, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "OPEN %016x 2 c=%s,d=1500\r\n", opened.Add(1), class)
	r := bufio.NewReader(c)
	text, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("answered %q, %v", text, err)
	}
	return text, r
}

// start runs a relay with a server that takes everyone. It returns where its line
// front listens, and its end.
func start(t *testing.T, words RunOptions, discovery net.Listener, o *Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startAt(t, "", words, discovery, o, log)
}

// accepts answers whoever comes to a server, and keeps them until the test's end.
func accepts(t *testing.T, server net.Listener, answer string) {
	for {
		c, err := server.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, answer)
		t.Cleanup(func() { c.Close() })
	}
}

// startAt is the same, with a second address.
func startAt(t *testing.T, admin string, words RunOptions, discovery net.Listener, o *Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	server := listen(t)
	go accepts(t, server, "UP 1\r\n")
	return startOn(t, admin, words, discovery, server, o, log)
}

// startOn is the same, with a server of the test's own.
func startOn(t *testing.T, admin string, words RunOptions, discovery, server net.Listener, o *Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	return startFrom(t, configText("127.0.0.1:0", discovery.Addr().String(), server.Addr().String()), admin, words, o, log)
}

// startFrom is the same, with a configuration of the test's own.
func startFrom(t *testing.T, config, admin string, words RunOptions, o *Operator, log io.Writer) (address string, done <-chan error) {
	t.Helper()
	c, err := ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	c.Admin = admin
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	over := make(chan struct{})
	t.Cleanup(func() { cancel(); <-over })
	o.Console.Socket = filepath.Join(t.TempDir(), "console")
	go func() {
		defer close(over)
		end <- Run(ctx, words, c, o, slog.New(slog.NewTextHandler(log, nil)))
	}()
	return lineFront(t, o.Console.Socket), end
}

// endsWithin waits for the relay's end, which has to come before SIGKILL does.
func endsWithin(t *testing.T, done <-chan error, told time.Time, most time.Duration) {
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

// At a planned restart clients still come for a moment: they are served as the
// others, everyone is told to move, and the relay ends well before SIGKILL.
func TestRelayLeavesInGoodOrder(t *testing.T) {
	drain := make(chan struct{})
	address, done := start(t, RunOptions{Shutdown: drain}, listen(t), &Operator{AMQP: AMQP{Listen: "127.0.0.1:0"}}, io.Discard)
	clients := []*bufio.Reader{open(t, address)}
	told := time.Now()
	close(drain)
	clients = append(clients, open(t, address)) // the front has not noticed yet
	for i, r := range clients {
		if rest, err := io.ReadAll(r); string(rest) != "MOVE\r\n" || err != nil {
			t.Errorf("client %d was told %q, %v", i, rest, err)
		}
	}
	endsWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
}

// Where deadlines are short SIGKILL comes soon: a client of AMQP without a link is told that its connection is closed, and
// one of lines that has said nothing to come again.
func TestIdleClientsAreToldOfTheEndThoughItComesSoon(t *testing.T) {
	drain := make(chan struct{})
	config := strings.Replace(configText("127.0.0.1:0", listen(t).Addr().String(), listen(t).Addr().String()), `"DeadlineUs": 1500000`, `"DeadlineUs": 200000`, 1)
	free := listen(t)
	free.Close()
	address, done := startFrom(t, config, "", RunOptions{Shutdown: drain}, &Operator{AMQP: AMQP{Listen: free.Addr().String()}}, io.Discard)
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
	endsWithin(t, done, told, 900*time.Millisecond) // the class's 0.2 s and 0.7
}

// A relay that leaves while its servers hang: who is at one of them, who comes after the word to leave, and who is in the
// middle of an opening all get one answer, and the relay ends in time.
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
	address, done := startOn(t, "", RunOptions{Shutdown: drain}, agent, server, &Operator{}, io.Discard)
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
	opening := func() string { return fmt.Sprintf("OPEN %016x 2 c=page,d=1500\r\n", opened.Add(1)) }
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
	endsWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
}

// A relay that leaves while it is asked answers whole or not at all, and leaves in time.
func TestRelayLeavesWhileItIsAsked(t *testing.T) {
	drain := make(chan struct{})
	o := &Operator{}
	address, done := start(t, RunOptions{Shutdown: drain}, listen(t), o, io.Discard)
	for range 3 {
		open(t, address)
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
	endsWithin(t, done, told, 2200*time.Millisecond) // the class's 1.5 s and 0.7
	if n := <-asked; n == 0 {
		t.Error("no question was answered")
	}
}

// What discovery's agent has counts as told from a process's first moment, and the list from before the start may be
// older: a client that comes before the agent has answered is placed by what it answers.
func TestClientsArePlacedByTheListOfNow(t *testing.T) {
	usual := firstList
	firstList = time.Minute // the agent waits for the client here
	t.Cleanup(func() { firstList = usual })
	agent, other := listen(t), listen(t)
	go accepts(t, other, "UP 2\r\n")
	address, _ := start(t, RunOptions{}, agent, &Operator{}, io.Discard)
	_, _, conn := heldWatch(t, agent)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "OPEN %016x 2 c=page,d=1500\r\n", opened.Add(1))
	list := fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"s-1","phase":"draining","size":1},{"id":"s-2","host_port":%q,"phase":"ready","size":1}]}`, other.Addr())
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
	if text, err := bufio.NewReader(c).ReadString('\n'); text != "UP 2\r\n" {
		t.Errorf("answered %q, %v: the client is placed by the list from before the start", text, err)
	}
}

// watch waits for a relay to open a watch, and returns what it asks and the
// connection.
func watch(t *testing.T, l net.Listener) (string, *bufio.Reader) {
	t.Helper()
	text, r, _ := heldWatch(t, l)
	return text, r
}

func heldWatch(t *testing.T, l net.Listener) (string, *bufio.Reader, net.Conn) {
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

// A new configuration under load: the watch goes over to the new address at once
// and asks for the list whole, clients stay where they are and new ones are still
// served by the old list. A file that makes no sense changes nothing.
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
	var log lines
	o := &Operator{}
	address, done := start(t, RunOptions{Reload: reload, ConfigPath: file}, agents[0], o, &log)
	asked, old := watch(t, agents[0])
	if asked != "GET /discovery/hosts?watch=1&from=41 HTTP/1.1" {
		t.Errorf("asked %q", asked)
	}
	clients := []*bufio.Reader{open(t, address)}
	bad := 0
	unreadable := func(text string) {
		t.Helper()
		replace(text)
		bad++
		// The file may be replaced again only once it has been read.
		for late := time.Now().Add(10 * time.Second); log.count("the configuration stays as it was") != bad; {
			if time.Now().After(late) {
				t.Fatalf("%q was not logged", text)
			}
		}
	}
	for _, next := range agents[1:] {
		unreadable("{half a fi")
		unreadable(configText("127.0.0.1:0", "no address", "x"))
		replace(configText("127.0.0.1:0", next.Addr().String(), "x"))
		if _, err := io.Copy(io.Discard, old); err != nil {
			t.Errorf("the watch at the old address ended with %v", err)
		}
		asked, old = watch(t, next)
		if asked != "GET /discovery/hosts?watch=1&from=0 HTTP/1.1" {
			t.Errorf("asked %q", asked)
		}
		clients = append(clients, open(t, address))
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

// lines is a log that a test reads.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}
