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

// The test's own binary stands for the program when it is told to.
func TestMain(m *testing.M) {
	if os.Getenv("LOCKROAD_TEST_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// agent is a stand-in of discovery's agent, which says nothing.
func agent(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// asked waits for a watch to be opened.
func asked(t *testing.T, l *net.TCPListener) net.Conn {
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

// SIGHUP ended the program by Go's default. It has to take up the configuration
// anew, and SIGTERM still has to end it in good order.
func TestProgramOutlivesSIGHUP(t *testing.T) {
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
	first, second := agent(t), agent(t)
	write(first)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LOCKROAD_TEST_PROGRAM=1", "PROXY_CONFIG="+file)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	asked(t, first)
	write(second)
	cmd.Process.Signal(syscall.SIGHUP)
	asked(t, second)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the program goes on after SIGTERM")
	}
}
