// Package spoken holds what the fronts share; each wire has a package below it.
package spoken

import (
	"context"
	"errors"

	"lockroad/balance"
)

// Ended is the outcome of a pass that broke, or that was ended from here: ctx is
// the pass's own, with its time-out.
func Ended(ctx context.Context, broke balance.Status) balance.Status {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Timeout
	case ctx.Err() != nil:
		return balance.Cancelled
	}
	return broke
}
