package proxy

import (
	"context"
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

const (
	resumeTimeout       = 20 * time.Second       // within which a request must be resumed
	resumeRetryInterval = 100 * time.Millisecond // between attempts to do so

	// resumeUnknownTimeout replaces resumeTimeout while the endpoint is not listed, or does
	// not know the request. The client may have sent a wrong name, and must be answered
	// within 3 s.
	resumeUnknownTimeout = 2 * time.Second
)

// resume reconnects a request that was open before the relay started to the endpoint that
// serves it, and reports whether it succeeded. No other endpoint can serve the request, so
// it retries while the endpoint is not listed or refuses. The balancer is involved only
// after the attempt has succeeded. It runs in the request's goroutine.
func (r *requestRun) resume(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	defer context.AfterFunc(r.proxy.rejecting, cancel)() // RejectPending also covers requests that are being resumed
	unknownTimer := time.AfterFunc(resumeUnknownTimeout, cancel)
	defer unknownTimer.Stop()
	if len(r.proxy.Endpoints.List()) == 0 {
		unknownTimer.Stop() // the first list has not arrived yet
	}
	for {
		id, known := r.proxy.Endpoints.Lookup(r.request.EndpointName)
		if endpoint, ok := r.proxy.Endpoints.Find(id); known && ok {
			r.proxy.Requests.SetStage(r.number, registry.StageAttempting, endpoint.ID)
			conn, status := r.connect(ctx, Attempt{Endpoint: endpoint, Timeout: resumeTimeout, Resume: true})
			if status != balancer.StatusError {
				unknownTimer.Stop() // the endpoint may know the request
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

// establishAt registers the request with the balancer as established at an endpoint, and
// starts a goroutine that pipes its connection.
func (r *requestRun) establishAt(endpoint registry.Endpoint, conn UpstreamConn) {
	r.request.RequestOptions.Endpoint = endpoint.ID
	r.handle = balancer.NewRequestHandle(r.request.RequestOptions)
	r.launch(r.ctx, func(ctx context.Context, attempt *attemptRun) balancer.AttemptStatus {
		return r.pipe(ctx, attempt, endpoint, conn)
	})
}
