package logging

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// RequestObserver is a proxy.Observer that logs failed attempts, rejected, failed and migrated
// requests, and lost connections. Each line has the request's number, frontend, name, class and
// last endpoint, and the reason of the last decision. The proxy calls it from the goroutines
// that serve requests.
type RequestObserver struct {
	Log          *slog.Logger
	Clock        proxy.Clock
	EndpointName func(balancer.EndpointID) string // returns an endpoint's name; must be safe for concurrent use
}

// RequestStarted returns the observer of one request.
func (o *RequestObserver) RequestStarted(number uint64, request proxy.Request) proxy.RequestObserver {
	return &requestLogger{
		RequestObserver: o,
		number:          number,
		front:           request.Frontend,
		class:           request.Class,
		tenant:          request.Tenant,
		requestName:     request.Name,
		startedAt:       o.Clock.Now(),
	}
}

// requestLogger is the observer of one request. The balancer's goroutine calls Decided and the
// request's goroutine the other methods; they share the atomic fields.
type requestLogger struct {
	*RequestObserver
	number                    uint64
	front, class, requestName string
	tenant                    string // "" if it has none
	startedAt                 time.Duration

	lastDecision atomic.Uint64 // reason in the low 8 bits, attempt number above
	lastEndpoint atomic.Uint32 // of the last attempt
	attempted    atomic.Bool   // lastEndpoint is set
	decided      atomic.Bool   // lastDecision is set
}

// Decided records the reason of a decision. It neither blocks nor allocates, because it runs in
// the balancer's goroutine.
func (r *requestLogger) Decided(decision *balancer.Decision) {
	r.decided.Store(true)
	r.lastDecision.Store(uint64(decision.Reason) | uint64(min(decision.Attempt, 255))<<8)
}

// log logs a line with the attributes of the request and extra ones.
func (r *requestLogger) log(level slog.Level, message string, extra ...any) {
	endpoint := "-"
	if r.attempted.Load() {
		endpoint = r.EndpointName(balancer.EndpointID(r.lastEndpoint.Load()))
	}
	attributes := append([]any{"number", r.number, "front", r.front, "name", r.requestName, "class", r.class, "server", endpoint}, extra...)
	if r.tenant != "" {
		attributes = append(attributes, "tenant", r.tenant)
	}
	if r.decided.Load() {
		decision := r.lastDecision.Load()
		attributes = append(attributes, "reason", balancer.Reason(decision&0xff).String(), "attempt", decision>>8)
	}
	r.Log.Log(context.Background(), level, message, attributes...)
}

// AttemptStarted returns a function that logs the attempt if it has failed.
func (r *requestLogger) AttemptStarted(endpoint balancer.EndpointID) func(balancer.AttemptStatus) {
	r.lastEndpoint.Store(uint32(endpoint))
	r.attempted.Store(true)
	startedAt := r.Clock.Now()
	return func(status balancer.AttemptStatus) {
		if status != balancer.StatusOK && status != balancer.StatusCancelled {
			r.log(slog.LevelInfo, "attempt failed", "outcome", registry.StatusNames[status], "took", r.Clock.Now()-startedAt)
		}
	}
}

// Established logs nothing.
func (r *requestLogger) Established() {}

// Ended logs a rejection, a failure, a migration or a lost connection.
func (r *requestLogger) Ended(result proxy.Result) {
	elapsed := r.Clock.Now() - r.startedAt
	switch result.End {
	case registry.EndRejected:
		r.log(slog.LevelWarn, "request rejected", "cause", result.Cause.String(), "come_back", result.RetryAfter, "took", elapsed)
	case registry.EndFailed:
		r.log(slog.LevelWarn, "request failed", "took", elapsed)
	case registry.EndHeartbeatTimeout:
		r.log(slog.LevelWarn, "heartbeat timeout", "stood", elapsed)
	case registry.EndMigrated:
		r.log(slog.LevelDebug, "client migrated", "cause", result.Cause.String(), "stood", elapsed)
	case registry.EndClosed:
		if result.Status != balancer.StatusOK && result.Status != balancer.StatusCancelled {
			r.log(slog.LevelInfo, "connection lost", "outcome", registry.StatusNames[result.Status], "stood", elapsed)
		}
	}
}
