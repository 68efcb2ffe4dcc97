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

// dialListener connects to a listener, and closes the connection at the test's end.
func dialListener(t *testing.T, listener *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// acceptAll accepts connections and sends each a greeting, until the listener is closed. Then it closes done.
func acceptAll(t *testing.T, listener *Listener) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Error(err)
				}
				return
			}
			io.WriteString(conn, "hello\n")
			conn.Close()
		}
	}()
	return done
}

func expectGreeting(t *testing.T, conn net.Conn) {
	t.Helper()
	if received, err := io.ReadAll(conn); string(received) != "hello\n" {
		t.Errorf("received %q, %v, want the greeting", received, err)
	}
}

// Shutdown must accept all queued connections first, as closing the listener would reset them.
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
	listener.SetDeadline(time.Unix(1, 0)) // as if Accept ran only after the deadline
	<-acceptAll(t, listener)
	for _, conn := range queued {
		expectGreeting(t, conn)
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open after Shutdown")
	}
}

// Two listeners can share an address only if both set shared. A paused listener accepts nothing until it resumes.
func TestSharedAddressAndPause(t *testing.T) {
	first, err := Listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	if listener, err := Listen(first.Addr().String(), false); err == nil {
		listener.Close()
		t.Error("a listener without shared was opened at an address in use")
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
		t.Error("a paused listener accepted a connection")
	}
	queued.SetDeadline(time.Now().Add(5 * time.Second))
	first.Resume()
	expectGreeting(t, queued)
	first.Pause()
	first.Shutdown() // closes at once
	<-done
}

// A connection that arrives after Pause has returned must not be accepted by a call of Accept in progress.
func TestPauseWaitsForAcceptInProgress(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	var paused atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if paused.Load() {
				t.Error("a paused listener accepted a connection")
			}
			conn.Close()
		}
	}()
	for i := range 2000 {
		for range i % 7 { // varies the progress of the accepting goroutine
			runtime.Gosched()
		}
		listener.Pause()
		paused.Store(true)
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		runtime.Gosched()
		paused.Store(false)
		listener.Resume()
		_, _ = io.ReadAll(conn) // waits until it was accepted and closed
		conn.Close()
	}
	listener.Shutdown()
	<-done
}
