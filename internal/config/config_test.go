package config

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lockroad/internal/config/configtest"
	"lockroad/internal/decisionlog"
)

func TestParseConfig(t *testing.T) {
	c, err := ParseConfig([]byte(configtest.PlatformConfig("127.0.0.1:3000", "127.0.0.1:8500", "x")))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 4096 || c.MemoryMB != 2048 || c.Settings.ClassIndex("page") != 0 ||
		c.Zones[1] != "b" || c.InitialList.Revision != 41 || c.Settings.MaxRetryAfter != 2*time.Second || c.Settings.RelayCount != 3 {
		t.Errorf("parsed as %+v", c)
	}
	for _, text := range []string{"", "{}", strings.Replace(configtest.PlatformConfig("", "d:1", "x"), `"name":"n3",`, "", 1),
		strings.Replace(configtest.PlatformConfig("l:1", "d:1", "x"), "8c1f", "zz", 1), strings.Replace(configtest.PlatformConfig("l:1", "d:1", "x"), "TryLimit", "Odd", 1)} {
		if c, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("invalid configuration %q was parsed as %+v", text, c)
		}
	}
}

func TestReadOperator(t *testing.T) {
	if o, err := ReadOperator(""); err != nil || !reflect.DeepEqual(*o, Operator{}) || o.DecisionLogBytes() != 0 {
		t.Errorf("empty path: got %+v, %v, want the zero Operator", o, err)
	}
	o, err := ReadOperator("../../deploy/operator.toml")
	if err != nil || o.AMQP.Listen == "" || o.Console.Socket == "" || o.OTLP.Endpoint != "" {
		t.Errorf("deploy/operator.toml: got %+v, %v", o, err)
	}
	if o.DecisionLogBytes() != decisionlog.DefaultBytes {
		t.Errorf("with a console the decision log has %d bytes, want %d", o.DecisionLogBytes(), decisionlog.DefaultBytes)
	}
	for text, want := range map[string]string{
		"[amqp]\nlisten = \"nowhere\"":            `:2: amqp.listen: "nowhere" is not a host:port address`,
		"[amqp]\nlisten = \"a:b\"":                `:2: amqp.listen: port "b" is not a number`,
		"[amqp]\nserver_port = 70000\nlinks = -1": ":2: amqp.server_port: 70000 is not a port number\nFILE:3: amqp.links: -1 is negative",
		"[odd]\nx = 1\n[amqp]\nlsten = \"a:1\"":   ":1: odd: unknown key\nFILE:4: amqp.lsten: unknown key",
		"\n[otlp]\nendpoint = \"collector:4318\"": `:3: otlp.endpoint: "collector:4318" is not an http or https URL`,
		"[why]\nbytes = 4096":                     ":2: why.bytes: 4096 is out of range: expected 0",
		"[why]\nbytes = \"much\"":                 ":2: why.bytes: ",
		"[log]\nlevel = \"loud\"\nform = \"xml\"": ":2: log.level: unknown level \"loud\"; expected one of debug, info, warn, error\nFILE:3: log.form: ",
		"[amqp]\nshared = -1":                     ":2: amqp.shared: -1 is out of range: expected 0 to",
		"[amqp.tls]\ncert = \"x\"":                ":2: amqp.tls.cert: cert and key must be set together",
		"[amqp.tls]\ncert = \"x\"\nkey = \"y\"":   ":2: amqp.tls.cert: certificate x and key y: open x: no such file",
		"[amqp.sasl]\nusers = \"x\"":              ":2: amqp.sasl.users: passwords would be sent unencrypted",
		"[amqp.sasl]\n\nanonymous = false":        ":3: amqp.sasl.anonymous: no client could authenticate",
		"[amqp.servers_tls]\nname = \"x\"":        ":1: amqp.servers_tls.ca: is missing",
		"[[amqp.grant]]\nuser = \"x\"":            ":1: amqp.grant: entry 1 must have a user and classes",
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
			t.Errorf("%q: got %+v, %v, want error %s", text, o, err, want)
		}
		if _, checkErr := Check(path); checkErr == nil || checkErr.Error() != err.Error() {
			t.Errorf("%q: Check returned %v, ReadOperator %v", text, checkErr, err)
		}
	}
}

// Check must report all problems of a configuration at once, each with its line and key.
func TestCheckReportsAllProblems(t *testing.T) {
	valid := configtest.PlatformConfig("127.0.0.1:3000", "127.0.0.1:8500", "x")
	path := filepath.Join(t.TempDir(), "config.json")
	check := func(text string) string {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		kind, err := Check(path)
		if kind != "platform's configuration" {
			t.Errorf("recognized as %s", kind)
		}
		if err == nil {
			return ""
		}
		return strings.ReplaceAll(err.Error(), path, "FILE")
	}
	if got := check(valid); got != "" {
		t.Errorf("valid configuration: %s", got)
	}
	invalid := strings.NewReplacer("8c1f", "zz", "127.0.0.1:8500", "nowhere", `"TryLimit": 5`, `"TryLimit": "five"`, "idempotent", "sometimes", `"Zone": 1`, `"Zon": 1`).Replace(valid)
	want := []string{
		`FILE:4: settings.Zone: is missing`, `FILE:1: seed: "zz30d27a5be964" is not a 64-bit hexadecimal number`,
		`FILE:1: discovery: "nowhere" is not a host:port address: address nowhere: missing port in address`,
		`FILE:5: settings.Classes[0].Semantics: has the unknown value "sometimes"`, `FILE:8: settings.Limits.TryLimit: can't be read: `,
	}
	got := strings.Split(check(invalid), "\n")
	for i, prefix := range want {
		if len(got) != len(want) || !slices.ContainsFunc(got, func(line string) bool { return strings.HasPrefix(line, prefix) }) {
			t.Errorf("got problems %q, want %q (%d)", got, prefix, i)
		}
	}
	if got := check(strings.Replace(valid, `"MaxRetryAfterUs": 2000000`, `"MaxRetryAfterUs": -2000000`, 1)); got != "FILE:8: settings.Limits.MaxRetryAfterUs: is a time of -2e+06 microseconds, which is out of range" {
		t.Errorf("negative duration: %s", got)
	}
	if got := check(valid[:200]); !strings.HasPrefix(got, "FILE:") || !strings.Contains(got, "unexpected end") {
		t.Errorf("truncated file: %s", got)
	}
}

// Reading a file while it is being replaced must return the old or the new content, not a mix.
func TestReadStableWhileFileIsReplaced(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	oldContent, newContent := bytes.Repeat([]byte("a"), 1<<20), bytes.Repeat([]byte("b"), 1<<20)
	if err := os.WriteFile(file, oldContent, 0o600); err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			next := file + ".next"
			_ = os.WriteFile(next, [][]byte{oldContent, newContent}[i%2], 0o600)
			_ = os.Rename(next, file)
		}
	}()
	defer func() { close(stop); <-stopped }()
	for range 50 {
		text, err := readStable(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, oldContent) && !bytes.Equal(text, newContent) {
			t.Fatalf("read %d bytes that mix both contents", len(text))
		}
	}
}
