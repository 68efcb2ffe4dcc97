package listener

import (
	"net"
	"syscall"
	"time"
)

// Limits on a connection that is being closed after its last answer.
const (
	// LingerTimeout is how long a client may take to read its last answer and close.
	LingerTimeout = 500 * time.Millisecond
	// LingerMaxBytes is how many bytes are read from such a client at most.
	LingerMaxBytes = 256 << 10
)

// discardBufferSize is how many bytes DiscardUnread reads at a time.
const discardBufferSize = 4 << 10

// DiscardUnread reads and drops the bytes that have arrived on a connection,
// without waiting for more. Closing a connection with unread bytes resets it, and
// the client may lose the last answer. It may be called from any goroutine, also
// while another one reads.
func DiscardUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(descriptor uintptr) { // not conn.Read, as another goroutine may be reading
		var buffer [discardBufferSize]byte
		for discarded := 0; discarded < LingerMaxBytes; {
			n, err := syscall.Read(int(descriptor), buffer[:])
			if err == syscall.EINTR {
				continue
			}
			if err != nil || n <= 0 {
				return
			}
			discarded += n
		}
	})
}

// WriteWithoutWaiting writes what the socket accepts at once, for a connection that is closed next, whether it fails or not.
// A deadline instead would lose the data if the goroutine were held up for as long.
func WriteWithoutWaiting(conn *net.TCPConn, data []byte) {
	conn.SetWriteDeadline(time.Time{}) // that of the last write has passed
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(descriptor uintptr) bool {
		_, _ = syscall.Write(int(descriptor), data)
		return true // without waiting for room
	})
}
