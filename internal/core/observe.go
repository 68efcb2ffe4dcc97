package core

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// Cause is why a transaction ended as it did where the module did not decide it.
type Cause uint8

// The causes of an end.
const (
	Decided     Cause = iota // the module, the client or the server ended it
	NoSeat                   // the front had no seat for it
	RelayLeaves              // the relay stops
	NotOpen                  // it was said to be open at a server where it was not
	NoEcho                   // its server went silent
	OverLimit                // its client's address, or its class, has as much as may be
	causes
)

// Causes are the names of the causes, in the order of their numbers.
var Causes = [causes]string{"decided", "no-seat", "relay-leaves", "not-open", "no-echo", "over-limit"}

// String is the name of a cause.
func (c Cause) String() string {
	if c >= causes {
		return "unknown"
	}
	return Causes[c]
}

// Final is how a transaction ended.
type Final struct {
	End      registry.End
	Cause    Cause
	ComeBack time.Duration          // told with the unavailable answer; 0 if nothing was
	How      balancer.AttemptStatus // of one that stood: how its connection ended
}

// Observer is told of every transaction, those that no seat is free for included.
// Nothing that it does may block for long.
type Observer interface {
	Began(number uint64, ask Ask) Trace
}

// Trace follows one transaction. Its own steps are told one at a time; decisions come
// in the turn that decides, beside them, and must not be held up.
type Trace interface {
	balancer.DecisionObserver
	// Pass notes that a proxy pass begins; what it returns notes how it ended, or
	// with balancer.StatusOK that it was accepted.
	Pass(server balancer.EndpointID) func(how balancer.AttemptStatus)
	Up()
	Ended(Final)
}

type observers []Observer

func (o observers) began(number uint64, ask Ask) traces {
	var all traces
	for _, one := range o {
		all = append(all, one.Began(number, ask))
	}
	return all
}

// traces are the traces of one transaction.
type traces []Trace

func (t traces) Decided(d *balancer.Decision) {
	for _, one := range t {
		one.Decided(d)
	}
}

func (t traces) Pass(server balancer.EndpointID) func(balancer.AttemptStatus) {
	ended := make([]func(balancer.AttemptStatus), len(t))
	for i, one := range t {
		ended[i] = one.Pass(server)
	}
	return func(how balancer.AttemptStatus) {
		for _, end := range ended {
			end(how)
		}
	}
}

func (t traces) Up() {
	for _, one := range t {
		one.Up()
	}
}

func (t traces) Ended(f Final) {
	for _, one := range t {
		one.Ended(f)
	}
}
