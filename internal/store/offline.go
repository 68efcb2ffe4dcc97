package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// inspect locks a store, reads its files, skipping damage, and calls use with the index.
// It does not change the files itself.
func inspect(dir FS, kinds []Kind, use func(*fileIndex) error) error {
	lock, err := dir.Lock()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { _ = lock.Close() }() // the lock is released even if Close returns an error
	index, err := load(dir, kinds, true)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer index.close()
	return use(index)
}

// Check reads all files of a store that no process has open, and reports all damage. It
// changes no records. The error may wrap ErrLocked or *FormatError.
func Check(dir FS, kinds []Kind) (report Report, err error) {
	err = inspect(dir, kinds, func(index *fileIndex) error {
		report = index.report
		return nil
	})
	return report, err
}

// Repair replaces the files of a store that no process has open by one file with all
// records that can be read. Changes in damaged data are lost: records that were
// overwritten or removed there reappear in their previous state. It changes nothing if
// there is no damage, torn tail or replaced file.
func Repair(dir FS, kinds []Kind) (before, after Report, err error) {
	err = inspect(dir, kinds, func(index *fileIndex) error {
		before = index.report
		if len(before.Damaged) == 0 && before.TornTail == nil && len(before.Replaced) == 0 {
			return nil
		}
		return index.replaceAll()
	})
	if err != nil {
		return before, after, err
	}
	after, err = Check(dir, kinds)
	return before, after, err
}

// replaceAll merges all records into one segment and removes the other segments.
func (x *fileIndex) replaceAll() error {
	last := x.nextNumber // the merged segment must cover the commits of all files, also of damaged ones
	for _, s := range x.segments {
		last = max(last, s.first, s.last)
	}
	if _, _, err := x.writeMerged(segmentHeader{merged: true, first: 1, last: last}); err != nil {
		return err
	}
	for _, s := range x.segments {
		if err := x.dir.Remove(s.name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	if err := x.removeLeftovers(); err != nil {
		return err
	}
	return x.dir.SyncDir()
}

// KindCount counts the live records of one kind.
type KindCount struct {
	Name    string
	Records int
	Bytes   int64     // approximate
	Oldest  time.Time // time at which the oldest record was put
}

// Count counts the records of a store that no process has open, by kind in the order of
// the kinds' names. Kinds without records are left out.
func Count(dir FS, kinds []Kind) (report Report, counts []KindCount, err error) {
	err = inspect(dir, kinds, func(index *fileIndex) error {
		report = index.report
		for name, table := range index.tables {
			if count := table.count(name); count.Records > 0 {
				counts = append(counts, count)
			}
		}
		slices.SortFunc(counts, func(a, b KindCount) int { return strings.Compare(a.Name, b.Name) })
		return nil
	})
	return report, counts, err
}

// count counts the records of a kind.
func (t *kindTable) count(name string) KindCount {
	count := KindCount{Name: name, Records: len(t.byKey)}
	for element := t.order.Back(); element != nil; element = element.Prev() {
		record := element.Value.(*location)
		count.Bytes += record.bytes
		count.Oldest = record.at
	}
	return count
}

// Dump writes the records of a store that no process has open as JSON, one per line: those
// of one kind in the order of their puts, or of all kinds, in no particular order of the
// kinds, if onlyKind is "".
func Dump(dir FS, kinds []Kind, onlyKind string, w io.Writer) error {
	return inspect(dir, kinds, func(index *fileIndex) error {
		for name := range index.tables {
			if onlyKind != "" && onlyKind != name {
				continue
			}
			if err := index.dumpKind(name, w); err != nil {
				return err
			}
		}
		return nil
	})
}

// dumpKind writes the records of one kind.
func (x *fileIndex) dumpKind(kind string, w io.Writer) error {
	var writeErr error
	err := x.each(kind, false, func(record Record) bool {
		var line []byte
		line, writeErr = record.jsonLine()
		if writeErr == nil {
			_, writeErr = fmt.Fprintf(w, "%s\n", line)
		}
		return writeErr == nil
	})
	if err != nil {
		return err
	}
	return writeErr
}

// jsonLine returns a record as JSON. A body that is not valid CBOR is in base64.
func (r *Record) jsonLine() ([]byte, error) {
	var body any = r.Body
	var decoded any
	if cbor.Unmarshal(r.Body, &decoded) == nil {
		body = jsonValue(decoded)
	}
	return json.Marshal(map[string]any{
		"kind": r.Kind, "key": r.Key, "at": r.At.UTC().Format(time.RFC3339Nano), "version": r.Version, "commit": r.CommitNumber, "body": body,
	})
}

// jsonValue converts the map keys of a decoded CBOR value to strings, as JSON requires.
func jsonValue(value any) any {
	switch value := value.(type) {
	case map[any]any:
		object := make(map[string]any, len(value))
		for key, member := range value {
			object[fmt.Sprint(key)] = jsonValue(member)
		}
		return object
	case []any:
		for i := range value {
			value[i] = jsonValue(value[i])
		}
	}
	return value
}

// Compact merges the files of a store that no process has open into one, which removes
// deleted, overwritten and expired records from the disk.
func Compact(dir FS, kinds []Kind) (before, after Report, err error) {
	s, before, err := Open(dir, Options{Kinds: kinds})
	if err != nil {
		return before, after, err
	}
	if err := s.Compact(); err != nil {
		_ = s.Close()
		return before, after, fmt.Errorf("store: %w", err)
	}
	if err := s.Close(); err != nil {
		return before, after, err
	}
	after, err = Check(dir, kinds)
	return before, after, err
}
