package main

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if LOCKROAD_TEST_PROGRAM is set: tests start the test binary as a
// relay.
func TestMain(m *testing.M) {
	if os.Getenv("LOCKROAD_TEST_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runCommandLine runs a command line in this process.
func runCommandLine(args ...string) (code int, out, errs string) {
	var stdout, stderr strings.Builder
	code = execute(args, streams{strings.NewReader(""), &stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

func TestCommandLine(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("LOCKROAD_OPERATOR", "")
	t.Setenv("LOCKROAD_SOCKET", "")
	folder := t.TempDir()
	invalid := filepath.Join(folder, "bad.toml")
	if err := os.WriteFile(invalid, []byte("[amqp]\nlisten = \"x\"\n[odd]\ny = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(folder, "nobody")
	for _, test := range []struct {
		args string
		code int
		out  []string
		errs []string
	}{
		{"--version", 0, []string{"lockroad ", "go1."}, nil},
		{"--help", 0, []string{"run", "check", "console", "why", "demo", "completion"}, nil},
		{"why --help", 0, []string{"Examples:", "(answer ANSWER ...)", "--socket"}, nil},
		{"run --help", 0, []string{"Examples:", "--log-form"}, nil},
		{"completion -c bash", 0, []string{"complete"}, nil},
		{"check ../../deploy/operator.toml", 0, []string{"deploy/operator.toml: OK (operator file)"}, nil},
		{"check ../../deploy/site.toml", 0, []string{"deploy/site.toml: OK (site file)"}, nil},
		{"check " + invalid + " " + missing, 1, nil, []string{invalid + ":2: amqp.listen: ", invalid + ":3: odd: unknown key", "no such file"}},
		{"store check " + folder, 0, []string{"0 records of 0 commits"}, nil},
		{"store check " + missing, 2, nil, []string{"nobody"}},
		{"check", 2, nil, []string{"<file>"}},
		{"--odd", 2, nil, []string{"unknown flag --odd"}},
		{"console --odd --socket x", 2, nil, []string{"unknown flag --odd"}},
		{"explode", 2, nil, []string{"explode"}},
		{"run --log-level loud", 2, nil, []string{`unknown level "loud"`}},
		{"why 7", 2, nil, []string{"--socket"}},
		{"why --socket x --where (pinned) 7", 2, nil, []string{"mutually exclusive"}},
		{"why --socket " + missing + " 7", 3, nil, []string{"no relay answers"}},
		{"console -socket " + missing + " why --json 7", 3, nil, []string{"no relay answers at " + missing}},
		{"lab list", 1, nil, []string{"simulate"}}, // simulate is not in the directory of the test binary
		{"demo --rate 0", 2, nil, []string{"rate 0: expected more than 0"}},
		{"", 1, nil, []string{"no configuration: set --config, --site or PROXY_CONFIG"}},
		{"run --operator " + invalid, 1, nil, []string{invalid + ":2: amqp.listen"}},
	} {
		code, out, errs := runCommandLine(strings.Fields(test.args)...)
		if code != test.code {
			t.Errorf("%q: exit code %d, want %d\n%s%s", test.args, code, test.code, out, errs)
		}
		for _, want := range test.out {
			if !strings.Contains(out, want) {
				t.Errorf("%q: no %q in standard output:\n%s", test.args, want, out)
			}
		}
		for _, want := range test.errs {
			if !strings.Contains(errs, want) {
				t.Errorf("%q: no %q in standard error:\n%s", test.args, want, errs)
			}
		}
	}
}

// listenDiscovery returns the listener of a fake discovery agent, which does not answer.
func listenDiscovery(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.(*net.TCPListener)
}

// acceptWatch waits for a relay to open a discovery watch.
func acceptWatch(t *testing.T, listener *net.TCPListener) net.Conn {
	t.Helper()
	listener.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if text, err := bufio.NewReader(conn).ReadString('\n'); !strings.Contains(text, "watch=1") {
		t.Fatalf("the relay sent %q to discovery, want a watch request; error %v", text, err)
	}
	return conn
}

// SIGHUP must reload the configuration instead of ending the program, which is its default action; SIGTERM must still
// shut the program down gracefully.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	t.Run("while running", func(t *testing.T) { testSIGHUP(t, false) })
	t.Run("during startup", func(t *testing.T) { testSIGHUP(t, true) })
}

// testSIGHUP sends SIGHUP to a running program or, if early is set, while the program reads the operator file. A FIFO
// in place of that file holds the program at this point.
func testSIGHUP(t *testing.T, early bool) {
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery net.Listener) {
		text, err := json.Marshal(map[string]any{
			"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.Addr().String(), "seed": "1f",
			"settings": json.RawMessage(`{
				"Classes": [{"AimUs": 800000, "DeadlineUs": 1500000, "KeyScope": "all", "Name": "page", "Semantics": "idempotent"}],
				"Discovery": "push", "Localities": ["a"], "NInstances": 1, "QuantumUs": 2000, "Zone": 0,
				"Guarantees": {"ColdUs": 23000000, "FallUs": 3000000, "StartCapacity": 0.12, "TipMultiple": 3.0},
				"Limits": {"ConnectTimeoutUs": 50000, "MaxRetryAfterUs": 2000000, "RetryAfter": false, "TryLimit": 5}}`),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := listenDiscovery(t), listenDiscovery(t)
	write(first)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LOCKROAD_TEST_PROGRAM=1", "PROXY_CONFIG="+file)
	operator := filepath.Join(t.TempDir(), "operator.toml")
	if early {
		if err := syscall.Mkfifo(operator, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Env = append(cmd.Env, "LOCKROAD_OPERATOR="+operator)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	if early {
		fifo, err := os.OpenFile(operator, os.O_WRONLY, 0) // blocks until the program has opened it
		if err != nil {
			t.Fatal(err)
		}
		_ = cmd.Process.Signal(syscall.SIGHUP)
		_ = fifo.Close()
	}
	acceptWatch(t, first)
	write(second)
	_ = cmd.Process.Signal(syscall.SIGHUP)
	acceptWatch(t, second)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("after SIGTERM the program exited with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the program did not exit within 10 s of SIGTERM")
	}
}
