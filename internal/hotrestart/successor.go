package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Successor is the new process's side of a hot restart.
type Successor struct {
	Offer     *Offer
	Listeners []net.Listener // in the order of Offer.ListenerNames
	// State is the latest state from Handler.CurrentState that the predecessor has sent by the end of
	// TakeOver, whether that succeeded or not. nil: it has sent none.
	State json.RawMessage

	channel channel

	mu    sync.Mutex // guards state
	state SuccessorState
}

// AdoptFunc prepares to serve a connection that the predecessor hands off, and
// returns a function that serves it. That is called on a new goroutine once the
// connection is acknowledged. If AdoptFunc returns an error or the acknowledgement
// cannot be sent, serve is not called and the sockets are closed.
type AdoptFunc func(payload json.RawMessage, sockets []net.Conn) (serve func(), err error)

// Connect requests a takeover from the process that listens at a path, which
// SocketPath returns. After any error, the caller is to start alone.
func Connect(path string) (*Successor, error) { return connect(path, ProtocolVersion) }

func connect(path string, version int) (*Successor, error) {
	conn, err := net.DialTimeout("unix", path, messageTimeout)
	if err != nil {
		return nil, err
	}
	successor := &Successor{channel: newChannel(conn.(*net.UnixConn))}
	if err := successor.receiveOffer(version); err != nil {
		successor.Close()
		for _, listener := range successor.Listeners {
			listener.Close()
		}
		return nil, err
	}
	successor.state.OfferReceived()
	return successor, nil
}

// receiveOffer sends a hello and receives the offer.
func (s *Successor) receiveOffer(version int) error {
	if err := s.channel.checkPeerUser(); err != nil {
		return err
	}
	if err := s.channel.send(messageTimeout, kindHello, helloMessage{Version: version, PID: os.Getpid(), AcceptsCalls: true}); err != nil {
		return err
	}
	received, err := s.channel.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	defer received.closeFiles() // net.FileListener has duplicated them
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

// TakeOver takes over from the predecessor, within two seconds. If it returns an
// error, the predecessor did not confirm, and this process continues alone with
// what it has received.
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
		s.channel.Close() // makes the predecessor resume, if it still runs
		return err
	}
	s.state.PredecessorPaused()
	return nil
}

// requestTakeOver announces that this process takes over, and waits until the
// predecessor confirms that it has paused. It reads what the predecessor has sent
// even if that has exited.
func (s *Successor) requestTakeOver() error {
	sendErr := s.channel.send(messageTimeout, kindTakeOver, nil)
	deadline := time.Now().Add(messageTimeout)
	for {
		received, err := s.channel.receive(deadline)
		if err != nil {
			return errors.Join(sendErr, err)
		}
		received.closeFiles()
		if received.kind != kindState && received.kind != kindPaused {
			return received.expect(kindPaused)
		}
		if string(received.body) != "null" { // earlier releases send no state
			s.State = received.body
		}
		if received.kind == kindPaused {
			return nil
		}
	}
}

// MayAccept reports whether this process may accept clients. It may be called from
// any goroutine.
func (s *Successor) MayAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.MayAccept()
}

// Adopt adopts connections and answers calls until the predecessor's connection or
// ctx ends. It calls prepare for one connection at a time, and answer for one call at
// a time, on another goroutine. It returns nil if the predecessor ended the
// connection.
func (s *Successor) Adopt(ctx context.Context, prepare AdoptFunc, answer CallFunc) error {
	defer context.AfterFunc(ctx, func() { s.channel.Close() })()
	defer s.Close()
	calls := s.startAnswering(ctx, answer)
	defer calls.stop()
	for {
		received, err := s.channel.receive(time.Time{})
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.handle(received, prepare, calls); err != nil {
			return err
		}
	}
}

// handle handles a message. After an error no further message can be received.
func (s *Successor) handle(received *message, prepare AdoptFunc, calls *callQueue) error {
	switch received.kind {
	case kindConnection:
		return s.adoptConnection(received, prepare)
	case kindCall:
		received.closeFiles()
		var call callMessage
		if err := received.decode(&call); err != nil {
			return err
		}
		return calls.add(call)
	}
	received.closeFiles()
	return errProtocol
}

// adoptConnection adopts one connection, and acknowledges or declines it.
func (s *Successor) adoptConnection(received *message, prepare AdoptFunc) error {
	defer received.closeFiles() // net.FileConn has duplicated them
	var connection connectionMessage
	if err := received.decode(&connection); err != nil {
		return err
	}
	sockets, err := received.connections()
	var serve func()
	if err == nil {
		serve, err = prepare(connection.Payload, sockets)
	}
	if err != nil {
		closeConnections(sockets)
		return s.channel.send(messageTimeout, kindNack, connection.Number)
	}
	if err := s.channel.send(messageTimeout, kindAck, connection.Number); err != nil {
		closeConnections(sockets) // the predecessor still owns the connection
		return err
	}
	go serve() // the caller that provides prepare waits for its end
	return nil
}

// connections returns connections from the descriptors of a message. If some fail,
// it returns the others with an error.
func (m *message) connections() (sockets []net.Conn, err error) {
	for _, file := range m.descriptors {
		socket, fileErr := net.FileConn(file)
		if fileErr != nil {
			err = errors.Join(err, fileErr)
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

// Close closes the connection to the predecessor.
func (s *Successor) Close() { s.channel.Close() }
