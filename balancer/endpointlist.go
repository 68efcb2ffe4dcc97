package balancer

import (
	"time"
)

const (
	listPatience = time.Second            // longest wait for a list that was asked for
	listPause    = 500 * time.Millisecond // a list read less than this ago is fresh
)

// listReader keeps the list up to date where it must be asked for.
type listReader struct {
	out     bool // a call is out, since outAt
	outAt   time.Duration
	readAt  time.Duration // when an answer last came
	fails   uint          // calls since then
	waiting []*request    // retries that want it
}

// watch asks for the list and its changes. A timer guards against an answer
// that is lost, and against asking too seldom for rule 3.
func (b *Balancer) watch() {
	if l := &b.list; b.set.PollList && (!l.out || b.now >= l.outAt+listPatience) {
		l.out, l.outAt = true, b.now
		b.do(WatchEndpoints{})
		b.wake(nil, max(b.set.PollInterval/2, listPatience))
	}
}

func (b *Balancer) listArrived(ev EndpointList) {
	l := &b.list
	l.out = false
	switch ev.Kind {
	case ListFailed:
		b.wake(nil, min(listPause<<min(l.fails, 8), b.set.PollInterval/2))
		l.fails++
	case ListCached:
		b.fleet.replace(ev.Endpoints)
		b.watch() // it may be stale
	case ListFull:
		b.fleet.replace(ev.Endpoints)
		l.fails, l.readAt = 0, b.now
	case ListDelta:
		l.fails, l.readAt = 0, b.now
	}
	for _, line := range ev.Endpoints {
		b.update(line)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, q := range waiting {
		q.listUntil = 0
		if q.waiting && !q.over && b.now >= q.notBefore {
			b.advance(q)
		}
	}
}

// update takes a line of the list. A server that has restarted begins anew.
func (b *Balancer) update(line Endpoint) {
	s := b.fleet.find(line.ID)
	switch {
	case s == nil && line.State == StateGone:
	case s == nil:
		b.fleet.insert(&server{Endpoint: line, weight: weightStart, weighed: b.now}, b.now)
	default:
		if line.StartedAt > s.StartedAt {
			s.weight, s.weighed, s.lastSlow, s.awayAt = weightStart, b.now, 0, 0
		}
		s.Endpoint, b.fleet.sure = line, false
		if !s.sending {
			s.drainAt = b.now
			b.sendAway(s)
		}
	}
}
