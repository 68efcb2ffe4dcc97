package server

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lockroad/internal/config"
	"lockroad/internal/config/configtest"
	"lockroad/internal/discovery"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

// metric reads a metric from a relay's admin address. It returns -1 if there is no such metric.
func metric(t *testing.T, address, name string) int {
	t.Helper()
	response, err := http.Get("http://" + address + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		var n int
		if _, err := fmt.Sscanf(line, "edge_proxy_"+strings.ReplaceAll(name, "%", "%%")+" %d\n", &n); err == nil {
			return n
		}
	}
	return -1
}

// answerWord opens a request of a class and returns the first word of the answer.
func answerWord(t *testing.T, address, class string) string {
	t.Helper()
	text, _ := requestClass(t, address, class)
	return strings.Fields(text)[0]
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// An invalid configuration must be rejected as a whole, counted, and logged with the key concerned.
func TestRejectedReloadChangesNothing(t *testing.T) {
	agent := listen(t)
	valid := configtest.PlatformConfig("127.0.0.1:0", agent.Addr().String(), "x")
	withExtraClass := strings.Replace(valid, `[{"AimUs"`, `[{"Name": "extra", "AimUs": 900000, "DeadlineUs": 2000000, "Semantics": "at_most_once"}, {"AimUs"`, 1)
	replace := func(old, replacement string) string {
		if !strings.Contains(withExtraClass, old) {
			t.Fatalf("configuration doesn't contain %q", old)
		}
		return strings.Replace(withExtraClass, old, replacement, 1)
	}
	wantErrors := map[string]string{ // by invalid configuration
		"":                                     "unexpected end",
		withExtraClass[:len(withExtraClass)/2]: "unexpected end",
		withExtraClass + "}":                   "after top-level value",
		"[]":                                   "expected an object, found an array",
		replace(`"name":"n3",`, ""):            "name: is missing",
		replace(`"memory_mb":2048,`, ""):       "limits.memory_mb: is missing",
		replace(`"known"`, `"knwn"`):           "known: is missing",
		replace(`"AimUs": 800000, `, ""):       "settings.Classes[1].AimUs: is missing",
		replace(`"QuantumUs": 2000, `, ""):     "settings.QuantumUs: is missing",
		replace(`"RetryAfter": false, `, ""):   "settings.Limits.RetryAfter: is missing",
		replace(`"DeadlineUs": 1500000`, `"DeadlineUs": 0`):      "settings.Classes[1].DeadlineUs: must be greater than 0",
		replace(`"DeadlineUs": 1500000`, `"DeadlineUs": -5`):     "settings.Classes[1].DeadlineUs: is -5 microseconds, but",
		replace(`"DeadlineUs": 1500000`, `"DeadlineUs": null`):   "settings.Classes[1].DeadlineUs: is missing",
		replace(`"DeadlineUs": 1500000`, `"DeadlineUs": "long"`): "settings.Classes[1].DeadlineUs: has the wrong type: expected a number, found a string",
		replace(`"TryLimit": 5`, `"TryLimit": 0`):                "settings.Limits.TryLimit: must be greater than 0",
		replace(`"TryLimit": 5`, `"TryLimit": 2.5`):              "settings.Limits.TryLimit: has the wrong type: expected an integer, found the number 2.5",
		replace(`"extra"`, `"page"`):                             "another class is already named",
		replace(`"Name": "extra", `, ""):                         "settings.Classes[0].Name: is missing",
		replace(`"idempotent"`, `"sometimes"`):                   "settings.Classes[1].Semantics: has the unknown value",
	}
	file, reload := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	var log logBuffer
	admin := freeAddress(t)
	address, _ := startRelayWithAdmin(t, admin, RunOptions{Reload: reload, ConfigPath: file}, agent, &config.Operator{}, &log)
	rejected := 0
	for text, want := range wantErrors {
		writeFile(t, file, text)
		reload <- syscall.SIGHUP
		rejected++
		testutil.Until(t, "rejected reload was not counted: "+want, func() bool { return metric(t, admin, "config_rejected_total") == rejected })
		if log.count(want) == 0 {
			t.Errorf("%q was not logged for\n%s", want, text)
		}
		if got := answerWord(t, address, "extra"); got != "ERR" {
			t.Errorf("%s: got %s for the class of the rejected configuration, want ERR", want, got)
		}
		if got := answerWord(t, address, "page"); got != "UP" {
			t.Errorf("%s: got %s for the class in force, want UP", want, got)
		}
	}
	if got := metric(t, admin, "config_applied_total"); got != 0 {
		t.Errorf("%d reloads were applied, want 0", got)
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A start with a malformed or used admin address must fail with an error that names the key.
func TestAdminAddressIsValidated(t *testing.T) {
	text := strings.Replace(configtest.PlatformConfig("127.0.0.1:0", "127.0.0.1:1", "x"), `"name"`, `"admin_addr": "nowhere", "name"`, 1)
	if _, err := config.ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), `:1: admin_addr: "nowhere" is not a host:port address`) {
		t.Errorf("malformed address: got error %v", err)
	}
	used := listen(t).Addr().String()
	cfg, err := config.ParseConfig([]byte(strings.Replace(text, "nowhere", used, 1)))
	if err != nil || cfg.AdminAddr != used {
		t.Fatalf("parsed as %+v, %v", cfg, err)
	}
	if err := Run(t.Context(), RunOptions{}, cfg, &config.Operator{}, slog.New(slog.DiscardHandler)); err == nil || !strings.HasPrefix(err.Error(), "admin_addr: ") {
		t.Errorf("address in use: got error %v", err)
	}
}

// Adding and removing classes by reload must keep established clients and count them under their own class.
func TestReloadAddsAndRemovesClasses(t *testing.T) {
	agent := listen(t)
	file, reload := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal, 1)
	admin := freeAddress(t)
	address, done := startRelayWithAdmin(t, admin, RunOptions{Reload: reload, ConfigPath: file}, agent, &config.Operator{}, io.Discard)
	established := openRequest(t, address)
	text := configtest.PlatformConfig("127.0.0.1:0", agent.Addr().String(), "x")
	for i := range 3 {
		class := fmt.Sprintf("class-%d", i)
		writeFile(t, file, strings.Replace(text, `"page"`, `"`+class+`"`, 1))
		reload <- syscall.SIGHUP
		testutil.Until(t, "reload was not applied", func() bool { return metric(t, admin, "config_applied_total") == i+1 })
		if got := answerWord(t, address, class); got != "UP" {
			t.Errorf("added class %s: got %s, want UP", class, got)
		}
		if got := answerWord(t, address, "page"); got != "ERR" {
			t.Errorf("got %s for the removed class, want ERR", got)
		}
	}
	for name, want := range map[string]int{
		`ok_total{kind="page"}`: 1, `ok_total{kind="class-1"}`: 1, `errors_total{kind="class-0"}`: 0, "tries_total": 4, "active": 4, "pool_size": 1,
	} {
		testutil.Until(t, fmt.Sprintf("metric %s is not %d but %d", name, want, metric(t, admin, name)), func() bool { return metric(t, admin, name) == want })
	}
	if established.Buffered() > 0 {
		t.Error("the established client received data")
	}
	select {
	case err := <-done:
		t.Errorf("the relay exited: %v", err)
	default:
	}
}

// A configuration with reordered localities must move neither the endpoints nor the relay to another zone.
func TestReloadWithReorderedLocalitiesKeepsZones(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	valid := configtest.PlatformConfig("127.0.0.1:0", "127.0.0.1:8500", "127.0.0.1:1")
	cfg, err := config.ParseConfig([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	p := proxy.New(cfg.Settings, 1, proxy.NewClock())
	r := &relay{options: RunOptions{ConfigPath: file}, config: cfg, proxy: p, log: slog.New(slog.DiscardHandler), watcher: &discovery.Watcher{Proxy: p, Address: cfg.DiscoveryAddr, Zones: cfg.Zones}}
	reload := r.platformReloader()
	for _, next := range []struct {
		localities string
		zone, want int
	}{{`["b", "a"]`, 0, 1}, {`["b", "a"]`, 1, 0}, {`["c", "a", "b"]`, 2, 1}, {`["c", "a", "b"]`, 0, 2}} {
		text := strings.NewReplacer(`["a", "b"]`, next.localities, `"Zone": 1`, fmt.Sprintf(`"Zone": %d`, next.zone)).Replace(valid)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := reload(reloadRequest{}); err != nil {
			t.Fatal(err)
		}
		if got := p.Settings().Zone; got != next.want {
			t.Errorf("zone %d of localities %s: got zone %d of this process, want %d", next.zone, next.localities, got, next.want)
		}
	}
}
