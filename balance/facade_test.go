package balance

import (
	"context"
	"errors"
	"testing"
	"time"
)

// driven is a Facade whose turns the test takes.
type driven struct {
	*Facade
	t   *testing.T
	now time.Duration
}

func newDriven(t *testing.T, servers int) *driven {
	t.Helper()
	d := &driven{NewFacade(testSettings(), 1), t, time.Hour}
	d.Report(Farm{Kind: ListCached, Servers: ready(servers)})
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
func (d *driven) ask() *Ticket {
	t := NewTicket(Ask{Group: 7, GiveUp: d.now + 2*time.Second})
	t.begun = true // Pick would block before the turn
	d.post(t)
	d.turn(0)
	return t
}

func (d *driven) want(t *Ticket, kind StepKind) Step {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := d.Pick(ctx, t)
	if err != nil || s.Kind != kind {
		d.t.Fatalf("got step %+v, %v, want kind %d", s, err, kind)
	}
	return s
}

func (d *driven) wantNone(t *Ticket) {
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
	first := d.want(q, StepPass)
	d.wantNone(q)
	d.Report(Ended{Ticket: q, How: ConnectFailed})
	d.turn(0)
	d.wantNone(q) // it backs off
	d.turn(backoffBase)
	if second := d.want(q, StepPass); second.Server == first.Server {
		t.Error("the second pass goes where the first has failed")
	}
	d.Report(Stands{Ticket: q, Took: 5 * ms})
	d.turn(0)
	d.want(q, StepUp)
	d.Report(Ended{Ticket: q, How: OK})
	d.turn(0)
	d.want(q, StepOver)
	if len(d.tickets) != 0 {
		t.Errorf("%d tickets are kept", len(d.tickets))
	}
}

func TestAnswerComesWhileAPassIsOut(t *testing.T) {
	d := newDriven(t, 1)
	q := d.ask()
	d.want(q, StepPass)
	d.turn(2 * time.Second)
	d.want(q, StepUnavailable)
	// The pass that stands after that comes too late.
	d.Report(Stands{Ticket: q})
	d.Report(Ended{Ticket: q, How: Cancelled})
	d.turn(0)
	d.wantNone(q)
}

func TestSlowServersConnectionsAreMoved(t *testing.T) {
	d := newDriven(t, 1)
	q := NewTicket(Ask{Group: 7, Open: true, At: 1})
	q.begun = true
	d.post(q)
	d.turn(0)
	d.want(q, StepUp)
	for range 4 {
		d.Report(Load{Ticket: q, Load: 0.1})
		d.Report(Delay{Server: 1, Delay: 3 * time.Second})
		d.turn(time.Second)
	}
	d.want(q, StepMove)
}

func TestClientThatLeavesGetsNothingMore(t *testing.T) {
	d := newDriven(t, 2)
	q := d.ask()
	d.want(q, StepPass)
	d.Report(Left{Ticket: q})
	d.Report(Ended{Ticket: q, How: Cancelled})
	d.turn(3 * time.Second)
	d.want(q, StepOver)
	d.wantNone(q)
}

// Who reports after the last turn must not wait for one.
func TestReportsAfterTheEndAreLetGo(t *testing.T) {
	d := newDriven(t, 1)
	d.Close()
	for range mailboxSize + 1 {
		d.Report(Delay{Server: 1})
	}
}
