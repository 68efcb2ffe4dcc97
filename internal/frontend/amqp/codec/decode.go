package codec

import (
	"encoding/binary"
	"fmt"
	"math"
)

const (
	maxNesting       = 32   // of values within values
	maxEmptyElements = 4096 // elements of an array that take no room themselves
)

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
	for _, octet := range b {
		n = n<<8 | uint64(octet)
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
	inner := &decoder{rest: b, depth: d.depth}
	count, err := inner.uint(width)
	return inner, count, err
}

func (d *decoder) decodeCompound(code byte, width uint64) (any, error) {
	inner, count, err := d.openCompound(width)
	if err != nil || count > uint64(len(inner.rest)) { // every element takes a byte at least
		return nil, ErrDecode
	}
	elements := make([]any, count)
	for i := range elements {
		if elements[i], err = inner.decodeValue(); err != nil {
			return nil, err
		}
	}
	switch {
	case len(inner.rest) > 0:
	case code&0xf == 0x0:
		return List(elements), nil
	case code&0xf == 0x1 && count%2 == 0:
		return Map(elements), nil
	}
	return nil, ErrDecode
}

func (d *decoder) decodeArray(code byte, width uint64) (any, error) {
	inner, count, err := d.openCompound(width)
	if err != nil || code&0xf != 0 || count > uint64(len(inner.rest))+maxEmptyElements {
		return nil, ErrDecode
	}
	if len(inner.rest) == 0 && count == 0 {
		return Array{}, nil
	}
	constructor, err := inner.uint(1)
	if err != nil {
		return nil, err
	}
	var descriptor any
	if constructor == 0 {
		if descriptor, err = inner.decodeValue(); err != nil {
			return nil, err
		}
		if constructor, err = inner.uint(1); err != nil || constructor == 0 {
			return nil, ErrDecode
		}
	}
	elements := make(Array, 0, min(count, 64))
	for range count {
		v, err := inner.decodePrimitive(byte(constructor))
		if err != nil {
			return nil, err
		}
		if descriptor != nil {
			v = Described{descriptor, v}
		}
		elements = append(elements, v)
	}
	if len(inner.rest) > 0 {
		return nil, ErrDecode
	}
	return elements, nil
}
