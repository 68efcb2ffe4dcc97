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

// migrateTimeout bounds the wait for the rest of a delivery before its link is moved.
const migrateTimeout = 300 * time.Millisecond

// link is one transaction of a client.
type link struct {
	frontend      *Frontend
	session       *session // the client's
	handle        uint32
	name          string
	attach        framing.Performative // the client's
	clientSends   bool                 // deliveries go from the client to the server
	cancel        func()
	deliveries    *deliveryMap
	creditLimiter creditLimiter

	mu         sync.Mutex
	outbox     *outbox   // what the client has for the server
	upstream   *upstream // the server, once it is the client's
	heartbeat  *proxy.Heartbeat
	clientFlow *framing.Performative // what the client has granted so far
	attachSent bool                  // the client has been answered
	detachSent bool                  // the client has been told of the end
	clientGone bool                  // the client has ended its side
}

// hashKey is the number of a group or an item: a hexadecimal word as it is,
// anything else by its hash.
func hashKey(v any) uint64 {
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

// parseLoad returns a number of any kind that a load can have.
func parseLoad(v any) (float64, bool) {
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
	defer close(u.done)
	stop := context.AfterFunc(ctx, u.Close)
	defer stop()
	l.mu.Lock()
	l.upstream, l.heartbeat, l.attachSent = u, pulse, true
	l.outbox = newOutbox(l.session, u, pulse.TimedOut)
	go l.outbox.run()
	credit, gone := l.clientFlow, l.clientGone
	l.mu.Unlock()
	if gone {
		return balancer.StatusCancelled
	}
	if l.session.writeFrame(l.session.channel, u.attach.With(0, l.name).With(1, l.handle), nil) != nil {
		return balancer.StatusCancelled
	}
	pulse.Established()
	if u.creditFlow != nil {
		l.forwardToClient(framing.Frame{Performative: *u.creditFlow})
	}
	if credit != nil {
		l.outbox.enqueue(outboxItem{Performative: credit.With(4, uint32(0)), isFlow: true})
	}
	return l.pipeDownstream(ctx, u, pulse)
}

// pipeDownstream passes on what the server says until its end.
func (l *link) pipeDownstream(ctx context.Context, u *upstream, pulse *proxy.Heartbeat) balancer.AttemptStatus {
	for {
		f, err := u.nextFrame(0)
		l.mu.Lock()
		gone := l.clientGone
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
			return l.endpointEnded(u, f, gone)
		}
		if !l.forwardToClient(f) {
			return balancer.StatusCancelled
		}
	}
}

// endpointEnded passes on the end that a server has set to the link.
func (l *link) endpointEnded(u *upstream, f framing.Frame, gone bool) balancer.AttemptStatus {
	at := 0
	if f.Code == framing.CodeDetach {
		at = 2
		u.writeFrame(u.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		if u.sharedSession == nil {
			u.writeFrame(0, framing.Performative{Code: framing.CodeClose}, nil)
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

// forwardToClient passes a frame of the server to the client. It tells whether the client
// is still there.
func (l *link) forwardToClient(f framing.Frame) bool {
	s := l.session
	switch f.Code {
	case framing.CodeFlow:
		if err := l.upstream.handleFlow(f.Performative); err != nil || f.Field(4) == nil {
			return true
		}
		if props, ok := f.Field(10).(codec.Map); ok {
			if us, ok := parseLoad(props.Get(propLoad)); ok {
				l.heartbeat.ReportLoad(us / 1e6)
			}
		}
		p := f.Performative
		if l.clientSends {
			p = l.creditLimiter.limitFlow(p)
		}
		return s.sendFlow(p.With(4, l.handle)) == nil
	case framing.CodeTransfer:
		if l.clientSends || l.upstream.receiveTransfer(false) != nil {
			return true // out of turn: left aside
		}
		l.heartbeat.EndpointSent()
		p, err := l.deliveries.translateTransfer(f.Performative, s)
		if err != nil {
			return true
		}
		return s.sendTransfer(p.With(0, l.handle), f.Payload) == nil
	case framing.CodeDisposition:
		l.heartbeat.EndpointSent()
		for _, p := range l.deliveries.translateDisposition(f.Performative, l.clientSends) {
			if s.writeFrame(s.channel, p, nil) != nil {
				return false
			}
		}
	}
	return true
}

// handleFlow takes the session's part of a flow.
func (s *session) handleFlow(p framing.Performative) error {
	if err := p.RequireUint32(1, 2, 3); err != nil {
		return err
	}
	s.applyFlow(p)
	if p.Field(4) == nil && p.Bool(9) {
		return s.sendFlow(framing.Performative{Code: framing.CodeFlow})
	}
	return nil
}

// activeOutbox returns what goes to the server while frames pass.
func (l *link) activeOutbox() (*outbox, *proxy.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detachSent || l.clientGone {
		return nil, nil
	}
	return l.outbox, l.heartbeat
}

// enqueue has something sent to the server. A client that says more than its server takes,
// and more than there is room for, loses the link.
func (l *link) enqueue(o *outbox, p outboxItem) {
	if !o.enqueue(p) {
		l.detach(framing.CondResourceLimitExceeded, "the application server takes nothing, and too much waits for it", nil)
		l.cancel()
	}
}

// handleFlow passes the client's credit on. Before the link is up it is kept.
func (l *link) handleFlow(p framing.Performative) error {
	l.mu.Lock()
	if l.upstream == nil {
		l.clientFlow = &p
	}
	l.mu.Unlock()
	if o, _ := l.activeOutbox(); o != nil {
		l.enqueue(o, outboxItem{Performative: p.With(4, uint32(0)), isFlow: true})
	}
	return nil
}

// handleTransfer passes a delivery of the client on, or a part of one.
func (l *link) handleTransfer(f framing.Frame) error {
	o, pulse := l.activeOutbox()
	sent := false
	defer func() {
		if !sent {
			l.session.releaseTransfers(1)
		}
	}()
	l.mu.Lock()
	early := l.upstream == nil && !l.detachSent
	l.mu.Unlock()
	switch {
	case !l.clientSends:
		return framing.ConditionError{Condition: framing.CondNotAllowed, Description: "a receiver sends no transfers"}
	case early: // nothing has granted credit yet
		l.detach(framing.CondTransferLimitExceeded, "a transfer without credit", nil)
		l.cancel()
		return nil
	case o == nil:
		return nil // the end and the transfer have crossed
	}
	p, err := l.deliveries.translateTransfer(f.Performative, o.up.session)
	if err != nil {
		return err
	}
	if !f.Bool(5) && !f.Bool(4) {
		pulse.ClientSent()
	}
	next := outboxItem{Performative: p.With(0, uint32(0)), payload: f.Payload, isTransfer: true}
	if !f.Bool(5) {
		next.onSent = l.deliverySent
	}
	sent = true
	l.enqueue(o, next)
	return nil
}

// deliverySent counts a delivery that the server has been sent, and has the client told of
// credit that it has for more.
func (l *link) deliverySent() {
	if p, more := l.creditLimiter.deliverySent(); more {
		l.session.sendFlow(p.With(4, l.handle)) // if this fails, the client's reader sees why
	}
}

// handleDisposition passes on what the client says of deliveries, if they are this link's.
func (l *link) handleDisposition(p framing.Performative) {
	// A receiver speaks of what came to it, a sender of what it has sent.
	if o, _ := l.activeOutbox(); o != nil && p.Bool(0) != l.clientSends {
		for _, q := range l.deliveries.translateDisposition(p, !l.clientSends) {
			l.enqueue(o, outboxItem{Performative: q})
		}
	}
}

// handleDetach takes the client's detach. Before the link is up, the client has
// left; after that, the detach is the server's to answer.
func (l *link) handleDetach(p framing.Performative) {
	l.mu.Lock()
	l.clientGone = true
	u, o, told := l.upstream, l.outbox, l.detachSent
	l.mu.Unlock()
	switch {
	case told:
	case u == nil:
		l.cancel()
	default:
		l.enqueue(o, outboxItem{Performative: p.With(0, uint32(0))})
		u.limitRemaining(closeTimeout)
	}
}

// handleDisconnect ends the server's side as the client's has ended.
func (l *link) handleDisconnect() {
	l.mu.Lock()
	l.clientGone = true
	u := l.upstream
	l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
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
	if l.detachSent {
		l.mu.Unlock()
		return false
	}
	l.detachSent = true
	answered := l.attachSent
	l.mu.Unlock()
	s := l.session
	if !answered { // the standard wants an attach first, without what the relay would own
		p := framing.Performative{Code: framing.CodeAttach, Fields: codec.List{l.name, l.handle, l.clientSends, nil, nil, l.attach.Field(5), l.attach.Field(6)}}
		if l.clientSends {
			p = p.With(6, nil)
		} else {
			p = p.With(5, nil).With(9, uint32(0))
		}
		if s.writeFrame(s.channel, p, nil) != nil {
			return true
		}
	}
	s.writeFrame(s.channel, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{l.handle, true, framing.NewErrorValue(cond, why, info)}}, nil)
	return true
}

// BadRequest answers what makes no sense.
func (l *link) BadRequest(why string) { l.detach(framing.CondNotAllowed, why, nil) }

// Reject answers that trying again is harmless.
func (l *link) Reject(comeBack time.Duration) {
	l.detach(framing.CondResourceLimitExceeded, "no application server takes it", retryAfterInfo(comeBack))
}

// retryAfterInfo says when to come again, if that is known.
func retryAfterInfo(wait time.Duration) (info codec.Map) {
	if wait >= time.Millisecond {
		info = info.With(infoRetryAfter, uint32(wait.Milliseconds()))
	}
	return info
}

// Fail answers what promises nothing.
func (l *link) Fail() { l.detach(framing.CondInternalError, "the transaction has failed", nil) }

// Migrate sends the client away politely: between two deliveries, if the one that
// is under way ends in time.
func (l *link) Migrate() bool {
	select {
	case <-l.deliveries.boundary():
	case <-time.After(migrateTimeout):
	}
	return l.detach(framing.CondDetachForced, "the client is to come again", nil)
}
