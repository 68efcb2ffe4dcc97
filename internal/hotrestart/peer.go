package hotrestart

import (
	"context"
	"sync"
	"time"
)

// peer is a predecessor's connection to its successor.
type peer struct {
	channel
	pid          int
	acceptsCalls bool
	offered      bool          // the offer was sent; guarded by Predecessor.mu
	serving      chan struct{} // closed once the successor has been told that it serves
	lost         chan struct{} // closed once the successor is lost

	acknowledgements chan *message // of the connection that is being handed off

	mu      sync.Mutex                    // guards results
	results map[int]chan<- *resultMessage // by number, of the calls in progress; each is buffered
}

func newPeer(conn channel, pid int, acceptsCalls bool) *peer {
	return &peer{
		channel: conn, pid: pid, acceptsCalls: acceptsCalls,
		serving: make(chan struct{}), lost: make(chan struct{}),
		acknowledgements: make(chan *message, 1), results: make(map[int]chan<- *resultMessage),
	}
}

// receiveAnswers passes acknowledgements to HandOff and results to Call until the
// successor's connection or ctx ends.
func (s *peer) receiveAnswers(ctx context.Context) error {
	for {
		received, err := s.receive(time.Time{})
		if err != nil {
			return err
		}
		received.closeFiles()
		switch received.kind {
		case kindAck, kindNack:
			select {
			case s.acknowledgements <- received:
			case <-ctx.Done():
				return ctx.Err()
			}
		case kindResult:
			if err := s.deliverResult(received); err != nil {
				return err
			}
		default:
			return errProtocol
		}
	}
}

// deliverResult passes a result to the call that waits for it. It drops the result of
// a call that has ended.
func (s *peer) deliverResult(received *message) error {
	var result resultMessage
	if err := received.decode(&result); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting := s.results[result.Number]; waiting != nil {
		waiting <- &result
		delete(s.results, result.Number)
	}
	return nil
}

// expectResult returns the channel that receives the result of a call, and a function
// that must be called when the call has ended.
func (s *peer) expectResult(number int) (result <-chan *resultMessage, end func()) {
	waiting := make(chan *resultMessage, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[number] = waiting
	return waiting, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.results, number)
	}
}
