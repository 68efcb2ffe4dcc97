package amqp

import (
	"context"
	"errors"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"sync"
	"time"
)

const (
	channelMost = 7    // sessions of a connection, less one
	handleMost  = 63   // links of a session, less one
	windowMost  = 256  // transfers that may come in, or wait for where they go
	unsettled   = 4096 // deliveries of a link that may be unsettled at a time
)

// session is the relay's end of a session with a client or a server. Reads are
// one goroutine's; any goroutine may write.
type session struct {
	*conn
	channel uint16
	shut    *bool // of a session beside others: its end has gone out; guarded by the connection

	mu       sync.Mutex
	opened   chan struct{} // closed and renewed when the peer's window opens
	over     bool
	out      uint32 // number of our next transfer
	window   uint32 // transfers that the peer still takes
	in       uint32 // number of the peer's next transfer
	left     uint32 // transfers that we still take
	waiting  uint32 // that came in and have not gone on yet
	delivery uint32 // number of our next delivery
}

func newSession(c *conn, channel uint16) *session {
	return &session{conn: c, channel: channel, opened: make(chan struct{}), left: windowMost}
}

// write sends a frame of the session.
func (s *session) write(channel uint16, p framing.Performative, payload []byte) error {
	return s.conn.send(channel, p, payload, s.shut)
}

// sendFirst sends the frames that begin something of the session, in one piece. It waits for others who write on the connection,
// no longer than ctx; may is asked just before anything goes out.
func (s *session) sendFirst(ctx context.Context, may func() bool, frames ...framing.Performative) error {
	c := s.conn
	if !c.mu.lockWithin(ctx) {
		return ctx.Err()
	}
	defer c.mu.Unlock()
	if c.quit {
		return errQuit
	}
	if !may() {
		return errMoot
	}
	c.buf = c.buf[:0]
	for _, p := range frames {
		c.buf = framing.AppendFrame(c.buf, framing.TypeAMQP, s.channel, p, nil)
	}
	return c.flush()
}

// begin is the relay's begin; remote is the channel it answers, or nil.
func (s *session) begin(remote any) framing.Performative {
	return framing.Performative{Code: framing.CodeBegin, Fields: codec.List{remote, s.out, uint32(windowMost), uint32(windowMost), uint32(handleMost)}}
}

// begun takes the peer's begin.
func (s *session) begun(p framing.Performative) error {
	if err := p.RequireUint32(1, 2, 3); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.in, s.window = p.Uint32(1, 0), p.Uint32(2, 0)
	return nil
}

// flowed takes the session's part of a flow of the peer.
func (s *session) flowed(p framing.Performative) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over { // it was ended while the flow was in hand
		return
	}
	// What the peer still takes counts from the transfers that it has seen.
	s.window = p.Uint32(0, 0) + p.Uint32(1, 0) - s.out
	if int32(s.window) < 0 {
		s.window = 0
	}
	close(s.opened)
	s.opened = make(chan struct{})
}

// end lets those go who wait for the window.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.over = true
		close(s.opened)
	}
}

var errWindow = errors.New("the peer's window stays shut")

// await waits until the peer takes another transfer.
func (s *session) await() error {
	late := time.NewTimer(writeMost)
	defer late.Stop()
	for {
		s.mu.Lock()
		opened := s.opened
		if s.over {
			s.mu.Unlock()
			return errQuit
		}
		if s.window > 0 {
			s.window--
			s.out++
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-opened:
		case <-late.C:
			return errWindow
		}
	}
}

// number gives out the number of the next delivery.
func (s *session) number() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivery++
	return s.delivery - 1
}

// transfer sends a transfer in as many frames as the peer wants.
func (s *session) transfer(p framing.Performative, payload []byte) error {
	room := s.room(p.With(5, true))
	for {
		if err := s.await(); err != nil {
			return err
		}
		if len(payload) <= room {
			return s.write(s.channel, p, payload)
		}
		if err := s.write(s.channel, p.With(5, true), payload[:room]); err != nil {
			return err
		}
		payload = payload[room:]
	}
}

// took counts a transfer that came in, and opens the window again in time. One that
// waits before it goes on is to be freed.
func (s *session) took(waits bool) error {
	s.mu.Lock()
	if s.left == 0 {
		s.mu.Unlock()
		return framing.ConditionError{Condition: framing.CondWindowViolation, Description: "more transfers than the window takes"}
	}
	s.in++
	s.left--
	if waits {
		s.waiting++
	}
	again := s.narrow()
	s.mu.Unlock()
	if again {
		return s.flow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// narrow tells whether the window is to be opened again: less than half of what it may
// be is left. The caller holds the lock.
func (s *session) narrow() bool {
	return s.left <= (windowMost-min(s.waiting, windowMost))/2 && s.left < windowMost-s.waiting
}

// freed counts transfers that waited and have gone on.
func (s *session) freed(n int) {
	s.mu.Lock()
	s.waiting -= uint32(n)
	again := n > 0 && !s.over && s.narrow() && windowMost-s.waiting-s.left >= windowMost/8
	s.mu.Unlock()
	if again {
		s.flow(framing.Performative{Code: framing.CodeFlow}) // if this fails, the reader sees why
	}
}

// flow sends a flow: the session's part is the relay's own, the rest as given.
func (s *session) flow(p framing.Performative) error {
	s.mu.Lock()
	s.left = windowMost - min(s.waiting, windowMost)
	p = p.With(0, s.in).With(1, s.left).With(2, s.out).With(3, uint32(windowMost))
	s.mu.Unlock()
	return s.write(s.channel, p, nil)
}

// deliveries maps the numbers of a link's unsettled deliveries between the two
// sessions that it passes through.
type deliveries struct {
	mu     sync.Mutex
	far    map[uint32]uint32 // by their number where they come from
	near   map[uint32]uint32 // and the other way round
	now    uint32            // the far number of the one that is coming in,
	there  uint32            // and its near one
	coming bool
	waits  []chan struct{} // to be closed once it is whole
}

func newDeliveries() *deliveries {
	return &deliveries{far: make(map[uint32]uint32), near: make(map[uint32]uint32)}
}

// carry gives a transfer the number that it has in the session it goes to.
func (d *deliveries) carry(p framing.Performative, to *session) (framing.Performative, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.coming {
		if err := p.RequireUint32(1); err != nil {
			return p, err
		}
		d.now = p.Uint32(1, 0)
		if _, known := d.far[d.now]; known || len(d.far) >= unsettled {
			return p, framing.ConditionError{Condition: framing.CondResourceLimitExceeded, Description: "too many deliveries are unsettled, or one has a number twice"}
		}
		d.there = to.number()
		d.far[d.now], d.near[d.there] = d.there, d.now
	}
	d.coming = p.Bool(5) && !p.Bool(9)
	if !d.coming {
		for _, done := range d.waits {
			close(done)
		}
		d.waits = nil
	}
	if !d.coming && (p.Bool(4) || p.Bool(9)) {
		delete(d.far, d.now)
		delete(d.near, d.there)
	}
	return p.With(1, d.there), nil
}

// whole returns a channel that is closed once no delivery is in part.
func (d *deliveries) whole() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := make(chan struct{})
	if d.coming {
		d.waits = append(d.waits, done)
	} else {
		close(done)
	}
	return done
}

// translate turns a disposition into those of the other session. back says that
// it comes from where the deliveries go to.
func (d *deliveries) translate(p framing.Performative, back bool) []framing.Performative {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, to := d.far, d.near
	if back {
		from, to = d.near, d.far
	}
	first := p.Uint32(1, 0)
	span := p.Uint32(2, first) - first
	var out []framing.Performative
	pass := func(here, there uint32) {
		out = append(out, p.With(1, there).With(2, there))
		if p.Bool(3) {
			delete(from, here)
			delete(to, there)
		}
	}
	if span < uint32(len(from)) {
		for i := uint32(0); i <= span; i++ {
			if there, ok := from[first+i]; ok {
				pass(first+i, there)
			}
		}
		return out
	}
	for here, there := range from {
		if here-first <= span {
			pass(here, there)
		}
	}
	return out
}
