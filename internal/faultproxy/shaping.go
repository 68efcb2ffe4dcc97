package faultproxy

import (
	"math"
	"slices"
	"time"
)

// activeFault returns the active fault of a kind, and its rule, if there is one now.
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

// transform returns bytes swallowed or garbled, as a copy.
func (f *Flow) transform(b []byte, now time.Duration) []byte {
	if rule, _, on := f.activeFault(Swallow); on {
		f.reportOnce(rule, Swallow, now)
		return nil
	}
	rule, garble, on := f.activeFault(Garble)
	if !on || rule.garbleLeft == 0 {
		return slices.Clone(b)
	}
	n := min(uint64(len(b)), rule.garbleLeft)
	rule.garbleLeft -= n
	out := make([]byte, 0, len(b)+int(n))
	switch garble.Mode {
	case "flip":
		for i, c := range b[:n] {
			out = append(out, c^1<<(hash(rule.salt, f.offset+uint64(i))%8))
		}
	case "duplicate":
		out = append(append(out, b[:n]...), b[:n]...)
	}
	return append(out, b[n:]...)
}

// reportOnce reports a fault of bytes the first time that it does something.
func (f *Flow) reportOnce(rule *activeRule, kind FaultKind, now time.Duration) {
	if !rule.reported {
		rule.reported = true
		f.report(rule, kind, now)
	}
}

// forward emits bytes, or holds them back to be merged.
func (f *Flow) forward(b []byte, now time.Duration, operations []Op) []Op {
	if len(b) == 0 {
		return operations
	}
	if rule, _, on := f.activeFault(Merge); on {
		f.reportOnce(rule, Merge, now)
		if len(f.merged) == 0 {
			f.mergedSince = now
		}
		if f.merged = append(f.merged, b...); len(f.merged) < maxPacket {
			return operations
		}
		return f.flush(operations, now)
	}
	return f.emit(b, now, operations)
}

// flush emits what waits to be merged.
func (f *Flow) flush(operations []Op, now time.Duration) []Op {
	merged := f.merged
	f.merged = nil
	if len(merged) == 0 {
		return operations
	}
	return f.emit(merged, now, operations)
}

// bandwidthSteps is how many packets a second a bandwidth is divided into.
const bandwidthSteps = 20

// emit appends the operations that write bytes: their times and sizes are as the rules say.
func (f *Flow) emit(b []byte, now time.Duration, operations []Op) []Op {
	at := now
	if rule, _, on := f.activeFault(Pause); on {
		f.reportOnce(rule, Pause, now)
		at = max(at, rule.until)
	}
	if rule, lat, on := f.activeFault(Latency); on {
		f.reportOnce(rule, Latency, now)
		at += lat.Delay + jitter(lat, uniform(rule.salt, f.offset), uniform(rule.salt, f.offset, 1))
	}
	size, gap := maxPacket, time.Duration(0)
	if rule, s, on := f.activeFault(Split); on {
		f.reportOnce(rule, Split, now)
		size, gap = int(min(s.Count, maxPacket)), splitInterval
	}
	if rule, d, on := f.activeFault(Drip); on {
		f.reportOnce(rule, Drip, now)
		size, gap = int(min(d.Count, uint64(size))), max(gap, d.Delay)
	}
	rate := uint64(0)
	if rule, w, on := f.activeFault(Bandwidth); on {
		f.reportOnce(rule, Bandwidth, now)
		rate = w.Count
		size = min(size, int(max(1, rate/bandwidthSteps)))
	}
	for first := true; len(b) > 0; first = false {
		n := min(len(b), size)
		at = max(at, f.lastAt)
		if gap > 0 && f.sent && (!first || at < f.lastAt+gap) {
			at = max(at, f.lastAt+gap)
		}
		if rate > 0 {
			at = max(at, f.rateFreeAt)
			f.rateFreeAt = at + time.Duration(float64(n)/float64(rate)*float64(time.Second))
		}
		operations = append(operations, Op{Kind: OpWrite, At: at, Data: b[:n:n]})
		f.lastAt, f.sent = at, true
		b = b[n:]
	}
	return operations
}

// jitter returns a random time of a distribution, from two numbers from 0 to 1. It never
// makes the latency negative.
func jitter(rule Fault, x, y float64) time.Duration {
	var j float64
	switch rule.Mode {
	case "uniform":
		j = 2*x - 1
	case "normal":
		j = math.Sqrt(-2*math.Log(max(x, 1e-12))) * math.Cos(2*math.Pi*y)
	case "exponential":
		j = -math.Log(max(x, 1e-12))
	}
	return max(-rule.Delay, time.Duration(j*float64(rule.Jitter)))
}
