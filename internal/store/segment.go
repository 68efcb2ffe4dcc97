package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// A store is a sequence of segment files. Each begins with a header:
//
//	"lockstor"  format u16  merged u16  first u64  last u64  crc u32
//
// which is followed by frames (see frameHeaderSize). Integers are little-endian. The
// crc is a CRC-32C of the whole header except itself. A plain segment holds all commits
// from number first on. A merged segment replaces the segments with the commits first
// to last: it holds the records of them that were live at the merge, and ends with a
// frame without entries whose number is last.
const (
	formatVersion     = 1
	magic             = "lockstor"
	magicSize         = 8
	segmentHeaderSize = magicSize + 2 + 2 + 8 + 8 + checksumSize
	checksumSize      = 4

	segmentSuffix = ".log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTruncated = errors.New("truncated")
	errChecksum  = errors.New("checksum mismatch")
)

// FormatError is returned for a file whose format version this program does not support.
type FormatError struct {
	File   string
	Format int
}

func (e *FormatError) Error() string {
	age := "newer"
	if e.Format < formatVersion {
		age = "older"
	}
	return fmt.Sprintf("%s has format version %d, %s than this program's version %d", e.File, e.Format, age, formatVersion)
}

// segmentHeader says which commits a segment holds. The name of its file repeats it.
type segmentHeader struct {
	merged      bool
	first, last uint64 // commit numbers; last is 0 in a plain segment
}

// appendTo appends the encoded header.
func (h segmentHeader) appendTo(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint16(buffer, formatVersion)
	merged := uint16(0)
	if h.merged {
		merged = 1
	}
	buffer = binary.LittleEndian.AppendUint16(buffer, merged)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.first)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.last)
	return append(buffer, checksum(buffer[start:])...)
}

// checksum returns the encoded CRC-32C of data.
func checksum(data []byte) []byte {
	return binary.LittleEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli))
}

// readSegmentHeader decodes the header at the start of a file's data. Its error is a
// *FormatError for another format version.
func readSegmentHeader(file string, data []byte) (segmentHeader, error) {
	if len(data) < segmentHeaderSize {
		return segmentHeader{}, errTruncated
	}
	if string(data[:magicSize]) != magic {
		return segmentHeader{}, errors.New("not a segment file")
	}
	checked := segmentHeaderSize - checksumSize
	if crc32.Checksum(data[:checked], castagnoli) != binary.LittleEndian.Uint32(data[checked:]) {
		return segmentHeader{}, errChecksum
	}
	if format := binary.LittleEndian.Uint16(data[8:]); format != formatVersion {
		return segmentHeader{}, &FormatError{File: file, Format: int(format)}
	}
	return segmentHeader{
		merged: binary.LittleEndian.Uint16(data[10:]) == 1,
		first:  binary.LittleEndian.Uint64(data[12:]),
		last:   binary.LittleEndian.Uint64(data[20:]),
	}, nil
}

// fileName returns the name of the segment's file.
func (h segmentHeader) fileName() string {
	if h.merged {
		return fmt.Sprintf("%016x-%016x%s", h.first, h.last, segmentSuffix)
	}
	return fmt.Sprintf("%016x%s", h.first, segmentSuffix)
}

// parseSegmentName returns the header that a file's name encodes; valid is false if it
// is not the name of a segment file.
func parseSegmentName(name string) (header segmentHeader, valid bool) {
	numbers, valid := strings.CutSuffix(name, segmentSuffix)
	if !valid {
		return header, false
	}
	_, last, merged := strings.Cut(numbers, "-")
	header.merged = merged
	if merged {
		_, err := fmt.Sscanf(numbers, "%016x-%016x", &header.first, &header.last)
		return header, err == nil && last != "" && header.fileName() == name
	}
	_, err := fmt.Sscanf(numbers, "%016x", &header.first)
	return header, err == nil && header.fileName() == name
}
