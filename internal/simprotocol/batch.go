// Package simprotocol encodes and decodes the simulator's binary protocol: it reads
// batches of events for many relay instances, and writes the replies that hold
// their actions. It makes no decisions. All integers on the wire are little-endian,
// all times are microseconds.
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

// Sizes of the fixed parts of the protocol, in bytes.
const (
	batchHeader  = 16
	replyHeader  = 8
	recordHeader = 5
	endpointSize = 23
)

const (
	maxCatalogs  = 16
	maxBatchSize = 1 << 30 // bytes: far above any batch; guards against a corrupt length
)

// A Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	source   io.Reader
	buffer   bytes.Buffer
	catalogs [maxCatalogs][]balancer.Endpoint // endpoint lists by number, for all instances
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// A Batch holds the records of one batch and the clock they happened at. It is
// valid until the next call of the Reader's Next.
type Batch struct {
	Clock     time.Duration // since the simulation's start
	remaining uint32        // records still to be read
	unread    []byte
	reader    *Reader
}

// Next reads a batch. It returns io.EOF at the end of the input, and another
// error where the input ends within a batch or is malformed.
func (reader *Reader) Next() (*Batch, error) {
	var header [batchHeader]byte
	if _, err := io.ReadFull(reader.source, header[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("batch header: %w", err)
	}
	size := binary.LittleEndian.Uint32(header[0:])
	count := binary.LittleEndian.Uint32(header[4:])
	clock := binary.LittleEndian.Uint64(header[8:])
	if size > maxBatchSize {
		return nil, fmt.Errorf("batch of %d bytes is larger than %d", size, maxBatchSize)
	}
	at, err := decodeMicroseconds(clock)
	if err != nil {
		return nil, fmt.Errorf("batch clock: %w", err)
	}
	// The buffer grows with what arrives, not with what the header claims.
	reader.buffer.Reset()
	if n, err := io.CopyN(&reader.buffer, reader.source, int64(size)); err != nil {
		return nil, fmt.Errorf("batch of %d bytes ends after %d: %w", size, n, unexpectedEOF(err))
	}
	return &Batch{Clock: at, remaining: count, unread: reader.buffer.Bytes(), reader: reader}, nil
}

// unexpectedEOF replaces io.EOF, which would read as the regular end of the input.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decodeMicroseconds(count uint64) (time.Duration, error) {
	if count > math.MaxInt64/1000 {
		return 0, fmt.Errorf("time of %d microseconds is out of range", count)
	}
	return time.Duration(count) * time.Microsecond, nil
}

// Next returns the next record, or io.EOF after the last. Any other error says that
// the batch is malformed.
func (b *Batch) Next() (Record, error) {
	if b.remaining == 0 {
		if len(b.unread) > 0 {
			return Record{}, fmt.Errorf("%d bytes follow the last record of the batch", len(b.unread))
		}
		return Record{}, io.EOF
	}
	if len(b.unread) < recordHeader {
		return Record{}, fmt.Errorf("batch ends with %d records still to come", b.remaining)
	}
	code, size := b.unread[0], binary.LittleEndian.Uint32(b.unread[1:])
	if uint64(size) > uint64(len(b.unread)-recordHeader) {
		return Record{}, fmt.Errorf("record of code %d claims %d bytes, %d are left", code, size, len(b.unread)-recordHeader)
	}
	c := cursor{unread: b.unread[recordHeader : recordHeader+int(size)]}
	b.unread = b.unread[recordHeader+int(size):]
	b.remaining--
	record, err := b.reader.decodeRecord(code, &c)
	if err != nil {
		return Record{}, fmt.Errorf("record of code %d: %w", code, err)
	}
	if c.truncated {
		return Record{}, fmt.Errorf("record of code %d: %d bytes are too few for its fields", code, size)
	}
	if len(c.unread) > 0 {
		return Record{}, fmt.Errorf("record of code %d: %d bytes follow its fields", code, len(c.unread))
	}
	return record, nil
}
