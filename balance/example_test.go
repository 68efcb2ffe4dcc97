package balance_test

import (
	"fmt"
	"log"
	"time"

	"lockroad/balance"
)

// A relay hands events over with its clock and carries out what comes back.
func Example() {
	settings := balance.Settings{
		Classes:     []balance.Class{{Aim: 500 * time.Millisecond, Deadline: 2 * time.Second}},
		Relays:      1,
		MaxAttempts: 3,
		Connect:     200 * time.Millisecond,
		ColdShare:   0.2,
		ColdFor:     20 * time.Second,
		TipMultiple: 3,
		TipAfter:    1500 * time.Millisecond,
	}
	if err := settings.Validate(); err != nil {
		log.Fatal(err)
	}
	b := balance.New(settings, 1)
	now := 10 * time.Second // any clock that only goes forward
	b.Handle(now, balance.ServerList{Kind: balance.ListFull, Servers: []balance.Server{
		{ID: 1, State: balance.Ready, Weight: 4},
		{ID: 2, State: balance.Draining, Weight: 4},
	}})
	for _, action := range b.Handle(now, balance.Request{ID: 7, Group: 42, Left: 2 * time.Second}) {
		switch a := action.(type) {
		case balance.Send:
			fmt.Printf("connect request %d to server %d, wait %v\n", a.Request, a.Server, a.Timeout)
		case balance.SetTimer:
			fmt.Printf("timer %d in %v\n", a.Token, a.After)
		}
	}
	for _, action := range b.Handle(now+90*time.Millisecond,
		balance.Outcome{Request: 7, Server: 1, Status: balance.Full}) {
		if a, ok := action.(balance.SetTimer); ok {
			fmt.Printf("try again in %v\n", a.After)
		}
	}
	// Output:
	// timer 1 in 2s
	// connect request 7 to server 1, wait 1s
	// try again in 100ms
}
