package balancer

import (
	"slices"
	"time"
)

const (
	holdFor = 100 * time.Millisecond // a request that no server may take looks again after this
)

func (b *Balancer) arrived(ev Request) {
	q := b.begin(ev)
	// Rule 1: a timer of the request's own answers it a little ahead of the
	// client's patience, whatever it then waits for.
	left := max(0, ev.TimeLeft-2*b.set.MinTick)
	q.giveUp = b.now + left
	b.wake(q, left)
	b.advance(q)
}

func (b *Balancer) resumed(ev Resumed) {
	q := b.begin(ev.Request)
	q.at, q.attempts = b.fleet.find(ev.Endpoint), 1
	b.stand(q)
	b.sendAway(q.at)
}

// advance sends a request that has no attempt out, or lets it wait.
func (b *Balancer) advance(q *request) {
	q.waiting = false
	if !b.mayTry(q, b.now) {
		b.end(q, b.spent(q, b.now))
		return
	}
	if b.window.full() {
		b.note(VerdictHeld, ReasonWindowFull, q, nil, 0)
		b.window.queue = append(b.window.queue, q)
		return
	}
	s, why := b.pick(q)
	if s == nil && !b.hope(q) {
		b.end(q, ReasonNoViableEndpoint)
		return
	}
	if s == nil || b.mustWait(s) {
		b.rest(q, holdFor, b.held(s), s)
		return
	}
	if !q.mayRun {
		q.ranZone, q.ranCell, q.ranSince = s.Zone, s.Cell, b.now
	}
	q.attempts++
	wait := b.patience(q)
	b.note(VerdictSent, why, q, s, wait)
	q.at, q.sentAt = s, b.now
	b.window.out++
	s.lastSent = b.now
	b.do(SendAttempt{Request: q.ID, Endpoint: s.ID, Timeout: wait, NotAfter: q.known()})
}

// release sends what waited for the window.
func (b *Balancer) release() {
	for w := &b.window; len(w.queue) > 0 && !w.full(); {
		q := w.queue[0]
		w.queue = w.queue[1:]
		if !q.over {
			b.advance(q)
		}
	}
}

// hope tells whether waiting can still find a request a server: one that is ready
// and not yet tried. A request without hope is answered at once.
func (b *Balancer) hope(q *request) bool {
	return slices.ContainsFunc(b.fleet.servers, func(s *server) bool {
		return s.State == StateReady && q.mayUse(s) && !slices.Contains(q.tried, s.ID)
	})
}

func (b *Balancer) rest(q *request, wait time.Duration, why Reason, s *server) {
	b.note(VerdictHeld, why, q, s, wait)
	q.waiting, q.notBefore = true, b.now+wait
	if q.notBefore < q.giveUp {
		b.wake(q, wait)
	}
}

// end gives the final answer. A refusal says that trying again is harmless.
func (b *Balancer) end(q *request, why Reason) {
	ran := q.mayRun || q.at != nil
	if !ran || q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll {
		wait := b.comeBack(q)
		b.note(VerdictRejected, why, q, q.at, wait)
		b.do(Reject{Request: q.ID, RetryAfter: wait})
	} else {
		b.note(VerdictFailed, why, q, q.at, 0)
		b.do(Fail{Request: q.ID})
	}
	b.forget(q)
}

// comeBack is the advice that a refusal carries, and guards against clients that come back to servers as full
// as they were: when the first of the ready servers is no longer held slow, after the backoff of the attempts
// made; the longest where none is ready.
func (b *Balancer) comeBack(q *request) time.Duration {
	soonest := b.set.MaxRetryAfter
	for _, s := range b.fleet.servers {
		if s.State == StateReady {
			wait := backoffBase << min(q.attempts, 8)
			if s.slowAt(b.now) {
				wait = max(wait, s.delayAt+slowLife-b.now)
			}
			soonest = min(soonest, wait)
		}
	}
	return soonest
}

// RetryAfter is when a client should come again that the relay has no place for.
func (b *Balancer) RetryAfter(now time.Duration) time.Duration {
	b.now = now
	return b.comeBack(&request{})
}
