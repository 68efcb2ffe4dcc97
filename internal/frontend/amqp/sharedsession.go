package amqp

import (
	"os"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

// sharedSession is one session of a connection that others share.
type sharedSession struct {
	*session
	multiplexer *multiplexer
	onRelease   func() // called once both sides have ended it
	releaseOnce sync.Once

	mu              sync.Mutex
	queue           []framing.Frame
	queuedTransfers int  // transfers among them
	announced       bool // the peer has heard of it, or is about to
	endedLocally    bool // from here
	endSent         bool // and the peer has been sent that: before it has, the channel can't begin again
	endedRemotely   bool // from the peer, or the connection is at its end
	err             error
	deadline        time.Time     // nothing is waited for after it; zero: for ever
	changed         chan struct{} // a value when something has changed
}

// enqueue takes a frame of the peer for whoever reads the lane.
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

func (s *sharedSession) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// endRemotely notes that nothing more comes; what has come is still to be read.
func (s *sharedSession) endRemotely(err error) {
	s.mu.Lock()
	if !s.endedRemotely {
		s.endedRemotely, s.err = true, err
	}
	s.mu.Unlock()
	s.session.markEnded()
	s.notify()
}

// setDeadline has nothing waited for after a time.
func (s *sharedSession) setDeadline(deadline time.Time) {
	s.mu.Lock()
	s.deadline = deadline
	s.mu.Unlock()
	s.notify()
}

// nextFrame waits for the next frame. It fails at the end of the session or of the connection, and with
// os.ErrDeadlineExceeded once the wait, if it is over 0, or the bound is over.
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

// endLocally ends the session from here. What the peer still says of it is left aside. It tells whether the peer has ended it
// as well.
func (s *sharedSession) endLocally() bool {
	s.mu.Lock()
	s.queue, s.queuedTransfers = nil, 0
	s.mu.Unlock()
	s.sendEnd()
	return s.isEndedRemotely()
}

func (s *sharedSession) isEndedRemotely() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedRemotely
}

// announce tells whether the session may begin: it does, unless it was ended before.
func (s *sharedSession) announce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = !s.endedLocally
	return s.announced
}

// sendEnd says the end from here, once; with the peer's the channels are free again. The peer is told nothing of a session of
// which it has heard nothing.
func (s *sharedSession) sendEnd() {
	s.mu.Lock()
	first := !s.endedLocally
	s.endedLocally = true
	if !s.announced {
		first, s.endSent, s.endedRemotely = false, true, true
	}
	s.mu.Unlock()
	if first {
		s.session.markEnded()
		s.writeFrame(s.channel, framing.Performative{Code: framing.CodeEnd}, nil) // if this fails, so does the connection's reader
		s.notify()
	}
	s.mu.Lock()
	s.endSent = s.endSent || first
	overflow := s.endSent && s.endedRemotely
	s.mu.Unlock()
	if overflow {
		s.multiplexer.releaseChannels(s)
	}
}
