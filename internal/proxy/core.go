package proxy

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

// Request is what a front hands over with a transaction.
type Request struct {
	balancer.RequestOptions
	Front string
	Name  string // as the client calls it; no two under way share one
	Class string
	// Tenant is whose it is, by its name in the settings; "" where they name none.
	Tenant       string
	EndpointName string // the server that already has it open, if Open
}

// UpstreamConn is an application server's side of a transaction, once it is up.
type UpstreamConn interface {
	// Close ends it at once, whatever is under way.
	Close()
}

// Downstream is a front's side of one transaction. Core never has two passes out
// at once, and calls Pass and Join from one goroutine, the rest from another.
type Downstream interface {
	// Pass carries the transaction to an application server and waits for the
	// answer. It returns a Link only with balancer.StatusOK. It ends when ctx does, and
	// has closed its connection when it returns without a Link. Just before the first
	// byte of the transaction it asks out.May, and sends nothing where that is false.
	Attempt(ctx context.Context, out Attempt) (UpstreamConn, balancer.AttemptStatus)
	// Join tells the client that it is up, then pulse.Up, and passes on what both
	// sides say until the end of either. It returns how that end came about.
	Pipe(ctx context.Context, link UpstreamConn, pulse *Heartbeat) balancer.AttemptStatus
	// Bad, Unavailable, Failed and Move end the transaction at the client. Bad
	// says that what it asks for makes no sense. Move tells whether the client was
	// told to: its server may just have said the last word itself.
	BadRequest(why string)
	Reject(comeBack time.Duration)
	Fail()
	Migrate() bool
}

// Attempt is a pass that is to go out.
type Attempt struct {
	Endpoint registry.Endpoint
	Timeout  time.Duration // for the answer
	NotAfter time.Duration // on the core's clock: it is not sent later; 0: at any time
	Resume   bool          // it has been open there since before the relay's start
	clock    Clock
}

// StillPermitted tells whether a pass may still be sent. Since it was picked its client may have left or its
// server may have begun to drain, and a repeat may have become one that its server would run anew:
// a connection can come up late.
func (o Attempt) StillPermitted(ctx context.Context) bool {
	return ctx.Err() == nil && (o.Resume || !o.Endpoint.IsDraining()) && (o.NotAfter == 0 || o.clock.Now() < o.NotAfter)
}

// TimeLeft is how long the answer is still waited for: what its server is told. ctx is the pass's own, with its time-out.
func (o Attempt) TimeLeft(ctx context.Context) time.Duration {
	if by, ok := ctx.Deadline(); ok {
		return min(o.Timeout, time.Until(by))
	}
	return o.Timeout
}

// Proxy runs transactions over the module.
type Proxy struct {
	Clock     Clock
	Endpoints *registry.Endpoints
	Requests  *registry.Requests
	Counters  *registry.Counters
	Metrics   *metrics.Set
	Log       *slog.Logger // of what is no transaction's; set before the first turn, or nothing is logged

	terms     atomic.Pointer[balancer.Settings] // in force
	facade    *balancer.Loop
	pulses    *pulses
	observers observers
	seen      atomic.Uint64 // revision of the list

	Quota       *quota.Limiter // of addresses and classes; nil: there are none
	Instruments []Instrument   // for telemetry; set before it starts

	listMu  sync.Mutex
	listing listing

	give    atomic.Pointer[HandoffFunc] // hands over what stands, as everyone moves; nil: nobody takes it
	leaving context.Context             // ends once everyone is to move
	moveAll context.CancelFunc
	moving  atomic.Pointer[moving]
	closing context.Context // ends once who waits is to be answered
	turnAll context.CancelFunc
}

// Instrument is a figure of a part that the core knows nothing of.
type Instrument struct {
	Name, Description string
	Cumulative        bool // a count, no state
	Read              func() int64
}

// New returns a Core with nothing in it.
func New(s balancer.Settings, seed uint64, clock Clock) *Proxy {
	leaving, moveAll := context.WithCancel(context.Background())
	closing, turnAll := context.WithCancel(context.Background())
	c := &Proxy{
		Clock:     clock,
		Endpoints: registry.NewEndpoints(),
		Requests:  registry.NewRequests(),
		Counters:  &registry.Counters{},
		Metrics:   &metrics.Set{},
		Log:       slog.New(slog.DiscardHandler),
		facade:    balancer.NewLoop(s, seed),
		pulses:    newPulses(&s, clock),
		leaving:   leaving,
		moveAll:   moveAll,
		closing:   closing,
		turnAll:   turnAll,
	}
	c.terms.Store(&s)
	c.nameClasses(&s)
	return c
}

// Settings are the settings in force, which a transaction that begins now keeps to its end.
func (c *Proxy) Settings() *balancer.Settings { return c.terms.Load() }

// UpdateSettings puts other settings in force, for all transactions that begin from now on.
func (c *Proxy) UpdateSettings(s *balancer.Settings) {
	c.nameClasses(s) // before anyone is counted under them
	c.facade.Report(balancer.UpdateSettings{Settings: s})
	c.pulses.retune(s)
	c.terms.Store(s)
}

func (c *Proxy) nameClasses(s *balancer.Settings) {
	names := make([]string, len(s.Classes))
	for i, class := range s.Classes {
		names[i] = class.Name
	}
	c.Metrics.SetClasses(names)
}

// SetRevision notes the revision of the list that is handed over next.
func (c *Proxy) SetRevision(revision uint64) { c.seen.Store(revision) }

// Run takes turns until ctx ends.
func (c *Proxy) Run(ctx context.Context) error {
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
func (c *Proxy) Admit(address net.Addr, ask Request) (release func(), ok bool) {
	if c.Quota == nil {
		return func() {}, true
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	release, why, ok := c.Quota.Acquire(c.Clock.Now(), host, ask.Class)
	if !ok {
		c.Log.Debug("a client is over a limit", "address", host, "class", ask.Class, "limit", why)
	}
	return release, ok
}

// Reject is for a transaction that a front has no seat for, or that is over a limit. It returns when its client
// should come again.
func (c *Proxy) Reject(ctx context.Context, ask Request, cause EndCause) time.Duration {
	wait := c.facade.RetryAfter(ctx)
	c.Metrics.Class(ask.Class).CountRejected()
	if len(c.observers) > 0 {
		c.observers.began(c.Requests.Number(), ask).Ended(Result{End: registry.EndRejected, Cause: cause, RetryAfter: wait})
	}
	return wait
}

// moving is the time in which everyone moves.
type moving struct{ from, over time.Duration }

// MigrateAll has every transaction that stands, and every one that will, sent away:
// one after another over a time, lest those who take them in are swamped.
func (c *Proxy) MigrateAll(over time.Duration) {
	c.moving.CompareAndSwap(nil, &moving{c.Clock.Now(), over})
	c.moveAll()
}

// RejectPending answers every transaction that is not up, now or later. It guards
// against those that are still waiting when the relay is killed.
func (c *Proxy) RejectPending() { c.turnAll() }

// Closing ends once every transaction that is not up is answered.
func (c *Proxy) Closing() context.Context { return c.closing }

// turn waits for a transaction's turn to be handed over or moved, or for its end. Turns are spread evenly, whatever
// the numbers of those that are there. They count from when everyone began to move: one that comes up after its turn
// moves at once, as the relay may end before another such time is over.
func (c *Proxy) turn(ctx context.Context, over <-chan struct{}, number uint64) {
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

// ProtocolError counts and logs a client that says what makes no sense.
func (c *Proxy) ProtocolError(front, what string) {
	c.Counters.ProtocolErrors.Add(1)
	c.Log.Warn("a client says what makes no sense", "front", front, "what", what)
}

// PublishCounts has the figures tell of the farm as the module sees it. It is called before the
// first turn.
func (c *Proxy) PublishCounts() {
	c.facade.PublishCounts()
	c.Metrics.EndpointCounts = func() (listed, avoided int) { return c.facade.EndpointCounts(c.Clock.Now()) }
}

// Observe has one more observer told of the transactions to come. It is called before
// the first turn.
func (c *Proxy) Observe(o Observer) {
	c.observers = append(c.observers, o)
	c.facade.Observe()
}

// Migrating is closed once everyone is to move.
func (c *Proxy) Migrating() <-chan struct{} { return c.leaving.Done() }

// Serve sees a transaction through. It ends early when ctx does, which says that
// the client has left.
func (c *Proxy) Serve(ctx context.Context, ask Request, x Downstream) {
	now := c.Clock.Now()
	if ask.Settings == nil {
		ask.Settings = c.Settings()
	}
	number, ok := c.Requests.Add(registry.Request{
		Front: ask.Front, Name: ask.Name, Class: ask.Class, Since: now,
	})
	if !ok {
		// A client that uses the name of another's open transaction. Passed on, it
		// is turned down by one server after another, each of them blamed for it, and
		// the route of the other's group is forgotten.
		c.ProtocolError(ask.Front, "a transaction of this name is open")
		x.BadRequest("a transaction of this name is open")
		c.Metrics.Class(ask.Class).CountFailed()
		return
	}
	c.Counters.Requests.Add(1)
	// No client of a class waits longer than that class; one that says so would
	// hold its place for as long as it likes.
	ask.Deadline = min(ask.Deadline, now+patience(ask))
	c.see(ctx, number, ask, x, func(t *transaction) bool { return t.resume(ctx) })
}

// patience is how long a client waits at the most, by its class.
func patience(ask Request) time.Duration {
	if i := ask.RequestOptions.Class; i >= 0 && i < len(ask.Settings.Classes) {
		return ask.Settings.Classes[i].Deadline
	}
	return 0
}

// Adopt sees a transaction through that stands already, as another process of this relay
// has handed it over with its link.
func (c *Proxy) Adopt(ctx context.Context, s *EstablishedRequest, ask Request, x Downstream, link UpstreamConn) {
	ask.EndpointName, ask.Established = s.Endpoint, true
	number, ok := c.Requests.Adopt(registry.Request{
		Front: ask.Front, Name: ask.Name, Class: ask.Class, Since: c.Clock.Now(),
	})
	if !ok {
		link.Close()
		x.Migrate() // a client has its name by now
		return
	}
	c.see(ctx, number, ask, x, func(t *transaction) bool { return t.takeUp(s, link) })
}

// see sees a transaction through that was entered. One that is open already is brought to
// where it stands first.
func (c *Proxy) see(ctx context.Context, number uint64, ask Request, x Downstream, stand func(*transaction) bool) {
	t := &transaction{core: c, x: x, ask: ask, number: number, kind: c.Metrics.Class(ask.Class)}
	defer c.Requests.Remove(t.number)
	c.Metrics.ActiveRequests.Add(1)
	defer c.Metrics.ActiveRequests.Add(-1)
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
	core   *Proxy
	x      Downstream
	ask    Request
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
func (p *pass) move(x Downstream) bool {
	select {
	case <-p.up:
		return x.Migrate()
	case <-p.ended:
		return false
	}
}

// run carries out what the module picks until the transaction is over.
func (t *transaction) run(ctx context.Context, stand func(*transaction) bool) Result {
	c := t.core
	t.ctx = ctx
	if t.ask.Established && !stand(t) {
		t.unavailable(0)
		return Result{End: registry.EndRejected, Cause: CauseNotOpen}
	}
	waiting, answer := context.WithCancel(ctx)
	defer answer()
	if !t.ask.Established {
		defer context.AfterFunc(c.closing, answer)()
	}
	cause := CauseDecided
	for {
		step, err := c.facade.Pick(waiting, t.ticket)
		if err != nil && ctx.Err() == nil {
			// The relay leaves, and the client is still there. Which answer it is owed is the module's to say:
			// its pass may have run, or have been accepted in this very moment.
			c.facade.Report(balancer.RequireAnswer{Handle: t.ticket})
			waiting, cause = ctx, CauseShutdown
			continue
		}
		if err != nil {
			t.pass.stop()
			c.facade.Report(balancer.ClientDisconnected{Handle: t.ticket})
			return Result{End: registry.EndClientLeft, Status: balancer.StatusCancelled}
		}
		switch step.Kind {
		case balancer.ActionAttempt:
			if cause != CauseShutdown { // else it is about to be answered
				t.start(ctx, step)
			}
		case balancer.ActionEstablished:
			t.trace.Established()
			waiting = ctx // it moves with the others
			close(t.pass.granted)
		case balancer.ActionReject:
			if cause == CauseShutdown {
				step.Wait = 0 // another relay may have room at once
			}
			t.unavailable(step.Wait)
			return Result{End: registry.EndRejected, Cause: cause, RetryAfter: step.Wait}
		case balancer.ActionFail:
			t.x.Fail()
			t.kind.CountFailed()
			return Result{End: registry.EndFailed, Cause: cause}
		case balancer.ActionMigrate:
			t.pass.move(t.x)
			return Result{End: registry.EndMigrated, Status: balancer.StatusCancelled}
		case balancer.ActionClosed:
			<-t.pass.ended
			if t.pass.left != nil { // its server's end may cross with its turn to leave: what counts is what its client was told
				<-t.pass.left
			}
			switch {
			case errors.Is(t.pass.cause, errSilent):
				t.x.Migrate()
				return Result{End: registry.EndHeartbeatTimeout, Cause: CauseHeartbeatTimeout, Status: t.pass.how}
			case t.pass.told:
				return Result{End: registry.EndMigrated, Cause: CauseShutdown, Status: t.pass.how}
			case errors.Is(t.pass.cause, errHanded):
				return Result{End: registry.EndHandedOff, Cause: CauseShutdown, Status: t.pass.how}
			}
			return Result{End: registry.EndClosed, Status: t.pass.how}
		}
	}
}

// unavailable gives the unavailable answer.
func (t *transaction) unavailable(comeBack time.Duration) {
	t.x.Reject(comeBack)
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
	if len(t.core.Endpoints.List()) == 0 {
		doubt.Stop() // the list itself is still to come
	}
	for {
		id, named := t.core.Endpoints.Lookup(t.ask.EndpointName)
		if to, ok := t.core.Endpoints.Find(id); named && ok {
			t.core.Requests.Set(t.number, registry.StageAttempting, to.ID)
			link, how := t.attempt(ctx, Attempt{Endpoint: to, Timeout: resumeWait, Resume: true})
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
		to, ok := t.core.Endpoints.Find(step.Endpoint)
		if !ok {
			return balancer.StatusNotSent
		}
		t.core.Requests.Set(t.number, registry.StageAttempting, to.ID)
		began := t.core.Clock.Now()
		link, how := t.attempt(ctx, Attempt{Endpoint: to, Timeout: step.Wait, NotAfter: step.NotAfter})
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
func (t *transaction) attempt(ctx context.Context, out Attempt) (UpstreamConn, balancer.AttemptStatus) {
	if out.clock = t.core.Clock; out.Timeout <= 0 {
		out.Timeout = t.ticket.TimeLeft(out.clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, out.Timeout)
	defer cancel()
	ended := t.trace.AttemptStarted(out.Endpoint.ID)
	link, how := t.x.Attempt(ctx, out)
	ended(how)
	assert.That((link != nil) == (how == balancer.StatusOK), "a pass gives a link exactly when it is up")
	return link, how
}

// join waits until the module has the connection standing, and sees it to its end.
func (t *transaction) join(ctx context.Context, p *pass, to registry.Endpoint, link UpstreamConn) balancer.AttemptStatus {
	c := t.core
	defer link.Close()
	select {
	case <-p.granted:
	case <-ctx.Done():
		return balancer.StatusCancelled
	}
	c.Counters.Established.Add(1)
	c.Requests.Set(t.number, registry.StageEstablished, to.ID)
	pulse := c.pulses.add(&Heartbeat{
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
	how := t.x.Pipe(ctx, link, pulse)
	if errors.Is(context.Cause(ctx), errSilent) {
		return balancer.StatusReset
	}
	return how
}
