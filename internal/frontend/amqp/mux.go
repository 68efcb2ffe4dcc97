package amqp

import (
	"errors"
	"fmt"
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
	queue []frame
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
		f, err := m.read(frameAMQP, silent)
		if err != nil {
			return err
		}
		switch {
		case f.empty:
			continue
		case f.code == codeClose:
			m.write(0, perf{codeClose, nil}, nil)
			m.each(func(l *lane) { l.put(f) })
			return errPeerCloses
		case f.code == codeBegin:
			if err := m.begun(f); err != nil {
				return m.faulty(err)
			}
			continue
		}
		m.mu.Lock()
		l := m.theirs[f.channel]
		m.mu.Unlock()
		if l == nil {
			return m.faulty(fault{condFraming, fmt.Sprintf("channel %d has no session", f.channel)})
		}
		if f.code == codeEnd {
			m.leave(l, f)
			continue
		}
		l.put(f)
	}
}

// faulty tells the peer what is wrong with it.
func (m *mux) faulty(err error) error {
	if bad := (fault{}); errors.As(err, &bad) {
		m.write(0, perf{codeClose, list{errorOf(bad.cond, bad.text, nil)}}, nil)
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
func (m *mux) begun(f frame) error {
	m.mu.Lock()
	if m.theirs[f.channel] != nil {
		m.mu.Unlock()
		return fault{condNotAllowed, fmt.Sprintf("channel %d has a session", f.channel)}
	}
	if f.field(0) != nil {
		l := m.ours[uint16(f.number(0, 0))]
		if l != nil {
			m.theirs[f.channel] = l
		}
		m.mu.Unlock()
		if l == nil {
			return fault{condFraming, fmt.Sprintf("channel %d answers a session that is not there", f.channel)}
		}
		return l.begun(f.perf)
	}
	if m.begins == nil || f.channel >= sessionsMost || m.ours[f.channel] != nil {
		m.mu.Unlock()
		return fault{condNotAllowed, fmt.Sprintf("channel %d can't begin a session", f.channel)}
	}
	l := m.newLane(f.channel, func() {})
	l.told = true
	m.ours[f.channel], m.theirs[f.channel] = l, l
	m.mu.Unlock()
	if err := l.begun(f.perf); err != nil {
		return err
	}
	if err := l.write(f.channel, l.begin(f.channel), nil); err != nil {
		return err
	}
	m.begins(l)
	return nil
}

// leave takes the peer's end of a session. Its channels are free again once it was ended from here, too.
func (m *mux) leave(l *lane, f frame) {
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
func (l *lane) put(f frame) {
	l.mu.Lock()
	transfer := f.code == codeTransfer
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
		l.ends(fault{condWindow, "more than the session's window takes"})
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
func (l *lane) next(wait time.Duration) (frame, error) {
	var by time.Time
	if wait > 0 {
		by = time.Now().Add(wait)
	}
	for {
		l.mu.Lock()
		if len(l.queue) > 0 {
			f := l.queue[0]
			l.queue[0] = frame{}
			l.queue = l.queue[1:]
			if f.code == codeTransfer {
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
			return frame{}, err
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
			return frame{}, os.ErrDeadlineExceeded
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
		l.write(l.channel, perf{codeEnd, nil}, nil) // if this fails, so does the connection's reader
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
