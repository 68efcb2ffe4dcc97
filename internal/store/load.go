package store

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"time"
)

// DamageError reports data of a file that can't be read and is not a torn tail: commits
// that were reported as durable may be lost.
type DamageError struct {
	File   string
	Offset int64 // in bytes, where the damaged data begins
	Err    error
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", d.File, d.Offset, d.Err)
}

func (d *DamageError) Unwrap() error { return d.Err }

// TornTail is an incomplete end of the last file after a crash. No commit in it was
// reported as synced.
type TornTail struct {
	File   string
	Offset int64 // in bytes
	Bytes  int64
}

// Report is the result of reading a store's files.
type Report struct {
	Records   int
	Commits   uint64 // number of the last commit
	Files     int
	Bytes     int64
	LiveBytes int64 // of live records, approximate; the rest is removed by a merge
	TornTail  *TornTail
	Damaged   []*DamageError // damaged data that was skipped; empty after Open, which fails instead
	Replaced  []string       // obsolete files that a merged one replaced, left behind by a crash
	Duration  time.Duration
}

// readAll returns the content of a file.
func readAll(file File) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	n, err := file.ReadAt(data, 0)
	if n == len(data) {
		return data, nil
	}
	return nil, err
}

// load reads the files of a store and builds its index. With salvage it skips damaged
// data and lists it in the report; otherwise it returns the first *DamageError.
func load(dir FS, kinds []Kind, salvage bool) (*fileIndex, error) {
	startedAt := time.Now()
	x := newFileIndex(dir, kinds)
	if err := x.readSegments(salvage); err != nil {
		x.close()
		return nil, err
	}
	x.applyRetention(time.Now())
	for _, table := range x.tables {
		x.report.Records += len(table.byKey)
	}
	x.report.Commits, x.report.Files = x.nextNumber-1, len(x.segments)
	x.report.Bytes, x.report.LiveBytes = x.totalBytes, x.liveBytes
	x.report.Duration = time.Since(startedAt)
	return x, nil
}

// readSegments reads the segments in commit order, except those that a merged segment
// replaced.
func (x *fileIndex) readSegments(salvage bool) error {
	headers, err := segmentHeaders(x.dir)
	if err != nil {
		return err
	}
	covered := uint64(0) // number of the last commit in the merged segments read so far
	for i, header := range headers {
		if header.first <= covered {
			x.report.Replaced = append(x.report.Replaced, header.fileName())
			continue
		}
		if header.merged {
			covered = header.last
		}
		last := !slices.ContainsFunc(headers[i+1:], func(later segmentHeader) bool { return later.first > covered })
		damages, err := x.readSegment(header, last && !header.merged, salvage)
		if err != nil {
			return err
		}
		x.report.Damaged = append(x.report.Damaged, damages...)
		if len(damages) > 0 && !salvage {
			return damages[0]
		}
	}
	return nil
}

// segmentHeaders returns the headers that the names of the segment files encode, in the
// order of their first commit. Of segments with the same first commit, the one with the
// most commits comes first.
func segmentHeaders(dir FS) ([]segmentHeader, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	headers := make([]segmentHeader, 0, len(names))
	for _, name := range names {
		if header, valid := parseSegmentName(name); valid {
			headers = append(headers, header)
		}
	}
	slices.SortFunc(headers, func(a, b segmentHeader) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(b.last, a.last))
	})
	return headers, nil
}

// segmentReader reads one segment into an index.
type segmentReader struct {
	index    *fileIndex
	segment  *segment
	data     []byte
	last     bool // the segment is the last one and not merged, so its tail may be torn
	salvage  bool // continue after damaged data
	complete bool // the final frame of a merged segment was read
	damages  []*DamageError
}

// readSegment reads a segment into the index. Only the last segment may have a torn tail.
func (x *fileIndex) readSegment(header segmentHeader, last, salvage bool) ([]*DamageError, error) {
	r := &segmentReader{index: x, last: last, salvage: salvage}
	if err := r.open(header); err != nil {
		return nil, err
	}
	if header.first != x.nextNumber {
		r.addDamage(0, fmt.Errorf("commits %d to %d are missing", x.nextNumber, header.first-1))
	}
	x.nextNumber = header.first // commits keep their numbers, even if earlier ones are missing
	start, err := r.readHeader()
	if err != nil {
		return r.damages, err
	}
	r.readFrames(start)
	r.finish()
	return r.damages, nil
}

// open opens the segment's file, adds the segment to the index, and reads the file.
func (r *segmentReader) open(header segmentHeader) error {
	name := header.fileName()
	file, err := r.index.dir.Open(name)
	if err != nil {
		return err
	}
	r.segment = &segment{segmentHeader: header, name: name, file: file}
	r.index.segments = append(r.index.segments, r.segment)
	if r.data, err = readAll(file); err != nil {
		return err
	}
	r.segment.size = int64(len(r.data))
	r.index.totalBytes += r.segment.size
	return nil
}

func (r *segmentReader) addDamage(offset int, err error) {
	r.damages = append(r.damages, &DamageError{File: r.segment.name, Offset: int64(offset), Err: err})
}

// readHeader checks the segment's header and returns the offset of its first frame, or
// the end of the file if there are no readable frames. Its error is a *FormatError.
func (r *segmentReader) readHeader() (start int, err error) {
	header, err := readSegmentHeader(r.segment.name, r.data)
	var otherFormat *FormatError
	if errors.As(err, &otherFormat) {
		return 0, err
	}
	if err == nil && header != r.segment.segmentHeader {
		err = errors.New("header does not match the file name")
	}
	if err == nil {
		return segmentHeaderSize, nil
	}
	if r.last && len(r.data) <= segmentHeaderSize { // the header is synced before frames are written
		r.cutTornTail(0)
		return len(r.data), nil
	}
	r.addDamage(0, err)
	if nextFrame(r.data) < 0 {
		return len(r.data), nil
	}
	return min(segmentHeaderSize, len(r.data)), nil
}

// cutTornTail excludes the torn tail from an offset on. The file itself is truncated
// when the store is opened for writing.
func (r *segmentReader) cutTornTail(offset int) {
	bytes := r.segment.size - int64(offset)
	r.index.report.TornTail = &TornTail{File: r.segment.name, Offset: int64(offset), Bytes: bytes}
	r.index.totalBytes -= bytes
	r.segment.size = int64(offset)
	r.data = r.data[:offset]
}

// readFrames reads frames from an offset to the end of the file. Without salvage it stops
// at damaged data.
func (r *segmentReader) readFrames(offset int) {
	for offset < len(r.data) {
		f, err := r.readFrameAt(offset)
		if err == nil {
			r.applyFrame(offset, f)
			offset += f.size
			continue
		}
		if r.last && r.index.isTornTail(r.data, offset) {
			r.cutTornTail(offset)
			return
		}
		r.addDamage(offset, err)
		skipped := nextFrame(r.data[offset:])
		if !r.salvage || skipped < 0 {
			return
		}
		offset += skipped
		if f, _ := readFrame(r.data[offset:]); !r.segment.merged && f.number > r.index.nextNumber {
			r.index.nextNumber = f.number
		}
	}
}

// readFrameAt reads the frame at an offset, and checks that its number is the expected
// one.
func (r *segmentReader) readFrameAt(offset int) (frame, error) {
	f, err := readFrame(r.data[offset:])
	if err != nil {
		return f, err
	}
	if r.complete {
		return f, errors.New("data after the final frame of a merged segment")
	}
	belongs := f.number == r.index.nextNumber
	if r.segment.merged {
		belongs = f.number >= r.segment.first && f.number <= r.segment.last
	}
	if !belongs {
		return f, fmt.Errorf("commit %d found where commit %d is expected", f.number, r.index.nextNumber)
	}
	return f, nil
}

// applyFrame updates the index with a frame.
func (r *segmentReader) applyFrame(offset int, f frame) {
	r.index.apply(r.segment, int64(offset), f)
	if r.segment.merged {
		r.complete = len(f.entries) == 0
		return
	}
	r.index.nextNumber, r.index.syncedNumber = f.number+1, max(r.index.syncedNumber, f.synced)
}

// finish updates the index at the end of the segment. A merged segment without its final
// frame is damaged.
func (r *segmentReader) finish() {
	switch {
	case r.segment.merged:
		if !r.complete && len(r.damages) == 0 {
			r.addDamage(len(r.data), errTruncated)
		}
		r.index.nextNumber = r.segment.segmentHeader.last + 1
	case !r.last:
		r.index.syncedNumber = r.index.nextNumber - 1 // a segment is synced before the next one is created
	}
}

// isTornTail reports whether unreadable data at an offset of the last file may be a torn
// tail: no later frame says that the commit expected there was synced.
func (x *fileIndex) isTornTail(data []byte, offset int) bool {
	for rest := data[offset:]; ; {
		next := nextFrame(rest)
		if next < 0 {
			return true
		}
		rest = rest[next:]
		if f, err := readFrame(rest); err == nil && f.synced >= x.nextNumber {
			return false
		}
	}
}

// removeLeftovers removes files that a crash left behind: temporary files, and segments
// that a merged one replaced.
func (x *fileIndex) removeLeftovers() error {
	names, err := x.dir.List()
	if err != nil {
		return err
	}
	leftovers := slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, temporarySuffix) })
	for _, name := range append(leftovers, x.report.Replaced...) {
		if err := x.dir.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
