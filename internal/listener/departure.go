package listener

import (
	"net"

	"golang.org/x/sys/unix"
)

// HasPeerClosed reports whether the peer has closed its side of a connection, or reset it, also if not all that it has sent
// was read. It may be called from any goroutine, also while another one reads.
func HasPeerClosed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(poll, 0); err == nil && n > 0 {
			closed = true
		}
	})
	return closed || err != nil
}
