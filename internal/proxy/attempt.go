package proxy

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/registry"
)

// Why an attempt's context was cancelled.
var (
	errRequestEnded     = errors.New("request ended")
	errHeartbeatTimeout = errors.New("endpoint heartbeat timeout")
	errMigrating        = errors.New("relay is shutting down")
	errHandedOff        = errors.New("connection handed off to another process")
)

// Attempt is one attempt to establish a request at an endpoint.
type Attempt struct {
	Endpoint registry.Endpoint
	Timeout  time.Duration // for the answer
	NotAfter time.Duration // on the proxy's clock: it isn't sent later; 0: at any time
	Resume   bool          // the request has been open at the endpoint since before the relay's start
	clock    Clock
}

// StillPermitted reports whether an attempt may still be sent. A connection can come up
// late: since the attempt was picked its client may have left, its endpoint may have
// begun to drain, and a retry may have left the time within which the endpoint
// recognizes it as one.
func (a Attempt) StillPermitted(ctx context.Context) bool {
	return ctx.Err() == nil && (a.Resume || !a.Endpoint.IsDraining()) && (a.NotAfter == 0 || a.clock.Now() < a.NotAfter)
}

// TimeLeft returns how long the answer is still waited for, which is what the endpoint
// is told. ctx is the one that Downstream.Attempt was called with.
func (a Attempt) TimeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(a.Timeout, time.Until(deadline))
	}
	return a.Timeout
}

// attemptRun is an attempt that is out, or the connection that it became. It has a
// goroutine of its own, which launch starts and stop waits for.
type attemptRun struct {
	cancel         context.CancelCauseFunc
	established    chan struct{}          // closed by the request's goroutine once the balancer has it established
	clientNotified chan struct{}          // closed once the client was notified of that
	ended          chan struct{}          // closed once the connection is closed
	cause          error                  // why it was cancelled here; set before ended is closed
	status         balancer.AttemptStatus // how it ended; set before ended is closed

	connEnded      chan struct{} // closed once Downstream.Pipe has returned
	handoffDone    chan struct{} // closed once no handoff of it is, or will be, in progress
	relocated      chan struct{} // closed once its turn to depart is over or won't come; nil if it was never established
	clientMigrated bool          // its client was notified to migrate in that turn; set before departed is closed
}

// stop cancels the attempt, and waits until its connection is closed.
func (a *attemptRun) stop() {
	if a != nil {
		a.cancel(errRequestEnded)
		<-a.ended
	}
}

// migrate migrates the client while its connection is still piped, so that what is
// being sent can end. It waits until the client was notified that it is established:
// the other order reads as a failure. It reports whether the client was notified.
func (a *attemptRun) migrate(downstream Downstream) bool {
	select {
	case <-a.clientNotified:
		return downstream.Migrate()
	case <-a.ended:
		return false
	}
}

// startAttempt starts an attempt that the balancer has picked.
func (r *requestRun) startAttempt(ctx context.Context, action balancer.RequestAction) {
	r.launch(ctx, func(ctx context.Context, a *attemptRun) balancer.AttemptStatus {
		endpoint, ok := r.proxy.Endpoints.Find(action.Endpoint)
		if !ok {
			return balancer.StatusNotSent
		}
		r.proxy.Requests.SetStage(r.number, registry.StageAttempting, endpoint.ID)
		started := r.proxy.Clock.Now()
		conn, status := r.connect(ctx, Attempt{Endpoint: endpoint, Timeout: action.Wait, NotAfter: action.NotAfter})
		if status != balancer.StatusOK {
			return status
		}
		r.proxy.loop.Report(balancer.AttemptEstablished{Handle: r.handle, SetupTime: r.proxy.Clock.Now() - started})
		return r.pipe(ctx, a, endpoint, conn)
	})
}

// launch runs an attempt in a goroutine of its own. The attempt's end is reported only
// after its connection is closed, so that no other starts before.
func (r *requestRun) launch(ctx context.Context, run func(context.Context, *attemptRun) balancer.AttemptStatus) {
	if r.current != nil {
		select {
		case <-r.current.ended:
		default:
			assert.That(false, "at most one attempt is in progress")
			r.current.stop()
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attemptRun{
		cancel:         cancel,
		established:    make(chan struct{}),
		clientNotified: make(chan struct{}),
		ended:          make(chan struct{}),
	}
	r.current = a
	go func() {
		status := run(ctx, a)
		a.cause, a.status = context.Cause(ctx), status
		cancel(errRequestEnded)
		r.proxy.Counters.CountAttempt(status)
		close(a.ended)
		r.proxy.loop.Report(balancer.AttemptEnded{Handle: r.handle, Status: status})
	}()
}

// connect makes the frontend carry out an attempt within its timeout, or within the
// request's deadline if it has none. The attempt's goroutine calls it, or for a resumed
// connection the request's.
func (r *requestRun) connect(ctx context.Context, attempt Attempt) (UpstreamConn, balancer.AttemptStatus) {
	attempt.clock = r.proxy.Clock
	if attempt.Timeout <= 0 {
		attempt.Timeout = r.handle.TimeLeft(attempt.clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	observeEnd := r.observers.AttemptStarted(attempt.Endpoint.ID)
	conn, status := r.downstream.Attempt(ctx, attempt)
	observeEnd(status)
	assert.That((conn != nil) == (status == balancer.StatusOK), "an attempt returns a connection exactly when it is established")
	return conn, status
}

// pipe waits until the balancer has the connection established, and then pipes it to its
// end. The attempt's goroutine calls it.
func (r *requestRun) pipe(ctx context.Context, a *attemptRun, endpoint registry.Endpoint, conn UpstreamConn) balancer.AttemptStatus {
	defer conn.Close()
	select {
	case <-a.established:
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
	r.proxy.Counters.Established.Add(1)
	r.proxy.Requests.SetStage(r.number, registry.StageEstablished, endpoint.ID)
	heartbeat := r.proxy.heartbeats.add(r.newHeartbeat(a, endpoint))
	defer r.proxy.heartbeats.remove(heartbeat)
	a.connEnded, a.handoffDone, a.relocated = make(chan struct{}), make(chan struct{}), make(chan struct{})
	cancelDeparture := context.AfterFunc(r.proxy.migrating, func() { r.relocate(ctx, a, heartbeat, endpoint) })
	defer a.finishRelocation(cancelDeparture)
	status := r.downstream.Pipe(ctx, conn, heartbeat)
	if errors.Is(context.Cause(ctx), errHeartbeatTimeout) {
		return balancer.StatusReset
	}
	return status
}

// newHeartbeat returns the heartbeat of an attempt's connection.
func (r *requestRun) newHeartbeat(a *attemptRun, endpoint registry.Endpoint) *Heartbeat {
	p := r.proxy
	return &Heartbeat{
		endpoint:        endpoint.ID,
		clientNotified:  a.clientNotified,
		class:           r.class,
		unansweredSince: r.unansweredSince,
		reportedLoad:    r.request.ExpectedLoad,
		onTimeout:       func() { a.cancel(errHeartbeatTimeout) },
		onLoad:          func(load float64) { p.loop.Report(balancer.LoadReport{Handle: r.handle, Load: load}) },
		onDelay: func(delay time.Duration) {
			p.heartbeats.recordSelfReport(endpoint.ID, delay)
			p.loop.Report(balancer.DelayReport{Endpoint: endpoint.ID, Delay: delay})
		},
	}
}

// relocate hands the connection off or migrates its client, once all established requests
// are to relocate. It runs in a goroutine of its own, which finishDeparture waits for.
//
// The request's turn comes first: once its connection is paused nothing passes, and what
// can't be handed off is migrated right away. With the turn after the pause, a side's end
// was passed on up to 1.6 s late.
func (r *requestRun) relocate(ctx context.Context, a *attemptRun, heartbeat *Heartbeat, endpoint registry.Endpoint) {
	defer close(a.relocated)
	r.proxy.waitForRelocation(ctx, a.connEnded, r.number)
	handedOff := r.handOff(a, heartbeat, endpoint)
	close(a.handoffDone)
	select {
	case <-a.connEnded: // it has ended by itself
		return
	default:
	}
	if handedOff {
		a.cancel(errHandedOff)
		return
	}
	a.clientMigrated = a.migrate(r.downstream)
	a.cancel(errMigrating)
}

// finishRelocation notes the connection's end, and waits for a handoff in progress:
// nothing of the connection is closed while it may be on its way to another process.
// cancel keeps depart from running, unless it already does.
func (a *attemptRun) finishRelocation(cancel func() bool) {
	close(a.connEnded)
	if cancel() {
		close(a.relocated)
	} else {
		<-a.handoffDone
	}
}
