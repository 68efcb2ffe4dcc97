package proxy

import (
	"context"
	"net"
	"time"

	"lockroad/internal/registry"
)

// Admit reports whether a request from a client's address is within the quotas. If so,
// the frontend calls release once the request has ended; otherwise release is nil and the
// frontend calls Reject.
func (p *Proxy) Admit(address net.Addr, request Request) (release func(), ok bool) {
	if p.Quota == nil {
		return func() {}, true
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	release, reason, ok := p.Quota.Acquire(p.Clock.Now(), host, request.Class)
	if !ok {
		p.Log.Debug("request exceeds quota", "address", host, "class", request.Class, "limit", reason)
	}
	return release, ok
}

// Reject counts a request that a frontend does not pass to Serve, because no admission
// slot is free or a quota is exceeded, and notifies the observers. It returns how long the
// client should wait before it retries.
func (p *Proxy) Reject(ctx context.Context, request Request, cause EndCause) (retryAfter time.Duration) {
	retryAfter = p.loop.RetryAfter(ctx)
	p.Metrics.Class(request.Class).CountRejected()
	if len(p.observers) > 0 {
		observer := p.observers.requestStarted(p.Requests.NextNumber(), request)
		observer.Ended(Result{End: registry.EndRejected, Cause: cause, RetryAfter: retryAfter})
	}
	return retryAfter
}
