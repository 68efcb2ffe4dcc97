// Package connpool decides over which connections to application servers transactions go, where several may
// share one. It does no I/O: whoever embeds it
//
//  1. asks Take for each transaction, and brings a connection up where that says so;
//  2. tells what became of it with Opened or Lost, and of each transaction's end with Done;
//  3. closes the connections that Idle names, at the times that it names, and tells of each with Lost.
//
// All times are on one clock that never goes back.
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
	MaxSessions int           // transactions over a connection at the most. More save set-ups and descriptors; one connection's end ends as many
	IdleTimeout time.Duration // a connection without any is kept for so long
}

// Validate tells what makes no sense.
func (s Settings) Validate() error {
	if s.MaxSessions < 1 || s.MaxSessions > math.MaxUint16 {
		return fmt.Errorf("%d sessions are not within 1 and %d", s.MaxSessions, math.MaxUint16)
	}
	if s.IdleTimeout < 0 {
		return fmt.Errorf("%v is no time", s.IdleTimeout)
	}
	return nil
}

// ID names a connection.
type ID uint64

type conn struct {
	id     ID
	server string
	most   int // sessions that it takes; until it is open, as many as the settings have
	used   int
	open   bool
	shut   bool          // it takes nothing new
	since  time.Duration // it has had none
}

// Pool holds what is known of the connections. The zero value is none.
type Pool struct {
	set  Settings
	last ID
	all  map[string][]*conn
	byID map[ID]*conn
}

// New returns a pool without connections.
func New(s Settings) *Pool {
	return &Pool{set: s, all: make(map[string][]*conn), byID: make(map[ID]*conn)}
}

// Take chooses the connection of a transaction to a server: the fullest that has room, so that the others empty
// and go. dial says that it is a new one, which the caller is to bring up.
func (p *Pool) Take(server string) (id ID, dial bool) {
	var best *conn
	for _, c := range p.all[server] {
		if c.shut || c.used >= c.most {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.order(), best.order()), cmp.Compare(best.id, c.id)) > 0 {
			best = c
		}
	}
	if best == nil {
		p.last++
		best = &conn{id: p.last, server: server, most: p.set.MaxSessions}
		p.all[server] = append(p.all[server], best)
		p.byID[best.id] = best
		dial = true
	}
	best.used++
	return best.id, dial
}

// order puts open connections before those that are on their way, and fuller ones first.
func (c *conn) order() int {
	if c.open {
		return c.used + math.MaxUint16
	}
	return c.used
}

// Opened notes that a connection is up, and how many sessions its server takes. It returns how many of the
// transactions that wait for it find no room: they are to be Done there, and to Take anew.
func (p *Pool) Opened(id ID, most int) (over int) {
	c := p.byID[id]
	if c == nil {
		return 0
	}
	c.open, c.most = true, max(1, min(most, p.set.MaxSessions))
	return max(0, c.used-c.most)
}

// Done notes that a transaction is over and its session has come free again.
func (p *Pool) Done(now time.Duration, id ID) {
	if c := p.byID[id]; c != nil && c.used > 0 {
		if c.used--; c.used == 0 {
			c.since = now
		}
	}
}

// Shut has a connection take nothing new, as one whose server has not let go of a session. It closes with its last one.
func (p *Pool) Shut(id ID) {
	if c := p.byID[id]; c != nil {
		c.shut = true
	}
}

// Leave has all connections of a server that drains take nothing new. Those that come later are not meant.
func (p *Pool) Leave(server string) {
	for _, c := range p.all[server] {
		c.shut = true
	}
}

// Lost notes that a connection is closed, or never came up.
func (p *Pool) Lost(id ID) {
	c := p.byID[id]
	if c == nil {
		return
	}
	delete(p.byID, id)
	rest := slices.DeleteFunc(p.all[c.server], func(x *conn) bool { return x == c })
	if p.all[c.server] = rest; len(rest) == 0 {
		delete(p.all, c.server)
	}
}

// Idle names the connections that are to be closed now, and when to ask again; 0: not before something has changed. A
// connection that it names takes nothing more.
func (p *Pool) Idle(now time.Duration) (out []ID, next time.Duration) {
	for id, c := range p.byID {
		if !c.open || c.used > 0 {
			continue
		}
		switch at := c.since + p.set.IdleTimeout; {
		case c.shut || now >= at:
			c.shut = true
			out = append(out, id)
		case next == 0 || at < next:
			next = at
		}
	}
	slices.Sort(out)
	return out, next
}

// Conns is how many connections there are, and Sessions how many transactions they have.
func (p *Pool) Conns() (conns, sessions int) {
	for _, c := range p.byID {
		sessions += c.used
	}
	return len(p.byID), sessions
}
