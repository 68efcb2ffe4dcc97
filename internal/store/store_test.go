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

func openStore(t testing.TB, folder FS) *Store {
	t.Helper()
	s, _, err := Open(folder, Options{Kinds: testKinds})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func putChange(kind, key, body string) Change {
	return Change{Kind: kind, Key: key, Body: []byte(body)}
}

// contents returns the bodies of a store's records, by kind and key.
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

// filledStore returns a folder with a store of some commits, merged after one of them, and the contents before the
// first and after each commit.
func filledStore(t testing.TB, commits, mergeAfter int) (folder *memFS, states []map[string]string) {
	folder = newMemFS()
	s := openStore(t, folder)
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
	return folder, states
}

// By random steps, with merges, closes and crashes between them, the store has the contents of a map.
func TestStoreBehavesAsMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder := newMemFS()
		s := openStore(t, folder)
		model := make(map[string]string)
		n := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				must(t, s.runTask(func() error { return s.merge(true) }))
			case 1:
				must(t, s.Close())
				s = openStore(t, folder)
			case 2: // what was synced at once is there after a crash, whatever else is lost
				must(t, s.Commit(context.Background(), putChange("order", "sync", "")))
				model["order sync"] = ""
				after := folder.afterCrash(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)))
				_ = s.Close()
				folder = after
				s = openStore(t, folder)
			default:
				n++
				change := putChange(rapid.SampledFrom([]string{"order", "state"}).Draw(rt, "kind"), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "key")), strings.Repeat("y", n%70)+fmt.Sprint(n))
				change.Deleted = rapid.IntRange(0, 3).Draw(rt, "gone") == 0
				must(t, s.Commit(context.Background(), change))
				if model[change.Kind+" "+change.Key] = string(change.Body); change.Deleted {
					delete(model, change.Kind+" "+change.Key)
				}
			}
			if got := s.index.contents(t); fmt.Sprint(got) != fmt.Sprint(model) {
				rt.Fatalf("it holds %v, want %v", got, model)
			}
		}
		must(t, s.Close())
	})
}

// Records are removed by number and age, the oldest first, also when a store is reopened.
func TestRetention(t *testing.T) {
	folder := newMemFS()
	kinds := []Kind{{Name: "note", MaxRecords: 5}, {Name: "old", Retention: time.Hour}}
	s, _, err := Open(folder, Options{Kinds: kinds})
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
			t.Errorf("retained are %v", keys)
		}
	}
	check(s.index)
	must(t, s.Close())
	index, err := load(folder, kinds, false)
	must(t, err)
	check(index)
}

// A full store rejects commits that put records, and accepts those that make room; a commit that is too large fails
// alone.
func TestFullStoreRejectsPuts(t *testing.T) {
	s, _, err := Open(newMemFS(), Options{Kinds: testKinds, MaxBytes: 1000})
	must(t, err)
	defer func() { _ = s.Close() }()
	ctx := context.Background()
	if err := s.Commit(ctx, putChange("order", "huge", strings.Repeat("x", maxFrameBytes))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a commit that is too large: %v", err)
	}
	must(t, s.Commit(ctx, putChange("order", "a", strings.Repeat("x", 1500))))
	if err := s.Commit(ctx, putChange("order", "b", "x")); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a put to a full store: %v", err)
	}
	must(t, s.Commit(ctx, Change{Kind: "order", Key: "a", Deleted: true}))
	must(t, s.Commit(ctx, putChange("order", "b", "x")))
}

// What exceeds the queue is dropped and counted, and only Commit waits for the disk.
func TestPutNeverBlocks(t *testing.T) {
	folder := newMemFS()
	s := openStore(t, folder)
	folder.mu.Lock() // the disk hangs
	for i := range 4 * maxQueuedCommits {
		s.Put(putChange("state", fmt.Sprint(i), "x"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := s.Commit(ctx, putChange("order", "a", "b")); err == nil {
		t.Error("a commit that the disk does not have is reported")
	}
	if n := s.dropped["state"].Load(); n < 90 {
		t.Errorf("%d are dropped", n)
	}
	folder.mu.Unlock()
	must(t, s.Close())
}

func TestOpenRejections(t *testing.T) {
	folder := Dir(t.TempDir())
	s, _, err := Open(folder, Options{Kinds: testKinds})
	must(t, err)
	if _, _, err := Open(folder, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	must(t, s.Commit(context.Background(), putChange("order", "a", "b")))
	must(t, s.Close())
	if err := s.Commit(context.Background(), putChange("order", "a", "c")); !errors.Is(err, ErrClosed) {
		t.Errorf("a commit after the close: %v", err)
	}
	for _, other := range []uint16{0, formatVersion + 1} {
		folder := newMemFS()
		header := segmentHeader{first: 1}
		data := header.appendTo(nil)
		data[8] = byte(other)
		data = append(data[:segmentHeaderSize-checksumSize], checksum(data[:segmentHeaderSize-checksumSize])...)
		folder.files[header.fileName()] = &memFileData{data: data}
		var formatErr *FormatError
		if _, _, err := Open(folder, Options{}); !errors.As(err, &formatErr) || formatErr.Format != int(other) {
			t.Errorf("format %d: %v", other, err)
		}
	}
	if os.Getuid() != 0 { // root writes anywhere
		if err := os.Chmod(string(folder), 0o500); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(folder, Options{}); err == nil {
			t.Error("a folder that can't be written to is opened")
		}
	}
	if _, _, err := Open(Dir(string(folder)+"/none"), Options{}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
}
