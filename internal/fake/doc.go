// Package fake implements the parties around a relay, for tests and for `lockroad demo`:
// application servers, discovery, clients and a telemetry collector, on loopback addresses.
// Servers and clients speak both protocols, and a script changes what they do.
//
// They record the events that they observe in an EventLog. It is independent of the relay's metrics
// and decision log, so tests compare these with it.
package fake
