package main

import (
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockroad/internal/faultproxy"
)

// runFaultproxy runs a command line with empty standard input.
func runFaultproxy(args ...string) (code int, out, errs string) {
	var stdout, stderr strings.Builder
	code = run(args, streams{strings.NewReader(""), &stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

func TestExitCodesAndMessages(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.lisp")
	if err := os.WriteFile(bad, []byte("(rule a\n (explode))"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]struct {
		code int
		text string
	}{
		"--help": {0, "forms"}, "forms": {0, "(vanish)"}, "check " + bad: {1, bad + ": line 2, column 3: unknown form"},
		"--odd": {2, "unknown flag --odd"}, "run": {2, "--route"}, "--route odd": {1, `invalid route "odd"; expected NAME=LISTEN,TARGET`},
		"tell " + bad + "x (status)": {1, "connect to the faultproxy at "},
	} {
		code, out, errs := runFaultproxy(strings.Fields(args)...)
		if code != want.code || !strings.Contains(out+errs, want.text) {
			t.Errorf("faultproxy %s: exit code %d, want %d with %q in the output:\n%s%s", args, code, want.code, want.text, out, errs)
		}
	}
}

// Guards against commands, by socket or standard input, that have no effect or are not reported.
func TestCommandsToRunningProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	socket := filepath.Join(t.TempDir(), "socket")
	in, stop := io.Pipe()
	messages, out := io.Pipe()
	exited := make(chan int, 1)
	go func() {
		exited <- run([]string{"--route", "r=127.0.0.1:0," + listener.Addr().String(), "--socket", socket, "--commands", "--for", "30s"}, streams{in, out, io.Discard})
		_ = out.Close()
	}()
	decoder := json.NewDecoder(messages)
	next := func() faultproxy.Message {
		t.Helper()
		var message faultproxy.Message
		if err := decoder.Decode(&message); err != nil {
			t.Fatal(err)
		}
		return message
	}
	address := next().Listen
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(client, "x")
	_, _ = io.ReadFull(client, make([]byte, 1))
	if code, out, errs := runFaultproxy("tell", socket, "(add (rule a (on-command) (direction up) (cut rst)))"); code != 0 {
		t.Fatalf("faultproxy tell: exit code %d: %s%s", code, out, errs)
	}
	if code, _, errs := runFaultproxy("tell", socket, "(trigger b)"); code != 1 || !strings.Contains(errs, `column 10: no rule called "b"`) {
		t.Errorf("a trigger of an unknown rule: exit code %d: %s", code, errs)
	}
	io.WriteString(stop, "(trigger a)\n")
	var cut, done bool
	for !cut || !done {
		message := next()
		cut = cut || message.Fault == faultproxy.Cut && message.Rule == "a" && message.Route == "r" && message.Conn == 1 && message.Direction == "up" && message.Offset == 1 && message.At > 0
		done = done || message.Done == "(trigger a)"
		if message.Error != "" {
			t.Fatal(message.Error)
		}
	}
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open after the cut")
	}
	if _, out, _ := runFaultproxy("tell", socket, "(status)"); !strings.Contains(out, `"conns":1`) || !strings.Contains(out, "(rule a (direction up) (on-command) (cut rst))") {
		t.Errorf("(status) returned %s, without the connection or the rule", out)
	}
	_ = stop.Close()
	if code := <-exited; code != 0 {
		t.Errorf("exit code %d at the end of standard input, want 0", code)
	}
}
