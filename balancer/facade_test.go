package balancer

import (
	"context"
	"errors"
	"testing"
	"time"
)

// driven is a Facade whose turns the test takes.
type driven struct {
	*Loop
	t   *testing.T
	now time.Duration
}

func newDriven(t *testing.T, servers int) *driven {
	t.Helper()
	d := &driven{NewLoop(testSettings(), 1), t, time.Hour}
	d.Report(EndpointUpdate{Kind: ListCached, Endpoints: ready(servers)})
	d.turn(0)
	return d
}

// turn lets time go by, with every timer's turn on its way, and takes one more.
func (d *driven) turn(after time.Duration) {
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

// ask hands in a transaction.
func (d *driven) ask() *RequestHandle {
	t := NewRequestHandle(RequestOptions{Group: 7, Deadline: d.now + 2*time.Second})
	t.begun = true // Pick would block before the turn
	d.post(t)
	d.turn(0)
	return t
}

func (d *driven) want(t *RequestHandle, kind ActionKind) RequestAction {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := d.Pick(ctx, t)
	if err != nil || s.Kind != kind {
		d.t.Fatalf("got step %+v, %v, want kind %d", s, err, kind)
	}
	return s
}

func (d *driven) wantNone(t *RequestHandle) {
	d.t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	why := errors.New("no step")
	cancel(why)
	if s, err := d.Pick(ctx, t); !errors.Is(err, why) {
		d.t.Fatalf("got step %+v, %v, want none", s, err)
	}
}

func TestTransactionIsTriedAgainUntilItStands(t *testing.T) {
	d := newDriven(t, 2)
	q := d.ask()
	first := d.want(q, ActionAttempt)
	d.wantNone(q)
	d.Report(AttemptEnded{Handle: q, Status: StatusConnectFailed})
	d.turn(0)
	d.wantNone(q) // it backs off
	d.turn(backoffBase)
	if second := d.want(q, ActionAttempt); second.Endpoint == first.Endpoint {
		t.Error("the second pass goes where the first has failed")
	}
	d.Report(AttemptEstablished{Handle: q, SetupTime: 5 * ms})
	d.turn(0)
	d.want(q, ActionEstablished)
	d.Report(AttemptEnded{Handle: q, Status: StatusOK})
	d.turn(0)
	d.want(q, ActionClosed)
	if len(d.tickets) != 0 {
		t.Errorf("%d tickets are kept", len(d.tickets))
	}
}

func TestAnswerComesWhileAPassIsOut(t *testing.T) {
	d := newDriven(t, 1)
	q := d.ask()
	d.want(q, ActionAttempt)
	d.turn(2 * time.Second)
	d.want(q, ActionReject)
	// The pass that stands after that comes too late.
	d.Report(AttemptEstablished{Handle: q})
	d.Report(AttemptEnded{Handle: q, Status: StatusCancelled})
	d.turn(0)
	d.wantNone(q)
}

func TestSlowServersConnectionsAreMoved(t *testing.T) {
	d := newDriven(t, 1)
	q := NewRequestHandle(RequestOptions{Group: 7, Established: true, Endpoint: 1})
	q.begun = true
	d.post(q)
	d.turn(0)
	d.want(q, ActionEstablished)
	for range 4 {
		d.Report(LoadReport{Handle: q, Load: 0.1})
		d.Report(DelayReport{Endpoint: 1, Delay: 3 * time.Second})
		d.turn(time.Second)
	}
	d.want(q, ActionMigrate)
}

func TestClientThatLeavesGetsNothingMore(t *testing.T) {
	d := newDriven(t, 2)
	q := d.ask()
	d.want(q, ActionAttempt)
	d.Report(ClientDisconnected{Handle: q})
	d.Report(AttemptEnded{Handle: q, Status: StatusCancelled})
	d.turn(3 * time.Second)
	d.want(q, ActionClosed)
	d.wantNone(q)
}

// Who reports after the last turn must not wait for one.
func TestReportsAfterTheEndAreLetGo(t *testing.T) {
	d := newDriven(t, 1)
	d.Close()
	for range mailboxSize + 1 {
		d.Report(DelayReport{Endpoint: 1})
	}
}
