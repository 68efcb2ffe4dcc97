//go:build !debug

package assert

// Debug reports whether this build panics on a violation.
const Debug = false

func fail(string) {}
