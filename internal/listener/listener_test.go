package listener

import (
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// dialListener connects to a listener and returns the connection.
func dialListener(t *testing.T, listener *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// acceptAll accepts and greets every connection until the listener is closed.
func acceptAll(t *testing.T, listener *Listener) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := listener.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Error(err)
				}
				return
			}
			io.WriteString(c, "hello\n")
			c.Close()
		}
	}()
	return done
}

func expectGreeting(t *testing.T, c net.Conn) {
	t.Helper()
	if b, err := io.ReadAll(c); string(b) != "hello\n" {
		t.Errorf("got %q, %v", b, err)
	}
}

// Closing a listener resets the connections in its accept queue: of 20 none may be reset.
func TestShutdownAcceptsQueuedConnections(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	var queued []net.Conn
	for range 20 {
		queued = append(queued, dialListener(t, listener))
	}
	listener.Shutdown()
	listener.Shutdown()
	listener.SetDeadline(time.Unix(1, 0)) // the goroutine that accepts wakes late
	<-acceptAll(t, listener)
	for _, c := range queued {
		expectGreeting(t, c)
	}
	if c, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// Two listeners share an address only if both are shared, and a paused one accepts nothing.
func TestListenersShareAnAddressAndPause(t *testing.T) {
	first, err := Listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	if listener, err := Listen(first.Addr().String(), false); err == nil {
		listener.Close()
		t.Error("a listener that is not shared was opened beside another")
	}
	second, err := Listen(first.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	done := acceptAll(t, first)
	expectGreeting(t, dialListener(t, first))
	first.Pause()
	queued := dialListener(t, first)
	queued.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := queued.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a paused listener has accepted a connection")
	}
	queued.SetDeadline(time.Now().Add(5 * time.Second))
	first.Resume()
	expectGreeting(t, queued)
	first.Pause()
	first.Shutdown() // closes at once
	<-done
}

// A connection that comes after Pause is not accepted, however late a goroutine that was
// about to accept wakes.
func TestPausedListenerAcceptsNobody(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	var paused atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if paused.Load() {
				t.Error("a paused listener has accepted a connection")
			}
			c.Close()
		}
	}()
	for i := range 2000 {
		for range i % 7 { // the accepting goroutine is somewhere else each time
			runtime.Gosched()
		}
		listener.Pause()
		paused.Store(true)
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		runtime.Gosched()
		paused.Store(false)
		listener.Resume()
		_, _ = io.ReadAll(c) // until it has been accepted
		c.Close()
	}
	listener.Shutdown()
	<-done
}
