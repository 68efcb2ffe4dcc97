package registry

import (
	"encoding/json"
	"testing"
)

// The name of a request that is open in another process of the relay is only accepted by Adopt,
// or after ReleaseReservations.
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
		t.Error("Add accepts a reserved name, or refuses a free one")
	}
	if _, ok := current.Adopt(Request{Frontend: "line", Name: "a"}); !ok || add("a") {
		t.Error("Adopt refuses a reserved name, or Add accepts the name after Adopt")
	}
	third := NewRequests()
	if third.Reserve(current.Names()); len(current.Names()) != 3 {
		t.Errorf("names %v, want the open a and c and the reserved b", current.Names())
	}
	third.Release([]RequestName{{Frontend: "line", Name: "b"}})
	if _, ok := third.Add(Request{Frontend: "line", Name: "b"}); !ok {
		t.Error("Add refuses a name whose reservation was released")
	}
	if current.ReleaseReservations(); add("a") || !add("b") {
		t.Error("after ReleaseReservations, Add accepts the name of an open request, or refuses a free one")
	}
}

// Open requests are listed and counted with their last stage and endpoint until they are removed.
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
		t.Errorf("listed %+v, want request two, established at endpoint 6 after 2 attempts", list)
	}
}

// The name of an open request is refused at the same frontend, and accepted at another.
func TestNamesOfOpenRequestsAreRefused(t *testing.T) {
	requests := NewRequests()
	first, ok := requests.Add(Request{Frontend: "line", Name: "one"})
	if !ok {
		t.Fatal("Add refuses a free name")
	}
	if _, ok := requests.Add(Request{Frontend: "line", Name: "one"}); ok {
		t.Error("Add accepts the name of an open request")
	}
	if _, ok := requests.Add(Request{Frontend: "amqp", Name: "one"}); !ok {
		t.Error("Add refuses a name that is open at another frontend only")
	}
	requests.Remove(first)
	requests.Remove(first)
	if _, ok := requests.Add(Request{Frontend: "line", Name: "one"}); !ok {
		t.Error("Add refuses the name of a request that was removed")
	}
	for range 2 {
		if _, ok := requests.Add(Request{Frontend: "line"}); !ok {
			t.Error("Add refuses a second request without a name")
		}
	}
}

// Processes of different versions exchange the names of open requests during an upgrade.
func TestRequestNameEncodingIsStable(t *testing.T) {
	const encoded = `{"Front":"front-1","Name":"name-2"}`
	want := RequestName{Frontend: "front-1", Name: "name-2"}
	text, err := json.Marshal(want)
	if err != nil || string(text) != encoded {
		t.Errorf("encoded as %s, want %s; error %v", text, encoded, err)
	}
	var got RequestName
	if err := json.Unmarshal([]byte(encoded), &got); err != nil || got != want {
		t.Errorf("decoded as %+v, want %+v; error %v", got, want, err)
	}
}
