package fake

import (
	"slices"
	"sync"
	"time"
)

// Attempt is a server's record of one attempt.
type Attempt struct {
	Endpoint        string
	Frontend        string // line or amqp
	Name            string // the client's name of the request
	Class           string
	At              time.Time     // arrival of its first line or its attach
	TimeLimit       time.Duration // as sent by the relay
	Answer          string        // up, busy, error or broken; "" if not answered
	AnsweredAt      time.Time
	End             string // if Answer is up: bye, away, broken, or gone if the relay ended it
	EndedAt         time.Time
	ClosedAt        time.Time     // when its connection ended, by either side
	MaxMessageDelay time.Duration // longest time that a message of the client took to arrive
	Garbled         int           // messages altered or out of order
}

// Session is a client's record of one request and the session that it established.
type Session struct {
	Frontend        string
	Name            string
	Flow            string // the same for all sessions of the client
	Class           string
	Group           string
	Returning       bool // the client returned after a migration or a broken connection
	Retry           int  // number of consecutive rejections before this session
	At              time.Time
	Answer          string // up, unavailable, failed, or none if none came in time
	SetupTime       time.Duration
	RetryAfter      time.Duration // as advised by the relay; 0 if it did not
	End             string        // if Answer is up: left, bye, moved, broken or dropped
	EstablishedFor  time.Duration
	TimeLimit       time.Duration
	Echoes          int           // echoes received
	MissingEchoes   int           // messages without an echo
	LateEchoes      int           // echoes after the latency objective
	MaxMessageDelay time.Duration // longest time that a line of the server took to arrive
	// Garbled counts echoes that were altered or out of order. ExtraAnswers is 1 if data
	// followed a final answer.
	Garbled      int
	ExtraAnswers int
	Refused      bool // connecting to the relay failed
}

// Killed is the State of an EndpointChange that records the kill of a server.
const Killed = "killed"

// EndpointChange records a change of the endpoint list or the kill of a server.
type EndpointChange struct {
	At       time.Time
	Endpoint string
	State    string
}

// maxEntries bounds each list of an event log; further entries are only counted.
const maxEntries = 1 << 20

// EventLog records the events that servers, clients and discovery observe. It is safe for concurrent
// use. The zero value is ready to use.
type EventLog struct {
	mu         sync.Mutex // guards the fields below and the entries themselves
	attempts   []*Attempt
	sessions   []*Session
	changes    []*EndpointChange
	overflowed int // entries dropped because a list was full
}

func (l *EventLog) addAttempt(attempt Attempt) *Attempt { return appendEntry(l, &l.attempts, &attempt) }

func (l *EventLog) addSession(session Session) *Session { return appendEntry(l, &l.sessions, &session) }

func (l *EventLog) addChange(change EndpointChange) { appendEntry(l, &l.changes, &change) }

// appendEntry appends an entry to a list, or counts it as dropped if the list is full, and returns it.
func appendEntry[T any](log *EventLog, list *[]*T, entry *T) *T {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(*list) < maxEntries {
		*list = append(*list, entry)
	} else {
		log.overflowed++
	}
	return entry
}

// reset empties the log.
func (l *EventLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts, l.sessions, l.changes, l.overflowed = nil, nil, nil, 0
}

// update calls do, which may change entries, with mu held.
func (l *EventLog) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// Attempts returns the servers' records, ordered by time.
func (l *EventLog) Attempts() []Attempt {
	return sortedByTime(l, &l.attempts, func(attempt Attempt) time.Time { return attempt.At })
}

// Sessions returns the clients' records, ordered by time.
func (l *EventLog) Sessions() []Session {
	return sortedByTime(l, &l.sessions, func(session Session) time.Time { return session.At })
}

// EndpointChanges returns the changes of the endpoint list and the kills, ordered by time.
func (l *EventLog) EndpointChanges() []EndpointChange {
	return sortedByTime(l, &l.changes, func(change EndpointChange) time.Time { return change.At })
}

// Overflowed returns the number of entries dropped because a list was full.
func (l *EventLog) Overflowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overflowed
}

func sortedByTime[T any](log *EventLog, list *[]*T, at func(T) time.Time) []T {
	log.mu.Lock()
	defer log.mu.Unlock()
	out := make([]T, len(*list))
	for i, entry := range *list {
		out[i] = *entry
	}
	slices.SortStableFunc(out, func(x, y T) int { return at(x).Compare(at(y)) })
	return out
}
