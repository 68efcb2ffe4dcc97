package balancer

import (
	"cmp"
	"container/heap"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/internal/assert"
)

// This file is the module's face to code that talks to a network: three calls
// in blocking style. Pick waits for the next thing to do for a transaction,
// Report tells what has happened, Tick lets time go on. Only the goroutine that
// calls Tick touches the Balancer; nothing here decides anything.

// RequestOptions is what a client asks for.
type RequestOptions struct {
	Class        int
	Item         uint64
	Group        uint64
	Deadline     time.Duration // on the clock that Tick is given
	ExpectedLoad float64       // in seconds of work a second; 0 if unknown
	Returning    bool          // the client is back after a break or a move
	Settings     *Settings     // that it began under, and that Class is of; nil: those in force
	Endpoint     EndpointID    // the server that already has it open, if Open
	Established  bool

	Observer DecisionObserver // is told what is decided for it; nil: nobody is
}

// ActionKind says what is to be done next for a transaction.
type ActionKind uint8

// The kinds of step.
const (
	ActionAttempt     ActionKind = iota // begin a proxy pass to Server
	ActionEstablished                   // the pass is accepted: it is the client's
	ActionMigrate                       // send the client away politely; final
	ActionClosed                        // the connection has ended; final
	ActionReject                        // answer: unavailable, come back after Wait; final
	ActionFail                          // answer: failed; final
)

// RequestAction is one thing to do for a transaction.
type RequestAction struct {
	Kind     ActionKind
	Endpoint EndpointID
	Wait     time.Duration // the pass's time-out, or when to come back; 0 if there is none
	NotAfter time.Duration // on the clock that Tick is given: a pass is not sent later; 0: at any time
}

// RequestHandle stands for one transaction at a Facade.
type RequestHandle struct {
	ask   RequestOptions
	begun bool // only its own goroutine looks
	id    RequestID
	at    EndpointID         // of the pass that is out
	steps chan RequestAction // a pass, its acceptance and a final step fit without a reader
	over  bool
}

// NewRequestHandle returns the ticket of a transaction that has come in.
func NewRequestHandle(ask RequestOptions) *RequestHandle {
	return &RequestHandle{ask: ask, steps: make(chan RequestAction, 8)}
}

// TimeLeft returns how long its client will still wait at a time.
func (t *RequestHandle) TimeLeft(now time.Duration) time.Duration { return max(0, t.ask.Deadline-now) }

// LoopEvent is something that has happened: one of the types below.
type LoopEvent interface{ loopEvent() }

// AttemptEstablished says that the pass of a transaction was accepted.
type AttemptEstablished struct {
	Handle    *RequestHandle
	SetupTime time.Duration
}

// AttemptEnded says how the pass, or the connection it became, has ended.
type AttemptEnded struct {
	Handle *RequestHandle
	Status AttemptStatus
}

// RequireAnswer asks for the final answer to a transaction that is not up: the relay leaves.
type RequireAnswer struct{ Handle *RequestHandle }

// ClientDisconnected says that the client has gone, and its pass with it.
type ClientDisconnected struct{ Handle *RequestHandle }

// LoadReport tells the load of an open connection, in seconds of work a second.
type LoadReport struct {
	Handle *RequestHandle
	Load   float64
}

// DelayReport tells how long a message takes at a server.
type DelayReport struct {
	Endpoint EndpointID
	Delay    time.Duration
}

// EndpointUpdate is news of the servers.
type EndpointUpdate struct {
	Kind      ListKind
	Endpoints []Endpoint
	Revision  uint64 // of the list, for those who are told of decisions; 0 if not known
}

// UpdateSettings says that other settings are in force.
type UpdateSettings struct{ Settings *Settings }

// RestoreSnapshot has the module take over what another process's has learnt.
type RestoreSnapshot struct{ Snapshot Snapshot }

// SlowStartBudget tells what part of the relay's budget for cold servers is this process's: all of
// it, or none while another process of the relay spends it.
type SlowStartBudget struct{ Share float64 }

func (RestoreSnapshot) loopEvent()    {}
func (SlowStartBudget) loopEvent()    {}
func (UpdateSettings) loopEvent()     {}
func (AttemptEstablished) loopEvent() {}
func (AttemptEnded) loopEvent()       {}
func (RequireAnswer) loopEvent()      {}
func (ClientDisconnected) loopEvent() {}
func (LoadReport) loopEvent()         {}
func (DelayReport) loopEvent()        {}
func (EndpointUpdate) loopEvent()     {}

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

// pool is the farm as the module saw it at the end of a turn.
type pool struct {
	listed  int
	avoided []time.Duration // until then, of each server that is
}

// EndpointCounts tells how many servers are listed and how many of them the module avoids at a
// time. It waits for no turn.
func (f *Loop) EndpointCounts(now time.Duration) (listed, avoided int) {
	p := f.pool.Load()
	if p == nil {
		return 0, 0
	}
	for _, until := range p.avoided {
		if now < until {
			avoided++
		}
	}
	return p.listed, avoided
}

// publish has Pool tell of the farm as it is now.
func (f *Loop) publish() {
	listed, avoided := f.b.avoided(f.room)
	f.room = avoided
	if old := f.pool.Load(); old == nil || old.listed != listed || !slices.Equal(old.avoided, avoided) {
		f.pool.Store(&pool{listed, slices.Clone(avoided)})
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

// question is asked of the Balancer in a turn; no ticket stands for it.
type question func()

// asked puts a question and waits for the answer. It fails if ctx or the turns end first.
func asked[T any](ctx context.Context, f *Loop, of func(*Balancer) T) (T, error) {
	answer := make(chan T, 1)
	f.post(question(func() { answer <- of(f.b) }))
	var none T
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	case <-f.done:
		return none, context.Canceled
	}
}

// RetryAfter returns when a client should come again that there is no place for; 0 if
// ctx or the turns end first.
func (f *Loop) RetryAfter(ctx context.Context) time.Duration {
	wait, _ := asked(ctx, f, func(b *Balancer) time.Duration { return b.RetryAfter(f.now) })
	return wait
}

// Snapshot returns what the module has learnt, for another process to take over. It
// fails if ctx or the turns end first.
func (f *Loop) Snapshot(ctx context.Context) (Snapshot, error) {
	return asked(ctx, f, (*Balancer).Snapshot)
}

// EndpointViews tells what the module holds of each server that is listed. It fails if ctx or the turns
// end first.
func (f *Loop) EndpointViews(ctx context.Context) ([]EndpointView, error) {
	return asked(ctx, f, (*Balancer).views)
}

// Report tells what has happened. It takes effect in the next turn.
func (f *Loop) Report(n LoopEvent) { f.post(n) }

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
			f.wake(t, RequestAction{Kind: ActionEstablished, Endpoint: t.at}) // first: the module may have it move at once
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
		TimeLeft: max(0, t.ask.Deadline-f.now), ExpectedLoad: t.ask.ExpectedLoad, Returning: t.ask.Returning, Settings: t.ask.Settings,
	}
	if t.ask.Established {
		t.at = t.ask.Endpoint
		f.wake(t, RequestAction{Kind: ActionEstablished, Endpoint: t.at}) // first: the module may have it move at once
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
			f.wake(t, RequestAction{Kind: ActionAttempt, Endpoint: a.Endpoint, Wait: a.Timeout, NotAfter: a.NotAfter})
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

type alarm struct {
	at    time.Duration
	token uint32
}

// timerHeap holds the timers that are set, the first due on top.
type timerHeap []alarm

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].token, h[j].token)) < 0
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(alarm)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
