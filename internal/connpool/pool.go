// Package connpool decides which connection to an endpoint each request uses, if several
// requests can share a connection as sessions. It does no I/O. The caller
//
//  1. calls Acquire for each request, and dials if it reports that the connection is new;
//  2. reports the result of the dial with Opened or Closed, and the end of each request with Release;
//  3. calls ExpireIdle when its next time comes, closes the connections that it returns, and reports each with Closed.
//
// All times are on one monotonic clock. A Pool is not safe for concurrent use: the caller
// serializes the calls.
package connpool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings limit the connections of a pool.
type Settings struct {
	// MaxSessions is the maximum number of requests that share a connection, from 1 to 65535.
	// A higher number saves handshakes and file descriptors, but more requests fail with a
	// connection.
	MaxSessions int
	// IdleTimeout is how long a connection without sessions is kept open.
	IdleTimeout time.Duration
}

// Validate returns an error for the first setting that is out of range.
func (s Settings) Validate() error {
	if s.MaxSessions < 1 || s.MaxSessions > math.MaxUint16 {
		return fmt.Errorf("max sessions per connection is %d, must be 1 to %d", s.MaxSessions, math.MaxUint16)
	}
	if s.IdleTimeout < 0 {
		return fmt.Errorf("idle timeout of connections is %v, must not be negative", s.IdleTimeout)
	}
	return nil
}

// ID identifies a connection within its pool. IDs are not reused.
type ID uint64

// connection is the state of one connection.
type connection struct {
	id          ID
	endpoint    string
	maxSessions int           // accepted by the endpoint; until the connection is open, Settings.MaxSessions
	sessions    int           // requests that use the connection or wait for it to open
	open        bool          // the handshake is complete
	closing     bool          // it is not used for new requests
	idleSince   time.Duration // end of its last session
}

// Pool holds the state of all connections. The zero value is not usable; use New.
type Pool struct {
	settings   Settings
	lastID     ID
	byEndpoint map[string][]*connection
	byID       map[ID]*connection
}

// New returns a pool without connections.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, byEndpoint: make(map[string][]*connection), byID: make(map[ID]*connection)}
}

// Acquire chooses the connection for a request to an endpoint: the one with the most sessions
// that accepts one more, so that the others become idle and are closed. dial reports that
// the connection is new and that the caller must dial it.
func (p *Pool) Acquire(endpoint string) (id ID, dial bool) {
	var best *connection
	for _, conn := range p.byEndpoint[endpoint] {
		if conn.closing || conn.sessions >= conn.maxSessions {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(conn.preference(), best.preference()), cmp.Compare(best.id, conn.id)) > 0 {
			best = conn
		}
	}
	if best == nil {
		p.lastID++
		best = &connection{id: p.lastID, endpoint: endpoint, maxSessions: p.settings.MaxSessions}
		p.byEndpoint[endpoint] = append(p.byEndpoint[endpoint], best)
		p.byID[best.id] = best
		dial = true
	}
	best.sessions++
	return best.id, dial
}

// preference returns the rank of a connection; Acquire chooses the highest. Open connections rank
// above those that are being dialled, and among either, those with more sessions rank higher.
func (c *connection) preference() int {
	if c.open {
		return c.sessions + math.MaxUint16
	}
	return c.sessions
}

// Opened records that a connection is open, and how many sessions its endpoint accepts. It
// returns the number of waiting requests above that limit: for each of them the caller calls
// Release, and then Acquire again.
func (p *Pool) Opened(id ID, maxSessions int) (excess int) {
	conn := p.byID[id]
	if conn == nil {
		return 0
	}
	conn.open, conn.maxSessions = true, max(1, min(maxSessions, p.settings.MaxSessions))
	return max(0, conn.sessions-conn.maxSessions)
}

// Release records that a request has ended, which frees its session.
func (p *Pool) Release(now time.Duration, id ID) {
	if conn := p.byID[id]; conn != nil && conn.sessions > 0 {
		if conn.sessions--; conn.sessions == 0 {
			conn.idleSince = now
		}
	}
}

// Drain excludes a connection from new requests, for example after its endpoint has failed to
// end a session. ExpireIdle returns it once its last session has ended.
func (p *Pool) Drain(id ID) {
	if conn := p.byID[id]; conn != nil {
		conn.closing = true
	}
}

// DrainEndpoint excludes all current connections to an endpoint from new requests. Connections
// that are opened later are not affected.
func (p *Pool) DrainEndpoint(endpoint string) {
	for _, conn := range p.byEndpoint[endpoint] {
		conn.closing = true
	}
}

// Closed records that a connection was closed, or could not be opened, and removes it.
func (p *Pool) Closed(id ID) {
	conn := p.byID[id]
	if conn == nil {
		return
	}
	delete(p.byID, id)
	remaining := slices.DeleteFunc(p.byEndpoint[conn.endpoint], func(candidate *connection) bool { return candidate == conn })
	if p.byEndpoint[conn.endpoint] = remaining; len(remaining) == 0 {
		delete(p.byEndpoint, conn.endpoint)
	}
}

// ExpireIdle returns the connections that the caller must close now, and excludes them from new
// requests. next is the time of its next call; 0: none until the pool has changed.
func (p *Pool) ExpireIdle(now time.Duration) (idle []ID, next time.Duration) {
	for id, conn := range p.byID {
		if !conn.open || conn.sessions > 0 {
			continue
		}
		switch deadline := conn.idleSince + p.settings.IdleTimeout; {
		case conn.closing || now >= deadline:
			conn.closing = true
			idle = append(idle, id)
		case next == 0 || deadline < next:
			next = deadline
		}
	}
	slices.Sort(idle)
	return idle, next
}

// Counts returns the number of connections and the number of their sessions.
func (p *Pool) Counts() (conns, sessions int) {
	for _, conn := range p.byID {
		sessions += conn.sessions
	}
	return len(p.byID), sessions
}
