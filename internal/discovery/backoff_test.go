package discovery

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestWatchBackoffGrowsWithFailures(t *testing.T) {
	for i, p := range []watchPolicy{agentPolicy, servicePolicy, servicePolicy} {
		busy := i == 2
		seen := map[time.Duration]bool{}
		for fails := range 12 {
			most := min(p.maxBackoff, p.minBackoff<<fails)
			if busy {
				most = min(overloadedMaxBackoff, overloadedMinBackoff<<fails)
			}
			for range 50 {
				wait := p.backoff(fails, busy, 0)
				if seen[wait] = true; wait < most/2 || wait > most {
					t.Fatalf("after %d failures, overloaded %v, the wait is %v, want between half of %v and all", fails, busy, wait, most)
				}
			}
		}
		if len(seen) < 100 {
			t.Errorf("%d waits of 600 differ: relays return in step", len(seen))
		}
	}
	if wait := servicePolicy.backoff(12, true, 6*time.Second); wait > 3*time.Second {
		t.Errorf("discovery that is polled every 6 s is polled after %v", wait)
	}
	_, err := readResponseHead(bufio.NewReader(strings.NewReader("HTTP/1.1 503 Service Unavailable\r\n\r\n")))
	if !errors.Is(err, errOverloaded) {
		t.Errorf("an overloaded service is reported as %v", err)
	}
}
