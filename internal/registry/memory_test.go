package registry

import (
	"encoding/json"
	"testing"

	"lockroad/balancer"
)

// The name of a transaction that another process of the relay has is taken here too, until
// it comes here or that process has ended.
func TestNamesUnderWayElsewhereAreTaken(t *testing.T) {
	there, here := NewRequests(), NewRequests()
	for _, name := range []string{"a", "b"} {
		there.Add(Request{Front: "line", Name: name})
	}
	here.Reserve(there.Names())
	add := func(name string) bool {
		_, ok := here.Add(Request{Front: "line", Name: name})
		return ok
	}
	if add("a") || add("b") || !add("c") {
		t.Error("a name is served twice, or one that is free is not")
	}
	if _, ok := here.Adopt(Request{Front: "line", Name: "a"}); !ok || add("a") {
		t.Error("a transaction that came here")
	}
	if here.Release(); add("a") || !add("b") {
		t.Error("after the other process's end")
	}
}

func TestServersHaveTheSameNumberEverywhere(t *testing.T) {
	f := NewEndpoints()
	if id := f.ID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("the number is %#x", id)
	}
	odd := f.ID("an odd name")
	if again := NewEndpoints().ID("an odd name"); again != odd || f.ID("an odd name") != odd {
		t.Error("an odd name has two numbers")
	}
	if f.ID("x-5be2a07c") == f.ID("s-5be2a07c") {
		t.Error("two names share a number")
	}
}

func TestLeavingIsToldOnceAndTakenBackByARestart(t *testing.T) {
	f := NewEndpoints()
	id := f.ID("s-1")
	if _, ok := f.Find(id); ok {
		t.Error("a server was found that no list has named")
	}
	f.Update(id, "a:1", balancer.StateReady)
	before, _ := f.Find(id)
	f.Update(id, "a:2", balancer.StateReady)
	if before.IsDraining() {
		t.Error("a server is leaving that has only moved")
	}
	f.Update(id, "", balancer.StateDraining)
	f.Update(id, "", balancer.StateGone)
	if !before.IsDraining() {
		t.Error("a server that drains is not leaving")
	}
	f.Update(id, "", balancer.StateReady)
	if after, _ := f.Find(id); after.IsDraining() || after.Address != "a:2" || !before.IsDraining() {
		t.Error("a server that is back is leaving, or who held the old one isn't told")
	}
	cold := f.ID("s-2")
	f.Update(cold, "b:1", balancer.StateDraining)
	if s, ok := f.Find(cold); !ok || !s.IsDraining() {
		t.Error("a server that was first heard of draining is not leaving")
	}
}

func TestWholeListEndsWhatItLeavesOut(t *testing.T) {
	f := NewEndpoints()
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		f.Update(f.ID(name), "a", balancer.StateReady)
	}
	f.RetainOnly([]balancer.Endpoint{{ID: f.ID("s-2")}})
	if n := f.CountByState(); n != [3]int64{2, 1, 0} {
		t.Errorf("gone, ready, draining: %v", n)
	}
}

func TestTransactionsAreKeptWhileUnderWay(t *testing.T) {
	all := NewRequests()
	one, _ := all.Add(Request{Name: "one"})
	two, _ := all.Add(Request{Name: "two"})
	all.Set(two, StageAttempting, 5)
	all.Set(two, StageAttempting, 6)
	all.Set(two, StageEstablished, 6)
	all.Remove(one)
	all.Set(one, StageEstablished, 1)
	list := all.List()
	if len(list) != 1 || list[0].Name != "two" || list[0].Attempts != 2 || list[0].Endpoint != 6 || all.CountByStage() != [3]int64{0, 0, 1} {
		t.Errorf("kept: %+v", list)
	}
}

// The name of a transaction that is under way is taken, at its own front only.
func TestNamesAreTakenWhileTransactionsAreUnderWay(t *testing.T) {
	all := NewRequests()
	first, ok := all.Add(Request{Front: "line", Name: "one"})
	if !ok {
		t.Fatal("a free name is taken")
	}
	if _, ok := all.Add(Request{Front: "line", Name: "one"}); ok {
		t.Error("two share a name")
	}
	if _, ok := all.Add(Request{Front: "amqp", Name: "one"}); !ok {
		t.Error("a name is taken at another front")
	}
	all.Remove(first)
	all.Remove(first)
	if _, ok := all.Add(Request{Front: "line", Name: "one"}); !ok {
		t.Error("the name of one that is over is taken")
	}
	for range 2 {
		if _, ok := all.Add(Request{Front: "line"}); !ok {
			t.Error("those without a name are held for one")
		}
	}
}

// The names of transactions under way go from one process to the next at an upgrade: the form stays.
func TestNamedKeepsItsForm(t *testing.T) {
	const form = `{"Front":"front-1","Name":"name-2"}`
	want := RequestName{Front: "front-1", Name: "name-2"}
	text, err := json.Marshal(want)
	if err != nil || string(text) != form {
		t.Errorf("it is written as %s, %v", text, err)
	}
	var got RequestName
	if err := json.Unmarshal([]byte(form), &got); err != nil || got != want {
		t.Errorf("it is read as %+v, %v", got, err)
	}
}
