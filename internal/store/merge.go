package store

import (
	"cmp"
	"errors"
	"slices"
)

// minMergeBytes is the total size of the files up to which they are not merged, unless
// forced.
const minMergeBytes = 256 << 10

// temporarySuffix is the suffix of a file that is not complete yet.
const temporarySuffix = ".tmp"

// mergeIfWasteful merges the files if more than about half of them is obsolete. It ignores
// the error, which merge records.
func (s *Store) mergeIfWasteful() {
	if s.index.totalBytes > minMergeBytes && s.index.totalBytes > 2*s.index.liveBytes+maxSegmentBytes/8 {
		_ = s.merge(false)
	}
}

// merge replaces all segments by one with the live records only. Records that were
// removed, overwritten or have exceeded their retention are dropped. Unless forced, it
// does nothing if the files are small, or if at least half of them is live.
func (s *Store) merge(force bool) error {
	if s.broken || !force && (s.index.totalBytes <= minMergeBytes || s.index.totalBytes <= 2*s.index.liveBytes) {
		return nil
	}
	if err := s.syncAndComplete(); err != nil {
		return err
	}
	previous := s.index.segments
	header := segmentHeader{merged: true, first: previous[0].first, last: s.index.nextNumber - 1}
	if header.last < header.first {
		return nil // there are no commits
	}
	merged, relocations, err := s.index.writeMerged(header)
	if err != nil {
		var damage *DamageError
		if errors.As(err, &damage) {
			return s.markBroken(err)
		}
		return s.recordDiskError(err)
	}
	s.useMerged(merged, relocations)
	for _, replaced := range previous {
		_ = replaced.file.Close()
		if replaced.name != merged.name { // a file that remains is skipped and removed when the store is opened
			_ = s.dir.Remove(replaced.name)
		}
	}
	if err := s.addSegment(); err != nil {
		return s.recordDiskError(err)
	}
	return nil
}

// useMerged makes the index refer to the merged segment.
func (s *Store) useMerged(merged *segment, relocations []relocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, moved := range relocations {
		record := moved.location
		record.segment, record.offset, record.frameSize, record.position = merged, moved.offset, moved.frameSize, moved.position
	}
	s.index.segments = []*segment{merged}
	s.index.totalBytes = merged.size
	s.merges++
}

// relocation is the new location of a record in a merged segment.
type relocation struct {
	location  *location
	offset    int64 // of its frame
	frameSize int
	position  int // index of its entry in the frame
}

// mergeWriter writes a merged segment.
type mergeWriter struct {
	index       *fileIndex
	segment     *segment
	relocations []relocation
}

// writeMerged writes all live records to a merged segment. The file has a temporary name
// until it is complete and synced.
func (x *fileIndex) writeMerged(header segmentHeader) (_ *segment, _ []relocation, err error) {
	w := &mergeWriter{index: x, segment: &segment{segmentHeader: header, name: header.fileName()}}
	temporary := w.segment.name + temporarySuffix
	if w.segment.file, err = x.dir.Create(temporary); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = w.segment.file.Close()
			_ = x.dir.Remove(temporary)
		}
	}()
	if err = w.writeAll(); err != nil {
		return nil, nil, err
	}
	if err = w.segment.file.Sync(); err != nil {
		return nil, nil, err
	}
	if err = x.dir.Rename(temporary, w.segment.name); err != nil {
		return nil, nil, err
	}
	if err = x.dir.SyncDir(); err != nil {
		return nil, nil, err
	}
	return w.segment, w.relocations, nil
}

// writeAll writes the header, a frame for each commit that has live records, and the
// final frame. The records of a commit stay in one frame, so that reading the merged
// segment keeps commits atomic.
func (w *mergeWriter) writeAll() error {
	if err := w.write(w.segment.appendTo(nil)); err != nil {
		return err
	}
	for records := w.index.inCommitOrder(); len(records) > 0; {
		n := 1
		for n < len(records) && records[n].number == records[0].number {
			n++
		}
		if err := w.writeCommit(records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return w.writeFrame(w.segment.last, nil)
}

// writeCommit writes a frame with the live records of one commit.
func (w *mergeWriter) writeCommit(records []*location) error {
	var entries []entry
	for position, record := range records {
		e, err := w.index.readEntry(record)
		if err != nil {
			return err
		}
		entries = append(entries, e)
		w.relocations = append(w.relocations, relocation{location: record, position: position})
	}
	return w.writeFrame(records[0].number, entries)
}

// writeFrame writes a frame, and sets the offset and size of the relocations of its
// entries, which are the last ones.
func (w *mergeWriter) writeFrame(number uint64, entries []entry) error {
	data, err := appendFrame(nil, number, w.segment.last, entries)
	if err != nil {
		return err
	}
	moved := w.relocations[len(w.relocations)-len(entries):]
	for i := range moved {
		moved[i].offset, moved[i].frameSize = w.segment.size, len(data)
	}
	return w.write(data)
}

func (w *mergeWriter) write(data []byte) error {
	_, err := w.segment.file.WriteAt(data, w.segment.size)
	w.segment.size += int64(len(data))
	return err
}

// inCommitOrder returns the locations of all live records in commit order.
func (x *fileIndex) inCommitOrder() []*location {
	var records []*location
	for _, table := range x.tables {
		for element := table.order.Front(); element != nil; element = element.Next() {
			records = append(records, element.Value.(*location))
		}
	}
	slices.SortFunc(records, func(a, b *location) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.position, b.position))
	})
	return records
}
