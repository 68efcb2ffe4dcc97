package balancer

import (
	"context"
	"errors"
	"testing"
	"time"
)

// drivenLoop is a Loop that the test ticks.
type drivenLoop struct {
	*Loop
	t   *testing.T
	now time.Duration
}

func newDrivenLoop(t *testing.T, servers int) *drivenLoop {
	t.Helper()
	loop := &drivenLoop{NewLoop(testSettings(), 1), t, time.Hour}
	loop.Report(EndpointUpdate{Kind: ListCached, Endpoints: readyEndpoints(servers)})
	loop.advance(0)
	return loop
}

// advance lets time pass, ticks at every timer that is due meanwhile, and once more at the end.
func (d *drivenLoop) advance(after time.Duration) {
	until := d.now + after
	for {
		next, ok := d.Tick(d.now)
		if !ok || next > until {
			break
		}
		d.now = max(next, d.now)
	}
	d.now = until
	d.Tick(d.now)
}

// submit submits a request.
func (d *drivenLoop) submit() *RequestHandle {
	handle := NewRequestHandle(RequestOptions{Group: 7, Deadline: d.now + 2*time.Second})
	handle.submitted = true // Pick would block before the Tick
	d.enqueue(handle)
	d.advance(0)
	return handle
}

func (d *drivenLoop) wantAction(handle *RequestHandle, kind ActionKind) RequestAction {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	action, err := d.NextAction(ctx, handle)
	if err != nil || action.Kind != kind {
		d.t.Fatalf("got action %+v, %v, want kind %d", action, err, kind)
	}
	return action
}

func (d *drivenLoop) wantNoAction(handle *RequestHandle) {
	d.t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	why := errors.New("no action")
	cancel(why)
	if action, err := d.NextAction(ctx, handle); !errors.Is(err, why) {
		d.t.Fatalf("got action %+v, %v, want none", action, err)
	}
}

func TestRequestIsRetriedUntilEstablished(t *testing.T) {
	loop := newDrivenLoop(t, 2)
	handle := loop.submit()
	first := loop.wantAction(handle, ActionAttempt)
	loop.wantNoAction(handle)
	loop.Report(AttemptEnded{Handle: handle, Status: StatusConnectFailed})
	loop.advance(0)
	loop.wantNoAction(handle) // it backs off
	loop.advance(retryBackoffBase)
	if second := loop.wantAction(handle, ActionAttempt); second.Endpoint == first.Endpoint {
		t.Error("the second attempt goes where the first has failed")
	}
	loop.Report(AttemptEstablished{Handle: handle, SetupTime: 5 * ms})
	loop.advance(0)
	loop.wantAction(handle, ActionEstablished)
	loop.Report(AttemptEnded{Handle: handle, Status: StatusOK})
	loop.advance(0)
	loop.wantAction(handle, ActionClosed)
	if len(loop.handles) != 0 {
		t.Errorf("%d handles are kept", len(loop.handles))
	}
}

func TestDeadlineAnswersWhileAnAttemptIsInFlight(t *testing.T) {
	loop := newDrivenLoop(t, 1)
	handle := loop.submit()
	loop.wantAction(handle, ActionAttempt)
	loop.advance(2 * time.Second)
	loop.wantAction(handle, ActionReject)
	// An attempt that is established after that comes too late.
	loop.Report(AttemptEstablished{Handle: handle})
	loop.Report(AttemptEnded{Handle: handle, Status: StatusCancelled})
	loop.advance(0)
	loop.wantNoAction(handle)
}

func TestConnectionsOfASlowEndpointMigrate(t *testing.T) {
	loop := newDrivenLoop(t, 1)
	handle := NewRequestHandle(RequestOptions{Group: 7, Established: true, Endpoint: 1})
	handle.submitted = true
	loop.enqueue(handle)
	loop.advance(0)
	loop.wantAction(handle, ActionEstablished)
	for range 4 {
		loop.Report(LoadReport{Handle: handle, Load: 0.1})
		loop.Report(DelayReport{Endpoint: 1, Delay: 3 * time.Second})
		loop.advance(time.Second)
	}
	loop.wantAction(handle, ActionMigrate)
}

func TestDisconnectedClientGetsNoFurtherAction(t *testing.T) {
	loop := newDrivenLoop(t, 2)
	handle := loop.submit()
	loop.wantAction(handle, ActionAttempt)
	loop.Report(ClientDisconnected{Handle: handle})
	loop.Report(AttemptEnded{Handle: handle, Status: StatusCancelled})
	loop.advance(3 * time.Second)
	loop.wantAction(handle, ActionClosed)
	loop.wantNoAction(handle)
}

// Whoever reports after the last Tick must not wait for another.
func TestReportAfterCloseDoesNotBlock(t *testing.T) {
	loop := newDrivenLoop(t, 1)
	loop.Close()
	for range mailboxCapacity + 1 {
		loop.Report(DelayReport{Endpoint: 1})
	}
}
