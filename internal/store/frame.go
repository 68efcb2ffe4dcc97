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
	format    = 1
	magic     = "lockstor"
	headSize  = 8 + 2 + 2 + 8 + 8 + 4
	frameHead = 4 + 4 + 8 + 8 + 4
	mark      = 0x7e53a9c1
	frameMost = 16 << 20 // bytes of a commit's entries: what is learnt of 20,000 servers. Memory is taken by what one has
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
	Gone    bool // there is no such record from here on
}

type head struct {
	merged      bool
	first, last uint64 // last: of a merged segment
}

func (h head) append(b []byte) []byte {
	from := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, format)
	m := uint16(0)
	if h.merged {
		m = 1
	}
	b = binary.LittleEndian.AppendUint16(b, m)
	b = binary.LittleEndian.AppendUint64(b, h.first)
	b = binary.LittleEndian.AppendUint64(b, h.last)
	return append(b, appendSum(b[from:])...)
}

func appendSum(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli))
}

var (
	errShort = errors.New("it ends too early")
	errCRC   = errors.New("its checksum is wrong")
)

// FormatError says that a store is of another format than this program's.
type FormatError struct {
	File   string
	Format int
}

func (e *FormatError) Error() string {
	age := "newer"
	if e.Format < format {
		age = "older"
	}
	return fmt.Sprintf("%s has format %d, %s than this program's %d", e.File, e.Format, age, format)
}

func readHead(file string, b []byte) (head, error) {
	if len(b) < headSize {
		return head{}, errShort
	}
	if string(b[:8]) != magic {
		return head{}, errors.New("it is no file of a store")
	}
	if crc32.Checksum(b[:headSize-4], castagnoli) != binary.LittleEndian.Uint32(b[headSize-4:]) {
		return head{}, errCRC
	}
	if f := binary.LittleEndian.Uint16(b[8:]); f != format {
		return head{}, &FormatError{file, int(f)}
	}
	return head{binary.LittleEndian.Uint16(b[10:]) == 1, binary.LittleEndian.Uint64(b[12:]), binary.LittleEndian.Uint64(b[20:])}, nil
}

// appendFrame appends a commit's frame.
func appendFrame(b []byte, number, synced uint64, entries []entry) ([]byte, error) {
	body, err := cbor.Marshal(entries)
	if err != nil {
		return b, err
	}
	if len(body) > frameMost {
		return b, fmt.Errorf("%d bytes are more than a commit may have, %d", len(body), frameMost)
	}
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, mark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, synced)
	b = binary.LittleEndian.AppendUint32(b, sum(b[from:], body))
	return append(b, body...), nil
}

func sum(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[:frameHead-4], castagnoli), castagnoli, body)
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
	if len(b) < frameHead {
		return f, errShort
	}
	if binary.LittleEndian.Uint32(b) != mark {
		return f, errors.New("no record begins here")
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > frameMost {
		return f, errors.New("its length makes no sense")
	}
	if len(b) < frameHead+n {
		return f, errShort
	}
	body := b[frameHead : frameHead+n]
	if sum(b, body) != binary.LittleEndian.Uint32(b[frameHead-4:]) {
		return f, errCRC
	}
	if err := cbor.Unmarshal(body, &f.entries); err != nil {
		return f, fmt.Errorf("its entries can't be read: %w", err)
	}
	f.number, f.synced, f.size = binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), frameHead+n
	return f, nil
}

// nextFrame finds the first whole frame after the beginning of a file's part; -1 if there is none.
func nextFrame(b []byte) int {
	want := binary.LittleEndian.AppendUint32(nil, mark)
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

// name is a segment's file's.
func (h head) name() string {
	if h.merged {
		return fmt.Sprintf("%016x-%016x.log", h.first, h.last)
	}
	return fmt.Sprintf("%016x.log", h.first)
}

// ofName tells what the name of a segment's file says of it.
func ofName(name string) (h head, ok bool) {
	text, ok := strings.CutSuffix(name, ".log")
	if !ok {
		return h, false
	}
	_, last, merged := strings.Cut(text, "-")
	if h.merged = merged; merged {
		_, err := fmt.Sscanf(text, "%016x-%016x", &h.first, &h.last)
		return h, err == nil && last != "" && h.name() == name
	}
	_, err := fmt.Sscanf(text, "%016x", &h.first)
	return h, err == nil && h.name() == name
}
