package balancer_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockroad/balancer"
	"lockroad/internal/testutil"
)

// completeSnapshot is a Snapshot with every field set.
func completeSnapshot() balancer.Snapshot {
	return balancer.Snapshot{
		Salt: 0xfedcba9876543210,
		Endpoints: []balancer.EndpointSnapshot{
			{
				ID: 0xf1e2d3c4, Weight: 1.25, WeightSetAt: 1001 * time.Millisecond, LastAttemptAt: 1002 * time.Millisecond,
				EstablishedAt: 1003 * time.Millisecond, FailedAt: 1004 * time.Millisecond, SlowAt: 1005 * time.Millisecond,
				Delay: 1006 * time.Microsecond, DelayAt: 1007 * time.Millisecond, RelievedAt: 1008 * time.Millisecond,
				DrainingSince: 1009 * time.Millisecond, RedirectedAt: 1010 * time.Millisecond, StartedAt: -1011 * time.Millisecond,
			},
			{
				ID: 2, Weight: 0.5, WeightSetAt: 2001, LastAttemptAt: 2002, EstablishedAt: 2003, FailedAt: 2004, SlowAt: 2005,
				Delay: 2006, DelayAt: 2007, RelievedAt: 2008, DrainingSince: 2009, RedirectedAt: 2010, StartedAt: 2011,
			},
		},
		Routes:        []balancer.RouteSnapshot{{Key: 0x123456789abcdef1, Endpoint: 3, ExpiresAt: 3001 * time.Second}},
		RecentSetups:  balancer.CounterSnapshot{Count: 4.5, UpdatedAt: 4001 * time.Millisecond, CountedFrom: 4002 * time.Millisecond},
		ArrivalRate:   balancer.CounterSnapshot{Count: 5.5, UpdatedAt: 5001 * time.Millisecond, CountedFrom: 5002 * time.Millisecond},
		SetupsPerSize: 6.125, MeanLoad: 0.0078125, LoadSamples: 8.5, ConcurrencyLimit: 9.75,
	}
}

// Guards the JSON encoding, in which a relay passes its snapshot to its next process.
func TestSnapshotKeepsItsJSONEncoding(t *testing.T) {
	testutil.RequireComplete(t, completeSnapshot())
	testutil.GoldenJSON(t, "testdata/memory.json", completeSnapshot())
	testutil.GoldenJSON(t, "testdata/memory-zero.json", balancer.Snapshot{})
	testutil.GoldenJSON(t, "testdata/memory-zero-elements.json", balancer.Snapshot{
		Endpoints: make([]balancer.EndpointSnapshot, 1), Routes: make([]balancer.RouteSnapshot, 1)})
}

// Guards the CBOR encoding of stored snapshots.
func TestSnapshotKeepsItsCBOREncoding(t *testing.T) {
	for path, snapshot := range map[string]balancer.Snapshot{"testdata/memory.cbor": completeSnapshot(), "testdata/memory-zero.cbor": {}} {
		body, err := cbor.Marshal(snapshot)
		if err != nil {
			t.Fatalf("encode the snapshot for %s: %v", path, err)
		}
		var decoded balancer.Snapshot
		if err := cbor.Unmarshal(testutil.Golden(t, path, body), &decoded); err != nil {
			t.Fatalf("decode %s: %v", path, err)
		}
		if !reflect.DeepEqual(decoded, snapshot) {
			t.Errorf("%s is decoded as\n%+v, want\n%+v", path, decoded, snapshot)
		}
	}
}

// Guards against untagged fields, whose renaming would change both encodings.
func TestSnapshotFieldsAreTagged(t *testing.T) {
	testutil.RequireTags(t, []string{"json", "cbor"}, balancer.Snapshot{})
}
