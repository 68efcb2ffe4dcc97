package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testKinds = []Kind{{Name: "order", Sync: SyncImmediate}, {Name: "note", Sync: SyncGrouped, MaxRecords: 20}, {Name: "state", Sync: SyncBestEffort}}

func openStore(t testing.TB, dir FS) *Store {
	t.Helper()
	s, _, err := Open(dir, Options{Kinds: testKinds})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func putChange(kind, key, body string) Change {
	return Change{Kind: kind, Key: key, Body: []byte(body)}
}

// contents returns the bodies of all records, by kind and key.
func (x *fileIndex) contents(t testing.TB) map[string]string {
	t.Helper()
	all := make(map[string]string)
	for kind := range x.tables {
		if err := x.each(kind, false, func(r Record) bool { all[kind+" "+r.Key] = string(r.Body); return true }); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// filledStore returns a directory with a closed store of a number of commits, merged after the one numbered mergeAfter,
// and the contents of the store before the first and after each commit.
func filledStore(t testing.TB, commits, mergeAfter int) (dir *memFS, states []map[string]string) {
	dir = newMemFS()
	s := openStore(t, dir)
	states = append(states, map[string]string{})
	for i := range commits {
		changes := []Change{putChange("order", fmt.Sprintf("s-%d", i%4), strings.Repeat("x", i%9)+fmt.Sprint(i)), putChange("state", "now", fmt.Sprint(i))}
		if i%5 == 4 {
			changes[0].Deleted = true
		}
		must(t, s.Commit(context.Background(), changes...))
		if i == mergeAfter {
			must(t, s.runTask(func() error { return s.merge(true) }))
		}
		states = append(states, s.index.contents(t))
	}
	must(t, s.Close())
	return dir, states
}

// After random puts and removals, with merges, reopens and crashes between them, the store has the contents of a map.
func TestStoreBehavesAsMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir := newMemFS()
		s := openStore(t, dir)
		model := make(map[string]string)
		puts := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				must(t, s.runTask(func() error { return s.merge(true) }))
			case 1:
				must(t, s.Close())
				s = openStore(t, dir)
			case 2: // a SyncImmediate commit, and all before it, survive a crash
				must(t, s.Commit(context.Background(), putChange("order", "sync", "")))
				model["order sync"] = ""
				after := dir.afterCrash(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)))
				_ = s.Close()
				dir = after
				s = openStore(t, dir)
			default:
				puts++
				change := putChange(rapid.SampledFrom([]string{"order", "state"}).Draw(rt, "kind"), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "key")), strings.Repeat("y", puts%70)+fmt.Sprint(puts))
				change.Deleted = rapid.IntRange(0, 3).Draw(rt, "deleted") == 0
				must(t, s.Commit(context.Background(), change))
				if model[change.Kind+" "+change.Key] = string(change.Body); change.Deleted {
					delete(model, change.Kind+" "+change.Key)
				}
			}
			if got := s.index.contents(t); fmt.Sprint(got) != fmt.Sprint(model) {
				rt.Fatalf("store holds %v, want %v", got, model)
			}
		}
		must(t, s.Close())
	})
}

// Records that exceed the maximum number or age of their kind are removed, the oldest first, also after a reload.
func TestRetentionRemovesOldestRecords(t *testing.T) {
	dir := newMemFS()
	kinds := []Kind{{Name: "note", MaxRecords: 5}, {Name: "old", Retention: time.Hour}}
	s, _, err := Open(dir, Options{Kinds: kinds})
	must(t, err)
	for i := range 12 {
		must(t, s.Commit(context.Background(), putChange("note", fmt.Sprint(i), ""), Change{Kind: "old", Key: fmt.Sprint(i), At: time.Now().Add(-time.Duration(i) * 20 * time.Minute)}))
	}
	must(t, s.Commit(context.Background(), putChange("note", "8", "again")))
	check := func(index *fileIndex) {
		t.Helper()
		var keys []string
		_ = index.each("note", true, func(r Record) bool { keys = append(keys, r.Key); return true })
		if fmt.Sprint(keys) != "[8 11 10 9 7]" && fmt.Sprint(keys) != "[8 11 10 9]" {
			t.Errorf("retained keys are %v, want 8 11 10 9 and maybe 7", keys)
		}
	}
	check(s.index)
	must(t, s.Close())
	index, err := load(dir, kinds, false)
	must(t, err)
	check(index)
}

// A full store rejects puts and accepts removals. A commit that is too large is rejected without affecting later ones.
func TestFullStoreRejectsPuts(t *testing.T) {
	s, _, err := Open(newMemFS(), Options{Kinds: testKinds, MaxBytes: 1000})
	must(t, err)
	defer func() { _ = s.Close() }()
	ctx := context.Background()
	if err := s.Commit(ctx, putChange("order", "huge", strings.Repeat("x", maxFrameBytes))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("commit that is too large: error %v, want ErrTooLarge", err)
	}
	must(t, s.Commit(ctx, putChange("order", "a", strings.Repeat("x", 1500))))
	if err := s.Commit(ctx, putChange("order", "b", "x")); !errors.Is(err, ErrFull) {
		t.Errorf("put to a full store: error %v, want ErrFull", err)
	}
	must(t, s.Commit(ctx, Change{Kind: "order", Key: "a", Deleted: true}))
	must(t, s.Commit(ctx, putChange("order", "b", "x")))
}

// While the disk hangs, Put drops and counts the changes that exceed the queue, and only Commit waits.
func TestPutNeverBlocks(t *testing.T) {
	dir := newMemFS()
	s := openStore(t, dir)
	dir.mu.Lock() // the disk hangs
	for i := range 4 * maxQueuedCommits {
		s.Put(putChange("state", fmt.Sprint(i), "x"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := s.Commit(ctx, putChange("order", "a", "b")); err == nil {
		t.Error("a commit is reported as successful while the disk hangs")
	}
	if n := s.dropped["state"].Load(); n < 90 {
		t.Errorf("%d changes were dropped, want at least 90", n)
	}
	dir.mu.Unlock()
	must(t, s.Close())
}

func TestOpenRejectsUnusableStores(t *testing.T) {
	dir := Dir(t.TempDir())
	s, _, err := Open(dir, Options{Kinds: testKinds})
	must(t, err)
	if _, _, err := Open(dir, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("open of a locked store: error %v, want ErrLocked", err)
	}
	must(t, s.Commit(context.Background(), putChange("order", "a", "b")))
	must(t, s.Close())
	if err := s.Commit(context.Background(), putChange("order", "a", "c")); !errors.Is(err, ErrClosed) {
		t.Errorf("commit after Close: error %v, want ErrClosed", err)
	}
	for _, other := range []uint16{0, formatVersion + 1} {
		dir := newMemFS()
		header := segmentHeader{first: 1}
		data := header.appendTo(nil)
		data[8] = byte(other)
		data = append(data[:segmentHeaderSize-checksumSize], checksum(data[:segmentHeaderSize-checksumSize])...)
		dir.files[header.fileName()] = &memFileData{data: data}
		var formatErr *FormatError
		if _, _, err := Open(dir, Options{}); !errors.As(err, &formatErr) || formatErr.Format != int(other) {
			t.Errorf("open of format version %d: error %v, want a FormatError with that version", other, err)
		}
	}
	if os.Getuid() != 0 { // permissions do not restrict root
		if err := os.Chmod(string(dir), 0o500); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir, Options{}); err == nil {
			t.Error("a store in a read-only directory was opened")
		}
	}
	if _, _, err := Open(Dir(string(dir)+"/none"), Options{}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("open in a missing directory: error %v, want ErrNotExist", err)
	}
}
