package proxy

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/registry"
)

// The causes with which an attempt's context is cancelled.
var (
	errRequestEnded     = errors.New("request ended")
	errHeartbeatTimeout = errors.New("endpoint heartbeat timeout")
	errMigrating        = errors.New("relay is shutting down")
	errHandedOff        = errors.New("connection handed off to another process")
)

// Attempt is one attempt to establish a request at an endpoint.
type Attempt struct {
	Endpoint registry.Endpoint
	Timeout  time.Duration // for the endpoint's answer
	NotAfter time.Duration // latest time on the proxy's clock to send it; 0: no limit
	Resume   bool          // reconnects to a request that was open at the endpoint before the relay started
	clock    Clock
}

// StillPermitted reports whether an attempt may still be sent. While its connection is
// dialled, the client may leave, the endpoint may begin to drain, and the time may end
// within which the endpoint recognizes a retry as a duplicate.
func (a Attempt) StillPermitted(ctx context.Context) bool {
	return ctx.Err() == nil && (a.Resume || !a.Endpoint.IsDraining()) && (a.NotAfter == 0 || a.clock.Now() < a.NotAfter)
}

// TimeLeft returns the remaining timeout of the attempt, which the frontend sends to the
// endpoint. ctx is the context that Downstream.Attempt was called with.
func (a Attempt) TimeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(a.Timeout, time.Until(deadline))
	}
	return a.Timeout
}

// attemptRun is an attempt in progress, or the connection that it has established. It
// runs in its own goroutine, which launch starts and stop waits for.
type attemptRun struct {
	cancel         context.CancelCauseFunc
	established    chan struct{}          // closed by the request's goroutine once the balancer confirms it
	clientNotified chan struct{}          // closed once the client knows that the request is established
	ended          chan struct{}          // closed once the attempt has ended and its connection is closed
	cause          error                  // cause of its context's cancellation, if any; set before ended is closed
	status         balancer.AttemptStatus // result; set before ended is closed

	connEnded      chan struct{} // closed once Downstream.Pipe has returned
	handoffDone    chan struct{} // closed once relocate has tried to hand the connection off
	relocated      chan struct{} // closed once relocate has returned or can no longer start; nil before it is established
	clientMigrated bool          // relocate has notified the client to migrate; set before relocated is closed
}

// stop cancels the attempt, if there is one, and waits until its connection is closed.
func (a *attemptRun) stop() {
	if a != nil {
		a.cancel(errRequestEnded)
		<-a.ended
	}
}

// migrate tells the client to migrate while its connection is still piped, so that writes
// in progress can complete. It first waits until the client knows that its request is
// established, as clients treat an earlier migration as a failure. It reports whether the
// client was notified.
func (a *attemptRun) migrate(downstream Downstream) bool {
	select {
	case <-a.clientNotified:
		return downstream.Migrate()
	case <-a.ended:
		return false
	}
}

// startAttempt starts an attempt at the endpoint that the balancer has picked.
func (r *requestRun) startAttempt(ctx context.Context, action balancer.RequestAction) {
	r.launch(ctx, func(ctx context.Context, attempt *attemptRun) balancer.AttemptStatus {
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
		return r.pipe(ctx, attempt, endpoint, conn)
	})
}

// launch runs an attempt in a new goroutine. It reports the attempt's end to the balancer
// only after the connection is closed, so that attempts never overlap.
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
	attempt := &attemptRun{
		cancel:         cancel,
		established:    make(chan struct{}),
		clientNotified: make(chan struct{}),
		ended:          make(chan struct{}),
	}
	r.current = attempt
	go func() {
		status := run(ctx, attempt)
		attempt.cause, attempt.status = context.Cause(ctx), status
		cancel(errRequestEnded)
		r.proxy.Counters.CountAttempt(status)
		close(attempt.ended)
		r.proxy.loop.Report(balancer.AttemptEnded{Handle: r.handle, Status: status})
	}()
}

// connect has the frontend execute an attempt within its timeout, or within the request's
// deadline if the attempt has none. It runs in the attempt's goroutine, or in the
// request's goroutine if the attempt resumes a request.
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
	assert.That((conn != nil) == (status == balancer.StatusOK), "an attempt returns a connection if and only if its status is OK")
	return conn, status
}

// pipe waits until the balancer confirms that the request is established, and then copies
// data between client and endpoint until the connection ends. It runs in the attempt's
// goroutine.
func (r *requestRun) pipe(ctx context.Context, attempt *attemptRun, endpoint registry.Endpoint, conn UpstreamConn) balancer.AttemptStatus {
	defer conn.Close()
	select {
	case <-attempt.established:
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
	r.proxy.Counters.Established.Add(1)
	r.proxy.Requests.SetStage(r.number, registry.StageEstablished, endpoint.ID)
	heartbeat := r.proxy.heartbeats.add(r.newHeartbeat(attempt, endpoint))
	defer r.proxy.heartbeats.remove(heartbeat)
	attempt.connEnded, attempt.handoffDone, attempt.relocated = make(chan struct{}), make(chan struct{}), make(chan struct{})
	cancelRelocation := context.AfterFunc(r.proxy.migrating, func() { r.relocate(ctx, attempt, heartbeat, endpoint) })
	defer attempt.finishRelocation(cancelRelocation)
	status := r.downstream.Pipe(ctx, conn, heartbeat)
	if errors.Is(context.Cause(ctx), errHeartbeatTimeout) {
		return balancer.StatusReset
	}
	return status
}

// newHeartbeat returns a heartbeat that monitors an established connection, reports its
// load and delay to the balancer, and cancels the attempt on timeout.
func (r *requestRun) newHeartbeat(attempt *attemptRun, endpoint registry.Endpoint) *Heartbeat {
	proxy := r.proxy
	return &Heartbeat{
		endpoint:        endpoint.ID,
		clientNotified:  attempt.clientNotified,
		class:           r.class,
		unansweredSince: r.unansweredSince,
		reportedLoad:    r.request.ExpectedLoad,
		onTimeout:       func() { attempt.cancel(errHeartbeatTimeout) },
		onLoad:          func(load float64) { proxy.loop.Report(balancer.LoadReport{Handle: r.handle, Load: load}) },
		onDelay: func(delay time.Duration) {
			proxy.heartbeats.recordSelfReport(endpoint.ID, delay)
			proxy.loop.Report(balancer.DelayReport{Endpoint: endpoint.ID, Delay: delay})
		},
	}
}

// relocate hands an established connection off to another process, or migrates its client,
// at its time in the migration window. It runs in its own goroutine, which starts when
// Proxy.migrating is cancelled and which finishRelocation waits for.
//
// It waits for that time before it pauses the connection, to keep the pause short: neither
// data nor the end of a stream is forwarded meanwhile. With the wait after the pause, the end
// of a stream was forwarded up to 1.6 s late.
func (r *requestRun) relocate(ctx context.Context, attempt *attemptRun, heartbeat *Heartbeat, endpoint registry.Endpoint) {
	defer close(attempt.relocated)
	r.proxy.waitForRelocation(ctx, attempt.connEnded, r.number)
	handedOff := r.handOff(attempt, heartbeat, endpoint)
	close(attempt.handoffDone)
	select {
	case <-attempt.connEnded: // client or endpoint has closed it
		return
	default:
	}
	if handedOff {
		attempt.cancel(errHandedOff)
		return
	}
	attempt.clientMigrated = attempt.migrate(r.downstream)
	attempt.cancel(errMigrating)
}

// finishRelocation signals that the connection has ended, and waits for a handoff in
// progress: the sockets must stay open while they are sent to another process. cancel
// prevents relocate from starting, and reports whether it did.
func (a *attemptRun) finishRelocation(cancel func() bool) {
	close(a.connEnded)
	if cancel() {
		close(a.relocated)
	} else {
		<-a.handoffDone
	}
}
