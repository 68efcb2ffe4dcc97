package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Successor is a new process that has been offered the place of one that runs.
type Successor struct {
	Offer     *Offer
	Listeners []net.Listener // in the order of the offer's names

	mu  sync.Mutex
	new SuccessorState
	c   channel
}

// Connect asks at the meeting place for an old process's place. Whatever goes wrong, the caller
// is to start alone.
func Connect(path string) (*Successor, error) { return ask(path, ProtocolVersion) }

func ask(path string, format int) (*Successor, error) {
	conn, err := net.DialTimeout("unix", path, stepWait)
	if err != nil {
		return nil, err
	}
	g := &Successor{c: channel{conn.(*net.UnixConn)}}
	if err := g.hear(format); err != nil {
		g.Close()
		for _, l := range g.Listeners {
			l.Close()
		}
		return nil, err
	}
	g.new.Offered()
	return g, nil
}

// hear says hello and takes the offer.
func (g *Successor) hear(format int) error {
	if err := g.c.sameUser(); err != nil {
		return err
	}
	if err := g.c.send(stepWait, kindHello, hello{format, os.Getpid()}); err != nil {
		return err
	}
	m, err := g.c.receive(time.Now().Add(stepWait))
	if err != nil {
		return err
	}
	defer m.drop()
	if err := m.wanted(kindOffer); err != nil {
		return err
	}
	g.Offer = &Offer{}
	if err := m.into(g.Offer); err != nil {
		return err
	}
	if len(m.files) != len(g.Offer.ListenerNames) {
		return errStrange
	}
	for _, f := range m.files {
		l, err := net.FileListener(f)
		if err != nil {
			return err
		}
		g.Listeners = append(g.Listeners, l)
	}
	return nil
}

// TakeOver takes the old process's place over. After an error it is gone or strange, and this
// process is to go on alone with what it has.
func (g *Successor) TakeOver() error {
	g.mu.Lock()
	may := g.new.TakeOver()
	g.mu.Unlock()
	err := errStrange
	if may {
		err = g.take()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.new.PeerLost()
		g.c.Close() // for the old one to take clients in again, if it is still there
		return err
	}
	g.new.PredecessorPaused()
	return nil
}

func (g *Successor) take() error {
	if err := g.c.send(stepWait, kindTake, nil); err != nil {
		return err
	}
	m, err := g.c.receive(time.Now().Add(stepWait))
	if err != nil {
		return err
	}
	defer m.drop()
	return m.wanted(kindGo)
}

// MayAccept tells whether this process takes clients in.
func (g *Successor) MayAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.new.MayAccept()
}

// Adopt takes connections until the old process is gone, or ctx ends. For each, prepare
// returns what carries it on, to be called once the old process knows; what it gets is
// closed if it fails.
func (g *Successor) Adopt(ctx context.Context, prepare func(what json.RawMessage, sockets []net.Conn) (carry func(), err error)) {
	defer context.AfterFunc(ctx, func() { g.c.Close() })()
	defer g.Close()
	for {
		m, err := g.c.receive(time.Time{})
		if err != nil {
			return
		}
		if !g.adopt(m, prepare) {
			return
		}
	}
}

// adopt takes one connection. It tells whether more may come.
func (g *Successor) adopt(m *message, prepare func(json.RawMessage, []net.Conn) (func(), error)) bool {
	defer m.drop() // sockets are made of copies
	var s standing
	if m.kind != kindStanding || m.into(&s) != nil {
		return false
	}
	var sockets []net.Conn
	drop := func() {
		for _, c := range sockets {
			c.Close()
		}
	}
	var failed error
	for _, f := range m.files {
		c, err := net.FileConn(f)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		sockets = append(sockets, c)
	}
	var carry func()
	if failed == nil {
		carry, failed = prepare(s.What, sockets)
	}
	if failed != nil {
		drop()
		return g.c.send(stepWait, kindNack, s.Number) == nil
	}
	if g.c.send(stepWait, kindAck, s.Number) != nil {
		drop() // the old process takes it for not adopted
		return false
	}
	go carry()
	return true
}

// Close ends the talk with the old process.
func (g *Successor) Close() { g.c.Close() }
