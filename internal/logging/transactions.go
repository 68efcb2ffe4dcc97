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

// RequestObserver is an observer that logs the trouble of transactions: passes that
// fail, and answers that no client wants. Each line carries the transaction's number,
// front, class and server.
type RequestObserver struct {
	Log   *slog.Logger
	Clock proxy.Clock
	Name  func(balancer.EndpointID) string // of a server
}

// Began follows a transaction.
func (o *RequestObserver) Began(number uint64, ask proxy.Request) proxy.RequestObserver {
	return &followed{RequestObserver: o, number: number, front: ask.Front, class: ask.Class, tenant: ask.Tenant, name: ask.Name, began: o.Clock.Now()}
}

type followed struct {
	*RequestObserver
	number             uint64
	front, class, name string
	tenant             string // "" if it has none
	began              time.Duration

	last    atomic.Uint64 // reason and attempt of the last decision
	server  atomic.Uint32 // that it was last sent to
	sent    atomic.Bool
	decided atomic.Bool
}

// Decided notes why, in no time.
func (f *followed) Decided(d *balancer.Decision) {
	f.decided.Store(true)
	f.last.Store(uint64(d.Reason) | uint64(min(d.Attempt, 255))<<8)
}

func (f *followed) line(level slog.Level, message string, more ...any) {
	server := "-"
	if f.sent.Load() {
		server = f.Name(balancer.EndpointID(f.server.Load()))
	}
	args := append([]any{"number", f.number, "front", f.front, "name", f.name, "class", f.class, "server", server}, more...)
	if f.tenant != "" {
		args = append(args, "tenant", f.tenant)
	}
	if f.decided.Load() {
		last := f.last.Load()
		args = append(args, "reason", balancer.Reason(last&0xff).String(), "attempt", last>>8)
	}
	f.Log.Log(context.Background(), level, message, args...)
}

// AttemptStarted logs a pass that fails.
func (f *followed) AttemptStarted(server balancer.EndpointID) func(balancer.AttemptStatus) {
	f.server.Store(uint32(server))
	f.sent.Store(true)
	began := f.Clock.Now()
	return func(how balancer.AttemptStatus) {
		if how != balancer.StatusOK && how != balancer.StatusCancelled {
			f.line(slog.LevelInfo, "a pass has failed", "outcome", registry.StatusNames[how], "took", f.Clock.Now()-began)
		}
	}
}

// Established is no trouble.
func (f *followed) Established() {}

// Ended logs an answer that no client wants, and a connection that was lost.
func (f *followed) Ended(end proxy.Result) {
	took := f.Clock.Now() - f.began
	switch end.End {
	case registry.EndRejected:
		f.line(slog.LevelWarn, "a transaction is refused", "cause", end.Cause.String(), "come_back", end.RetryAfter, "took", took)
	case registry.EndFailed:
		f.line(slog.LevelWarn, "a transaction has failed", "took", took)
	case registry.EndHeartbeatTimeout:
		f.line(slog.LevelWarn, "a server has gone silent", "stood", took)
	case registry.EndMigrated:
		f.line(slog.LevelDebug, "a client is moved", "cause", end.Cause.String(), "stood", took)
	case registry.EndClosed:
		if end.Status != balancer.StatusOK && end.Status != balancer.StatusCancelled {
			f.line(slog.LevelInfo, "a connection is lost", "outcome", registry.StatusNames[end.Status], "stood", took)
		}
	}
}
