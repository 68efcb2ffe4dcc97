// Package explain explains, from the entries of a decision log, why requests were routed or
// answered as they were: as text, as JSON, or as counts. Entries are selected by number, by
// name, or by a query in S-expressions (see FilterHelp).
//
// It only reads the log, may be used from any goroutine, and never blocks the proxy's event
// loop.
package explain
