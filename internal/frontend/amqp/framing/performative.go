// Package framing encodes and decodes AMQP 1.0 frames and their performatives (part 2 of the standard), and defines the
// standard's error conditions. It does no I/O and keeps no state; its functions may be called from any goroutine.
package framing

import (
	"lockroad/internal/frontend/amqp/codec"
)

// Descriptor codes of performatives and other described types.
const (
	CodeOpen           = 0x10
	CodeBegin          = 0x11
	CodeAttach         = 0x12
	CodeFlow           = 0x13
	CodeTransfer       = 0x14
	CodeDisposition    = 0x15
	CodeDetach         = 0x16
	CodeEnd            = 0x17
	CodeClose          = 0x18
	CodeError          = 0x1d
	CodeAccepted       = 0x24 // delivery states
	CodeRejected       = 0x25
	CodeReleased       = 0x26
	CodeModified       = 0x27
	CodeSource         = 0x28 // termini
	CodeTarget         = 0x29
	CodeSASLMechanisms = 0x40
	CodeSASLInit       = 0x41
	CodeSASLOutcome    = 0x44
)

// Performative is the body of a frame: its descriptor code and its fields, in the order of the standard. Fields that
// the relay does not interpret are kept unchanged, those that hold other values as codec.Raw. The zero value means that
// there is no performative.
type Performative struct {
	Code   uint64
	Fields codec.List
}

// Field returns the field with index i, or nil if it is null or absent.
func (p Performative) Field(i int) any {
	if i >= len(p.Fields) {
		return nil
	}
	if raw, ok := p.Fields[i].(codec.Raw); ok {
		return raw.Decode()
	}
	return p.Fields[i]
}

// MemorySize returns about how many bytes a performative that was received takes in memory.
func (p Performative) MemorySize() int {
	const fieldSize = 16 // of an interface value
	size := fieldSize * len(p.Fields)
	for _, field := range p.Fields {
		switch value := field.(type) {
		case codec.Raw:
			size += len(value)
		case []byte:
			size += len(value)
		case string:
			size += len(value)
		case codec.Symbol:
			size += len(value)
		case codec.UUID, codec.Decimal:
			size += fieldSize
		}
	}
	return size
}

// Uint32 returns the integer in field i, or fallback if the field is null, absent, not an integer or out of range.
func (p Performative) Uint32(i int, fallback uint32) uint32 {
	if n, ok := codec.AsUint64(p.Field(i)); ok && n <= 1<<32-1 {
		return uint32(n)
	}
	return fallback
}

// Bool returns the boolean in field i, or false if the field is null, absent or not a boolean.
func (p Performative) Bool(i int) bool {
	value, _ := p.Field(i).(bool)
	return value
}

// With returns a copy in which field i is set to value. The receiver is unchanged.
func (p Performative) With(i int, value any) Performative {
	fields := make(codec.List, max(len(p.Fields), i+1))
	copy(fields, p.Fields)
	fields[i] = value
	return Performative{p.Code, fields}
}

// RequireUint32 checks that mandatory fields hold unsigned 32-bit integers. An error is a ConditionError.
func (p Performative) RequireUint32(fields ...int) error {
	for _, i := range fields {
		if n, ok := codec.AsUint64(p.Field(i)); !ok || n > 1<<32-1 {
			return Errorf(CondInvalidField, "field %d of performative %#x has to be a number", i, p.Code)
		}
	}
	return nil
}
