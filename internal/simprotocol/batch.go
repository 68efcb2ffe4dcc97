// Package simprotocol encodes and decodes the binary protocol of the platform's simulator: it reads
// batches of events for many relay instances, and writes replies with their actions. Integers on
// the wire are little-endian, and times are in microseconds unless a field says otherwise.
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
	maxBatchSize = 1 << 30 // in bytes; guards against a corrupt length
)

// A Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	source   io.Reader
	buffer   bytes.Buffer
	catalogs [maxCatalogs][]balancer.Endpoint // endpoint lists by number, shared by all instances
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// A Batch is an iterator over the records of one batch. It is valid until the next call of the
// Reader's Next.
type Batch struct {
	Clock     time.Duration // time of all its events, since the start of the simulation
	remaining uint32        // number of unread records
	unread    []byte
	reader    *Reader
}

// Next reads a batch. It returns io.EOF at the end of the input, and another error if the input ends
// within a batch or is malformed.
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
	batchClock, err := decodeMicroseconds(clock)
	if err != nil {
		return nil, fmt.Errorf("batch clock: %w", err)
	}
	// CopyN grows the buffer with the bytes that arrive, so a corrupt size allocates no memory.
	reader.buffer.Reset()
	if n, err := io.CopyN(&reader.buffer, reader.source, int64(size)); err != nil {
		return nil, fmt.Errorf("batch of %d bytes ends after %d: %w", size, n, unexpectedEOF(err))
	}
	return &Batch{Clock: batchClock, remaining: count, unread: reader.buffer.Bytes(), reader: reader}, nil
}

// unexpectedEOF replaces io.EOF, which callers take for the regular end of the input.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decodeMicroseconds converts a time in microseconds and returns an error if it overflows.
func decodeMicroseconds(count uint64) (time.Duration, error) {
	if count > math.MaxInt64/1000 {
		return 0, fmt.Errorf("time of %d microseconds is out of range", count)
	}
	return time.Duration(count) * time.Microsecond, nil
}

// Next returns the next record, or io.EOF after the last. Any other error means that the batch is
// malformed.
func (b *Batch) Next() (Record, error) {
	if b.remaining == 0 {
		if len(b.unread) > 0 {
			return Record{}, fmt.Errorf("%d bytes follow the last record of the batch", len(b.unread))
		}
		return Record{}, io.EOF
	}
	if len(b.unread) < recordHeader {
		return Record{}, fmt.Errorf("batch ends with %d records missing", b.remaining)
	}
	code, size := b.unread[0], binary.LittleEndian.Uint32(b.unread[1:])
	if uint64(size) > uint64(len(b.unread)-recordHeader) {
		return Record{}, fmt.Errorf("record of code %d: its size is %d bytes, but %d are left in the batch", code, size, len(b.unread)-recordHeader)
	}
	fields := cursor{unread: b.unread[recordHeader : recordHeader+int(size)]}
	b.unread = b.unread[recordHeader+int(size):]
	b.remaining--
	record, err := b.reader.decodeRecord(code, &fields)
	if err != nil {
		return Record{}, fmt.Errorf("record of code %d: %w", code, err)
	}
	if fields.truncated {
		return Record{}, fmt.Errorf("record of code %d: size of %d bytes is too short for its fields", code, size)
	}
	if len(fields.unread) > 0 {
		return Record{}, fmt.Errorf("record of code %d: %d bytes follow its last field", code, len(fields.unread))
	}
	return record, nil
}
