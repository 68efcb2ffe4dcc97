package simprotocol

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"lockroad/balancer"
)

// Codes of action records, with the names of the simulator's protocol.
const (
	codeRelay        = 1
	codeSayNo        = 2
	codeRespondError = 3
	codeWakeAt       = 5
	codeObserve      = 11
	codeGoAway       = 13
)

// maxTimer bounds the duration of a timer, whose microseconds must fit 32 bits.
const maxTimer = 71 * time.Minute

// A Reply collects the actions in response to a batch. Call Reset before the first Add. It is not
// safe for concurrent use.
type Reply struct {
	buffer []byte
	count  uint32
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buffer = append(r.buffer[:0], make([]byte, replyHeader)...)
	r.count = 0
}

// Add appends an action of an instance. It returns an error for actions without a record in the protocol.
func (r *Reply) Add(instance uint32, action balancer.Action) error {
	switch action := action.(type) {
	case balancer.SendAttempt:
		r.appendRecord(codeRelay, instance, uint32(action.Request), clampMicroseconds(action.Timeout), uint32(action.Endpoint))
	case balancer.Reject:
		r.appendRecord(codeSayNo, instance, uint32(action.Request), clampMicroseconds(action.RetryAfter))
	case balancer.Fail:
		r.appendRecord(codeRespondError, instance, uint32(action.Request))
	case balancer.Migrate:
		r.appendRecord(codeGoAway, instance, uint32(action.Request))
	case balancer.SetTimer:
		r.appendRecord(codeWakeAt, instance, clampMicroseconds(min(action.After, maxTimer)), action.Token)
	case balancer.WatchEndpoints:
		r.appendWatch(instance)
	default:
		return fmt.Errorf("the protocol has no record for action %T", action)
	}
	return nil
}

// appendRecord appends a record of 32-bit fields.
func (r *Reply) appendRecord(code uint8, fields ...uint32) {
	r.buffer = append(r.buffer, code)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, uint32(4*len(fields)))
	for _, field := range fields {
		r.buffer = binary.LittleEndian.AppendUint32(r.buffer, field)
	}
	r.count++
}

// appendWatch appends the record of balancer.WatchEndpoints, whose last field is a single byte.
func (r *Reply) appendWatch(instance uint32) {
	r.buffer = append(r.buffer, codeObserve)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, 5)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, instance)
	r.buffer = append(r.buffer, 1)
	r.count++
}

// clampMicroseconds returns a duration in microseconds, limited to 0 and math.MaxInt32.
func clampMicroseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Microseconds(), 0), math.MaxInt32))
}

// WriteTo writes the reply with a single call of w.Write.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buffer[0:], uint32(len(r.buffer)-replyHeader))
	binary.LittleEndian.PutUint32(r.buffer[4:], r.count)
	n, err := w.Write(r.buffer)
	return int64(n), err
}
