package store

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Repair keeps the readable records of a damaged store, after which the store can be opened and appended to, and a
// second repair finds no damage.
func TestRepairKeepsReadableRecords(t *testing.T) {
	dir, states := filledStore(t, 12, 5)
	names, _ := dir.List()
	want := states[len(states)-1]
	for _, name := range names {
		for offset := 0; offset < len(dir.files[name].data); offset += 13 {
			damaged := dir.clone()
			damaged.files[name].data[offset] ^= 0x40
			if offset%2 == 0 {
				damaged.files[name].data = damaged.files[name].data[:offset]
			}
			before, after, err := Repair(damaged, testKinds)
			must(t, err)
			if len(after.Damaged) > 0 || after.TornTail != nil {
				t.Fatalf("damage at byte %d of %s: repair leaves %+v of %+v", offset, name, after, before)
			}
			s := openStore(t, damaged)
			for key, body := range s.index.contents(t) {
				if !slices.ContainsFunc(states, func(state map[string]string) bool { return state[key] == body }) {
					t.Fatalf("damage at byte %d of %s: %s is %q, which was never put", offset, name, key, body)
				}
			}
			must(t, s.Commit(context.Background(), putChange("order", "more", "1")))
			must(t, s.Close())
			again, _, err := Repair(damaged, testKinds)
			if must(t, err); len(again.Damaged) > 0 || again.TornTail != nil {
				t.Fatalf("damage at byte %d of %s: a second repair finds %+v", offset, name, again)
			}
		}
	}
	var dump strings.Builder
	must(t, Dump(dir, testKinds, "order", &dump))
	if n := strings.Count(dump.String(), "\n"); n != 3 && n != 4 {
		t.Errorf("dump has %d lines, want 3 or 4:\n%s", n, dump.String())
	}
	before, after, err := Compact(dir, testKinds)
	must(t, err)
	if after.Bytes >= before.Bytes || len(after.Damaged) > 0 {
		t.Errorf("Compact does not shrink the files: %+v before, %+v after", before, after)
	}
	index, err := load(dir, testKinds, false)
	must(t, err)
	if got := index.contents(t); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("contents after Compact are %v, want %v", got, want)
	}
}
