package testutil

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	waitTimeout  = 10 * time.Second
	waitInterval = time.Millisecond
)

// Until waits for a condition that is due at any moment, and fails the test with message if it
// is not met within 10 s. It is for what real sockets and processes do, which no fake clock
// drives.
func Until(t testing.TB, message string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !reached(); time.Sleep(waitInterval) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

// AwaitUnread waits until a connection that nobody reads has received so many bytes.
func AwaitUnread(t testing.TB, conn *net.TCPConn, want int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Until(t, "what was sent has not come", func() (received bool) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			received = err == nil && n >= want
		})
		return received
	})
}
