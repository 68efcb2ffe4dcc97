// Package explain answers, from a decision log, why a request was routed to its endpoint or
// got the answer that it got: in words, as JSON, or as counts. Entries are chosen by number,
// by name, or by a query in S-expressions (see FilterHelp).
//
// It only reads the log, from any goroutine, and nothing that it does blocks the proxy's
// event loop.
package explain
