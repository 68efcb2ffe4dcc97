package discovery

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestWatchBackoffGrowsWithFailures(t *testing.T) {
	for i, policy := range []watchPolicy{agentPolicy, servicePolicy, servicePolicy} {
		overloaded := i == 2
		seen := map[time.Duration]bool{}
		for failures := range 12 {
			limit := min(policy.maxBackoff, policy.minBackoff<<failures)
			if overloaded {
				limit = min(overloadedMaxBackoff, overloadedMinBackoff<<failures)
			}
			for range 50 {
				wait := policy.backoff(failures, overloaded, 0)
				if seen[wait] = true; wait < limit/2 || wait > limit {
					t.Fatalf("after %d failures, overloaded %v: backoff %v, want between half of %v and all of it", failures, overloaded, wait, limit)
				}
			}
		}
		if len(seen) < 100 {
			t.Errorf("%d of 600 backoffs are distinct, want at least 100: relays would reconnect at the same time", len(seen))
		}
	}
	if wait := servicePolicy.backoff(12, true, 6*time.Second); wait > 3*time.Second {
		t.Errorf("backoff with a poll interval of 6 s is %v, want at most 3 s", wait)
	}
	_, err := readResponseHead(bufio.NewReader(strings.NewReader("HTTP/1.1 503 Service Unavailable\r\n\r\n")))
	if !errors.Is(err, errOverloaded) {
		t.Errorf("status 503 is reported as %v, want errOverloaded", err)
	}
}
