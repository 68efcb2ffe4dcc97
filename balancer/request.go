package balancer

import (
	"cmp"
	"time"
)

type request struct {
	Request
	set       *Settings     // that it began under
	class     *Class        // of them
	giveUp    time.Duration // answered by then
	attempts  int
	tried     []EndpointID
	at        *server // where its attempt is out or its connection stands
	up        bool    // the connection stands
	over      bool
	waiting   bool // for notBefore and for the list
	notBefore time.Duration
	listUntil time.Duration // waits for a list until then
	sentAt    time.Duration // its last attempt
	load      float64       // booked at its server
	slot      int           // its place among the server's connections
	span      time.Duration // in which it was last counted in the pace; 0 if never

	mayRun   bool // an attempt may have run, sent at ranSince to a server of ranZone and ranCell
	ranSince time.Duration
	ranZone  int
	ranCell  int
}

// key is what routes are cached by.
func (q *request) key() uint64 { return cmp.Or(q.Group, q.Item) }

// begin enters a request, under the settings that it keeps.
func (b *Balancer) begin(ev Request) *request {
	q := &request{Request: ev, set: cmp.Or(ev.Settings, b.set)}
	q.class = q.set.class(ev.Class)
	b.requests[q.ID] = q
	return q
}

// forget drops a request that is over, with its connection or attempt. There may be none.
func (b *Balancer) forget(q *request) {
	if q == nil {
		return
	}
	q.over = true
	if q.at != nil && q.up {
		q.at.remove(q)
	} else if q.at != nil {
		b.window.out--
	}
	delete(b.requests, q.ID)
}

// standing tells whether a request's connection is up.
func (b *Balancer) standing(id RequestID) bool {
	q := b.requests[id]
	return q != nil && q.up
}
