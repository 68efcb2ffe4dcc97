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

// metric returns one metric at a relay's second address; -1 if it isn't there.
func metric(t *testing.T, address, name string) int {
	t.Helper()
	answer, err := http.Get("http://" + address + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	for line := range strings.Lines(string(text)) {
		var n int
		if _, err := fmt.Sscanf(line, "edge_proxy_"+strings.ReplaceAll(name, "%", "%%")+" %d\n", &n); err == nil {
			return n
		}
	}
	return -1
}

// firstWord returns the first word of the answer to a client of a class.
func firstWord(t *testing.T, address, class string) string {
	t.Helper()
	text, _ := requestClass(t, address, class)
	return strings.Fields(text)[0]
}

// freeAddress returns one that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// Each of these files is rejected, counted, and logged with its key.
func TestRejectedReloadChangesNothing(t *testing.T) {
	agent := listen(t)
	good := configtest.PlatformConfig("127.0.0.1:0", agent.Addr().String(), "x")
	added := strings.Replace(good, `[{"AimUs"`, `[{"Name": "extra", "AimUs": 900000, "DeadlineUs": 2000000, "Semantics": "at_most_once"}, {"AimUs"`, 1)
	with := func(old, replacement string) string {
		if !strings.Contains(added, old) {
			t.Fatalf("%q is not there", old)
		}
		return strings.Replace(added, old, replacement, 1)
	}
	broken := map[string]string{
		"":                                "unexpected end",
		added[:len(added)/2]:              "unexpected end",
		added + "}":                       "after top-level value",
		"[]":                              "is a array",
		with(`"name":"n3",`, ""):          "name: is missing",
		with(`"memory_mb":2048,`, ""):     "limits.memory_mb: is missing",
		with(`"known"`, `"knwn"`):         "known: is missing",
		with(`"AimUs": 800000, `, ""):     "settings.Classes[1].AimUs: is missing",
		with(`"QuantumUs": 2000, `, ""):   "settings.QuantumUs: is missing",
		with(`"RetryAfter": false, `, ""): "settings.Limits.RetryAfter: is missing",
		with(`"DeadlineUs": 1500000`, `"DeadlineUs": 0`):      "settings.Classes[1].DeadlineUs: is not over 0",
		with(`"DeadlineUs": 1500000`, `"DeadlineUs": -5`):     "settings.Classes[1].DeadlineUs: is a time of -5",
		with(`"DeadlineUs": 1500000`, `"DeadlineUs": null`):   "settings.Classes[1].DeadlineUs: is missing",
		with(`"DeadlineUs": 1500000`, `"DeadlineUs": "long"`): "settings.Classes[1].DeadlineUs: can't be read",
		with(`"TryLimit": 5`, `"TryLimit": 0`):                "settings.Limits.TryLimit: is not over 0",
		with(`"TryLimit": 5`, `"TryLimit": 2.5`):              "settings.Limits.TryLimit: can't be read",
		with(`"extra"`, `"page"`):                             "is the name of another class too",
		with(`"Name": "extra", `, ""):                         "settings.Classes[0].Name: is missing",
		with(`"idempotent"`, `"sometimes"`):                   "settings.Classes[1].Semantics: has the unknown word",
	}
	file, reload := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	var log logBuffer
	admin := freeAddress(t)
	address, _ := startRelayWithAdmin(t, admin, RunOptions{Reload: reload, ConfigPath: file}, agent, &config.Operator{}, &log)
	n := 0
	for text, want := range broken {
		writeFile(t, file, text)
		reload <- syscall.SIGHUP
		n++
		testutil.Until(t, "it was not counted: "+want, func() bool { return metric(t, admin, "config_rejected_total") == n })
		if log.count(want) == 0 {
			t.Errorf("nothing is said of %q for\n%s", want, text)
		}
		if got := firstWord(t, address, "extra"); got != "ERR" {
			t.Errorf("%s: a client of the class in it is told %s", want, got)
		}
		if got := firstWord(t, address, "page"); got != "UP" {
			t.Errorf("%s: a client of the class in force is told %s", want, got)
		}
	}
	if got := metric(t, admin, "config_applied_total"); got != 0 {
		t.Errorf("%d files were taken", got)
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A second address that is malformed or taken ends the start, and the error names the key.
func TestSecondAddressIsChecked(t *testing.T) {
	text := strings.Replace(configtest.PlatformConfig("127.0.0.1:0", "127.0.0.1:1", "x"), `"name"`, `"admin_addr": "nowhere", "name"`, 1)
	if _, err := config.ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), `:1: admin_addr: "nowhere" is no host:port`) {
		t.Errorf("malformed: %v", err)
	}
	taken := listen(t).Addr().String()
	c, err := config.ParseConfig([]byte(strings.Replace(text, "nowhere", taken, 1)))
	if err != nil || c.AdminAddr != taken {
		t.Fatalf("%+v, %v", c, err)
	}
	if err := Run(t.Context(), RunOptions{}, c, &config.Operator{}, slog.New(slog.DiscardHandler)); err == nil || !strings.HasPrefix(err.Error(), "admin_addr: ") {
		t.Errorf("taken: %v", err)
	}
}

// Classes are added and removed under load; who is established stays, and is counted in its own class.
func TestReloadAddsAndRemovesClasses(t *testing.T) {
	agent := listen(t)
	file, reload := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal, 1)
	admin := freeAddress(t)
	address, done := startRelayWithAdmin(t, admin, RunOptions{Reload: reload, ConfigPath: file}, agent, &config.Operator{}, io.Discard)
	stays := openRequest(t, address)
	text := configtest.PlatformConfig("127.0.0.1:0", agent.Addr().String(), "x")
	for i := range 3 {
		class := fmt.Sprintf("class-%d", i)
		writeFile(t, file, strings.Replace(text, `"page"`, `"`+class+`"`, 1))
		reload <- syscall.SIGHUP
		testutil.Until(t, "not taken", func() bool { return metric(t, admin, "config_applied_total") == i+1 })
		if got := firstWord(t, address, class); got != "UP" {
			t.Errorf("a client of %s is told %s", class, got)
		}
		if got := firstWord(t, address, "page"); got != "ERR" {
			t.Errorf("a client of the class that was dropped is told %s", got)
		}
	}
	for name, want := range map[string]int{
		`ok_total{kind="page"}`: 1, `ok_total{kind="class-1"}`: 1, `errors_total{kind="class-0"}`: 0, "tries_total": 4, "active": 4, "pool_size": 1,
	} {
		testutil.Until(t, fmt.Sprintf("%s is not %d but %d", name, want, metric(t, admin, name)), func() bool { return metric(t, admin, name) == want })
	}
	if stays.Buffered() > 0 {
		t.Error("who was up has been told something")
	}
	select {
	case err := <-done:
		t.Errorf("the relay has ended with %v", err)
	default:
	}
}

// A configuration that names the localities in another order moves no endpoint to another zone, and the relay stays in its own.
func TestLocalitiesMayComeInAnotherOrder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	good := configtest.PlatformConfig("127.0.0.1:0", "127.0.0.1:8500", "127.0.0.1:1")
	c, err := config.ParseConfig([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	k := proxy.New(c.Settings, 1, proxy.NewClock())
	r := &relay{options: RunOptions{ConfigPath: file}, config: c, proxy: k, log: slog.New(slog.DiscardHandler), watcher: &discovery.Watcher{Proxy: k, Address: c.DiscoveryAddr, Zones: c.Zones}}
	reload := r.platformReloader()
	for _, next := range []struct {
		localities string
		zone, want int
	}{{`["b", "a"]`, 0, 1}, {`["b", "a"]`, 1, 0}, {`["c", "a", "b"]`, 2, 1}, {`["c", "a", "b"]`, 0, 2}} {
		text := strings.NewReplacer(`["a", "b"]`, next.localities, `"Zone": 1`, fmt.Sprintf(`"Zone": %d`, next.zone)).Replace(good)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := reload(reloadRequest{}); err != nil {
			t.Fatal(err)
		}
		if got := k.Settings().Zone; got != next.want {
			t.Errorf("zone %d of %s is %d here, want %d", next.zone, next.localities, got, next.want)
		}
	}
}
