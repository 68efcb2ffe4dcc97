package console

import (
	"net"
	"os/user"
	"strconv"

	"golang.org/x/sys/unix"
)

// unknownUser is the name of a client whose credentials the kernel does not provide.
const unknownUser = "unknown"

// peerUser returns the name of the user at the other end of a connection, or "uid N" if the user ID
// has no account.
func peerUser(conn net.Conn) string {
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return unknownUser
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return unknownUser
	}
	name := unknownUser
	raw.Control(func(fd uintptr) {
		credentials, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		if err != nil {
			return
		}
		uid := strconv.Itoa(int(credentials.Uid))
		name = "uid " + uid
		if account, err := user.LookupId(uid); err == nil {
			name = account.Username
		}
	})
	return name
}
