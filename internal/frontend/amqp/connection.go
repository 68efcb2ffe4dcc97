package amqp

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"net"
	"time"
)

const (
	idleTold  = 15 * time.Second // the peer is told this much
	idleMost  = 30 * time.Second // and given this much
	writeMost = 5 * time.Second  // a peer that takes nothing for this long is gone
)

// socket is a connection of TCP, or of TLS over it.
type socket interface {
	net.Conn
	CloseWrite() error
}

// conn is a connection that speaks in frames, to either side.
type conn struct {
	socket
	r     *bufio.Reader
	until time.Time // by when all that is read has to be there; none if zero

	mu   turn
	most int // the peer's largest frame
	buf  []byte
	sent time.Time
	quit bool // nothing may follow a close, or a frame that went out in part
}

func newConn(c socket) *conn {
	return &conn{socket: c, r: bufio.NewReaderSize(c, 4<<10), mu: make(turn, 1), most: framing.MinMaxFrameSize}
}

// turn is a lock that can be waited for within a time: who writes keeps it for as long as the peer does not read.
type turn chan struct{}

func (t turn) Lock()   { t <- struct{}{} }
func (t turn) Unlock() { <-t }

func (t turn) TryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

// lockWithin takes the lock unless ctx ends first.
func (t turn) lockWithin(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// within bounds the next read. Whatever comes meanwhile, a greeting as a whole
// has its own bound.
func (c *conn) within(wait time.Duration) {
	by := time.Now().Add(wait)
	if !c.until.IsZero() && c.until.Before(by) {
		by = c.until
	}
	c.SetReadDeadline(by)
}

// read waits for the next frame, for so long at the most.
func (c *conn) read(kind byte, wait time.Duration) (framing.Frame, error) {
	c.within(wait)
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return framing.Frame{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < framing.HeaderSize || size > framing.MaxFrameSize {
		return framing.Frame{}, framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("a frame of %d bytes is out of range", size)}
	}
	b := make([]byte, size-4)
	if _, err := io.ReadFull(c.r, b); err != nil {
		return framing.Frame{}, err
	}
	if b[1] != kind {
		return framing.Frame{}, framing.ConditionError{Condition: framing.CondFramingError, Description: fmt.Sprintf("a frame of type %d has no place here", b[1])}
	}
	return framing.ParseFrame(b)
}

var (
	errQuit = errors.New("the connection is closing")
	errMoot = errors.New("it is not to be sent any more")
)

// write sends a frame in one piece; nothing goes out after a close.
func (c *conn) write(channel uint16, p framing.Performative, payload []byte) error {
	return c.send(channel, p, payload, nil)
}

// send is write for a session that others go on beside: nothing of it may go out after its end. shut is whether that has;
// it is guarded by the connection's lock. nil: the session's end is none of the connection's business.
func (c *conn) send(channel uint16, p framing.Performative, payload []byte, shut *bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quit || shut != nil && *shut {
		return errQuit
	}
	if shut != nil {
		*shut = p.Code == framing.CodeEnd
	}
	c.quit = p.Code == framing.CodeClose
	c.buf = c.buf[:0]
	c.buf = framing.AppendFrame(c.buf, framing.TypeAMQP, channel, p, payload)
	return c.flush()
}

// flush writes what is in the buffer; the caller holds the lock. A failure ends the connection: after a frame that
// went out in part, the next would be read as its rest, and the reader is to see that its peer is gone.
func (c *conn) flush() error {
	c.sent = time.Now()
	c.SetWriteDeadline(c.sent.Add(writeMost))
	_, err := c.Write(c.buf)
	if err != nil {
		c.quit = true
		if over, ok := c.socket.(interface{ NetConn() net.Conn }); ok {
			over.NetConn().Close() // closing TLS says a last word, which waits as this one did
		} else {
			c.Close()
		}
	}
	return err
}

// room returns how much payload a frame to the peer holds beside a performative.
func (c *conn) room(p framing.Performative) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most - len(framing.AppendFrame(nil, framing.TypeAMQP, 0, p, nil))
}

// header writes a protocol header.
func (c *conn) header(h [8]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = append(c.buf[:0], h[:]...)
	return c.flush()
}

// readHeader waits for a protocol header.
func (c *conn) readHeader(wait time.Duration) (h [8]byte, err error) {
	c.within(wait)
	_, err = io.ReadFull(c.r, h[:])
	return h, err
}

// sasl writes a frame of the security layer.
func (c *conn) sasl(p framing.Performative) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = framing.AppendFrame(c.buf[:0], framing.TypeSASL, 0, p, nil)
	return c.flush()
}

// opened takes what the peer's open says of itself.
func (c *conn) opened(p framing.Performative) (idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = int(min(framing.MaxFrameSize, max(framing.MinMaxFrameSize, p.Uint32(2, 1<<32-1))))
	return time.Duration(p.Uint32(4, 0)) * time.Millisecond
}

// open is the relay's own open.
func open(name string) framing.Performative {
	return framing.Performative{Code: framing.CodeOpen, Fields: codec.List{name, nil, uint32(framing.MaxFrameSize), uint16(channelMost), uint32(idleTold.Milliseconds())}}
}

// beat sends empty frames, often enough for the peer's idle time-out, until
// stop is closed.
func (c *conn) beat(idle time.Duration, stop <-chan struct{}) {
	if idle <= 0 {
		return
	}
	every := max(idle/3, 10*time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			c.mu.Lock()
			quiet := time.Since(c.sent) >= every
			c.mu.Unlock()
			if quiet && c.write(0, framing.Performative{}, nil) != nil {
				return
			}
		}
	}
}
