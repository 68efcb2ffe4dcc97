package server

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

// The tests in this file guard the store's format: files of earlier versions must be read completely, and this
// version must write the same bytes. A field that is renamed without a tag would change the format and be read
// as zero without an error.
//
// testdata/golden has two store directories, one as written (plain) and one after compaction (merged), and a
// dump of each kind of record. To regenerate them, run
//
//	LOCKROAD_UPDATE_STORED_GOLDEN=1 go test ./internal/server -run TestStored
//
// Do so only for a new version of the format, with a Table.Upgrade that reads the old one.

const (
	updateStoredGoldenEnv = "LOCKROAD_UPDATE_STORED_GOLDEN"
	storedGoldenDir       = "testdata/golden"
)

// storedAt returns the time of a golden record. It is far in the future, because the store expires old decisions.
func storedAt(n int) time.Time {
	return time.Date(2190, time.March, 4, 5, 6, n, 789_000_000, time.UTC)
}

func pointerTo[T any](v T) *T { return &v }

// completeDirective, completeSnapshot and completeExplanation set every field to a distinct value. Maps have
// only one entry, because the encoded order of map entries is undefined.

func completeDirective() persistence.DrainDirective {
	return persistence.DrainDirective{
		Endpoint: "server-1",
		By:       "operator-2",
		Reason:   "reason-3",
		Since:    time.Date(2024, time.May, 4, 10, 20, 30, 123456789, time.UTC),
		Until:    time.Date(2191, time.June, 5, 11, 21, 31, 234567891, time.UTC),
	}
}

func completeSnapshot() persistence.RelaySnapshot {
	return persistence.RelaySnapshot{
		Name:       "relay-1",
		Clock:      1002 * time.Millisecond,
		ClockStart: time.Date(2024, time.January, 3, 1, 2, 3, 456789123, time.UTC),
		TakenAt:    time.Date(2024, time.January, 4, 2, 3, 4, 567891234, time.UTC),
		Agent:      "127.0.0.1:1005",
		List: discovery.List{
			Revision: 1006,
			Complete: true,
			Members: []discovery.Member{
				{
					ID:       "member-1007",
					HostPort: "127.0.0.1:1008",
					Locality: "zone-1009",
					Flavor:   "flavor-1010",
					Cell:     1011,
					Phase:    "draining",
					Size:     1012.5,
					UpSince:  1013,
				},
				{
					ID:       "member-1014",
					HostPort: "127.0.0.1:1015",
					Locality: "zone-1016",
					Flavor:   "flavor-1017",
					Cell:     1018,
					Phase:    "ready",
					Size:     1019.5,
					UpSince:  1020,
				},
			},
		},
		Names: map[balancer.EndpointID]string{1021: "name-1022"},
		Balancer: balancer.Snapshot{
			Salt: 1023,
			Endpoints: []balancer.EndpointSnapshot{
				{
					ID:            1024,
					Weight:        0.1025,
					WeightSetAt:   1026 * time.Microsecond,
					LastAttemptAt: 1027 * time.Microsecond,
					EstablishedAt: 1028 * time.Microsecond,
					FailedAt:      1029 * time.Microsecond,
					SlowAt:        1030 * time.Microsecond,
					Delay:         1031 * time.Microsecond,
					DelayAt:       1032 * time.Microsecond,
					RelievedAt:    1033 * time.Microsecond,
					DrainingSince: 1034 * time.Microsecond,
					RedirectedAt:  1035 * time.Microsecond,
					StartedAt:     1036 * time.Microsecond,
				},
				{
					ID:            1037,
					Weight:        0.1038,
					WeightSetAt:   1039 * time.Microsecond,
					LastAttemptAt: 1040 * time.Microsecond,
					EstablishedAt: 1041 * time.Microsecond,
					FailedAt:      1042 * time.Microsecond,
					SlowAt:        1043 * time.Microsecond,
					Delay:         1044 * time.Microsecond,
					DelayAt:       1045 * time.Microsecond,
					RelievedAt:    1046 * time.Microsecond,
					DrainingSince: 1047 * time.Microsecond,
					RedirectedAt:  1048 * time.Microsecond,
					StartedAt:     1049 * time.Microsecond,
				},
			},
			Routes: []balancer.RouteSnapshot{
				{Key: 1050, Endpoint: 1051, ExpiresAt: 1052 * time.Microsecond},
				{Key: 1053, Endpoint: 1054, ExpiresAt: 1055 * time.Microsecond},
			},
			RecentSetups:     balancer.CounterSnapshot{Count: 1056.25, UpdatedAt: 1057 * time.Microsecond, CountedFrom: 1058 * time.Microsecond},
			ArrivalRate:      balancer.CounterSnapshot{Count: 1059.25, UpdatedAt: 1060 * time.Microsecond, CountedFrom: 1061 * time.Microsecond},
			SetupsPerSize:    1062.5,
			MeanLoad:         0.1063,
			LoadSamples:      1064.5,
			ConcurrencyLimit: 1065.5,
		},
	}
}

func completeExplanation() explain.Explanation {
	return explain.Explanation{
		Number:        2001,
		Frontend:      "front-2002",
		Name:          "name-2003",
		NameTruncated: true,
		Class:         "class-2004",
		Tenant:        "tenant-2005",
		Group:         "group-2006",
		Flow:          "flow-2007",
		ReceivedAt:    time.Date(2024, time.February, 5, 3, 4, 5, 678912345, time.UTC),
		TimeLimitMS:   2008.5,
		ExpectedLoad:  2009.5,
		Returning:     true,
		Pinned:        true,
		Notable:       true,
		HeadEvicted:   true,
		EventsOmitted: true,
		Result:        "answer-2010",
		Cause:         "cause-2011",
		RetryAfterMS:  2012.5,
		Events: []explain.Event{
			{
				AfterMS:        2013.5,
				Kind:           "what-2014",
				Reason:         "reason-2015",
				Attempt:        2016,
				Endpoint:       "server-2017",
				Outcome:        "outcome-2018",
				WaitMS:         2019.5,
				TimeLeftMS:     2020.5,
				Repeats:        2021,
				ReadyEndpoints: 2022,
				SlowShare:      0.2023,
				Revision:       2024,
				ListAgeMS:      pointerTo(2025.5),
				Considered: []explain.ConsideredEndpoint{
					{
						Endpoint:    "server-2026",
						State:       "state-2027",
						Exclusions:  []string{"bar-2028", "bar-2029"},
						Weight:      0.2030,
						Warmth:      0.2031,
						Load:        2032.5,
						Probability: 0.2033,
						DelayMS:     2034.5,
						DelayAgeMS:  pointerTo(2035.5),
					},
				},
				Preferred: "server-2036",
				Text:      "text-2037",
			},
		},
		Before: &explain.RelatedRequest{Number: 2038, Relation: "by-2039", Result: "answer-2040", Text: "text-2041"},
		After:  &explain.RelatedRequest{Number: 2042, Relation: "by-2043", Result: "answer-2044", Text: "text-2045"},
	}
}

// sparseExplanation omits all optional fields at every level.
func sparseExplanation() explain.Explanation {
	return explain.Explanation{Events: []explain.Event{{Considered: []explain.ConsideredEndpoint{{}}}, {}}, Before: &explain.RelatedRequest{}}
}

const (
	sparseKey      = "sparse"
	explanationKey = "2024-02-05T03:04:05.678912345Z name-2003"
	withdrawnKey   = "server-withdrawn"
	goldenRecords  = 6 // records left after the one deletion and replacement
)

// storedTables has the relay's tables in one store.
type storedTables struct {
	directives   *store.Table[persistence.DrainDirective]
	snapshots    *store.Table[persistence.RelaySnapshot]
	explanations *store.Table[explain.Explanation]
}

func tablesOf(s *store.Store) storedTables {
	p := &persistentState{store: s}
	return storedTables{
		directives:   p.directiveTable(),
		snapshots:    snapshotTable(s),
		explanations: (&archive{persistence: p}).table(),
	}
}

// openStored opens a store, which must be undamaged, until the end of the test.
func openStored(t *testing.T, dir string) *store.Store {
	t.Helper()
	s, report, err := store.Open(store.Dir(dir), store.Options{Kinds: persistence.Kinds()})
	if err != nil {
		t.Fatal(err)
	}
	if report.TornTail != nil || len(report.Damaged) > 0 || len(report.Replaced) > 0 {
		t.Fatalf("store in %s is damaged: %+v", dir, report)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// encoded returns the change that writes a record to its table, with a fixed time instead of the current one.
func encoded[T any](t *testing.T, table *store.Table[T], key string, at time.Time, value T) store.Change {
	t.Helper()
	if err := table.Commit(t.Context(), key, value); err != nil {
		t.Fatal(err)
	}
	record, ok, err := table.Store.Get(table.Kind, key)
	if err != nil || !ok {
		t.Fatalf("kind %s: record %q can't be read back: %v", table.Kind, key, err)
	}
	change := record.Change
	change.At = at
	return change
}

// writeStored writes the golden records to a store directory, one commit each, and optionally compacts it.
func writeStored(t *testing.T, dir string, compact bool) {
	t.Helper()
	encoder := tablesOf(openStored(t, t.TempDir()))
	target := openStored(t, dir)
	for _, change := range []store.Change{
		encoded(t, encoder.directives, "server-1", storedAt(1), completeDirective()),
		encoded(t, encoder.directives, sparseKey, storedAt(2), persistence.DrainDirective{}),
		encoded(t, encoder.directives, withdrawnKey, storedAt(3), persistence.DrainDirective{Endpoint: withdrawnKey}),
		{Kind: encoder.directives.Kind, Key: withdrawnKey, At: storedAt(4), Deleted: true},
		encoded(t, encoder.snapshots, snapshotKey, storedAt(5), persistence.RelaySnapshot{}),
		encoded(t, encoder.snapshots, snapshotKey, storedAt(6), completeSnapshot()),
		encoded(t, encoder.snapshots, sparseKey, storedAt(7), persistence.RelaySnapshot{}),
		encoded(t, encoder.explanations, explanationKey, storedAt(8), completeExplanation()),
		encoded(t, encoder.explanations, sparseKey, storedAt(9), sparseExplanation()),
	} {
		// Committed one by one, so that the number of commits in each frame is deterministic.
		if err := target.Commit(context.Background(), change); err != nil {
			t.Fatal(err)
		}
	}
	if compact {
		if err := target.Compact(); err != nil {
			t.Fatal(err)
		}
	}
	if err := target.Close(); err != nil {
		t.Fatal(err)
	}
}

// storedDirs are the golden store directories. The value tells whether the store was compacted.
var storedDirs = map[string]bool{"plain": false, "merged": true}

// filesOf reads the files of a directory, except for the store's empty lock file.
func filesOf(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	files := make(map[string][]byte)
	for _, entry := range entries {
		if entry.Name() == "lock" {
			continue
		}
		if files[entry.Name()], err = os.ReadFile(filepath.Join(dir, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	if len(files) == 0 {
		t.Fatalf("directory %s has no files", dir)
	}
	return files
}

// copyOfGolden copies a golden directory, because opening a store writes to it, and returns the copy's path.
func copyOfGolden(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	for file, content := range filesOf(t, filepath.Join(storedGoldenDir, name)) {
		if err := os.WriteFile(filepath.Join(dir, file), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// updatesGolden reports whether to rewrite the golden files.
func updatesGolden() bool { return os.Getenv(updateStoredGoldenEnv) != "" }

func writeGolden(t *testing.T, name string, content []byte) {
	t.Helper()
	path := filepath.Join(storedGoldenDir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// The store must write the same bytes as earlier versions did.
func TestStoredBytesAreStable(t *testing.T) {
	for name, compact := range storedDirs {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeStored(t, dir, compact)
			got := filesOf(t, dir)
			if updatesGolden() {
				if err := os.RemoveAll(filepath.Join(storedGoldenDir, name)); err != nil {
					t.Fatal(err)
				}
				for file, content := range got {
					writeGolden(t, filepath.Join(name, file), content)
				}
			}
			want := filesOf(t, filepath.Join(storedGoldenDir, name))
			if gotNames, wantNames := slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)); !slices.Equal(gotNames, wantNames) {
				t.Fatalf("got files %q, want %q", gotNames, wantNames)
			}
			for file := range want {
				if !bytes.Equal(got[file], want[file]) {
					t.Errorf("file %s: got bytes\n%q\nwant\n%q", file, got[file], want[file])
				}
			}
		})
	}
}

// Every record and field that an earlier version stored must be read.
func TestStoredFilesOfEarlierVersionAreRead(t *testing.T) {
	for name := range storedDirs {
		t.Run(name, func(t *testing.T) {
			dir := copyOfGolden(t, name)
			report, err := store.Check(store.Dir(dir), persistence.Kinds())
			if err != nil || report.TornTail != nil || len(report.Damaged) > 0 || report.Records != goldenRecords {
				t.Fatalf("store check: got %+v, %v", report, err)
			}
			tables := tablesOf(openStored(t, dir))
			requireRecords(t, tables.directives, []storedRecord[persistence.DrainDirective]{
				{"server-1", storedAt(1), completeDirective()},
				{sparseKey, storedAt(2), persistence.DrainDirective{}},
			})
			requireRecords(t, tables.snapshots, []storedRecord[persistence.RelaySnapshot]{
				{snapshotKey, storedAt(6), completeSnapshot()},
				{sparseKey, storedAt(7), persistence.RelaySnapshot{}},
			})
			requireRecords(t, tables.explanations, []storedRecord[explain.Explanation]{
				{explanationKey, storedAt(8), completeExplanation()},
				{sparseKey, storedAt(9), sparseExplanation()},
			})
		})
	}
}

// storedRecord is one record of a table.
type storedRecord[T any] struct {
	key   string
	at    time.Time
	value T
}

// requireRecords fails the test unless a table holds exactly these records in this order.
func requireRecords[T any](t *testing.T, table *store.Table[T], want []storedRecord[T]) {
	t.Helper()
	var got []storedRecord[T]
	err := table.Each(false, func(key string, at time.Time, value T) bool {
		got = append(got, storedRecord[T]{key, at.UTC(), value})
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Fatalf("read %d records of kind %s, want %d", len(got), table.Kind, len(want))
	}
	for i := range want {
		if !reflect.DeepEqual(got[i], want[i]) {
			t.Errorf("record of kind %s: got\n%+v\nwant\n%+v", table.Kind, got[i], want[i])
		}
	}
}

// The dump of a store must not change, and must be the same before and after compaction.
func TestStoredDumpIsUnchanged(t *testing.T) {
	for name := range storedDirs {
		for _, kind := range persistence.Kinds() {
			t.Run(name+" "+kind.Name, func(t *testing.T) {
				var got bytes.Buffer
				if err := store.Dump(store.Dir(copyOfGolden(t, name)), persistence.Kinds(), kind.Name, &got); err != nil {
					t.Fatal(err)
				}
				file := fmt.Sprintf("dump-%s.jsonl", kind.Name)
				if updatesGolden() {
					writeGolden(t, file, got.Bytes())
				}
				want, err := os.ReadFile(filepath.Join(storedGoldenDir, file))
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got.Bytes(), want) {
					t.Errorf("got dump\n%s\nwant\n%s", &got, want)
				}
			})
		}
	}
}

// No field of the golden records may be zero or equal to another: a new field must be added to them, and swapped
// fields would be noticed.
func TestStoredGoldenSetsEveryField(t *testing.T) {
	for _, root := range []any{completeDirective(), completeSnapshot(), completeExplanation()} {
		seen := make(map[any]string)
		requireComplete(t, reflect.ValueOf(root), reflect.TypeOf(root).String(), seen)
	}
}

// requireComplete fails the test for each zero or duplicate value within v. seen has the path of each value so far.
func requireComplete(t *testing.T, v reflect.Value, path string, seen map[any]string) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	_, isTime := v.Interface().(time.Time)
	switch {
	case isTime:
		requireDistinct(t, v, path, seen)
	case v.Kind() == reflect.Pointer:
		requireComplete(t, v.Elem(), path, seen)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				requireComplete(t, v.Field(i), path+"."+field.Name, seen)
			}
		}
	case v.Kind() == reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			requireComplete(t, v.Index(i), fmt.Sprintf("%s[%d]", path, i), seen)
		}
	case v.Kind() == reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for _, key := range v.MapKeys() {
			requireComplete(t, key, path+" key", seen)
			requireComplete(t, v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), seen)
		}
	case v.Kind() == reflect.Bool: // true is the only non-zero value
	default:
		requireDistinct(t, v, path, seen)
	}
}

// requireDistinct fails the test if v has the value of another path in seen, to which it adds v.
func requireDistinct(t *testing.T, v reflect.Value, path string, seen map[any]string) {
	t.Helper()
	if other, ok := seen[v.Interface()]; ok {
		t.Errorf("%s and %s have the same value %v", path, other, v)
	}
	seen[v.Interface()] = path
}
