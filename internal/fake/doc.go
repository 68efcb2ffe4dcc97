// Package fake plays the parties around a relay, for tests and for `lockroad demo`:
// application servers, discovery, clients and a telemetry collector, over both
// protocols, as a script says. All of them use loopback addresses.
//
// Each records all that it sees in an EventLog, which is independent of the relay's
// metrics and decision log, so that these can be checked against it.
package fake
