package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An address begins its burst at once, and then at its rate; another is not held up by it.
func TestRateIsPerAddress(t *testing.T) {
	limiter := New(Settings{Rate: 2, Burst: 3})
	accepted := 0
	for ms := range 3000 {
		if _, reason, ok := limiter.Acquire(time.Duration(ms)*time.Millisecond, "a", "page"); ok {
			accepted++
		} else if reason != ReasonRate {
			t.Fatal(reason)
		}
	}
	if accepted != 3+5 {
		t.Errorf("%d were accepted in 3 s", accepted)
	}
	if _, _, ok := limiter.Acquire(3*time.Second, "b", "page"); !ok {
		t.Error("another address is held up")
	}
}

// A flood by one address leaves the others their fair share: once admission slots run short it gets no more than they, and
// a new address gets one.
func TestOneAddressLeavesFairShares(t *testing.T) {
	limiter := New(Settings{FairShareSlots: 100})
	held := 0
	for range 1000 {
		if _, _, ok := limiter.Acquire(0, "flood", "page"); ok {
			held++
		}
	}
	if held != 80 {
		t.Fatalf("alone it has %d", held) // the rest is for addresses yet to come
	}
	limiter = New(Settings{FairShareSlots: 100})
	counts := make(map[string]int)
	for i := range 2000 {
		for n := range 50 {
			if n == 0 || i%10 == 0 {
				address := "flood"
				if n > 0 {
					address = fmt.Sprintf("room-%d", n%4)
				}
				if _, _, ok := limiter.Acquire(0, address, "page"); ok {
					counts[address]++
				}
			}
		}
	}
	for n := range 4 {
		if got := counts[fmt.Sprintf("room-%d", n)]; got < 16 {
			t.Errorf("room-%d holds %d of 100: %v", n, got, counts)
		}
	}
}

// Whatever comes: no limit is exceeded, what is released can be acquired again, and in the end nothing is active.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{PerAddress: rapid.IntRange(0, 4).Draw(t, "per address"), FairShareSlots: rapid.IntRange(0, 12).Draw(t, "fair"), PerClass: map[string]int{"page": rapid.IntRange(1, 6).Draw(t, "per class")}}
		limiter := New(settings)
		type activeRequest struct {
			address, class string
			release        func()
		}
		var active []activeRequest
		count := func(matches func(activeRequest) bool) (n int) {
			for _, request := range active {
				if matches(request) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(active) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(active)-1).Draw(t, "which")
				active[i].release()
				active[i].release() // a second time is none
				active = append(active[:i], active[i+1:]...)
				continue
			}
			address, class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), rapid.SampledFrom([]string{"page", "live"}).Draw(t, "class")
			ofAddress := count(func(request activeRequest) bool { return request.address == address })
			ofClass := count(func(request activeRequest) bool { return request.class == class })
			release, reason, ok := limiter.Acquire(0, address, class)
			switch {
			case ok && settings.PerAddress > 0 && ofAddress >= settings.PerAddress, ok && class == "page" && ofClass >= settings.PerClass["page"]:
				t.Fatalf("%s has %d, its class %d, and one more is accepted", address, ofAddress, ofClass)
			case !ok && ofAddress == 0 && reason != ReasonPerClass:
				t.Fatalf("an address without an active request is rejected: %v", reason)
			case ok:
				active = append(active, activeRequest{address, class, release})
			}
		}
		for _, request := range active {
			request.release()
		}
		if limiter.activeRequests != 0 || limiter.activeAddresses != 0 || len(limiter.activeByClass) != 0 {
			t.Fatalf("%d are active of %d addresses, classes %v", limiter.activeRequests, limiter.activeAddresses, limiter.activeByClass)
		}
	})
}

// Idle addresses are evicted, and those with an active request are not.
func TestTrackedAddressesAreBounded(t *testing.T) {
	limiter := New(Settings{PerAddress: 1, Rate: 1})
	release, _, _ := limiter.Acquire(0, "stays", "page")
	for i := range 3 * maxAddresses {
		if releaseNext, _, ok := limiter.Acquire(time.Duration(i)*time.Millisecond, fmt.Sprint(i), "page"); ok {
			releaseNext()
		}
		if len(limiter.addresses) > maxAddresses {
			t.Fatalf("%d addresses are tracked", len(limiter.addresses))
		}
	}
	if _, reason, ok := limiter.Acquire(time.Hour, "stays", "page"); ok || reason != ReasonPerAddress {
		t.Error("an address with an active request was evicted")
	}
	release()
}
