// Package listener holds what the fronts share; each wire has a package below it.
package listener

import (
	"context"
	"errors"
	"net"
	"syscall"

	"lockroad/balancer"
)

// Discard takes what has come on a connection and was not read, without waiting for more. It guards against a close over
// it, which would reset the connection, and lose the answer that was written last.
func Discard(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { // no read: another goroutine may be within one
		var b [4 << 10]byte
		for taken := 0; taken < LingerMaxBytes; {
			n, err := syscall.Read(int(fd), b[:])
			if err == syscall.EINTR {
				continue
			}
			if err != nil || n <= 0 {
				return
			}
			taken += n
		}
	})
}

// NotSentStatus is the outcome of a pass whose connection did not come up, or that was ended from here
// before anything of it was sent: whatever its server does, it has not run.
func NotSentStatus(ctx context.Context) balancer.AttemptStatus {
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balancer.StatusConnectFailed
	}
	return balancer.StatusNotSent
}

// BrokenStatus is the outcome of a pass that broke, or that was ended from here: ctx is
// the pass's own, with its time-out.
func BrokenStatus(ctx context.Context, broke balancer.AttemptStatus) balancer.AttemptStatus {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case ctx.Err() != nil:
		return balancer.StatusCancelled
	}
	return broke
}
