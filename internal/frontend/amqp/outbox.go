package amqp

import (
	"errors"
	"lockroad/internal/frontend/amqp/framing"
	"sync"
)

const (
	// ahead is how many deliveries a client may send on a link beyond those that its
	// server has been sent, whatever credit the server grants: a part of the session's
	// window, so that a server which stops reading leaves the rest to other links.
	ahead = windowMost / 2
	// wordsMost is how many flows, dispositions and detaches of a client may wait for a
	// server. Flows are one, as each says all that the last did.
	wordsMost = unsettled + 16
)

// outbox holds what a client's link has for its server, and one goroutine sends it. It
// guards against a server that stops reading: the goroutine that reads the client's
// connection never waits for it, and other links of the connection go on.
//
// Its room is bounded: transfers by the window of the client's session, which is opened
// again only as they leave (windowMost frames of ourMost bytes for all links of a
// session), the rest by wordsMost.
type outbox struct {
	session *session // the client's
	up      *upstream
	stuck   func() // told that the server has taken no transfer for long, and nothing more goes to it

	mu    sync.Mutex
	queue []parcel
	words int // that are no transfers
	over  bool
	more  chan struct{} // a value when something has been put in
}

// parcel is one thing for a server.
type parcel struct {
	framing.Performative
	payload  []byte
	transfer bool
	flow     bool
	sent     func() // called after a transfer that ends a delivery has been sent
}

func newOutbox(s *session, u *upstream, stuck func()) *outbox {
	return &outbox{session: s, up: u, stuck: stuck, more: make(chan struct{}, 1)}
}

// put takes something for the server. It fails where there is no room for it.
func (o *outbox) put(p parcel) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over {
		if p.transfer {
			o.session.freed(1)
		}
		return true // the end has crossed it
	}
	if !p.transfer {
		if n := len(o.queue); p.flow && n > 0 && o.queue[n-1].flow {
			o.queue[n-1] = p
			return true
		}
		if o.words >= wordsMost {
			return false
		}
		o.words++
	}
	o.queue = append(o.queue, p)
	select {
	case o.more <- struct{}{}:
	default:
	}
	return true
}

// take takes out the next thing.
func (o *outbox) take() (parcel, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return parcel{}, false
	}
	p := o.queue[0]
	o.queue[0] = parcel{}
	if o.queue = o.queue[1:]; len(o.queue) == 0 {
		o.queue = nil
	}
	if !p.transfer {
		o.words--
	}
	return p, true
}

// run sends what is put in until the server's side stops.
func (o *outbox) run() {
	defer o.close()
	for {
		p, found := o.take()
		if !found {
			select {
			case <-o.more:
			case <-o.up.stop:
				return
			}
			continue
		}
		var err error
		switch {
		case p.transfer:
			err = o.up.transfer(p.Performative, p.payload)
			o.session.freed(1)
			if err == nil && p.sent != nil {
				p.sent()
			}
		case p.flow:
			err = o.up.flow(p.Performative)
		default:
			err = o.up.write(o.up.channel, p.Performative, nil)
		}
		if errors.Is(err, errWindow) {
			o.stuck() // the other direction may go on: deliveries would be taken for a server that never gets them
		}
		if err != nil {
			return // else the other direction sees why
		}
	}
}

// close lets go of what waits.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.over = true
	n := 0
	for _, p := range o.queue {
		if p.transfer {
			n++
		}
	}
	o.queue = nil
	o.session.freed(n)
}

// credits is the credit that a link's client has: that of its server, but no more than
// ahead of what the server has been sent.
type credits struct {
	mu     sync.Mutex
	known  bool
	count  uint32               // deliveries that the server has been sent, by the client's count
	limit  uint32               // delivery count up to which the server takes deliveries
	told   uint32               // and the client has been told
	latest framing.Performative // the server's last flow
}

// granted takes a flow of the server and returns what the client is told. One that
// wants the credit used up, or speaks of no credit, is passed as it is.
func (c *credits) granted(p framing.Performative) framing.Performative {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Field(6) == nil || p.Bool(8) {
		return p
	}
	from := p.Uint32(5, 0)
	if !c.known {
		c.known, c.count = true, from
	}
	c.latest, c.limit = p, from+p.Uint32(6, 0)
	c.told = c.limit
	if most := c.count + ahead; int32(c.limit-most) > 0 {
		c.told = most
	}
	if int32(c.told-from) < 0 {
		c.told = from
	}
	return p.With(6, c.told-from)
}

// sent counts a delivery that the server has been sent. It returns a flow for the client
// once enough have been that more may follow.
func (c *credits) sent() (framing.Performative, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if !c.known || c.told == c.limit || int32(c.count+ahead-c.told) < ahead/2 {
		return framing.Performative{}, false
	}
	c.told = c.limit
	if most := c.count + ahead; int32(c.limit-most) > 0 {
		c.told = most
	}
	return c.latest.With(5, c.count).With(6, c.told-c.count), true
}
