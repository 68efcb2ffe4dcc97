package fake

import (
	"strings"
	"time"
)

// Answers of a server to an attempt, beside answerUp.
const (
	answerBusy   = "busy"
	answerError  = "error"
	answerBroken = "broken"
)

// Ends of an accepted attempt, as its server saw them, beside endBye and endBroken.
const (
	endAway = "away" // the server drained
	endGone = "gone" // the relay ended it
)

// attemptRecord records what a server sees of one attempt.
type attemptRecord struct {
	log     *EventLog
	attempt *Attempt // in the log, which guards it
}

func (s *Server) newRecord(attempt Attempt) *attemptRecord {
	attempt.Endpoint = s.Name
	return &attemptRecord{log: s.Log, attempt: s.Log.addAttempt(attempt)}
}

func (r *attemptRecord) answered(answer string) {
	r.log.update(func() { r.attempt.Answer, r.attempt.AnsweredAt = answer, time.Now() })
}

// ended records the first end of an attempt that was accepted. A nil record has no attempt.
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

// closed records that the attempt's connection is at an end.
func (r *attemptRecord) closed() {
	r.log.update(func() { r.attempt.ClosedAt = time.Now() })
}

// received compares a message of the client with what it should be, and returns how long
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
