package fake

import (
	"testing"
	"time"
)

// Guards the queueing model: demand beyond the capacity forms a backlog, a group counts once, and
// capacity is reduced during slow start.
func TestWorkloadDelaysMessages(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1e9, 0)
	load := workload{Capacity: Capacity{WorkRate: time.Second, ClassWork: map[string]time.Duration{"page": 300 * ms}, GroupWork: 200 * ms, MessageTime: 4 * ms, InitialShare: 0.5, SlowStartDuration: 10 * time.Second}, groups: make(map[string]int)}
	check := func(state string, want time.Duration) {
		t.Helper()
		if got := load.delay(now); (got - want).Abs() > 100*time.Microsecond {
			t.Errorf("%s: a message takes %v, want %v", state, got, want)
		}
	}
	check("idle", 4*ms)
	load.add(now, "page", "a")
	check("utilization 0.5", 8*ms)
	load.add(now, "page", "a") // adds no demand of the group
	check("utilization 0.8", 20*ms)
	load.add(now, "page", "b")
	now = now.Add(time.Second)
	check("after a second at utilization 1.3", 80*ms+300*ms)
	load.remove(now, "page", "b")
	now = now.Add(time.Second)
	check("after a second at utilization 0.8", 20*ms+100*ms)
	now = now.Add(time.Second)
	check("backlog worked off", 20*ms)
	load.remove(now, "page", "a")
	load.remove(now, "page", "a")
	check("idle again", 4*ms)
	load.startedAt = now.Add(-5 * time.Second)
	load.add(now, "page", "a")
	check("halfway through slow start, capacity 0.75", 12*ms)
}
