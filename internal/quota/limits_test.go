package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An address begins its burst at once, and then at its rate; another is not held up by it.
func TestRate(t *testing.T) {
	g := New(Settings{Rate: 2, Burst: 3})
	began := 0
	for ms := range 3000 {
		if _, why, ok := g.Acquire(time.Duration(ms)*time.Millisecond, "a", "page"); ok {
			began++
		} else if why != ReasonRate {
			t.Fatal(why)
		}
	}
	if began != 3+5 {
		t.Errorf("%d began in 3 s", began)
	}
	if _, _, ok := g.Acquire(3*time.Second, "b", "page"); !ok {
		t.Error("another address is held up")
	}
}

// A flood by one address leaves the others their fair share: once seats run short it gets no more than they, and
// whoever comes anew gets one.
func TestFloodLeavesFairShares(t *testing.T) {
	g := New(Settings{Fair: 100})
	held := 0
	for range 1000 {
		if _, _, ok := g.Acquire(0, "flood", "page"); ok {
			held++
		}
	}
	if held != 80 {
		t.Fatalf("alone it holds %d", held) // the rest is for who may yet come
	}
	g = New(Settings{Fair: 100})
	counts := make(map[string]int)
	for i := range 2000 {
		for n := range 50 {
			if n == 0 || i%10 == 0 {
				address := "flood"
				if n > 0 {
					address = fmt.Sprintf("room-%d", n%4)
				}
				if _, _, ok := g.Acquire(0, address, "page"); ok {
					counts[address]++
				}
			}
		}
	}
	for n := range 4 {
		if c := counts[fmt.Sprintf("room-%d", n)]; c < 16 {
			t.Errorf("room-%d holds %d of 100: %v", n, c, counts)
		}
	}
}

// Whatever comes: no bound is passed, what is released can be taken again, and in the end nothing is held.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{PerAddress: rapid.IntRange(0, 4).Draw(t, "per address"), Fair: rapid.IntRange(0, 12).Draw(t, "fair"), PerClass: map[string]int{"page": rapid.IntRange(1, 6).Draw(t, "per class")}}
		g := New(set)
		type held struct {
			address, class string
			release        func()
		}
		var all []held
		count := func(of func(held) bool) (n int) {
			for _, h := range all {
				if of(h) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(all) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				all[i].release()
				all[i].release() // a second time is none
				all = append(all[:i], all[i+1:]...)
				continue
			}
			address, class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), rapid.SampledFrom([]string{"page", "live"}).Draw(t, "class")
			mine := count(func(h held) bool { return h.address == address })
			ofClass := count(func(h held) bool { return h.class == class })
			release, why, ok := g.Acquire(0, address, class)
			switch {
			case ok && set.PerAddress > 0 && mine >= set.PerAddress, ok && class == "page" && ofClass >= set.PerClass["page"]:
				t.Fatalf("%s has %d, its class %d, and one more is taken", address, mine, ofClass)
			case !ok && mine == 0 && why != ReasonPerClass:
				t.Fatalf("an address that holds nothing is turned away: %v", why)
			case ok:
				all = append(all, held{address, class, release})
			}
		}
		for _, h := range all {
			h.release()
		}
		if g.total != 0 || g.active != 0 || len(g.classes) != 0 {
			t.Fatalf("%d are held by %d addresses, classes %v", g.total, g.active, g.classes)
		}
	})
}

// Addresses by the ten thousand are forgotten, and those that hold something are not.
func TestAddressesAreBounded(t *testing.T) {
	g := New(Settings{PerAddress: 1, Rate: 1})
	release, _, _ := g.Acquire(0, "stays", "page")
	for i := range 3 * addressesMost {
		if r, _, ok := g.Acquire(time.Duration(i)*time.Millisecond, fmt.Sprint(i), "page"); ok {
			r()
		}
		if len(g.holders) > addressesMost {
			t.Fatalf("%d addresses are known", len(g.holders))
		}
	}
	if _, why, ok := g.Acquire(time.Hour, "stays", "page"); ok || why != ReasonPerAddress {
		t.Error("an address that holds one is forgotten")
	}
	release()
}

func TestCheck(t *testing.T) {
	for _, bad := range []Settings{{PerAddress: -1}, {Rate: -1}, {Burst: 3}, {PerClass: map[string]int{"page": 0}}} {
		if bad.Validate() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
	if err := (&Settings{PerAddress: 4, Rate: 2, Burst: 8, Fair: 100}).Validate(); err != nil {
		t.Error(err)
	}
}
