package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	cutPause = 900 * time.Millisecond // least time between two reliefs of a slow server
	slowLife = 3 * time.Second        // a server is slow for this long after the last note
	slowPart = 0.3                    // while less of the fleet is slow, draws pass over slow servers,
	easePart = 0.1                    // and while less is, over those that are eased into work
	easeFor  = 10 * time.Second       // a server that was slow is eased into work for this long,
	easeGap  = 200 * time.Millisecond // by one set-up in this from all relays together
	drainIn  = 3 * time.Second        // work piled up on a slow server should be gone by then
	keepMin  = 0.2                    // part of its connections that a slow server keeps at one time
)

// delayed guards against a server that slows but accepts, and so keeps its groups. Messages slower than
// wanted are a failure: weight is cut, and so many connections leave that what is piled up can be worked off
// in time. It grows as the load exceeds what the server does, so two notes tell by how much. Parts of a
// connection leave by chance, lest many relays all let go of their one.
func (b *Balancer) delayed(s *server, delay time.Duration) {
	growth := delay.Seconds() // in seconds a second, from nothing a second ago
	if since := b.now - s.delayAt; s.delay > 0 && since > 0 && since < slowLife {
		growth = float64(delay-s.delay) / float64(since)
	}
	s.delay, s.delayAt = delay, b.now
	if b.aim == 0 || delay <= b.aim {
		return
	}
	s.lastSlow = b.now
	b.strange(s)
	if b.now < s.relieved+cutPause {
		return
	}
	keep := (1 - float64(delay)/float64(drainIn)) / max(0.1, 1+growth)
	if keep >= 1 {
		return
	}
	s.relieved = b.now
	keep = max(keepMin, keep)
	s.cut(keep, b.now)
	b.relieve(s, int(float64(len(s.conns))*(1-keep)+b.rng.Float64()), ReasonLoadRelief)
}

// mustWait guards against set-ups that keep slow servers slow: requests wait
// while a server is slow or full, and lest they then come all at once, it is
// eased into work. A group whose cached server is so is drawn anew first.
func (b *Balancer) mustWait(s *server) bool {
	return s.slowAt(b.now) || s.lastSlow > 0 && b.now < s.lastSlow+easeFor &&
		!b.turn(s, b.part*b.set.OverloadWindow.Seconds()/easeGap.Seconds()/float64(b.set.Relays))
}

// relieve moves n of a server's connections away: small groups first and whole,
// as a group left in part is paid for twice; then a part of a large one, which
// has outgrown its server. Cleared routes let their groups grow elsewhere.
func (b *Balancer) relieve(s *server, n int, why Reason) {
	conns := slices.Clone(s.conns)
	rank := func(q *request) float64 {
		return float64(s.groups[q.key()]/b.set.Relays) + uniform(q.key(), s.ID)
	}
	slices.SortStableFunc(conns, func(x, y *request) int { return cmp.Compare(rank(x), rank(y)) })
	for _, q := range conns[:n] {
		b.routes.clear(q.key(), s.ID)
		b.note(VerdictMigrated, why, q, s, 0)
		b.do(Migrate{Request: q.ID})
		b.forget(q)
	}
}

// slowAt tells whether the server was slow or full when last heard of.
func (s *server) slowAt(now time.Duration) bool {
	return s.lastSlow > 0 && s.lastSlow == s.delayAt && now < s.delayAt+slowLife
}

// strange enters a server among the odd ones, as it is slow now.
func (b *Balancer) strange(s *server) {
	if f := &b.fleet; f.sure && !s.odd {
		s.odd = true
		f.odd = append(f.odd, s)
	}
}
