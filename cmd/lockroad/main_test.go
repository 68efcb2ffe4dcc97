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

// TestMain runs the program in place of the tests if the environment says so: the test's own binary stands for it.
func TestMain(m *testing.M) {
	if os.Getenv("LOCKROAD_TEST_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runCommandLine runs a command line in this process.
func runCommandLine(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = execute(args, streams{strings.NewReader(""), &o, &e})
	return code, o.String(), e.String()
}

func TestCommandLine(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("LOCKROAD_OPERATOR", "")
	t.Setenv("LOCKROAD_SOCKET", "")
	folder := t.TempDir()
	bad := filepath.Join(folder, "bad.toml")
	if err := os.WriteFile(bad, []byte("[amqp]\nlisten = \"x\"\n[odd]\ny = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	nobody := filepath.Join(folder, "nobody")
	for _, c := range []struct {
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
		{"check ../../deploy/operator.toml", 0, []string{"deploy/operator.toml: OK (operator's file)"}, nil},
		{"check ../../deploy/site.toml", 0, []string{"deploy/site.toml: OK (site's file)"}, nil},
		{"check " + bad + " " + nobody, 1, nil, []string{bad + ":2: amqp.listen: ", bad + ":3: odd: unknown key", "no such file"}},
		{"store check " + folder, 0, []string{"0 records of 0 commits"}, nil},
		{"store check " + nobody, 2, nil, []string{"nobody"}},
		{"check", 2, nil, []string{"<file>"}},
		{"--odd", 2, nil, []string{"unknown flag --odd"}},
		{"console --odd --socket x", 2, nil, []string{"unknown flag --odd"}},
		{"explode", 2, nil, []string{"explode"}},
		{"run --log-level loud", 2, nil, []string{`unknown level "loud"`}},
		{"why 7", 2, nil, []string{"--socket"}},
		{"why --socket x --where (pinned) 7", 2, nil, []string{"exclude each other"}},
		{"why --socket " + nobody + " 7", 3, nil, []string{"no relay answers"}},
		{"console -socket " + nobody + " why --json 7", 3, nil, []string{"no relay answers at " + nobody}},
		{"lab list", 1, nil, []string{"simulate"}}, // it does not stand beside the test
		{"demo --rate 0", 2, nil, []string{"rate 0: expected more than 0"}},
		{"", 1, nil, []string{"no configuration: set --config, --site or PROXY_CONFIG"}},
		{"run --operator " + bad, 1, nil, []string{bad + ":2: amqp.listen"}},
	} {
		code, out, errs := runCommandLine(strings.Fields(c.args)...)
		if code != c.code {
			t.Errorf("%s: code %d, want %d\n%s%s", c.args, code, c.code, out, errs)
		}
		for _, want := range c.out {
			if !strings.Contains(out, want) {
				t.Errorf("%s: no %q in\n%s", c.args, want, out)
			}
		}
		for _, want := range c.errs {
			if !strings.Contains(errs, want) {
				t.Errorf("%s: no %q in\n%s", c.args, want, errs)
			}
		}
	}
}

// listenDiscovery returns a fake discovery agent, which answers nothing.
func listenDiscovery(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// acceptWatch waits for a watch to be opened.
func acceptWatch(t *testing.T, l *net.TCPListener) net.Conn {
	t.Helper()
	l.SetDeadline(time.Now().Add(10 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if text, err := bufio.NewReader(c).ReadString('\n'); !strings.Contains(text, "watch=1") {
		t.Fatalf("asked %q, %v", text, err)
	}
	return c
}

// SIGHUP would end the program by Go's default. It reloads the configuration, and SIGTERM still ends the program in good order.
func TestProgramOutlivesSIGHUP(t *testing.T) {
	t.Run("while it runs", func(t *testing.T) { outlivesSIGHUP(t, false) })
	t.Run("as it starts", func(t *testing.T) { outlivesSIGHUP(t, true) })
}

// outlivesSIGHUP sends it to a program that runs, or while it reads the first of its files.
func outlivesSIGHUP(t *testing.T, early bool) {
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
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	if early {
		reads, err := os.OpenFile(operator, os.O_WRONLY, 0) // once the program has it open
		if err != nil {
			t.Fatal(err)
		}
		_ = cmd.Process.Signal(syscall.SIGHUP)
		_ = reads.Close()
	}
	acceptWatch(t, first)
	write(second)
	_ = cmd.Process.Signal(syscall.SIGHUP)
	acceptWatch(t, second)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the program goes on after SIGTERM")
	}
}
