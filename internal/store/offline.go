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

// What is done to a store that no process has open: a look at all of it, and its repair.

// inspect calls do with a store's files as they stand. Nothing is written.
func inspect(folder FS, kinds []Kind, salvage bool, do func(*fileIndex) error) error {
	lock, err := folder.Lock()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { _ = lock.Close() }() // closing releases the lock, whatever it returns
	m, err := load(folder, kinds, salvage)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer m.close()
	return do(m)
}

// Check reads all of a store and tells all that is wrong with it.
func Check(folder FS, kinds []Kind) (r Report, err error) {
	err = inspect(folder, kinds, true, func(m *fileIndex) error { r = m.report; return nil })
	return r, err
}

// Repair writes what can be read of a store to one new file, in place of all. What was damaged is
// lost, and records that were put again or removed in what was damaged are as they were before.
func Repair(folder FS, kinds []Kind) (before, after Report, err error) {
	err = inspect(folder, kinds, true, func(m *fileIndex) error {
		before = m.report
		if len(before.Damaged) == 0 && before.TornTail == nil && len(before.Replaced) == 0 {
			return nil
		}
		// Its name stands for all that the files there are named for.
		last := m.nextNumber
		for _, s := range m.segments {
			last = max(last, s.first, s.last)
		}
		if _, _, err := m.writeMerged(segmentHeader{merged: true, first: 1, last: last}); err != nil {
			return err
		}
		for _, s := range m.segments {
			if err := m.folder.Remove(s.name); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		if err := m.removeLeftovers(); err != nil {
			return err
		}
		return m.folder.SyncDir()
	})
	if err != nil {
		return before, after, err
	}
	after, err = Check(folder, kinds)
	return before, after, err
}

// KindCount is what a store holds of a kind.
type KindCount struct {
	Name    string
	Records int
	Bytes   int64
	Oldest  time.Time // last put
}

// Count tells what a store holds.
func Count(folder FS, kinds []Kind) (r Report, all []KindCount, err error) {
	err = inspect(folder, kinds, true, func(m *fileIndex) error {
		r = m.report
		for name, t := range m.tables {
			c := KindCount{Name: name, Records: len(t.byKey)}
			for e := t.order.Back(); e != nil; e = e.Prev() {
				s := e.Value.(*location)
				c.Bytes += s.bytes
				c.Oldest = s.at
			}
			if c.Records > 0 {
				all = append(all, c)
			}
		}
		slices.SortFunc(all, func(x, y KindCount) int { return strings.Compare(x.Name, y.Name) })
		return nil
	})
	return r, all, err
}

// Dump writes a store's records, a line of JSON each, in the order in which they were put.
func Dump(folder FS, kinds []Kind, only string, w io.Writer) error {
	return inspect(folder, kinds, true, func(m *fileIndex) error {
		for name := range m.tables {
			if only != "" && only != name {
				continue
			}
			var failed error
			err := m.each(name, false, func(r Record) bool {
				var body any = r.Body
				var v any
				if cbor.Unmarshal(r.Body, &v) == nil {
					body = jsonValue(v)
				}
				var line []byte
				line, failed = json.Marshal(map[string]any{"kind": r.Kind, "key": r.Key, "at": r.At.UTC().Format(time.RFC3339Nano), "version": r.Version, "commit": r.Number, "body": body})
				if failed == nil {
					_, failed = fmt.Fprintf(w, "%s\n", line)
				}
				return failed == nil
			})
			if err != nil {
				return err
			}
			if failed != nil {
				return failed
			}
		}
		return nil
	})
}

// jsonValue has maps by names, as JSON wants them.
func jsonValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		m := make(map[string]any, len(v))
		for key, x := range v {
			m[fmt.Sprint(key)] = jsonValue(x)
		}
		return m
	case []any:
		for i := range v {
			v[i] = jsonValue(v[i])
		}
	}
	return v
}

// Compact merges a store's files into one, so that nothing that was removed or let go is left in them.
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
