package framing

import (
	"encoding/binary"
	"fmt"
	"lockroad/internal/frontend/amqp/codec"
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
	Fields codec.List
}

func (p Performative) Field(i int) any {
	if i < len(p.Fields) {
		return p.Fields[i]
	}
	return nil
}

// Uint32 returns an integer field, or what stands for it if it is absent.
func (p Performative) Uint32(i int, absent uint32) uint32 {
	if n, ok := codec.AsUint64(p.Field(i)); ok && n <= 1<<32-1 {
		return uint32(n)
	}
	return absent
}

func (p Performative) Bool(i int) bool { is, _ := p.Field(i).(bool); return is }

// With returns a copy with a field set.
func (p Performative) With(i int, v any) Performative {
	fields := make(codec.List, max(len(p.Fields), i+1))
	copy(fields, p.Fields)
	fields[i] = v
	return Performative{p.Code, fields}
}

// RequireUint32 checks that fields hold integers where something is needed of them.
func (p Performative) RequireUint32(fields ...int) error {
	for _, i := range fields {
		if n, ok := codec.AsUint64(p.Field(i)); !ok || n > 1<<32-1 {
			return ConditionError{CondInvalidField, fmt.Sprintf("field %d of performative %#x has to be a number", i, p.Code)}
		}
	}
	return nil
}

// Condition returns the error that a detach, end or close carries at a field.
func (p Performative) Condition(i int) (cond string, info codec.Map) {
	d, ok := p.Field(i).(codec.Described)
	if !ok {
		return "", nil
	}
	e, _ := d.Value.(codec.List)
	if len(e) == 0 {
		return "", nil
	}
	if len(e) > 2 {
		info, _ = e[2].(codec.Map)
	}
	return codec.AsString(e[0]), info
}

// NewErrorValue is the standard's error of a condition.
func NewErrorValue(cond, why string, info codec.Map) any {
	if cond == "" {
		return nil
	}
	e := codec.List{codec.Symbol(cond), why}
	if info != nil {
		e = append(e, info)
	}
	return codec.Described{Descriptor: uint64(CodeError), Value: e}
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
	v, rest, err := codec.Decode(b)
	if err != nil {
		return f, ConditionError{CondDecodeError, err.Error()}
	}
	is, ok := v.(codec.Described)
	if ok {
		f.Code, ok = codec.AsUint64(is.Descriptor)
		ok = ok && f.Code != 0 // which would pass for a frame without a body
	}
	if ok {
		f.Fields, ok = is.Value.(codec.List)
	}
	if !ok {
		return f, ConditionError{CondDecodeError, "the frame holds no performative"}
	}
	f.Payload = rest
	return f, nil
}

// AppendFrame appends a whole frame.
func AppendFrame(b []byte, kind byte, channel uint16, p Performative, payload []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 2, kind, byte(channel>>8), byte(channel))
	if p.Code != 0 {
		b = codec.Append(b, codec.Described{Descriptor: p.Code, Value: p.Fields})
	}
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}
