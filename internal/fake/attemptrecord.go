package fake

import (
	"strings"
	"time"
)

// Answers of a server to an attempt, besides answerUp.
const (
	answerBusy   = "busy"
	answerError  = "error"
	answerBroken = "broken"
)

// Ends of an accepted attempt as recorded by its server, besides endBye and endBroken.
const (
	endAway = "away" // the server drained and migrated it
	endGone = "gone" // the relay closed the connection
)

// attemptRecord records the events of one attempt at a server.
type attemptRecord struct {
	log     *EventLog
	attempt *Attempt // entry of the log, guarded by it
}

func (s *Server) newRecord(attempt Attempt) *attemptRecord {
	attempt.Endpoint = s.Name
	return &attemptRecord{log: s.Log, attempt: s.Log.addAttempt(attempt)}
}

// answered records the server's answer.
func (r *attemptRecord) answered(answer string) {
	r.log.update(func() { r.attempt.Answer, r.attempt.AnsweredAt = answer, time.Now() })
}

// ended records the end of an accepted attempt, unless one is recorded. It accepts a nil receiver.
func (r *attemptRecord) ended(end string) {
	if r == nil {
		return
	}
	r.log.update(func() {
		if r.attempt.Answer == answerUp && r.attempt.End == "" {
			r.attempt.End, r.attempt.EndedAt = end, time.Now()
		}
	})
}

// closed records that the attempt's connection has ended.
func (r *attemptRecord) closed() {
	r.log.update(func() { r.attempt.ClosedAt = time.Now() })
}

// received checks a message of the client against the one expected, and returns the time that
// it took to arrive.
func (r *attemptRecord) received(message string, sequence int) time.Duration {
	took, ok := readMessage(strings.TrimRight(message, "\r\n"), sequence, r.attempt.Name)
	r.log.update(func() {
		r.attempt.MaxMessageDelay = max(r.attempt.MaxMessageDelay, took)
		if !ok {
			r.attempt.Garbled++
		}
	})
	return took
}
