package amqp

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fullListener is a loopback listener whose accept queue is full: connecting to it blocks until acceptAndServe is
// called.
type fullListener struct {
	net.Listener
	queued []net.Conn // connections that fill the accept queue
	served sync.WaitGroup
}

// newFullListener returns a listener with a full accept queue.
func newFullListener(t *testing.T) *fullListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "a listener")
	defer func() { _ = file.Close() }()
	netListener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	f := &fullListener{Listener: netListener}
	t.Cleanup(func() {
		f.Close()
		for _, conn := range f.queued {
			conn.Close()
		}
		f.served.Wait()
	})
	for { // until a connect times out
		conn, err := net.DialTimeout("tcp", netListener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return f
		}
		if f.queued = append(f.queued, conn); len(f.queued) > 16 {
			t.Fatal("the accept queue is not full after 17 connections")
		}
	}
}

// acceptAndServe closes the queued connections and serves all others.
func (f *fullListener) acceptAndServe(t *testing.T, protocol frontendProtocol, script *scenario) {
	for range f.queued {
		conn, err := f.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	f.served.Go(func() { serveConnections(t, f.Listener, protocol, script) })
}
