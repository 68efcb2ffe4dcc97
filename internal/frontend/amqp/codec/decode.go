package codec

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Limits of one decoding. Elements such as null take no bytes in an array, so that its size does not limit them.
const (
	maxNesting  = 32   // depth of nested values
	maxElements = 4096 // elements of all lists, maps and arrays together
	maxFields   = 64   // fields of a described list in DecodeFields; the standard's types have up to 14
)

// Decode decodes the value at the start of data, and returns it with the remaining bytes. An error is or wraps
// ErrDecode. Values of variable width are copied: the value keeps no reference to data.
func Decode(data []byte) (value any, rest []byte, err error) {
	d := decoder{rest: data}
	value, err = d.decodeValue()
	return value, d.rest, err
}

// DecodeFields decodes the described list at the start of data, and returns its descriptor, its fields and the remaining
// bytes. Fields that are lists, maps, arrays or described values are checked but not decoded: they are of type Raw, refer
// to data, and take no more memory than that. An error is or wraps ErrDecode.
func DecodeFields(data []byte) (descriptor any, fields List, rest []byte, err error) {
	d := decoder{rest: data}
	if code, err := d.uint(1); err != nil || code != constructorDescribed {
		return nil, nil, nil, ErrDecode
	}
	if descriptor, err = d.decodeField(); err != nil {
		return nil, nil, nil, err
	}
	if _, isRaw := descriptor.(Raw); isRaw {
		return nil, nil, nil, ErrDecode
	}
	code, err := d.uint(1)
	if err != nil {
		return nil, nil, nil, err
	}
	switch code {
	case constructorList0:
		return descriptor, List{}, d.rest, nil
	case constructorList8, constructorList32:
		fields, err = d.decodeFieldList(1 + 3*(code>>4&1))
		return descriptor, fields, d.rest, err
	}
	return nil, nil, nil, ErrDecode
}

// decodeFieldList decodes the data of a list, whose size has width bytes, for DecodeFields.
func (d *decoder) decodeFieldList(width uint64) (List, error) {
	inner, count, err := d.openCompound(width)
	if err != nil || count > maxFields || count > uint64(len(inner.rest)) {
		return nil, ErrDecode
	}
	fields := make(List, count)
	for i := range fields {
		if fields[i], err = inner.decodeField(); err != nil {
			return nil, err
		}
	}
	if len(inner.rest) > 0 {
		return nil, ErrDecode
	}
	return fields, nil
}

// decodeField decodes a value, or checks it and returns its encoding as Raw if it holds other values.
func (d *decoder) decodeField() (any, error) {
	if len(d.rest) == 0 {
		return nil, ErrDecode
	}
	if code := d.rest[0]; code != constructorDescribed && code>>4 < 0xc {
		return d.decodeValue()
	}
	encoding := d.rest
	d.discard = true
	_, err := d.decodeValue()
	d.discard = false
	return Raw(encoding[:len(encoding)-len(d.rest)]), err
}

// decoder decodes consecutive values from rest.
type decoder struct {
	rest     []byte
	depth    int  // current nesting
	elements int  // number of elements of lists, maps and arrays so far
	discard  bool // values are checked and not kept
}

// take removes and returns the next size bytes.
func (d *decoder) take(size uint64) ([]byte, error) {
	if size > uint64(len(d.rest)) {
		return nil, ErrDecode
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken, nil
}

// uint decodes a big-endian unsigned integer of width bytes, at most 8.
func (d *decoder) uint(width uint64) (uint64, error) {
	octets, err := d.take(width)
	if err != nil {
		return 0, err
	}
	var value uint64
	for _, octet := range octets {
		value = value<<8 | uint64(octet)
	}
	return value, nil
}

// decodeValue decodes a value including its constructor.
func (d *decoder) decodeValue() (any, error) {
	if d.depth++; d.depth > maxNesting {
		return nil, ErrDecode
	}
	defer func() { d.depth-- }()
	code, err := d.uint(1)
	if err != nil {
		return nil, err
	}
	if code == constructorDescribed {
		return d.decodeDescribed()
	}
	return d.decodePrimitive(byte(code))
}

// decodeDescribed decodes the descriptor and the value that follow the constructor of a described value.
func (d *decoder) decodeDescribed() (any, error) {
	descriptor, err := d.decodeValue()
	if err != nil {
		return nil, err
	}
	value, err := d.decodeValue()
	if d.discard {
		return nil, err
	}
	return Described{Descriptor: descriptor, Value: value}, err
}

// decodePrimitive decodes the data that follows a constructor other than that of a described value.
func (d *decoder) decodePrimitive(code byte) (any, error) {
	switch code {
	case constructorNull:
		return nil, nil
	case constructorTrue:
		return true, nil
	case constructorFalse:
		return false, nil
	case constructorUint0:
		return uint32(0), nil
	case constructorUlong0:
		return uint64(0), nil
	case constructorList0:
		return List{}, nil
	}
	// The upper four bits of a constructor determine the width of the data (section 1.2).
	switch code >> 4 {
	case 0x5, 0x6, 0x7, 0x8:
		n, err := d.uint(1 << (code>>4 - 5))
		if err != nil {
			return nil, err
		}
		if d.discard {
			n = 0 // a small integer is returned without an allocation
		}
		return decodeFixedWidth(code, n)
	case 0x9:
		octets, err := d.take(16)
		if err != nil {
			return nil, err
		}
		switch {
		case code != constructorUUID && code != constructorDecimal128:
		case d.discard:
			return nil, nil
		case code == constructorUUID:
			return UUID(octets), nil
		default:
			return Decimal{code, string(octets)}, nil
		}
	case 0xa, 0xb:
		size, err := d.uint(1 + 3*uint64(code>>4&1))
		if err != nil {
			return nil, err
		}
		data, err := d.take(size)
		if err != nil {
			return nil, err
		}
		if d.discard {
			data = nil
		}
		switch code & 0xf {
		case 0x0:
			return append([]byte{}, data...), nil
		case 0x1:
			return string(data), nil
		case 0x3:
			return Symbol(data), nil
		}
	case 0xc, 0xd:
		return d.decodeCompound(code, 1+3*uint64(code>>4&1))
	case 0xe, 0xf:
		return d.decodeArray(code, 1+3*uint64(code>>4&1))
	}
	return nil, fmt.Errorf("%w: constructor %#x", ErrDecode, code)
}

// decodeFixedWidth converts the bits of a fixed-width value of 1 to 8 bytes to the type of its constructor.
func decodeFixedWidth(code byte, bits uint64) (any, error) {
	switch code {
	case constructorUbyte:
		return uint8(bits), nil
	case constructorByte:
		return int8(bits), nil
	case constructorSmallUint, constructorUint:
		return uint32(bits), nil
	case constructorSmallUlong, constructorUlong:
		return bits, nil
	case constructorSmallInt:
		return int32(int8(bits)), nil
	case constructorSmallLong:
		return int64(int8(bits)), nil
	case constructorBoolean:
		return bits == 1, nil
	case constructorUshort:
		return uint16(bits), nil
	case constructorShort:
		return int16(bits), nil
	case constructorInt:
		return int32(bits), nil
	case constructorFloat:
		return math.Float32frombits(uint32(bits)), nil
	case constructorChar:
		return Char(bits), nil
	case constructorDecimal32:
		return Decimal{code, string(binary.BigEndian.AppendUint32(nil, uint32(bits)))}, nil
	case constructorLong:
		return int64(bits), nil
	case constructorDouble:
		return math.Float64frombits(bits), nil
	case constructorTimestamp:
		return Timestamp(bits), nil
	case constructorDecimal64:
		return Decimal{code, string(binary.BigEndian.AppendUint64(nil, bits))}, nil
	}
	return nil, fmt.Errorf("%w: constructor %#x", ErrDecode, code)
}

// openCompound decodes the size and the element count of a compound value or an array, each of width bytes. It returns
// a decoder for the elements, which has counted them, and the count.
func (d *decoder) openCompound(width uint64) (*decoder, uint64, error) {
	size, err := d.uint(width)
	if err != nil {
		return nil, 0, err
	}
	data, err := d.take(size)
	if err != nil {
		return nil, 0, err
	}
	inner := &decoder{rest: data, depth: d.depth, discard: d.discard}
	count, err := inner.uint(width)
	if err != nil || count > uint64(maxElements-d.elements) {
		return nil, 0, ErrDecode
	}
	inner.elements = d.elements + int(count)
	return inner, count, nil
}

// decodeCompound decodes the data that follows the constructor of a list or a map.
func (d *decoder) decodeCompound(code byte, width uint64) (any, error) {
	inner, count, err := d.openCompound(width)
	if err != nil || count > uint64(len(inner.rest)) { // every element takes at least one byte
		return nil, ErrDecode
	}
	var elements []any
	if !d.discard {
		elements = make([]any, 0, count)
	}
	for range count {
		element, err := inner.decodeValue()
		if err != nil {
			return nil, err
		}
		if !d.discard {
			elements = append(elements, element)
		}
	}
	d.elements = inner.elements
	switch {
	case len(inner.rest) > 0:
	case code&0xf == 0x0:
		return List(elements), nil
	case code&0xf == 0x1 && count%2 == 0:
		return Map(elements), nil
	}
	return nil, ErrDecode
}

// decodeArray decodes the data that follows the constructor of an array.
func (d *decoder) decodeArray(code byte, width uint64) (any, error) {
	inner, count, err := d.openCompound(width)
	if err != nil || code&0xf != 0 {
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
	if constructor == constructorDescribed {
		if descriptor, err = inner.decodeValue(); err != nil {
			return nil, err
		}
		if constructor, err = inner.uint(1); err != nil || constructor == constructorDescribed {
			return nil, ErrDecode
		}
	}
	var elements Array
	if !d.discard {
		elements = make(Array, 0, min(count, 64))
	}
	for range count {
		element, err := inner.decodePrimitive(byte(constructor))
		if err != nil {
			return nil, err
		}
		if d.discard {
			continue
		}
		if descriptor != nil {
			element = Described{Descriptor: descriptor, Value: element}
		}
		elements = append(elements, element)
	}
	d.elements = inner.elements
	if len(inner.rest) > 0 {
		return nil, ErrDecode
	}
	return elements, nil
}
