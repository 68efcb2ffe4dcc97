package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	streamQueue  = 256                   // capacity of a stream's operation queue
	pollInterval = 10 * time.Millisecond // of stalled streams and vanished routes
)

// stream performs the operations of a Flow for one direction of a connection.
type stream struct {
	ordering   sync.Mutex // held while operations are computed and queued, so that they stay in order
	mu         sync.Mutex // guards flow; taken after ordering
	flow       *Flow
	queue      chan Op
	writerDone chan struct{} // closed once the writer has ended
	wake       chan struct{} // the rules have changed
	reschedule chan struct{} // the result of flow.NextDue may have changed
	conn       *connection
	route      *route
	proxy      *Proxy
	from       *net.TCPConn
	to         *net.TCPConn
}

func newStream(conn *connection, from, to *net.TCPConn, flow *Flow) *stream {
	return &stream{
		flow: flow, conn: conn, route: conn.route, proxy: conn.route.proxy, from: from, to: to,
		queue: make(chan Op, streamQueue), writerDone: make(chan struct{}),
		wake: make(chan struct{}, 1), reschedule: make(chan struct{}, 1),
	}
}

// run reads input and feeds it to the flow, while one goroutine performs the flow's operations
// and another runs its timers. It returns once the writer has ended. first holds the bytes
// that have been read already.
func (s *stream) run(direction Direction, first []byte) {
	s.proxy.running.Go(s.write)
	defer func() { <-s.writerDone }()
	defer s.enqueue(Op{Kind: opLast})
	if len(first) > 0 && !s.feed(direction, first) {
		return
	}
	timersDone := make(chan struct{})
	defer close(timersDone)
	s.proxy.running.Go(func() { s.runTimers(timersDone) })
	buffer := make([]byte, maxPacket)
	for s.awaitReadable() {
		n, err := s.from.Read(buffer)
		// Bytes that were read as a vanish fault began are held until it ends.
		if n > 0 && !(s.awaitNotVanished() && s.feed(direction, buffer[:n])) {
			return
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// feed feeds bytes to the flow and queues its operations. It returns false if the connection has ended.
func (s *stream) feed(direction Direction, data []byte) bool {
	s.route.passed[direction].Add(uint64(len(data)))
	s.ordering.Lock()
	defer s.ordering.Unlock()
	s.mu.Lock()
	ops := s.flow.Feed(s.proxy.now(), data)
	mayHaveTimers := !s.flow.Idle()
	s.mu.Unlock()
	if mayHaveTimers {
		signal(s.reschedule)
	}
	return s.enqueue(ops...)
}

// end queues the held-back bytes, and then a half-close after io.EOF or a reset after another error.
func (s *stream) end(err error) {
	s.mu.Lock()
	ops := s.flow.End(s.proxy.now())
	s.mu.Unlock()
	end := Op{Kind: OpHalfClose}
	if !errors.Is(err, io.EOF) {
		end.Kind = OpRST
	}
	if s.awaitNotVanished() {
		s.enqueue(append(ops, end)...)
	}
}

// awaitReadable waits while reads are stalled. It returns false if the connection has ended.
func (s *stream) awaitReadable() bool {
	for {
		s.mu.Lock()
		stalled, until := s.flow.Stalled(s.proxy.now())
		s.mu.Unlock()
		if !stalled && !s.route.hasVanished() {
			return true
		}
		if !s.awaitStall(until) {
			return false
		}
	}
}

// awaitNotVanished waits while a vanish fault is active. It returns false if the connection has ended.
func (s *stream) awaitNotVanished() bool {
	for s.route.hasVanished() {
		if !s.awaitStall(0) {
			return false
		}
	}
	return true
}

// enqueue queues operations for the writer. It returns false if the writer or the connection
// has ended.
func (s *stream) enqueue(ops ...Op) bool {
	for _, op := range ops {
		select {
		case s.queue <- op:
		case <-s.writerDone:
			return false
		case <-s.conn.ctx.Done():
			return false
		}
	}
	return true
}

// awaitStall waits until the rules change or a stall may be over, at most pollInterval. It
// returns false if the connection has ended.
func (s *stream) awaitStall(until time.Duration) bool {
	wait := pollInterval
	if until > 0 {
		wait = min(wait, max(0, until-s.proxy.now()))
	}
	select {
	case <-s.conn.ctx.Done():
		return false
	case <-s.wake:
	case <-time.After(wait):
	}
	return true
}

// runTimers queues the flow's timed operations when they are due, until done is closed.
func (s *stream) runTimers(done <-chan struct{}) {
	for {
		s.mu.Lock()
		now := s.proxy.now()
		next, found := s.flow.NextDue(now)
		s.mu.Unlock()
		var due <-chan time.Time
		if found {
			due = time.After(next - now)
		}
		select {
		case <-done:
			return
		case <-s.conn.ctx.Done():
			return
		case <-s.reschedule:
			continue
		case <-due:
		}
		s.ordering.Lock()
		s.mu.Lock()
		ops := s.flow.Due(s.proxy.now())
		s.mu.Unlock()
		s.enqueue(ops...)
		s.ordering.Unlock()
	}
}

// write performs the queued operations, each at its time, until opLast.
func (s *stream) write() {
	defer close(s.writerDone)
	for ended := false; ; {
		var op Op
		select {
		case op = <-s.queue:
		case <-s.conn.ctx.Done():
			return
		}
		if !s.awaitTime(op.At) || op.Kind == opLast {
			return
		}
		if !ended { // after the direction was closed, operations are discarded
			ended = s.perform(op)
		}
	}
}

// awaitTime waits until a time of the script's clock, and while a vanish fault is active. It
// returns false if the connection has ended.
func (s *stream) awaitTime(at time.Duration) bool {
	for wait := at - s.proxy.now(); wait > 0 || s.route.hasVanished(); wait = pollInterval {
		select {
		case <-time.After(wait):
		case <-s.conn.ctx.Done():
			return false
		}
		if !s.route.hasVanished() {
			break
		}
	}
	return true
}

// perform performs one operation. It reports whether this direction is closed.
func (s *stream) perform(op Op) (ended bool) {
	switch op.Kind {
	case OpWrite:
		_, err := s.to.Write(op.Data)
		return err != nil // the other direction's read reports why
	case OpHalfClose:
		s.to.CloseWrite()
	case OpFIN:
		s.conn.cancel()
	case OpRST:
		s.conn.reset()
	}
	return true
}

// notify signals that the stream's rules have changed.
func (s *stream) notify() {
	signal(s.wake)
	signal(s.reschedule)
}

// signal sends without blocking; one pending signal is enough.
func signal(pending chan struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}
