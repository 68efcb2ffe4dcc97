package fake

import (
	"testing"
	"time"
)

// Demand beyond the capacity forms a backlog, which is worked off again; a group counts
// once, and a server that is warming up does less.
func TestWorkloadDelaysMessages(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1e9, 0)
	load := workload{Capacity: Capacity{WorkRate: time.Second, ClassWork: map[string]time.Duration{"page": 300 * ms}, GroupWork: 200 * ms, MessageTime: 4 * ms, InitialShare: 0.5, SlowStartDuration: 10 * time.Second}, groups: make(map[string]int)}
	want := func(what string, delay time.Duration) {
		t.Helper()
		if got := load.delay(now); (got - delay).Abs() > 100*time.Microsecond {
			t.Errorf("%s: a message takes %v, want %v", what, got, delay)
		}
	}
	want("idle", 4*ms)
	load.add(now, "page", "a")
	want("half full", 8*ms)
	load.add(now, "page", "a") // the group is there already
	want("at 0.8", 20*ms)
	load.add(now, "page", "b")
	now = now.Add(time.Second)
	want("a second at 1.3", 80*ms+300*ms)
	load.remove(now, "page", "b")
	now = now.Add(time.Second)
	want("a second at 0.8 later", 20*ms+100*ms)
	now = now.Add(time.Second)
	want("worked off", 20*ms)
	load.remove(now, "page", "a")
	load.remove(now, "page", "a")
	want("idle again", 4*ms)
	load.startedAt = now.Add(-5 * time.Second)
	load.add(now, "page", "a")
	want("half warmed up, which does 0.75", 12*ms)
}
