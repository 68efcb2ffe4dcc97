package balancer

import (
	"time"
)

const (
	backoffBase = 100 * time.Millisecond // wait before the second attempt, doubled for each further one
	onTheWay    = 50 * time.Millisecond  // that what is sent may take to arrive
)

// retry lets a request wait for its backoff and, where lists are asked for, for a list.
func (b *Balancer) retry(q *request) {
	wait := backoffBase << (q.attempts - 1)
	if !b.mayTry(q, b.now+wait) {
		b.end(q, b.spent(q, b.now+wait))
		return
	}
	if b.set.PollList && b.now >= b.list.readAt+listPause {
		// After a zone is lost every retry wants the list: they share one call, and
		// go on with the list they have when it isn't answered.
		q.listUntil = b.now + listPatience
		b.list.waiting = append(b.list.waiting, q)
		b.watch()
	}
	b.rest(q, wait, ReasonBackoff, nil)
}

// mayTry tells whether another attempt is allowed at a time: rule 1 wants time
// left, rule 2 that a repeat is harmless.
func (b *Balancer) mayTry(q *request, at time.Duration) bool {
	return q.attempts < q.set.MaxAttempts && at < q.giveUp &&
		(!q.mayRun || q.class.Effect == Idempotent || at < q.known())
}

// known is until when its servers drop a repeat of what may have run, with time for it to arrive;
// 0 where none does. It is looked at again when the repeat goes out: a connection comes up late.
func (q *request) known() time.Duration {
	if !q.mayRun || q.class.Effect != Deduplicated {
		return 0
	}
	return max(1, q.ranSince+q.class.DeduplicationWindow-onTheWay)
}

// mayUse tells whether rule 2 allows a server for the next attempt: a repeat of
// what may have run stays among the servers that drop repeats.
func (q *request) mayUse(s *server) bool {
	if !q.mayRun || q.class.Effect == Idempotent || q.class.Scope == ScopeAll {
		return true
	}
	return s.Zone == q.ranZone && (q.class.Scope == ScopeZone || s.Cell == q.ranCell)
}
