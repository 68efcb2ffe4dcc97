package proxy

import (
	"context"
	"net"
	"time"

	"lockroad/internal/registry"
)

// Admit reports whether a request from a client's address is within the quotas. If so,
// release is called once the request has ended; otherwise release is nil, and the
// frontend rejects the request.
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
		p.Log.Debug("client over quota", "address", host, "class", request.Class, "limit", reason)
	}
	return release, ok
}

// Reject counts and observes a request that a frontend doesn't serve, as it has no
// admission slot or exceeds a quota. It returns how long the client should wait before
// it retries.
func (p *Proxy) Reject(ctx context.Context, request Request, cause EndCause) (retryAfter time.Duration) {
	retryAfter = p.loop.RetryAfter(ctx)
	p.Metrics.Class(request.Class).CountRejected()
	if len(p.observers) > 0 {
		observer := p.observers.requestStarted(p.Requests.NextNumber(), request)
		observer.Ended(Result{End: registry.EndRejected, Cause: cause, RetryAfter: retryAfter})
	}
	return retryAfter
}
