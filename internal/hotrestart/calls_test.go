package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// serveCalls has a successor answer calls with answer until the test's end.
func serveCalls(t *testing.T, successor *Successor, answer CallFunc) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = successor.Adopt(context.Background(), nil, answer) // ends when the channel is closed
	}()
	t.Cleanup(func() { successor.Close(); <-done })
}

// The predecessor's changes after the offer must reach the successor by the end of the takeover, even if the predecessor
// is killed before it confirms.
func TestStateAfterOfferReachesSuccessor(t *testing.T) {
	for _, killed := range []bool{false, true} {
		predecessor, handler := startPredecessor(t)
		successor := connectSuccessor(t, predecessor)
		testutil.Until(t, "the offer is not complete", func() bool {
			predecessor.mu.Lock()
			defer predecessor.mu.Unlock()
			return predecessor.peer.offered
		})
		for i := range int64(3) {
			handler.current.Store(i + 1)
			predecessor.PublishState()
		}
		if killed {
			predecessor.peer.CloseWrite()
		} else {
			handler.current.Store(4)
		}
		want := map[bool]string{false: "4", true: "3"}[killed]
		if err := successor.TakeOver(); killed != (err != nil) || string(successor.State) != want {
			t.Errorf("predecessor killed %v: the successor has state %s after %v, want %s", killed, successor.State, err, want)
		}
	}
}

func TestCallIsAnsweredByTheProcessThatServes(t *testing.T) {
	predecessor, _ := startPredecessor(t)
	call := func(method Method, timeout time.Duration) (answer string, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err = predecessor.Call(ctx, method, "argument", &answer)
		return answer, err
	}
	if _, err := call("echo", time.Second); !errors.Is(err, ErrNoSuccessor) {
		t.Errorf("without a successor: got %v, want ErrNoSuccessor", err)
	}
	successor := connectSuccessor(t, predecessor)
	if _, err := call("echo", time.Second); !errors.Is(err, ErrNoSuccessor) {
		t.Errorf("before the takeover: got %v, want ErrNoSuccessor", err)
	}
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	hanging := make(chan struct{})
	serveCalls(t, successor, func(ctx context.Context, method Method, argument json.RawMessage) (any, error) {
		if method == "hang" {
			<-hanging
		}
		return echoCall(ctx, method, argument)
	})
	if answer, err := call("echo", time.Second); err != nil || answer != "argument" {
		t.Errorf("got %q, %v, want the argument", answer, err)
	}
	var rejected *CallError
	if _, err := call("fail", time.Second); !errors.As(err, &rejected) || rejected.Text != "it failed" {
		t.Errorf("got %v, want the successor's error", err)
	}
	if _, err := call("hang", 20*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a timeout", err)
	}
	close(hanging)
	if answer, err := call("echo", time.Second); err != nil || answer != "argument" { // the late result is dropped
		t.Errorf("after a late result: got %q, %v, want the argument", answer, err)
	}
	successor.Close()
	testutil.Until(t, "calls still reach a lost successor", func() bool {
		_, err := call("echo", time.Second)
		return errors.Is(err, ErrNoSuccessor)
	})
}

// The calls of a predecessor that ends were dropped if they waited for another one: a refused order could stay in force,
// as the call that took it back was lost.
func TestCallsOfAnEndedPredecessorAreCarriedOut(t *testing.T) {
	near, far := socketPair(t)
	carriedOut := make(chan Method, 2)
	serveCalls(t, &Successor{channel: far}, func(ctx context.Context, method Method, _ json.RawMessage) (any, error) {
		if method == "order" {
			<-ctx.Done() // as if its own successor did not answer
		}
		carriedOut <- method
		return nil, nil
	})
	for i, method := range []Method{"order", "undo"} {
		if err := near.send(time.Second, kindCall, callMessage{Number: i, Method: method, Timeout: 200 * time.Millisecond}); err != nil {
			t.Fatal(err)
		}
	}
	near.CloseWrite()
	for _, want := range []Method{"order", "undo"} {
		select {
		case method := <-carriedOut:
			if method != want {
				t.Errorf("%s was carried out, want %s", method, want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s was not carried out", want)
		}
	}
}

// A successor of a release without calls would take one for a protocol error, and the predecessor would serve beside it.
func TestSuccessorWithoutCallsGetsNone(t *testing.T) {
	predecessor, _ := startPredecessor(t)
	near, far := socketPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); predecessor.servePeer(ctx, far) }()
	defer func() { near.Close(); cancel(); <-done }()
	if err := near.send(time.Second, kindHello, helloMessage{Version: ProtocolVersion, PID: 1}); err != nil {
		t.Fatal(err)
	}
	offer, err := near.receive(time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	offer.closeFiles()
	predecessor.PublishState()
	if err := predecessor.Call(t.Context(), "echo", nil, nil); !errors.Is(err, ErrCallsUnsupported) {
		t.Errorf("got %v, want ErrCallsUnsupported", err)
	}
	if err := near.send(time.Second, kindTakeOver, nil); err != nil {
		t.Fatal(err)
	}
	if paused, err := near.receive(time.Now().Add(time.Second)); err != nil || paused.kind != kindPaused {
		t.Errorf("got %v, %v, want the confirmation and nothing before it", paused, err)
	}
}

// Of three processes the one in the middle is lost: the oldest must yield to the newest, not serve beside it. Once the
// newest is lost too, the oldest serves.
func TestOldestProcessYieldsToNewest(t *testing.T) {
	oldest, oldestHandler := startPredecessor(t)
	middle := connectSuccessor(t, oldest)
	if err := middle.TakeOver(); err != nil {
		t.Fatal(err)
	}
	oldestHandler.current.Store(7)
	newestHandler := &fakeHandler{clientListener: oldestHandler.clientListener}
	newestHandler.current.Store(8)
	newest := NewPredecessor(oldest.path, newestHandler, slog.New(slog.DiscardHandler)) // replaces the socket
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- newest.Serve(ctx) }()
	testutil.Until(t, "the newest process does not listen", func() bool {
		socketFile, err := os.Stat(oldest.path)
		oldest.mu.Lock()
		defer oldest.mu.Unlock()
		return err == nil && !os.SameFile(socketFile, oldest.socketFile)
	})
	middle.Close()
	testutil.Until(t, "the oldest process did not yield", func() bool {
		var answer string
		return oldest.Call(t.Context(), "echo", "x", &answer) == nil && answer == "x"
	})
	testutil.Until(t, "the oldest process did not merge the state of the newest", func() bool { return oldestHandler.merged.Load() == "8" })
	if merged := newestHandler.merged.Load(); merged != "7" || oldestHandler.pauses.Load() != 1 {
		t.Errorf("the newest has merged %v, the oldest has paused %d times; want 7 and 1", merged, oldestHandler.pauses.Load())
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	testutil.Until(t, "the oldest process did not resume", func() bool { return oldestHandler.pauses.Load() == 0 })
	if err := connectSuccessor(t, oldest).TakeOver(); err != nil {
		t.Errorf("a later successor could not take over: %v", err)
	}
}

// A process that rejects an older one, such as one of an earlier release, leaves that one serving.
func TestRejectedOldProcessServes(t *testing.T) {
	oldest, handler := startPredecessor(t)
	successor := connectSuccessor(t, oldest)
	if err := successor.TakeOver(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: oldest.path + ".other", Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if err := os.Rename(oldest.path+".other", oldest.path); err != nil {
		t.Fatal(err)
	}
	rejected := make(chan struct{})
	go func() { // answers as an earlier release does, and ends
		defer close(rejected)
		defer listener.Close()
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		peer := newChannel(conn)
		if received, err := peer.receive(time.Now().Add(time.Second)); err == nil && received.kind == kindRejoin {
			_ = peer.send(time.Second, kindReject, "a hello was expected") // the oldest process reports what it got
		}
	}()
	successor.Close()
	<-rejected
	testutil.Until(t, "the rejected process does not serve", func() bool { return handler.pauses.Load() == 0 })
	if err := oldest.Call(t.Context(), "echo", nil, nil); !errors.Is(err, ErrNoSuccessor) {
		t.Errorf("got %v, want ErrNoSuccessor", err)
	}
}
