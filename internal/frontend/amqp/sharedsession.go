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
func (l *sharedSession) enqueue(f framing.Frame) {
	l.mu.Lock()
	transfer := f.Code == framing.CodeTransfer
	over := transfer && l.queuedTransfers >= sessionWindow || len(l.queue)-l.queuedTransfers >= maxPendingControlFrames
	if !l.endedLocally && !over {
		l.queue = append(l.queue, f)
		if transfer {
			l.queuedTransfers++
		}
	}
	ended := l.endedLocally
	l.mu.Unlock()
	if over && !ended {
		l.endRemotely(framing.ConditionError{Condition: framing.CondWindowViolation, Description: "more than the session's window takes"})
		l.endLocally()
		return
	}
	l.notify()
}

func (l *sharedSession) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// endRemotely notes that nothing more comes; what has come is still to be read.
func (l *sharedSession) endRemotely(err error) {
	l.mu.Lock()
	if !l.endedRemotely {
		l.endedRemotely, l.err = true, err
	}
	l.mu.Unlock()
	l.session.markEnded()
	l.notify()
}

// setDeadline has nothing waited for after a time.
func (l *sharedSession) setDeadline(late time.Time) {
	l.mu.Lock()
	l.deadline = late
	l.mu.Unlock()
	l.notify()
}

// nextFrame waits for the next frame. It fails at the end of the session or of the connection, and with
// os.ErrDeadlineExceeded once the wait, if it is over 0, or the bound is over.
func (l *sharedSession) nextFrame(wait time.Duration) (framing.Frame, error) {
	var by time.Time
	if wait > 0 {
		by = time.Now().Add(wait)
	}
	for {
		l.mu.Lock()
		if len(l.queue) > 0 {
			f := l.queue[0]
			l.queue[0] = framing.Frame{}
			l.queue = l.queue[1:]
			if f.Code == framing.CodeTransfer {
				l.queuedTransfers--
			}
			l.mu.Unlock()
			return f, nil
		}
		done, err, late := l.endedRemotely || l.endedLocally, l.err, l.deadline
		l.mu.Unlock()
		if done {
			if err == nil {
				err = errConnectionClosing
			}
			return framing.Frame{}, err
		}
		if !by.IsZero() && (late.IsZero() || by.Before(late)) {
			late = by
		}
		if late.IsZero() {
			<-l.changed
			continue
		}
		left := time.Until(late)
		if left <= 0 {
			return framing.Frame{}, os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(left)
		select {
		case <-l.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// endLocally ends the session from here. What the peer still says of it is left aside. It tells whether the peer has ended it
// as well.
func (l *sharedSession) endLocally() bool {
	l.mu.Lock()
	l.queue, l.queuedTransfers = nil, 0
	l.mu.Unlock()
	l.sendEnd()
	return l.isEndedRemotely()
}

func (l *sharedSession) isEndedRemotely() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endedRemotely
}

// announce tells whether the session may begin: it does, unless it was ended before.
func (l *sharedSession) announce() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = !l.endedLocally
	return l.announced
}

// sendEnd says the end from here, once; with the peer's the channels are free again. The peer is told nothing of a session of
// which it has heard nothing.
func (l *sharedSession) sendEnd() {
	l.mu.Lock()
	first := !l.endedLocally
	l.endedLocally = true
	if !l.announced {
		first, l.endSent, l.endedRemotely = false, true, true
	}
	l.mu.Unlock()
	if first {
		l.session.markEnded()
		l.writeFrame(l.channel, framing.Performative{Code: framing.CodeEnd}, nil) // if this fails, so does the connection's reader
		l.notify()
	}
	l.mu.Lock()
	l.endSent = l.endSent || first
	over := l.endSent && l.endedRemotely
	l.mu.Unlock()
	if over {
		l.multiplexer.releaseChannels(l)
	}
}
