package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An address may start a burst of requests at once, and then requests at the rate; other addresses are not affected.
func TestRateIsPerAddress(t *testing.T) {
	limiter := New(Settings{Rate: 2, Burst: 3})
	accepted := 0
	for ms := range 3000 {
		if _, reason, ok := limiter.Acquire(time.Duration(ms)*time.Millisecond, "a", "page"); ok {
			accepted++
		} else if reason != ReasonRate {
			t.Fatalf("a request was rejected by the limit %q, want %q", reason, ReasonRate)
		}
	}
	if accepted != 3+5 {
		t.Errorf("%d requests were accepted in 3 s, want 8", accepted)
	}
	if _, _, ok := limiter.Acquire(3*time.Second, "b", "page"); !ok {
		t.Error("the first request of another address was rejected")
	}
}

// Guards against one address that uses all admission slots: slots stay free for other addresses, and each gets its
// share.
func TestFloodFromOneAddressLeavesFairShares(t *testing.T) {
	limiter := New(Settings{FairShareSlots: 100})
	held := 0
	for range 1000 {
		if _, _, ok := limiter.Acquire(0, "flood", "page"); ok {
			held++
		}
	}
	if held != 80 {
		t.Fatalf("a single address holds %d slots, want 80", held) // the others stay free for further addresses
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
			t.Errorf("room-%d holds %d of 100 slots, want at least 16: %v", n, got, counts)
		}
	}
}

// For all sequences of Acquire and release: no limit is exceeded, an address without active requests is only rejected
// by the limit of its class, and no request stays active after its release.
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
				active[i].release() // the second call must have no effect
				active = append(active[:i], active[i+1:]...)
				continue
			}
			address, class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), rapid.SampledFrom([]string{"page", "live"}).Draw(t, "class")
			ofAddress := count(func(request activeRequest) bool { return request.address == address })
			ofClass := count(func(request activeRequest) bool { return request.class == class })
			release, reason, ok := limiter.Acquire(0, address, class)
			switch {
			case ok && settings.PerAddress > 0 && ofAddress >= settings.PerAddress, ok && class == "page" && ofClass >= settings.PerClass["page"]:
				t.Fatalf("a request was accepted beside %d from the address %s and %d of the class %s", ofAddress, address, ofClass, class)
			case !ok && ofAddress == 0 && reason != ReasonPerClass:
				t.Fatalf("an address without active requests was rejected: %v", reason)
			case ok:
				active = append(active, activeRequest{address, class, release})
			}
		}
		for _, request := range active {
			request.release()
		}
		if limiter.activeRequests != 0 || limiter.activeAddresses != 0 || len(limiter.activeByClass) != 0 {
			t.Fatalf("at the end %d requests are active, %d addresses, classes %v", limiter.activeRequests, limiter.activeAddresses, limiter.activeByClass)
		}
	})
}

// Only addresses without active requests are evicted to limit the number of tracked addresses.
func TestTrackedAddressesAreBounded(t *testing.T) {
	limiter := New(Settings{PerAddress: 1, Rate: 1})
	release, _, _ := limiter.Acquire(0, "stays", "page")
	for i := range 3 * maxAddresses {
		if releaseNext, _, ok := limiter.Acquire(time.Duration(i)*time.Millisecond, fmt.Sprint(i), "page"); ok {
			releaseNext()
		}
		if len(limiter.addresses) > maxAddresses {
			t.Fatalf("%d addresses are tracked, want at most %d", len(limiter.addresses), maxAddresses)
		}
	}
	if _, reason, ok := limiter.Acquire(time.Hour, "stays", "page"); ok || reason != ReasonPerAddress {
		t.Error("a second request was accepted: the address with an active request was evicted")
	}
	release()
}
