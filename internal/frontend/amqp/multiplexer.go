package amqp

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
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
