package proxy

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// EndCause is why a transaction ended as it did where the module did not decide it.
type EndCause uint8

// The causes of an end.
const (
	CauseDecided          EndCause = iota // the module, the client or the server ended it
	CauseConnectionLimit                  // the front had no seat for it
	CauseShutdown                         // the relay stops
	CauseNotOpen                          // it was said to be open at a server where it was not
	CauseHeartbeatTimeout                 // its server went silent
	CauseQuotaExceeded                    // its client's address, or its class, has as much as may be
	causes
)

// CauseNames are the names of the causes, in the order of their numbers.
var CauseNames = [causes]string{"decided", "no-seat", "relay-leaves", "not-open", "no-echo", "over-limit"}

// String is the name of a cause.
func (c EndCause) String() string {
	if c >= causes {
		return "unknown"
	}
	return CauseNames[c]
}

// Result is how a transaction ended.
type Result struct {
	End        registry.End
	Cause      EndCause
	RetryAfter time.Duration          // told with the unavailable answer; 0 if nothing was
	Status     balancer.AttemptStatus // of one that stood: how its connection ended
}

// Observer is told of every transaction, those that no seat is free for included.
// Nothing that it does may block for long.
type Observer interface {
	Began(number uint64, ask Request) RequestObserver
}

// RequestObserver follows one transaction. Its own steps are told one at a time; decisions come
// in the turn that decides, beside them, and must not be held up.
type RequestObserver interface {
	balancer.DecisionObserver
	// Pass notes that a proxy pass begins; what it returns notes how it ended, or
	// with balancer.StatusOK that it was accepted.
	AttemptStarted(server balancer.EndpointID) func(how balancer.AttemptStatus)
	Established()
	Ended(Result)
}

type observers []Observer

func (o observers) began(number uint64, ask Request) traces {
	var all traces
	for _, one := range o {
		all = append(all, one.Began(number, ask))
	}
	return all
}

// traces are the traces of one transaction.
type traces []RequestObserver

func (t traces) Decided(d *balancer.Decision) {
	for _, one := range t {
		one.Decided(d)
	}
}

func (t traces) AttemptStarted(server balancer.EndpointID) func(balancer.AttemptStatus) {
	ended := make([]func(balancer.AttemptStatus), len(t))
	for i, one := range t {
		ended[i] = one.AttemptStarted(server)
	}
	return func(how balancer.AttemptStatus) {
		for _, end := range ended {
			end(how)
		}
	}
}

func (t traces) Established() {
	for _, one := range t {
		one.Established()
	}
}

func (t traces) Ended(f Result) {
	for _, one := range t {
		one.Ended(f)
	}
}
