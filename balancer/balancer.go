package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer routes, retries, rejects and migrates the requests of one relay. It is not safe for concurrent
// use; see the contract in the package documentation.
type Balancer struct {
	settings         *Settings     // current; a request keeps those that it arrived under
	messageObjective time.Duration // shortest of all classes; 0 if none is set
	rng              *rand.Rand    // replays depend on the order of its draws
	now              time.Duration // time of the event being handled
	actions          []Action      // returned for the event being handled; the array is reused
	requests         map[RequestID]*requestRecord
	requestTimers    map[uint32]*requestRecord  // by timer token; nil marks a timer of the endpoint list
	drainTimers      map[uint32]*endpointRecord // by timer token; draining endpoints
	lastToken        uint32
	routes           routeCache
	endpoints        endpointTable
	concurrency      concurrencyWindow
	listPoll         listPoller
	salt             uint64          // makes this relay's hashes differ from those of other relays
	slowStartShare   float64         // this process's share of the relay's slow-start budget, 0 to 1
	arrivalRate      decayingCounter // requests for which this relay drew an endpoint
	setupTime        setupTimeEstimate
	recorder         decisionRecorder
}

// New returns a Balancer without endpoints or requests. The settings must pass Settings.Validate. Equal
// settings, seeds and events produce equal actions.
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

// Handle processes an event at a time on the relay's clock and returns the actions to execute, in order.
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

// handleTimer handles an expired timer of a draining endpoint, of the endpoint list or of a request. Timers
// are never cancelled, so it ignores one that is no longer needed.
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
	case request.held && b.now < request.listDeadline:
		b.setRequestTimer(request, request.listDeadline-b.now)
	case request.held && b.now >= request.notBefore:
		b.advance(request)
	}
}

// emit appends an action to the result of Handle.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// setRequestTimer sets a timer for a request, or for the endpoint list if request is nil.
func (b *Balancer) setRequestTimer(request *requestRecord, after time.Duration) {
	b.lastToken++
	b.requestTimers[b.lastToken] = request
	b.emit(SetTimer{Token: b.lastToken, After: after})
}

// setDrainTimer sets the timer for the next migration step of a draining endpoint.
func (b *Balancer) setDrainTimer(endpoint *endpointRecord, after time.Duration) {
	b.lastToken++
	b.drainTimers[b.lastToken] = endpoint
	b.emit(SetTimer{Token: b.lastToken, After: after})
}
