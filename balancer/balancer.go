package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer decides for one relay. It is not safe for concurrent use; see the package's contract.
type Balancer struct {
	settings         *Settings     // in force
	messageObjective time.Duration // the shortest of all classes; 0 if none has one
	rng              *rand.Rand    // the order of its draws is part of the behaviour
	now              time.Duration // of the event being handled
	actions          []Action      // of the event being handled; its room is used again
	requests         map[RequestID]*requestRecord
	requestTimers    map[uint32]*requestRecord  // by token; a nil request: the timer of the list
	drainTimers      map[uint32]*endpointRecord // by token: endpoints that drain
	lastToken        uint32
	routes           routeCache
	endpoints        endpointTable
	concurrency      concurrencyWindow
	listPoll         listPoller
	salt             uint64          // tells this relay's hashes from those of other relays
	slowStartShare   float64         // of the relay's slow-start budget, that is this process's: 0 to 1
	arrivalRate      decayingCounter // requests of this relay that an endpoint was drawn for
	setupTime        setupTimeEstimate
	recorder         decisionRecorder
}

// New returns a Balancer that has just started. The settings pass Settings.Validate. Equal settings,
// seeds and events give equal actions.
func New(settings Settings, seed uint64) *Balancer {
	return &Balancer{
		settings:         &settings,
		messageObjective: settings.shortestMessageObjective(),
		slowStartShare:   1,
		salt:             rand.NewPCG(seed, 1).Uint64(),
		rng:              rand.New(rand.NewPCG(seed, 0)),
		requests:         make(map[RequestID]*requestRecord),
		requestTimers:    make(map[uint32]*requestRecord),
		drainTimers:      make(map[uint32]*endpointRecord),
		routes:           routeCache{capacity: routeCacheCapacity, index: make(map[uint64]int)},
		endpoints:        endpointTable{recentSetups: decayingCounter{timeConstant: setupRateTimeConstant}},
		arrivalRate:      decayingCounter{timeConstant: arrivalRateTimeConstant},
		concurrency:      concurrencyWindow{limit: maxConcurrency, sharedCauseUntil: math.MinInt64},
		listPoll:         listPoller{answeredAt: math.MinInt64},
	}
}

// Handle takes an event at a time of the relay's clock and returns the actions to carry out, in order.
// The slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.endpoints.eventTotalsValid = false
	b.arrivalRate.countedFrom = cmp.Or(b.arrivalRate.countedFrom, now)
	b.dispatch(event)
	b.releaseQueued()
	return b.actions
}

func (b *Balancer) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointList:
		b.handleList(event)
	case SettingsChanged:
		b.handleSettings(event.Settings)
	case Request:
		b.handleRequest(event)
	case Resumed:
		b.handleResumed(event)
	case Established:
		b.handleEstablished(event)
	case Outcome:
		b.handleOutcome(event)
	case AnswerRequired:
		if request := b.requests[event.Request]; request != nil && !request.established {
			b.answer(request, ReasonShutdown)
		}
	case ClientLeft:
		b.removeRequest(b.requests[event.Request])
	case ConnectionLoad:
		if request := b.requests[event.Request]; request != nil && request.established {
			b.endpoints.recordLoad(request, event.Load)
		}
	case EndpointDelay:
		if endpoint := b.endpoints.find(event.Endpoint); endpoint != nil {
			b.observeDelay(endpoint, event.Delay)
		}
	case Timer:
		b.handleTimer(event.Token)
	}
}

// handleTimer handles a timer of a draining endpoint, of the list or of a request. Timers are never
// cancelled, so it first finds out whether this one still means anything.
func (b *Balancer) handleTimer(token uint32) {
	request, ok := b.requestTimers[token]
	endpoint := b.drainTimers[token]
	delete(b.requestTimers, token)
	delete(b.drainTimers, token)
	switch {
	case endpoint != nil:
		endpoint.migrating = false
		b.migrateDraining(endpoint)
	case !ok:
	case request == nil && (b.listPoll.requested || b.listPoll.failures > 0):
		b.pollList()
	case request == nil || request.done || request.established:
	case b.now >= request.deadline:
		b.answer(request, ReasonDeadlineExceeded)
	case request.waiting && b.now < request.listDeadline:
		b.setRequestTimer(request, request.listDeadline-b.now)
	case request.waiting && b.now >= request.notBefore:
		b.advance(request)
	}
}

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// setRequestTimer sets a timer of a request, or of the endpoint list where request is nil.
func (b *Balancer) setRequestTimer(request *requestRecord, after time.Duration) {
	b.lastToken++
	b.requestTimers[b.lastToken] = request
	b.emit(SetTimer{Token: b.lastToken, After: after})
}

// setDrainTimer sets the timer of an endpoint's next step of migration.
func (b *Balancer) setDrainTimer(endpoint *endpointRecord, after time.Duration) {
	b.lastToken++
	b.drainTimers[b.lastToken] = endpoint
	b.emit(SetTimer{Token: b.lastToken, After: after})
}
