// Package assert checks invariants at run time. Every violation is counted. Builds with the
// debug tag also panic; release builds continue.
package assert

import "sync/atomic"

var violations atomic.Int64

// That records a violation of an invariant, unless holds is true. invariant describes it in a
// few words. It is safe for concurrent use.
func That(holds bool, invariant string) {
	if !holds {
		violations.Add(1)
		fail(invariant)
	}
}

// Violations returns the number of violations since the process started.
func Violations() int64 { return violations.Load() }
