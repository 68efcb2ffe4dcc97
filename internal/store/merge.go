package store

import (
	"cmp"
	"errors"
	"slices"
)

// minMergeBytes is the size of all files below which they are not merged.
const minMergeBytes = 256 << 10

// temporarySuffix ends the name of a file that is not complete.
const temporarySuffix = ".tmp"

// mergeIfWasteful merges the files where they hold too much that is no longer
// wanted. If the merge fails, it has logged so.
func (s *Store) mergeIfWasteful() {
	if s.index.totalBytes > minMergeBytes && s.index.totalBytes > 2*s.index.liveBytes+maxSegmentBytes/8 {
		_ = s.merge(false)
	}
}

// merge writes what is still wanted to one segment, in place of all. Not wanted
// are records that were removed, put again, or are retained no longer. Unless
// forced, files that are small, or half of which is wanted, are left as they are.
func (s *Store) merge(force bool) error {
	if s.broken || !force && (s.index.totalBytes <= minMergeBytes || s.index.totalBytes <= 2*s.index.liveBytes) {
		return nil
	}
	if err := s.syncSegment(); err != nil {
		return err
	}
	previous := s.index.segments
	header := segmentHeader{merged: true, first: previous[0].first, last: s.index.nextNumber - 1}
	if header.last < header.first {
		return nil // nothing was ever committed
	}
	merged, relocations, err := s.index.writeMerged(header)
	if err != nil {
		var damage *DamageError
		if errors.As(err, &damage) {
			return s.markBroken(err)
		}
		return s.diskFailed(err)
	}
	s.useMerged(merged, relocations)
	for _, replaced := range previous {
		_ = replaced.file.Close()
		if replaced.name != merged.name { // one that stays is passed over at the next start
			_ = s.folder.Remove(replaced.name)
		}
	}
	if err := s.addSegment(); err != nil {
		return s.diskFailed(err)
	}
	return nil
}

// useMerged makes the index refer to a merged segment.
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

// relocation is where a record is in a merged segment.
type relocation struct {
	location  *location
	offset    int64 // of its frame
	frameSize int
	position  int // in the frame
}

// mergeWriter writes a merged segment.
type mergeWriter struct {
	index       *fileIndex
	segment     *segment
	relocations []relocation
}

// writeMerged writes all records to a merged segment, which has its name only
// once it is complete and synced.
func (x *fileIndex) writeMerged(header segmentHeader) (_ *segment, _ []relocation, err error) {
	w := &mergeWriter{index: x, segment: &segment{segmentHeader: header, name: header.fileName()}}
	temporary := w.segment.name + temporarySuffix
	if w.segment.file, err = x.folder.Create(temporary); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = w.segment.file.Close()
			_ = x.folder.Remove(temporary)
		}
	}()
	if err = w.writeAll(); err != nil {
		return nil, nil, err
	}
	if err = w.segment.file.Sync(); err != nil {
		return nil, nil, err
	}
	if err = x.folder.Rename(temporary, w.segment.name); err != nil {
		return nil, nil, err
	}
	if err = x.folder.SyncDir(); err != nil {
		return nil, nil, err
	}
	return w.segment, w.relocations, nil
}

// writeAll writes the header, a frame for each commit that has records, and the
// frame that ends a merged segment. A commit's records stay together: one of
// several records is there as a whole whenever the merge is read.
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

// writeCommit writes the records of one commit.
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

// writeFrame writes a frame, whose entries are the last relocations.
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

// inCommitOrder returns the locations of all records in the order in which they
// were committed.
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
