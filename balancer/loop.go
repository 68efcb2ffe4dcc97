package balancer

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/internal/assert"
)

// mailboxCapacity bounds what waits for a Tick. Whoever reports more than that waits.
const mailboxCapacity = 4096

// Loop drives one Balancer for code that talks to a network. Pick waits for the next thing to do for a
// request, Report hands in what has happened, Tick makes time go on. Nothing is decided here. See the
// package's contract for which goroutine calls what.
type Loop struct {
	mailbox chan any // a *RequestHandle that was submitted, a query, or a LoopEvent
	wakeup  chan struct{}

	// Only the goroutine that calls Tick uses these.
	balancer        *Balancer
	handles         map[RequestID]*RequestHandle // of requests that have not ended
	timers          timerHeap
	lastID          RequestID
	now             time.Duration // of this Tick
	countsPublished bool          // counts are published with each Tick
	avoidedBuffer   []time.Duration
	revision        uint64        // of the endpoint list
	listedAt        time.Duration // when the list was last updated; negative before the first list

	counts atomic.Pointer[endpointCounts] // nil before the first

	closeOnce sync.Once
	closed    chan struct{}
}

// NewLoop returns a Loop of a Balancer that has just started. Updates of the endpoint list are reported to
// it without being asked for: Settings.PollList is ignored.
func NewLoop(settings Settings, seed uint64) *Loop {
	settings.PollList = false
	return &Loop{
		mailbox:  make(chan any, mailboxCapacity),
		wakeup:   make(chan struct{}, 1),
		balancer: New(settings, seed),
		handles:  make(map[RequestID]*RequestHandle),
		listedAt: -1,
		closed:   make(chan struct{}),
	}
}

// Observe makes the Loop tell the observers of requests of each decision. It is called before the first
// Tick.
func (l *Loop) Observe() { l.balancer.Observe(l.notifyObserver) }

// PublishCounts makes the Loop publish what EndpointCounts returns. It is called before the first Tick.
func (l *Loop) PublishCounts() { l.countsPublished = true }

// NextAction blocks until there is something to do for a request, and returns it. It fails only if ctx ends
// first, with its cause; an action that is there already comes before that. The first call submits the
// request. All calls for a request come from one goroutine.
func (l *Loop) NextAction(ctx context.Context, handle *RequestHandle) (RequestAction, error) {
	if !handle.submitted {
		handle.submitted = true
		l.enqueue(handle)
	}
	select {
	case action := <-handle.actions:
		return action, nil
	default:
	}
	select {
	case action := <-handle.actions:
		return action, nil
	case <-ctx.Done():
		return RequestAction{}, context.Cause(ctx)
	}
}

// Report hands in what has happened. It takes effect in the next Tick. Any goroutine may call it; it
// blocks while the mailbox is full, until a Tick or Close.
func (l *Loop) Report(event LoopEvent) { l.enqueue(event) }

// Pending yields a value when something waits for a Tick.
func (l *Loop) Pending() <-chan struct{} { return l.wakeup }

// Close releases whoever reports or waits for an answer after the last Tick. It may be called again.
func (l *Loop) Close() { l.closeOnce.Do(func() { close(l.closed) }) }

// Tick brings the Balancer up to a time of the clock, which never goes back: it handles what was submitted
// and reported before, then the timers that are due, and hands out the actions. It returns the time of the
// next timer, and false if there is none. One goroutine makes all calls.
func (l *Loop) Tick(now time.Duration) (time.Duration, bool) {
	l.now = now
	for pending := len(l.mailbox); pending > 0; pending-- {
		l.deliver(<-l.mailbox)
	}
	for len(l.timers) > 0 && l.timers[0].at <= now {
		timer := heap.Pop(&l.timers).(timerEntry)
		l.handleEvent(Timer{Token: timer.token})
	}
	if l.countsPublished {
		l.publishCounts()
	}
	if len(l.timers) == 0 {
		return 0, false
	}
	return l.timers[0].at, true
}

// enqueue puts a message into the mailbox and wakes the goroutine that calls Tick.
func (l *Loop) enqueue(message any) {
	select {
	case l.mailbox <- message:
	case <-l.closed:
		return
	}
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// deliver handles one message of the mailbox. Events of a request that has ended are left aside: they
// have crossed with its final action.
func (l *Loop) deliver(message any) {
	switch message := message.(type) {
	case *RequestHandle:
		l.beginRequest(message)
	case query:
		message()
	case RestoreSnapshot:
		l.balancer.restoreSnapshot(message.Snapshot)
	case SlowStartBudget:
		l.balancer.slowStartShare = message.Share
	case AttemptEstablished:
		if handle := message.Handle; !handle.done {
			// This comes first: the Balancer may migrate it at once.
			l.sendAction(handle, RequestAction{Kind: ActionEstablished, Endpoint: handle.endpoint})
			l.handleEvent(Established{
				Request: handle.id, Endpoint: handle.endpoint, SetupTime: message.SetupTime,
			})
		}
	case AttemptEnded:
		if handle := message.Handle; !handle.done {
			l.endAttempt(handle, message.Status)
		}
	case RequireAnswer:
		if handle := message.Handle; !handle.done {
			l.handleEvent(AnswerRequired{Request: handle.id})
		}
	case ClientDisconnected:
		if handle := message.Handle; !handle.done && handle.id != 0 {
			l.handleEvent(ClientLeft{Request: handle.id})
			l.finishRequest(handle, RequestAction{Kind: ActionClosed})
		}
	case LoadReport:
		if handle := message.Handle; !handle.done {
			l.handleEvent(ConnectionLoad{Request: handle.id, Endpoint: handle.endpoint, Load: message.Load})
		}
	case DelayReport:
		l.handleEvent(EndpointDelay{Endpoint: message.Endpoint, Delay: message.Delay})
	case UpdateSettings:
		settings := *message.Settings
		settings.PollList = false
		l.handleEvent(SettingsChanged{&settings})
	case EndpointUpdate:
		l.revision, l.listedAt = message.Revision, l.now
		l.handleEvent(EndpointList{Kind: message.Kind, Endpoints: message.Endpoints})
	}
}

// endAttempt handles the end of an attempt, or of the connection that it became.
func (l *Loop) endAttempt(handle *RequestHandle, status AttemptStatus) {
	established := l.balancer.isEstablished(handle.id)
	l.handleEvent(Outcome{
		Request: handle.id, Endpoint: handle.endpoint, Status: status, Final: established,
	})
	if established {
		l.finishRequest(handle, RequestAction{Kind: ActionClosed})
	}
}

// beginRequest hands a request that was submitted to the Balancer, under an ID of its own.
func (l *Loop) beginRequest(handle *RequestHandle) {
	l.lastID++
	handle.id = l.lastID
	l.handles[handle.id] = handle
	options := &handle.options
	request := Request{
		ID:           handle.id,
		Class:        options.Class,
		Item:         options.Item,
		Group:        options.Group,
		TimeLeft:     handle.TimeLeft(l.now),
		ExpectedLoad: options.ExpectedLoad,
		Returning:    options.Returning,
		Settings:     options.Settings,
	}
	if options.Established {
		handle.endpoint = options.Endpoint
		// This comes first: the Balancer may migrate it at once.
		l.sendAction(handle, RequestAction{Kind: ActionEstablished, Endpoint: handle.endpoint})
		l.handleEvent(Resumed{Request: request, Endpoint: handle.endpoint})
		return
	}
	l.handleEvent(request)
}

// handleEvent hands an event to the Balancer, and hands out the actions that come back.
func (l *Loop) handleEvent(event Event) {
	for _, action := range l.balancer.Handle(l.now, event) {
		switch action := action.(type) {
		case SendAttempt:
			handle := l.handles[action.Request]
			handle.endpoint = action.Endpoint
			l.sendAction(handle, RequestAction{
				Kind:     ActionAttempt,
				Endpoint: action.Endpoint,
				Wait:     action.Timeout,
				NotAfter: action.NotAfter,
			})
		case Reject:
			handle := l.handles[action.Request]
			l.finishRequest(handle, RequestAction{Kind: ActionReject, Wait: action.RetryAfter})
		case Fail:
			l.finishRequest(l.handles[action.Request], RequestAction{Kind: ActionFail})
		case Migrate:
			l.finishRequest(l.handles[action.Request], RequestAction{Kind: ActionMigrate})
		case SetTimer:
			heap.Push(&l.timers, timerEntry{l.now + action.After, action.Token})
		}
	}
}

// finishRequest sends a request its final action.
func (l *Loop) finishRequest(handle *RequestHandle, action RequestAction) {
	handle.done = true
	delete(l.handles, handle.id)
	l.sendAction(handle, action)
}

// sendAction sends a handle an action. It never blocks: at most an attempt, its establishment and a final
// action come before Pick has to be called.
func (l *Loop) sendAction(handle *RequestHandle, action RequestAction) {
	select {
	case handle.actions <- action:
	default:
		assert.That(false, "the actions of a request handle are picked as they come")
	}
}

// notifyObserver tells the observer of a request, if it has one, of a decision on it.
func (l *Loop) notifyObserver(id RequestID, decision *Decision) {
	handle := l.handles[id]
	if handle == nil || handle.options.Observer == nil {
		return
	}
	if decision.Revision = l.revision; l.listedAt >= 0 {
		decision.ListAge = l.now - l.listedAt
	}
	handle.options.Observer.Decided(decision)
}
