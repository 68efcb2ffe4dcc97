package proxy

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// EndCause is why a request ended as it did, where the balancer did not decide it.
type EndCause uint8

// The causes of an end.
const (
	CauseDecided          EndCause = iota // the balancer, the client or the endpoint ended it
	CauseConnectionLimit                  // the frontend had no admission slot for it
	CauseShutdown                         // the relay shuts down
	CauseResumeFailed                     // an open request could not be resumed at its endpoint
	CauseHeartbeatTimeout                 // its endpoint sent nothing within the heartbeat timeout
	CauseQuotaExceeded                    // its client's address, or its class, is at its quota
	causeCount
)

// CauseNames are the names of the causes, in the order of their numbers.
var CauseNames = [causeCount]string{"decided", "no-seat", "relay-leaves", "not-open", "no-echo", "over-limit"}

// String returns the name of a cause.
func (c EndCause) String() string {
	if c >= causeCount {
		return "unknown"
	}
	return CauseNames[c]
}

// Result is how a request ended.
type Result struct {
	End        registry.End
	Cause      EndCause
	RetryAfter time.Duration          // that its client was rejected with; 0 if none
	Status     balancer.AttemptStatus // how its connection ended, if it was established
}

// Observer observes all requests, rejected ones included. Its method is called from each
// request's goroutine and must not block for long.
type Observer interface {
	RequestStarted(number uint64, request Request) RequestObserver
}

// RequestObserver observes one request. Its own methods are called one at a time;
// Decided is called in the balancer's turn, possibly at the same time as another, and
// must not block.
type RequestObserver interface {
	balancer.DecisionObserver
	// AttemptStarted notes that an attempt starts. What it returns notes how the attempt
	// ended, or with balancer.StatusOK that it was established.
	AttemptStarted(endpoint balancer.EndpointID) func(status balancer.AttemptStatus)
	// Established notes that the balancer has the request established.
	Established()
	// Ended notes the request's end. Nothing is called after it.
	Ended(Result)
}

// Observe adds an observer of the requests to come. It is called before Run.
func (p *Proxy) Observe(observer Observer) {
	p.observers = append(p.observers, observer)
	p.loop.Observe()
}

type observers []Observer

func (all observers) requestStarted(number uint64, request Request) requestObservers {
	var begun requestObservers
	for _, observer := range all {
		begun = append(begun, observer.RequestStarted(number, request))
	}
	return begun
}

// requestObservers are the observers of one request, as one.
type requestObservers []RequestObserver

func (all requestObservers) Decided(decision *balancer.Decision) {
	for _, observer := range all {
		observer.Decided(decision)
	}
}

func (all requestObservers) AttemptStarted(endpoint balancer.EndpointID) func(balancer.AttemptStatus) {
	ended := make([]func(balancer.AttemptStatus), len(all))
	for i, observer := range all {
		ended[i] = observer.AttemptStarted(endpoint)
	}
	return func(status balancer.AttemptStatus) {
		for _, end := range ended {
			end(status)
		}
	}
}

func (all requestObservers) Established() {
	for _, observer := range all {
		observer.Established()
	}
}

func (all requestObservers) Ended(result Result) {
	for _, observer := range all {
		observer.Ended(result)
	}
}
