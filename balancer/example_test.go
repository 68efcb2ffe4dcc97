package balancer_test

import (
	"fmt"
	"log"
	"time"

	"lockroad/balancer"
)

// A relay passes events with the time of its clock to Handle and executes the returned actions.
func Example() {
	settings := balancer.Settings{
		Classes:           []balancer.Class{{LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second}},
		RelayCount:        1,
		MaxAttempts:       3,
		ConnectTimeout:    200 * time.Millisecond,
		InitialCapacity:   0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    1500 * time.Millisecond,
	}
	if err := settings.Validate(); err != nil {
		log.Fatal(err)
	}
	b := balancer.New(settings, 1)
	now := 10 * time.Second // any clock that never goes back
	b.Handle(now, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: []balancer.Endpoint{
		{ID: 1, State: balancer.StateReady, Size: 4},
		{ID: 2, State: balancer.StateDraining, Size: 4},
	}})
	for _, action := range b.Handle(now, balancer.Request{ID: 7, Group: 42, TimeLeft: 2 * time.Second}) {
		switch a := action.(type) {
		case balancer.SendAttempt:
			fmt.Printf("send request %d to endpoint %d, timeout %v\n", a.Request, a.Endpoint, a.Timeout)
		case balancer.SetTimer:
			fmt.Printf("timer %d in %v\n", a.Token, a.After)
		}
	}
	for _, action := range b.Handle(now+90*time.Millisecond,
		balancer.Outcome{Request: 7, Endpoint: 1, Status: balancer.StatusFull}) {
		if a, ok := action.(balancer.SetTimer); ok {
			fmt.Printf("retry in %v\n", a.After)
		}
	}
	// Output:
	// timer 1 in 2s
	// send request 7 to endpoint 1, timeout 1s
	// retry in 100ms
}
