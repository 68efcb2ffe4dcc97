//go:build !debug

package assert

// Debug tells whether this build panics on a broken invariant.
const Debug = false

func fail(string) {}
