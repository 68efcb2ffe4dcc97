//go:build debug

package assert

// Debug reports whether this build panics on a violation.
const Debug = true

func fail(invariant string) { panic("must hold: " + invariant) }
