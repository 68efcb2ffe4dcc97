// Package testutil has helpers for tests of several packages: choices from the bytes of a
// fuzzer (Source), waiting (Until, AwaitUnread), certificates (Authority), and checks of
// encodings that are stored or sent (Golden, GoldenJSON, RequireComplete, RequireTags).
//
// Its golden files hold encoded Go values. Package internal/golden compares texts that users
// and other programs read.
package testutil
