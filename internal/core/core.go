package core

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/metrics"
	"lockroad/internal/quota"
	"lockroad/internal/registry"
)

// Ask is what a front hands over with a transaction.
type Ask struct {
	balancer.RequestOptions
	Front string
	Name  string // as the client calls it; no two under way share one
	Class string
	// Tenant is whose it is, by its name in the settings; "" where they name none.
	Tenant string
	At     string // the server that already has it open, if Open
}

// Link is an application server's side of a transaction, once it is up.
type Link interface {
	// Close ends it at once, whatever is under way.
	Close()
}

// Exchange is a front's side of one transaction. Core never has two passes out
// at once, and calls Pass and Join from one goroutine, the rest from another.
type Exchange interface {
	// Pass carries the transaction to an application server and waits for the
	// answer. It returns a Link only with balancer.StatusOK. It ends when ctx does, and
	// has closed its connection when it returns without a Link. Just before the first
	// byte of the transaction it asks out.May, and sends nothing where that is false.
	Pass(ctx context.Context, out Out) (Link, balancer.AttemptStatus)
	// Join tells the client that it is up, then pulse.Up, and passes on what both
	// sides say until the end of either. It returns how that end came about.
	Join(ctx context.Context, link Link, pulse *Pulse) balancer.AttemptStatus
	// Bad, Unavailable, Failed and Move end the transaction at the client. Bad
	// says that what it asks for makes no sense. Move tells whether the client was
	// told to: its server may just have said the last word itself.
	Bad(why string)
	Unavailable(comeBack time.Duration)
	Failed()
	Move() bool
}

// Out is a pass that is to go out.
type Out struct {
	To     registry.Endpoint
	Wait   time.Duration // for the answer
	Latest time.Duration // on the core's clock: it is not sent later; 0: at any time
	Resume bool          // it has been open there since before the relay's start
	clock  Clock
}

// May tells whether a pass may still be sent. Since it was picked its client may have left or its
// server may have begun to drain, and a repeat may have become one that its server would run anew:
// a connection can come up late.
func (o Out) May(ctx context.Context) bool {
	return ctx.Err() == nil && (o.Resume || !o.To.IsDraining()) && (o.Latest == 0 || o.clock.Now() < o.Latest)
}

// Left is how long the answer is still waited for: what its server is told. ctx is the pass's own, with its time-out.
func (o Out) Left(ctx context.Context) time.Duration {
	if by, ok := ctx.Deadline(); ok {
		return min(o.Wait, time.Until(by))
	}
	return o.Wait
}

// Core runs transactions over the module.
type Core struct {
	Clock        Clock
	Farm         *registry.Endpoints
	Transactions *registry.Requests
	Counters     *registry.Counters
	Figures      *metrics.Set
	Log          *slog.Logger // of what is no transaction's; set before the first turn, or nothing is logged

	terms     atomic.Pointer[balancer.Settings] // in force
	facade    *balancer.Loop
	pulses    *pulses
	observers observers
	seen      atomic.Uint64 // revision of the list

	Limits   *quota.Limiter // of addresses and classes; nil: there are none
	Readings []Reading      // for telemetry; set before it starts

	listMu  sync.Mutex
	listing listing

	give    atomic.Pointer[Give] // hands over what stands, as everyone moves; nil: nobody takes it
	leaving context.Context      // ends once everyone is to move
	moveAll context.CancelFunc
	moving  atomic.Pointer[moving]
	closing context.Context // ends once who waits is to be answered
	turnAll context.CancelFunc
}

// Reading is a figure of a part that the core knows nothing of.
type Reading struct {
	Name, What string
	Grows      bool // a count, no state
	Read       func() int64
}

// New returns a Core with nothing in it.
func New(s balancer.Settings, seed uint64, clock Clock) *Core {
	leaving, moveAll := context.WithCancel(context.Background())
	closing, turnAll := context.WithCancel(context.Background())
	c := &Core{
		Clock:        clock,
		Farm:         registry.NewEndpoints(),
		Transactions: registry.NewRequests(),
		Counters:     &registry.Counters{},
		Figures:      &metrics.Set{},
		Log:          slog.New(slog.DiscardHandler),
		facade:       balancer.NewLoop(s, seed),
		pulses:       newPulses(&s, clock),
		leaving:      leaving,
		moveAll:      moveAll,
		closing:      closing,
		turnAll:      turnAll,
	}
	c.terms.Store(&s)
	c.nameClasses(&s)
	return c
}

// Terms are the settings in force, which a transaction that begins now keeps to its end.
func (c *Core) Terms() *balancer.Settings { return c.terms.Load() }

// Retune puts other settings in force, for all transactions that begin from now on.
func (c *Core) Retune(s *balancer.Settings) {
	c.nameClasses(s) // before anyone is counted under them
	c.facade.Report(balancer.UpdateSettings{Settings: s})
	c.pulses.retune(s)
	c.terms.Store(s)
}

func (c *Core) nameClasses(s *balancer.Settings) {
	names := make([]string, len(s.Classes))
	for i, class := range s.Classes {
		names[i] = class.Name
	}
	c.Figures.SetClasses(names)
}

// Revised notes the revision of the list that is handed over next.
func (c *Core) Revised(revision uint64) { c.seen.Store(revision) }

// Run takes turns until ctx ends.
func (c *Core) Run(ctx context.Context) error {
	defer c.facade.Close()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.facade.Pending():
		case <-alarm.C:
		}
		now := c.Clock.Now()
		alarm.Stop()
		if next, ok := c.facade.Tick(now); ok {
			alarm.Reset(max(0, next-c.Clock.Now()))
		}
	}
}

var (
	errOver   = errors.New("the transaction is over")
	errSilent = errors.New("the application server is silent")
	errLeave  = errors.New("the relay is leaving")
	errHanded = errors.New("another process carries it on")
)

// Admit tells whether a transaction of a client's address may begin. release is to be called once it has ended.
func (c *Core) Admit(address net.Addr, ask Ask) (release func(), ok bool) {
	if c.Limits == nil {
		return func() {}, true
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	release, why, ok := c.Limits.Acquire(c.Clock.Now(), host, ask.Class)
	if !ok {
		c.Log.Debug("a client is over a limit", "address", host, "class", ask.Class, "limit", why)
	}
	return release, ok
}

// NoSeat is for a transaction that a front has no seat for, or that is over a limit. It returns when its client
// should come again.
func (c *Core) NoSeat(ctx context.Context, ask Ask, cause Cause) time.Duration {
	wait := c.facade.RetryAfter(ctx)
	c.Figures.Class(ask.Class).CountRejected()
	if len(c.observers) > 0 {
		c.observers.began(c.Transactions.Number(), ask).Ended(Final{End: registry.EndRejected, Cause: cause, ComeBack: wait})
	}
	return wait
}

// moving is the time in which everyone moves.
type moving struct{ from, over time.Duration }

// MoveAll has every transaction that stands, and every one that will, sent away:
// one after another over a time, lest those who take them in are swamped.
func (c *Core) MoveAll(over time.Duration) {
	c.moving.CompareAndSwap(nil, &moving{c.Clock.Now(), over})
	c.moveAll()
}

// TurnAway answers every transaction that is not up, now or later. It guards
// against those that are still waiting when the relay is killed.
func (c *Core) TurnAway() { c.turnAll() }

// Closing ends once every transaction that is not up is answered.
func (c *Core) Closing() context.Context { return c.closing }

// turn waits for a transaction's turn to be handed over or moved, or for its end. Turns are spread evenly, whatever
// the numbers of those that are there. They count from when everyone began to move: one that comes up after its turn
// moves at once, as the relay may end before another such time is over.
func (c *Core) turn(ctx context.Context, over <-chan struct{}, number uint64) {
	const golden = 0.6180339887498949
	_, part := math.Modf(float64(number) * golden)
	m := c.moving.Load()
	at := m.from + time.Duration(part*float64(m.over))
	select {
	case <-ctx.Done():
	case <-over:
	case <-time.After(at - c.Clock.Now()):
	}
}

// Misspoke counts and logs a client that says what makes no sense.
func (c *Core) Misspoke(front, what string) {
	c.Counters.ProtocolErrors.Add(1)
	c.Log.Warn("a client says what makes no sense", "front", front, "what", what)
}

// Survey has the figures tell of the farm as the module sees it. It is called before the
// first turn.
func (c *Core) Survey() {
	c.facade.PublishCounts()
	c.Figures.EndpointCounts = func() (listed, avoided int) { return c.facade.EndpointCounts(c.Clock.Now()) }
}

// Observe has one more observer told of the transactions to come. It is called before
// the first turn.
func (c *Core) Observe(o Observer) {
	c.observers = append(c.observers, o)
	c.facade.Observe()
}

// Leaving is closed once everyone is to move.
func (c *Core) Leaving() <-chan struct{} { return c.leaving.Done() }

// Serve sees a transaction through. It ends early when ctx does, which says that
// the client has left.
func (c *Core) Serve(ctx context.Context, ask Ask, x Exchange) {
	now := c.Clock.Now()
	if ask.Settings == nil {
		ask.Settings = c.Terms()
	}
	number, ok := c.Transactions.Add(registry.Request{
		Front: ask.Front, Name: ask.Name, Class: ask.Class, Since: now,
	})
	if !ok {
		// A client that uses the name of another's open transaction. Passed on, it
		// is turned down by one server after another, each of them blamed for it, and
		// the route of the other's group is forgotten.
		c.Misspoke(ask.Front, "a transaction of this name is open")
		x.Bad("a transaction of this name is open")
		c.Figures.Class(ask.Class).CountFailed()
		return
	}
	c.Counters.Requests.Add(1)
	// No client of a class waits longer than that class; one that says so would
	// hold its place for as long as it likes.
	ask.Deadline = min(ask.Deadline, now+patience(ask))
	c.see(ctx, number, ask, x, func(t *transaction) bool { return t.resume(ctx) })
}

// patience is how long a client waits at the most, by its class.
func patience(ask Ask) time.Duration {
	if i := ask.RequestOptions.Class; i >= 0 && i < len(ask.Settings.Classes) {
		return ask.Settings.Classes[i].Deadline
	}
	return 0
}

// Adopt sees a transaction through that stands already, as another process of this relay
// has handed it over with its link.
func (c *Core) Adopt(ctx context.Context, s *Standing, ask Ask, x Exchange, link Link) {
	ask.At, ask.Established = s.Server, true
	number, ok := c.Transactions.Adopt(registry.Request{
		Front: ask.Front, Name: ask.Name, Class: ask.Class, Since: c.Clock.Now(),
	})
	if !ok {
		link.Close()
		x.Move() // a client has its name by now
		return
	}
	c.see(ctx, number, ask, x, func(t *transaction) bool { return t.takeUp(s, link) })
}

// see sees a transaction through that was entered. One that is open already is brought to
// where it stands first.
func (c *Core) see(ctx context.Context, number uint64, ask Ask, x Exchange, stand func(*transaction) bool) {
	t := &transaction{core: c, x: x, ask: ask, number: number, kind: c.Figures.Class(ask.Class)}
	defer c.Transactions.Remove(t.number)
	c.Figures.ActiveRequests.Add(1)
	defer c.Figures.ActiveRequests.Add(-1)
	t.trace = c.observers.began(number, ask)
	if len(t.trace) > 0 {
		t.ask.Observer = t.trace
	}
	t.ticket = balancer.NewRequestHandle(t.ask.RequestOptions)
	end := t.run(ctx, stand)
	t.pass.stop()
	c.Counters.CountEnd(end.End)
	t.trace.Ended(end)
}

// transaction is one that is under way.
type transaction struct {
	core   *Core
	x      Exchange
	ask    Ask
	ticket *balancer.RequestHandle
	number uint64
	kind   *metrics.ClassCounters
	asked  time.Duration // since when its client's word was unanswered as it was handed over; 0 if none is
	pass   *pass
	trace  traces
	ctx    context.Context // ends when the client leaves
}

// pass is a proxy pass that is out, or the connection that it became.
type pass struct {
	cancel  context.CancelCauseFunc
	granted chan struct{} // closed once the module has it standing
	up      chan struct{} // closed once the client has been told so
	ended   chan struct{}
	cause   error                  // why it was ended here, once ended is closed
	how     balancer.AttemptStatus // and how it ended

	left chan struct{} // closed once its turn to leave is over, or will not come; nil if it never stood
	told bool          // its client was told to move as the relay leaves, once left is closed
}

// stop ends the pass and waits until its connection is closed.
func (p *pass) stop() {
	if p != nil {
		p.cancel(errOver)
		<-p.ended
	}
}

// move sends the client away, while lines still pass so that the one under way
// can end. It guards against a move that overtakes the word that the client is up. It tells whether the client was told.
func (p *pass) move(x Exchange) bool {
	select {
	case <-p.up:
		return x.Move()
	case <-p.ended:
		return false
	}
}

// run carries out what the module picks until the transaction is over.
func (t *transaction) run(ctx context.Context, stand func(*transaction) bool) Final {
	c := t.core
	t.ctx = ctx
	if t.ask.Established && !stand(t) {
		t.unavailable(0)
		return Final{End: registry.EndRejected, Cause: NotOpen}
	}
	waiting, answer := context.WithCancel(ctx)
	defer answer()
	if !t.ask.Established {
		defer context.AfterFunc(c.closing, answer)()
	}
	cause := Decided
	for {
		step, err := c.facade.Pick(waiting, t.ticket)
		if err != nil && ctx.Err() == nil {
			// The relay leaves, and the client is still there. Which answer it is owed is the module's to say:
			// its pass may have run, or have been accepted in this very moment.
			c.facade.Report(balancer.RequireAnswer{Handle: t.ticket})
			waiting, cause = ctx, RelayLeaves
			continue
		}
		if err != nil {
			t.pass.stop()
			c.facade.Report(balancer.ClientDisconnected{Handle: t.ticket})
			return Final{End: registry.EndClientLeft, How: balancer.StatusCancelled}
		}
		switch step.Kind {
		case balancer.ActionAttempt:
			if cause != RelayLeaves { // else it is about to be answered
				t.start(ctx, step)
			}
		case balancer.ActionEstablished:
			t.trace.Up()
			waiting = ctx // it moves with the others
			close(t.pass.granted)
		case balancer.ActionReject:
			if cause == RelayLeaves {
				step.Wait = 0 // another relay may have room at once
			}
			t.unavailable(step.Wait)
			return Final{End: registry.EndRejected, Cause: cause, ComeBack: step.Wait}
		case balancer.ActionFail:
			t.x.Failed()
			t.kind.CountFailed()
			return Final{End: registry.EndFailed, Cause: cause}
		case balancer.ActionMigrate:
			t.pass.move(t.x)
			return Final{End: registry.EndMigrated, How: balancer.StatusCancelled}
		case balancer.ActionClosed:
			<-t.pass.ended
			if t.pass.left != nil { // its server's end may cross with its turn to leave: what counts is what its client was told
				<-t.pass.left
			}
			switch {
			case errors.Is(t.pass.cause, errSilent):
				t.x.Move()
				return Final{End: registry.EndHeartbeatTimeout, Cause: NoEcho, How: t.pass.how}
			case t.pass.told:
				return Final{End: registry.EndMigrated, Cause: RelayLeaves, How: t.pass.how}
			case errors.Is(t.pass.cause, errHanded):
				return Final{End: registry.EndHandedOff, Cause: RelayLeaves, How: t.pass.how}
			}
			return Final{End: registry.EndClosed, How: t.pass.how}
		}
	}
}

// unavailable gives the unavailable answer.
func (t *transaction) unavailable(comeBack time.Duration) {
	t.x.Unavailable(comeBack)
	t.kind.CountRejected()
}

const (
	resumeWait  = 20 * time.Second       // a connection from before the start may take this long to be up again
	resumePause = 100 * time.Millisecond // between two passes for it

	// One whose server no list has named, or that its server doesn't know, may be a
	// bad client's, which is owed a word within 3 s.
	resumeDoubt = 2 * time.Second
)

// resume takes up a connection that was open before the relay's start: at that
// server and no other, and for the module it has stood all along. It is lost if
// it isn't up again, so a server that is not known yet, or has no room for a
// moment, is tried again.
func (t *transaction) resume(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, resumeWait)
	defer cancel()
	defer context.AfterFunc(t.core.closing, cancel)() // it is told to come again, before the relay ends
	doubt := time.AfterFunc(resumeDoubt, cancel)
	defer doubt.Stop()
	if len(t.core.Farm.List()) == 0 {
		doubt.Stop() // the list itself is still to come
	}
	for {
		id, named := t.core.Farm.Lookup(t.ask.At)
		if to, ok := t.core.Farm.Find(id); named && ok {
			t.core.Transactions.Set(t.number, registry.StageAttempting, to.ID)
			link, how := t.attempt(ctx, Out{To: to, Wait: resumeWait, Resume: true})
			if how != balancer.StatusError {
				doubt.Stop() // it may yet come up
			}
			if how == balancer.StatusOK {
				t.ask.RequestOptions.Endpoint = id
				t.ticket = balancer.NewRequestHandle(t.ask.RequestOptions)
				t.launch(t.ctx, func(ctx context.Context, p *pass) balancer.AttemptStatus {
					return t.join(ctx, p, to, link)
				})
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(resumePause):
		}
	}
}

// start begins a pass that the module has picked.
func (t *transaction) start(ctx context.Context, step balancer.RequestAction) {
	t.launch(ctx, func(ctx context.Context, p *pass) balancer.AttemptStatus {
		to, ok := t.core.Farm.Find(step.Endpoint)
		if !ok {
			return balancer.StatusNotSent
		}
		t.core.Transactions.Set(t.number, registry.StageAttempting, to.ID)
		began := t.core.Clock.Now()
		link, how := t.attempt(ctx, Out{To: to, Wait: step.Wait, Latest: step.NotAfter})
		if how != balancer.StatusOK {
			return how
		}
		t.core.facade.Report(balancer.AttemptEstablished{Handle: t.ticket, SetupTime: t.core.Clock.Now() - began})
		return t.join(ctx, p, to, link)
	})
}

// launch runs a pass beside the transaction. Its end is reported only after its
// connection is closed, so that no other goes out before.
func (t *transaction) launch(ctx context.Context, carry func(context.Context, *pass) balancer.AttemptStatus) {
	if t.pass != nil {
		select {
		case <-t.pass.ended:
		default:
			assert.That(false, "one pass is out at a time")
			t.pass.stop()
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	p := &pass{cancel: cancel, granted: make(chan struct{}), up: make(chan struct{}), ended: make(chan struct{})}
	t.pass = p
	go func() {
		how := carry(ctx, p)
		p.cause, p.how = context.Cause(ctx), how
		cancel(errOver)
		t.core.Counters.CountAttempt(how)
		close(p.ended)
		t.core.facade.Report(balancer.AttemptEnded{Handle: t.ticket, Status: how})
	}()
}

// attempt has the front carry out a pass within its time.
func (t *transaction) attempt(ctx context.Context, out Out) (Link, balancer.AttemptStatus) {
	if out.clock = t.core.Clock; out.Wait <= 0 {
		out.Wait = t.ticket.TimeLeft(out.clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, out.Wait)
	defer cancel()
	ended := t.trace.Pass(out.To.ID)
	link, how := t.x.Pass(ctx, out)
	ended(how)
	assert.That((link != nil) == (how == balancer.StatusOK), "a pass gives a link exactly when it is up")
	return link, how
}

// join waits until the module has the connection standing, and sees it to its end.
func (t *transaction) join(ctx context.Context, p *pass, to registry.Endpoint, link Link) balancer.AttemptStatus {
	c := t.core
	defer link.Close()
	select {
	case <-p.granted:
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
	c.Counters.Established.Add(1)
	c.Transactions.Set(t.number, registry.StageEstablished, to.ID)
	pulse := c.pulses.add(&Pulse{
		server: to.ID, up: p.up, kind: t.kind, asked: t.asked, told: t.ask.ExpectedLoad,
		silent: func() { p.cancel(errSilent) },
		load:   func(load float64) { c.facade.Report(balancer.LoadReport{Handle: t.ticket, Load: load}) },
		delay: func(d time.Duration) {
			c.pulses.heard(to.ID, d)
			c.facade.Report(balancer.DelayReport{Endpoint: to.ID, Delay: d})
		},
	})
	defer c.pulses.remove(pulse)
	over, settled := make(chan struct{}), make(chan struct{})
	p.left = make(chan struct{})
	stop := context.AfterFunc(c.leaving, func() {
		defer close(p.left)
		// Its turn comes first: once it is parked nothing passes on, and what can't be handed over is moved
		// right away. With the turn after that a side's end was passed on up to 1.6 s late.
		c.turn(ctx, over, t.number)
		handed := t.hand(p, pulse, to, over)
		close(settled)
		select {
		case <-over: // it has come to its end by itself
			return
		default:
		}
		if handed {
			p.cancel(errHanded)
			return
		}
		p.told = p.move(t.x)
		p.cancel(errLeave)
	})
	defer func() {
		if close(over); stop() {
			close(p.left)
		} else {
			<-settled // nothing of it is closed while it may be on its way to another process
		}
	}()
	how := t.x.Join(ctx, link, pulse)
	if errors.Is(context.Cause(ctx), errSilent) {
		return balancer.StatusReset
	}
	return how
}
