package framing

import (
	"encoding/binary"

	"lockroad/internal/frontend/amqp/codec"
)

// Frame types.
const (
	TypeAMQP = 0
	TypeSASL = 1
)

// minDataOffset is the data offset of a frame without an extended header, in words of four bytes.
const minDataOffset = 2

// Sizes of frames, in bytes.
const (
	HeaderSize      = 8       // of a frame's fixed header
	MinMaxFrameSize = 512     // every peer accepts frames of this size (section 2.4.1)
	MaxFrameSize    = 8 << 10 // the largest frame that the relay accepts or sends
)

// Protocol headers, which open a connection and its security layer (section 2.2, part 5 section 5.3.1).
var (
	ProtocolHeaderAMQP = [8]byte{'A', 'M', 'Q', 'P', 0, 1, 0, 0}
	ProtocolHeaderSASL = [8]byte{'A', 'M', 'Q', 'P', 3, 1, 0, 0}
)

// Frame is one frame. A frame without a body is Empty: it is a heartbeat (section 2.4.5).
type Frame struct {
	Channel uint16
	Empty   bool
	Performative
	Payload []byte
}

// ParseFrame reads a frame without its size field, from the data offset on: at least HeaderSize-4 bytes. The payload of
// the result refers to b. Its errors are ConditionErrors.
func ParseFrame(b []byte) (Frame, error) {
	var f Frame
	dataOffset := int(b[0]) * 4
	if dataOffset < HeaderSize || dataOffset-4 > len(b) {
		return f, Errorf(CondFramingError, "the data offset is out of range")
	}
	f.Channel = binary.BigEndian.Uint16(b[2:])
	if b = b[dataOffset-4:]; len(b) == 0 {
		f.Empty = true
		return f, nil
	}
	value, rest, err := codec.Decode(b)
	if err != nil {
		return f, ConditionError{Condition: CondDecodeError, Description: err.Error()}
	}
	described, ok := value.(codec.Described)
	if ok {
		f.Code, ok = codec.AsUint64(described.Descriptor)
		ok = ok && f.Code != 0 // which would pass for a frame without a body
	}
	if ok {
		f.Fields, ok = described.Value.(codec.List)
	}
	if !ok {
		return f, Errorf(CondDecodeError, "the frame holds no performative")
	}
	f.Payload = rest
	return f, nil
}

// AppendFrame appends a frame of a type (TypeAMQP or TypeSASL) to b, and returns the extended slice. A performative
// with code 0 is left out, which makes a frame without a body.
func AppendFrame(b []byte, frameType byte, channel uint16, p Performative, payload []byte) []byte {
	sizeOffset := len(b)
	b = append(b, 0, 0, 0, 0, minDataOffset, frameType, byte(channel>>8), byte(channel))
	if p.Code != 0 {
		b = codec.Append(b, codec.Described{Descriptor: p.Code, Value: p.Fields})
	}
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[sizeOffset:], uint32(len(b)-sizeOffset))
	return b
}
