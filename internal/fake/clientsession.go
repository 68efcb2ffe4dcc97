package fake

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"
)

// Answers that a client gets.
const (
	answerUp          = "up"
	answerUnavailable = "unavailable"
	answerFailed      = "failed"
	answerNone        = "none" // in time
)

// Ends of an established session, as its client saw them.
const (
	endLeft    = "left" // by the client's own will
	endBye     = "bye"
	endMoved   = "moved"
	endBroken  = "broken"
	endDropped = "dropped"
)

// Lines that a relay sends beside echoes.
const (
	lineMove   = "MOVE\r\n"
	lineBye    = "BYE\r\n"
	lineBroken = "broken" // put in by the reader of a connection that broke
	prefixLoad = "LOAD "
)

const (
	leaveTimeout       = 2 * time.Second // a client that leaves waits this long for the end
	minMessageInterval = 10 * time.Millisecond
	lineQueue          = 16 // lines that are read and not looked at yet
)

// clientSession is one session of a client, run by one goroutine.
type clientSession struct {
	pool   *ClientPool
	client *client
	record *Session        // in the event log, which guards it
	drop   <-chan struct{} // closed when the client is to drop its connection; nil: never
}

// transport is an established session's connection, whichever its protocol.
type transport interface {
	send(sequence int) error // of a message
	leave()                  // begins a regular end
}

// run runs the session and returns its end, or its answer where it wasn't established.
func (s *clientSession) run(ctx context.Context) string {
	if s.client.frontend == "amqp" {
		return s.runAMQP(ctx)
	}
	return s.runLine(ctx)
}

func (s *clientSession) update(do func()) { s.pool.Log.update(do) }

func (s *clientSession) answered(answer string, retryAfter time.Duration) string {
	s.update(func() {
		s.record.Answer, s.record.SetupTime, s.record.RetryAfter = answer, time.Since(s.record.At), retryAfter
	})
	return answer
}

func (s *clientSession) ended(end string) string {
	s.update(func() { s.record.End, s.record.EstablishedFor = end, time.Since(s.record.At)-s.record.SetupTime })
	return end
}

// converse sends messages until an end. What comes back are echoes, and the words that
// end a session; lines is closed when the connection is at an end.
func (s *clientSession) converse(ctx context.Context, lines <-chan string, connection transport) string {
	lifetime := time.NewTimer(s.client.drawLifetime())
	defer lifetime.Stop()
	interval := time.NewTicker(max(s.pool.MessageInterval, minMessageInterval))
	defer interval.Stop()
	var deadline <-chan time.Time
	sent, received, leaving := 0, 0, false
	defer func() { s.update(func() { s.record.MissingEchoes = sent - received }) }()
	stopped := ctx.Done()
	leave := func() {
		leaving, stopped = true, nil
		connection.leave()
		deadline = time.After(leaveTimeout)
	}
	for {
		select {
		case line, open := <-lines:
			switch end := endOfLine(line, open, leaving); {
			case end != "":
				return s.ended(end)
			case line != lineBye && !strings.HasPrefix(line, prefixLoad):
				received++
				s.checkEcho(strings.TrimRight(line, "\r\n"), received)
			}
		case <-interval.C:
			if !leaving && connection.send(sent+1) == nil {
				sent++
			}
		case <-s.drop:
			return s.ended(endDropped)
		case <-lifetime.C:
			leave()
		case <-stopped:
			leave()
		case <-deadline:
			return s.ended(endLeft)
		}
	}
}

// endOfLine is how a session ends by what was read, or "" if it goes on.
func endOfLine(line string, open, leaving bool) string {
	switch {
	case !open && leaving:
		return endLeft
	case !open:
		return endBye
	case line == lineBroken:
		return endBroken
	case line == lineMove:
		return endMoved
	}
	return ""
}

// checkEcho compares what came back with what it should be.
func (s *clientSession) checkEcho(line string, sequence int) {
	var microseconds int64
	_, err := fmt.Sscanf(line, "M %d ", &microseconds)
	held := time.Since(time.UnixMicro(microseconds))
	_, message, _ := strings.Cut(strings.TrimPrefix(line, "M "), " ")
	took, ok := readMessage(message, sequence, s.record.Name)
	s.update(func() {
		if s.record.Echoes++; err != nil || !ok {
			s.record.Garbled++
		} else {
			s.record.MaxMessageDelay = max(s.record.MaxMessageDelay, held)
		}
		if took > cmp.Or(s.client.class.LatencyObjective, defaultObjective) {
			s.record.LateEchoes++
		}
	})
}
