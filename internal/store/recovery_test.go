package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Truncating the last file at any byte loses the commits after that point and no others, and the store can be opened
// and appended to. Truncating any other file, or a merged one, is reported as damage.
func TestTruncationLosesOnlyLaterCommits(t *testing.T) {
	for _, mergeAfter := range []int{-1, 7} {
		dir, states := filledStore(t, 16, mergeAfter)
		names, _ := dir.List()
		for i, name := range names {
			size := len(dir.files[name].data)
			found := 0
			for length := 0; length < size; length++ {
				damaged := dir.clone()
				damaged.files[name].data = damaged.files[name].data[:length]
				index, err := load(damaged, testKinds, false)
				if header, _ := parseSegmentName(name); header.merged || i < len(names)-1 {
					var damage *DamageError
					if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(length) {
						t.Fatalf("%s truncated to %d bytes: error %v, want damage before that byte", name, length, err)
					}
					continue
				}
				if err != nil {
					t.Fatalf("%s truncated to %d bytes: %v", name, length, err)
				}
				n := int(index.report.Commits)
				if n < found || n > len(states)-1 || fmt.Sprint(index.contents(t)) != fmt.Sprint(states[n]) {
					t.Fatalf("%s truncated to %d bytes has %d commits, with the wrong contents %v", name, length, n, index.contents(t))
				}
				found = n
				s := openStore(t, damaged)
				must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
				must(t, s.Close())
				index, err = load(damaged, testKinds, false)
				must(t, err)
				if index.contents(t)["order more"] != "1" {
					t.Fatalf("%s truncated to %d bytes: a commit after reopening was lost", name, length)
				}
			}
			if found == 0 && i == len(names)-1 {
				t.Errorf("no truncation of %s left a readable commit", name)
			}
		}
	}
}

// A flipped bit is never read as data: loading fails with the file and the position. Only in the final frame of a
// closed store, which has no entries, it is treated as a torn tail.
func TestBitFlipIsNeverReadAsData(t *testing.T) {
	dir, states := filledStore(t, 12, 5)
	names, _ := dir.List()
	for _, name := range names {
		size := len(dir.files[name].data)
		for offset := range size {
			damaged := dir.clone()
			damaged.files[name].data[offset] ^= 1 << (offset % 8)
			index, err := load(damaged, testKinds, false)
			var damage *DamageError
			switch {
			case err == nil && index.report.TornTail != nil && index.report.TornTail.File == name && int64(offset) >= index.report.TornTail.Offset:
				// Only the final frame without entries is lost.
				if fmt.Sprint(index.contents(t)) != fmt.Sprint(states[len(states)-1]) {
					t.Fatalf("bit flipped in byte %d of %s: contents %v", offset, name, index.contents(t))
				}
			case !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(offset):
				t.Fatalf("bit flipped in byte %d of %s: error %v, want damage at that byte", offset, name, err)
			}
			index, err = load(damaged, testKinds, true)
			must(t, err)
			for key, body := range index.contents(t) {
				if !slices.ContainsFunc(states, func(state map[string]string) bool { return state[key] == body }) {
					t.Fatalf("bit flipped in byte %d of %s: %s is read as %q, which was never put", offset, name, key, body)
				}
			}
		}
	}
}

// A commit that was reported as synced survives a crash before any file operation, whichever unsynced writes are lost,
// and the store can be opened and appended to.
func TestSyncedCommitsSurviveCrash(t *testing.T) {
	for seed := range uint64(3) {
		for crashAt := 1; ; crashAt++ {
			dir := newMemFS()
			dir.crashAt = crashAt
			completed := false
			committed, tried := make(map[string]int), make(map[string]int)
			s, _, err := Open(dir, Options{Kinds: testKinds})
			if err == nil {
				for i := range 12 {
					key := fmt.Sprintf("s-%d", i%3)
					tried[key] = i
					if s.Commit(context.Background(), putChange("order", key, fmt.Sprint(i))) == nil {
						committed[key] = i
					}
					s.Put(putChange("state", "now", fmt.Sprint(i)))
					if i == 4 || i == 9 {
						_ = s.runTask(func() error { return s.merge(true) }) // may fail, as commits do
					}
				}
				_ = s.Close()
				completed = !dir.down
			}
			rng := rand.New(rand.NewPCG(seed, uint64(crashAt)))
			crashed := dir.afterCrash(rng)
			index, err := load(crashed, testKinds, false)
			if err != nil {
				t.Fatalf("crash before operation %d: %v", crashAt, err)
			}
			contents := index.contents(t)
			for key, i := range committed {
				if got := contents["order "+key]; got != fmt.Sprint(i) && got != fmt.Sprint(tried[key]) {
					t.Fatalf("crash before operation %d: %s is %q, want %d as committed or %d as last tried", crashAt, key, got, i, tried[key])
				}
			}
			reopened := openStore(t, crashed)
			must(t, reopened.Commit(context.Background(), putChange("order", "more", "1")))
			must(t, reopened.Close())
			if completed {
				break
			}
		}
	}
}

// When the disk becomes full at any operation, committed records remain, failed commits are reported and counted, and
// the store works again once there is space.
func TestCommittedRecordsSurviveFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fullAt := 4; fullAt < 40; fullAt++ {
			dir := newMemFS()
			s := openStore(t, dir)
			dir.fullAt, dir.bytesLeft = fullAt, fullAt%50
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
					_ = s.runTask(func() error { return s.merge(true) }) // may fail, as commits do
				}
			}
			if stats := s.Stats(); failed > 0 && (stats.LastError == nil || int(stats.Dropped["order"]) != failed) {
				t.Fatalf("disk full from operation %d: %d commits failed, but the statistics are %+v", fullAt, failed, stats)
			}
			dir.mu.Lock()
			dir.fullAt = 0
			dir.mu.Unlock()
			time.Sleep(2 * diskRetryDelay)
			must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
			want["order more"] = "1"
			must(t, s.Close())
			index, err := load(dir, testKinds, false)
			must(t, err)
			if got := index.contents(t); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("disk full from operation %d: contents %v, want %v", fullAt, got, want)
			}
		}
	})
}
