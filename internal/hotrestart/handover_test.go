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

// fakeHandler is a relay with one listener.
type fakeHandler struct {
	state          atomic.Pointer[string] // in place of a small one
	clientListener *net.TCPListener
	pauses         atomic.Int32 // calls of SetPaused with true, less those with false
	fails          atomic.Bool
}

func (h *fakeHandler) Offer(context.Context) (*Offer, []syscall.Conn, error) {
	var err error
	if h.fails.Load() {
		err = errors.New("no turn comes")
	}
	state := `{"x":1}`
	if s := h.state.Load(); s != nil {
		state = *s
	}
	return &Offer{Clock: time.Hour, ListenerNames: []string{"line"}, State: json.RawMessage(state)}, []syscall.Conn{h.clientListener}, err
}

func (h *fakeHandler) SetPaused(paused bool) {
	if paused {
		h.pauses.Add(1)
	} else {
		h.pauses.Add(-1)
	}
}

// startPredecessor runs a predecessor until the test's end.
func startPredecessor(t *testing.T) (*Predecessor, *fakeHandler) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &fakeHandler{clientListener: listener.(*net.TCPListener)}
	predecessor := NewPredecessor(SocketPath(t.TempDir(), "n0", "a:1"), handler, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- predecessor.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		listener.Close()
	})
	testutil.Until(t, "the socket is not opened", func() bool { _, err := os.Stat(predecessor.path); return err == nil })
	return predecessor, handler
}

// connectSuccessor connects until there is an offer: a predecessor notices a moment later that the last successor is gone.
func connectSuccessor(t *testing.T, predecessor *Predecessor) *Successor {
	t.Helper()
	var successor *Successor
	testutil.Until(t, "no offer is made", func() (ok bool) {
		var err error
		successor, err = Connect(predecessor.path)
		return err == nil
	})
	t.Cleanup(successor.Close)
	return successor
}

// connectionPair returns both ends of a TCP connection.
func connectionPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestSuccessorTakesOver(t *testing.T) {
	predecessor, handler := startPredecessor(t)
	successor := connectSuccessor(t, predecessor)
	if successor.Offer.Clock != time.Hour || string(successor.Offer.State) != `{"x":1}` || len(successor.Listeners) != 1 {
		t.Errorf("offered %+v with %d listeners", successor.Offer, len(successor.Listeners))
	}
	if successor.MayAccept() || handler.pauses.Load() != 0 {
		t.Error("the successor may accept, or the predecessor has paused, before the takeover")
	}
	if err := successor.TakeOver(); err != nil || !successor.MayAccept() {
		t.Fatal(err)
	}
	if handler.pauses.Load() != 1 {
		t.Error("the predecessor was not paused")
	}
	// A connection in the accept queue stays there, though the predecessor closes its descriptor.
	queued, err := net.Dial("tcp", successor.Listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer queued.Close()
	handler.clientListener.Close()
	c, err := successor.Listeners[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.RemoteAddr().String() != queued.LocalAddr().String() {
		t.Error("another connection was in the queue")
	}

	near, far := connectionPair(t)
	if err := predecessor.HandOff("too early", near.(syscall.Conn)); !errors.Is(err, errNoPeer) {
		t.Errorf("handed off before the shutdown: %v", err)
	}
	if !predecessor.BeginShutdown() {
		t.Error("connections are not to be handed off at shutdown")
	}
	adopted := make(chan net.Conn, 1)
	go successor.Adopt(context.Background(), func(payload json.RawMessage, sockets []net.Conn) (func(), error) {
		if string(payload) != `"mine"` || len(sockets) != 1 {
			return nil, errors.New("not wanted")
		}
		return func() { adopted <- sockets[0] }, nil
	})
	if err := predecessor.HandOff("unwanted", near.(syscall.Conn)); !errors.Is(err, errNotAdopted) {
		t.Errorf("a connection that is declined: %v", err)
	}
	if err := predecessor.HandOff("mine", near.(syscall.Conn)); err != nil {
		t.Fatal(err)
	}
	near.Close()
	io.WriteString(<-adopted, "hello")
	b := make([]byte, 5)
	if _, err := io.ReadFull(far, b); err != nil || string(b) != "hello" {
		t.Errorf("the other end got %q, %v", b, err)
	}
}

// The offer of a relay with tens of thousands of endpoints is not rejected for its size.
func TestLargeOffer(t *testing.T) {
	predecessor, handler := startPredecessor(t)
	state := `"` + strings.Repeat("x", 9<<20) + `"`
	handler.state.Store(&state)
	if got := connectSuccessor(t, predecessor); len(got.Offer.State) != len(state) {
		t.Errorf("%d bytes of %d are offered", len(got.Offer.State), len(state))
	}
}

// A successor that is lost before or after it has taken over leaves the predecessor unharmed,
// and the next one can connect.
func TestPredecessorResumesWhenSuccessorIsLost(t *testing.T) {
	predecessor, handler := startPredecessor(t)
	connectSuccessor(t, predecessor).Close() // before the takeover
	successor := connectSuccessor(t, predecessor)
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	if _, err := Connect(predecessor.path); err == nil || !strings.Contains(err.Error(), "another new process") {
		t.Errorf("a second successor: %v", err)
	}
	if err := os.Remove(predecessor.path); err != nil { // the successor has opened its own there
		t.Fatal(err)
	}
	successor.Close()
	testutil.Until(t, "the predecessor does not resume", func() bool { return handler.pauses.Load() == 0 })
	successor = connectSuccessor(t, predecessor)
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	predecessor.BeginShutdown()
	successor.Close()
	near, _ := connectionPair(t)
	testutil.Until(t, "connections are still handed off", func() bool { return predecessor.HandOff("x", near.(syscall.Conn)) != nil })
}

// A predecessor that is killed before or after the takeover leaves the successor with the
// listeners: it continues alone.
func TestSuccessorContinuesWhenPredecessorIsKilled(t *testing.T) {
	for _, after := range []bool{false, true} {
		predecessor, _ := startPredecessor(t)
		successor := connectSuccessor(t, predecessor)
		if after {
			if err := successor.TakeOver(); err != nil {
				t.Fatal(err)
			}
		}
		predecessor.mu.Lock()
		predecessor.peer.Close()
		predecessor.mu.Unlock()
		if !after && successor.TakeOver() == nil {
			t.Error("a predecessor that is gone was taken over from")
		}
		successor.Adopt(context.Background(), nil) // ends at once
		if !successor.MayAccept() || len(successor.Listeners) != 1 {
			t.Error("the successor may not accept, or has no listener")
		}
	}
}

// Whatever is wrong with the predecessor, a new process gets an error, and starts alone.
func TestSuccessorStartsAloneBesideInvalidPredecessor(t *testing.T) {
	if SocketPath("", "n0", "a:1") != "" || SocketPath("d", "n0", "a:1") == SocketPath("d", "n1", "a:1") {
		t.Error("paths are not distinct, or there is one without a folder")
	}
	predecessor, handler := startPredecessor(t)
	for _, version := range []int{ProtocolVersion - 1, ProtocolVersion + 1} {
		if _, err := connect(predecessor.path, version); err == nil || !strings.Contains(err.Error(), "refused") {
			t.Errorf("version %d: %v", version, err)
		}
	}
	handler.fails.Store(true)
	if _, err := Connect(predecessor.path); err == nil || !strings.Contains(err.Error(), "no turn comes") {
		t.Errorf("a predecessor that can't offer: %v", err)
	}
	dir := t.TempDir()
	if _, err := Connect(filepath.Join(dir, "none")); err == nil {
		t.Error("connected where no socket is")
	}
	stale := filepath.Join(dir, "stale")
	listener, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	listener.Close()
	if _, err := Connect(stale); err == nil {
		t.Error("connected to a stale socket")
	}
	message := func(kind messageKind, descriptors byte, body string) string {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
		return string(append(append(b, byte(kind), descriptors), body...))
	}
	offer := message(kindOffer, 0, `{"Clock":1,"Doors":[]}`)
	responses := []string{
		"", "\x00", "\xff\xff\xff\xff\x02\x00", message(kindPaused, 0, "null"), message(kindOffer, 1, "{}"), message(kindOffer, 0, "{"),
		message(kindOffer, 0, `{"Doors":["line"]}`), message(kindReject, 0, `"no"`), message(77, 0, "null"),
	}
	for cut := range offer { // truncated at every byte
		responses = append(responses, offer[:cut])
	}
	for _, text := range responses {
		path := filepath.Join(t.TempDir(), "s")
		listener, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer listener.Close()
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, text)
		}()
		if _, err := Connect(path); err == nil {
			t.Errorf("%q was accepted as an offer", text)
		}
	}
}
