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
//	mark u32  length u32  number u64  synced u64  crc u32  CBOR of the commit's entries
//
// all little-endian; the crc is Castagnoli's over all of the frame but itself.
// Commits are numbered without a gap; synced is the last of them that was known to
// outlast a power failure when this one was written. What comes after that may be
// lost in any order, as the kernel writes it back in any: it is a torn tail, no
// damage.
const (
	frameHeaderSize = 4 + 4 + 8 + 8 + checksumSize
	frameMark       = 0x7e53a9c1
	maxFrameBytes   = 16 << 20 // of a commit's entries: the snapshot of 20,000 endpoints. Memory is taken by what one has
)

// entry is one record in a frame, or the removal of one. It is encoded as an
// array: the order of the fields is the format, and their names are not part of it.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Key     string
	At      int64 // Unix time in milliseconds
	Version uint  // of the body's form
	Body    []byte
	Deleted bool // there is no such record from here on
}

// frame is the content of a frame.
type frame struct {
	number  uint64
	synced  uint64
	entries []entry
	size    int // bytes in the file
}

// appendFrame appends an encoded commit. It fails if the commit is too large.
func appendFrame(buffer []byte, number, synced uint64, entries []entry) ([]byte, error) {
	body, err := cbor.Marshal(entries)
	if err != nil {
		return buffer, err
	}
	if len(body) > maxFrameBytes {
		return buffer, fmt.Errorf("commit of %d bytes exceeds %d", len(body), maxFrameBytes)
	}
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMark)
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

// readFrame reads the frame at the start of some bytes of a file. An error says
// why there is none.
func readFrame(data []byte) (f frame, err error) {
	if len(data) < frameHeaderSize {
		return f, errTruncated
	}
	if binary.LittleEndian.Uint32(data) != frameMark {
		return f, errors.New("no frame begins here")
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
		return f, fmt.Errorf("undecodable entries: %w", err)
	}
	f.number, f.synced = binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint64(data[16:])
	f.size = frameHeaderSize + length
	return f, nil
}

// nextFrame returns the offset of the first readable frame after the start of
// some bytes of a file; -1 if there is none.
func nextFrame(data []byte) int {
	mark := binary.LittleEndian.AppendUint32(nil, frameMark)
	for offset := 1; ; offset++ {
		found := bytes.Index(data[min(offset, len(data)):], mark)
		if found < 0 {
			return -1
		}
		offset += found
		if _, err := readFrame(data[offset:]); err == nil {
			return offset
		}
	}
}
