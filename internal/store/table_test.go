package store

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type person struct {
	Name string `cbor:"1,keyasint"`
	Age  int    `cbor:"2,keyasint"`
}

// Records of an older version are upgraded, and those of a newer version are skipped and reported.
func TestTableUpgradesOlderRecords(t *testing.T) {
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
		t.Errorf("Each visits %v and returns %v, want Ada and Bo and an error about version 3", all, err)
	}
	if v, _, ok, err := people.Get("b"); !ok || err != nil || v.Age != 3 {
		t.Errorf("Get returns %v, %v, %v, want Bo of age 3", v, ok, err)
	}
	must(t, people.Remove(context.Background(), "b"))
	if _, _, ok, err := people.Get("b"); ok || err != nil {
		t.Errorf("Get after Remove returns found %v and error %v, want neither", ok, err)
	}
	times := &Table[time.Time]{Store: s, Kind: "state", Version: 1}
	now := time.Unix(1_700_000_000, 123456789)
	must(t, times.Commit(context.Background(), "now", now))
	if at, _, _, err := times.Get("now"); err != nil || !at.Equal(now) {
		t.Errorf("time %v is read as %v, %v", now, at, err)
	}
	var none Table[person]
	if _, _, ok, err := none.Get("a"); ok || err != nil || none.Commit(context.Background(), "a", person{}) == nil {
		t.Error("a table without a store returns or commits a record")
	}
}
