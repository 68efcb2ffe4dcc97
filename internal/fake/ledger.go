// Package fake plays the parties that a relay has around it, for tests and for
// `lockroad demo`: application servers, discovery, clients and a collector of
// telemetry, over both wires, as a script has it. All of it is on loopback addresses.
//
// Each keeps an account of its own of all that it saw, in a Ledger, which knows
// nothing of the relay's counters or records: what the relay says can be held against it.
package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Attempt is what a server saw of one proxy pass.
type Attempt struct {
	Server    string
	Frontend  string // line or amqp
	Name      string // of the transaction, as its client calls it
	Class     string
	At        time.Time     // its first line, or its attach, came
	TimeLimit time.Duration // that it was told
	Answer    string        // up, busy, error or broken; "" if it had none
	Answered  time.Time
	End       string // of one that was up: bye, away, broken, or gone if the relay ended it
	Ended     time.Time
	Closed    time.Time     // its connection was at an end, whoever ended it
	MaxHeld   time.Duration // the longest that a note of the client took to here
	Garbled   int           // notes that were not as the client sends them, or not in order
}

// Session is what a client saw of one transaction.
type Session struct {
	Frontend    string
	Name        string
	Flow        string // the same for all visits of a client
	Class       string
	Group       string
	Returning   bool // it came back after a move or a break
	Retry       int  // it came again after an unavailable answer, for this time
	At          time.Time
	Answer      string // up, unavailable, failed, or none in time
	SetupTime   time.Duration
	RetryAfter  time.Duration // when it was told to come again; 0 if it was not
	End         string        // of one that was up: left, bye, moved or broken
	Established time.Duration
	TimeLimit   time.Duration
	Echoes      int           // lines or deliveries that came back
	Missed      int           // that did not
	Late        int           // that came back after they were wanted
	MaxHeld     time.Duration // the longest that a line of the server took to here
	// Garbled counts what came back and was not as the server sends it, or not in order,
	// and More what came after an answer that was final.
	Garbled int
	More    int
	Refused bool // the relay's door could not be reached
}

// note is what a client says: the number of the note, the time, and the name that it
// has given the transaction.
func note(seq int, name string) string {
	return fmt.Sprintf("N %d %d %s", seq, time.Now().UnixMicro(), name)
}

// readNote holds a note against what it should be, and returns how long it took.
func readNote(text string, seq int, name string) (took time.Duration, ok bool) {
	var n int
	var microseconds int64
	var of string
	if _, err := fmt.Sscanf(text, "N %d %d %s", &n, &microseconds, &of); err != nil {
		return 0, false
	}
	return time.Since(time.UnixMicro(microseconds)), n == seq && of == name && text == fmt.Sprintf("N %d %d %s", n, microseconds, of)
}

// Killed is the phase of a server that was killed, whatever discovery says of it.
const Killed = "killed"

// EndpointChange is a change of the list that discovery told, or the kill of a server.
type EndpointChange struct {
	At       time.Time
	Endpoint string
	State    string
}

// maxEntries bounds each list of a ledger; what comes after is counted.
const maxEntries = 1 << 20

// EventLog is what the stand-ins saw. It is safe for concurrent use.
type EventLog struct {
	mu         sync.Mutex
	attempts   []*Attempt
	sessions   []*Session
	changes    []*EndpointChange
	overflowed int // entries there was no room for
}

func (l *EventLog) addAttempt(p Attempt) *Attempt { return appendEntry(l, &l.attempts, &p) }

func (l *EventLog) addSession(session Session) *Session { return appendEntry(l, &l.sessions, &session) }

func (l *EventLog) addChange(t EndpointChange) { appendEntry(l, &l.changes, &t) }

// appendEntry puts an entry at the end of a list, unless that is full, and returns it.
func appendEntry[T any](l *EventLog, list *[]*T, entry *T) *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(*list) < maxEntries {
		*list = append(*list, entry)
	} else {
		l.overflowed++
	}
	return entry
}

// reset empties the ledger.
func (l *EventLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts, l.sessions, l.changes, l.overflowed = nil, nil, nil, 0
}

// update changes an entry.
func (l *EventLog) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// Attempts returns what servers saw, in order of time.
func (l *EventLog) Attempts() []Attempt {
	return sortedByTime(l, &l.attempts, func(p Attempt) time.Time { return p.At })
}

// Sessions returns what clients saw, in order of time.
func (l *EventLog) Sessions() []Session {
	return sortedByTime(l, &l.sessions, func(session Session) time.Time { return session.At })
}

// EndpointChanges returns what discovery told, and kills, in order of time.
func (l *EventLog) EndpointChanges() []EndpointChange {
	return sortedByTime(l, &l.changes, func(t EndpointChange) time.Time { return t.At })
}

// Overflowed is how many entries there was no room for.
func (l *EventLog) Overflowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overflowed
}

func sortedByTime[T any](l *EventLog, list *[]*T, at func(T) time.Time) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]T, len(*list))
	for i, p := range *list {
		out[i] = *p
	}
	slices.SortStableFunc(out, func(x, y T) int { return at(x).Compare(at(y)) })
	return out
}
