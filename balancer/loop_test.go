package balancer

import (
	"context"
	"errors"
	"testing"
	"time"
)

// drivenLoop is a Loop whose Tick is called by the test.
type drivenLoop struct {
	*Loop
	t   *testing.T
	now time.Duration
}

// newDrivenLoop returns a Loop with a number of ready endpoints.
func newDrivenLoop(t *testing.T, endpoints int) *drivenLoop {
	t.Helper()
	loop := &drivenLoop{NewLoop(testSettings(), 1), t, time.Hour}
	loop.Report(EndpointUpdate{Kind: ListCached, Endpoints: readyEndpoints(endpoints)})
	loop.advance(0)
	return loop
}

// advance advances the clock and calls Tick at each timer that is due and at the end.
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

// submit submits a request and lets the Loop process it.
func (d *drivenLoop) submit() *RequestHandle {
	handle := NewRequestHandle(RequestOptions{Group: 7, Deadline: d.now + 2*time.Second})
	handle.submitted = true // NextAction would block before the Tick
	d.enqueue(handle)
	d.advance(0)
	return handle
}

// wantAction returns the next action of a request and fails the test if its kind is not as wanted.
func (d *drivenLoop) wantAction(handle *RequestHandle, kind ActionKind) RequestAction {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	action, err := d.NextAction(ctx, handle)
	if err != nil || action.Kind != kind {
		d.t.Fatalf("got action %+v, error %v, want kind %d", action, err, kind)
	}
	return action
}

// wantNoAction fails the test if there is an action for a request.
func (d *drivenLoop) wantNoAction(handle *RequestHandle) {
	d.t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("no action")
	cancel(cause)
	if action, err := d.NextAction(ctx, handle); !errors.Is(err, cause) {
		d.t.Fatalf("got action %+v, error %v, want no action", action, err)
	}
}

func TestRequestIsRetriedUntilEstablished(t *testing.T) {
	loop := newDrivenLoop(t, 2)
	handle := loop.submit()
	first := loop.wantAction(handle, ActionAttempt)
	loop.wantNoAction(handle)
	loop.Report(AttemptEnded{Handle: handle, Status: StatusConnectFailed})
	loop.advance(0)
	loop.wantNoAction(handle) // during the backoff
	loop.advance(retryBackoffBase)
	if second := loop.wantAction(handle, ActionAttempt); second.Endpoint == first.Endpoint {
		t.Error("the second attempt goes to the endpoint where the first failed")
	}
	loop.Report(AttemptEstablished{Handle: handle, SetupTime: 5 * ms})
	loop.advance(0)
	loop.wantAction(handle, ActionEstablished)
	loop.Report(AttemptEnded{Handle: handle, Status: StatusOK})
	loop.advance(0)
	loop.wantAction(handle, ActionClosed)
	if len(loop.handles) != 0 {
		t.Errorf("%d handles are left after the connection ended, want none", len(loop.handles))
	}
}

func TestRequestIsRejectedAtDeadlineWithAttemptInFlight(t *testing.T) {
	loop := newDrivenLoop(t, 1)
	handle := loop.submit()
	loop.wantAction(handle, ActionAttempt)
	loop.advance(2 * time.Second)
	loop.wantAction(handle, ActionReject)
	// Events of the attempt are ignored after the final action.
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

// Guards against reporters that block forever after the last Tick.
func TestReportAfterCloseDoesNotBlock(t *testing.T) {
	loop := newDrivenLoop(t, 1)
	loop.Close()
	for range mailboxCapacity + 1 {
		loop.Report(DelayReport{Endpoint: 1})
	}
}
