package amqp

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

const (
	advertisedIdleTimeout = 15 * time.Second // idle-time-out in the relay's open to a client
	clientIdleTimeout     = 30 * time.Second // twice the advertised value, as section 2.4.5 recommends
	writeTimeout          = 5 * time.Second  // fails a write that the peer does not accept in this time
)

// streamConn is a TCP connection or a TLS connection over it.
type streamConn interface {
	net.Conn
	CloseWrite() error
}

// connection sends and receives frames on a connection to a client or an endpoint. One goroutine reads; any goroutine
// may write.
type connection struct {
	streamConn
	reader *bufio.Reader

	readMu    sync.Mutex
	readLimit time.Time // deadline of all reads; zero: none. Guarded by readMu

	mu               timedMutex // guards the fields below; held while writing
	peerMaxFrameSize uint32     // in bytes
	writeBuffer      []byte
	lastWrite        time.Time
	writesClosed     bool // set after a close or a partially written frame: nothing may follow
}

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 4 << 10

func newConnection(conn streamConn) *connection {
	return &connection{
		streamConn: conn, reader: bufio.NewReaderSize(conn, readBufferSize),
		mu: make(timedMutex, 1), peerMaxFrameSize: framing.MinMaxFrameSize,
	}
}

var (
	// errConnectionClosing is returned by operations on a connection or session that has ended.
	errConnectionClosing = errors.New("AMQP connection or session is closing")
	// errNoLongerPermitted is returned by writeInitial if permitted returned false. Nothing was sent.
	errNoLongerPermitted = errors.New("sending the attach is no longer permitted")
)

// limitReads sets a deadline for all reads, including one in progress. The zero time removes it for later reads.
func (c *connection) limitReads(deadline time.Time) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.readLimit = deadline; !deadline.IsZero() {
		c.SetReadDeadline(deadline)
	}
}

// limitNextRead sets the deadline of the next read to wait from now, but no later than the limit of all reads.
func (c *connection) limitNextRead(wait time.Duration) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	deadline := time.Now().Add(wait)
	if !c.readLimit.IsZero() && c.readLimit.Before(deadline) {
		deadline = c.readLimit
	}
	c.SetReadDeadline(deadline)
}

// readFrame waits at most wait for the next frame, which must have the given type. If the error is a ConditionError,
// the caller reports it to the peer.
func (c *connection) readFrame(frameType byte, wait time.Duration) (framing.Frame, error) {
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
	if body[1] != frameType {
		return framing.Frame{}, framing.Errorf(framing.CondFramingError, "a frame of type %d has no place here", body[1])
	}
	return framing.ParseFrame(body)
}

// writeFrame sends a frame in a single write. It fails with errConnectionClosing after a close.
func (c *connection) writeFrame(channel uint16, performative framing.Performative, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesClosed {
		return errConnectionClosing
	}
	return c.writeLocked(channel, performative, payload)
}

// writeLocked writes a frame; the caller holds the lock and has checked writesClosed. It fails with a ConditionError, and
// writes nothing, if the frame is too large for the peer.
func (c *connection) writeLocked(channel uint16, performative framing.Performative, payload []byte) error {
	c.writeBuffer = c.writeBuffer[:0]
	if err := c.appendFrame(channel, performative, payload); err != nil {
		return err
	}
	c.writesClosed = performative.Code == framing.CodeClose
	return c.flush()
}

// appendFrame appends a frame to the write buffer. It fails with a ConditionError if the peer would not accept a frame
// of that size: such a frame would end the connection with all of its links. The caller holds the lock.
func (c *connection) appendFrame(channel uint16, performative framing.Performative, payload []byte) error {
	offset := len(c.writeBuffer)
	c.writeBuffer = framing.AppendFrame(c.writeBuffer, framing.TypeAMQP, channel, performative, payload)
	return checkFrameSize(performative, len(c.writeBuffer)-offset, int(c.peerMaxFrameSize))
}

// checkFrameSize returns a ConditionError if size, that of a frame or of a part of it, is over limit.
func checkFrameSize(performative framing.Performative, size, limit int) error {
	if size <= limit {
		return nil
	}
	return framing.Errorf(framing.CondFrameSizeTooSmall, "performative %#x takes %d bytes, its receiver accepts %d", performative.Code, size, limit)
}

// flush writes the buffer; the caller holds the lock. A failure closes the connection: the peer would parse the next
// frame as the rest of a partially written one, and closing also unblocks the reader.
func (c *connection) flush() error {
	c.lastWrite = time.Now()
	c.SetWriteDeadline(c.lastWrite.Add(writeTimeout))
	_, err := c.Write(c.writeBuffer)
	if err != nil {
		c.writesClosed = true
		if tlsConn, ok := c.streamConn.(interface{ NetConn() net.Conn }); ok {
			tlsConn.NetConn().Close() // closing TLS would send an alert, which could block as this write did
		} else {
			c.Close()
		}
	}
	return err
}

// transferOverhead is an upper bound of the bytes that the encoding of a transfer takes beyond its size in memory: the
// frame's header, the descriptor and the list's constructor. Each field is encoded in fewer bytes than it takes in memory.
const transferOverhead = framing.HeaderSize + 16

// maxPayload returns how many payload bytes fit into one frame to the peer together with a transfer; a few more would
// often fit. It fails with a ConditionError if the transfer takes more than half of the frame, as the delivery would
// become too many frames.
func (c *connection) maxPayload(transfer framing.Performative) (int, error) {
	c.mu.Lock()
	limit := int(min(c.peerMaxFrameSize, framing.MaxFrameSize))
	c.mu.Unlock()
	size := transferOverhead + transfer.MemorySize()
	if size > limit/2 {
		size = len(framing.AppendFrame(nil, framing.TypeAMQP, 0, transfer, nil))
	}
	return limit - size, checkFrameSize(transfer, size, limit/2)
}

// writeProtocolHeader sends a protocol header.
func (c *connection) writeProtocolHeader(header [8]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = append(c.writeBuffer[:0], header[:]...)
	return c.flush()
}

// readProtocolHeader waits at most wait for the peer's protocol header.
func (c *connection) readProtocolHeader(wait time.Duration) (header [8]byte, err error) {
	c.limitNextRead(wait)
	_, err = io.ReadFull(c.reader, header[:])
	return header, err
}

// writeSASL sends a SASL frame.
func (c *connection) writeSASL(performative framing.Performative) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = framing.AppendFrame(c.writeBuffer[:0], framing.TypeSASL, 0, performative, nil)
	return c.flush()
}

// applyOpen applies the frame size limit of the peer's open. It returns the peer's idle-time-out; 0: none.
func (c *connection) applyOpen(performative framing.Performative) (idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerMaxFrameSize = max(framing.MinMaxFrameSize, performative.Uint32(framing.OpenMaxFrameSize, math.MaxUint32))
	return time.Duration(performative.Uint32(framing.OpenIdleTimeout, 0)) * time.Millisecond
}

// newOpen returns an open with the relay's limits.
func newOpen(containerID string) framing.Performative {
	idleTimeout := uint32(advertisedIdleTimeout.Milliseconds())
	return framing.Performative{Code: framing.CodeOpen, Fields: codec.List{
		containerID, nil, uint32(framing.MaxFrameSize), uint16(maxChannel), idleTimeout,
	}}
}

// sendHeartbeats sends an empty frame whenever nothing was sent for a third of the peer's idle-time-out, until stop is
// closed.
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
