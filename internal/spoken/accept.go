// Package spoken holds what the fronts share; each wire has a package below it.
package spoken

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lockroad/balance"
)

// Accept hands the connections that come in to client, each on a goroutine of
// its own and at most so many at a time; those beyond go to full. It returns
// after the listener is closed and every client has been seen through.
func Accept(ctx context.Context, l net.Listener, most int, client, full func(context.Context, *net.TCPConn)) error {
	var all sync.WaitGroup
	defer all.Wait()
	places := make(chan struct{}, most)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a client that left in the queue: it passes
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		select {
		case places <- struct{}{}:
			all.Go(func() {
				defer func() { <-places }()
				client(ctx, conn.(*net.TCPConn))
			})
		default:
			full(ctx, conn.(*net.TCPConn))
			conn.Close()
		}
	}
}

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
