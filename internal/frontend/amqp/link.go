package amqp

import (
	"context"
	"errors"
	"hash/fnv"
	"os"
	"strconv"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// moveFor bounds the wait for the rest of a delivery before its link is moved.
const moveFor = 300 * time.Millisecond

// link is one transaction of a client.
type link struct {
	front   *Frontend
	session *session // the client's
	handle  uint32
	name    string
	attach  framing.Performative // the client's
	sends   bool                 // deliveries go from the client to the server
	left    func()
	ids     *deliveries
	credits credits

	mu       sync.Mutex
	out      *outbox   // what the client has for the server
	up       *upstream // the server, once it is the client's
	pulse    *proxy.Heartbeat
	credit   *framing.Performative // what the client has granted so far
	attached bool                  // the client has been answered
	detached bool                  // the client has been told of the end
	gone     bool                  // the client has ended its side
}

// keyOf is the number of a group or an item: a hexadecimal word as it is,
// anything else by its hash.
func keyOf(v any) uint64 {
	if n, ok := codec.AsUint64(v); ok {
		return n
	}
	word := codec.AsString(v)
	if word == "" {
		return 0
	}
	if n, err := strconv.ParseUint(word, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(word))
	return h.Sum64()
}

// figure returns a number of any kind that a load can have.
func figure(v any) (float64, bool) {
	x, ok := v.(float64)
	if !ok {
		var n uint64
		n, ok = codec.AsUint64(v)
		x = float64(n)
	}
	return x, ok && x >= 0 && x < 1e12
}

// Pipe answers the client's attach with the server's and passes frames on, both
// ways, until the connection has ended.
func (l *link) Pipe(ctx context.Context, to proxy.UpstreamConn, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	u := to.(*upstream)
	defer close(u.stop)
	stop := context.AfterFunc(ctx, u.Close)
	defer stop()
	l.mu.Lock()
	l.up, l.pulse, l.attached = u, pulse, true
	l.out = newOutbox(l.session, u, pulse.TimedOut)
	go l.out.run()
	credit, gone := l.credit, l.gone
	l.mu.Unlock()
	if gone {
		return balancer.StatusCancelled
	}
	if l.session.write(l.session.channel, u.attach.With(0, l.name).With(1, l.handle), nil) != nil {
		return balancer.StatusCancelled
	}
	pulse.Established()
	if u.credit != nil {
		l.down(framing.Frame{Performative: *u.credit})
	}
	if credit != nil {
		l.out.put(parcel{Performative: credit.With(4, uint32(0)), flow: true})
	}
	return l.downstream(ctx, u, pulse)
}

// downstream passes on what the server says until its end.
func (l *link) downstream(ctx context.Context, u *upstream, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	for {
		f, err := u.next(0)
		l.mu.Lock()
		gone := l.gone
		l.mu.Unlock()
		switch {
		case ctx.Err() != nil: // moved or silent: the client is still to be told
			return listener.BrokenStatus(ctx, balancer.StatusCancelled)
		case err != nil && gone:
			return balancer.StatusCancelled
		case errors.Is(err, os.ErrDeadlineExceeded):
			pulse.TimedOut()
			return balancer.StatusReset
		case err != nil:
			l.detach(framing.CondConnectionForced, "the application server is lost", nil)
			return balancer.StatusReset
		case f.Empty:
			continue
		case f.Code == framing.CodeDetach, f.Code == framing.CodeEnd, f.Code == framing.CodeClose:
			return l.serverEnds(u, f, gone)
		}
		if !l.down(f) {
			return balancer.StatusCancelled
		}
	}
}

// serverEnds passes on the end that a server has set to the link.
func (l *link) serverEnds(u *upstream, f framing.Frame, gone bool) balancer.AttemptStatus {
	at := 0
	if f.Code == framing.CodeDetach {
		at = 2
		u.write(u.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		if u.lane == nil {
			u.write(0, framing.Performative{Code: framing.CodeClose}, nil)
		}
	}
	cond, info := f.Condition(at)
	if !gone {
		l.detach(cond, "the application server has ended the link", info)
	}
	switch {
	case cond == "" && f.Code == framing.CodeDetach:
		return balancer.StatusOK
	case cond == framing.CondDetachForced:
		return balancer.StatusRedirected // it drains, whatever the list says
	case gone:
		return balancer.StatusCancelled
	}
	return balancer.StatusReset
}

// down passes a frame of the server to the client. It tells whether the client
// is still there.
func (l *link) down(f framing.Frame) bool {
	s := l.session
	switch f.Code {
	case framing.CodeFlow:
		if err := l.up.flowTaken(f.Performative); err != nil || f.Field(4) == nil {
			return true
		}
		if props, ok := f.Field(10).(codec.Map); ok {
			if us, ok := figure(props.Get(propLoad)); ok {
				l.pulse.ReportLoad(us / 1e6)
			}
		}
		p := f.Performative
		if l.sends {
			p = l.credits.granted(p)
		}
		return s.flow(p.With(4, l.handle)) == nil
	case framing.CodeTransfer:
		if l.sends || l.up.took(false) != nil {
			return true // out of turn: left aside
		}
		l.pulse.EndpointSent()
		p, err := l.ids.carry(f.Performative, s)
		if err != nil {
			return true
		}
		return s.transfer(p.With(0, l.handle), f.Payload) == nil
	case framing.CodeDisposition:
		l.pulse.EndpointSent()
		for _, p := range l.ids.translate(f.Performative, l.sends) {
			if s.write(s.channel, p, nil) != nil {
				return false
			}
		}
	}
	return true
}

// flowTaken takes the session's part of a flow.
func (s *session) flowTaken(p framing.Performative) error {
	if err := p.RequireUint32(1, 2, 3); err != nil {
		return err
	}
	s.flowed(p)
	if p.Field(4) == nil && p.Bool(9) {
		return s.flow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// joined returns what goes to the server while frames pass.
func (l *link) joined() (*outbox, *proxy.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detached || l.gone {
		return nil, nil
	}
	return l.out, l.pulse
}

// put has something sent to the server. A client that says more than its server takes,
// and more than there is room for, loses the link.
func (l *link) put(o *outbox, p parcel) {
	if !o.put(p) {
		l.detach(framing.CondResourceLimitExceeded, "the application server takes nothing, and too much waits for it", nil)
		l.left()
	}
}

// flowed passes the client's credit on. Before the link is up it is kept.
func (l *link) flowed(p framing.Performative) error {
	l.mu.Lock()
	if l.up == nil {
		l.credit = &p
	}
	l.mu.Unlock()
	if o, _ := l.joined(); o != nil {
		l.put(o, parcel{Performative: p.With(4, uint32(0)), flow: true})
	}
	return nil
}

// transferred passes a delivery of the client on, or a part of one.
func (l *link) transferred(f framing.Frame) error {
	o, pulse := l.joined()
	sent := false
	defer func() {
		if !sent {
			l.session.freed(1)
		}
	}()
	l.mu.Lock()
	early := l.up == nil && !l.detached
	l.mu.Unlock()
	switch {
	case !l.sends:
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: "a receiver sends no transfers"}
	case early: // nothing has granted credit yet
		l.detach(framing.CondTransferLimitExceeded, "a transfer without credit", nil)
		l.left()
		return nil
	case o == nil:
		return nil // the end and the transfer have crossed
	}
	p, err := l.ids.carry(f.Performative, o.up.session)
	if err != nil {
		return err
	}
	if !f.Bool(5) && !f.Bool(4) {
		pulse.ClientSent()
	}
	next := parcel{Performative: p.With(0, uint32(0)), payload: f.Payload, transfer: true}
	if !f.Bool(5) {
		next.sent = l.passed
	}
	sent = true
	l.put(o, next)
	return nil
}

// passed counts a delivery that the server has been sent, and has the client told of
// credit that it has for more.
func (l *link) passed() {
	if p, more := l.credits.sent(); more {
		l.session.flow(p.With(4, l.handle)) // if this fails, the client's reader sees why
	}
}

// disposed passes on what the client says of deliveries, if they are this link's.
func (l *link) disposed(p framing.Performative) {
	// A receiver speaks of what came to it, a sender of what it has sent.
	if o, _ := l.joined(); o != nil && p.Bool(0) != l.sends {
		for _, q := range l.ids.translate(p, !l.sends) {
			l.put(o, parcel{Performative: q})
		}
	}
}

// clientDetached takes the client's detach. Before the link is up, the client has
// left; after that, the detach is the server's to answer.
func (l *link) clientDetached(p framing.Performative) {
	l.mu.Lock()
	l.gone = true
	u, o, told := l.up, l.out, l.detached
	l.mu.Unlock()
	switch {
	case told:
	case u == nil:
		l.left()
	default:
		l.put(o, parcel{Performative: p.With(0, uint32(0))})
		u.last(byeWait)
	}
}

// clientLost ends the server's side as the client's has ended.
func (l *link) clientLost() {
	l.mu.Lock()
	l.gone = true
	u := l.up
	l.mu.Unlock()
	if l.left != nil {
		l.left()
	}
	if u != nil {
		u.Close()
	}
}

// finish answers a client that has detached while its link was open.
func (l *link) finish() { l.detach("", "", nil) }

// detach tells the client of the end, once: it tells whether this was the first. It needs no credit.
func (l *link) detach(cond, why string, info codec.Map) bool {
	l.mu.Lock()
	if l.detached {
		l.mu.Unlock()
		return false
	}
	l.detached = true
	answered := l.attached
	l.mu.Unlock()
	s := l.session
	if !answered { // the standard wants an attach first, without what the relay would own
		p := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{l.name, l.handle, l.sends, nil, nil, l.attach.Field(5), l.attach.Field(6)}}
		if l.sends {
			p = p.With(6, nil)
		} else {
			p = p.With(5, nil).With(9, uint32(0))
		}
		if s.write(s.channel, p, nil) != nil {
			return true
		}
	}
	s.write(s.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.handle, true, framing.NewErrorValue(cond, why, info)}}, nil)
	return true
}

// BadRequest answers what makes no sense.
func (l *link) BadRequest(why string) { l.detach(framing.CondNotAllowed, why, nil) }

// Reject answers that trying again is harmless.
func (l *link) Reject(comeBack time.Duration) {
	l.detach(framing.CondResourceLimitExceeded, "no application server takes it", comeBackInfo(comeBack))
}

// comeBackInfo says when to come again, if that is known.
func comeBackInfo(wait time.Duration) (info codec.Map) {
	if wait >= time.Millisecond {
		info = info.With(infoBack, uint32(wait.Milliseconds()))
	}
	return info
}

// Fail answers what promises nothing.
func (l *link) Fail() { l.detach(framing.CondInternalError, "the transaction has failed", nil) }

// Migrate sends the client away politely: between two deliveries, if the one that
// is under way ends in time.
func (l *link) Migrate() bool {
	select {
	case <-l.ids.whole():
	case <-time.After(moveFor):
	}
	return l.detach(framing.CondDetachForced, "the client is to come again", nil)
}
