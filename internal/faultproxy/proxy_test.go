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
	all, err := ParseRules(script)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// describe writes operations in a line: a write as its time, its bytes and their packet's end.
func describe(all []Op) string {
	var b strings.Builder
	for _, op := range all {
		switch op.Kind {
		case OpWrite:
			fmt.Fprintf(&b, "%v:%s|", op.At, op.Data)
		default:
			fmt.Fprintf(&b, "%v:%s", op.At, [...]string{"", "half", "fin", "rst", "last"}[op.Kind])
		}
	}
	return b.String()
}

func TestByteFaults(t *testing.T) {
	for _, conn := range []struct {
		script string
		feeds  []string // a tenth of a second apart
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
		f := NewFlow(Location{"r1", 1, Up}, mustParse(t, conn.script), 1, []byte(conn.feeds[0]), func(d Injection) { injections = append(injections, d) })
		got, now := "", time.Duration(0)
		for i, b := range conn.feeds {
			now = time.Duration(i) * 100 * ms
			got += describe(f.Due(now)) + describe(f.Feed(now, []byte(b)))
		}
		if rest := describe(f.End(now + 100*ms)); rest != "" {
			got += "end " + rest
		}
		if got != conn.want {
			t.Errorf("%s: got %q, want %q", conn.script, got, conn.want)
		}
		if changed := conn.want != "0s:"+strings.Join(conn.feeds, "|")+"|"; changed != (len(injections) > 0) {
			t.Errorf("%s: told %+v", conn.script, injections)
		}
	}
}

func TestCommandsAndTimers(t *testing.T) {
	f := NewFlow(Location{"r", 1, Up}, mustParse(t, `(rule a (on-command) (for 1s) (swallow)) (rule b (at 5s) (cut rst)) (rule c (on-command) (stall))`), 1, nil, nil)
	feed := func(at time.Duration, b string) string { return describe(f.Feed(at, []byte(b))) }
	if got := feed(0, "x"); got != "0s:x|" {
		t.Errorf("before the command: %q", got)
	}
	f.Trigger("a", 0)
	if got := feed(500*ms, "x") + feed(1100*ms, "y"); got != "1.1s:y|" {
		t.Errorf("after it: %q", got)
	}
	if next, found := f.NextDue(1200 * ms); !found || next != 5*time.Second {
		t.Errorf("next is %v, %v", next, found)
	}
	f.Trigger("c", 2*time.Second)
	if stalled, until := f.Stalled(2 * time.Second); !stalled || until != 0 {
		t.Errorf("stalled %v until %v", stalled, until)
	}
	f.Clear("c")
	if stalled, _ := f.Stalled(2 * time.Second); stalled {
		t.Error("it is stalled still")
	}
	if got := describe(f.Due(5 * time.Second)); got != "5s:rst" {
		t.Errorf("at its time: %q", got)
	}
	if _, found := f.Trigger("nobody", 0); found {
		t.Error("a command that nobody waits for was found")
	}
}

// The output does not depend on the packets that the input arrives in; a second run with
// the same seed does the same, another seed something else.
func TestFaultsAreDeterministic(t *testing.T) {
	text := []byte(strings.Repeat("a line of some length\nb\n", 40))
	script := `(rule flip (chance 20) (garble flip 3)) (rule insert (at-line 7) (garble insert 4)) (rule drop (after-bytes 200) (garble drop 9)) (rule cut (at-line 70) (cut rst))`
	run := func(seed uint64, cut func(left int) int) string {
		f := NewFlow(Location{"r", 3, Down}, mustParse(t, script), seed, nil, nil)
		var out bytes.Buffer
		for b := text; len(b) > 0; {
			n := cut(len(b))
			for _, op := range f.Feed(0, b[:n]) {
				fmt.Fprint(&out, map[OpKind]string{OpRST: "[rst]"}[op.Kind])
				out.Write(op.Data)
			}
			b = b[n:]
		}
		return out.String()
	}
	whole := run(7, func(left int) int { return left })
	if whole == run(8, func(left int) int { return left }) || !strings.HasSuffix(whole, "[rst]") || whole == string(text) {
		t.Error("the seed makes no difference, or nothing is done")
	}
	rapid.Check(t, func(rt *rapid.T) {
		if got := run(7, func(left int) int { return rapid.IntRange(1, left).Draw(rt, "n") }); got != whole {
			rt.Fatalf("in packets %q, whole %q", got, whole)
		}
	})
}

// Splitting and holding frames back changes no byte, whatever the packets.
func TestFramesPassUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := []byte("AMQP\x03\x01\x00\x00")
		for range rapid.IntRange(0, 6).Draw(rt, "frames") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "body")
			in = append(append(in, 0, 0, 0, byte(8+len(body)), 2, 0, 0, 0), body...)
		}
		in = append(in, rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(rt, "rest")...)
		f := NewFlow(Location{"r", 1, Up}, mustParse(rt, `(rule a (at-frame 999) (swallow)) (rule b (at-performative close) (swallow)) (rule c (split 3))`), 1, nil, nil)
		var out []byte
		take := func(all []Op) {
			for _, op := range all {
				out = append(out, op.Data...)
			}
		}
		swallowed := false
		f.notify = func(d Injection) { swallowed = swallowed || d.Kind == Swallow }
		for b := in; len(b) > 0; {
			n := rapid.IntRange(1, len(b)).Draw(rt, "n")
			take(f.Feed(0, b[:n]))
			b = b[n:]
		}
		take(f.End(0))
		if !swallowed && !bytes.Equal(in, out) {
			rt.Fatalf("%q came out as %q", in, out)
		}
	})
}

func TestScriptErrorsNameTheirPosition(t *testing.T) {
	for script, want := range map[string]string{
		"(rule)":                                   "line 1, column 1: expected (rule NAME FORM ...)",
		"(rule a (cut))":                           "line 1, column 9: cut wants one of rst, fin",
		"(rule a (cut off))":                       `line 1, column 14: cut is never "off"`,
		"(rule a (direction left) (stall))":        `line 1, column 20: "left" is no direction`,
		"(rule a\n (explode))":                     `line 2, column 3: there is no form "explode"`,
		"(rule a (at 1s) (at 2s) (stall))":         `line 1, column 17: rule "a" has a trigger already`,
		"(rule a (at 1s))":                         `line 1, column 1: rule "a" does nothing`,
		"(rule a (at-line 0) (stall))":             "line 1, column 18: 0 is too little",
		"(rule a (at-performative hello) (stall))": `line 1, column 26: the standard has no performative "hello"`,
		"(rule a (fraction 101) (stall))":          `line 1, column 19: "101" is no part of 100`,
		"(rule a (at-line 2) (refuse))":            "line 1, column 1: refuse is of a route's door",
		"(rule a (vanish))":                        "line 1, column 1: vanish wants a (for TIME)",
		"(rule a (latency 1s 2s odd))":             `line 1, column 24: "odd" is no distribution`,
		"(rule a (drip 5))":                        "line 1, column 9: drip wants 2 values here, and has 1",
		"(rule a (stall)) (rule a (stall))":        `line 1, column 18: there are two rules called "a"`,
		"(rule a (stall 3))":                       "line 1, column 9: stall wants 0 values here, and has 1",
	} {
		if env, err := ParseRules(script); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v, %v, want %s", script, env, err, want)
		}
	}
	for _, script := range []string{
		`(rule a (route x y) (direction down) (conn 1 3) (every 2) (first "OPEN \"x\"") (fraction 12.5) (at 2s) (for 1m0s) (latency 5ms 2ms normal) (cut rst))`,
		`(rule b (at-performative attach 2) (garble insert 9) (drip 3 10ms))`, `(rule c (chance 5) (bandwidth 900))`,
	} {
		env := mustParse(t, script)
		if again := mustParse(t, env[0].String()); fmt.Sprintf("%+v", *again[0]) != fmt.Sprintf("%+v", *env[0]) {
			t.Errorf("%s was written as %s", script, env[0])
		}
	}
}

// environment is a proxy before a server that echoes, or does as a test says.
type environment struct {
	t          *testing.T
	proxy      *Proxy
	address    string
	mu         sync.Mutex
	injections []Injection
	accepted   chan *net.TCPConn // connections at the server, where nobody echoes
}

func newEnvironment(t *testing.T, script string, echo bool) *environment {
	t.Helper()
	env := &environment{t: t, accepted: make(chan *net.TCPConn, 16)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if !echo {
				env.accepted <- conn.(*net.TCPConn)
				continue
			}
			all.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	env.proxy = NewProxy(mustParse(t, script), 1)
	env.proxy.OnInjection = func(d Injection) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.injections = append(env.injections, d)
	}
	if env.address, err = env.proxy.OpenRoute(Route{Name: "r", Listen: "127.0.0.1:0", Target: l.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { env.proxy.Close(); l.Close(); all.Wait() })
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

// exchange sends a text and returns what comes back until the end, and how it ends.
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

func TestProxyAppliesFlows(t *testing.T) {
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
		t.Errorf("a reset: got %q", got)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.injections) != 1 || env.injections[0].Kind != Cut || env.injections[0].Offset != 4 || env.injections[0].Conn != 1 || env.injections[0].Rule != "a" {
		t.Errorf("told %+v", env.injections)
	}
}

// One direction ends while the other goes on.
func TestHalfCloseEndsOneDirection(t *testing.T) {
	env := newEnvironment(t, `(rule a (direction down) (after-bytes 3) (half-close))`, false)
	conn := env.dial()
	s := env.server()
	io.WriteString(s, "abcdef")
	if b, err := io.ReadAll(conn); string(b) != "abc" || err != nil {
		t.Fatalf("the client got %q, %v", b, err)
	}
	io.WriteString(conn, "still here")
	conn.CloseWrite()
	if b, err := io.ReadAll(s); string(b) != "still here" || err != nil {
		t.Errorf("the server got %q, %v", b, err)
	}
}

// A stall fills the sender's window: it can write no more until the stall is cleared.
func TestStallBlocksTheSender(t *testing.T) {
	env := newEnvironment(t, `(rule a (direction up) (stall))`, false)
	conn := env.dial()
	conn.SetDeadline(time.Now().Add(300 * ms))
	const most = 64 << 20
	n, err := conn.Write(make([]byte, most))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("wrote %d bytes, %v", n, err)
	}
	env.proxy.Clear("a")
	s := env.server()
	conn.Close()
	if got, err := io.Copy(io.Discard, s); err != nil || got != int64(n) {
		t.Errorf("of %d bytes %d came, %v", n, got, err)
	}
}

func TestListenerFaults(t *testing.T) {
	connects := func(at string) string {
		conn, err := net.DialTimeout("tcp", at, 300*ms)
		var late net.Error
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return "refused"
		case errors.As(err, &late) && late.Timeout():
			return "never up"
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
	for kind, want := range map[string]string{"refuse": "refused", "mute": "mute", "queue-full": "never up"} {
		env := newEnvironment(t, fmt.Sprintf("(rule a (on-command) (%s))", kind), true)
		if got := connects(env.address); got != "echo" {
			t.Errorf("%s: before it %s", kind, got)
		}
		if err := env.proxy.Trigger("a"); err != nil {
			t.Fatal(err)
		}
		if got := connects(env.address); got != want {
			t.Errorf("%s: got %s", kind, got)
		}
		env.proxy.Clear("")
		if got := connects(env.address); got != "echo" {
			t.Errorf("%s: after it %s", kind, got)
		}
	}
	env := newEnvironment(t, "(rule a (at 100ms) (for 400ms) (vanish))", true)
	standing := env.dial()
	io.WriteString(standing, "x")
	if _, err := io.ReadFull(standing, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(time.Now().Add(200*ms - env.proxy.now())))
	io.WriteString(standing, "y")
	standing.SetDeadline(time.Now().Add(100 * ms))
	if _, err := standing.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("one that has vanished answers: %v", err)
	}
	standing.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := standing.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("when it comes back, what stood ends with %v", err)
	}
	if got := connects(env.address); got != "echo" {
		t.Errorf("when it is back: %s", got)
	}
	if err := env.proxy.Trigger("a"); err == nil {
		t.Error("a rule that waits for no command took one")
	}
}

// BenchmarkProxy sends through a proxy that does nothing, and straight; the ratio is
// that of the throughputs of echoes one after another.
func BenchmarkProxy(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	p := NewProxy(nil, 1)
	defer p.Close()
	at, err := p.OpenRoute(Route{Name: "r", Listen: "127.0.0.1:0", Target: l.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	echo := func(b *testing.B, at string, size int) time.Duration {
		conn, err := net.Dial("tcp", at)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		out, in := make([]byte, size), make([]byte, size)
		began := time.Now()
		for range b.N {
			go func() { _, _ = conn.Write(out) }()
			if _, err := io.ReadFull(conn, in); err != nil {
				b.Fatal(err)
			}
		}
		return time.Since(began)
	}
	for _, size := range []int{64, 256 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			straight, through := echo(b, l.Addr().String(), size), echo(b, at, size)
			b.ReportMetric(float64(straight)/float64(through), "throughput-ratio")
		})
	}
}
