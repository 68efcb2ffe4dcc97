package proxy

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
	"lockroad/internal/registry"
)

// Request is a client's request as a frontend hands it over.
type Request struct {
	balancer.RequestOptions
	Frontend     string // the frontend's name
	Name         string // as the client calls it; no two open requests of a frontend share one
	Class        string
	Tenant       string // by its name in the settings; "" where they name none
	EndpointName string // the endpoint that already has the request open, if Established
}

// Serve serves a request in the calling goroutine, and returns once its client is
// answered and, if it was established, its connection has ended. It ends early when ctx
// does, which says that the client has left.
func (p *Proxy) Serve(ctx context.Context, request Request, downstream Downstream) {
	now := p.Clock.Now()
	if request.Settings == nil {
		request.Settings = p.Settings()
	}
	number, ok := p.Requests.Add(registry.Request{
		Frontend: request.Frontend, Name: request.Name, Class: request.Class, Since: now,
	})
	if !ok {
		// A client uses the name of another's open request. Were it sent on, one endpoint
		// after another would reject it and be blamed for that, and the route of the
		// other's group would be dropped.
		p.ProtocolError(request.Frontend, "a transaction of this name is open")
		downstream.BadRequest("a transaction of this name is open")
		p.Metrics.Class(request.Class).CountFailed()
		return
	}
	p.Counters.Requests.Add(1)
	// A client that asks for a longer deadline than its class has would hold its
	// admission slot for as long as it likes.
	request.Deadline = min(request.Deadline, now+maxWait(request))
	p.serve(ctx, number, request, downstream, func(r *requestRun) bool { return r.resume(ctx) })
}

// maxWait returns the longest time that a client may wait, by its request's class.
func maxWait(request Request) time.Duration {
	class := request.RequestOptions.Class
	if class >= 0 && class < len(request.Settings.Classes) {
		return request.Settings.Classes[class].Deadline
	}
	return 0
}

// serve runs a request that was entered into the registry. One that is already
// established is first brought back to that state by establish.
func (p *Proxy) serve(ctx context.Context, number uint64, request Request, downstream Downstream, establish func(*requestRun) bool) {
	r := &requestRun{
		proxy:      p,
		downstream: downstream,
		request:    request,
		number:     number,
		class:      p.Metrics.Class(request.Class),
	}
	defer p.Requests.Remove(r.number)
	p.Metrics.ActiveRequests.Add(1)
	defer p.Metrics.ActiveRequests.Add(-1)
	r.observers = p.observers.begin(number, request)
	if len(r.observers) > 0 {
		r.request.Observer = r.observers
	}
	r.handle = balancer.NewRequestHandle(r.request.RequestOptions)
	result := r.run(ctx, establish)
	r.current.stop()
	p.Counters.CountEnd(result.End)
	r.observers.Ended(result)
}

// requestRun is the run of one request. All of it belongs to the request's goroutine,
// which called Serve or Adopt; an attempt's goroutine only reads the fields that are set
// before it starts.
type requestRun struct {
	proxy      *Proxy
	downstream Downstream
	request    Request
	handle     *balancer.RequestHandle
	number     uint64
	class      *metrics.ClassCounters
	observers  requestObservers
	current    *attemptRun // the last one started; nil before the first

	ctx     context.Context // ends when the client leaves
	waitCtx context.Context // while it waits for an action: also ends once the process rejects pending requests
	cause   EndCause        // CauseShutdown once the process rejects pending requests

	unansweredSince time.Duration // of a request handed over: since when its client awaits an echo; 0 if it doesn't
}

// run carries out the balancer's actions until the request has ended.
func (r *requestRun) run(ctx context.Context, establish func(*requestRun) bool) Result {
	r.ctx = ctx
	if r.request.Established && !establish(r) {
		r.reject(0)
		return Result{End: registry.EndRejected, Cause: CauseNotOpen}
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
				return r.clientLeft()
			}
			r.requireAnswer()
			continue
		}
		if result, ended := r.carryOut(action); ended {
			return result
		}
	}
}

// carryOut carries out one action of the balancer's. It reports whether the request has
// ended with it.
func (r *requestRun) carryOut(action balancer.RequestAction) (result Result, ended bool) {
	switch action.Kind {
	case balancer.ActionAttempt:
		if r.cause != CauseShutdown { // else it is about to be answered
			r.startAttempt(r.ctx, action)
		}
	case balancer.ActionEstablished:
		r.observers.Established()
		r.waitCtx = r.ctx // it departs with the other established requests
		close(r.current.established)
	case balancer.ActionReject:
		return r.rejected(action), true
	case balancer.ActionFail:
		r.downstream.Fail()
		r.class.CountFailed()
		return Result{End: registry.EndFailed, Cause: r.cause}, true
	case balancer.ActionMigrate:
		r.current.migrate(r.downstream)
		return Result{End: registry.EndMigrated, Status: balancer.StatusCancelled}, true
	case balancer.ActionClosed:
		return r.connectionClosed(), true
	}
	return Result{}, false
}

// clientLeft ends a request whose client has left.
func (r *requestRun) clientLeft() Result {
	r.current.stop()
	r.proxy.loop.Report(balancer.ClientDisconnected{Handle: r.handle})
	return Result{End: registry.EndClientLeft, Status: balancer.StatusCancelled}
}

// requireAnswer makes the balancer answer the request, as the process rejects pending
// ones and the client is still there. Which answer the client is owed is the balancer's
// decision: its attempt may have run, or have been established at this very moment.
func (r *requestRun) requireAnswer() {
	r.proxy.loop.Report(balancer.RequireAnswer{Handle: r.handle})
	r.waitCtx, r.cause = r.ctx, CauseShutdown
}

// rejected rejects the request as the balancer has decided.
func (r *requestRun) rejected(action balancer.RequestAction) Result {
	retryAfter := action.Wait
	if r.cause == CauseShutdown {
		retryAfter = 0 // another relay may have room at once
	}
	r.reject(retryAfter)
	return Result{End: registry.EndRejected, Cause: r.cause, RetryAfter: retryAfter}
}

// reject gives the client the answer that it is rejected.
func (r *requestRun) reject(retryAfter time.Duration) {
	r.downstream.Reject(retryAfter)
	r.class.CountRejected()
}

// connectionClosed waits until the connection of an established request is closed, and
// returns how that came about.
func (r *requestRun) connectionClosed() Result {
	last := r.current
	<-last.ended
	if last.departed != nil {
		// The endpoint's end may cross with the turn to depart: what counts is whether
		// the client was notified.
		<-last.departed
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
