package framing

import (
	"encoding/binary"

	"lockroad/internal/frontend/amqp/codec"
)

// Frame types (sections 2.3.1 and 5.3.1).
const (
	TypeAMQP = 0
	TypeSASL = 1
)

// minDataOffset is the data offset of a frame without an extended header, in 4-byte words.
const minDataOffset = 2

// Sizes of frames, in bytes.
const (
	HeaderSize      = 8       // fixed part of the frame header
	MinMaxFrameSize = 512     // every peer must accept frames of this size (section 2.4.1)
	MaxFrameSize    = 8 << 10 // the largest frame that the relay accepts, and the largest transfer that it sends
)

// Protocol headers, which begin the AMQP and the SASL exchange (sections 2.2 and 5.3.1).
var (
	ProtocolHeaderAMQP = [8]byte{'A', 'M', 'Q', 'P', 0, 1, 0, 0}
	ProtocolHeaderSASL = [8]byte{'A', 'M', 'Q', 'P', 3, 1, 0, 0}
)

// Frame is a decoded frame. Empty marks a frame without a body, which is a heartbeat (section 2.4.5).
type Frame struct {
	Channel uint16
	Empty   bool
	Performative
	Payload []byte
}

// ParseFrame decodes a frame without its size field: data begins with the data offset and has at least
// HeaderSize-4 bytes. The payload and the fields of the result refer to data. An error is a ConditionError.
func ParseFrame(data []byte) (Frame, error) {
	var frame Frame
	dataOffset := int(data[0]) * 4
	if dataOffset < HeaderSize || dataOffset-4 > len(data) {
		return frame, Errorf(CondFramingError, "the data offset is out of range")
	}
	frame.Channel = binary.BigEndian.Uint16(data[2:])
	if data = data[dataOffset-4:]; len(data) == 0 {
		frame.Empty = true
		return frame, nil
	}
	descriptor, fields, rest, err := codec.DecodeFields(data)
	if err != nil {
		return frame, ConditionError{Condition: CondDecodeError, Description: err.Error()}
	}
	code, ok := codec.AsUint64(descriptor)
	if !ok || code == 0 { // AppendFrame would encode code 0 as a frame without a body
		return frame, Errorf(CondDecodeError, "the frame holds no performative")
	}
	frame.Code, frame.Fields, frame.Payload = code, fields, rest
	return frame, nil
}

// AppendFrame appends a frame of type TypeAMQP or TypeSASL to b, and returns the extended slice. A performative with
// code 0 is omitted, which encodes a heartbeat if there is no payload either.
func AppendFrame(b []byte, frameType byte, channel uint16, performative Performative, payload []byte) []byte {
	sizeOffset := len(b)
	b = append(b, 0, 0, 0, 0, minDataOffset, frameType, byte(channel>>8), byte(channel))
	if performative.Code != 0 {
		b = codec.Append(b, codec.Described{Descriptor: performative.Code, Value: performative.Fields})
	}
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[sizeOffset:], uint32(len(b)-sizeOffset))
	return b
}
