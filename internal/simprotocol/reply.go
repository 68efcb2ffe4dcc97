package simprotocol

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"lockroad/balancer"
)

// Codes of the actions, by their names in the simulator's description.
const (
	codeRelay        = 1
	codeSayNo        = 2
	codeRespondError = 3
	codeWakeAt       = 5
	codeObserve      = 11
	codeGoAway       = 13
)

// maxTimer is the longest time that a timer may be set for: its microseconds fit the field.
const maxTimer = 71 * time.Minute

// A Reply collects the actions that answer a batch. Call Reset before the first Add; it
// is not safe for concurrent use.
type Reply struct {
	buffer []byte
	count  uint32
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buffer = append(r.buffer[:0], make([]byte, replyHeader)...)
	r.count = 0
}

// Add appends an action of an instance. It fails for actions that the protocol has no record of.
func (r *Reply) Add(instance uint32, action balancer.Action) error {
	switch a := action.(type) {
	case balancer.SendAttempt:
		r.appendRecord(codeRelay, instance, uint32(a.Request), clampMicroseconds(a.Timeout), uint32(a.Endpoint))
	case balancer.Reject:
		r.appendRecord(codeSayNo, instance, uint32(a.Request), clampMicroseconds(a.RetryAfter))
	case balancer.Fail:
		r.appendRecord(codeRespondError, instance, uint32(a.Request))
	case balancer.Migrate:
		r.appendRecord(codeGoAway, instance, uint32(a.Request))
	case balancer.SetTimer:
		r.appendRecord(codeWakeAt, instance, clampMicroseconds(min(a.After, maxTimer)), a.Token)
	case balancer.WatchEndpoints:
		r.appendWatch(instance)
	default:
		return fmt.Errorf("no record for action %T", action)
	}
	return nil
}

func (r *Reply) appendRecord(code uint8, fields ...uint32) {
	r.buffer = append(r.buffer, code)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, uint32(4*len(fields)))
	for _, field := range fields {
		r.buffer = binary.LittleEndian.AppendUint32(r.buffer, field)
	}
	r.count++
}

// appendWatch adds the one record whose last field is a byte.
func (r *Reply) appendWatch(instance uint32) {
	r.buffer = append(r.buffer, codeObserve)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, 5)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, instance)
	r.buffer = append(r.buffer, 1)
	r.count++
}

// clampMicroseconds gives a time in whole microseconds, within what the field holds.
func clampMicroseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxInt32))
}

// WriteTo writes the reply in one piece.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buffer[0:], uint32(len(r.buffer)-replyHeader))
	binary.LittleEndian.PutUint32(r.buffer[4:], r.count)
	n, err := w.Write(r.buffer)
	return int64(n), err
}
