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

// Until polls a condition and fails the test with message if it is not met within 10 s. It is
// for effects of real sockets and processes, which no fake clock drives.
func Until(t testing.TB, message string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !reached(); time.Sleep(waitInterval) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

// AwaitUnread waits until want bytes are in the receive buffer of a connection that is not read.
func AwaitUnread(t testing.TB, conn *net.TCPConn, want int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Until(t, "the sent bytes did not arrive", func() (received bool) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			received = err == nil && n >= want
		})
		return received
	})
}
