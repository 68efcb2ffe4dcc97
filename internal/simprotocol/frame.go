// Package simprotocol speaks the simulator's wire for many relays at once: it reads
// batches of events, and writes the replies. It decides nothing.
package simprotocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"lockroad/balancer"
)

const (
	batchHeader = 16
	replyHeader = 8
	recordHead  = 5
	entrySize   = 23
	maxPages    = 16
	maxBatch    = 1 << 30 // far above any batch; guards against a length that is garbage
)

// Codes of the events.
const (
	codeAttach     = 1
	codeTopology   = 2
	codeRequest    = 3
	codeBegun      = 4
	codeOutcome    = 5
	codeClientLeft = 6
	codeWake       = 7
	codeProbeDone  = 8
	codeDatagram   = 9
	codeRetire     = 10
	codeCatalog    = 11
	codeResumed    = 12
	codeHeartbeat  = 13
)

// Bits of a request.
const (
	bitLoadValid = 1
	bitReturn    = 16
)

// Attach starts an instance.
type Attach struct {
	Seed     uint64
	Settings balancer.Settings
}

// Retire ends an instance.
type Retire struct{}

// Record is what one record of a batch says to one instance: an Attach, a
// Retire or a balancer.Event. It is nil for records that no decision needs.
type Record struct {
	Instance uint32
	Body     any
}

// A Reader reads batches.
type Reader struct {
	r     io.Reader
	buf   bytes.Buffer
	pages [maxPages][]balancer.Endpoint
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// A Batch holds the records of one batch and the clock they happened at.
type Batch struct {
	Clock time.Duration
	left  uint32
	rest  []byte
	rd    *Reader
}

// Next reads a batch. It returns io.EOF at the end of the input, and another
// error where the input ends within a batch or makes no sense.
func (rd *Reader) Next() (*Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(rd.r, head[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("batch header: %w", err)
	}
	size := binary.LittleEndian.Uint32(head[0:])
	count := binary.LittleEndian.Uint32(head[4:])
	clock := binary.LittleEndian.Uint64(head[8:])
	if size > maxBatch {
		return nil, fmt.Errorf("batch of %d bytes is larger than %d", size, maxBatch)
	}
	at, err := micros(clock)
	if err != nil {
		return nil, fmt.Errorf("batch clock: %w", err)
	}
	// The buffer grows with what arrives, not with what the header claims.
	rd.buf.Reset()
	if n, err := io.CopyN(&rd.buf, rd.r, int64(size)); err != nil {
		return nil, fmt.Errorf("batch of %d bytes ends after %d: %w", size, n, noEOF(err))
	}
	return &Batch{Clock: at, left: count, rest: rd.buf.Bytes(), rd: rd}, nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func micros(us uint64) (time.Duration, error) {
	if us > math.MaxInt64/1000 {
		return 0, fmt.Errorf("time of %d microseconds is out of range", us)
	}
	return time.Duration(us) * time.Microsecond, nil
}

// Next returns the next record, or io.EOF after the last.
func (b *Batch) Next() (Record, error) {
	if b.left == 0 {
		if len(b.rest) > 0 {
			return Record{}, fmt.Errorf("%d bytes follow the last record of the batch", len(b.rest))
		}
		return Record{}, io.EOF
	}
	if len(b.rest) < recordHead {
		return Record{}, fmt.Errorf("batch ends with %d records still to come", b.left)
	}
	code, size := b.rest[0], binary.LittleEndian.Uint32(b.rest[1:])
	if uint64(size) > uint64(len(b.rest)-recordHead) {
		return Record{}, fmt.Errorf("record of code %d claims %d bytes, %d are left", code, size, len(b.rest)-recordHead)
	}
	c := cursor{rest: b.rest[recordHead : recordHead+int(size)]}
	b.rest = b.rest[recordHead+int(size):]
	b.left--
	rec, err := b.rd.record(code, &c)
	if err != nil {
		return Record{}, fmt.Errorf("record of code %d: %w", code, err)
	}
	if c.short {
		return Record{}, fmt.Errorf("record of code %d: %d bytes are too few for its fields", code, size)
	}
	if len(c.rest) > 0 {
		return Record{}, fmt.Errorf("record of code %d: %d bytes follow its fields", code, len(c.rest))
	}
	return rec, nil
}

// record decodes the fields of one record.
func (rd *Reader) record(code uint8, c *cursor) (Record, error) {
	if code == codeCatalog {
		return Record{}, rd.catalog(c)
	}
	if code == 0 || code > codeHeartbeat {
		return Record{}, errors.New("unknown code")
	}
	rec := Record{Instance: c.u32()}
	var err error
	switch code {
	case codeAttach:
		seed, info := c.u64(), c.bytes(c.u32())
		if c.short {
			break
		}
		var s balancer.Settings
		if s, err = ParseSettings(info); err == nil {
			rec.Body = Attach{Seed: seed, Settings: s}
		}
	case codeTopology:
		rec.Body, err = rd.topology(c)
	case codeRequest:
		var q balancer.Request
		q.ID = balancer.RequestID(c.u32())
		q.Class = int(c.u8())
		c.u16() // the tenant: all are served alike
		q.Item = c.u64()
		q.TimeLeft = c.span()
		load := c.u32()
		q.Group = c.u64()
		setBits(&q, c.u16(), load)
		rec.Body = q
	case codeResumed:
		var q balancer.Request
		q.ID = balancer.RequestID(c.u32())
		q.TimeLeft = c.span()
		server := balancer.EndpointID(c.u32())
		q.Group = c.u64()
		q.Class = int(c.u8())
		load := c.u32()
		c.u16() // the tenant: all are served alike
		q.Item = c.u64()
		setBits(&q, c.u16(), load)
		rec.Body = balancer.Resumed{Request: q, Endpoint: server}
	case codeBegun:
		id, took := balancer.RequestID(c.u32()), c.span()
		c.u16() // attempts of a request never overlap, so their numbers say nothing
		rec.Body = balancer.Established{Request: id, Endpoint: balancer.EndpointID(c.u32()), SetupTime: took}
	case codeOutcome:
		rec.Body, err = outcome(c)
	case codeClientLeft:
		rec.Body = balancer.ClientLeft{Request: balancer.RequestID(c.u32())}
	case codeWake:
		rec.Body = balancer.Timer{Token: c.u32()}
	case codeProbeDone: // nothing here sends probes
		c.u32()
		c.u16()
		c.u32()
		c.floats()
	case codeDatagram: // nothing here sends messages between relays
		c.u32()
		c.bytes(uint32(c.u16()))
	case codeRetire:
		rec.Body = Retire{}
	case codeHeartbeat:
		rec.Body, err = heartbeat(c)
	}
	return rec, err
}

func setBits(q *balancer.Request, bits uint16, load uint32) {
	if bits&bitLoadValid != 0 {
		q.ExpectedLoad = float64(load) / 1e6
	}
	q.Returning = bits&bitReturn != 0
}

var statuses = map[uint16]balancer.AttemptStatus{
	100: balancer.StatusOK,
	301: balancer.StatusError,
	302: balancer.StatusFull,
	303: balancer.StatusTimeout,
	304: balancer.StatusConnectFailed,
	305: balancer.StatusReset,
	306: balancer.StatusCancelled,
	307: balancer.StatusNotSent,
}

func outcome(c *cursor) (any, error) {
	var o balancer.Outcome
	o.Request = balancer.RequestID(c.u32())
	o.Final = c.u8() != 0
	c.u32() // how long it took: no decision uses it
	c.u16() // the attempt's number
	code := c.u16()
	o.Endpoint = balancer.EndpointID(c.u32())
	c.floats() // load reports: no decision uses them
	status, ok := statuses[code]
	if !ok && !c.short {
		return nil, fmt.Errorf("unknown outcome %d", code)
	}
	o.Status = status
	return o, nil
}

func heartbeat(c *cursor) (any, error) {
	id := balancer.RequestID(c.u32())
	c.u16() // the attempt's number
	server := balancer.EndpointID(c.u32())
	kind, level := c.u8(), float64(c.f32())
	if c.short {
		return nil, nil
	}
	if !(level >= 0 && level < 1e12) { // also false for NaN
		return nil, fmt.Errorf("level %v is out of range", level)
	}
	switch kind {
	case 1:
		return balancer.ConnectionLoad{Request: id, Endpoint: server, Load: level / 1e6}, nil
	case 2:
		return balancer.EndpointDelay{Request: id, Endpoint: server,
			Delay: time.Duration(level * float64(time.Millisecond))}, nil
	}
	return nil, fmt.Errorf("unknown kind %d", kind)
}

var listKinds = map[uint8]balancer.ListKind{
	0: balancer.ListFailed,
	2: balancer.ListFull,
	3: balancer.ListCached,
	4: balancer.ListDelta,
}

func (rd *Reader) topology(c *cursor) (any, error) {
	mode := c.u8()
	c.u64() // lists arrive in order with nothing skipped, so their version says nothing
	page := c.u16()
	if c.short {
		return nil, nil
	}
	kind, ok := listKinds[mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode %d", mode)
	}
	if kind == balancer.ListFailed {
		return balancer.EndpointList{Kind: kind}, nil
	}
	if page >= maxPages || rd.pages[page] == nil {
		return nil, fmt.Errorf("no list has the number %d", page)
	}
	return balancer.EndpointList{Kind: kind, Endpoints: rd.pages[page]}, nil
}

func (rd *Reader) catalog(c *cursor) error {
	page, n := c.u16(), c.u32()
	if c.short || uint64(n)*entrySize > uint64(len(c.rest)) {
		c.short = true
		return nil
	}
	if page >= maxPages {
		return fmt.Errorf("list number %d is not below %d", page, maxPages)
	}
	list := make([]balancer.Endpoint, n)
	for i := range list {
		s := &list[i]
		s.Zone = int(c.u16())
		s.Weight = float64(c.f32())
		s.Cell = int(c.u16())
		born, err := micros(c.u64())
		if err != nil {
			return err
		}
		s.StartedAt = born
		s.ID = balancer.EndpointID(c.u32())
		state := c.u8()
		c.u16() // the machine's kind: decisions go by what is observed
		if state > uint8(balancer.StateDraining) {
			return fmt.Errorf("server %d: unknown state %d", s.ID, state)
		}
		s.State = balancer.EndpointState(state)
		if !(s.Weight >= 0 && s.Weight < 1e12) {
			return fmt.Errorf("server %d: weight %v is out of range", s.ID, s.Weight)
		}
	}
	rd.pages[page] = list
	return nil
}

// A cursor takes fields off the front of a record.
type cursor struct {
	rest  []byte
	short bool // a field was asked for that is not there
}

func (c *cursor) take(n int) []byte {
	if len(c.rest) < n {
		c.short, c.rest = true, nil
		return make([]byte, 8)[:min(n, 8)]
	}
	b := c.rest[:n]
	c.rest = c.rest[n:]
	return b
}

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) span() time.Duration { return time.Duration(c.u32()) * time.Microsecond }

func (c *cursor) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(c.rest)) {
		c.short, c.rest = true, nil
		return nil
	}
	return c.take(int(n))
}

func (c *cursor) floats() { c.bytes(4 * uint32(c.u8())) }
