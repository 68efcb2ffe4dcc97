package amqp

import (
	"bytes"
	"reflect"
	"testing"
)

// Encodings of the standard's tables, by what they stand for.
var encodings = map[string]any{
	"\x40":                                 nil,
	"\x41":                                 true,
	"\x56\x00":                             false,
	"\x50\x07":                             uint8(7),
	"\x60\x01\x02":                         uint16(0x102),
	"\x43":                                 uint32(0),
	"\x52\x09":                             uint32(9),
	"\x70\x00\x01\x00\x00":                 uint32(0x10000),
	"\x44":                                 uint64(0),
	"\x53\x10":                             uint64(16),
	"\x80\x00\x00\x00\x01\x00\x00\x00\x00": uint64(1 << 32),
	"\x51\xff":                             int8(-1),
	"\x54\xfe":                             int32(-2),
	"\x55\xfd":                             int64(-3),
	"\x72\x3f\x80\x00\x00":                 float32(1),
	"\x82\x3f\xf0\x00\x00\x00\x00\x00\x00": float64(1),
	"\x83\x00\x00\x00\x00\x00\x00\x00\x05": timestamp(5),
	"\xa0\x02ab":                           []byte("ab"),
	"\xa1\x02ab":                           "ab",
	"\xb3\x00\x00\x00\x02ab":               symbol("ab"),
	"\x45":                                 list{},
	"\xc0\x03\x02\x41\x40":                 list{true, nil},
	"\xc1\x05\x02\xa3\x01a\x42":            mapping{symbol("a"), false},
	"\xe0\x06\x02\xa3\x01a\x01b":           array{symbol("a"), symbol("b")},
	"\x00\x53\x24\x45":                     described{uint64(0x24), list{}},
}

func TestValuesAreReadAndWritten(t *testing.T) {
	for text, want := range encodings {
		d := decoder{rest: []byte(text)}
		got, err := d.value()
		if err != nil || len(d.rest) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %#v, %v, want %#v", text, got, err, want)
		}
		d = decoder{rest: encode(nil, want)}
		if again, err := d.value(); err != nil || !reflect.DeepEqual(again, want) {
			t.Errorf("%#v comes back as %#v, %v", want, again, err)
		}
	}
}

func TestMalformedValuesAreRefused(t *testing.T) {
	for _, text := range []string{
		"", "\x01", "\x70\x00", "\xa1\x05ab", "\xc0\x02\x05\x41", "\xc1\x03\x01\x41",
		"\xd0\xff\xff\xff\xff\xff\xff\xff\xff", "\xf0\x00\x00\x00\x05\xff\xff\xff\xff\x40",
		"\x00", "\x00\x53\x10", "\xe0\x03\x02\x70\x00", string(bytes.Repeat([]byte{0, 0x40}, 40)),
	} {
		d := decoder{rest: []byte(text)}
		if v, err := d.value(); err == nil {
			t.Errorf("%q was read as %#v", text, v)
		}
	}
}

// Whatever comes in, reading it doesn't panic, and what was read once is read
// again the same after it was written.
func FuzzFrame(f *testing.F) {
	for text := range encodings {
		f.Add([]byte("\x02\x00\x00\x00" + text))
	}
	f.Add(appendFrame(nil, frameAMQP, 1, open("x"), []byte("payload"))[4:])
	f.Add(appendFrame(nil, frameAMQP, 1, perf{codeClose, list{errorOf(condLimit, "why", mapping{symbol("a"), uint32(1)})}}, nil)[4:])
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < 4 || len(b) > ourMost {
			return
		}
		first, err := parseFrame(b)
		if err != nil || first.empty {
			return
		}
		again, err := parseFrame(appendFrame(nil, frameAMQP, first.channel, first.perf, first.payload)[4:])
		if err != nil {
			t.Fatalf("what was read can't be read again: %v", err)
		}
		one, two := encode(nil, first.fields), encode(nil, again.fields)
		if first.code != again.code || !bytes.Equal(one, two) || !bytes.Equal(first.payload, again.payload) {
			t.Errorf("%#v came back as %#v", first, again)
		}
	})
}
