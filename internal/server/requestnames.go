package server

import (
	"context"
	"time"

	"lockroad/internal/registry"
)

// A successor refuses the names of requests that are open in this process. A client whose request has ended here, for
// example because it was migrated, may use the name again at once.

// releaseInterval is the time between two looks at which requests have ended. Clients return after some 50 ms at the
// earliest.
const releaseInterval = 20 * time.Millisecond

// releaseNames tells the successor of requests that have ended here, whenever one serves the clients. It returns once
// ctx is cancelled.
func (r *relay) releaseNames(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.handoverBegun:
		}
		reserved := make(map[registry.RequestName]struct{})
		if offered := r.offeredNames.Load(); offered != nil {
			for _, name := range *offered {
				reserved[name] = struct{}{}
			}
		}
		for ctx.Err() == nil && r.handedOver.Load() && len(reserved) > 0 {
			r.releaseEnded(ctx, reserved)
			sleep(ctx, releaseInterval)
		}
	}
}

// releaseEnded releases the names of requests that have ended, at the successor and in reserved.
func (r *relay) releaseEnded(ctx context.Context, reserved map[registry.RequestName]struct{}) {
	open := make(map[registry.RequestName]struct{})
	for _, name := range r.proxy.Requests.Names() {
		open[name] = struct{}{}
	}
	var ended []registry.RequestName
	for name := range reserved {
		if _, isOpen := open[name]; !isOpen {
			ended = append(ended, name)
		}
	}
	if len(ended) == 0 {
		return
	}
	served, err := r.callSuccessor(ctx, methodEnded, endedCall{Names: ended}, nil)
	if err != nil || !served {
		return // repeated with the next look; a newer process may serve by then
	}
	for _, name := range ended {
		delete(reserved, name)
	}
}
