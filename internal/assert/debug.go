//go:build debug

package assert

// Debug tells whether this build panics on a broken invariant.
const Debug = true

func fail(what string) { panic("must hold: " + what) }
