package fake

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"
)

// Answers to a session's request.
const (
	answerUp          = "up"
	answerUnavailable = "unavailable"
	answerFailed      = "failed"
	answerNone        = "none" // no answer in time
)

// Ends of an established session as recorded by its client.
const (
	endLeft    = "left" // the client ended it
	endBye     = "bye"
	endMoved   = "moved"
	endBroken  = "broken"
	endDropped = "dropped"
)

// Lines of a relay other than echoes.
const (
	lineMove   = "MOVE\r\n"
	lineBye    = "BYE\r\n"
	lineBroken = "broken" // marks a broken connection; not on the wire
	prefixLoad = "LOAD "
)

const (
	leaveTimeout       = 2 * time.Second // how long a leaving client waits for the end of its session
	minMessageInterval = 10 * time.Millisecond
	lineQueue          = 16 // capacity of channels of lines and messages
)

// clientSession is one session of a client, run by one goroutine.
type clientSession struct {
	pool   *ClientPool
	client *client
	record *Session        // entry of the event log, guarded by it
	drop   <-chan struct{} // closed when the client is to drop the connection; nil: never
}

// transport is the connection of an established session over either protocol.
type transport interface {
	send(sequence int) error // sends the message with a sequence number
	leave()                  // starts a regular end of the session
}

// run runs the session and returns how it ended, or its answer if it was not established.
func (s *clientSession) run(ctx context.Context) string {
	if s.client.frontend == "amqp" {
		return s.runAMQP(ctx)
	}
	return s.runLine(ctx)
}

func (s *clientSession) update(do func()) { s.pool.Log.update(do) }

// answered records the answer to the request, and returns it.
func (s *clientSession) answered(answer string, retryAfter time.Duration) string {
	s.update(func() {
		s.record.Answer, s.record.SetupTime, s.record.RetryAfter = answer, time.Since(s.record.At), retryAfter
	})
	return answer
}

// ended records how the established session ended, and returns it.
func (s *clientSession) ended(end string) string {
	s.update(func() { s.record.End, s.record.EstablishedFor = end, time.Since(s.record.At)-s.record.SetupTime })
	return end
}

// exchangeMessages sends messages and checks their echoes until the session ends, and returns how it ended.
// lines carries the lines that the relay sends, or their equivalents; it is closed when the connection
// ends.
func (s *clientSession) exchangeMessages(ctx context.Context, lines <-chan string, connection transport) string {
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

// endOfLine returns how a line or the end of the connection ends the session, or "" if it does not.
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

// checkEcho checks an echo against the message with a sequence number, and records its latency.
func (s *clientSession) checkEcho(line string, sequence int) {
	var microseconds int64
	_, err := fmt.Sscanf(line, "M %d ", &microseconds)
	delay := time.Since(time.UnixMicro(microseconds)) // since the server sent the echo
	_, message, _ := strings.Cut(strings.TrimPrefix(line, "M "), " ")
	took, ok := readMessage(message, sequence, s.record.Name)
	s.update(func() {
		if s.record.Echoes++; err != nil || !ok {
			s.record.Garbled++
		} else {
			s.record.MaxMessageDelay = max(s.record.MaxMessageDelay, delay)
		}
		if took > cmp.Or(s.client.class.LatencyObjective, defaultObjective) {
			s.record.LateEchoes++
		}
	})
}
