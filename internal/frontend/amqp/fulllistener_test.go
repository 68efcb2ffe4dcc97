package amqp

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fullListener is a listener on loopback whose queue is full: who dials it waits for as long as the test wants.
type fullListener struct {
	net.Listener
	queued []net.Conn
	served sync.WaitGroup
}

// newFullListener returns a listener that takes nobody in until let.
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
	for { // until one does not come up
		conn, err := net.DialTimeout("tcp", netListener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return f
		}
		if f.queued = append(f.queued, conn); len(f.queued) > 16 {
			t.Fatal("the queue does not fill")
		}
	}
}

// acceptAndServe takes in who waits, and serves from then on.
func (f *fullListener) acceptAndServe(t *testing.T, protocol frontendProtocol, s *scenario) {
	for range f.queued {
		conn, err := f.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	f.served.Go(func() { serveAll(t, f.Listener, protocol, s) })
}
