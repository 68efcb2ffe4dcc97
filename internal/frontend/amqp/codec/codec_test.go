package codec

import (
	"bytes"
	"reflect"
	"testing"
)

// encodings maps encodings of all kinds to their values.
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
	"\x83\x00\x00\x00\x00\x00\x00\x00\x05": Timestamp(5),
	"\xa0\x02ab":                           []byte("ab"),
	"\xa1\x02ab":                           "ab",
	"\xb3\x00\x00\x00\x02ab":               Symbol("ab"),
	"\x45":                                 List{},
	"\xc0\x03\x02\x41\x40":                 List{true, nil},
	"\xc1\x05\x02\xa3\x01a\x42":            Map{Symbol("a"), false},
	"\xe0\x06\x02\xa3\x01a\x01b":           Array{Symbol("a"), Symbol("b")},
	"\x00\x53\x24\x45":                     Described{uint64(0x24), List{}},
}

func TestValuesRoundTrip(t *testing.T) {
	for encoding, want := range encodings {
		d := decoder{rest: []byte(encoding)}
		got, err := d.decodeValue()
		if err != nil || len(d.rest) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %#v, %v, want %#v", encoding, got, err, want)
		}
		d = decoder{rest: Append(nil, want)}
		if again, err := d.decodeValue(); err != nil || !reflect.DeepEqual(again, want) {
			t.Errorf("%#v decodes as %#v after encoding, %v", want, again, err)
		}
	}
}

func TestMalformedValuesAreRejected(t *testing.T) {
	for _, encoding := range []string{
		"", "\x01", "\x70\x00", "\xa1\x05ab", "\xc0\x02\x05\x41", "\xc1\x03\x01\x41",
		"\xd0\xff\xff\xff\xff\xff\xff\xff\xff", "\xf0\x00\x00\x00\x05\xff\xff\xff\xff\x40",
		"\x00", "\x00\x53\x10", "\xe0\x03\x02\x70\x00", string(bytes.Repeat([]byte{0, 0x40}, 40)),
	} {
		d := decoder{rest: []byte(encoding)}
		if value, err := d.decodeValue(); err == nil {
			t.Errorf("malformed encoding %q was decoded as %#v", encoding, value)
		}
	}
}
