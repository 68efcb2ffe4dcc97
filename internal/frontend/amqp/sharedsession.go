package amqp

import (
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

// sharedSession is one session of a multiplexer. The multiplexer's goroutine adds frames to its queue, and the goroutine of
// its link reads them.
type sharedSession struct {
	*session
	multiplexer *multiplexer
	onRelease   func() // called once, when both sides have ended it
	releaseOnce sync.Once

	mu              sync.Mutex // guards the fields below
	queue           []framing.Frame
	queuedTransfers int           // transfers in the queue
	beginPermitted  bool          // its begin has been sent, or is about to be
	endedLocally    bool          // by the relay
	endSent         bool          // the relay's end has been sent: before that the channel can't be used again
	endedRemotely   bool          // by the peer, or by the end of the connection
	err             error         // why it ended remotely; nil: by an end
	deadline        time.Time     // of all reads; zero: none
	changed         chan struct{} // has a value when any of the above has changed
}

// enqueue adds a frame of the peer. A peer that sends more than the window allows loses the session.
func (s *sharedSession) enqueue(frame framing.Frame) {
	s.mu.Lock()
	transfer := frame.Code == framing.CodeTransfer
	overflow := transfer && s.queuedTransfers >= sessionWindow || len(s.queue)-s.queuedTransfers >= maxPendingControlFrames
	if !s.endedLocally && !overflow {
		s.queue = append(s.queue, frame)
		if transfer {
			s.queuedTransfers++
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

// notify wakes up nextFrame.
func (s *sharedSession) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// endRemotely notes that the peer sends nothing more; the queue can still be read.
func (s *sharedSession) endRemotely(err error) {
	s.mu.Lock()
	if !s.endedRemotely {
		s.endedRemotely, s.err = true, err
	}
	s.mu.Unlock()
	s.session.markEnded()
	s.notify()
}

// setDeadline sets the deadline of nextFrame, also of one that is waiting.
func (s *sharedSession) setDeadline(deadline time.Time) {
	s.mu.Lock()
	s.deadline = deadline
	s.mu.Unlock()
	s.notify()
}

// nextFrame waits for the next frame. It fails at the end of the session or of the connection, and with
// os.ErrDeadlineExceeded after wait, if that is over 0, or at the deadline.
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

// endLocally ends the session and drops its queue; what the peer still sends is ignored. It reports whether the peer has
// ended the session as well.
func (s *sharedSession) endLocally() bool {
	s.mu.Lock()
	s.queue, s.queuedTransfers = nil, 0
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

// permitBegin is called before the begin is sent, and reports whether it may be: the session has not been ended meanwhile.
func (s *sharedSession) permitBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginPermitted = !s.endedLocally
	return s.beginPermitted
}

// sendEnd sends the relay's end, once, and releases the channels if the peer has ended the session as well. A session
// whose begin was never sent has no end to send.
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
		s.writeFrame(s.channel, framing.Performative{Code: framing.CodeEnd}, nil) // on failure the connection's reader fails, too
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
