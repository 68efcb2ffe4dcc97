package store

import (
	"container/list"
	"errors"
	"time"
)

// entryOverhead is the approximate encoded size of a record in addition to its kind,
// key and body, as counted in liveBytes.
const entryOverhead = 24

// segment is an open segment file.
type segment struct {
	segmentHeader
	name string
	file File
	size int64
}

// location is the position of a live record in the files.
type location struct {
	kind, key string
	at        time.Time
	version   uint
	number    uint64 // number of the commit that put it
	segment   *segment
	offset    int64 // of its frame
	frameSize int
	position  int           // index of its entry in the frame
	bytes     int64         // approximate size
	element   *list.Element // in the order of its kindTable
}

// kindTable holds the locations of a kind's records.
type kindTable struct {
	Kind
	byKey map[string]*location
	order *list.List // of *location, in the order of their last put
}

func newKindTable(kind Kind) *kindTable {
	return &kindTable{Kind: kind, byKey: make(map[string]*location), order: list.New()}
}

// fileIndex is the in-memory index of a store's files: the location of each live record.
type fileIndex struct {
	dir          FS
	tables       map[string]*kindTable // by kind
	segments     []*segment            // in commit order; the last is appended to unless it is merged
	nextNumber   uint64                // of the next commit
	syncedNumber uint64                // number of the last synced commit, according to the files
	totalBytes   int64                 // of all files
	liveBytes    int64                 // of the live records, approximate
	report       Report
}

func newFileIndex(dir FS, kinds []Kind) *fileIndex {
	x := &fileIndex{dir: dir, tables: make(map[string]*kindTable), nextNumber: 1}
	for _, kind := range kinds {
		x.tables[kind.Name] = newKindTable(kind)
	}
	return x
}

// apply updates the index with the entries of a frame at an offset of a segment.
func (x *fileIndex) apply(s *segment, offset int64, f frame) {
	for i, e := range f.entries {
		if x.tables[e.Kind] == nil { // a kind of another program version: keep its records without limits
			x.tables[e.Kind] = newKindTable(Kind{Name: e.Kind})
		}
		x.remove(x.tables[e.Kind].byKey[e.Key])
		if e.Deleted {
			continue
		}
		x.insert(&location{
			kind: e.Kind, key: e.Key, at: time.UnixMilli(e.At), version: e.Version, number: f.number,
			segment: s, offset: offset, frameSize: f.size, position: i,
			bytes: int64(len(e.Kind) + len(e.Key) + len(e.Body) + entryOverhead),
		})
	}
}

func (x *fileIndex) insert(record *location) {
	table := x.tables[record.kind]
	table.byKey[record.key] = record
	record.element = table.order.PushBack(record)
	x.liveBytes += record.bytes
}

// remove removes a record from the index. It does nothing for nil.
func (x *fileIndex) remove(record *location) {
	if record == nil {
		return
	}
	table := x.tables[record.kind]
	delete(table.byKey, record.key)
	table.order.Remove(record.element)
	x.liveBytes -= record.bytes
}

// applyRetention removes the records that exceed the maximum number or age of their
// kind from the index, the oldest first.
func (x *fileIndex) applyRetention(now time.Time) {
	for _, table := range x.tables {
		for oldest := table.order.Front(); oldest != nil; oldest = table.order.Front() {
			record := oldest.Value.(*location)
			tooMany := table.MaxRecords > 0 && len(table.byKey) > table.MaxRecords
			tooOld := table.Retention > 0 && now.Sub(record.at) > table.Retention
			if !tooMany && !tooOld {
				break
			}
			x.remove(record)
		}
	}
}

// readEntry reads the entry of a record from its file. Its error is a *DamageError.
func (x *fileIndex) readEntry(record *location) (entry, error) {
	data := make([]byte, record.frameSize)
	if n, err := record.segment.file.ReadAt(data, record.offset); n < len(data) {
		return entry{}, record.damage(err)
	}
	f, err := readFrame(data)
	if err != nil {
		return entry{}, record.damage(err)
	}
	if record.position >= len(f.entries) || f.entries[record.position].Key != record.key || f.entries[record.position].Kind != record.kind {
		return entry{}, record.damage(errors.New("frame does not contain the expected record"))
	}
	return f.entries[record.position], nil
}

// damage wraps an error in a *DamageError with the position of the record's frame.
func (l *location) damage(err error) *DamageError {
	return &DamageError{File: l.segment.name, Offset: l.offset, Err: err}
}

// readRecord reads a record from its file. Its error is a *DamageError.
func (x *fileIndex) readRecord(record *location) (Record, error) {
	e, err := x.readEntry(record)
	change := Change{Kind: record.kind, Key: record.key, At: record.at, Version: record.version, Body: e.Body}
	return Record{Change: change, CommitNumber: record.number}, err
}

// each implements Store.Each.
func (x *fileIndex) each(kind string, newestFirst bool, visit func(Record) bool) error {
	table := x.tables[kind]
	if table == nil {
		return nil
	}
	element, next := table.order.Front(), (*list.Element).Next
	if newestFirst {
		element, next = table.order.Back(), (*list.Element).Prev
	}
	for ; element != nil; element = next(element) {
		record, err := x.readRecord(element.Value.(*location))
		if err != nil {
			return err
		}
		if !visit(record) {
			break
		}
	}
	return nil
}

// close closes the files.
func (x *fileIndex) close() {
	for _, s := range x.segments {
		_ = s.file.Close() // its data was synced before
	}
	x.segments = nil
}
