package balance

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

// Ask is what a client asks for.
type Ask struct {
	Class  int
	Item   uint64
	Group  uint64
	GiveUp time.Duration // on the clock that Tick is given
	Load   float64       // in seconds of work a second; 0 if unknown
	Return bool          // the client is back after a break or a move
	Under  *Settings     // that it began under, and that Class is of; nil: those in force
	At     ServerID      // the server that already has it open, if Open
	Open   bool

	Witness Witness // is told what is decided for it; nil: nobody is
}

// StepKind says what is to be done next for a transaction.
type StepKind uint8

// The kinds of step.
const (
	StepPass        StepKind = iota // begin a proxy pass to Server
	StepUp                          // the pass is accepted: it is the client's
	StepMove                        // send the client away politely; final
	StepOver                        // the connection has ended; final
	StepUnavailable                 // answer: unavailable, come back after Wait; final
	StepFailed                      // answer: failed; final
)

// Step is one thing to do for a transaction.
type Step struct {
	Kind   StepKind
	Server ServerID
	Wait   time.Duration // the pass's time-out, or when to come back; 0 if there is none
	Latest time.Duration // on the clock that Tick is given: a pass is not sent later; 0: at any time
}

// Ticket stands for one transaction at a Facade.
type Ticket struct {
	ask   Ask
	begun bool // only its own goroutine looks
	id    RequestID
	at    ServerID  // of the pass that is out
	steps chan Step // a pass, its acceptance and a final step fit without a reader
	over  bool
}

// NewTicket returns the ticket of a transaction that has come in.
func NewTicket(ask Ask) *Ticket { return &Ticket{ask: ask, steps: make(chan Step, 8)} }

// Left returns how long its client will still wait at a time.
func (t *Ticket) Left(now time.Duration) time.Duration { return max(0, t.ask.GiveUp-now) }

// News is something that has happened: one of the types below.
type News interface{ news() }

// Stands says that the pass of a transaction was accepted.
type Stands struct {
	Ticket *Ticket
	Took   time.Duration
}

// Ended says how the pass, or the connection it became, has ended.
type Ended struct {
	Ticket *Ticket
	How    Status
}

// Dismiss asks for the final answer to a transaction that is not up: the relay leaves.
type Dismiss struct{ Ticket *Ticket }

// Left says that the client has gone, and its pass with it.
type Left struct{ Ticket *Ticket }

// Load tells the load of an open connection, in seconds of work a second.
type Load struct {
	Ticket *Ticket
	Load   float64
}

// Delay tells how long a message takes at a server.
type Delay struct {
	Server ServerID
	Delay  time.Duration
}

// Farm is news of the servers.
type Farm struct {
	Kind     ListKind
	Servers  []Server
	Revision uint64 // of the list, for those who are told of decisions; 0 if not known
}

// Retune says that other settings are in force.
type Retune struct{ Settings *Settings }

// Remember has the module take over what another process's has learnt.
type Remember struct{ Memory Memory }

// Budget tells what part of the relay's budget for cold servers is this process's: all of
// it, or none while another process of the relay spends it.
type Budget struct{ Part float64 }

func (Remember) news() {}
func (Budget) news()   {}
func (Retune) news()   {}
func (Stands) news()   {}
func (Ended) news()    {}
func (Dismiss) news()  {}
func (Left) news()     {}
func (Load) news()     {}
func (Delay) news()    {}
func (Farm) news()     {}

// mailboxSize bounds what waits for a turn; who reports more than that waits.
const mailboxSize = 4096

// Facade drives one Balancer.
type Facade struct {
	b       *Balancer
	mailbox chan any // a *Ticket that begins, a question, or News
	wakeup  chan struct{}
	tickets map[RequestID]*Ticket
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

// NewFacade returns a Facade of a Balancer that has just started. Its servers
// come without being asked for.
func NewFacade(s Settings, seed uint64) *Facade {
	s.Ask = false
	return &Facade{
		b:       New(s, seed),
		mailbox: make(chan any, mailboxSize),
		wakeup:  make(chan struct{}, 1),
		tickets: make(map[RequestID]*Ticket),
		done:    make(chan struct{}),

		listedAt: -1,
	}
}

// Observe has the witnesses of transactions told of decisions. It is called before
// the first turn.
func (f *Facade) Observe() { f.b.Observe(f.tell) }

// Survey has Pool told of. It is called before the first turn.
func (f *Facade) Survey() { f.surveyed = true }

// pool is the farm as the module saw it at the end of a turn.
type pool struct {
	listed  int
	avoided []time.Duration // until then, of each server that is
}

// Pool tells how many servers are listed and how many of them the module avoids at a
// time. It waits for no turn.
func (f *Facade) Pool(now time.Duration) (listed, avoided int) {
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
func (f *Facade) publish() {
	listed, avoided := f.b.avoided(f.room)
	f.room = avoided
	if old := f.pool.Load(); old == nil || old.listed != listed || !slices.Equal(old.avoided, avoided) {
		f.pool.Store(&pool{listed, slices.Clone(avoided)})
	}
}

// tell tells the witness of a transaction of a decision on it.
func (f *Facade) tell(id RequestID, d *Decision) {
	t := f.tickets[id]
	if t == nil || t.ask.Witness == nil {
		return
	}
	if d.Revision = f.revision; f.listedAt >= 0 {
		d.ListAge = f.now - f.listedAt
	}
	t.ask.Witness.Decided(d)
}

// Pick blocks until there is something to do for a transaction, and says what.
// It fails only when ctx ends first.
func (f *Facade) Pick(ctx context.Context, t *Ticket) (Step, error) {
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
		return Step{}, context.Cause(ctx)
	}
}

// question is asked of the Balancer in a turn; no ticket stands for it.
type question func()

// asked puts a question and waits for the answer. It fails if ctx or the turns end first.
func asked[T any](ctx context.Context, f *Facade, of func(*Balancer) T) (T, error) {
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

// Advise returns when a client should come again that there is no place for; 0 if
// ctx or the turns end first.
func (f *Facade) Advise(ctx context.Context) time.Duration {
	wait, _ := asked(ctx, f, func(b *Balancer) time.Duration { return b.Advice(f.now) })
	return wait
}

// Recollect returns what the module has learnt, for another process to take over. It
// fails if ctx or the turns end first.
func (f *Facade) Recollect(ctx context.Context) (Memory, error) {
	return asked(ctx, f, (*Balancer).Recollect)
}

// Hold tells what the module holds of each server that is listed. It fails if ctx or the turns
// end first.
func (f *Facade) Hold(ctx context.Context) ([]View, error) { return asked(ctx, f, (*Balancer).views) }

// Report tells what has happened. It takes effect in the next turn.
func (f *Facade) Report(n News) { f.post(n) }

func (f *Facade) post(what any) {
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

// Waiting yields a value when there is mail for a turn.
func (f *Facade) Waiting() <-chan struct{} { return f.wakeup }

// Close lets those go who report after the last turn.
func (f *Facade) Close() { f.stop.Do(func() { close(f.done) }) }

// Tick does one turn at the clock: it takes the mail that waits, runs the timers
// that are due and wakes those for whom there is something to do. It returns the
// time of the next timer, and false where there is none.
func (f *Facade) Tick(now time.Duration) (time.Duration, bool) {
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
func (f *Facade) open(mail any) {
	switch m := mail.(type) {
	case *Ticket:
		f.begin(m)
	case question:
		m()
	case Remember:
		f.b.restore(m.Memory)
	case Budget:
		f.b.part = m.Part
	case Stands:
		if t := m.Ticket; !t.over {
			f.wake(t, Step{Kind: StepUp, Server: t.at}) // first: the module may have it move at once
			f.handle(Standing{Request: t.id, Server: t.at, Took: m.Took})
		}
	case Ended:
		if t := m.Ticket; !t.over {
			up := f.b.standing(t.id)
			f.handle(Outcome{Request: t.id, Server: t.at, Status: m.How, Done: up})
			if up {
				f.finish(t, Step{Kind: StepOver})
			}
		}
	case Dismiss:
		if t := m.Ticket; !t.over {
			f.handle(Dismissed{Request: t.id})
		}
	case Left:
		if t := m.Ticket; !t.over && t.id != 0 {
			f.handle(ClientLeft{Request: t.id})
			f.finish(t, Step{Kind: StepOver})
		}
	case Load:
		if t := m.Ticket; !t.over {
			f.handle(LoadNote{Request: t.id, Server: t.at, Load: m.Load})
		}
	case Delay:
		f.handle(DelayNote{Server: m.Server, Delay: m.Delay})
	case Retune:
		s := *m.Settings
		s.Ask = false
		f.handle(Retuned{&s})
	case Farm:
		f.revision, f.listedAt = m.Revision, f.now
		f.handle(ServerList{Kind: m.Kind, Servers: m.Servers})
	}
}

func (f *Facade) begin(t *Ticket) {
	f.lastID++
	t.id = f.lastID
	f.tickets[t.id] = t
	q := Request{
		ID: t.id, Class: t.ask.Class, Item: t.ask.Item, Group: t.ask.Group,
		Left: max(0, t.ask.GiveUp-f.now), Load: t.ask.Load, Return: t.ask.Return, Under: t.ask.Under,
	}
	if t.ask.Open {
		t.at = t.ask.At
		f.wake(t, Step{Kind: StepUp, Server: t.at}) // first: the module may have it move at once
		f.handle(Resumed{Request: q, Server: t.at})
		return
	}
	f.handle(q)
}

// handle has the Balancer take an event, and hands out what it wants done.
func (f *Facade) handle(ev Event) {
	for _, a := range f.b.Handle(f.now, ev) {
		switch a := a.(type) {
		case Send:
			t := f.tickets[a.Request]
			t.at = a.Server
			f.wake(t, Step{Kind: StepPass, Server: a.Server, Wait: a.Timeout, Latest: a.Latest})
		case Refuse:
			f.finish(f.tickets[a.Request], Step{Kind: StepUnavailable, Wait: a.RetryAfter})
		case Fail:
			f.finish(f.tickets[a.Request], Step{Kind: StepFailed})
		case Move:
			f.finish(f.tickets[a.Request], Step{Kind: StepMove})
		case SetTimer:
			heap.Push(&f.timers, alarm{f.now + a.After, a.Token})
		}
	}
}

func (f *Facade) finish(t *Ticket, s Step) {
	t.over = true
	delete(f.tickets, t.id)
	f.wake(t, s)
}

// wake never blocks the turn: a ticket is told at most a pass, its acceptance
// and a final step before its reader has to look.
func (f *Facade) wake(t *Ticket, s Step) {
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
