package hotrestart

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// fakeHandler is a relay with one door.
type fakeHandler struct {
	state      atomic.Pointer[string] // if not a small one
	listener   *net.TCPListener
	peerServes atomic.Int32 // how often it was told so, less how often the contrary
	fails      atomic.Bool
}

func (g *fakeHandler) Offer(context.Context) (*Offer, []syscall.Conn, error) {
	var err error
	if g.fails.Load() {
		err = errors.New("no turn comes")
	}
	state := `{"x":1}`
	if s := g.state.Load(); s != nil {
		state = *s
	}
	return &Offer{Clock: time.Hour, ListenerNames: []string{"line"}, State: json.RawMessage(state)}, []syscall.Conn{g.listener}, err
}

func (g *fakeHandler) PeerServes(given bool) {
	if given {
		g.peerServes.Add(1)
	} else {
		g.peerServes.Add(-1)
	}
}

// startPredecessor runs a host and returns where it is met.
func startPredecessor(t *testing.T) (*Predecessor, *fakeHandler) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &fakeHandler{listener: l.(*net.TCPListener)}
	h := NewPredecessor(SocketPath(t.TempDir(), "n0", "a:1"), g, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	testutil.Until(t, "there is no meeting place", func() bool { _, err := os.Stat(h.path); return err == nil })
	return h, g
}

// connectSuccessor asks until there is an offer: a host notices that a guest is gone a moment later.
func connectSuccessor(t *testing.T, h *Predecessor) *Successor {
	t.Helper()
	var g *Successor
	testutil.Until(t, "no offer is made", func() (ok bool) {
		var err error
		g, err = Connect(h.path)
		return err == nil
	})
	t.Cleanup(g.Close)
	return g
}

// connectionPair is a TCP connection's two ends.
func connectionPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestSuccessorTakesOver(t *testing.T) {
	h, old := startPredecessor(t)
	g := connectSuccessor(t, h)
	if g.Offer.Clock != time.Hour || string(g.Offer.State) != `{"x":1}` || len(g.Listeners) != 1 {
		t.Errorf("offered %+v with %d doors", g.Offer, len(g.Listeners))
	}
	if g.MayAccept() || old.peerServes.Load() != 0 {
		t.Error("the place is given before it was taken")
	}
	if err := g.TakeOver(); err != nil || !g.MayAccept() {
		t.Fatal(err)
	}
	if old.peerServes.Load() != 1 {
		t.Error("the old process was not told")
	}
	// Who waits in the queue stays in it, though the old process closes its descriptor.
	waits, err := net.Dial("tcp", g.Listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	old.listener.Close()
	c, err := g.Listeners[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.RemoteAddr().String() != waits.LocalAddr().String() {
		t.Error("another one was in the queue")
	}

	near, far := connectionPair(t)
	if err := h.HandOff("too early", near.(syscall.Conn)); !errors.Is(err, errNoPeer) {
		t.Errorf("given before it was told to leave: %v", err)
	}
	if !h.BeginShutdown() {
		t.Error("nobody is there to give to")
	}
	adopted := make(chan net.Conn, 1)
	go g.Adopt(context.Background(), func(what json.RawMessage, sockets []net.Conn) (func(), error) {
		if string(what) != `"mine"` || len(sockets) != 1 {
			return nil, errors.New("not wanted")
		}
		return func() { adopted <- sockets[0] }, nil
	})
	if err := h.HandOff("odd", near.(syscall.Conn)); !errors.Is(err, errNotAdopted) {
		t.Errorf("what is not adopted: %v", err)
	}
	if err := h.HandOff("mine", near.(syscall.Conn)); err != nil {
		t.Fatal(err)
	}
	near.Close()
	io.WriteString(<-adopted, "hello")
	b := make([]byte, 5)
	if _, err := io.ReadFull(far, b); err != nil || string(b) != "hello" {
		t.Errorf("the other end got %q, %v", b, err)
	}
}

// A new process that goes before or after it has taken over leaves the old one unharmed,
// and the next can come.
// What a relay of tens of thousands of servers hands over is not turned down for its size.
func TestLargeOffer(t *testing.T) {
	h, g := startPredecessor(t)
	state := `"` + strings.Repeat("x", 9<<20) + `"`
	g.state.Store(&state)
	if got := connectSuccessor(t, h); len(got.Offer.State) != len(state) {
		t.Errorf("%d bytes of %d are offered", len(got.Offer.State), len(state))
	}
}

func TestPredecessorResumesWhenSuccessorIsLost(t *testing.T) {
	h, old := startPredecessor(t)
	connectSuccessor(t, h).Close() // before
	g := connectSuccessor(t, h)
	if err := g.TakeOver(); err != nil {
		t.Fatal(err)
	}
	if _, err := Connect(h.path); err == nil || !strings.Contains(err.Error(), "another new process") {
		t.Errorf("a second one: %v", err)
	}
	if err := os.Remove(h.path); err != nil { // it has opened its own there
		t.Fatal(err)
	}
	g.Close()
	testutil.Until(t, "the old process does not go on", func() bool { return old.peerServes.Load() == 0 })
	g = connectSuccessor(t, h)
	if err := g.TakeOver(); err != nil {
		t.Fatal(err)
	}
	h.BeginShutdown()
	g.Close()
	near, _ := connectionPair(t)
	testutil.Until(t, "it is still given", func() bool { return h.HandOff("x", near.(syscall.Conn)) != nil })
}

// An old process that is killed before it gives its place, or after, leaves the new one
// with the door: it goes on alone.
func TestSuccessorContinuesWhenPredecessorIsKilled(t *testing.T) {
	for _, after := range []bool{false, true} {
		h, _ := startPredecessor(t)
		g := connectSuccessor(t, h)
		if after {
			if err := g.TakeOver(); err != nil {
				t.Fatal(err)
			}
		}
		h.mu.Lock()
		h.peer.Close()
		h.mu.Unlock()
		if !after && g.TakeOver() == nil {
			t.Error("the place of a process was taken that is gone")
		}
		g.Adopt(context.Background(), nil) // ends at once
		if !g.MayAccept() || len(g.Listeners) != 1 {
			t.Error("it takes nobody in")
		}
	}
}

// Whatever is wrong with the other side, a new process starts alone, and soon.
func TestSuccessorStartsAloneBesideInvalidPredecessor(t *testing.T) {
	if SocketPath("", "n0", "a:1") != "" || SocketPath("d", "n0", "a:1") == SocketPath("d", "n1", "a:1") {
		t.Error("meeting places")
	}
	h, old := startPredecessor(t)
	for _, format := range []int{ProtocolVersion - 1, ProtocolVersion + 1} {
		if _, err := connect(h.path, format); err == nil || !strings.Contains(err.Error(), "refused") {
			t.Errorf("format %d: %v", format, err)
		}
	}
	old.fails.Store(true)
	if _, err := Connect(h.path); err == nil || !strings.Contains(err.Error(), "no turn comes") {
		t.Errorf("an old process that can't offer: %v", err)
	}
	dir := t.TempDir()
	if _, err := Connect(filepath.Join(dir, "none")); err == nil {
		t.Error("nobody is there")
	}
	stale := filepath.Join(dir, "stale")
	l, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	if _, err := Connect(stale); err == nil {
		t.Error("a stale socket")
	}
	message := func(k messageKind, files byte, body string) string {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
		return string(append(append(b, byte(k), files), body...))
	}
	offer := message(kindOffer, 0, `{"Clock":1,"Doors":[]}`)
	said := []string{
		"", "\x00", "\xff\xff\xff\xff\x02\x00", message(kindPaused, 0, "null"), message(kindOffer, 1, "{}"), message(kindOffer, 0, "{"),
		message(kindOffer, 0, `{"Doors":["line"]}`), message(kindReject, 0, `"no"`), message(77, 0, "null"),
	}
	for cut := range offer { // cut off at every byte
		said = append(said, offer[:cut])
	}
	for _, text := range said {
		at := filepath.Join(t.TempDir(), "s")
		l, err := net.Listen("unix", at)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer l.Close()
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, text)
		}()
		if _, err := Connect(at); err == nil {
			t.Errorf("%q was taken for an offer", text)
		}
	}
}

// Messages come whole whatever pieces they come in, with their descriptors.
func TestMessagesAreReadFromPieces(t *testing.T) {
	var text []byte
	for cut := 1; ; cut++ {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		var ends [2]channel
		for i, fd := range fds {
			f := os.NewFile(uintptr(fd), "pair")
			c, err := net.FileConn(f)
			if err != nil {
				t.Fatal(err)
			}
			_ = f.Close()
			ends[i] = channel{c.(*net.UnixConn)}
			defer c.Close()
		}
		if text == nil {
			near, _ := connectionPair(t)
			if err := ends[0].send(time.Second, kindOffer, "with a socket", near.(syscall.Conn)); err != nil {
				t.Fatal(err)
			}
			m, err := ends[1].receive(time.Now().Add(time.Second))
			if err != nil || m.kind != kindOffer || len(m.descriptors) != 1 {
				t.Fatalf("%+v, %v", m, err)
			}
			m.closeFiles()
			text = binary.BigEndian.AppendUint32(nil, 6)
			text = append(append(text, byte(kindAck), 0), "123456"...)
		}
		if cut == len(text) {
			return
		}
		go func() {
			_, _ = ends[0].Write(text[:cut])
			_, _ = ends[0].Write(text[cut:])
		}()
		m, err := ends[1].receive(time.Now().Add(time.Second))
		var n int
		if err != nil || m.kind != kindAck || m.decode(&n) != nil || n != 123456 {
			t.Fatalf("cut at %d: %+v, %v", cut, m, err)
		}
	}
}
