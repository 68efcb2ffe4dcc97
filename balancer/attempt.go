package balancer

import (
	"cmp"
	"time"
)

const (
	setupGuess = 4 * backoffBase // that set-ups take where none was seen
)

func (b *Balancer) stands(ev Established) {
	q := b.requests[ev.Request]
	if q == nil || q.at == nil || q.up {
		return
	}
	s := q.at
	s.stoodAt = b.now
	s.raise(b.now)
	b.setups.stood(ev.SetupTime, b.now)
	if !q.Returning && b.warmth(s) >= 1 {
		b.fleet.recent.add(b.now)
	}
	b.window.out--
	if ev.SetupTime <= q.class.LatencyObjective {
		b.window.size = min(windowMax, b.window.size+1/b.window.size)
	}
	b.stand(q)
	b.sendAway(s) // it may have begun to drain while it had no one to send away
}

// stand books a connection that is up and writes its group's route.
func (b *Balancer) stand(q *request) {
	q.up = true
	if q.at != nil {
		b.routes.put(q.key(), q.at.ID, b.now+cacheLife)
		b.fleet.book(q)
	}
}

func (b *Balancer) ended(ev Outcome) {
	q := b.requests[ev.Request]
	if q == nil || q.at == nil && !ev.Final && !q.up {
		return
	}
	switch s := q.at; ev.Status {
	case StatusOK, StatusCancelled, StatusNotSent:
	case StatusRedirected:
		// The server knows before the list that it drains. It guards against placing
		// clients where they come from, to be sent away again, until the list comes.
		if s != nil {
			s.awayAt = b.now
			b.routes.clear(q.key(), s.ID)
		}
	default:
		b.failed(q, ev.Status)
	}
	if q.up || ev.Final {
		b.forget(q)
		return
	}
	if ev.Status == StatusTimeout {
		b.setups.cutOff(ev.Endpoint, b.now-q.sentAt, b.now)
	}
	q.mayRun = q.mayRun ||
		ev.Status != StatusFull && ev.Status != StatusConnectFailed && ev.Status != StatusNotSent
	q.at = nil
	b.window.out--
	b.retry(q)
}

// failed answers the failure of an attempt, or of the connection it became: the
// route was wrong, and the server loses weight.
func (b *Balancer) failed(q *request, why AttemptStatus) {
	s := q.at
	if s == nil {
		return
	}
	if !q.up && (why == StatusError || why == StatusTimeout) && b.sharedCause(s) {
		return
	}
	b.routes.clear(q.key(), s.ID)
	q.tried = append(q.tried, s.ID)
	s.cut(weightCut, b.now)
	if why == StatusFull { // it turns away what it can't bear: requests wait as for a slow one
		s.lastSlow, s.delayAt = b.now, b.now
		b.strange(s)
	}
}

// patience is the time-out of the attempt that goes out: while another may follow, it leaves
// time for it. None follows where a time-out may not be repeated; and where set-ups take as long
// as half of what is left, one cut off there only begins anew, with less time and on more load.
func (b *Balancer) patience(q *request) time.Duration {
	left := q.giveUp - b.now
	if q.attempts >= q.set.MaxAttempts || b.shared() ||
		q.class.Effect == AtMostOnce || left/2 <= cmp.Or(b.setups.usual(b.now), setupGuess) {
		return left
	}
	return max(left/2, min(left, b.set.ConnectTimeout+holdFor))
}
