// Package assert checks what must hold. A build with the tag debug panics on
// what does not; a release build counts it and goes on.
package assert

import "sync/atomic"

var broken atomic.Int64

// That checks that ok holds; what says in a few words what must hold.
func That(ok bool, what string) {
	if !ok {
		broken.Add(1)
		fail(what)
	}
}

// Broken counts what did not hold since the start.
func Broken() int64 { return broken.Load() }
