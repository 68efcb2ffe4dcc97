package balancer

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/internal/assert"
)

// mailboxSize bounds what waits for a turn; who reports more than that waits.
const mailboxSize = 4096

// Loop drives one Balancer.
type Loop struct {
	b       *Balancer
	mailbox chan any // a *Ticket that begins, a question, or News
	wakeup  chan struct{}
	tickets map[RequestID]*RequestHandle
	timers  timerHeap
	lastID  RequestID
	now     time.Duration

	surveyed bool                 // who looks at the pool has it published with each turn
	pool     atomic.Pointer[pool] // nil before the first
	room     []time.Duration

	revision uint64
	listedAt time.Duration // negative before the first list

	stop sync.Once
	done chan struct{}
}

// NewLoop returns a Facade of a Balancer that has just started. Its servers
// come without being asked for.
func NewLoop(s Settings, seed uint64) *Loop {
	s.PollList = false
	return &Loop{
		b:       New(s, seed),
		mailbox: make(chan any, mailboxSize),
		wakeup:  make(chan struct{}, 1),
		tickets: make(map[RequestID]*RequestHandle),
		done:    make(chan struct{}),

		listedAt: -1,
	}
}

// Observe has the witnesses of transactions told of decisions. It is called before
// the first turn.
func (f *Loop) Observe() { f.b.Observe(f.tell) }

// PublishCounts has Pool told of. It is called before the first turn.
func (f *Loop) PublishCounts() { f.surveyed = true }

// Pick blocks until there is something to do for a transaction, and says what.
// It fails only when ctx ends first.
func (f *Loop) Pick(ctx context.Context, t *RequestHandle) (RequestAction, error) {
	if !t.begun {
		t.begun = true
		f.post(t)
	}
	select {
	case s := <-t.steps:
		return s, nil
	default:
	}
	select {
	case s := <-t.steps:
		return s, nil
	case <-ctx.Done():
		return RequestAction{}, context.Cause(ctx)
	}
}

// Report tells what has happened. It takes effect in the next turn.
func (f *Loop) Report(n LoopEvent) { f.post(n) }

// Pending yields a value when there is mail for a turn.
func (f *Loop) Pending() <-chan struct{} { return f.wakeup }

// Close lets those go who report after the last turn.
func (f *Loop) Close() { f.stop.Do(func() { close(f.done) }) }

// Tick does one turn at the clock: it takes the mail that waits, runs the timers
// that are due and wakes those for whom there is something to do. It returns the
// time of the next timer, and false where there is none.
func (f *Loop) Tick(now time.Duration) (time.Duration, bool) {
	f.now = now
	for n := len(f.mailbox); n > 0; n-- {
		f.open(<-f.mailbox)
	}
	for len(f.timers) > 0 && f.timers[0].at <= now {
		due := heap.Pop(&f.timers).(alarm)
		f.handle(Timer{Token: due.token})
	}
	if f.surveyed {
		f.publish()
	}
	if len(f.timers) == 0 {
		return 0, false
	}
	return f.timers[0].at, true
}

func (f *Loop) post(what any) {
	select {
	case f.mailbox <- what:
	case <-f.done:
		return
	}
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// open takes one letter. News of a transaction that is over is left aside: the
// final step and the news have crossed.
func (f *Loop) open(mail any) {
	switch m := mail.(type) {
	case *RequestHandle:
		f.begin(m)
	case question:
		m()
	case RestoreSnapshot:
		f.b.restoreSnapshot(m.Snapshot)
	case SlowStartBudget:
		f.b.part = m.Share
	case AttemptEstablished:
		if t := m.Handle; !t.over {
			// First: the module may have it move at once.
			f.wake(t, RequestAction{Kind: ActionEstablished, Endpoint: t.at})
			f.handle(Established{Request: t.id, Endpoint: t.at, SetupTime: m.SetupTime})
		}
	case AttemptEnded:
		if t := m.Handle; !t.over {
			up := f.b.standing(t.id)
			f.handle(Outcome{Request: t.id, Endpoint: t.at, Status: m.Status, Final: up})
			if up {
				f.finish(t, RequestAction{Kind: ActionClosed})
			}
		}
	case RequireAnswer:
		if t := m.Handle; !t.over {
			f.handle(AnswerRequired{Request: t.id})
		}
	case ClientDisconnected:
		if t := m.Handle; !t.over && t.id != 0 {
			f.handle(ClientLeft{Request: t.id})
			f.finish(t, RequestAction{Kind: ActionClosed})
		}
	case LoadReport:
		if t := m.Handle; !t.over {
			f.handle(ConnectionLoad{Request: t.id, Endpoint: t.at, Load: m.Load})
		}
	case DelayReport:
		f.handle(EndpointDelay{Endpoint: m.Endpoint, Delay: m.Delay})
	case UpdateSettings:
		s := *m.Settings
		s.PollList = false
		f.handle(SettingsChanged{&s})
	case EndpointUpdate:
		f.revision, f.listedAt = m.Revision, f.now
		f.handle(EndpointList{Kind: m.Kind, Endpoints: m.Endpoints})
	}
}

func (f *Loop) begin(t *RequestHandle) {
	f.lastID++
	t.id = f.lastID
	f.tickets[t.id] = t
	q := Request{
		ID: t.id, Class: t.ask.Class, Item: t.ask.Item, Group: t.ask.Group,
		TimeLeft: max(0, t.ask.Deadline-f.now), ExpectedLoad: t.ask.ExpectedLoad,
		Returning: t.ask.Returning, Settings: t.ask.Settings,
	}
	if t.ask.Established {
		t.at = t.ask.Endpoint
		// First: the module may have it move at once.
		f.wake(t, RequestAction{Kind: ActionEstablished, Endpoint: t.at})
		f.handle(Resumed{Request: q, Endpoint: t.at})
		return
	}
	f.handle(q)
}

// handle has the Balancer take an event, and hands out what it wants done.
func (f *Loop) handle(ev Event) {
	for _, a := range f.b.Handle(f.now, ev) {
		switch a := a.(type) {
		case SendAttempt:
			t := f.tickets[a.Request]
			t.at = a.Endpoint
			f.wake(t, RequestAction{
				Kind: ActionAttempt, Endpoint: a.Endpoint, Wait: a.Timeout, NotAfter: a.NotAfter,
			})
		case Reject:
			f.finish(f.tickets[a.Request], RequestAction{Kind: ActionReject, Wait: a.RetryAfter})
		case Fail:
			f.finish(f.tickets[a.Request], RequestAction{Kind: ActionFail})
		case Migrate:
			f.finish(f.tickets[a.Request], RequestAction{Kind: ActionMigrate})
		case SetTimer:
			heap.Push(&f.timers, alarm{f.now + a.After, a.Token})
		}
	}
}

func (f *Loop) finish(t *RequestHandle, s RequestAction) {
	t.over = true
	delete(f.tickets, t.id)
	f.wake(t, s)
}

// wake never blocks the turn: a ticket is told at most a pass, its acceptance
// and a final step before its reader has to look.
func (f *Loop) wake(t *RequestHandle, s RequestAction) {
	select {
	case t.steps <- s:
	default:
		assert.That(false, "a ticket's steps are read as they come")
	}
}

// tell tells the witness of a transaction of a decision on it.
func (f *Loop) tell(id RequestID, d *Decision) {
	t := f.tickets[id]
	if t == nil || t.ask.Observer == nil {
		return
	}
	if d.Revision = f.revision; f.listedAt >= 0 {
		d.ListAge = f.now - f.listedAt
	}
	t.ask.Observer.Decided(d)
}
