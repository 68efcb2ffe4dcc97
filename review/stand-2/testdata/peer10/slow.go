package peer10

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/stand-2/testdata/rig"
)

// WorkingServer is an AMQP 1.0 server that works on one message at a time. Its session's incoming window is small, and
// opens as messages are done. It answers a detach once all messages before it are done.
type WorkingServer struct {
	Address string

	c      *rig.Case
	window uint32
	work   time.Duration // for a message
	mu     sync.Mutex
	done   map[string]int
}

// NewWorkingServer starts a server.
func NewWorkingServer(c *rig.Case, window uint32, work time.Duration) *WorkingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Need(err)
	c.Defer(func() { l.Close() })
	s := &WorkingServer{Address: l.Addr().String(), c: c, window: window, work: work, done: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Done returns how often a message was worked on.
func (s *WorkingServer) Done(message string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[message]
}

// workingConn is a connection of a WorkingServer, with one session and one link.
type workingConn struct {
	net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // guards writes
}

func (w *workingConn) send(frameType byte, p framing.Performative) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.Write(framing.AppendFrame(nil, frameType, 0, p, nil))
	return err
}

func (w *workingConn) next() (framing.Frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(w.reader, size[:]); err != nil {
		return framing.Frame{}, err
	}
	body := make([]byte, binary.BigEndian.Uint32(size[:])-4)
	if _, err := io.ReadFull(w.reader, body); err != nil {
		return framing.Frame{}, err
	}
	return framing.ParseFrame(body)
}

// greet exchanges protocol headers and SASL frames.
func (w *workingConn) greet() error {
	var header [8]byte
	if _, err := io.ReadFull(w.reader, header[:]); err != nil {
		return err
	}
	w.Write(header[:])
	if header == framing.ProtocolHeaderSASL {
		w.send(framing.TypeSASL, framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{codec.Array{codec.Symbol("ANONYMOUS")}}})
		if _, err := w.next(); err != nil {
			return err
		}
		w.send(framing.TypeSASL, framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
		if _, err := io.ReadFull(w.reader, header[:]); err != nil {
			return err
		}
		w.Write(header[:])
	}
	return nil
}

func (s *WorkingServer) serve(conn net.Conn) {
	defer conn.Close()
	w := &workingConn{Conn: conn, reader: bufio.NewReader(conn)}
	if w.greet() != nil {
		return
	}
	jobs := make(chan framing.Frame, 10_000) // transfers, and the detach after them
	defer close(jobs)
	stop := make(chan struct{})
	defer close(stop)
	go func() { // heartbeats
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				w.send(framing.TypeAMQP, framing.Performative{})
			}
		}
	}()
	name, firstID := "", uint32(0)
	started := make(chan struct{})
	go func() {
		<-started
		finished := uint32(0)
		for frame := range jobs {
			if frame.Code == framing.CodeDetach {
				s.c.Log("server: link %s: all %d messages are done, answers the detach", name, finished)
				w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}})
				continue
			}
			time.Sleep(s.work)
			if len(frame.Payload) > 5 {
				s.mu.Lock()
				s.done[string(frame.Payload[5:])]++
				s.mu.Unlock()
			}
			finished++
			if finished%5 == 0 { // the window is counted from what is done
				w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{firstID + finished, s.window, uint32(0), uint32(100)}})
			}
		}
	}()
	defer func() {
		select {
		case <-started:
		default:
			close(started)
		}
	}()
	for {
		frame, err := w.next()
		if err != nil {
			s.c.Log("server: link %s: %v", name, err)
			return
		}
		if frame.Empty {
			continue
		}
		switch frame.Code {
		case framing.CodeOpen:
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeOpen, Fields: codec.List{"server"}})
		case framing.CodeBegin:
			firstID = frame.Uint32(framing.BeginNextOutgoingID, 0)
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeBegin, Fields: codec.List{uint16(0), uint32(0), s.window, uint32(100)}})
			close(started)
		case framing.CodeAttach:
			name = codec.AsString(frame.Field(framing.AttachName))
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
				name, uint32(0), true, nil, nil, frame.Field(framing.AttachSource), frame.Field(framing.AttachTarget)}})
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{firstID, s.window, uint32(0), uint32(100), uint32(0), uint32(0), uint32(200)}})
		case framing.CodeTransfer, framing.CodeDetach:
			jobs <- frame
		case framing.CodeEnd:
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeEnd})
		case framing.CodeClose:
			w.send(framing.TypeAMQP, framing.Performative{Code: framing.CodeClose})
			return
		}
	}
}
