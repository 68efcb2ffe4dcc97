// Package codec holds the types of AMQP 1.0 and reads and writes their encoding (part 1 of the standard). It does no I/O
// and keeps no state; all functions may be called from any goroutine.
package codec

import (
	"errors"
)

// ErrDecode is wrapped by the errors of Decode: the bytes are not a valid encoding.
var ErrDecode = errors.New("the bytes are no value of AMQP")

// The types of AMQP that Go has no name for. The rest are bool, the sized
// integers and floats, string, []byte for binary, and nil for null.
type (
	// Symbol is a name from a constrained domain, in ASCII.
	Symbol string
	// Timestamp is a time in milliseconds since the Unix epoch.
	Timestamp int64
	// Char is one Unicode character.
	Char uint32
	// UUID is a universally unique identifier.
	UUID [16]byte
	// Decimal is a decimal floating-point number of any width. It is passed on as it came, and never interpreted.
	Decimal struct {
		constructor byte
		raw         string
	}
	// List is a sequence of values of any types.
	List []any
	// Array is a sequence of values of one type.
	Array []any
	// Map holds keys and values in turn, in the order in which they came.
	Map []any
	// Described is a value with a descriptor that says what it stands for.
	Described struct{ Descriptor, Value any }
)

// Get returns the value of a key, or nil if the map lacks it. Keys are symbols or strings.
func (m Map) Get(key string) any {
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) == key {
			return m[i+1]
		}
	}
	return nil
}

// With returns a copy of the map in which the key, as a symbol, has the value. The receiver is unchanged.
func (m Map) With(key string, value any) Map {
	out := make(Map, 0, len(m)+2)
	for i := 0; i+1 < len(m); i += 2 {
		if AsString(m[i]) != key {
			out = append(out, m[i], m[i+1])
		}
	}
	return append(out, Symbol(key), value)
}

// AsString returns the text of a symbol or a string, and "" for any other value.
func AsString(v any) string {
	switch v := v.(type) {
	case Symbol:
		return string(v)
	case string:
		return v
	}
	return ""
}

// AsUint64 returns an integer of any width. It reports false for a negative one and for any other value.
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
