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

// inspect calls use with the index of a store that no process has open. It
// writes nothing itself.
func inspect(folder FS, kinds []Kind, use func(*fileIndex) error) error {
	lock, err := folder.Lock()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { _ = lock.Close() }() // closing releases the lock, whatever it returns
	index, err := load(folder, kinds, true)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer index.close()
	return use(index)
}

// Check reads all of a store that no process has open, and reports all damage. It
// writes nothing. The error wraps ErrLocked or *FormatError where that is the
// cause.
func Check(folder FS, kinds []Kind) (report Report, err error) {
	err = inspect(folder, kinds, func(index *fileIndex) error {
		report = index.report
		return nil
	})
	return report, err
}

// Repair writes what can be read of a store that no process has open to one new
// file, in place of all. What was damaged is lost, and records that were put
// again or removed in what was damaged are as they were before. It does nothing
// to a store without damage.
func Repair(folder FS, kinds []Kind) (before, after Report, err error) {
	err = inspect(folder, kinds, func(index *fileIndex) error {
		before = index.report
		if len(before.Damaged) == 0 && before.TornTail == nil && len(before.Replaced) == 0 {
			return nil
		}
		return index.replaceAll()
	})
	if err != nil {
		return before, after, err
	}
	after, err = Check(folder, kinds)
	return before, after, err
}

// replaceAll merges all records to one segment and removes all other files.
func (x *fileIndex) replaceAll() error {
	last := x.nextNumber // the merged segment's name covers all that the files there are named for
	for _, s := range x.segments {
		last = max(last, s.first, s.last)
	}
	if _, _, err := x.writeMerged(segmentHeader{merged: true, first: 1, last: last}); err != nil {
		return err
	}
	for _, s := range x.segments {
		if err := x.folder.Remove(s.name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	if err := x.removeLeftovers(); err != nil {
		return err
	}
	return x.folder.SyncDir()
}

// KindCount is what a store holds of a kind.
type KindCount struct {
	Name    string
	Records int
	Bytes   int64     // of the records, about
	Oldest  time.Time // when the record that was not put for longest was put
}

// Count returns what a store that no process has open holds, by kind in the order
// of their names.
func Count(folder FS, kinds []Kind) (report Report, counts []KindCount, err error) {
	err = inspect(folder, kinds, func(index *fileIndex) error {
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

// Dump writes the records of a store that no process has open, a line of JSON
// each, in the order in which they were put: those of one kind, or of all if
// onlyKind is "".
func Dump(folder FS, kinds []Kind, onlyKind string, w io.Writer) error {
	return inspect(folder, kinds, func(index *fileIndex) error {
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

// dumpKind writes the records of a kind.
func (x *fileIndex) dumpKind(kind string, w io.Writer) error {
	var failed error
	err := x.each(kind, false, func(record Record) bool {
		var line []byte
		line, failed = record.jsonLine()
		if failed == nil {
			_, failed = fmt.Fprintf(w, "%s\n", line)
		}
		return failed == nil
	})
	if err != nil {
		return err
	}
	return failed
}

// jsonLine returns a record in JSON; a body that is no CBOR is in base64.
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

// jsonValue returns a decoded value with the keys of its maps as text, as JSON
// requires.
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

// Compact merges the files of a store that no process has open into one, so that
// nothing that was removed or is retained no longer is left in them.
func Compact(folder FS, kinds []Kind) (before, after Report, err error) {
	s, before, err := Open(folder, Options{Kinds: kinds})
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
	after, err = Check(folder, kinds)
	return before, after, err
}
