package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func mustParse(t interface {
	Helper()
	Fatal(...any)
}, script string) []*Rule {
	t.Helper()
	rules, err := ParseRules(script)
	if err != nil {
		t.Fatal(err)
	}
	return rules
}

// describe formats operations: a write as "TIME:DATA|", any other as "TIME:KIND".
func describe(operations []Op) string {
	var b strings.Builder
	for _, op := range operations {
		switch op.Kind {
		case OpWrite:
			fmt.Fprintf(&b, "%v:%s|", op.At, op.Data)
		default:
			fmt.Fprintf(&b, "%v:%s", op.At, [...]string{"", "half", "fin", "rst", "last"}[op.Kind])
		}
	}
	return b.String()
}

func TestFlowAppliesFaultsOfBytesAndConnections(t *testing.T) {
	for _, test := range []struct {
		script string
		feeds  []string // received 100 ms apart
		want   string
	}{
		{`(rule a (at-line 2) (cut rst))`, []string{"one\ntwo\nthree"}, "0s:one\n|0s:rst"},
		{`(rule a (after-bytes 5) (cut fin))`, []string{"abc", "defgh"}, "0s:abc|100ms:de|100ms:fin"},
		{`(rule a (after-bytes 2) (half-close))`, []string{"abc", "d"}, "0s:ab|0s:half"},
		{`(rule a (swallow))`, []string{"abc", "d"}, ""},
		{`(rule a (at 100ms) (for 100ms) (swallow))`, []string{"a", "b", "c"}, "0s:a|200ms:c|"},
		{`(rule a (at-line 2) (garble drop 3))`, []string{"one\ntwo\nthree\n"}, "0s:one\n|0s:\n|0s:three\n|"},
		{`(rule a (after-bytes 1) (garble duplicate 2))`, []string{"abcd"}, "0s:a|0s:bcbcd|"},
		{`(rule a (split 2))`, []string{"abcde"}, "0s:ab|1ms:cd|2ms:e|"},
		{`(rule a (drip 1 50ms))`, []string{"ab", "c"}, "0s:a|50ms:b|100ms:c|"},
		{`(rule a (bandwidth 40))`, []string{"abcd"}, "0s:ab|50ms:cd|"},
		{`(rule a (latency 30ms))`, []string{"a", "b"}, "30ms:a|130ms:b|"},
		{`(rule a (at 50ms) (for 250ms) (pause))`, []string{"a", "b", "c", "d"}, "0s:a|300ms:b|300ms:c|300ms:d|"},
		{`(rule a (merge))`, []string{"a\nb\n", "c"}, "0s:a\nb\n|end 200ms:c|"},
		{`(rule a (merge))`, []string{"a\n", "b\nc\n"}, "100ms:a\n|100ms:b\nc\n|"},
		{`(rule a (at-frame 2) (cut rst))`, []string{"AMQP\x00\x01\x00\x00\x00\x00\x00\x09", "\x02\x00\x00\x00x\x00\x00\x00\x08\x02\x00\x00\x00"},
			"0s:AMQP\x00\x01\x00\x00|100ms:\x00\x00\x00\x09\x02\x00\x00\x00x|100ms:rst"},
		{`(rule a (at-performative attach) (cut fin))`, []string{"\x00\x00\x00\x0c\x02\x00\x00\x00\x00\x53\x11\x45\x00\x00\x00\x0c\x02\x00\x00\x00\x00", "\x53\x12\x45"},
			"0s:\x00\x00\x00\x0c\x02\x00\x00\x00\x00\x53\x11\x45|100ms:fin"},
		{`(rule a (conn 2) (swallow)) (rule b (direction down) (swallow)) (rule c (route r2) (swallow)) (rule d (every 2) (swallow)) (rule e (first "X") (swallow))`, []string{"ab"}, "0s:ab|"},
		{`(rule a (route r1) (conn 1) (first "a") (direction up) (every 1) (swallow))`, []string{"ab"}, ""},
	} {
		var injections []Injection
		flow := NewFlow(Location{"r1", 1, Up}, mustParse(t, test.script), 1, []byte(test.feeds[0]), func(injection Injection) { injections = append(injections, injection) })
		got, now := "", time.Duration(0)
		for i, b := range test.feeds {
			now = time.Duration(i) * 100 * ms
			got += describe(flow.Due(now)) + describe(flow.Feed(now, []byte(b)))
		}
		if rest := describe(flow.End(now + 100*ms)); rest != "" {
			got += "end " + rest
		}
		if got != test.want {
			t.Errorf("%s: got %q, want %q", test.script, got, test.want)
		}
		if changed := test.want != "0s:"+strings.Join(test.feeds, "|")+"|"; changed != (len(injections) > 0) {
			t.Errorf("%s: reported injections %+v, although the output changed is %v", test.script, injections, changed)
		}
	}
}

func TestFlowTriggersByCommandAndClock(t *testing.T) {
	flow := NewFlow(Location{"r", 1, Up}, mustParse(t, `(rule a (on-command) (for 1s) (swallow)) (rule b (at 5s) (cut rst)) (rule c (on-command) (stall))`), 1, nil, nil)
	feed := func(at time.Duration, b string) string { return describe(flow.Feed(at, []byte(b))) }
	if got := feed(0, "x"); got != "0s:x|" {
		t.Errorf("before the command: got %q, want the byte forwarded", got)
	}
	flow.Trigger("a", 0)
	if got := feed(500*ms, "x") + feed(1100*ms, "y"); got != "1.1s:y|" {
		t.Errorf("after the command: got %q, want the first byte swallowed and the second forwarded", got)
	}
	if next, found := flow.NextDue(1200 * ms); !found || next != 5*time.Second {
		t.Errorf("NextDue returned %v, %v; want 5s, true", next, found)
	}
	flow.Trigger("c", 2*time.Second)
	if stalled, until := flow.Stalled(2 * time.Second); !stalled || until != 0 {
		t.Errorf("Stalled returned %v, %v; want true, 0s", stalled, until)
	}
	flow.Clear("c")
	if stalled, _ := flow.Stalled(2 * time.Second); stalled {
		t.Error("the flow is stalled after the rule was cleared")
	}
	if got := describe(flow.Due(5 * time.Second)); got != "5s:rst" {
		t.Errorf("at the time of rule b: got %q, want a reset", got)
	}
	if _, found := flow.Trigger("nobody", 0); found {
		t.Error("Trigger found a rule of an unknown name")
	}
}

// Guards against output that depends on how the input is split into packets, or that does not
// depend on the seed.
func TestFaultsAreDeterministic(t *testing.T) {
	text := []byte(strings.Repeat("a line of some length\nb\n", 40))
	script := `(rule flip (chance 20) (garble flip 3)) (rule insert (at-line 7) (garble insert 4)) (rule drop (after-bytes 200) (garble drop 9)) (rule cut (at-line 70) (cut rst))`
	run := func(seed uint64, packetSize func(left int) int) string {
		flow := NewFlow(Location{"r", 3, Down}, mustParse(t, script), seed, nil, nil)
		var out bytes.Buffer
		for b := text; len(b) > 0; {
			n := packetSize(len(b))
			for _, op := range flow.Feed(0, b[:n]) {
				fmt.Fprint(&out, map[OpKind]string{OpRST: "[rst]"}[op.Kind])
				out.Write(op.Data)
			}
			b = b[n:]
		}
		return out.String()
	}
	whole := run(7, func(left int) int { return left })
	if whole == run(8, func(left int) int { return left }) || !strings.HasSuffix(whole, "[rst]") || whole == string(text) {
		t.Error("the seed makes no difference, or the faults were not injected")
	}
	rapid.Check(t, func(rt *rapid.T) {
		if got := run(7, func(left int) int { return rapid.IntRange(1, left).Draw(rt, "n") }); got != whole {
			rt.Fatalf("split into packets: got %q, want as in one packet: %q", got, whole)
		}
	})
}

// Guards against splitting and held-back frame starts that change, lose or reorder bytes.
func TestFramesPassUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := []byte("AMQP\x03\x01\x00\x00")
		for range rapid.IntRange(0, 6).Draw(rt, "frames") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "body")
			in = append(append(in, 0, 0, 0, byte(8+len(body)), 2, 0, 0, 0), body...)
		}
		in = append(in, rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(rt, "rest")...)
		flow := NewFlow(Location{"r", 1, Up}, mustParse(rt, `(rule a (at-frame 999) (swallow)) (rule b (at-performative close) (swallow)) (rule c (split 3))`), 1, nil, nil)
		var out []byte
		collect := func(operations []Op) {
			for _, op := range operations {
				out = append(out, op.Data...)
			}
		}
		swallowed := false
		flow.notify = func(injection Injection) { swallowed = swallowed || injection.Kind == Swallow }
		for b := in; len(b) > 0; {
			n := rapid.IntRange(1, len(b)).Draw(rt, "n")
			collect(flow.Feed(0, b[:n]))
			b = b[n:]
		}
		collect(flow.End(0))
		if !swallowed && !bytes.Equal(in, out) {
			rt.Fatalf("input %q was forwarded as %q", in, out)
		}
	})
}

func TestParseRulesErrorsAndRoundTrip(t *testing.T) {
	for script, want := range map[string]string{
		"(rule)":                                   "line 1, column 1: expected (rule NAME FORM ...)",
		"(rule a (cut))":                           "line 1, column 9: cut requires one of rst, fin",
		"(rule a (cut off))":                       `line 1, column 14: cut has no mode "off"`,
		"(rule a (direction left) (stall))":        `line 1, column 20: invalid direction "left"`,
		"(rule a\n (explode))":                     `line 2, column 3: unknown form "explode"`,
		"(rule a (at 1s) (at 2s) (stall))":         `line 1, column 17: rule "a" already has a trigger`,
		"(rule a (at 1s))":                         `line 1, column 1: rule "a" has no fault`,
		"(rule a (at-line 0) (stall))":             "line 1, column 18: expected a number of 1 or more, got 0",
		"(rule a (at-performative hello) (stall))": `line 1, column 26: unknown AMQP performative "hello"`,
		"(rule a (fraction 101) (stall))":          `line 1, column 19: "101" is not a percentage from 0 to 100`,
		"(rule a (at-line 2) (refuse))":            "line 1, column 1: refuse is a listener fault",
		"(rule a (vanish))":                        "line 1, column 1: vanish requires (for TIME)",
		"(rule a (latency 1s 2s odd))":             `line 1, column 24: unknown distribution "odd"`,
		"(rule a (drip 5))":                        "line 1, column 9: drip expects 2 numbers or times, got 1",
		"(rule a (stall)) (rule a (stall))":        `line 1, column 18: duplicate rule name "a"`,
		"(rule a (stall 3))":                       "line 1, column 9: stall expects 0 numbers or times, got 1",
	} {
		if rules, err := ParseRules(script); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got rules %v, error %v; want error %s", script, rules, err, want)
		}
	}
	for _, script := range []string{
		`(rule a (route x y) (direction down) (conn 1 3) (every 2) (first "OPEN \"x\"") (fraction 12.5) (at 2s) (for 1m0s) (latency 5ms 2ms normal) (cut rst))`,
		`(rule b (at-performative attach 2) (garble insert 9) (drip 3 10ms))`, `(rule c (chance 5) (bandwidth 900))`,
	} {
		rules := mustParse(t, script)
		if again := mustParse(t, rules[0].String()); fmt.Sprintf("%+v", *again[0]) != fmt.Sprintf("%+v", *rules[0]) {
			t.Errorf("%s was formatted as %s, which parses to another rule", script, rules[0])
		}
	}
}

// environment is a proxy in front of a server that echoes or hands its connections to the test.
type environment struct {
	t          *testing.T
	proxy      *Proxy
	address    string
	mu         sync.Mutex
	injections []Injection
	accepted   chan *net.TCPConn // the server's connections, unless it echoes
}

func newEnvironment(t *testing.T, script string, echo bool) *environment {
	t.Helper()
	env := &environment{t: t, accepted: make(chan *net.TCPConn, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !echo {
				env.accepted <- conn.(*net.TCPConn)
				continue
			}
			running.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	env.proxy = NewProxy(mustParse(t, script), 1)
	env.proxy.OnInjection = func(injection Injection) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.injections = append(env.injections, injection)
	}
	if env.address, err = env.proxy.OpenRoute(Route{Name: "r", Listen: "127.0.0.1:0", Target: listener.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { env.proxy.Close(); listener.Close(); running.Wait() })
	return env
}

func (env *environment) dial() *net.TCPConn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn.(*net.TCPConn)
}

func (env *environment) server() *net.TCPConn {
	conn := <-env.accepted
	env.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// exchange sends text, half-closes, and returns what is received and how the connection ends.
func exchange(conn *net.TCPConn, text string) string {
	io.WriteString(conn, text)
	conn.CloseWrite()
	b, err := io.ReadAll(conn)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return string(b) + "[reset]"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return string(b) + "[nothing]"
	case err != nil:
		return string(b) + err.Error()
	}
	return string(b)
}

func TestProxyInjectsFaults(t *testing.T) {
	for script, want := range map[string]string{
		"": "one\ntwo\n", `(rule a (direction up) (at-line 2) (garble drop 2))`: "one\no\n",
		`(rule a (direction down) (after-bytes 4) (cut fin))`: "one\n",
		`(rule a (split 1))`: "one\ntwo\n", `(rule a (latency 20ms 10ms normal))`: "one\ntwo\n", `(rule a (merge))`: "one\ntwo\n",
		`(rule a (direction down) (swallow))`: "", `(rule a (direction up) (after-bytes 4) (half-close))`: "one\n",
		`(rule a (first "one") (direction up) (garble duplicate 1))`: "oone\ntwo\n", `(rule a (first "two") (swallow))`: "one\ntwo\n",
		`(rule a (at 30ms) (for 50ms) (pause))`: "one\ntwo\n",
	} {
		if got := exchange(newEnvironment(t, script, true).dial(), "one\ntwo\n"); got != want {
			t.Errorf("%s: got %q, want %q", script, got, want)
		}
	}
	env := newEnvironment(t, `(rule a (direction up) (after-bytes 4) (cut rst))`, true)
	if got := exchange(env.dial(), "one\ntwo\n"); !strings.HasSuffix(got, "[reset]") {
		t.Errorf("cut rst: got %q, want a reset at the end", got)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.injections) != 1 || env.injections[0].Kind != Cut || env.injections[0].Offset != 4 || env.injections[0].Conn != 1 || env.injections[0].Rule != "a" {
		t.Errorf("cut rst: reported injections %+v; want one by rule a on connection 1 at offset 4", env.injections)
	}
}

// Guards against a half-close that also ends the other direction.
func TestHalfCloseEndsOneDirection(t *testing.T) {
	env := newEnvironment(t, `(rule a (direction down) (after-bytes 3) (half-close))`, false)
	conn := env.dial()
	serverConn := env.server()
	io.WriteString(serverConn, "abcdef")
	if b, err := io.ReadAll(conn); string(b) != "abc" || err != nil {
		t.Fatalf("the client received %q, error %v; want abc and EOF", b, err)
	}
	io.WriteString(conn, "still here")
	conn.CloseWrite()
	if b, err := io.ReadAll(serverConn); string(b) != "still here" || err != nil {
		t.Errorf("the server received %q, error %v; want all that the client sent", b, err)
	}
}

// Guards against a stall fault that continues to read, or that loses bytes when it is cleared.
func TestStallBlocksTheSender(t *testing.T) {
	env := newEnvironment(t, `(rule a (direction up) (stall))`, false)
	conn := env.dial()
	conn.SetDeadline(time.Now().Add(300 * ms))
	const size = 64 << 20
	n, err := conn.Write(make([]byte, size))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("wrote %d bytes, error %v; want a timeout", n, err)
	}
	env.proxy.Clear("a")
	serverConn := env.server()
	conn.Close()
	if got, err := io.Copy(io.Discard, serverConn); err != nil || got != int64(n) {
		t.Errorf("of %d bytes sent the server received %d, error %v", n, got, err)
	}
}

func TestListenerFaults(t *testing.T) {
	connect := func(address string) string {
		conn, err := net.DialTimeout("tcp", address, 300*ms)
		var timeout net.Error
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return "refused"
		case errors.As(err, &timeout) && timeout.Timeout():
			return "timeout"
		case err != nil:
			return err.Error()
		}
		defer conn.Close()
		io.WriteString(conn, "x")
		conn.SetDeadline(time.Now().Add(300 * ms))
		if _, err := io.ReadFull(conn, make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			return "mute"
		} else if err != nil {
			return err.Error()
		}
		return "echo"
	}
	for kind, want := range map[string]string{"refuse": "refused", "mute": "mute", "queue-full": "timeout"} {
		env := newEnvironment(t, fmt.Sprintf("(rule a (on-command) (%s))", kind), true)
		if got := connect(env.address); got != "echo" {
			t.Errorf("%s: before the fault: got %s, want echo", kind, got)
		}
		if err := env.proxy.Trigger("a"); err != nil {
			t.Fatal(err)
		}
		if got := connect(env.address); got != want {
			t.Errorf("%s: during the fault: got %s, want %s", kind, got, want)
		}
		env.proxy.Clear("")
		if got := connect(env.address); got != "echo" {
			t.Errorf("%s: after the fault: got %s, want echo", kind, got)
		}
	}
	env := newEnvironment(t, "(rule a (at 100ms) (for 400ms) (vanish))", true)
	established := env.dial()
	io.WriteString(established, "x")
	if _, err := io.ReadFull(established, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(time.Now().Add(200*ms - env.proxy.now())))
	io.WriteString(established, "y")
	established.SetDeadline(time.Now().Add(100 * ms))
	if _, err := established.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("vanish: read error %v, want a timeout", err)
	}
	established.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := established.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("vanish: the connection ended with %v, want a reset", err)
	}
	if got := connect(env.address); got != "echo" {
		t.Errorf("after vanish: got %s, want echo", got)
	}
	if err := env.proxy.Trigger("a"); err == nil {
		t.Error("a command triggered a rule that has another trigger")
	}
}

// BenchmarkProxy compares sequential echoes through a proxy without rules with direct ones. It
// reports the ratio of their throughputs.
func BenchmarkProxy(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
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
	proxy := NewProxy(nil, 1)
	defer proxy.Close()
	address, err := proxy.OpenRoute(Route{Name: "r", Listen: "127.0.0.1:0", Target: listener.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	echo := func(b *testing.B, address string, size int) time.Duration {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		out, in := make([]byte, size), make([]byte, size)
		start := time.Now()
		for range b.N {
			go func() { _, _ = conn.Write(out) }()
			if _, err := io.ReadFull(conn, in); err != nil {
				b.Fatal(err)
			}
		}
		return time.Since(start)
	}
	for _, size := range []int{64, 256 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			direct, proxied := echo(b, listener.Addr().String(), size), echo(b, address, size)
			b.ReportMetric(float64(direct)/float64(proxied), "throughput-ratio")
		})
	}
}
