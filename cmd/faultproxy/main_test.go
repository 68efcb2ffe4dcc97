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

func command(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = run(args, streams{strings.NewReader(""), &o, &e})
	return code, o.String(), e.String()
}

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.lisp")
	if err := os.WriteFile(bad, []byte("(rule a\n (explode))"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]struct {
		code int
		text string
	}{
		"--help": {0, "forms"}, "forms": {0, "(vanish)"}, "check " + bad: {1, bad + ": line 2, column 3: unknown form"},
		"--odd": {2, "unknown flag --odd"}, "run": {2, "--route"}, "--route odd": {1, "is no NAME=LISTEN,TARGET"},
		"tell " + bad + "x (status)": {1, "connect to the faultproxy at " + bad + "x: "},
	} {
		code, out, errs := command(strings.Fields(args)...)
		if code != want.code || !strings.Contains(out+errs, want.text) {
			t.Errorf("%s: code %d\n%s%s", args, code, out, errs)
		}
	}
}

// A person makes a running proxy cut a connection by its socket, and reads of it.
func TestRunningProxyTakesCommands(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	socket := filepath.Join(t.TempDir(), "socket")
	in, stop := io.Pipe()
	messages, out := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		ended <- run([]string{"--route", "r=127.0.0.1:0," + l.Addr().String(), "--socket", socket, "--commands", "--for", "30s"}, streams{in, out, io.Discard})
		_ = out.Close()
	}()
	decoder := json.NewDecoder(messages)
	next := func() faultproxy.Message {
		t.Helper()
		var one faultproxy.Message
		if err := decoder.Decode(&one); err != nil {
			t.Fatal(err)
		}
		return one
	}
	at := next().Listen
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, "x")
	_, _ = io.ReadFull(c, make([]byte, 1))
	if code, out, errs := command("tell", socket, "(add (rule a (on-command) (direction up) (cut rst)))"); code != 0 {
		t.Fatalf("code %d: %s%s", code, out, errs)
	}
	if code, _, errs := command("tell", socket, "(trigger b)"); code != 1 || !strings.Contains(errs, `column 10: no rule called "b"`) {
		t.Errorf("code %d: %s", code, errs)
	}
	io.WriteString(stop, "(trigger a)\n")
	var cut, done bool
	for !cut || !done {
		one := next()
		cut = cut || one.Fault == faultproxy.Cut && one.Rule == "a" && one.Route == "r" && one.Conn == 1 && one.Direction == "up" && one.Offset == 1 && one.At > 0
		done = done || one.Done == "(trigger a)"
		if one.Error != "" {
			t.Fatal(one.Error)
		}
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	if _, out, _ := command("tell", socket, "(status)"); !strings.Contains(out, `"conns":1`) || !strings.Contains(out, "(rule a (direction up) (on-command) (cut rst))") {
		t.Errorf("status: %s", out)
	}
	_ = stop.Close()
	if code := <-ended; code != 0 {
		t.Errorf("ended with %d", code)
	}
}
