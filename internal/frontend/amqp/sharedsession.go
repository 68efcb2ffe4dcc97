package amqp

import (
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

// sharedSession is one session of a multiplexer. The multiplexer's goroutine adds received frames to its queue, and the
// goroutine that serves its link reads them.
type sharedSession struct {
	*session
	multiplexer *multiplexer
	onRelease   func() // called once, after both sides have ended the session
	releaseOnce sync.Once

	mu              sync.Mutex // guards the fields below
	queue           []framing.Frame
	queuedTransfers int           // transfers in the queue
	queuedBytes     int           // memory that other frames in the queue take
	beginPermitted  bool          // its begin was sent or is about to be sent
	endedLocally    bool          // by this side
	endSent         bool          // this side's end was sent; the channel must not be reused before that
	endedRemotely   bool          // by the peer or by the end of the connection
	err             error         // why it ended remotely; nil after an end
	deadline        time.Time     // limits all calls of nextFrame; zero: none
	changed         chan struct{} // signals a change of any of the above
}

// enqueue adds a received frame. A peer that sends more than the window allows has its session ended.
func (s *sharedSession) enqueue(frame framing.Frame) {
	s.mu.Lock()
	transfer := frame.Code == framing.CodeTransfer
	size := frame.MemorySize()
	overflow := transfer && s.queuedTransfers >= int(s.window) ||
		!transfer && (len(s.queue)-s.queuedTransfers >= maxPendingControlFrames || s.queuedBytes+size > maxPendingControlBytes)
	if !s.endedLocally && !overflow {
		s.queue = append(s.queue, frame)
		if transfer {
			s.queuedTransfers++
		} else {
			s.queuedBytes += size
		}
	}
	ended := s.endedLocally
	s.mu.Unlock()
	if overflow && !ended {
		s.endRemotely(framing.Errorf(framing.CondWindowViolation, "more than the session's window takes"))
		s.endLocally()
		return
	}
	s.notify()
}

// notify wakes nextFrame.
func (s *sharedSession) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// endRemotely records that the peer will send nothing more. Queued frames can still be read.
func (s *sharedSession) endRemotely(err error) {
	s.mu.Lock()
	if !s.endedRemotely {
		s.endedRemotely, s.err = true, err
	}
	s.mu.Unlock()
	s.session.markEnded()
	s.notify()
}

// setDeadline sets the deadline of nextFrame, including a call that is waiting.
func (s *sharedSession) setDeadline(deadline time.Time) {
	s.mu.Lock()
	s.deadline = deadline
	s.mu.Unlock()
	s.notify()
}

// nextFrame waits for the next frame. It fails at the end of the session or the connection, and with
// os.ErrDeadlineExceeded at the deadline or, if wait is positive, after wait.
func (s *sharedSession) nextFrame(wait time.Duration) (framing.Frame, error) {
	var waitUntil time.Time
	if wait > 0 {
		waitUntil = time.Now().Add(wait)
	}
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			frame := s.queue[0]
			s.queue[0] = framing.Frame{}
			s.queue = s.queue[1:]
			if frame.Code == framing.CodeTransfer {
				s.queuedTransfers--
			} else {
				s.queuedBytes -= frame.MemorySize()
			}
			s.mu.Unlock()
			return frame, nil
		}
		done, err, deadline := s.endedRemotely || s.endedLocally, s.err, s.deadline
		s.mu.Unlock()
		if done {
			if err == nil {
				err = errConnectionClosing
			}
			return framing.Frame{}, err
		}
		if !waitUntil.IsZero() && (deadline.IsZero() || waitUntil.Before(deadline)) {
			deadline = waitUntil
		}
		if deadline.IsZero() {
			<-s.changed
			continue
		}
		left := time.Until(deadline)
		if left <= 0 {
			return framing.Frame{}, os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(left)
		select {
		case <-s.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// endLocally ends the session and drops its queue; later frames of the peer are ignored. It reports whether the peer
// has ended the session too.
func (s *sharedSession) endLocally() bool {
	s.mu.Lock()
	s.queue, s.queuedTransfers, s.queuedBytes = nil, 0, 0
	s.mu.Unlock()
	s.sendEnd()
	return s.isEndedRemotely()
}

// isEndedRemotely reports whether the peer has ended the session.
func (s *sharedSession) isEndedRemotely() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedRemotely
}

// permitBegin reports whether the begin may still be sent: endLocally was not called before. It is called just before
// sending the begin.
func (s *sharedSession) permitBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginPermitted = !s.endedLocally
	return s.beginPermitted
}

// sendEnd sends this side's end once, and releases the channels if the peer has ended the session too. No end is sent
// for a session whose begin was never sent.
func (s *sharedSession) sendEnd() {
	s.mu.Lock()
	first := !s.endedLocally
	s.endedLocally = true
	if !s.beginPermitted {
		first, s.endSent, s.endedRemotely = false, true, true
	}
	s.mu.Unlock()
	if first {
		s.session.markEnded()
		// A write error also fails the connection's reader.
		s.writeFrame(s.channel, framing.Performative{Code: framing.CodeEnd}, nil)
		s.notify()
	}
	s.mu.Lock()
	s.endSent = s.endSent || first
	complete := s.endSent && s.endedRemotely
	s.mu.Unlock()
	if complete {
		s.multiplexer.releaseChannels(s)
	}
}
