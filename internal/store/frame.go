package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// A store is a chain of segments. Each begins with a head:
//
//	"lockstor"  format u16  merged u16  first u64  last u64  crc u32
//
// and holds frames:
//
//	mark u32  length u32  number u64  synced u64  crc u32  CBOR of the commit's entries
//
// all little-endian; a crc is Castagnoli's over all of the head or frame but itself. Commits are numbered without a gap;
// synced is the last of them that was sure to outlast a power cut when this one was written. What comes after
// that may be lost in any order, as the kernel writes it back as it likes: it is a tail that was torn, no damage.
// A plain segment holds all from first on. A merged one holds what was still wanted of first to last, in place of
// the segments that held them, and ends with a frame without entries that has the number last.
const (
	formatVersion     = 1
	magic             = "lockstor"
	segmentHeaderSize = 8 + 2 + 2 + 8 + 8 + 4
	frameHeaderSize   = 4 + 4 + 8 + 8 + 4
	frameMark         = 0x7e53a9c1
	maxFrameBytes     = 16 << 20 // bytes of a commit's entries: what is learnt of 20,000 servers. Memory is taken by what one has
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// entry is one record as it stands in a frame, or the end of one. It is encoded as an array: the order of the
// fields is the format, and their names are not part of it.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Key     string
	At      int64 // Unix time in milliseconds
	Version uint  // of the body's form
	Body    []byte
	Deleted bool // there is no such record from here on
}

type segmentHeader struct {
	merged      bool
	first, last uint64 // last: of a merged segment
}

func (h segmentHeader) appendTo(b []byte) []byte {
	from := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	m := uint16(0)
	if h.merged {
		m = 1
	}
	b = binary.LittleEndian.AppendUint16(b, m)
	b = binary.LittleEndian.AppendUint64(b, h.first)
	b = binary.LittleEndian.AppendUint64(b, h.last)
	return append(b, checksum(b[from:])...)
}

func checksum(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli))
}

var (
	errTruncated = errors.New("it ends too early")
	errChecksum  = errors.New("its checksum is wrong")
)

// FormatError says that a store is of another format than this program's.
type FormatError struct {
	File   string
	Format int
}

func (e *FormatError) Error() string {
	age := "newer"
	if e.Format < formatVersion {
		age = "older"
	}
	return fmt.Sprintf("%s has format %d, %s than this program's %d", e.File, e.Format, age, formatVersion)
}

func readSegmentHeader(file string, b []byte) (segmentHeader, error) {
	if len(b) < segmentHeaderSize {
		return segmentHeader{}, errTruncated
	}
	if string(b[:8]) != magic {
		return segmentHeader{}, errors.New("it is no file of a store")
	}
	if crc32.Checksum(b[:segmentHeaderSize-4], castagnoli) != binary.LittleEndian.Uint32(b[segmentHeaderSize-4:]) {
		return segmentHeader{}, errChecksum
	}
	if f := binary.LittleEndian.Uint16(b[8:]); f != formatVersion {
		return segmentHeader{}, &FormatError{file, int(f)}
	}
	return segmentHeader{binary.LittleEndian.Uint16(b[10:]) == 1, binary.LittleEndian.Uint64(b[12:]), binary.LittleEndian.Uint64(b[20:])}, nil
}

// appendFrame appends a commit's frame.
func appendFrame(b []byte, number, synced uint64, entries []entry) ([]byte, error) {
	body, err := cbor.Marshal(entries)
	if err != nil {
		return b, err
	}
	if len(body) > maxFrameBytes {
		return b, fmt.Errorf("%d bytes are more than a commit may have, %d", len(body), maxFrameBytes)
	}
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, synced)
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(b[from:], body))
	return append(b, body...), nil
}

func frameChecksum(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[:frameHeaderSize-4], castagnoli), castagnoli, body)
}

// frame is one that was read.
type frame struct {
	number  uint64
	synced  uint64
	entries []entry
	size    int // in the file
}

// readFrame reads the frame that begins a file's part. An error says why there is none.
func readFrame(b []byte) (f frame, err error) {
	if len(b) < frameHeaderSize {
		return f, errTruncated
	}
	if binary.LittleEndian.Uint32(b) != frameMark {
		return f, errors.New("no record begins here")
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes {
		return f, errors.New("its length makes no sense")
	}
	if len(b) < frameHeaderSize+n {
		return f, errTruncated
	}
	body := b[frameHeaderSize : frameHeaderSize+n]
	if frameChecksum(b, body) != binary.LittleEndian.Uint32(b[frameHeaderSize-4:]) {
		return f, errChecksum
	}
	if err := cbor.Unmarshal(body, &f.entries); err != nil {
		return f, fmt.Errorf("its entries can't be read: %w", err)
	}
	f.number, f.synced, f.size = binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), frameHeaderSize+n
	return f, nil
}

// nextFrame finds the first whole frame after the beginning of a file's part; -1 if there is none.
func nextFrame(b []byte) int {
	want := binary.LittleEndian.AppendUint32(nil, frameMark)
	for at := 1; ; {
		i := bytes.Index(b[min(at, len(b)):], want)
		if i < 0 {
			return -1
		}
		at += i
		if _, err := readFrame(b[at:]); err == nil {
			return at
		}
		at++
	}
}

// fileName is a segment's file's.
func (h segmentHeader) fileName() string {
	if h.merged {
		return fmt.Sprintf("%016x-%016x.log", h.first, h.last)
	}
	return fmt.Sprintf("%016x.log", h.first)
}

// parseSegmentName tells what the name of a segment's file says of it.
func parseSegmentName(name string) (h segmentHeader, ok bool) {
	text, ok := strings.CutSuffix(name, ".log")
	if !ok {
		return h, false
	}
	_, last, merged := strings.Cut(text, "-")
	if h.merged = merged; merged {
		_, err := fmt.Sscanf(text, "%016x-%016x", &h.first, &h.last)
		return h, err == nil && last != "" && h.fileName() == name
	}
	_, err := fmt.Sscanf(text, "%016x", &h.first)
	return h, err == nil && h.fileName() == name
}
