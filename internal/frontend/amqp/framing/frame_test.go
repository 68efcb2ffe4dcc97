package framing

import (
	"bytes"
	"testing"

	"lockroad/internal/frontend/amqp/codec"
)

// valueSeeds are encodings of the standard's tables: the keys of the codec's test table.
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

// Whatever comes in, reading it doesn't panic, and what was read once is read
// again the same after it was written.
func FuzzFrame(f *testing.F) {
	for _, text := range valueSeeds {
		f.Add([]byte("\x02\x00\x00\x00" + text))
	}
	f.Add(AppendFrame(nil, TypeAMQP, 1, Performative{CodeOpen, codec.List{"x", nil, uint32(MaxFrameSize), uint16(7), uint32(15000)}}, []byte("payload"))[4:])
	f.Add(AppendFrame(nil, TypeAMQP, 1, Performative{CodeClose, codec.List{NewErrorValue(CondResourceLimitExceeded, "why", codec.Map{codec.Symbol("a"), uint32(1)})}}, nil)[4:])
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < 4 || len(b) > MaxFrameSize {
			return
		}
		first, err := ParseFrame(b)
		if err != nil || first.Empty {
			return
		}
		again, err := ParseFrame(AppendFrame(nil, TypeAMQP, first.Channel, first.Performative, first.Payload)[4:])
		if err != nil {
			t.Fatalf("what was read can't be read again: %v", err)
		}
		one, two := codec.Append(nil, first.Fields), codec.Append(nil, again.Fields)
		if first.Code != again.Code || !bytes.Equal(one, two) || !bytes.Equal(first.Payload, again.Payload) {
			t.Errorf("%#v came back as %#v", first, again)
		}
	})
}
