package registry

import (
	"encoding/json"
	"testing"
)

// The name of a request that is open in another process of the relay is refused here too, until
// the request is adopted here or that process has ended.
func TestReservedNamesAreRefused(t *testing.T) {
	previous, current := NewRequests(), NewRequests()
	for _, name := range []string{"a", "b"} {
		previous.Add(Request{Frontend: "line", Name: name})
	}
	current.Reserve(previous.Names())
	add := func(name string) bool {
		_, ok := current.Add(Request{Frontend: "line", Name: name})
		return ok
	}
	if add("a") || add("b") || !add("c") {
		t.Error("a name is accepted twice, or one that is free is refused")
	}
	if _, ok := current.Adopt(Request{Frontend: "line", Name: "a"}); !ok || add("a") {
		t.Error("a request that was adopted")
	}
	if current.Release(); add("a") || !add("b") {
		t.Error("after the other process's end")
	}
}

func TestRequestsAreListedWhileOpen(t *testing.T) {
	requests := NewRequests()
	first, _ := requests.Add(Request{Name: "one"})
	second, _ := requests.Add(Request{Name: "two"})
	requests.SetStage(second, StageAttempting, 5)
	requests.SetStage(second, StageAttempting, 6)
	requests.SetStage(second, StageEstablished, 6)
	requests.Remove(first)
	requests.SetStage(first, StageEstablished, 1)
	list := requests.List()
	if len(list) != 1 || list[0].Name != "two" || list[0].Attempts != 2 || list[0].Endpoint != 6 || requests.CountByStage() != [3]int64{0, 0, 1} {
		t.Errorf("listed: %+v", list)
	}
}

// The name of an open request is refused, at its own frontend only.
func TestNamesOfOpenRequestsAreRefused(t *testing.T) {
	requests := NewRequests()
	first, ok := requests.Add(Request{Frontend: "line", Name: "one"})
	if !ok {
		t.Fatal("a free name is refused")
	}
	if _, ok := requests.Add(Request{Frontend: "line", Name: "one"}); ok {
		t.Error("two share a name")
	}
	if _, ok := requests.Add(Request{Frontend: "amqp", Name: "one"}); !ok {
		t.Error("a name is refused at another frontend")
	}
	requests.Remove(first)
	requests.Remove(first)
	if _, ok := requests.Add(Request{Frontend: "line", Name: "one"}); !ok {
		t.Error("the name of a request that has ended is refused")
	}
	for range 2 {
		if _, ok := requests.Add(Request{Frontend: "line"}); !ok {
			t.Error("requests without a name are held for one")
		}
	}
}

// The names of open requests go from one process to the next at an upgrade: the form stays.
func TestRequestNameEncodingIsStable(t *testing.T) {
	const form = `{"Front":"front-1","Name":"name-2"}`
	want := RequestName{Frontend: "front-1", Name: "name-2"}
	text, err := json.Marshal(want)
	if err != nil || string(text) != form {
		t.Errorf("it is written as %s, %v", text, err)
	}
	var got RequestName
	if err := json.Unmarshal([]byte(form), &got); err != nil || got != want {
		t.Errorf("it is read as %+v, %v", got, err)
	}
}
