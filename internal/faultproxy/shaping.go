package faultproxy

import (
	"math"
	"slices"
	"time"
)

// activeFault returns the first active fault of a kind and its rule, if there is one.
func (f *Flow) activeFault(kind FaultKind) (*activeRule, Fault, bool) {
	for _, rule := range f.rules {
		if !rule.active {
			continue
		}
		for _, fault := range rule.Faults {
			if fault.Kind == kind {
				return rule, fault, true
			}
		}
	}
	return nil, Fault{}, false
}

// transform returns a copy of data with the active swallow or garble fault applied.
func (f *Flow) transform(data []byte, now time.Duration) []byte {
	if rule, _, found := f.activeFault(Swallow); found {
		f.reportOnce(rule, Swallow, now)
		return nil
	}
	rule, garble, found := f.activeFault(Garble)
	if !found || rule.garbleLeft == 0 {
		return slices.Clone(data)
	}
	count := min(uint64(len(data)), rule.garbleLeft)
	rule.garbleLeft -= count
	out := make([]byte, 0, len(data)+int(count))
	switch garble.Mode {
	case "flip":
		for i, c := range data[:count] {
			out = append(out, c^1<<(hash(rule.salt, f.offset+uint64(i))%8))
		}
	case "duplicate":
		out = append(append(out, data[:count]...), data[:count]...)
	}
	return append(out, data[count:]...)
}

// reportOnce reports a byte fault when it first takes effect after a trigger.
func (f *Flow) reportOnce(rule *activeRule, kind FaultKind, now time.Duration) {
	if !rule.reported {
		rule.reported = true
		f.report(rule, kind, now)
	}
}

// forward emits bytes, or holds them back while a merge fault is active.
func (f *Flow) forward(data []byte, now time.Duration, operations []Op) []Op {
	if len(data) == 0 {
		return operations
	}
	if rule, _, found := f.activeFault(Merge); found {
		f.reportOnce(rule, Merge, now)
		if len(f.merged) == 0 {
			f.mergedSince = now
		}
		if f.merged = append(f.merged, data...); len(f.merged) < maxPacket {
			return operations
		}
		return f.flush(operations, now)
	}
	return f.emit(data, now, operations)
}

// flush emits the bytes held back for merging.
func (f *Flow) flush(operations []Op, now time.Duration) []Op {
	merged := f.merged
	f.merged = nil
	if len(merged) == 0 {
		return operations
	}
	return f.emit(merged, now, operations)
}

// minWritesPerSecond is the minimum number of writes per second under a bandwidth limit.
const minWritesPerSecond = 20

// emit appends the writes of data, timed and sized by the active faults.
func (f *Flow) emit(data []byte, now time.Duration, operations []Op) []Op {
	at := now
	if rule, _, found := f.activeFault(Pause); found {
		f.reportOnce(rule, Pause, now)
		at = max(at, rule.until)
	}
	if rule, latency, found := f.activeFault(Latency); found {
		f.reportOnce(rule, Latency, now)
		at += latency.Delay + jitter(latency, uniform(rule.salt, f.offset), uniform(rule.salt, f.offset, 1))
	}
	size, gap := maxPacket, time.Duration(0)
	if rule, split, found := f.activeFault(Split); found {
		f.reportOnce(rule, Split, now)
		size, gap = int(min(split.Count, maxPacket)), splitInterval
	}
	if rule, drip, found := f.activeFault(Drip); found {
		f.reportOnce(rule, Drip, now)
		size, gap = int(min(drip.Count, uint64(size))), max(gap, drip.Delay)
	}
	rate := uint64(0)
	if rule, bandwidth, found := f.activeFault(Bandwidth); found {
		f.reportOnce(rule, Bandwidth, now)
		rate = bandwidth.Count
		size = min(size, int(max(1, rate/minWritesPerSecond)))
	}
	for first := true; len(data) > 0; first = false {
		count := min(len(data), size)
		at = max(at, f.lastAt)
		if gap > 0 && f.sent && (!first || at < f.lastAt+gap) {
			at = max(at, f.lastAt+gap)
		}
		if rate > 0 {
			at = max(at, f.rateFreeAt)
			f.rateFreeAt = at + time.Duration(float64(count)/float64(rate)*float64(time.Second))
		}
		operations = append(operations, Op{Kind: OpWrite, At: at, Data: data[:count:count]})
		f.lastAt, f.sent = at, true
		data = data[count:]
	}
	return operations
}

// jitter maps two uniform random numbers in [0, 1) to a jitter of the fault's distribution. It
// never makes the latency negative.
func jitter(fault Fault, x, y float64) time.Duration {
	var j float64
	switch fault.Mode {
	case "uniform":
		j = 2*x - 1
	case "normal":
		j = math.Sqrt(-2*math.Log(max(x, 1e-12))) * math.Cos(2*math.Pi*y)
	case "exponential":
		j = -math.Log(max(x, 1e-12))
	}
	return max(-fault.Delay, time.Duration(j*float64(fault.Jitter)))
}
