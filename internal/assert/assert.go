// Package assert checks invariants. A build with the tag debug panics on a violation; a
// release build counts it and goes on.
package assert

import "sync/atomic"

var violations atomic.Int64

// That checks that an invariant holds; invariant describes it in a few words. Any
// goroutine may call it.
func That(holds bool, invariant string) {
	if !holds {
		violations.Add(1)
		fail(invariant)
	}
}

// Violations returns how many violations there were since the process began.
func Violations() int64 { return violations.Load() }
