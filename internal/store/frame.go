package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A frame holds one commit:
//
//	magic u32  length u32  number u64  synced u64  crc u32  CBOR of the commit's entries
//
// Integers are little-endian. The crc is a CRC-32C of the whole frame except itself.
// Commit numbers are contiguous. synced is the number of the last synced commit when
// the frame was written. The kernel may write back later frames in any order, so that
// a power failure may lose any of them: that is a torn tail, not damage.
const (
	frameHeaderSize = 4 + 4 + 8 + 8 + checksumSize
	frameMagic      = 0x7e53a9c1
	maxFrameBytes   = 16 << 20 // limit of a commit's encoded entries; a snapshot of 20,000 endpoints fits
)

// entry is the put or the removal of one record, as encoded in a frame. It is encoded
// as an array: the order of the fields is part of the format, their names are not.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Key     string
	At      int64 // Unix time in milliseconds
	Version uint  // schema version of the body
	Body    []byte
	Deleted bool // the record is removed
}

// frame is a decoded frame.
type frame struct {
	number  uint64
	synced  uint64
	entries []entry
	size    int // encoded size in bytes
}

// appendFrame appends an encoded frame to a buffer. It fails if its entries exceed
// maxFrameBytes.
func appendFrame(buffer []byte, number, synced uint64, entries []entry) ([]byte, error) {
	body, err := cbor.Marshal(entries)
	if err != nil {
		return buffer, err
	}
	if len(body) > maxFrameBytes {
		return buffer, fmt.Errorf("commit of %d bytes exceeds the limit of %d", len(body), maxFrameBytes)
	}
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, number)
	buffer = binary.LittleEndian.AppendUint64(buffer, synced)
	buffer = binary.LittleEndian.AppendUint32(buffer, frameChecksum(buffer[start:], body))
	return append(buffer, body...), nil
}

// frameChecksum returns the checksum of a frame's header, up to the checksum
// itself, and its body.
func frameChecksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:frameHeaderSize-checksumSize], castagnoli), castagnoli, body)
}

// readFrame decodes the frame at the start of data. Its error says why there is no
// valid frame.
func readFrame(data []byte) (f frame, err error) {
	if len(data) < frameHeaderSize {
		return f, errTruncated
	}
	if binary.LittleEndian.Uint32(data) != frameMagic {
		return f, errors.New("no frame header")
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxFrameBytes {
		return f, errors.New("invalid frame length")
	}
	if len(data) < frameHeaderSize+length {
		return f, errTruncated
	}
	body := data[frameHeaderSize : frameHeaderSize+length]
	if frameChecksum(data, body) != binary.LittleEndian.Uint32(data[frameHeaderSize-checksumSize:]) {
		return f, errChecksum
	}
	if err := cbor.Unmarshal(body, &f.entries); err != nil {
		return f, fmt.Errorf("decode entries: %w", err)
	}
	f.number, f.synced = binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint64(data[16:])
	f.size = frameHeaderSize + length
	return f, nil
}

// nextFrame returns the offset of the first valid frame after the start of data; -1 if
// there is none.
func nextFrame(data []byte) int {
	magicBytes := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for offset := 1; ; offset++ {
		found := bytes.Index(data[min(offset, len(data)):], magicBytes)
		if found < 0 {
			return -1
		}
		offset += found
		if _, err := readFrame(data[offset:]); err == nil {
			return offset
		}
	}
}
