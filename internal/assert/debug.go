//go:build debug

package assert

// Debug reports whether violations panic in this build.
const Debug = true

func fail(invariant string) { panic("invariant violated: " + invariant) }
