package amqp

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

const (
	advertisedIdleTimeout = 15 * time.Second // the peer is told this much
	clientIdleTimeout     = 30 * time.Second // and given this much
	writeTimeout          = 5 * time.Second  // a peer that takes nothing for this long is gone
)

// streamConn is a connection of TCP, or of TLS over it.
type streamConn interface {
	net.Conn
	CloseWrite() error
}

// connection is a connection that speaks in frames, to either side.
type connection struct {
	streamConn
	reader       *bufio.Reader
	openDeadline time.Time // by when all that is read has to be there; none if zero

	mu               timedMutex
	peerMaxFrameSize int // the peer's largest frame
	writeBuffer      []byte
	lastWrite        time.Time
	writesClosed     bool // nothing may follow a close, or a frame that went out in part
}

func newConnection(c streamConn) *connection {
	return &connection{streamConn: c, reader: bufio.NewReaderSize(c, 4<<10), mu: make(timedMutex, 1), peerMaxFrameSize: framing.MinMaxFrameSize}
}

var (
	errConnectionClosing = errors.New("the connection is closing")
	errNoLongerPermitted = errors.New("it is not to be sent any more")
)

// limitNextRead bounds the next read. Whatever comes meanwhile, a greeting as a whole
// has its own bound.
func (c *connection) limitNextRead(wait time.Duration) {
	deadline := time.Now().Add(wait)
	if !c.openDeadline.IsZero() && c.openDeadline.Before(deadline) {
		deadline = c.openDeadline
	}
	c.SetReadDeadline(deadline)
}

// readFrame waits for the next frame, for so long at the most.
func (c *connection) readFrame(kind byte, wait time.Duration) (framing.Frame, error) {
	c.limitNextRead(wait)
	var sizePrefix [4]byte
	if _, err := io.ReadFull(c.reader, sizePrefix[:]); err != nil {
		return framing.Frame{}, err
	}
	size := binary.BigEndian.Uint32(sizePrefix[:])
	if size < framing.HeaderSize || size > framing.MaxFrameSize {
		return framing.Frame{}, framing.Errorf(framing.CondFramingError, "a frame of %d bytes is out of range", size)
	}
	body := make([]byte, size-4)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return framing.Frame{}, err
	}
	if body[1] != kind {
		return framing.Frame{}, framing.Errorf(framing.CondFramingError, "a frame of type %d has no place here", body[1])
	}
	return framing.ParseFrame(body)
}

// writeFrame sends a frame in one piece; nothing goes out after a close.
func (c *connection) writeFrame(channel uint16, performative framing.Performative, payload []byte) error {
	return c.writeUnlessEnded(channel, performative, payload, nil)
}

// writeUnlessEnded is write for a session that others go on beside: nothing of it may go out after its end. shut is whether that has;
// it is guarded by the connection's lock. nil: the session's end is none of the connection's business.
func (c *connection) writeUnlessEnded(channel uint16, performative framing.Performative, payload []byte, ended *bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesClosed || ended != nil && *ended {
		return errConnectionClosing
	}
	if ended != nil {
		*ended = performative.Code == framing.CodeEnd
	}
	c.writesClosed = performative.Code == framing.CodeClose
	c.writeBuffer = c.writeBuffer[:0]
	c.writeBuffer = framing.AppendFrame(c.writeBuffer, framing.TypeAMQP, channel, performative, payload)
	return c.flush()
}

// flush writes what is in the buffer; the caller holds the lock. A failure ends the connection: after a frame that
// went out in part, the next would be read as its rest, and the reader is to see that its peer is gone.
func (c *connection) flush() error {
	c.lastWrite = time.Now()
	c.SetWriteDeadline(c.lastWrite.Add(writeTimeout))
	_, err := c.Write(c.writeBuffer)
	if err != nil {
		c.writesClosed = true
		if over, ok := c.streamConn.(interface{ NetConn() net.Conn }); ok {
			over.NetConn().Close() // closing TLS says a last word, which waits as this one did
		} else {
			c.Close()
		}
	}
	return err
}

// maxPayload returns how much payload a frame to the peer holds beside a performative.
func (c *connection) maxPayload(performative framing.Performative) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerMaxFrameSize - len(framing.AppendFrame(nil, framing.TypeAMQP, 0, performative, nil))
}

// writeProtocolHeader writes a protocol header.
func (c *connection) writeProtocolHeader(header [8]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = append(c.writeBuffer[:0], header[:]...)
	return c.flush()
}

// readProtocolHeader waits for a protocol header.
func (c *connection) readProtocolHeader(wait time.Duration) (header [8]byte, err error) {
	c.limitNextRead(wait)
	_, err = io.ReadFull(c.reader, header[:])
	return header, err
}

// writeSASL writes a frame of the security layer.
func (c *connection) writeSASL(performative framing.Performative) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = framing.AppendFrame(c.writeBuffer[:0], framing.TypeSASL, 0, performative, nil)
	return c.flush()
}

// applyOpen takes what the peer's open says of itself.
func (c *connection) applyOpen(performative framing.Performative) (idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerMaxFrameSize = int(min(framing.MaxFrameSize, max(framing.MinMaxFrameSize, performative.Uint32(framing.OpenMaxFrameSize, 1<<32-1))))
	return time.Duration(performative.Uint32(framing.OpenIdleTimeout, 0)) * time.Millisecond
}

// newOpen is the relay's own open.
func newOpen(name string) framing.Performative {
	return framing.Performative{Code: framing.CodeOpen, Fields: codec.List{name, nil, uint32(framing.MaxFrameSize), uint16(maxChannel), uint32(advertisedIdleTimeout.Milliseconds())}}
}

// sendHeartbeats sends empty frames, often enough for the peer's idle time-out, until
// stop is closed.
func (c *connection) sendHeartbeats(idleTimeout time.Duration, stop <-chan struct{}) {
	if idleTimeout <= 0 {
		return
	}
	interval := max(idleTimeout/3, 10*time.Millisecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.mu.Lock()
			quiet := time.Since(c.lastWrite) >= interval
			c.mu.Unlock()
			if quiet && c.writeFrame(0, framing.Performative{}, nil) != nil {
				return
			}
		}
	}
}
