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

// A file that is truncated at any byte loses what came after that place, and nothing else: what is read are the contents
// after some commit, the last whose bytes are all there. A merged file was complete before the others were removed: its
// truncation is reported as damage.
func TestTruncationAtEveryByte(t *testing.T) {
	for _, mergeAfter := range []int{-1, 7} {
		folder, states := filledStore(t, 16, mergeAfter)
		names, _ := folder.List()
		for i, name := range names {
			size := len(folder.files[name].data)
			found := 0
			for length := 0; length < size; length++ {
				damaged := folder.clone()
				damaged.files[name].data = damaged.files[name].data[:length]
				index, err := load(damaged, testKinds, false)
				if state, _ := parseSegmentName(name); state.merged || i < len(names)-1 {
					var damage *DamageError
					if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(length) {
						t.Fatalf("%s truncated to %d bytes: %v", name, length, err)
					}
					continue
				}
				if err != nil {
					t.Fatalf("%s truncated to %d bytes: %v", name, length, err)
				}
				n := int(index.report.Commits)
				if n < found || n > len(states)-1 || fmt.Sprint(index.contents(t)) != fmt.Sprint(states[n]) {
					t.Fatalf("%s truncated to %d bytes has %d commits: %v", name, length, n, index.contents(t))
				}
				found = n
				s := openStore(t, damaged) // and it can be appended to
				must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
				must(t, s.Close())
				index, err = load(damaged, testKinds, false)
				must(t, err)
				if index.contents(t)["order more"] != "1" {
					t.Fatalf("%s truncated to %d bytes: a later commit is not there", name, length)
				}
			}
			if found == 0 && i == len(names)-1 {
				t.Errorf("no truncation of %s left a commit", name)
			}
		}
	}
}

// A flipped byte is never read as data: the store is not opened, and the error has the file and the byte, as the last
// frame of a closed store says that all before it was synced.
func TestBytesFlippedAtEveryOffset(t *testing.T) {
	folder, states := filledStore(t, 12, 5)
	names, _ := folder.List()
	for _, name := range names {
		size := len(folder.files[name].data)
		for offset := range size {
			damaged := folder.clone()
			damaged.files[name].data[offset] ^= 1 << (offset % 8)
			index, err := load(damaged, testKinds, false)
			var damage *DamageError
			switch {
			case err == nil && index.report.TornTail != nil && index.report.TornTail.File == name && int64(offset) >= index.report.TornTail.Offset:
				// the last frame only, which says that all before it was synced
				if fmt.Sprint(index.contents(t)) != fmt.Sprint(states[len(states)-1]) {
					t.Fatalf("byte %d of %s: %v", offset, name, index.contents(t))
				}
			case !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(offset):
				t.Fatalf("byte %d of %s: %v", offset, name, err)
			}
			index, err = load(damaged, testKinds, true)
			must(t, err)
			for key, body := range index.contents(t) {
				if !slices.ContainsFunc(states, func(state map[string]string) bool { return state[key] == body }) {
					t.Fatalf("byte %d of %s: %s is read as %q, which it never was", offset, name, key, body)
				}
			}
		}
	}
}

// Whatever operation of the file system the machine crashes before, and whatever of the unsynced writes is found
// afterwards: a commit that was reported as synced is there, and what is there was put.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(3) {
		for crashAt := 1; ; crashAt++ {
			folder := newMemFS()
			folder.crashAt = crashAt
			ended := false
			committed, tried := make(map[string]int), make(map[string]int)
			s, _, err := Open(folder, Options{Kinds: testKinds})
			if err == nil {
				for i := range 12 {
					key := fmt.Sprintf("s-%d", i%3)
					tried[key] = i
					if s.Commit(context.Background(), putChange("order", key, fmt.Sprint(i))) == nil {
						committed[key] = i
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
			states := folder.afterCrash(rng)
			index, err := load(states, testKinds, false)
			if err != nil {
				t.Fatalf("crash before operation %d: %v", crashAt, err)
			}
			contents := index.contents(t)
			for key, i := range committed {
				if got := contents["order "+key]; got != fmt.Sprint(i) && got != fmt.Sprint(tried[key]) {
					t.Fatalf("crash before operation %d: %s is %q, was committed as %d", crashAt, key, got, i)
				}
			}
			reopened := openStore(t, states)
			must(t, reopened.Commit(context.Background(), putChange("order", "more", "1")))
			must(t, reopened.Close())
			if ended {
				break
			}
		}
	}
}

// A disk that is full from any operation on: what was committed stays, what was not is reported as failed, and once
// there is room the store works again.
func TestDiskFullAtEveryOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fullAt := 4; fullAt < 40; fullAt++ {
			folder := newMemFS()
			s := openStore(t, folder)
			folder.fullAt, folder.bytesLeft = fullAt, fullAt%50
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
				t.Fatalf("full from operation %d: %d failed, but the stats are %+v", fullAt, failed, stats)
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
				t.Fatalf("full from operation %d: %v, want %v", fullAt, got, want)
			}
		}
	})
}
