package amqp

import (
	"errors"
	"fmt"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"os"
	"sync"
	"time"
)

// multiplexer is a connection that several sessions share, each on a lane of its own. One goroutine reads it, and never
// waits for a lane: what has come for one and was not taken yet is bounded by its session's window, and a
// peer that sends more than that loses the session.
type multiplexer struct {
	*connection
	// begins is handed a session that the peer begins. nil: it may begin none.
	onSession func(*sharedSession)

	mu             sync.Mutex
	localChannels  map[uint16]*sharedSession // by the channel that is spoken on here
	remoteChannels map[uint16]*sharedSession // by the peer's
	err            error                     // why nothing more comes; nil while something may
}

func newMultiplexer(c *connection) *multiplexer {
	return &multiplexer{connection: c, localChannels: make(map[uint16]*sharedSession), remoteChannels: make(map[uint16]*sharedSession)}
}

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

func (m *multiplexer) newSession(channel uint16, free func()) *sharedSession {
	l := &sharedSession{session: newSession(m.connection, channel), multiplexer: m, onRelease: free, changed: make(chan struct{}, 1)}
	l.endWritten = new(bool)
	return l
}

// openSession opens a lane on the lowest channel that is free, up to the most that the peer takes. It returns nil where none
// is, and an error where the connection has come to its end.
func (m *multiplexer) openSession(most uint16, free func()) (*sharedSession, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return nil, m.err
	}
	for i := range int(most) + 1 {
		if channel := uint16(i); m.localChannels[channel] == nil {
			l := m.newSession(channel, free)
			m.localChannels[channel] = l
			return l, nil
		}
	}
	return nil, nil
}

// serve reads until the connection's end, and tells all lanes of it. A peer that says nothing for a time is dead; 0: it may be
// silent for ever.
func (m *multiplexer) serve(silent time.Duration) {
	err := m.readFrames(silent)
	m.mu.Lock()
	m.err = err
	all := m.localChannels
	m.localChannels, m.remoteChannels = nil, nil
	m.mu.Unlock()
	for _, l := range all {
		l.endRemotely(err)
	}
}

// errPeerClosed says that the peer has closed the connection in good order.
var errPeerClosed = errors.New("the peer has closed the connection")

func (m *multiplexer) readFrames(silent time.Duration) error {
	for {
		f, err := m.readFrame(framing.TypeAMQP, silent)
		if err != nil {
			return err
		}
		switch {
		case f.Empty:
			continue
		case f.Code == framing.CodeClose:
			m.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
			m.forEachSession(func(l *sharedSession) { l.enqueue(f) })
			return errPeerClosed
		case f.Code == framing.CodeBegin:
			if err := m.handleBegin(f); err != nil {
				return m.closeWithError(err)
			}
			continue
		}
		m.mu.Lock()
		l := m.remoteChannels[f.Channel]
		m.mu.Unlock()
		if l == nil {
			return m.closeWithError(framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d has no session", f.Channel)})
		}
		if f.Code == framing.CodeEnd {
			m.handleEnd(l, f)
			continue
		}
		l.enqueue(f)
	}
}

// closeWithError tells the peer what is wrong with it.
func (m *multiplexer) closeWithError(err error) error {
	if bad := (framing.ConditionError{}); errors.As(err, &bad) {
		m.writeFrame(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
	}
	return err
}

func (m *multiplexer) forEachSession(do func(*sharedSession)) {
	m.mu.Lock()
	all := make([]*sharedSession, 0, len(m.localChannels))
	for _, l := range m.localChannels {
		all = append(all, l)
	}
	m.mu.Unlock()
	for _, l := range all {
		do(l)
	}
}

// handleBegin takes a begin of the peer: the answer to one from here, or, where it may, one of its own.
func (m *multiplexer) handleBegin(f framing.Frame) error {
	m.mu.Lock()
	if m.remoteChannels[f.Channel] != nil {
		m.mu.Unlock()
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d has a session", f.Channel)}
	}
	if f.Field(0) != nil {
		l := m.localChannels[uint16(f.Uint32(0, 0))]
		if l != nil {
			m.remoteChannels[f.Channel] = l
		}
		m.mu.Unlock()
		if l == nil {
			return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d answers a session that is not there", f.Channel)}
		}
		return l.applyBegin(f.Performative)
	}
	if m.onSession == nil || f.Channel >= maxPeerSessions || m.localChannels[f.Channel] != nil {
		m.mu.Unlock()
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d can't begin a session", f.Channel)}
	}
	l := m.newSession(f.Channel, func() {})
	l.announced = true
	m.localChannels[f.Channel], m.remoteChannels[f.Channel] = l, l
	m.mu.Unlock()
	if err := l.applyBegin(f.Performative); err != nil {
		return err
	}
	if err := l.writeFrame(f.Channel, l.newBegin(f.Channel), nil); err != nil {
		return err
	}
	m.onSession(l)
	return nil
}

// handleEnd takes the peer's end of a session. Its channels are free again once it was ended from here, too.
func (m *multiplexer) handleEnd(l *sharedSession, f framing.Frame) {
	l.enqueue(f)
	l.endRemotely(nil)
	l.sendEnd() // what has come is still to be read
}

// releaseChannels frees the channels of a lane that both sides have ended.
func (m *multiplexer) releaseChannels(l *sharedSession) {
	l.releaseOnce.Do(func() {
		m.mu.Lock()
		delete(m.localChannels, l.channel)
		for channel, x := range m.remoteChannels {
			if x == l {
				delete(m.remoteChannels, channel)
			}
		}
		m.mu.Unlock()
		l.onRelease()
	})
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
