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
	Listeners []net.Listener // in the order of Offer.ListenerNames

	channel channel

	mu    sync.Mutex // guards state
	state SuccessorState
}

// AdoptFunc prepares to serve a connection that the predecessor hands off, and
// returns what serves it. Its serve is called on a goroutine of its own once the
// predecessor is notified. After an error, or if the predecessor can't be
// notified, serve is not called and the sockets are closed.
type AdoptFunc func(payload json.RawMessage, sockets []net.Conn) (serve func(), err error)

// Connect asks for the place of the process that listens at a path, which
// SocketPath returns. Whatever its error, the caller is to start alone.
func Connect(path string) (*Successor, error) { return connect(path, ProtocolVersion) }

func connect(path string, version int) (*Successor, error) {
	conn, err := net.DialTimeout("unix", path, messageTimeout)
	if err != nil {
		return nil, err
	}
	s := &Successor{channel: channel{conn.(*net.UnixConn)}}
	if err := s.receiveOffer(version); err != nil {
		s.Close()
		for _, listener := range s.Listeners {
			listener.Close()
		}
		return nil, err
	}
	s.state.OfferReceived()
	return s, nil
}

// receiveOffer says hello and receives the offer.
func (s *Successor) receiveOffer(version int) error {
	if err := s.channel.sameUser(); err != nil {
		return err
	}
	if err := s.channel.send(messageTimeout, kindHello, helloMessage{version, os.Getpid()}); err != nil {
		return err
	}
	received, err := s.channel.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	defer received.closeFiles() // listeners have duplicates
	if err := received.expect(kindOffer); err != nil {
		return err
	}
	s.Offer = &Offer{}
	if err := received.decode(s.Offer); err != nil {
		return err
	}
	if len(received.descriptors) != len(s.Offer.ListenerNames) {
		return errProtocol
	}
	for _, file := range received.descriptors {
		listener, err := net.FileListener(file)
		if err != nil {
			return err
		}
		s.Listeners = append(s.Listeners, listener)
	}
	return nil
}

// TakeOver takes the predecessor's place, within two seconds. After an error the
// predecessor is gone or not understood, and this process is to continue alone
// with what it has.
func (s *Successor) TakeOver() error {
	s.mu.Lock()
	permitted := s.state.TakeOver()
	s.mu.Unlock()
	err := errProtocol
	if permitted {
		err = s.requestTakeOver()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.state.PeerLost()
		s.channel.Close() // makes the predecessor resume, if it is still there
		return err
	}
	s.state.PredecessorPaused()
	return nil
}

// requestTakeOver says that this process takes over, and waits until the
// predecessor has paused.
func (s *Successor) requestTakeOver() error {
	if err := s.channel.send(messageTimeout, kindTakeOver, nil); err != nil {
		return err
	}
	received, err := s.channel.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	defer received.closeFiles()
	return received.expect(kindPaused)
}

// MayAccept reports whether this process may accept clients. Any goroutine may
// call it.
func (s *Successor) MayAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.MayAccept()
}

// Adopt adopts connections until the predecessor is gone, or ctx ends. It calls
// prepare for one connection at a time.
func (s *Successor) Adopt(ctx context.Context, prepare AdoptFunc) {
	defer context.AfterFunc(ctx, func() { s.channel.Close() })()
	defer s.Close()
	for {
		received, err := s.channel.receive(time.Time{})
		if err != nil {
			return
		}
		if !s.adoptOne(received, prepare) {
			return
		}
	}
}

// adoptOne adopts one connection, and acknowledges or declines it. It reports
// whether more may come.
func (s *Successor) adoptOne(received *message, prepare AdoptFunc) bool {
	defer received.closeFiles() // connections have duplicates
	var connection connectionMessage
	if received.kind != kindConnection || received.decode(&connection) != nil {
		return false
	}
	sockets, err := received.connections()
	var serve func()
	if err == nil {
		serve, err = prepare(connection.Payload, sockets)
	}
	if err != nil {
		closeConnections(sockets)
		return s.channel.send(messageTimeout, kindNack, connection.Number) == nil
	}
	if s.channel.send(messageTimeout, kindAck, connection.Number) != nil {
		closeConnections(sockets) // the predecessor takes it for not adopted
		return false
	}
	go serve() // owned by prepare's side, which waits for what it serves
	return true
}

// connections returns the connections of a message's descriptors; those that
// could be made also with an error.
func (m *message) connections() (sockets []net.Conn, err error) {
	for _, file := range m.descriptors {
		socket, failure := net.FileConn(file)
		if failure != nil {
			err = errors.Join(err, failure)
			continue
		}
		sockets = append(sockets, socket)
	}
	return sockets, err
}

func closeConnections(sockets []net.Conn) {
	for _, socket := range sockets {
		socket.Close()
	}
}

// Close ends the exchange with the predecessor.
func (s *Successor) Close() { s.channel.Close() }
