package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// contents is what a store has, by kind and key.
func (index *fileIndex) contents(t testing.TB) map[string]string {
	t.Helper()
	all := make(map[string]string)
	for kind := range index.tables {
		if err := index.each(kind, false, func(r Record) bool { all[kind+" "+r.Key] = string(r.Body); return true }); err != nil {
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

// filledStore is a folder with a store of n commits, merged after some, and what the store held after each commit.
func filledStore(t testing.TB, n, mergeAfter int) (folder *memFS, after []map[string]string) {
	folder = newMemFS()
	s := openStore(t, folder)
	after = append(after, map[string]string{})
	for i := range n {
		change := []Change{putChange("order", fmt.Sprintf("s-%d", i%4), strings.Repeat("x", i%9)+fmt.Sprint(i)), putChange("state", "now", fmt.Sprint(i))}
		if i%5 == 4 {
			change[0].Deleted = true
		}
		must(t, s.Commit(context.Background(), change...))
		if i == mergeAfter {
			must(t, s.runTask(func() error { return s.merge(true) }))
		}
		after = append(after, s.index.contents(t))
	}
	must(t, s.Close())
	return folder, after
}

// A file that is cut at any byte loses what came after the cut, and nothing else: what is read is what the
// store held after some commit, the last whose bytes are all there. A merged file was whole before the others went: cut, it is
// damage, and told as such.
func TestTruncationAtEveryByte(t *testing.T) {
	for _, mergeAfter := range []int{-1, 7} {
		folder, after := filledStore(t, 16, mergeAfter)
		names, _ := folder.List()
		for i, name := range names {
			size := len(folder.files[name].data)
			found := 0
			for cut := 0; cut < size; cut++ {
				change := folder.clone()
				change.files[name].data = change.files[name].data[:cut]
				index, err := load(change, testKinds, false)
				if header, _ := parseSegmentName(name); header.merged || i < len(names)-1 {
					var d *Damage
					if !errors.As(err, &d) || d.File != name || d.Offset > int64(cut) {
						t.Fatalf("%s cut at %d: %v", name, cut, err)
					}
					continue
				}
				if err != nil {
					t.Fatalf("%s cut at %d: %v", name, cut, err)
				}
				n := int(index.report.Commits)
				if n < found || n > len(after)-1 || fmt.Sprint(index.contents(t)) != fmt.Sprint(after[n]) {
					t.Fatalf("%s cut at %d has %d commits: %v", name, cut, n, index.contents(t))
				}
				found = n
				s := openStore(t, change) // and it can be gone on with
				must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
				must(t, s.Close())
				index, err = load(change, testKinds, false)
				must(t, err)
				if index.contents(t)["order more"] != "1" {
					t.Fatalf("%s cut at %d: what came after is not there", name, cut)
				}
			}
			if found == 0 && i == len(names)-1 {
				t.Errorf("no cut of %s left anything", name)
			}
		}
	}
}

// A byte that is flipped anywhere is never read as data: the store is refused with file and byte, as a closed one
// says of all that it has that it was sure to last.
func TestBytesFlippedAtEveryOffset(t *testing.T) {
	folder, after := filledStore(t, 12, 5)
	names, _ := folder.List()
	for _, name := range names {
		size := len(folder.files[name].data)
		for at := range size {
			change := folder.clone()
			change.files[name].data[at] ^= 1 << (at % 8)
			index, err := load(change, testKinds, false)
			var d *Damage
			switch {
			case err == nil && index.report.TornTail != nil && index.report.TornTail.File == name && int64(at) >= index.report.TornTail.Offset:
				// the last frame alone, which says that all before it was sure
				if fmt.Sprint(index.contents(t)) != fmt.Sprint(after[len(after)-1]) {
					t.Fatalf("byte %d of %s: %v", at, name, index.contents(t))
				}
			case !errors.As(err, &d) || d.File != name || d.Offset > int64(at):
				t.Fatalf("byte %d of %s: %v", at, name, err)
			}
			index, err = load(change, testKinds, true)
			must(t, err)
			for key, body := range index.contents(t) {
				if !slices.ContainsFunc(after, func(header map[string]string) bool { return header[key] == body }) {
					t.Fatalf("byte %d of %s: %s is read as %q, which it never was", at, name, key, body)
				}
			}
		}
	}
}

// Whatever operation of the file system the machine goes down before, and whatever of what was not synced is
// found afterwards: what was reported committed to last is there, and what is there was put.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(3) {
		for crashAt := 1; ; crashAt++ {
			folder := newMemFS()
			folder.crashAt = crashAt
			ended := false
			sure, tried := make(map[string]int), make(map[string]int)
			s, _, err := Open(folder, Options{Kinds: testKinds})
			if err == nil {
				for i := range 12 {
					key := fmt.Sprintf("s-%d", i%3)
					tried[key] = i
					if s.Commit(context.Background(), putChange("order", key, fmt.Sprint(i))) == nil {
						sure[key] = i
					}
					s.Put(putChange("state", "now", fmt.Sprint(i)))
					if i == 4 || i == 9 {
						_ = s.runTask(func() error { return s.merge(true) }) // the disk may be down by now
					}
				}
				_ = s.Close()
				ended = !folder.down
			}
			rng := rand.New(rand.NewPCG(seed, uint64(crashAt)))
			after := folder.afterCrash(rng)
			index, err := load(after, testKinds, false)
			if err != nil {
				t.Fatalf("down before operation %d: %v", crashAt, err)
			}
			holds := index.contents(t)
			for key, i := range sure {
				if got := holds["order "+key]; got != fmt.Sprint(i) && got != fmt.Sprint(tried[key]) {
					t.Fatalf("down before operation %d: %s is %q, was committed as %d", crashAt, key, got, i)
				}
			}
			again := openStore(t, after)
			must(t, again.Commit(context.Background(), putChange("order", "more", "1")))
			must(t, again.Close())
			if ended {
				break
			}
		}
	}
}

// A disk that is full at any operation: what was committed stays, what was not is reported, and once there is room again
// the store goes on.
func TestDiskFullAtEveryOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for full := 4; full < 40; full++ {
			folder := newMemFS()
			s := openStore(t, folder)
			folder.fullAt, folder.bytesLeft = full, full%50
			want := make(map[string]string)
			failed := 0
			for i := range 8 {
				key := fmt.Sprintf("s-%d", i)
				if err := s.Commit(context.Background(), putChange("order", key, fmt.Sprint(i))); err == nil {
					want["order "+key] = fmt.Sprint(i)
				} else {
					failed++
				}
				if i == 5 {
					_ = s.runTask(func() error { return s.merge(true) }) // the disk may be down by now
				}
			}
			if stats := s.Stats(); failed > 0 && (stats.LastError == nil || int(stats.Dropped["order"]) != failed) {
				t.Fatalf("full from operation %d: %d failed, told are %+v", full, failed, stats)
			}
			folder.mu.Lock()
			folder.fullAt = 0
			folder.mu.Unlock()
			time.Sleep(2 * diskRetryDelay)
			must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
			want["order more"] = "1"
			must(t, s.Close())
			index, err := load(folder, testKinds, false)
			must(t, err)
			if got := index.contents(t); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("full from operation %d: %v, want %v", full, got, want)
			}
		}
	})
}

// By random steps, with merges, closes and crashes between them, the store is the map that it should be.
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
			case 2: // what was committed at once is there after a crash, whatever else is lost
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

// Records are let go by number and age, the oldest first, also by a store that is opened again.
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
			t.Errorf("kept are %v", keys)
		}
	}
	check(s.index)
	must(t, s.Close())
	index, err := load(folder, kinds, false)
	must(t, err)
	check(index)
}

// A store that is as full as may be turns away what would be put, and takes what makes room; a commit that is too large
// fails by itself.
func TestFullStoreRejectsPuts(t *testing.T) {
	s, _, err := Open(newMemFS(), Options{Kinds: testKinds, Bytes: 1000})
	must(t, err)
	defer func() { _ = s.Close() }()
	ctx := context.Background()
	if err := s.Commit(ctx, putChange("order", "huge", strings.Repeat("x", maxFrameBytes))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a huge one: %v", err)
	}
	must(t, s.Commit(ctx, putChange("order", "a", strings.Repeat("x", 1500))))
	if err := s.Commit(ctx, putChange("order", "b", "x")); !errors.Is(err, ErrNoRoom) {
		t.Errorf("one too many: %v", err)
	}
	must(t, s.Commit(ctx, Change{Kind: "order", Key: "a", Deleted: true}))
	must(t, s.Commit(ctx, putChange("order", "b", "x")))
}

// What waits beyond the queue's room is dropped and counted, and nobody waits for the disk but who asks to.
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
		t.Error("a commit is reported that the disk does not have")
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
		t.Errorf("after its close: %v", err)
	}
	for _, other := range []uint16{0, formatVersion + 1} {
		index := newMemFS()
		header := segmentHeader{first: 1}
		b := header.appendTo(nil)
		b[8] = byte(other)
		b = append(b[:segmentHeaderSize-4], checksum(b[:segmentHeaderSize-4])...)
		index.files[header.fileName()] = &memFileData{data: b}
		var f *FormatError
		if _, _, err := Open(index, Options{}); !errors.As(err, &f) || f.Format != int(other) {
			t.Errorf("format %d: %v", other, err)
		}
	}
	if os.Getuid() != 0 { // root writes anywhere
		if err := os.Chmod(string(folder), 0o500); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(folder, Options{}); err == nil {
			t.Error("a folder that can't be written is opened")
		}
	}
	if _, _, err := Open(Dir(string(folder)+"/none"), Options{}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
}

// What can be read of a damaged store is kept by a repair, which a store that is whole goes on from; a
// second repair has nothing to do.
func TestRepair(t *testing.T) {
	folder, after := filledStore(t, 12, 5)
	names, _ := folder.List()
	whole := after[len(after)-1]
	for _, name := range names {
		for at := 0; at < len(folder.files[name].data); at += 13 {
			change := folder.clone()
			change.files[name].data[at] ^= 0x40
			if at%2 == 0 {
				change.files[name].data = change.files[name].data[:at]
			}
			before, now, err := Repair(change, testKinds)
			must(t, err)
			if len(now.Damaged) > 0 || now.TornTail != nil {
				t.Fatalf("byte %d of %s: %+v after the repair of %+v", at, name, now, before)
			}
			s := openStore(t, change)
			for key, body := range s.index.contents(t) {
				if !slices.ContainsFunc(after, func(header map[string]string) bool { return header[key] == body }) {
					t.Fatalf("byte %d of %s: %s is %q, which it never was", at, name, key, body)
				}
			}
			must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
			must(t, s.Close())
			again, _, err := Repair(change, testKinds)
			if must(t, err); len(again.Damaged) > 0 || again.TornTail != nil {
				t.Fatalf("byte %d of %s: a second repair finds %+v", at, name, again)
			}
		}
	}
	var b strings.Builder
	must(t, Dump(folder, testKinds, "order", &b))
	if n := strings.Count(b.String(), "\n"); n != 3 && n != 4 {
		t.Errorf("%d lines:\n%s", n, b.String())
	}
	before, now, err := Compact(folder, testKinds)
	must(t, err)
	if now.Bytes >= before.Bytes || len(now.Damaged) > 0 {
		t.Errorf("%+v before, %+v after", before, now)
	}
	index, err := load(folder, testKinds, false)
	must(t, err)
	if got := index.contents(t); fmt.Sprint(got) != fmt.Sprint(whole) {
		t.Errorf("%v, want %v", got, whole)
	}
}

type person struct {
	Name string `cbor:"1,keyasint"`
	Age  int    `cbor:"2,keyasint"`
}

// Records of an older version are read as the new one, of a newer version are passed over and told of.
func TestTableVersions(t *testing.T) {
	s := openStore(t, newMemFS())
	defer func() { _ = s.Close() }()
	old := &Table[string]{Store: s, Kind: "order", Version: 1}
	must(t, old.Commit(context.Background(), "a", "Ada"))
	people := &Table[person]{Store: s, Kind: "order", Version: 2, Upgrade: func(_ uint, body []byte) (person, error) {
		var name string
		err := cbor.Unmarshal(body, &name)
		return person{Name: name}, err
	}}
	must(t, people.Commit(context.Background(), "b", person{"Bo", 3}))
	must(t, (&Table[int]{Store: s, Kind: "order", Version: 3}).Commit(context.Background(), "c", 9))
	var all []person
	err := people.Each(false, func(_ string, _ time.Time, p person) bool { all = append(all, p); return true })
	if fmt.Sprint(all) != "[{Ada 0} {Bo 3}]" || err == nil || !strings.Contains(err.Error(), "version 3") {
		t.Errorf("%v, %v", all, err)
	}
	if v, _, ok, err := people.Get("b"); !ok || err != nil || v.Age != 3 {
		t.Errorf("%v %v %v", v, ok, err)
	}
	must(t, people.Remove(context.Background(), "b"))
	if _, _, ok, err := people.Get("b"); ok || err != nil {
		t.Errorf("it is there after its removal, or %v", err)
	}
	times := &Table[time.Time]{Store: s, Kind: "state", Version: 1}
	now := time.Unix(1_700_000_000, 123456789)
	must(t, times.Commit(context.Background(), "now", now))
	if at, _, _, err := times.Get("now"); err != nil || !at.Equal(now) {
		t.Errorf("%v is kept as %v, %v", now, at, err)
	}
	var none Table[person]
	if _, _, ok, err := none.Get("a"); ok || err != nil || none.Commit(context.Background(), "a", person{}) == nil {
		t.Error("a table without a store keeps something")
	}
}

// BenchmarkCommit is a commit that waits for the disk, by one and by many at a time.
func BenchmarkCommit(b *testing.B) {
	for _, kind := range testKinds {
		for _, many := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", [...]string{"at-once", "grouped", "best-effort"}[kind.Sync], many), func(b *testing.B) {
				s := openStore(b, Dir(b.TempDir()))
				body := strings.Repeat("x", 300)
				b.SetParallelism(many)
				if many == 1 {
					for i := range b.N {
						if err := s.Commit(context.Background(), putChange(kind.Name, fmt.Sprint(i%1000), body)); err != nil {
							b.Fatal(err)
						}
					}
				} else {
					b.RunParallel(func(p *testing.PB) {
						for i := 0; p.Next(); i++ {
							if err := s.Commit(context.Background(), putChange(kind.Name, fmt.Sprint(i%1000), body)); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				b.StopTimer()
				stats := s.Stats()
				b.ReportMetric(float64(stats.Syncs)/float64(b.N), "syncs/op")
				_ = s.Close()
			})
		}
	}
}

// BenchmarkOpen is a start from files of a size.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		folder := Dir(b.TempDir())
		s := openStore(b, folder)
		for i := range n {
			for s.enqueue(&commit{changes: []Change{putChange("state", fmt.Sprint(i), strings.Repeat("x", 300))}}) != nil {
				time.Sleep(time.Millisecond)
			}
		}
		_ = s.Close()
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for range b.N {
				index, err := load(folder, testKinds, false)
				if err != nil || index.report.Records != n {
					b.Fatal(err, index.report)
				}
				b.ReportMetric(float64(index.totalBytes)/float64(n), "bytes/record")
				index.close()
			}
		})
	}
}

// BenchmarkMerge is commits beside merges: a few records of 3 KB put again and again.
func BenchmarkMerge(b *testing.B) {
	for _, merges := range []bool{false, true} {
		b.Run(fmt.Sprintf("merges=%v", merges), func(b *testing.B) {
			s := openStore(b, Dir(b.TempDir()))
			defer func() { _ = s.Close() }()
			body := strings.Repeat("x", 3000)
			var waits []time.Duration
			for i := range b.N {
				key := i
				if merges {
					key %= 50
				}
				began := time.Now()
				must(b, s.Commit(context.Background(), putChange("order", fmt.Sprint(key), body)))
				waits = append(waits, time.Since(began))
			}
			slices.Sort(waits)
			stats := s.Stats()
			b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds()), "us-p99")
			b.ReportMetric(float64(waits[len(waits)-1].Microseconds()), "us-longest")
			b.ReportMetric(float64(stats.Merges), "merges")
		})
	}
}
