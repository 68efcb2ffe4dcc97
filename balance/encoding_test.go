package balance_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockroad/balance"
	"lockroad/internal/steps"
)

// wholeMemory is a Memory with every field set.
func wholeMemory() balance.Memory {
	return balance.Memory{
		Salt: 0xfedcba9876543210,
		Servers: []balance.ServerMemory{
			{
				ID: 0xf1e2d3c4, Weight: 1.25, Weighed: 1001 * time.Millisecond, LastSent: 1002 * time.Millisecond,
				StoodAt: 1003 * time.Millisecond, FailedAt: 1004 * time.Millisecond, LastSlow: 1005 * time.Millisecond,
				Delay: 1006 * time.Microsecond, DelayAt: 1007 * time.Millisecond, Relieved: 1008 * time.Millisecond,
				DrainAt: 1009 * time.Millisecond, AwayAt: 1010 * time.Millisecond, LastBorn: -1011 * time.Millisecond,
			},
			{
				ID: 2, Weight: 0.5, Weighed: 2001, LastSent: 2002, StoodAt: 2003, FailedAt: 2004, LastSlow: 2005,
				Delay: 2006, DelayAt: 2007, Relieved: 2008, DrainAt: 2009, AwayAt: 2010, LastBorn: 2011,
			},
		},
		Routes:  []balance.RouteMemory{{Key: 0x123456789abcdef1, Server: 3, Until: 3001 * time.Second}},
		Recent:  balance.CountMemory{Count: 4.5, Since: 4001 * time.Millisecond, From: 4002 * time.Millisecond},
		Pace:    balance.CountMemory{Count: 5.5, Since: 5001 * time.Millisecond, From: 5002 * time.Millisecond},
		PerSize: 6.125, Load: 0.0078125, Loads: 8.5, Window: 9.75,
	}
}

// What a balancer has learnt goes to a relay's next process as JSON.
func TestMemoryKeepsItsJSONEncoding(t *testing.T) {
	steps.Complete(t, wholeMemory())
	steps.GoldenJSON(t, "testdata/memory.json", wholeMemory())
	steps.GoldenJSON(t, "testdata/memory-zero.json", balance.Memory{})
	steps.GoldenJSON(t, "testdata/memory-zero-elements.json", balance.Memory{
		Servers: make([]balance.ServerMemory, 1), Routes: make([]balance.RouteMemory, 1)})
}

// It goes to the store as CBOR.
func TestMemoryKeepsItsCBOREncoding(t *testing.T) {
	for path, memory := range map[string]balance.Memory{"testdata/memory.cbor": wholeMemory(), "testdata/memory-zero.cbor": {}} {
		body, err := cbor.Marshal(memory)
		if err != nil {
			t.Fatal(err)
		}
		var decoded balance.Memory
		if err := cbor.Unmarshal(steps.Golden(t, path, body), &decoded); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if !reflect.DeepEqual(decoded, memory) {
			t.Errorf("%s is decoded as\n%+v, want\n%+v", path, decoded, memory)
		}
	}
}

// A field that has no name in its tags would change both encodings when it is renamed.
func TestMemoryFieldsAreTagged(t *testing.T) {
	steps.Tagged(t, []string{"json", "cbor"}, balance.Memory{})
}
