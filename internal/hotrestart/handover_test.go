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

// fakeHandler is a Handler with one listener.
type fakeHandler struct {
	state          atomic.Pointer[string] // overrides the offered state, if not nil
	clientListener *net.TCPListener
	pauses         atomic.Int32 // calls of SetPaused with true, less those with false
	fails          atomic.Bool
	current        atomic.Int64 // the state of CurrentState
	merged         atomic.Value // string: the last state of MergeState
}

func (h *fakeHandler) Offer(context.Context) (*Offer, []syscall.Conn, error) {
	var err error
	if h.fails.Load() {
		err = errors.New("the offer failed")
	}
	state := `{"x":1}`
	if override := h.state.Load(); override != nil {
		state = *override
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

func (h *fakeHandler) CurrentState() any { return h.current.Load() }

func (h *fakeHandler) MergeState(state json.RawMessage) error {
	h.merged.Store(string(state))
	return nil
}

func (h *fakeHandler) AdoptFrom(ctx context.Context, s *Successor) {
	_ = s.Adopt(ctx, nil, echoCall) // the test closes the connection
}

// echoCall returns a call's argument, or an error if the method is fail.
func echoCall(_ context.Context, method Method, argument json.RawMessage) (any, error) {
	if method == "fail" {
		return nil, errors.New("it failed")
	}
	return argument, nil
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
	testutil.Until(t, "the predecessor's socket was not opened", func() bool { _, err := os.Stat(predecessor.path); return err == nil })
	return predecessor, handler
}

// connectSuccessor connects until an offer is made: the predecessor may not have noticed yet that the previous
// successor has exited.
func connectSuccessor(t *testing.T, predecessor *Predecessor) *Successor {
	t.Helper()
	var successor *Successor
	testutil.Until(t, "no offer was made", func() (ok bool) {
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
		t.Errorf("got offer %+v with %d listeners", successor.Offer, len(successor.Listeners))
	}
	if successor.MayAccept() || handler.pauses.Load() != 0 {
		t.Error("the successor may accept or the predecessor has paused before the takeover")
	}
	if err := successor.TakeOver(); err != nil || !successor.MayAccept() {
		t.Fatalf("takeover failed or the successor may not accept: %v", err)
	}
	if handler.pauses.Load() != 1 {
		t.Error("the predecessor was not paused")
	}
	// A connection in the accept queue is not lost when the predecessor closes its descriptor.
	queued, err := net.Dial("tcp", successor.Listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer queued.Close()
	handler.clientListener.Close()
	conn, err := successor.Listeners[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if conn.RemoteAddr().String() != queued.LocalAddr().String() {
		t.Error("another connection than the queued one was accepted")
	}

	near, far := connectionPair(t)
	if err := predecessor.HandOff("too early", near.(syscall.Conn)); !errors.Is(err, errNoPeer) {
		t.Errorf("handoff before the shutdown: got %v, want errNoPeer", err)
	}
	if !predecessor.BeginShutdown() {
		t.Error("BeginShutdown reports that connections are not to be handed off")
	}
	adopted := make(chan net.Conn, 1)
	prepare := func(payload json.RawMessage, sockets []net.Conn) (func(), error) {
		if string(payload) != `"wanted"` || len(sockets) != 1 {
			return nil, errors.New("unexpected payload or sockets")
		}
		return func() { adopted <- sockets[0] }, nil
	}
	go func() { _ = successor.Adopt(context.Background(), prepare, nil) }()
	if err := predecessor.HandOff("unwanted", near.(syscall.Conn)); !errors.Is(err, errDeclined) {
		t.Errorf("handoff of a declined connection: got %v, want errDeclined", err)
	}
	if err := predecessor.HandOff("wanted", near.(syscall.Conn)); err != nil {
		t.Fatal(err)
	}
	near.Close()
	io.WriteString(<-adopted, "hello")
	received := make([]byte, 5)
	if _, err := io.ReadFull(far, received); err != nil || string(received) != "hello" {
		t.Errorf("the client received %q, %v, want hello", received, err)
	}
}

// An offer with tens of thousands of endpoints must not exceed the size limit.
func TestLargeOffer(t *testing.T) {
	predecessor, handler := startPredecessor(t)
	state := `"` + strings.Repeat("x", 9<<20) + `"`
	handler.state.Store(&state)
	if successor := connectSuccessor(t, predecessor); len(successor.Offer.State) != len(state) {
		t.Errorf("the offered state has %d bytes, want %d", len(successor.Offer.State), len(state))
	}
}

// If a successor is lost before or after the takeover, the predecessor resumes and the next successor can connect.
func TestPredecessorResumesWhenSuccessorIsLost(t *testing.T) {
	predecessor, handler := startPredecessor(t)
	connectSuccessor(t, predecessor).Close() // before the takeover
	successor := connectSuccessor(t, predecessor)
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	if _, err := Connect(predecessor.path); err == nil || !strings.Contains(err.Error(), "another new process") {
		t.Errorf("a second successor got %v, want a rejection", err)
	}
	if err := os.Remove(predecessor.path); err != nil { // as if the successor had replaced the socket
		t.Fatal(err)
	}
	successor.Close()
	testutil.Until(t, "the predecessor did not resume", func() bool { return handler.pauses.Load() == 0 })
	successor = connectSuccessor(t, predecessor)
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	predecessor.BeginShutdown()
	successor.Close()
	near, _ := connectionPair(t)
	testutil.Until(t, "handoffs still succeed after the loss of the successor", func() bool { return predecessor.HandOff("x", near.(syscall.Conn)) != nil })
}

// If the predecessor is killed before or after the takeover, the successor keeps the listeners and continues alone.
func TestSuccessorContinuesWhenPredecessorIsKilled(t *testing.T) {
	for _, afterTakeOver := range []bool{false, true} {
		predecessor, _ := startPredecessor(t)
		successor := connectSuccessor(t, predecessor)
		if afterTakeOver {
			if err := successor.TakeOver(); err != nil {
				t.Fatal(err)
			}
		}
		predecessor.mu.Lock()
		predecessor.peer.Close()
		predecessor.mu.Unlock()
		if !afterTakeOver && successor.TakeOver() == nil {
			t.Error("TakeOver succeeded without a predecessor")
		}
		_ = successor.Adopt(context.Background(), nil, nil) // ends at once
		if !successor.MayAccept() || len(successor.Listeners) != 1 {
			t.Error("the successor may not accept, or lacks its listener")
		}
	}
}

// Connect returns an error for any invalid or missing predecessor, so that the new process starts alone.
func TestConnectFailsForInvalidPredecessor(t *testing.T) {
	if SocketPath("", "n0", "a:1") != "" || SocketPath("d", "n0", "a:1") == SocketPath("d", "n1", "a:1") {
		t.Error("the socket paths of two relays are equal, or there is a path without a folder")
	}
	predecessor, handler := startPredecessor(t)
	for _, version := range []int{ProtocolVersion - 1, ProtocolVersion + 1} {
		if _, err := connect(predecessor.path, version); err == nil || !strings.Contains(err.Error(), "rejected") {
			t.Errorf("a successor of version %d got %v, want a rejection", version, err)
		}
	}
	handler.fails.Store(true)
	if _, err := Connect(predecessor.path); err == nil || !strings.Contains(err.Error(), "the offer failed") {
		t.Errorf("a predecessor whose offer failed: got %v, want its error", err)
	}
	dir := t.TempDir()
	if _, err := Connect(filepath.Join(dir, "none")); err == nil {
		t.Error("connected to a path without a socket")
	}
	stale := filepath.Join(dir, "stale")
	listener, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	listener.Close()
	if _, err := Connect(stale); err == nil {
		t.Error("connected to the socket of a process that has exited")
	}
	message := func(kind messageKind, descriptors byte, body string) string {
		header := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
		return string(append(append(header, byte(kind), descriptors), body...))
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
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			io.WriteString(conn, text)
		}()
		if _, err := Connect(path); err == nil {
			t.Errorf("%q was accepted as an offer", text)
		}
	}
}
