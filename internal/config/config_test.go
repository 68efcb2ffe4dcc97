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
		"[why]\nbytes = \"much\"":                 ":2: why.bytes: expected an integer, found a string",
		"[log]\nlevel = \"loud\"\nform = \"xml\"": ":2: log.level: unknown level \"loud\"; expected one of debug, info, warn, error\nFILE:3: log.form: ",
		"[amqp]\nshared = -1":                     ":2: amqp.shared: -1 is out of range: expected 0 to",
		"[amqp.tls]\ncert = \"x\"":                ":2: amqp.tls.cert: cert and key must be set together",
		"[amqp.tls]\ncert = \"x\"\nkey = \"y\"":   ":2: amqp.tls.cert: certificate x and key y: open x: no such file",
		"[amqp.sasl]\nusers = \"x\"":              ":2: amqp.sasl.users: passwords would be sent unencrypted",
		"[amqp.sasl]\n\nanonymous = false":        ":3: amqp.sasl.anonymous: no client could authenticate",
		"[amqp.servers_tls]\nname = \"x\"":        ":1: amqp.servers_tls.ca: is missing",
		"[[amqp.grant]]\nuser = \"x\"":            ":1: amqp.grant: entry 1 must have a user and classes",
		"[[amqp.place]]\ngive_up = \"1s\"":        ":1: amqp.place[0].class: is missing",
		"[[amqp.place]]\ngive_up = \"soon\"":      ":2: amqp.place[0].give_up: \"soon\" is not a duration",
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
		if kind != "platform configuration" {
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
		`FILE:5: settings.Classes[0].Semantics: has the unknown value "sometimes"`, `FILE:8: settings.Limits.TryLimit: has the wrong type: expected an integer, found a string`,
	}
	got := strings.Split(check(invalid), "\n")
	for i, prefix := range want {
		if len(got) != len(want) || !slices.ContainsFunc(got, func(line string) bool { return strings.HasPrefix(line, prefix) }) {
			t.Errorf("got problems %q, want %q (%d)", got, prefix, i)
		}
	}
	if got := check(strings.Replace(valid, `"MaxRetryAfterUs": 2000000`, `"MaxRetryAfterUs": -2000000`, 1)); got != "FILE:8: settings.Limits.MaxRetryAfterUs: is -2e+06 microseconds, but must be between 0 and 1e15" {
		t.Errorf("negative duration: %s", got)
	}
	if got := check(valid[:200]); !strings.HasPrefix(got, "FILE:") || !strings.Contains(got, "unexpected end") {
		t.Errorf("truncated file: %s", got)
	}
}

// A value of the wrong type must be reported with its key and with types of the file's language instead of Go types.
func TestTypeMismatchesAreReportedInTermsOfTheFile(t *testing.T) {
	readSite := func(text []byte) error { _, err := parseSite("FILE", text); return err }
	readPlatform := func(text []byte) error { _, err := parseConfig("FILE", text, nil); return err }
	replace := func(valid, invalid string) string {
		return strings.Replace(configtest.PlatformConfig("127.0.0.1:3000", "127.0.0.1:8500", "x"), valid, invalid, 1)
	}
	for _, c := range []struct {
		read       func([]byte) error
		text, want string
	}{
		{readSite, "\nlisten = 3000", "FILE:2: listen: expected a string, found an integer"},
		{readSite, "listen = 2026-01-02", "FILE:1: listen: expected a string, found a date or time"},
		{readSite, "listen = { port = 1 }", "FILE:1: listen: expected a string, found a table"},
		{readSite, "[listen]\nport = 1", "FILE:1: listen: expected a string, found a table"},
		{readSite, "listen.port = 1", "FILE:1: listen.port: expected a string, found a table"},
		{readSite, "[[server]]\nname = \"a\"\n[[server]]\nname = 5", "FILE:4: server[1].name: expected a string, found an integer"},
		{readSite, "[[Server]]\nSize = \"big\"", "FILE:2: Server[0].Size: expected a number, found a string"},
		{readSite, "server = 3", "FILE:1: server: expected an array of tables, found an integer"},
		{readSite, "server = [\"a\"]", "FILE:1: server[0]: expected a table, found a string"},
		{readSite, "server = [{ address = \"a:1\" }, { name = 5 }]", "FILE:1: server[1].name: expected a string, found an integer"},
		{readSite, "[log]\n= 2", "FILE:2: invalid character at start of key: U+003D '='"},
		{readSite, "server = [{ name = { a = 1 } }]", "FILE:1: server[0].name: expected a string, found a table"},
		{readSite, "[limits]\nfair = \"yes\"", "FILE:2: limits.fair: expected a boolean, found a string"},
		{readSite, "[limits]\nsockets = 1.5", "FILE:2: limits.sockets: expected an integer, found a float"},
		{readSite, "[limits]\nmemory_mb = true", "FILE:2: limits.memory_mb: expected an integer, found a boolean"},
		{readSite, "[[limits]]\nsockets = 1", "FILE:1: limits: expected a table, found an array of tables"},
		{readSite, "limits = [1]", "FILE:1: limits: expected a table, found an array"},
		{readSite, "[health]\nevery = [\"2s\"]", "FILE:2: health.every: expected a duration such as \"5s\", found an array"},
		{readSite, "[health.every]\ns = 2", "FILE:1: health.every: expected a single value, found a table"},
		{readSite, "[[health.every]]\ns = 2", "FILE:1: health.every: expected a single value, found an array of tables"},
		{readSite, "[amqp.sasl]\nanonymous = 1", "FILE:2: amqp.sasl.anonymous: expected a boolean, found an integer"},
		{readSite, "[[amqp.grant]]\nclasses = \"a\"", "FILE:2: amqp.grant[0].classes: expected an array, found a string"},
		{readSite, "[[amqp.grant]]\nclasses = [\n\"a\",\n1]", "FILE:4: amqp.grant[0].classes[1]: expected a string, found an integer"},
		{readSite, "[amqp]\ngrant = 1", "FILE:2: amqp.grant: expected an array of tables, found an integer"},
		{readSite, "log = 1", "FILE:1: log: expected a table, found an integer"},
		{readPlatform, `{"discovery": 7}`, "FILE:1: discovery: expected a string, found a number"},
		{readPlatform, "{\"SEED\":\n{\"a\": 1}}", "FILE:2: SEED: expected a string, found an object"},
		{readPlatform, `{"known": {"members": [{"id": "a"}, {"cell": 1.5}]}}`, "FILE:1: known.members[1].cell: expected an integer, found the number 1.5"},
		{readPlatform, `{"known": {"revision": -1}}`, "FILE:1: known.revision: expected a non-negative integer, found the number -1"},
		{readPlatform, `{"known": {"complete": "yes" }}`, "FILE:1: known.complete: expected a boolean, found a string"},
		{readPlatform, `{"known": {"members": {}}}`, "FILE:1: known.members: expected an array, found an object"},
		{readPlatform, `{"limits": {"cores": true}}`, "FILE:1: limits.cores: expected a number, found a boolean"},
		{readPlatform, `{"limits": [1]}`, "FILE:1: limits: expected an object, found an array"},
		{readPlatform, "\n[1]", "FILE:2: expected an object, found an array"},
		{readPlatform, replace(`"Localities": [`, `"Localities": [1, `), "FILE:6: settings.Localities: expected a string, found a number"},
		{readPlatform, replace(`"MaxRetryAfterUs": 2000000`, `"MaxRetryAfterUs": "2s"`), "FILE:8: settings.Limits.MaxRetryAfterUs: expected a number, found a string"},
		{readPlatform, replace(`"TryLimit": 5`, `"TryLimit": 2.5`), "FILE:8: settings.Limits.TryLimit: has the wrong type: expected an integer, found the number 2.5"},
	} {
		if err := c.read([]byte(c.text)); err == nil || err.Error() != c.want {
			t.Errorf("%q: got error %v, want %s", c.text, err, c.want)
		}
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
