package fake

import (
	"slices"
	"sync"
	"time"
)

// Attempt is what a server saw of one attempt.
type Attempt struct {
	Endpoint        string
	Frontend        string // line or amqp
	Name            string // of the request, as its client calls it
	Class           string
	At              time.Time     // its first line, or its attach, came
	TimeLimit       time.Duration // as the relay told it
	Answer          string        // up, busy, error or broken; "" if it had none
	AnsweredAt      time.Time
	End             string // of one that was up: bye, away, broken, or gone if the relay ended it
	EndedAt         time.Time
	ClosedAt        time.Time     // its connection was at an end, whoever ended it
	MaxMessageDelay time.Duration // the longest that a message of the client took to arrive
	Garbled         int           // messages that were not as the client sends them, or not in order
}

// Session is what a client saw of one request.
type Session struct {
	Frontend        string
	Name            string
	Flow            string // the same for all sessions of a client
	Class           string
	Group           string
	Returning       bool // the client returned after a migration or a broken connection
	Retry           int  // the number of rejections in a row before this session
	At              time.Time
	Answer          string // up, unavailable, failed, or none in time
	SetupTime       time.Duration
	RetryAfter      time.Duration // as the relay advised; 0 if it did not
	End             string        // of one that was up: left, bye, moved, broken or dropped
	EstablishedFor  time.Duration
	TimeLimit       time.Duration
	Echoes          int           // lines or deliveries that came back
	MissingEchoes   int           // that did not
	LateEchoes      int           // that came back after they were wanted
	MaxMessageDelay time.Duration // the longest that a line of the server took to arrive
	// Garbled counts lines that were not as the server sends them, or not in order, and
	// More the sessions in which anything followed a final answer.
	Garbled      int
	ExtraAnswers int
	Refused      bool // the relay's listener could not be reached
}

// Killed is the state of a server that was killed, whatever discovery reports.
const Killed = "killed"

// EndpointChange is a change of the endpoint list by discovery, or the kill of a server.
type EndpointChange struct {
	At       time.Time
	Endpoint string
	State    string
}

// maxEntries bounds each list of an event log; what comes after is only counted.
const maxEntries = 1 << 20

// EventLog is what servers, clients and discovery saw. It is safe for concurrent use; the
// zero value is empty and ready.
type EventLog struct {
	mu         sync.Mutex // guards the fields below and the entries themselves
	attempts   []*Attempt
	sessions   []*Session
	changes    []*EndpointChange
	overflowed int // entries that found no room
}

func (l *EventLog) addAttempt(attempt Attempt) *Attempt { return appendEntry(l, &l.attempts, &attempt) }

func (l *EventLog) addSession(session Session) *Session { return appendEntry(l, &l.sessions, &session) }

func (l *EventLog) addChange(change EndpointChange) { appendEntry(l, &l.changes, &change) }

// appendEntry appends an entry to a list, unless that is full, and returns it.
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

// reset empties the log.
func (l *EventLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts, l.sessions, l.changes, l.overflowed = nil, nil, nil, 0
}

// update changes entries: do runs with the lock held.
func (l *EventLog) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// Attempts returns what servers saw, in order of time.
func (l *EventLog) Attempts() []Attempt {
	return sortedByTime(l, &l.attempts, func(attempt Attempt) time.Time { return attempt.At })
}

// Sessions returns what clients saw, in order of time.
func (l *EventLog) Sessions() []Session {
	return sortedByTime(l, &l.sessions, func(session Session) time.Time { return session.At })
}

// EndpointChanges returns the changes of the endpoint list, and kills, in order of time.
func (l *EventLog) EndpointChanges() []EndpointChange {
	return sortedByTime(l, &l.changes, func(change EndpointChange) time.Time { return change.At })
}

// Overflowed returns the number of entries that found no room.
func (l *EventLog) Overflowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overflowed
}

func sortedByTime[T any](l *EventLog, list *[]*T, at func(T) time.Time) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]T, len(*list))
	for i, entry := range *list {
		out[i] = *entry
	}
	slices.SortStableFunc(out, func(x, y T) int { return at(x).Compare(at(y)) })
	return out
}
