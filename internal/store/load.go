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

// DamageError is the error of a place in a store's file that can't be read and is no
// torn tail: a commit that was reported is not there.
type DamageError struct {
	File   string
	Offset int64 // in bytes
	Err    error
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", d.File, d.Offset, d.Err)
}

func (d *DamageError) Unwrap() error { return d.Err }

// TornTail is the end of the last file as a crash left it: no commit in it was
// reported as synced.
type TornTail struct {
	File   string
	Offset int64 // in bytes
	Bytes  int64
}

// Report says what opening a store found.
type Report struct {
	Records   int
	Commits   uint64 // the last one's number
	Files     int
	Bytes     int64
	LiveBytes int64 // of them, of records that are retained; a merge leaves these
	TornTail  *TornTail
	Damaged   []*DamageError // found by a check, or passed over by a repair
	Replaced  []string       // files in whose place a merged one is, left by a crash
	Duration  time.Duration
}

// readAll reads a file.
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

// load reads the files of a store. With salvage it passes over damage, which is
// in the report; otherwise the first *DamageError is the error.
func load(folder FS, kinds []Kind, salvage bool) (*fileIndex, error) {
	startedAt := time.Now()
	x := newFileIndex(folder, kinds)
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

// readSegments reads the segments in order, but those in whose place a merged
// one is.
func (x *fileIndex) readSegments(salvage bool) error {
	headers, err := segmentHeaders(x.folder)
	if err != nil {
		return err
	}
	covered := uint64(0) // the last commit that a merged segment stands for
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

// segmentHeaders returns what the names of a folder's segments say, in the order
// of the commits. Of those that begin at the same commit, the one that stands for
// most comes first.
func segmentHeaders(folder FS) ([]segmentHeader, error) {
	names, err := folder.List()
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
	last     bool // the segment is plain and the last of the chain: its end may be torn
	salvage  bool // frames after damage are read
	complete bool // the frame that ends a merged segment was read
	damages  []*DamageError
}

// readSegment reads a segment, whose end may be torn if it is the last.
func (x *fileIndex) readSegment(header segmentHeader, last, salvage bool) ([]*DamageError, error) {
	r := &segmentReader{index: x, last: last, salvage: salvage}
	if err := r.open(header); err != nil {
		return nil, err
	}
	if header.first != x.nextNumber {
		r.addDamage(0, fmt.Errorf("commits %d to %d are missing", x.nextNumber, header.first-1))
	}
	x.nextNumber = header.first // what an earlier file lost is no reason to number later commits anew
	start, err := r.readHeader()
	if err != nil {
		return r.damages, err
	}
	r.readFrames(start)
	r.finish()
	return r.damages, nil
}

// open opens the segment, adds it to the index, and reads its bytes.
func (r *segmentReader) open(header segmentHeader) error {
	name := header.fileName()
	file, err := r.index.folder.Open(name)
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

// readHeader checks the segment's header and returns where its frames start; the
// end of the file if there are none to be read. Its error is a *FormatError.
func (r *segmentReader) readHeader() (start int, err error) {
	header, err := readSegmentHeader(r.segment.name, r.data)
	var otherFormat *FormatError
	if errors.As(err, &otherFormat) {
		return 0, err
	}
	if err == nil && header != r.segment.segmentHeader {
		err = errors.New("header of another file")
	}
	if err == nil {
		return segmentHeaderSize, nil
	}
	if r.last && len(r.data) <= segmentHeaderSize { // the header is synced before anything else is written
		r.cutTornTail(0)
		return len(r.data), nil
	}
	r.addDamage(0, err)
	if nextFrame(r.data) < 0 {
		return len(r.data), nil
	}
	return min(segmentHeaderSize, len(r.data)), nil
}

// cutTornTail leaves the file's end from an offset on to be truncated, as a crash
// left it.
func (r *segmentReader) cutTornTail(offset int) {
	bytes := r.segment.size - int64(offset)
	r.index.report.TornTail = &TornTail{File: r.segment.name, Offset: int64(offset), Bytes: bytes}
	r.index.totalBytes -= bytes
	r.segment.size = int64(offset)
	r.data = r.data[:offset]
}

// readFrames reads frames from an offset to the end of the file, or to the first
// damage unless that is passed over.
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

// readFrameAt reads a frame, which has to be one that belongs there.
func (r *segmentReader) readFrameAt(offset int) (frame, error) {
	f, err := readFrame(r.data[offset:])
	if err != nil {
		return f, err
	}
	if r.complete {
		return f, errors.New("data after the last frame")
	}
	belongs := f.number == r.index.nextNumber
	if r.segment.merged {
		belongs = f.number >= r.segment.first && f.number <= r.segment.last
	}
	if !belongs {
		return f, fmt.Errorf("commit %d in place of commit %d", f.number, r.index.nextNumber)
	}
	return f, nil
}

// applyFrame enters a frame in the index.
func (r *segmentReader) applyFrame(offset int, f frame) {
	r.index.apply(r.segment, int64(offset), f)
	if r.segment.merged {
		r.complete = len(f.entries) == 0
		return
	}
	r.index.nextNumber, r.index.syncedNumber = f.number+1, max(r.index.syncedNumber, f.synced)
}

// finish notes what the end of the segment says.
func (r *segmentReader) finish() {
	switch {
	case r.segment.merged:
		if !r.complete && len(r.damages) == 0 {
			r.addDamage(len(r.data), errTruncated)
		}
		r.index.nextNumber = r.segment.segmentHeader.last + 1
	case !r.last:
		r.index.syncedNumber = r.index.nextNumber - 1 // a segment is synced before the next is begun
	}
}

// isTornTail reports whether what can't be read from an offset of the last file
// on may be a tail that a crash tore: whether no later frame says that what should
// be there was synced.
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

// removeLeftovers removes what a crash left: files that are not complete, and
// those in whose place a merged one is.
func (x *fileIndex) removeLeftovers() error {
	names, err := x.folder.List()
	if err != nil {
		return err
	}
	leftovers := slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, temporarySuffix) })
	for _, name := range append(leftovers, x.report.Replaced...) {
		if err := x.folder.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
