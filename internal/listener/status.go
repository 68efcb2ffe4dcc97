package listener

import (
	"context"
	"errors"

	"lockroad/balancer"
)

// NotSentStatus returns the status of an attempt that ended before any of it was sent,
// because connecting failed or it was cancelled. The endpoint has not executed it.
// ctx is the attempt's context.
func NotSentStatus(ctx context.Context) balancer.AttemptStatus {
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balancer.StatusConnectFailed
	}
	return balancer.StatusNotSent
}

// FailedStatus returns the status of an attempt that failed after it was sent:
// StatusTimeout or StatusCancelled if that ended it, otherwise fallback. ctx is the
// attempt's context, with its timeout.
func FailedStatus(ctx context.Context, fallback balancer.AttemptStatus) balancer.AttemptStatus {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.StatusTimeout
	case ctx.Err() != nil:
		return balancer.StatusCancelled
	}
	return fallback
}
