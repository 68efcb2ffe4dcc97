//go:build !debug

package assert

// Debug reports whether violations panic in this build.
const Debug = false

func fail(string) {}
