package framing

import (
	"bytes"
	"testing"

	"lockroad/internal/frontend/amqp/codec"
)

// valueSeeds are encoded values; the test of package codec has the same encodings.
var valueSeeds = []string{
	"\x40",
	"\x41",
	"\x56\x00",
	"\x50\x07",
	"\x60\x01\x02",
	"\x43",
	"\x52\x09",
	"\x70\x00\x01\x00\x00",
	"\x44",
	"\x53\x10",
	"\x80\x00\x00\x00\x01\x00\x00\x00\x00",
	"\x51\xff",
	"\x54\xfe",
	"\x55\xfd",
	"\x72\x3f\x80\x00\x00",
	"\x82\x3f\xf0\x00\x00\x00\x00\x00\x00",
	"\x83\x00\x00\x00\x00\x00\x00\x00\x05",
	"\xa0\x02ab",
	"\xa1\x02ab",
	"\xb3\x00\x00\x00\x02ab",
	"\x45",
	"\xc0\x03\x02\x41\x40",
	"\xc1\x05\x02\xa3\x01a\x42",
	"\xe0\x06\x02\xa3\x01a\x01b",
	"\x00\x53\x24\x45",
}

// ParseFrame must not panic on any input, and encoding a parsed frame must result in an equal frame.
func FuzzFrame(f *testing.F) {
	for _, encoding := range valueSeeds {
		f.Add([]byte("\x02\x00\x00\x00" + encoding))
	}
	f.Add(AppendFrame(nil, TypeAMQP, 1, Performative{CodeOpen, codec.List{"x", nil, uint32(MaxFrameSize), uint16(7), uint32(15000)}}, []byte("payload"))[4:])
	f.Add(AppendFrame(nil, TypeAMQP, 1, Performative{CodeClose, codec.List{NewErrorValue(CondResourceLimitExceeded, "why", codec.Map{codec.Symbol("a"), uint32(1)})}}, nil)[4:])
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < 4 || len(b) > MaxFrameSize {
			return
		}
		parsed, err := ParseFrame(b)
		if err != nil || parsed.Empty {
			return
		}
		again, err := ParseFrame(AppendFrame(nil, TypeAMQP, parsed.Channel, parsed.Performative, parsed.Payload)[4:])
		if err != nil {
			t.Fatalf("parsing the encoding of a parsed frame: %v", err)
		}
		fields, fieldsAgain := codec.Append(nil, parsed.Fields), codec.Append(nil, again.Fields)
		if parsed.Code != again.Code || !bytes.Equal(fields, fieldsAgain) || !bytes.Equal(parsed.Payload, again.Payload) {
			t.Errorf("encoding and parsing %#v results in %#v", parsed, again)
		}
	})
}
