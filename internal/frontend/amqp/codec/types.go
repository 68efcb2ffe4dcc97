// Package codec encodes and decodes values of the AMQP 1.0 type system (part 1 of the standard). It does no I/O and
// keeps no state; its functions may be called from any goroutine.
package codec

import (
	"errors"
)

// ErrDecode is returned or wrapped by Decode if the bytes are not a valid encoding.
var ErrDecode = errors.New("the bytes are no value of AMQP")

// AMQP types without a corresponding Go type. The others are represented by bool, sized integers, floats, string,
// []byte for binary, and nil for null.
type (
	// Symbol is an ASCII name from a constrained domain.
	Symbol string
	// Timestamp is a time in milliseconds since the Unix epoch.
	Timestamp int64
	// Char is one Unicode character.
	Char uint32
	// UUID is a universally unique identifier.
	UUID [16]byte
	// Decimal is a decimal floating-point number of 32, 64 or 128 bits, kept in encoded form.
	Decimal struct {
		constructor byte
		raw         string
	}
	// List is a sequence of values of any types.
	List []any
	// Array is a sequence of values of one type.
	Array []any
	// Map holds alternating keys and values, in the order of their encoding.
	Map []any
	// Raw is the encoding of a value that was not decoded. DecodeFields returns it, and Append appends it unchanged.
	Raw []byte
	// Described is a value with a descriptor that identifies its type.
	Described struct{ Descriptor, Value any }
)

// Decode returns the value, or nil if the encoding is not valid.
func (r Raw) Decode() any {
	value, _, err := Decode(r)
	if err != nil {
		return nil
	}
	return value
}

// Get returns the value of a key, which may be a symbol or a string in the map, or nil if there is none.
func (m Map) Get(key string) any {
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) == key {
			return m[i+1]
		}
	}
	return nil
}

// With returns a copy of the map in which key, stored as a symbol, has the value. The receiver is unchanged.
func (m Map) With(key string, value any) Map {
	out := make(Map, 0, len(m)+2)
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) != key {
			out = append(out, m[i], m[i+1])
		}
	}
	return append(out, Symbol(key), value)
}

// AsString returns the text of a symbol or string, and "" for a value of any other type.
func AsString(value any) string {
	switch value := value.(type) {
	case Symbol:
		return string(value)
	case string:
		return value
	}
	return ""
}

// AsUint64 converts an integer of any width. It reports false for a negative integer and for a value of any other type.
func AsUint64(value any) (uint64, bool) {
	switch value := value.(type) {
	case uint8:
		return uint64(value), true
	case uint16:
		return uint64(value), true
	case uint32:
		return uint64(value), true
	case uint64:
		return value, true
	case int8:
		return uint64(value), value >= 0
	case int16:
		return uint64(value), value >= 0
	case int32:
		return uint64(value), value >= 0
	case int64:
		return uint64(value), value >= 0
	}
	return 0, false
}
