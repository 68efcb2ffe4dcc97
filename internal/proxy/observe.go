package proxy

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// EndCause is why a request ended.
type EndCause uint8

// The causes of an end.
const (
	CauseDecided          EndCause = iota // decided by the balancer, or ended by client or endpoint
	CauseConnectionLimit                  // the frontend had no free admission slot
	CauseShutdown                         // the relay is shutting down
	CauseResumeFailed                     // an open request could not be resumed at its endpoint
	CauseHeartbeatTimeout                 // its endpoint sent nothing within the heartbeat timeout
	CauseQuotaExceeded                    // the quota of its client's address or its class was exhausted
	causeCount
)

// CauseNames are the names of the causes, indexed by EndCause.
var CauseNames = [causeCount]string{"decided", "no-seat", "relay-leaves", "not-open", "no-echo", "over-limit"}

// String returns the name of a cause, or "unknown".
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
	RetryAfter time.Duration          // sent to its client with a rejection; 0 if none
	Status     balancer.AttemptStatus // how its connection ended, if it was established
}

// Observer observes all requests, including rejected ones. RequestStarted is called from
// the goroutine of each request and must not block for long.
type Observer interface {
	RequestStarted(number uint64, request Request) RequestObserver
}

// RequestObserver observes one request. The calls of its own methods don't overlap.
// Decided is called from the goroutine of Proxy.Run, possibly concurrently with the others,
// and must not block.
type RequestObserver interface {
	balancer.DecisionObserver
	// AttemptStarted is called when an attempt starts. The function that it returns is
	// called with the attempt's status: balancer.StatusOK once it has succeeded, or why it failed.
	AttemptStarted(endpoint balancer.EndpointID) func(status balancer.AttemptStatus)
	// Established is called when the balancer has confirmed that the request is established.
	Established()
	// Ended is called when the request has ended. It is the last call.
	Ended(Result)
}

// Observe adds an observer of all later requests. It must be called before Run.
func (p *Proxy) Observe(observer Observer) {
	p.observers = append(p.observers, observer)
	p.loop.Observe()
}

type observers []Observer

func (all observers) requestStarted(number uint64, request Request) requestObservers {
	var started requestObservers
	for _, observer := range all {
		started = append(started, observer.RequestStarted(number, request))
	}
	return started
}

// requestObservers combines the observers of one request into one RequestObserver.
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
