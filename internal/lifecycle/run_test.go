package lifecycle

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockroad/internal/console"
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
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 4096 || c.MemoryMB != 2048 || c.Classes[0] != "page" ||
		c.Zones[1] != "b" || c.Known.Revision != 41 || c.Settings.MaxRetryAfter != 2*time.Second || c.Settings.Relays != 3 {
		t.Errorf("read as %+v", c)
	}
	for _, text := range []string{"", "{}", strings.Replace(configText("", "d", "x"), `"name":"n3",`, "", 1),
		strings.Replace(configText("l", "d", "x"), "8c1f", "zz", 1), strings.Replace(configText("l", "d", "x"), "TryLimit", "Odd", 1)} {
		if c, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("%q was read as %+v", text, c)
		}
	}
}

func TestOperatorsFile(t *testing.T) {
	if o, err := ReadOperator(""); err != nil || *o != (Operator{}) {
		t.Errorf("without a file: %+v, %v", o, err)
	}
	o, err := ReadOperator("../../deploy/operator.toml")
	if err != nil || o.AMQP.Listen == "" || o.Console.Socket == "" || o.OTLP.Endpoint != "" {
		t.Errorf("the file that ships: %+v, %v", o, err)
	}
	for _, text := range []string{
		"[amqp]\nlisten = \"nowhere\"", "[amqp]\nlisten = \"a:b\"", "[amqp]\nserver_port = 70000", "[odd]\nx = 1",
		"[otlp]\nendpoint = \"collector:4318\"", "not toml",
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if o, err := ReadOperator(path); err == nil {
			t.Errorf("%q was read as %+v", text, o)
		}
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
		if console.Main([]string{"-socket", socket, "fronts"}, nil, &out, io.Discard) == console.ExitOK {
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

// open opens a connection through the relay and returns its reader after UP.
func open(t *testing.T, address string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, "OPEN 1 2 c=page,d=1500\r\n")
	r := bufio.NewReader(c)
	if text, err := r.ReadString('\n'); text != "UP 1\r\n" {
		t.Fatalf("answered %q, %v", text, err)
	}
	return r
}

// At a planned restart clients still come for a moment: they are served as the
// others, everyone is told to move, and the relay ends well before SIGKILL.
func TestRelayLeavesInGoodOrder(t *testing.T) {
	server, discovery := listen(t), listen(t)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, "UP 1\r\n")
			t.Cleanup(func() { c.Close() })
		}
	}()
	c, err := ParseConfig([]byte(configText("127.0.0.1:0", discovery.Addr().String(), server.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	drain, done := make(chan struct{}), make(chan error, 1)
	socket := filepath.Join(t.TempDir(), "console")
	o := &Operator{Console: Console{Socket: socket}, AMQP: AMQP{Listen: "127.0.0.1:0"}}
	go func() { done <- Run(context.Background(), drain, c, o, slog.New(slog.DiscardHandler)) }()
	address := lineFront(t, socket)
	clients := []*bufio.Reader{open(t, address)}
	close(drain)
	clients = append(clients, open(t, address)) // the front has not noticed yet
	for i, r := range clients {
		if rest, err := io.ReadAll(r); string(rest) != "MOVE\r\n" || err != nil {
			t.Errorf("client %d was told %q, %v", i, rest, err)
		}
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3500 * time.Millisecond):
		t.Error("the relay is still there when SIGKILL comes")
	}
}
