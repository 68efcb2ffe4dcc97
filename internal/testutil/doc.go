// Package testutil holds what tests of several packages need: random choices from the bytes
// of a fuzzer (Source), waiting (Until, Unread), certificates (Authority), and checks of
// encodings that are stored or sent (Golden, GoldenJSON, Complete, Tagged).
//
// Its golden files hold the bytes of encodings of Go values, which must also decode to equal
// values; internal/golden compares texts that people and other programs read.
package testutil
