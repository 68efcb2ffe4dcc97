// Package amqp speaks AMQP 1.0 with clients and application servers. A client's
// link is one transaction; the frames of one that is up pass both ways.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// The types of AMQP that Go has no name for. The rest are bool, the sized
// integers and floats, string, []byte for binary, and nil for null.
type (
	Symbol    string
	Timestamp int64
	Char      uint32
	UUID      [16]byte
	Decimal   struct { // passed on, never looked at
		constructor byte
		raw         string
	}
	List  []any
	Array []any // elements of one type
	// Map holds keys and values in turn, in the order in which they came.
	Map       []any
	Described struct{ Descriptor, Value any }
)

const (
	maxNesting       = 32   // of values within values
	maxEmptyElements = 4096 // elements of an array that take no room themselves
)

var ErrDecode = errors.New("the bytes are no value of AMQP")

// Get returns the value of a key; keys are symbols or strings.
func (m Map) Get(key string) any {
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) == key {
			return m[i+1]
		}
	}
	return nil
}

// With returns a copy in which a key has a value.
func (m Map) With(key string, value any) Map {
	out := make(Map, 0, len(m)+2)
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) != key {
			out = append(out, m[i], m[i+1])
		}
	}
	return append(out, Symbol(key), value)
}

// AsString returns what a symbol or a string says.
func AsString(v any) string {
	switch v := v.(type) {
	case Symbol:
		return string(v)
	case string:
		return v
	}
	return ""
}

// AsUint64 returns an integer of any width that is not negative.
func AsUint64(v any) (uint64, bool) {
	switch v := v.(type) {
	case uint8:
		return uint64(v), true
	case uint16:
		return uint64(v), true
	case uint32:
		return uint64(v), true
	case uint64:
		return v, true
	case int8:
		return uint64(v), v >= 0
	case int16:
		return uint64(v), v >= 0
	case int32:
		return uint64(v), v >= 0
	case int64:
		return uint64(v), v >= 0
	}
	return 0, false
}

// Decode reads one value off the front of data and returns what follows it. Its errors wrap ErrDecode. Values of
// variable width are copied: the result keeps no reference to data.
func Decode(data []byte) (value any, rest []byte, err error) {
	d := decoder{rest: data}
	value, err = d.decodeValue()
	return value, d.rest, err
}

// decoder takes values off the front of some bytes.
type decoder struct {
	rest  []byte
	depth int
}

func (d *decoder) take(n uint64) ([]byte, error) {
	if n > uint64(len(d.rest)) {
		return nil, ErrDecode
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b, nil
}

// uint reads an unsigned integer of so many bytes.
func (d *decoder) uint(width uint64) (uint64, error) {
	b, err := d.take(width)
	if err != nil {
		return 0, err
	}
	var n uint64
	for _, x := range b {
		n = n<<8 | uint64(x)
	}
	return n, nil
}

func (d *decoder) decodeValue() (any, error) {
	if d.depth++; d.depth > maxNesting {
		return nil, ErrDecode
	}
	defer func() { d.depth-- }()
	code, err := d.uint(1)
	if err != nil {
		return nil, err
	}
	if code == 0 {
		return d.decodeDescribed()
	}
	return d.decodePrimitive(byte(code))
}

func (d *decoder) decodeDescribed() (any, error) {
	descriptor, err := d.decodeValue()
	if err != nil {
		return nil, err
	}
	v, err := d.decodeValue()
	return Described{descriptor, v}, err
}

// decodePrimitive reads what follows a constructor.
func (d *decoder) decodePrimitive(code byte) (any, error) {
	switch code {
	case 0x40:
		return nil, nil
	case 0x41:
		return true, nil
	case 0x42:
		return false, nil
	case 0x43:
		return uint32(0), nil
	case 0x44:
		return uint64(0), nil
	case 0x45:
		return List{}, nil
	}
	// The upper half of a code tells how wide what follows is.
	switch code >> 4 {
	case 0x5, 0x6, 0x7, 0x8:
		n, err := d.uint(1 << (code>>4 - 5))
		if err != nil {
			return nil, err
		}
		return decodeFixedWidth(code, n)
	case 0x9:
		b, err := d.take(16)
		if err != nil {
			return nil, err
		}
		if code == 0x98 {
			return UUID(b), nil
		}
		if code == 0x94 {
			return Decimal{code, string(b)}, nil
		}
	case 0xa, 0xb:
		n, err := d.uint(1 + 3*uint64(code>>4&1))
		if err != nil {
			return nil, err
		}
		b, err := d.take(n)
		if err != nil {
			return nil, err
		}
		switch code & 0xf {
		case 0x0:
			return append([]byte{}, b...), nil
		case 0x1:
			return string(b), nil
		case 0x3:
			return Symbol(b), nil
		}
	case 0xc, 0xd:
		return d.decodeCompound(code, 1+3*uint64(code>>4&1))
	case 0xe, 0xf:
		return d.decodeArray(code, 1+3*uint64(code>>4&1))
	}
	return nil, fmt.Errorf("%w: constructor %#x", ErrDecode, code)
}

// decodeFixedWidth gives the bits of a value of fixed width their type.
func decodeFixedWidth(code byte, n uint64) (any, error) {
	switch code {
	case 0x50:
		return uint8(n), nil
	case 0x51:
		return int8(n), nil
	case 0x52, 0x70:
		return uint32(n), nil
	case 0x53, 0x80:
		return n, nil
	case 0x54:
		return int32(int8(n)), nil
	case 0x55:
		return int64(int8(n)), nil
	case 0x56:
		return n == 1, nil
	case 0x60:
		return uint16(n), nil
	case 0x61:
		return int16(n), nil
	case 0x71:
		return int32(n), nil
	case 0x72:
		return math.Float32frombits(uint32(n)), nil
	case 0x73:
		return Char(n), nil
	case 0x74:
		return Decimal{code, string(binary.BigEndian.AppendUint32(nil, uint32(n)))}, nil
	case 0x81:
		return int64(n), nil
	case 0x82:
		return math.Float64frombits(n), nil
	case 0x83:
		return Timestamp(n), nil
	case 0x84:
		return Decimal{code, string(binary.BigEndian.AppendUint64(nil, n))}, nil
	}
	return nil, fmt.Errorf("%w: constructor %#x", ErrDecode, code)
}

// openCompound reads the size and the count that open a compound value or an array, and
// returns a decoder of its inside.
func (d *decoder) openCompound(width uint64) (*decoder, uint64, error) {
	size, err := d.uint(width)
	if err != nil {
		return nil, 0, err
	}
	b, err := d.take(size)
	if err != nil {
		return nil, 0, err
	}
	in := &decoder{rest: b, depth: d.depth}
	count, err := in.uint(width)
	return in, count, err
}

func (d *decoder) decodeCompound(code byte, width uint64) (any, error) {
	in, count, err := d.openCompound(width)
	if err != nil || count > uint64(len(in.rest)) { // every element takes a byte at least
		return nil, ErrDecode
	}
	vs := make([]any, count)
	for i := range vs {
		if vs[i], err = in.decodeValue(); err != nil {
			return nil, err
		}
	}
	switch {
	case len(in.rest) > 0:
	case code&0xf == 0x0:
		return List(vs), nil
	case code&0xf == 0x1 && count%2 == 0:
		return Map(vs), nil
	}
	return nil, ErrDecode
}

func (d *decoder) decodeArray(code byte, width uint64) (any, error) {
	in, count, err := d.openCompound(width)
	if err != nil || code&0xf != 0 || count > uint64(len(in.rest))+maxEmptyElements {
		return nil, ErrDecode
	}
	if len(in.rest) == 0 && count == 0 {
		return Array{}, nil
	}
	constructor, err := in.uint(1)
	if err != nil {
		return nil, err
	}
	var descriptor any
	if constructor == 0 {
		if descriptor, err = in.decodeValue(); err != nil {
			return nil, err
		}
		if constructor, err = in.uint(1); err != nil || constructor == 0 {
			return nil, ErrDecode
		}
	}
	vs := make(Array, 0, min(count, 64))
	for range count {
		v, err := in.decodePrimitive(byte(constructor))
		if err != nil {
			return nil, err
		}
		if descriptor != nil {
			v = Described{descriptor, v}
		}
		vs = append(vs, v)
	}
	if len(in.rest) > 0 {
		return nil, ErrDecode
	}
	return vs, nil
}

// Append appends a value.
func Append(b []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(b, 0x40)
	case bool:
		if v {
			return append(b, 0x41)
		}
		return append(b, 0x42)
	case List:
		if len(v) == 0 {
			return append(b, 0x45)
		}
		return appendCompound(b, 0xd0, v)
	case Map:
		return appendCompound(b, 0xd1, v)
	case Array:
		return appendArray(b, v)
	case Described:
		return Append(Append(append(b, 0), v.Descriptor), v.Value)
	}
	if short, ok := appendCompact(b, v); ok {
		return short
	}
	return appendBody(append(b, constructorOf(v)), v)
}

// appendCompact appends a value in its short form, where it has one: some peers read
// the codes of performatives in no other.
func appendCompact(b []byte, v any) ([]byte, bool) {
	sized := func(code byte, s string) ([]byte, bool) {
		if len(s) > 255 {
			return b, false
		}
		return append(append(b, code, byte(len(s))), s...), true
	}
	switch v := v.(type) {
	case uint32:
		return append(b, 0x52, byte(v)), v < 256
	case uint64:
		return append(b, 0x53, byte(v)), v < 256
	case []byte:
		return sized(0xa0, string(v))
	case string:
		return sized(0xa1, v)
	case Symbol:
		return sized(0xa3, string(v))
	}
	return b, false
}

// constructorOf returns the constructor of the widest form of a value.
func constructorOf(v any) byte {
	switch v := v.(type) {
	case nil:
		return 0x40
	case bool:
		return 0x56
	case uint8:
		return 0x50
	case int8:
		return 0x51
	case uint16:
		return 0x60
	case int16:
		return 0x61
	case uint32:
		return 0x70
	case int32:
		return 0x71
	case float32:
		return 0x72
	case Char:
		return 0x73
	case uint64:
		return 0x80
	case int64:
		return 0x81
	case float64:
		return 0x82
	case Timestamp:
		return 0x83
	case Decimal:
		return v.constructor
	case UUID:
		return 0x98
	case []byte:
		return 0xb0
	case string:
		return 0xb1
	case Symbol:
		return 0xb3
	case List:
		return 0xd0
	case Map:
		return 0xd1
	case Array:
		return 0xf0
	}
	panic(fmt.Sprintf("amqp: no form for a %T", v)) // values come from decode or from this package
}

// appendBody appends a value without its constructor, in its widest form.
func appendBody(b []byte, v any) []byte {
	be := binary.BigEndian
	sized := func(s string) []byte { return append(be.AppendUint32(b, uint32(len(s))), s...) }
	switch v := v.(type) {
	case bool:
		if v {
			return append(b, 1)
		}
		return append(b, 0)
	case uint8:
		return append(b, v)
	case int8:
		return append(b, byte(v))
	case uint16:
		return be.AppendUint16(b, v)
	case int16:
		return be.AppendUint16(b, uint16(v))
	case uint32:
		return be.AppendUint32(b, v)
	case int32:
		return be.AppendUint32(b, uint32(v))
	case float32:
		return be.AppendUint32(b, math.Float32bits(v))
	case Char:
		return be.AppendUint32(b, uint32(v))
	case uint64:
		return be.AppendUint64(b, v)
	case int64:
		return be.AppendUint64(b, uint64(v))
	case float64:
		return be.AppendUint64(b, math.Float64bits(v))
	case Timestamp:
		return be.AppendUint64(b, uint64(v))
	case Decimal:
		return append(b, v.raw...)
	case UUID:
		return append(b, v[:]...)
	case []byte:
		return sized(string(v))
	case string:
		return sized(v)
	case Symbol:
		return sized(string(v))
	}
	return b
}

// appendCompound appends a list or a map.
func appendCompound(b []byte, code byte, vs []any) []byte {
	b = append(b, code)
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), uint32(len(vs)))
	for _, v := range vs {
		b = Append(b, v)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

func appendArray(b []byte, vs Array) []byte {
	b = append(b, 0xf0)
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), uint32(len(vs)))
	if len(vs) == 0 {
		b = append(b, 0x40)
	}
	for i, v := range vs {
		d, is := v.(Described)
		if is {
			v = d.Value
		}
		if i == 0 {
			if is {
				b = Append(append(b, 0), d.Descriptor)
			}
			b = append(b, constructorOf(v))
		}
		b = appendElement(b, v)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// appendElement appends an element of an array.
func appendElement(b []byte, v any) []byte {
	switch v := v.(type) {
	case List:
		return append(b, appendCompound(nil, 0xd0, v)[1:]...)
	case Map:
		return append(b, appendCompound(nil, 0xd1, v)[1:]...)
	case Array:
		return append(b, appendArray(nil, v)[1:]...)
	}
	return appendBody(b, v)
}
