package line

import (
	"sync"
	"time"

	"lockroad/balance"
)

// Application servers tell two things by LOAD lines: the load of the connection
// they come on, in microseconds of work a second, and, on one connection of the
// relay, the milliseconds that a message takes while that is long. Nothing on
// the line tells them apart, and taken for loads, delays leave the module blind
// to slow servers. What does tell is that delays come once a second on the dot
// from a server, and that their figures are small.
const (
	beat      = time.Second
	beatSlack = 12 * time.Millisecond
	beatLife  = 30 * time.Second // a beat not heard for this long has to be found again
	freshFor  = 60 * time.Millisecond
	sureDelay = 600    // no connection is as light as this many microseconds a second
	mostDelay = 20_000 // milliseconds
	twoBeats  = 2      // notes on the dot that make a beat sure
)

// notes tells loads from delays.
type notes struct {
	mu   sync.Mutex
	from map[balance.ServerID]*beats
}

// beats is what is known of the times at which a server tells its delay.
type beats struct {
	at    time.Duration // a delay came last, or what may have been one
	count int           // how many have come on the dot; 0 if at is a guess
}

// delay tells whether the figure of a LOAD line is a delay. since is how long the
// connection has been up: the first that a server tells of a connection, at once,
// is its load.
func (n *notes) delay(server balance.ServerID, figure float64, now, since time.Duration) bool {
	if since < freshFor || figure <= 0 || figure >= mostDelay {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from == nil {
		n.from = make(map[balance.ServerID]*beats)
	}
	b := n.from[server]
	if b == nil || now-b.at > beatLife {
		b = &beats{at: now - beatLife}
		n.from[server] = b
	}
	gap := now - b.at
	off := min(gap%beat, beat-gap%beat)
	switch {
	case gap >= beat-beatSlack && off <= beatSlack && (b.count > 0 || gap < beat+beat/2):
		b.at, b.count = now, b.count+1
		return true
	case b.count >= twoBeats:
		return false
	case figure < sureDelay:
		b.at, b.count = now, 1
		return true
	case b.count == 0:
		b.at = now
	}
	return false
}
