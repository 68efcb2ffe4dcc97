package simprotocol

import (
	"encoding/binary"
	"math"
	"time"

	"lockroad/balancer"
)

// A cursor decodes the fields of a record in order. Fields beyond the end decode as zero and set
// truncated, so that a decoder can check for errors once, after its last field.
type cursor struct {
	unread    []byte
	truncated bool // a field beyond the end was read
}

// take returns the next count bytes, or up to 8 zeros if the record has fewer.
func (c *cursor) take(count int) []byte {
	if len(c.unread) < count {
		c.truncated, c.unread = true, nil
		return make([]byte, 8)[:min(count, 8)]
	}
	b := c.unread[:count]
	c.unread = c.unread[count:]
	return b
}

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) duration() time.Duration { return time.Duration(c.u32()) * time.Microsecond }

func (c *cursor) requestID() balancer.RequestID   { return balancer.RequestID(c.u32()) }
func (c *cursor) endpointID() balancer.EndpointID { return balancer.EndpointID(c.u32()) }

// bytes returns the next count bytes, or nil if the record has fewer.
func (c *cursor) bytes(count uint32) []byte {
	if uint64(count) > uint64(len(c.unread)) {
		c.truncated, c.unread = true, nil
		return nil
	}
	return c.take(int(count))
}

// skipFloats skips a list of 32-bit floats that is preceded by its length in one byte.
func (c *cursor) skipFloats() { c.bytes(4 * uint32(c.u8())) }
