package balancer

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/internal/assert"
)

// mailboxCapacity limits the messages that wait for a Tick. Senders block while the mailbox is full.
const mailboxCapacity = 4096

// Loop drives one Balancer for code that does network I/O. NextAction waits for the next action for a
// request, Report submits events, Tick processes them and advances the clock. All decisions are made by the
// Balancer. The package documentation says which goroutine may call which method.
type Loop struct {
	mailbox chan any // a submitted *RequestHandle, a query, or a LoopEvent
	wakeup  chan struct{}

	// These fields are used only by the goroutine that calls Tick.
	balancer        *Balancer
	handles         map[RequestID]*RequestHandle // of requests that have not ended
	timers          timerHeap
	lastID          RequestID
	now             time.Duration // time of the current Tick
	countsPublished bool          // each Tick publishes counts
	avoidedBuffer   []time.Duration
	listRevision    uint64        // of the endpoint list
	listUpdatedAt   time.Duration // last update of the list; negative before the first

	counts atomic.Pointer[endpointCounts] // nil before the first publication

	closeOnce sync.Once
	closed    chan struct{}
}

// NewLoop returns a Loop with a new Balancer. It ignores Settings.PollList: updates of the endpoint list are
// reported without polling.
func NewLoop(settings Settings, seed uint64) *Loop {
	settings.PollList = false
	return &Loop{
		mailbox:       make(chan any, mailboxCapacity),
		wakeup:        make(chan struct{}, 1),
		balancer:      New(settings, seed),
		handles:       make(map[RequestID]*RequestHandle),
		listUpdatedAt: -1,
		closed:        make(chan struct{}),
	}
}

// Observe makes the Loop report decisions to the observers of requests. It must be called before the first
// Tick.
func (l *Loop) Observe() { l.balancer.Observe(l.notifyObserver) }

// PublishCounts makes the Loop publish the result of EndpointCounts. It must be called before the first Tick.
func (l *Loop) PublishCounts() { l.countsPublished = true }

// NextAction blocks until there is an action for a request and returns it. It returns an action that is
// already available even if ctx has ended; else the end of ctx makes it fail with the cause. The first call
// submits the request. All calls for a request must come from one goroutine.
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

// Report submits an event, which the next Tick processes. Any goroutine may call it. It blocks while the
// mailbox is full, until a Tick or Close.
func (l *Loop) Report(event LoopEvent) { l.enqueue(event) }

// Pending returns a channel that receives a value when a message waits for a Tick.
func (l *Loop) Pending() <-chan struct{} { return l.wakeup }

// Close unblocks callers that report events or wait for answers after the last Tick. It may be called again.
func (l *Loop) Close() { l.closeOnce.Do(func() { close(l.closed) }) }

// Tick advances the Balancer to a time of the clock, which must not go back: it handles the messages in the
// mailbox, then the timers that are due, and sends the resulting actions to the handles. It returns the time
// of the next timer, and false if there is none. All calls must come from one goroutine.
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

// deliver handles one message from the mailbox. It ignores events of requests that have ended, as a final
// action and an event may cross.
func (l *Loop) deliver(message any) {
	switch message := message.(type) {
	case *RequestHandle:
		l.beginRequest(message)
	case query:
		message()
	case RestoreSnapshot:
		l.balancer.restoreSnapshot(message.Snapshot)
	case SetSlowStartShare:
		l.balancer.slowStartShare = message.Share
	case AttemptEstablished:
		if handle := message.Handle; !handle.done {
			// Send this first: the Balancer may migrate the connection at once.
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
		l.listRevision, l.listUpdatedAt = message.Revision, l.now
		l.handleEvent(EndpointList{Kind: message.Kind, Endpoints: message.Endpoints})
	}
}

// endAttempt handles the end of an attempt or of an established connection.
func (l *Loop) endAttempt(handle *RequestHandle, status AttemptStatus) {
	established := l.balancer.isEstablished(handle.id)
	l.handleEvent(Outcome{
		Request: handle.id, Endpoint: handle.endpoint, Status: status, Final: established,
	})
	if established {
		l.finishRequest(handle, RequestAction{Kind: ActionClosed})
	}
}

// beginRequest assigns an ID to a submitted request and passes the request to the Balancer.
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
		// Send this first: the Balancer may migrate the connection at once.
		l.sendAction(handle, RequestAction{Kind: ActionEstablished, Endpoint: handle.endpoint})
		l.handleEvent(Resumed{Request: request, Endpoint: handle.endpoint})
		return
	}
	l.handleEvent(request)
}

// handleEvent passes an event to the Balancer and sends the resulting actions to their handles.
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

// finishRequest ends a request and sends its final action.
func (l *Loop) finishRequest(handle *RequestHandle, action RequestAction) {
	handle.done = true
	delete(l.handles, handle.id)
	l.sendAction(handle, action)
}

// sendAction adds an action to a handle's buffer. It never blocks: the buffer holds every action that can
// follow before the next call of NextAction.
func (l *Loop) sendAction(handle *RequestHandle, action RequestAction) {
	select {
	case handle.actions <- action:
	default:
		assert.That(false, "the action buffer of a request handle is not full")
	}
}

// notifyObserver reports a decision to the observer of its request, if there is one.
func (l *Loop) notifyObserver(id RequestID, decision *Decision) {
	handle := l.handles[id]
	if handle == nil || handle.options.Observer == nil {
		return
	}
	if decision.Revision = l.listRevision; l.listUpdatedAt >= 0 {
		decision.ListAge = l.now - l.listUpdatedAt
	}
	handle.options.Observer.Decided(decision)
}
