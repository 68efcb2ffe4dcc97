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

// come connects to a door and returns the connection.
func come(t *testing.T, d *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// greet takes in whoever comes until the door is shut.
func greet(t *testing.T, d *Listener) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := d.Accept()
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

func greeted(t *testing.T, c net.Conn) {
	t.Helper()
	if b, err := io.ReadAll(c); string(b) != "hello\n" {
		t.Errorf("got %q, %v", b, err)
	}
}

// Closing a listener resets who waits in its queue: of 20 none may be.
func TestDoorShutsAfterThoseWhoWait(t *testing.T) {
	d, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	var all []net.Conn
	for range 20 {
		all = append(all, come(t, d))
	}
	d.Shutdown()
	d.Shutdown()
	d.SetDeadline(time.Unix(1, 0)) // who is to take them in wakes late
	<-greet(t, d)
	for _, c := range all {
		greeted(t, c)
	}
	if c, err := net.Dial("tcp", d.Addr().String()); err == nil {
		c.Close()
		t.Error("the door is still open")
	}
}

// Two doors share an address only if both say so, and one that rests takes nobody in.
func TestDoorsAreSharedAndRest(t *testing.T) {
	old, err := Listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	if d, err := Listen(old.Addr().String(), false); err == nil {
		d.Close()
		t.Error("a door that is not shared was opened beside another")
	}
	next, err := Listen(old.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	next.Close()
	done := greet(t, old)
	greeted(t, come(t, old))
	old.Pause()
	waits := come(t, old)
	waits.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := waits.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a door that rests has taken someone in")
	}
	waits.SetDeadline(time.Now().Add(5 * time.Second))
	old.Resume()
	greeted(t, waits)
	old.Pause()
	old.Shutdown() // at once
	<-done
}

// Whoever comes after a door has been laid to rest is not taken in, however late the one
// wakes who was about to.
func TestNobodySlipsIntoADoorThatRests(t *testing.T) {
	d, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	var rests atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := d.Accept()
			if err != nil {
				return
			}
			if rests.Load() {
				t.Error("a door that rests has taken someone in")
			}
			c.Close()
		}
	}()
	for i := range 2000 {
		for range i % 7 { // the one at the door is somewhere else each time
			runtime.Gosched()
		}
		d.Pause()
		rests.Store(true)
		c, err := net.Dial("tcp", d.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		runtime.Gosched()
		rests.Store(false)
		d.Resume()
		_, _ = io.ReadAll(c) // until it has been taken in
		c.Close()
	}
	d.Shutdown()
	<-done
}
