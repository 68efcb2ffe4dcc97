package codec

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Append appends the encoding of a value, in its most compact form. It panics if the value, or one inside it, is of a
// type that AMQP has no encoding for.
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
