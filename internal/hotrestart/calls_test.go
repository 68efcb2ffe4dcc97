package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
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

// A successor of a release without calls would take one for a protocol error, and the predecessor would serve beside it.
func TestSuccessorWithoutCallsGetsNone(t *testing.T) {
	predecessor, _ := startPredecessor(t)
	near, far := socketPair(t)
	go predecessor.servePeer(context.Background(), far)
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
	near.Close()
}
