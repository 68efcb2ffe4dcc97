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
	CodeOpen           = 0x10
	CodeBegin          = 0x11
	CodeAttach         = 0x12
	CodeFlow           = 0x13
	CodeTransfer       = 0x14
	CodeDisposition    = 0x15
	CodeDetach         = 0x16
	CodeEnd            = 0x17
	CodeClose          = 0x18
	CodeError          = 0x1d
	CodeSASLMechanisms = 0x40
	CodeSASLInit       = 0x41
	CodeSASLOutcome    = 0x44
)

// Conditions of the standard.
const (
	CondInternalError         = "amqp:internal-error"
	CondDecodeError           = "amqp:decode-error"
	CondResourceLimitExceeded = "amqp:resource-limit-exceeded"
	CondNotAllowed            = "amqp:not-allowed"
	CondInvalidField          = "amqp:invalid-field"
	CondConnectionForced      = "amqp:connection:forced"
	CondFramingError          = "amqp:connection:framing-error"
	CondWindowViolation       = "amqp:session:window-violation"
	CondHandleInUse           = "amqp:session:handle-in-use"
	CondUnattachedHandle      = "amqp:session:unattached-handle"
	CondDetachForced          = "amqp:link:detach-forced"
	CondTransferLimitExceeded = "amqp:link:transfer-limit-exceeded"
	CondUnauthorizedAccess    = "amqp:unauthorized-access"
)

const (
	TypeAMQP = 0
	TypeSASL = 1

	HeaderSize      = 8
	MinMaxFrameSize = 512     // a peer takes frames of this size at the least
	MaxFrameSize    = 8 << 10 // frames larger than this are refused

	idleTold  = 15 * time.Second // the peer is told this much
	idleMost  = 30 * time.Second // and given this much
	writeMost = 5 * time.Second  // a peer that takes nothing for this long is gone
)

var (
	ProtocolHeaderAMQP = [8]byte{'A', 'M', 'Q', 'P', 0, 1, 0, 0}
	ProtocolHeaderSASL = [8]byte{'A', 'M', 'Q', 'P', 3, 1, 0, 0}
)

// ConditionError is an error with the standard's condition for it.
type ConditionError struct{ Condition, Description string }

func (f ConditionError) Error() string { return f.Condition + ": " + f.Description }

// Performative is a performative: its code and its fields, in order. Fields that the
// relay doesn't look at pass as they came.
type Performative struct {
	Code   uint64
	Fields List
}

func (p Performative) Field(i int) any {
	if i < len(p.Fields) {
		return p.Fields[i]
	}
	return nil
}

// Uint32 returns an integer field, or what stands for it if it is absent.
func (p Performative) Uint32(i int, absent uint32) uint32 {
	if n, ok := AsUint64(p.Field(i)); ok && n <= 1<<32-1 {
		return uint32(n)
	}
	return absent
}

func (p Performative) Bool(i int) bool { is, _ := p.Field(i).(bool); return is }

// With returns a copy with a field set.
func (p Performative) With(i int, v any) Performative {
	fields := make(List, max(len(p.Fields), i+1))
	copy(fields, p.Fields)
	fields[i] = v
	return Performative{p.Code, fields}
}

// RequireUint32 checks that fields hold integers where something is needed of them.
func (p Performative) RequireUint32(fields ...int) error {
	for _, i := range fields {
		if n, ok := AsUint64(p.Field(i)); !ok || n > 1<<32-1 {
			return ConditionError{CondInvalidField, fmt.Sprintf("field %d of performative %#x has to be a number", i, p.Code)}
		}
	}
	return nil
}

// Condition returns the error that a detach, end or close carries at a field.
func (p Performative) Condition(i int) (cond string, info Map) {
	d, ok := p.Field(i).(Described)
	if !ok {
		return "", nil
	}
	e, _ := d.Value.(List)
	if len(e) == 0 {
		return "", nil
	}
	if len(e) > 2 {
		info, _ = e[2].(Map)
	}
	return AsString(e[0]), info
}

// NewErrorValue is the standard's error of a condition.
func NewErrorValue(cond, why string, info Map) any {
	if cond == "" {
		return nil
	}
	e := List{Symbol(cond), why}
	if info != nil {
		e = append(e, info)
	}
	return Described{uint64(CodeError), e}
}

// Frame is one frame. A frame without a body only shows that the peer lives.
type Frame struct {
	Channel uint16
	Empty   bool
	Performative
	Payload []byte
}

// ParseFrame reads a frame's inside, from the data offset on.
func ParseFrame(b []byte) (Frame, error) {
	var f Frame
	doff := int(b[0]) * 4
	if doff < HeaderSize || doff-4 > len(b) {
		return f, ConditionError{CondFramingError, "the data offset is out of range"}
	}
	f.Channel = binary.BigEndian.Uint16(b[2:])
	if b = b[doff-4:]; len(b) == 0 {
		f.Empty = true
		return f, nil
	}
	d := decoder{rest: b}
	v, err := d.decodeValue()
	if err != nil {
		return f, ConditionError{CondDecodeError, err.Error()}
	}
	is, ok := v.(Described)
	if ok {
		f.Code, ok = AsUint64(is.Descriptor)
		ok = ok && f.Code != 0 // which would pass for a frame without a body
	}
	if ok {
		f.Fields, ok = is.Value.(List)
	}
	if !ok {
		return f, ConditionError{CondDecodeError, "the frame holds no performative"}
	}
	f.Payload = d.rest
	return f, nil
}

// AppendFrame appends a whole frame.
func AppendFrame(b []byte, kind byte, channel uint16, p Performative, payload []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 2, kind, byte(channel>>8), byte(channel))
	if p.Code != 0 {
		b = Append(b, Described{p.Code, p.Fields})
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
	return &conn{socket: c, r: bufio.NewReaderSize(c, 4<<10), mu: make(turn, 1), most: MinMaxFrameSize}
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
func (c *conn) read(kind byte, wait time.Duration) (Frame, error) {
	c.within(wait)
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < HeaderSize || size > MaxFrameSize {
		return Frame{}, ConditionError{CondFramingError, fmt.Sprintf("a frame of %d bytes is out of range", size)}
	}
	b := make([]byte, size-4)
	if _, err := io.ReadFull(c.r, b); err != nil {
		return Frame{}, err
	}
	if b[1] != kind {
		return Frame{}, ConditionError{CondFramingError, fmt.Sprintf("a frame of type %d has no place here", b[1])}
	}
	return ParseFrame(b)
}

var (
	errQuit = errors.New("the connection is closing")
	errMoot = errors.New("it is not to be sent any more")
)

// write sends a frame in one piece; nothing goes out after a close.
func (c *conn) write(channel uint16, p Performative, payload []byte) error {
	return c.send(channel, p, payload, nil)
}

// send is write for a session that others go on beside: nothing of it may go out after its end. shut is whether that has;
// it is guarded by the connection's lock. nil: the session's end is none of the connection's business.
func (c *conn) send(channel uint16, p Performative, payload []byte, shut *bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quit || shut != nil && *shut {
		return errQuit
	}
	if shut != nil {
		*shut = p.Code == CodeEnd
	}
	c.quit = p.Code == CodeClose
	c.buf = c.buf[:0]
	c.buf = AppendFrame(c.buf, TypeAMQP, channel, p, payload)
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
func (c *conn) room(p Performative) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most - len(AppendFrame(nil, TypeAMQP, 0, p, nil))
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
func (c *conn) sasl(p Performative) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = AppendFrame(c.buf[:0], TypeSASL, 0, p, nil)
	return c.flush()
}

// opened takes what the peer's open says of itself.
func (c *conn) opened(p Performative) (idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = int(min(MaxFrameSize, max(MinMaxFrameSize, p.Uint32(2, 1<<32-1))))
	return time.Duration(p.Uint32(4, 0)) * time.Millisecond
}

// open is the relay's own open.
func open(name string) Performative {
	return Performative{CodeOpen, List{name, nil, uint32(MaxFrameSize), uint16(channelMost), uint32(idleTold.Milliseconds())}}
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
			if quiet && c.write(0, Performative{}, nil) != nil {
				return
			}
		}
	}
}
