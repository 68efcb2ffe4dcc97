package proxy

import (
	"context"
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

const (
	resumeTimeout       = 20 * time.Second       // a connection from before the start may take this long to be established again
	resumeRetryInterval = 100 * time.Millisecond // between two attempts to do so

	// A request whose endpoint no list has named, or that its endpoint doesn't know, may
	// be a faulty client's, which is owed an answer within 3 s.
	resumeUnknownTimeout = 2 * time.Second
)

// resume establishes again a connection that was open before the relay's start: at its
// endpoint and no other; for the balancer it has been established all along. The
// connection is lost if this fails, so an endpoint that isn't known yet, or has no room
// for a moment, is tried again. It reports whether the request is established; the
// request's goroutine calls it.
func (r *requestRun) resume(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	defer context.AfterFunc(r.proxy.rejecting, cancel)() // it is rejected before the process ends
	unknown := time.AfterFunc(resumeUnknownTimeout, cancel)
	defer unknown.Stop()
	if len(r.proxy.Endpoints.List()) == 0 {
		unknown.Stop() // the list itself is still to come
	}
	for {
		id, named := r.proxy.Endpoints.Lookup(r.request.EndpointName)
		if endpoint, ok := r.proxy.Endpoints.Find(id); named && ok {
			r.proxy.Requests.SetStage(r.number, registry.StageAttempting, endpoint.ID)
			conn, status := r.connect(ctx, Attempt{Endpoint: endpoint, Timeout: resumeTimeout, Resume: true})
			if status != balancer.StatusError {
				unknown.Stop() // it may yet succeed
			}
			if status == balancer.StatusOK {
				r.establishAt(endpoint, conn)
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(resumeRetryInterval):
		}
	}
}

// establishAt makes the balancer hold the request as established at an endpoint, and
// pipes its connection in an attempt's goroutine.
func (r *requestRun) establishAt(endpoint registry.Endpoint, conn UpstreamConn) {
	r.request.RequestOptions.Endpoint = endpoint.ID
	r.handle = balancer.NewRequestHandle(r.request.RequestOptions)
	r.launch(r.ctx, func(ctx context.Context, a *attemptRun) balancer.AttemptStatus {
		return r.pipe(ctx, a, endpoint, conn)
	})
}
