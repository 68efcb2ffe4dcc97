// Package connpool decides which connection to an endpoint each request uses, where several
// requests may share one as sessions. It does no I/O; whoever embeds it
//
//  1. calls Acquire for each request, and dials if it reports that the connection is new;
//  2. reports the result of the dial with Opened or Closed, and the end of each request with Release;
//  3. calls ExpireIdle when its next time comes, closes the connections that it returns, and reports each with Closed.
//
// All times are on one clock that never goes back. A Pool is not safe for concurrent use: the
// embedder serializes the calls.
package connpool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings bound the connections.
type Settings struct {
	// MaxSessions is the most requests that share a connection, from 1 to 65535. More save
	// handshakes and file descriptors, but the end of one connection then ends as many.
	MaxSessions int
	// IdleTimeout is how long a connection without sessions is kept open.
	IdleTimeout time.Duration
}

// Validate returns an error for the first setting that is out of range.
func (s Settings) Validate() error {
	if s.MaxSessions < 1 || s.MaxSessions > math.MaxUint16 {
		return fmt.Errorf("%d sessions are not within 1 and %d", s.MaxSessions, math.MaxUint16)
	}
	if s.IdleTimeout < 0 {
		return fmt.Errorf("%v is no time", s.IdleTimeout)
	}
	return nil
}

// ID identifies a connection within its pool. IDs are not reused.
type ID uint64

// connection is what the pool knows of a connection.
type connection struct {
	id          ID
	endpoint    string
	maxSessions int           // that the endpoint accepts; until it is open, as many as the settings allow
	sessions    int           // requests that use it or wait for it
	open        bool          // the handshake is complete
	closing     bool          // it takes no new requests
	idleSince   time.Duration // when its last session ended
}

// Pool holds the state of all connections. New returns one; the zero value is not usable.
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

// Acquire chooses the connection for a request to an endpoint: the fullest that has room, so
// that the others become idle and are closed. dial reports that it is new: the caller dials.
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

// preference orders connections: open ones before those being dialled, and fuller ones first.
func (c *connection) preference() int {
	if c.open {
		return c.sessions + math.MaxUint16
	}
	return c.sessions
}

// Opened records that a connection is open, and how many sessions its endpoint accepts. It
// returns how many of the requests that wait for it find no room: for each of them the caller
// calls Release, and then Acquire again.
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

// Drain makes a connection take no new requests, as when its endpoint has not released a
// session. Idle names it once its last session has ended.
func (p *Pool) Drain(id ID) {
	if conn := p.byID[id]; conn != nil {
		conn.closing = true
	}
}

// DrainEndpoint makes all current connections to a draining endpoint take no new requests. Later
// connections to it are not affected.
func (p *Pool) DrainEndpoint(endpoint string) {
	for _, conn := range p.byEndpoint[endpoint] {
		conn.closing = true
	}
}

// Closed records that a connection has been closed, or could not be opened.
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

// ExpireIdle returns the connections to close now, and when to call it next; 0: not before
// something has changed. A connection that it returns takes no more requests.
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
