package amqp

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// The performatives and other described types that the relay looks at.
const (
	codeOpen        = 0x10
	codeBegin       = 0x11
	codeAttach      = 0x12
	codeFlow        = 0x13
	codeTransfer    = 0x14
	codeDisposition = 0x15
	codeDetach      = 0x16
	codeEnd         = 0x17
	codeClose       = 0x18
	codeError       = 0x1d
	codeMechanisms  = 0x40
	codeInit        = 0x41
	codeOutcome     = 0x44
)

// Conditions of the standard.
const (
	condInternal      = "amqp:internal-error"
	condDecode        = "amqp:decode-error"
	condLimit         = "amqp:resource-limit-exceeded"
	condNotAllowed    = "amqp:not-allowed"
	condInvalid       = "amqp:invalid-field"
	condForced        = "amqp:connection:forced"
	condFraming       = "amqp:connection:framing-error"
	condWindow        = "amqp:session:window-violation"
	condHandleInUse   = "amqp:session:handle-in-use"
	condUnattached    = "amqp:session:unattached-handle"
	condDetachForced  = "amqp:link:detach-forced"
	condTransferLimit = "amqp:link:transfer-limit-exceeded"
	condUnauthorized  = "amqp:unauthorized-access"
)

const (
	frameAMQP = 0
	frameSASL = 1

	headSize  = 8
	leastMost = 512     // a peer takes frames of this size at the least
	ourMost   = 8 << 10 // frames larger than this are refused

	idleTold  = 15 * time.Second // the peer is told this much
	idleMost  = 30 * time.Second // and given this much
	writeMost = 5 * time.Second  // a peer that takes nothing for this long is gone
)

var (
	headerAMQP = [8]byte{'A', 'M', 'Q', 'P', 0, 1, 0, 0}
	headerSASL = [8]byte{'A', 'M', 'Q', 'P', 3, 1, 0, 0}
)

// fault is an error with the standard's condition for it.
type fault struct{ cond, text string }

func (f fault) Error() string { return f.cond + ": " + f.text }

// perf is a performative: its code and its fields, in order. Fields that the
// relay doesn't look at pass as they came.
type perf struct {
	code   uint64
	fields list
}

func (p perf) field(i int) any {
	if i < len(p.fields) {
		return p.fields[i]
	}
	return nil
}

// number returns an integer field, or what stands for it if it is absent.
func (p perf) number(i int, absent uint32) uint32 {
	if n, ok := whole(p.field(i)); ok && n <= 1<<32-1 {
		return uint32(n)
	}
	return absent
}

func (p perf) flag(i int) bool { is, _ := p.field(i).(bool); return is }

// with returns a copy with a field set.
func (p perf) with(i int, v any) perf {
	fields := make(list, max(len(p.fields), i+1))
	copy(fields, p.fields)
	fields[i] = v
	return perf{p.code, fields}
}

// must checks that fields hold integers where something is needed of them.
func (p perf) must(fields ...int) error {
	for _, i := range fields {
		if n, ok := whole(p.field(i)); !ok || n > 1<<32-1 {
			return fault{condInvalid, fmt.Sprintf("field %d of performative %#x has to be a number", i, p.code)}
		}
	}
	return nil
}

// condition returns the error that a detach, end or close carries at a field.
func (p perf) condition(i int) (cond string, info mapping) {
	d, ok := p.field(i).(described)
	if !ok {
		return "", nil
	}
	e, _ := d.value.(list)
	if len(e) == 0 {
		return "", nil
	}
	if len(e) > 2 {
		info, _ = e[2].(mapping)
	}
	return text(e[0]), info
}

// errorOf is the standard's error of a condition.
func errorOf(cond, why string, info mapping) any {
	if cond == "" {
		return nil
	}
	e := list{symbol(cond), why}
	if info != nil {
		e = append(e, info)
	}
	return described{uint64(codeError), e}
}

// frame is one frame. A frame without a body only shows that the peer lives.
type frame struct {
	channel uint16
	empty   bool
	perf
	payload []byte
}

// parseFrame reads a frame's inside, from the data offset on.
func parseFrame(b []byte) (frame, error) {
	var f frame
	doff := int(b[0]) * 4
	if doff < headSize || doff-4 > len(b) {
		return f, fault{condFraming, "the data offset is out of range"}
	}
	f.channel = binary.BigEndian.Uint16(b[2:])
	if b = b[doff-4:]; len(b) == 0 {
		f.empty = true
		return f, nil
	}
	d := decoder{rest: b}
	v, err := d.value()
	if err != nil {
		return f, fault{condDecode, err.Error()}
	}
	is, ok := v.(described)
	if ok {
		f.code, ok = whole(is.descriptor)
		ok = ok && f.code != 0 // which would pass for a frame without a body
	}
	if ok {
		f.fields, ok = is.value.(list)
	}
	if !ok {
		return f, fault{condDecode, "the frame holds no performative"}
	}
	f.payload = d.rest
	return f, nil
}

// appendFrame appends a whole frame.
func appendFrame(b []byte, kind byte, channel uint16, p perf, payload []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 2, kind, byte(channel>>8), byte(channel))
	if p.code != 0 {
		b = encode(b, described{p.code, p.fields})
	}
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

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
	return &conn{socket: c, r: bufio.NewReaderSize(c, 4<<10), mu: make(turn, 1), most: leastMost}
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
func (c *conn) read(kind byte, wait time.Duration) (frame, error) {
	c.within(wait)
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < headSize || size > ourMost {
		return frame{}, fault{condFraming, fmt.Sprintf("a frame of %d bytes is out of range", size)}
	}
	b := make([]byte, size-4)
	if _, err := io.ReadFull(c.r, b); err != nil {
		return frame{}, err
	}
	if b[1] != kind {
		return frame{}, fault{condFraming, fmt.Sprintf("a frame of type %d has no place here", b[1])}
	}
	return parseFrame(b)
}

var (
	errQuit = errors.New("the connection is closing")
	errMoot = errors.New("it is not to be sent any more")
)

// write sends a frame in one piece; nothing goes out after a close.
func (c *conn) write(channel uint16, p perf, payload []byte) error {
	return c.send(channel, p, payload, nil)
}

// send is write for a session that others go on beside: nothing of it may go out after its end. shut is whether that has;
// it is guarded by the connection's lock. nil: the session's end is none of the connection's business.
func (c *conn) send(channel uint16, p perf, payload []byte, shut *bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quit || shut != nil && *shut {
		return errQuit
	}
	if shut != nil {
		*shut = p.code == codeEnd
	}
	c.quit = p.code == codeClose
	c.buf = c.buf[:0]
	c.buf = appendFrame(c.buf, frameAMQP, channel, p, payload)
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
func (c *conn) room(p perf) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most - len(appendFrame(nil, frameAMQP, 0, p, nil))
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
func (c *conn) sasl(p perf) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = appendFrame(c.buf[:0], frameSASL, 0, p, nil)
	return c.flush()
}

// opened takes what the peer's open says of itself.
func (c *conn) opened(p perf) (idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = int(min(ourMost, max(leastMost, p.number(2, 1<<32-1))))
	return time.Duration(p.number(4, 0)) * time.Millisecond
}

// open is the relay's own open.
func open(name string) perf {
	return perf{codeOpen, list{name, nil, uint32(ourMost), uint16(channelMost), uint32(idleTold.Milliseconds())}}
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
			if quiet && c.write(0, perf{}, nil) != nil {
				return
			}
		}
	}
}
