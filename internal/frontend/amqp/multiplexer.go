package amqp

import (
	"errors"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

// multiplexer is a connection that several sessions share. One goroutine, in serve, reads it and never blocks on a
// session: the frames that a session has not read are bounded, and a session whose peer exceeds the bound is ended.
type multiplexer struct {
	*connection
	// onSession is called with each session that the peer begins; nil: the peer may not begin sessions.
	onSession func(*sharedSession)
	// sessionWindow is the incoming window of each session.
	sessionWindow uint32

	mu             sync.Mutex
	localChannels  map[uint16]*sharedSession // by channel of outgoing frames
	remoteChannels map[uint16]*sharedSession // by channel of incoming frames
	err            error                     // why reading ended; nil while it continues
}

func newMultiplexer(conn *connection) *multiplexer {
	return &multiplexer{
		connection:     conn,
		sessionWindow:  sessionWindow,
		localChannels:  make(map[uint16]*sharedSession),
		remoteChannels: make(map[uint16]*sharedSession),
	}
}

// newSession returns a session on a channel. The caller adds it to localChannels.
func (m *multiplexer) newSession(channel uint16, onRelease func()) *sharedSession {
	s := newSession(m.connection, channel)
	s.limitWindow(m.sessionWindow)
	return &sharedSession{
		session: s, multiplexer: m, onRelease: onRelease, changed: make(chan struct{}, 1),
	}
}

// openSession opens a session on the lowest free channel up to highestChannel. onRelease is called once the channel is
// free again. It returns nil if no channel is free, and an error if the connection has ended.
func (m *multiplexer) openSession(highestChannel uint16, onRelease func()) (*sharedSession, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return nil, m.err
	}
	for i := range int(highestChannel) + 1 {
		if channel := uint16(i); m.localChannels[channel] == nil {
			shared := m.newSession(channel, onRelease)
			m.localChannels[channel] = shared
			return shared, nil
		}
	}
	return nil, nil
}

// serve reads frames until the connection ends, and then ends all sessions. Receiving nothing for silenceTimeout ends
// the connection.
func (m *multiplexer) serve(silenceTimeout time.Duration) {
	err := m.readFrames(silenceTimeout)
	m.mu.Lock()
	m.err = err
	sessions := m.localChannels
	m.localChannels, m.remoteChannels = nil, nil
	m.mu.Unlock()
	for _, shared := range sessions {
		shared.endRemotely(err)
	}
}

// errPeerClosed is returned after the peer has sent a close.
var errPeerClosed = errors.New("AMQP connection was closed by the peer")

// readFrames passes the peer's frames to their sessions until the connection ends, and returns why it ended.
func (m *multiplexer) readFrames(silenceTimeout time.Duration) error {
	for {
		frame, err := m.readFrame(framing.TypeAMQP, silenceTimeout)
		if err != nil {
			return err
		}
		switch {
		case frame.Empty:
			continue
		case frame.Code == framing.CodeClose:
			m.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
			m.forEachSession(func(shared *sharedSession) { shared.enqueue(frame) })
			return errPeerClosed
		case frame.Code == framing.CodeBegin:
			if err := m.handleBegin(frame); err != nil {
				return m.closeWithError(err)
			}
			continue
		}
		m.mu.Lock()
		shared := m.remoteChannels[frame.Channel]
		m.mu.Unlock()
		if shared == nil {
			return m.closeWithError(framing.Errorf(framing.CondFramingError, "channel %d has no session", frame.Channel))
		}
		if frame.Code == framing.CodeEnd {
			m.handleEnd(shared, frame)
			continue
		}
		shared.enqueue(frame)
	}
}

// closeWithError sends a close if err is a ConditionError, and returns err.
func (m *multiplexer) closeWithError(err error) error {
	if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
		m.writeFrame(0, framing.NewClose(conditionErr), nil)
	}
	return err
}

// forEachSession calls visit for each session without holding the lock.
func (m *multiplexer) forEachSession(visit func(*sharedSession)) {
	m.mu.Lock()
	sessions := make([]*sharedSession, 0, len(m.localChannels))
	for _, shared := range m.localChannels {
		sessions = append(sessions, shared)
	}
	m.mu.Unlock()
	for _, shared := range sessions {
		visit(shared)
	}
}

// handleBegin handles a begin of the peer: an answer to a begin of this side, or a new session if onSession is set.
func (m *multiplexer) handleBegin(frame framing.Frame) error {
	m.mu.Lock()
	if m.remoteChannels[frame.Channel] != nil {
		m.mu.Unlock()
		return framing.Errorf(framing.CondNotAllowed, "channel %d has a session", frame.Channel)
	}
	if frame.Field(framing.BeginRemoteChannel) != nil {
		shared := m.localChannels[uint16(frame.Uint32(framing.BeginRemoteChannel, 0))]
		if shared != nil {
			m.remoteChannels[frame.Channel] = shared
		}
		m.mu.Unlock()
		if shared == nil {
			return framing.Errorf(framing.CondFramingError, "channel %d answers a session that is not there", frame.Channel)
		}
		return shared.applyBegin(frame.Performative)
	}
	if m.onSession == nil || frame.Channel >= maxPeerSessions || m.localChannels[frame.Channel] != nil {
		m.mu.Unlock()
		return framing.Errorf(framing.CondNotAllowed, "channel %d can't begin a session", frame.Channel)
	}
	shared := m.newSession(frame.Channel, func() {})
	shared.beginPermitted = true
	m.localChannels[frame.Channel], m.remoteChannels[frame.Channel] = shared, shared
	m.mu.Unlock()
	if err := shared.applyBegin(frame.Performative); err != nil {
		return err
	}
	if err := shared.writeFrame(frame.Channel, shared.newBegin(frame.Channel), nil); err != nil {
		return err
	}
	m.onSession(shared)
	return nil
}

// handleEnd handles and answers the peer's end of a session.
func (m *multiplexer) handleEnd(shared *sharedSession, frame framing.Frame) {
	shared.enqueue(frame)
	shared.endRemotely(nil)
	shared.sendEnd() // unlike endLocally, keeps received frames in the queue
}

// releaseChannels frees the channels of a session that both sides have ended, and calls its onRelease.
func (m *multiplexer) releaseChannels(shared *sharedSession) {
	shared.releaseOnce.Do(func() {
		m.mu.Lock()
		delete(m.localChannels, shared.channel)
		for channel, candidate := range m.remoteChannels {
			if candidate == shared {
				delete(m.remoteChannels, channel)
			}
		}
		m.mu.Unlock()
		shared.onRelease()
	})
}
