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

// mux is a connection that several sessions share, each on a lane of its own. One goroutine reads it, and never
// waits for a lane: what has come for one and was not taken yet is bounded by its session's window, and a
// peer that sends more than that loses the session.
type mux struct {
	*conn
	// begins is handed a session that the peer begins. nil: it may begin none.
	begins func(*lane)

	mu     sync.Mutex
	ours   map[uint16]*lane // by the channel that is spoken on here
	theirs map[uint16]*lane // by the peer's
	err    error            // why nothing more comes; nil while something may
}

func newMux(c *conn) *mux {
	return &mux{conn: c, ours: make(map[uint16]*lane), theirs: make(map[uint16]*lane)}
}

// lane is one session of a connection that others share.
type lane struct {
	*session
	mux  *mux
	free func() // called once both sides have ended it
	once sync.Once

	mu    sync.Mutex
	queue []framing.Frame
	in    int  // transfers among them
	told  bool // the peer has heard of it, or is about to
	ended bool // from here
	said  bool // and the peer has been sent that: before it has, the channel can't begin again
	done  bool // from the peer, or the connection is at its end
	err   error
	late  time.Time     // nothing is waited for after it; zero: for ever
	more  chan struct{} // a value when something has changed
}

func (m *mux) newLane(channel uint16, free func()) *lane {
	l := &lane{session: newSession(m.conn, channel), mux: m, free: free, more: make(chan struct{}, 1)}
	l.shut = new(bool)
	return l
}

// lane opens a lane on the lowest channel that is free, up to the most that the peer takes. It returns nil where none
// is, and an error where the connection has come to its end.
func (m *mux) lane(most uint16, free func()) (*lane, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return nil, m.err
	}
	for i := range int(most) + 1 {
		if channel := uint16(i); m.ours[channel] == nil {
			l := m.newLane(channel, free)
			m.ours[channel] = l
			return l, nil
		}
	}
	return nil, nil
}

// run reads until the connection's end, and tells all lanes of it. A peer that says nothing for a time is dead; 0: it may be
// silent for ever.
func (m *mux) run(silent time.Duration) {
	err := m.reads(silent)
	m.mu.Lock()
	m.err = err
	all := m.ours
	m.ours, m.theirs = nil, nil
	m.mu.Unlock()
	for _, l := range all {
		l.ends(err)
	}
}

// errPeerCloses says that the peer has closed the connection in good order.
var errPeerCloses = errors.New("the peer has closed the connection")

func (m *mux) reads(silent time.Duration) error {
	for {
		f, err := m.read(framing.TypeAMQP, silent)
		if err != nil {
			return err
		}
		switch {
		case f.Empty:
			continue
		case f.Code == framing.CodeClose:
			m.write(0, framing.Performative{Code: framing.CodeClose}, nil)
			m.each(func(l *lane) { l.put(f) })
			return errPeerCloses
		case f.Code == framing.CodeBegin:
			if err := m.begun(f); err != nil {
				return m.faulty(err)
			}
			continue
		}
		m.mu.Lock()
		l := m.theirs[f.Channel]
		m.mu.Unlock()
		if l == nil {
			return m.faulty(framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d has no session", f.Channel)})
		}
		if f.Code == framing.CodeEnd {
			m.leave(l, f)
			continue
		}
		l.put(f)
	}
}

// faulty tells the peer what is wrong with it.
func (m *mux) faulty(err error) error {
	if bad := (framing.ConditionError{}); errors.As(err, &bad) {
		m.write(0, framing.Performative{Code: framing.CodeClose, Fields: codec.List{framing.NewErrorValue(bad.Condition, bad.Description, nil)}}, nil)
	}
	return err
}

func (m *mux) each(do func(*lane)) {
	m.mu.Lock()
	all := make([]*lane, 0, len(m.ours))
	for _, l := range m.ours {
		all = append(all, l)
	}
	m.mu.Unlock()
	for _, l := range all {
		do(l)
	}
}

// begun takes a begin of the peer: the answer to one from here, or, where it may, one of its own.
func (m *mux) begun(f framing.Frame) error {
	m.mu.Lock()
	if m.theirs[f.Channel] != nil {
		m.mu.Unlock()
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d has a session", f.Channel)}
	}
	if f.Field(0) != nil {
		l := m.ours[uint16(f.Uint32(0, 0))]
		if l != nil {
			m.theirs[f.Channel] = l
		}
		m.mu.Unlock()
		if l == nil {
			return framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("channel %d answers a session that is not there", f.Channel)}
		}
		return l.begun(f.Performative)
	}
	if m.begins == nil || f.Channel >= sessionsMost || m.ours[f.Channel] != nil {
		m.mu.Unlock()
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: fmt.Sprintf("channel %d can't begin a session", f.Channel)}
	}
	l := m.newLane(f.Channel, func() {})
	l.told = true
	m.ours[f.Channel], m.theirs[f.Channel] = l, l
	m.mu.Unlock()
	if err := l.begun(f.Performative); err != nil {
		return err
	}
	if err := l.write(f.Channel, l.begin(f.Channel), nil); err != nil {
		return err
	}
	m.begins(l)
	return nil
}

// leave takes the peer's end of a session. Its channels are free again once it was ended from here, too.
func (m *mux) leave(l *lane, f framing.Frame) {
	l.put(f)
	l.ends(nil)
	l.settle() // what has come is still to be read
}

// forget frees the channels of a lane that both sides have ended.
func (m *mux) forget(l *lane) {
	l.once.Do(func() {
		m.mu.Lock()
		delete(m.ours, l.channel)
		for channel, x := range m.theirs {
			if x == l {
				delete(m.theirs, channel)
			}
		}
		m.mu.Unlock()
		l.free()
	})
}

// put takes a frame of the peer for whoever reads the lane.
func (l *lane) put(f framing.Frame) {
	l.mu.Lock()
	transfer := f.Code == framing.CodeTransfer
	over := transfer && l.in >= windowMost || len(l.queue)-l.in >= wordsMost
	if !l.ended && !over {
		l.queue = append(l.queue, f)
		if transfer {
			l.in++
		}
	}
	ended := l.ended
	l.mu.Unlock()
	if over && !ended {
		l.ends(framing.ConditionError{Condition: framing.CondWindowViolation, Description: "more than the session's window takes"})
		l.close()
		return
	}
	l.wake()
}

func (l *lane) wake() {
	select {
	case l.more <- struct{}{}:
	default:
	}
}

// ends notes that nothing more comes; what has come is still to be read.
func (l *lane) ends(err error) {
	l.mu.Lock()
	if !l.done {
		l.done, l.err = true, err
	}
	l.mu.Unlock()
	l.session.end()
	l.wake()
}

// bound has nothing waited for after a time.
func (l *lane) bound(late time.Time) {
	l.mu.Lock()
	l.late = late
	l.mu.Unlock()
	l.wake()
}

// next waits for the next frame. It fails at the end of the session or of the connection, and with
// os.ErrDeadlineExceeded once the wait, if it is over 0, or the bound is over.
func (l *lane) next(wait time.Duration) (framing.Frame, error) {
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
				l.in--
			}
			l.mu.Unlock()
			return f, nil
		}
		done, err, late := l.done || l.ended, l.err, l.late
		l.mu.Unlock()
		if done {
			if err == nil {
				err = errQuit
			}
			return framing.Frame{}, err
		}
		if !by.IsZero() && (late.IsZero() || by.Before(late)) {
			late = by
		}
		if late.IsZero() {
			<-l.more
			continue
		}
		left := time.Until(late)
		if left <= 0 {
			return framing.Frame{}, os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(left)
		select {
		case <-l.more:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// close ends the session from here. What the peer still says of it is left aside. It tells whether the peer has ended it
// as well.
func (l *lane) close() bool {
	l.mu.Lock()
	l.queue, l.in = nil, 0
	l.mu.Unlock()
	l.settle()
	return l.isDone()
}

func (l *lane) isDone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// begins tells whether the session may begin: it does, unless it was ended before.
func (l *lane) begins() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = !l.ended
	return l.told
}

// settle says the end from here, once; with the peer's the channels are free again. The peer is told nothing of a session of
// which it has heard nothing.
func (l *lane) settle() {
	l.mu.Lock()
	first := !l.ended
	l.ended = true
	if !l.told {
		first, l.said, l.done = false, true, true
	}
	l.mu.Unlock()
	if first {
		l.session.end()
		l.write(l.channel, framing.Performative{Code: framing.CodeEnd}, nil) // if this fails, so does the connection's reader
		l.wake()
	}
	l.mu.Lock()
	l.said = l.said || first
	over := l.said && l.done
	l.mu.Unlock()
	if over {
		l.mux.forget(l)
	}
}
