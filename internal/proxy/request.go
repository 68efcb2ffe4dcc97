package proxy

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
	"lockroad/internal/registry"
)

// Request is a client's request, as a frontend has read it.
type Request struct {
	balancer.RequestOptions
	Frontend     string // the frontend's name
	Name         string // given by the client; unique among the open requests of a frontend
	Class        string
	Tenant       string // name in the settings; "" if they define no tenant for it
	EndpointName string // the endpoint at which the request is already open, if Established
}

// Serve serves a request in the calling goroutine, and returns once its client is
// answered and, if it was established, its connection has ended. The frontend cancels
// ctx when the client has left, which ends the request.
func (p *Proxy) Serve(ctx context.Context, request Request, downstream Downstream) {
	now := p.Clock.Now()
	if request.Settings == nil {
		request.Settings = p.Settings()
	}
	number, ok := p.Requests.Add(registry.Request{
		Frontend: request.Frontend, Name: request.Name, Class: request.Class, Since: now,
	})
	if !ok {
		// The client uses the name of an open request. If it were forwarded, each endpoint
		// would reject it, and the balancer would count those errors against the endpoints
		// and drop the route of the open request's group.
		p.ProtocolError(request.Frontend, "a client used the name of an open transaction")
		downstream.BadRequest("a transaction of this name is open")
		p.Metrics.Class(request.Class).CountFailed()
		return
	}
	p.Counters.Requests.Add(1)
	// The deadline of the class is an upper bound: otherwise a client could hold its
	// admission slot indefinitely.
	request.Deadline = min(request.Deadline, now+maxTimeout(request))
	p.serve(ctx, number, request, downstream, func(r *requestRun) bool { return r.resume(ctx) })
}

// maxTimeout returns the longest time that a request may wait for its answer, which its
// class defines.
func maxTimeout(request Request) time.Duration {
	class := request.RequestOptions.Class
	if class >= 0 && class < len(request.Settings.Classes) {
		return request.Settings.Classes[class].Deadline
	}
	return 0
}

// serve runs a request that has been added to the registry. If the request is already
// established, resume connects it to its endpoint first, and reports whether it succeeded.
func (p *Proxy) serve(ctx context.Context, number uint64, request Request, downstream Downstream, resume func(*requestRun) bool) {
	run := &requestRun{
		proxy:      p,
		downstream: downstream,
		request:    request,
		number:     number,
		class:      p.Metrics.Class(request.Class),
	}
	defer p.Requests.Remove(run.number)
	p.Metrics.ActiveRequests.Add(1)
	defer p.Metrics.ActiveRequests.Add(-1)
	run.observers = p.observers.requestStarted(number, request)
	if len(run.observers) > 0 {
		run.request.Observer = run.observers
	}
	run.handle = balancer.NewRequestHandle(run.request.RequestOptions)
	result := run.run(ctx, resume)
	run.current.stop()
	p.Counters.CountEnd(result.End)
	run.observers.Ended(result)
}

// requestRun is the state of one request while it is served. The request's goroutine,
// which called Serve or Adopt, owns it; an attempt's goroutine only reads the fields that
// are set before it starts.
type requestRun struct {
	proxy      *Proxy
	downstream Downstream
	request    Request
	handle     *balancer.RequestHandle
	number     uint64
	class      *metrics.ClassCounters
	observers  requestObservers
	current    *attemptRun // the attempt started last; nil before the first

	ctx     context.Context // cancelled when the client leaves
	waitCtx context.Context // for Loop.NextAction: until the request is established, also cancelled by RejectPending
	cause   EndCause        // CauseShutdown once RejectPending has interrupted the wait

	unansweredSince time.Duration // time of an adopted request's oldest unanswered client message; 0: none
}

// run executes the balancer's actions until the request has ended.
func (r *requestRun) run(ctx context.Context, resume func(*requestRun) bool) Result {
	r.ctx = ctx
	if r.request.Established && !resume(r) {
		r.reject(0)
		return Result{End: registry.EndRejected, Cause: CauseResumeFailed}
	}
	waitCtx, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	if !r.request.Established {
		defer context.AfterFunc(r.proxy.rejecting, stopWaiting)()
	}
	r.waitCtx, r.cause = waitCtx, CauseDecided
	for {
		action, err := r.proxy.loop.NextAction(r.waitCtx, r.handle)
		if err != nil {
			if ctx.Err() != nil {
				return r.finishClientLeft()
			}
			r.requireAnswer()
			continue
		}
		if result, ended := r.execute(action); ended {
			return result
		}
	}
}

// execute executes an action that the balancer has picked, and reports whether that ended
// the request.
func (r *requestRun) execute(action balancer.RequestAction) (result Result, ended bool) {
	switch action.Kind {
	case balancer.ActionAttempt:
		if r.cause != CauseShutdown { // else the balancer's final answer follows
			r.startAttempt(r.ctx, action)
		}
	case balancer.ActionEstablished:
		r.observers.Established()
		r.waitCtx = r.ctx // RejectPending does not concern established requests
		close(r.current.established)
	case balancer.ActionReject:
		return r.finishRejected(action), true
	case balancer.ActionFail:
		r.downstream.Fail()
		r.class.CountFailed()
		return Result{End: registry.EndFailed, Cause: r.cause}, true
	case balancer.ActionMigrate:
		r.current.migrate(r.downstream)
		return Result{End: registry.EndMigrated, Status: balancer.StatusCancelled}, true
	case balancer.ActionClosed:
		return r.finishClosed(), true
	}
	return Result{}, false
}

// finishClientLeft ends a request whose client has left.
func (r *requestRun) finishClientLeft() Result {
	r.current.stop()
	r.proxy.loop.Report(balancer.ClientDisconnected{Handle: r.handle})
	return Result{End: registry.EndClientLeft, Status: balancer.StatusCancelled}
}

// requireAnswer makes the balancer answer the request at once, because RejectPending was
// called. The balancer chooses the answer: an attempt may have been executed by its
// endpoint, or just have been established.
func (r *requestRun) requireAnswer() {
	r.proxy.loop.Report(balancer.RequireAnswer{Handle: r.handle})
	r.waitCtx, r.cause = r.ctx, CauseShutdown
}

// finishRejected ends a request that the balancer has rejected.
func (r *requestRun) finishRejected(action balancer.RequestAction) Result {
	retryAfter := action.Wait
	if r.cause == CauseShutdown {
		retryAfter = 0 // another relay may accept it at once
	}
	r.reject(retryAfter)
	return Result{End: registry.EndRejected, Cause: r.cause, RetryAfter: retryAfter}
}

// reject sends the client a rejection, and counts it.
func (r *requestRun) reject(retryAfter time.Duration) {
	r.downstream.Reject(retryAfter)
	r.class.CountRejected()
}

// finishClosed waits until the connection of an established request is closed, and
// returns why it was closed.
func (r *requestRun) finishClosed() Result {
	last := r.current
	<-last.ended
	if last.relocated != nil {
		// The endpoint may close the connection during the relocation. The request then
		// counts as migrated if its client was notified of the migration.
		<-last.relocated
	}
	switch {
	case errors.Is(last.cause, errHeartbeatTimeout):
		r.downstream.Migrate()
		return Result{End: registry.EndHeartbeatTimeout, Cause: CauseHeartbeatTimeout, Status: last.status}
	case last.clientMigrated:
		return Result{End: registry.EndMigrated, Cause: CauseShutdown, Status: last.status}
	case errors.Is(last.cause, errHandedOff):
		return Result{End: registry.EndHandedOff, Cause: CauseShutdown, Status: last.status}
	}
	return Result{End: registry.EndClosed, Status: last.status}
}
