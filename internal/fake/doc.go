// Package fake implements the parties around a relay, for tests and for `lockroad demo`:
// application servers, discovery, clients and a telemetry collector, on loopback addresses.
// Servers and clients speak both protocols, and a script changes what they do.
//
// They record what they see in an EventLog, which is independent of the relay's metrics and
// decision log and serves to check these.
package fake
