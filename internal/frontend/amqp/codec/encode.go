package codec

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Append appends the encoding of a value, compact where appendCompact has a compact form. It panics if the value or a
// nested value has a type without an AMQP encoding.
func Append(b []byte, value any) []byte {
	switch value := value.(type) {
	case nil:
		return append(b, constructorNull)
	case bool:
		if value {
			return append(b, constructorTrue)
		}
		return append(b, constructorFalse)
	case List:
		if len(value) == 0 {
			return append(b, constructorList0)
		}
		return appendCompound(b, constructorList32, value)
	case Map:
		return appendCompound(b, constructorMap32, value)
	case Array:
		return appendArray(b, value)
	case Raw:
		return append(b, value...)
	case Described:
		return Append(Append(append(b, constructorDescribed), value.Descriptor), value.Value)
	}
	if compact, ok := appendCompact(b, value); ok {
		return compact
	}
	return appendBody(append(b, constructorOf(value)), value)
}

// appendCompact appends a value in its compact form. If the value has none it reports false, and the returned slice
// must be discarded. Some peers accept the descriptor codes of performatives only in compact form.
func appendCompact(b []byte, value any) ([]byte, bool) {
	sized := func(code byte, text string) ([]byte, bool) {
		if len(text) > 255 {
			return b, false
		}
		return append(append(b, code, byte(len(text))), text...), true
	}
	switch value := value.(type) {
	case uint32:
		return append(b, constructorSmallUint, byte(value)), value < 256
	case uint64:
		return append(b, constructorSmallUlong, byte(value)), value < 256
	case []byte:
		return sized(constructorBinary8, string(value))
	case string:
		return sized(constructorString8, value)
	case Symbol:
		return sized(constructorSymbol8, string(value))
	}
	return b, false
}

// constructorOf returns the constructor of the widest encoding of a value's type.
func constructorOf(value any) byte {
	switch value := value.(type) {
	case nil:
		return constructorNull
	case bool:
		return constructorBoolean
	case uint8:
		return constructorUbyte
	case int8:
		return constructorByte
	case uint16:
		return constructorUshort
	case int16:
		return constructorShort
	case uint32:
		return constructorUint
	case int32:
		return constructorInt
	case float32:
		return constructorFloat
	case Char:
		return constructorChar
	case uint64:
		return constructorUlong
	case int64:
		return constructorLong
	case float64:
		return constructorDouble
	case Timestamp:
		return constructorTimestamp
	case Decimal:
		return value.constructor
	case UUID:
		return constructorUUID
	case []byte:
		return constructorBinary32
	case string:
		return constructorString32
	case Symbol:
		return constructorSymbol32
	case List:
		return constructorList32
	case Map:
		return constructorMap32
	case Array:
		return constructorArray32
	}
	panic(fmt.Sprintf("codec: no AMQP encoding for type %T", value)) // unreachable: all values come from Decode or the relay
}

// appendBody appends a value without its constructor, in its widest encoding.
func appendBody(b []byte, value any) []byte {
	bigEndian := binary.BigEndian
	sized := func(s string) []byte { return append(bigEndian.AppendUint32(b, uint32(len(s))), s...) }
	switch value := value.(type) {
	case bool:
		if value {
			return append(b, 1)
		}
		return append(b, 0)
	case uint8:
		return append(b, value)
	case int8:
		return append(b, byte(value))
	case uint16:
		return bigEndian.AppendUint16(b, value)
	case int16:
		return bigEndian.AppendUint16(b, uint16(value))
	case uint32:
		return bigEndian.AppendUint32(b, value)
	case int32:
		return bigEndian.AppendUint32(b, uint32(value))
	case float32:
		return bigEndian.AppendUint32(b, math.Float32bits(value))
	case Char:
		return bigEndian.AppendUint32(b, uint32(value))
	case uint64:
		return bigEndian.AppendUint64(b, value)
	case int64:
		return bigEndian.AppendUint64(b, uint64(value))
	case float64:
		return bigEndian.AppendUint64(b, math.Float64bits(value))
	case Timestamp:
		return bigEndian.AppendUint64(b, uint64(value))
	case Decimal:
		return append(b, value.raw...)
	case UUID:
		return append(b, value[:]...)
	case []byte:
		return sized(string(value))
	case string:
		return sized(value)
	case Symbol:
		return sized(string(value))
	}
	return b
}

// appendCompound appends a list or a map with a 32-bit size; code is its constructor.
func appendCompound(b []byte, code byte, elements []any) []byte {
	b = append(b, code)
	sizeOffset := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), uint32(len(elements)))
	for _, v := range elements {
		b = Append(b, v)
	}
	binary.BigEndian.PutUint32(b[sizeOffset:], uint32(len(b)-sizeOffset-4))
	return b
}

// appendArray appends an array, whose elements must all have the type of the first one.
func appendArray(b []byte, elements Array) []byte {
	b = append(b, constructorArray32)
	sizeOffset := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), uint32(len(elements)))
	if len(elements) == 0 {
		b = append(b, constructorNull)
	}
	for i, element := range elements {
		described, isDescribed := element.(Described)
		if isDescribed {
			element = described.Value
		}
		if i == 0 {
			if isDescribed {
				b = Append(append(b, constructorDescribed), described.Descriptor)
			}
			b = append(b, constructorOf(element))
		}
		b = appendElement(b, element)
	}
	binary.BigEndian.PutUint32(b[sizeOffset:], uint32(len(b)-sizeOffset-4))
	return b
}

// appendElement appends an array element, which is encoded without a constructor.
func appendElement(b []byte, value any) []byte {
	switch value := value.(type) {
	case List:
		return append(b, appendCompound(nil, constructorList32, value)[1:]...)
	case Map:
		return append(b, appendCompound(nil, constructorMap32, value)[1:]...)
	case Array:
		return append(b, appendArray(nil, value)[1:]...)
	}
	return appendBody(b, value)
}
