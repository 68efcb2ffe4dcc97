package simprotocol

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"lockroad/balancer"
)

// Codes of the actions.
const (
	codeRelay        = 1
	codeSayNo        = 2
	codeRespondError = 3
	codeWakeAt       = 5
	codeObserve      = 11
	codeGoAway       = 13
)

// maxTimer is the longest time that a timer may be set for.
const maxTimer = 71 * time.Minute

// A Reply collects the actions that answer a batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	r.count = 0
}

// Add appends an action of an instance.
func (r *Reply) Add(instance uint32, a balancer.Action) error {
	switch a := a.(type) {
	case balancer.SendAttempt:
		r.record(codeRelay, instance, uint32(a.Request), clip(a.Timeout), uint32(a.Endpoint))
	case balancer.Reject:
		r.record(codeSayNo, instance, uint32(a.Request), clip(a.RetryAfter))
	case balancer.Fail:
		r.record(codeRespondError, instance, uint32(a.Request))
	case balancer.Migrate:
		r.record(codeGoAway, instance, uint32(a.Request))
	case balancer.SetTimer:
		r.record(codeWakeAt, instance, clip(min(a.After, maxTimer)), a.Token)
	case balancer.WatchEndpoints:
		r.record(codeObserve, instance)
		r.buf = append(r.buf, 1)
		binary.LittleEndian.PutUint32(r.buf[len(r.buf)-9:], 5)
	default:
		return fmt.Errorf("no record for action %T", a)
	}
	return nil
}

func (r *Reply) record(code uint8, fields ...uint32) {
	r.buf = append(r.buf, code)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, uint32(4*len(fields)))
	for _, f := range fields {
		r.buf = binary.LittleEndian.AppendUint32(r.buf, f)
	}
	r.count++
}

// clip gives a time in whole microseconds, within what the field holds.
func clip(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxInt32))
}

// WriteTo writes the reply in one piece.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buf[0:], uint32(len(r.buf)-replyHeader))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	n, err := w.Write(r.buf)
	return int64(n), err
}
