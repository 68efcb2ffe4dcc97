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

	mu      sync.Mutex
	state   SuccessorState
	channel channel
}

// Connect asks at the meeting place for an old process's place. Whatever goes wrong, the caller
// is to start alone.
func Connect(path string) (*Successor, error) { return connect(path, ProtocolVersion) }

func connect(path string, format int) (*Successor, error) {
	conn, err := net.DialTimeout("unix", path, messageTimeout)
	if err != nil {
		return nil, err
	}
	g := &Successor{channel: channel{conn.(*net.UnixConn)}}
	if err := g.receiveOffer(format); err != nil {
		g.Close()
		for _, l := range g.Listeners {
			l.Close()
		}
		return nil, err
	}
	g.state.Offered()
	return g, nil
}

// receiveOffer says hello and takes the offer.
func (g *Successor) receiveOffer(format int) error {
	if err := g.channel.sameUser(); err != nil {
		return err
	}
	if err := g.channel.send(messageTimeout, kindHello, helloMessage{format, os.Getpid()}); err != nil {
		return err
	}
	m, err := g.channel.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	defer m.closeFiles()
	if err := m.expect(kindOffer); err != nil {
		return err
	}
	g.Offer = &Offer{}
	if err := m.decode(g.Offer); err != nil {
		return err
	}
	if len(m.descriptors) != len(g.Offer.ListenerNames) {
		return errProtocol
	}
	for _, f := range m.descriptors {
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
	may := g.state.TakeOver()
	g.mu.Unlock()
	err := errProtocol
	if may {
		err = g.requestTakeOver()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.state.PeerLost()
		g.channel.Close() // for the old one to take clients in again, if it is still there
		return err
	}
	g.state.PredecessorPaused()
	return nil
}

func (g *Successor) requestTakeOver() error {
	if err := g.channel.send(messageTimeout, kindTakeOver, nil); err != nil {
		return err
	}
	m, err := g.channel.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	defer m.closeFiles()
	return m.expect(kindPaused)
}

// MayAccept tells whether this process takes clients in.
func (g *Successor) MayAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.MayAccept()
}

// Adopt takes connections until the old process is gone, or ctx ends. For each, prepare
// returns what carries it on, to be called once the old process knows; what it gets is
// closed if it fails.
func (g *Successor) Adopt(ctx context.Context, prepare func(what json.RawMessage, sockets []net.Conn) (carry func(), err error)) {
	defer context.AfterFunc(ctx, func() { g.channel.Close() })()
	defer g.Close()
	for {
		m, err := g.channel.receive(time.Time{})
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
	defer m.closeFiles() // sockets are made of copies
	var s connectionMessage
	if m.kind != kindConnection || m.decode(&s) != nil {
		return false
	}
	var sockets []net.Conn
	drop := func() {
		for _, c := range sockets {
			c.Close()
		}
	}
	var failed error
	for _, f := range m.descriptors {
		c, err := net.FileConn(f)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		sockets = append(sockets, c)
	}
	var carry func()
	if failed == nil {
		carry, failed = prepare(s.Payload, sockets)
	}
	if failed != nil {
		drop()
		return g.channel.send(messageTimeout, kindNack, s.Number) == nil
	}
	if g.channel.send(messageTimeout, kindAck, s.Number) != nil {
		drop() // the old process takes it for not adopted
		return false
	}
	go carry()
	return true
}

// Close ends the talk with the old process.
func (g *Successor) Close() { g.channel.Close() }
