package listener

import (
	"context"
	"errors"

	"lockroad/balancer"
)

// NotSentStatus returns the status of an attempt whose connection was not
// established, or that was cancelled before anything of it was sent: whatever
// its endpoint does, it has not run. ctx is the attempt's own.
func NotSentStatus(ctx context.Context) balancer.AttemptStatus {
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balancer.StatusConnectFailed
	}
	return balancer.StatusNotSent
}

// BrokenStatus returns the status of an attempt that broke, or that was
// cancelled: ctx is the attempt's own, with its timeout, and broken the status
// if neither that nor a cancellation ended it.
func BrokenStatus(ctx context.Context, broken balancer.AttemptStatus) balancer.AttemptStatus {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case ctx.Err() != nil:
		return balancer.StatusCancelled
	}
	return broken
}
