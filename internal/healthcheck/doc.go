// Package healthcheck decides which endpoints of a list are up, where no discovery
// does: by probes within a budget, and by the outcomes of the attempts that are sent to
// them. It does no I/O. Whoever embeds it
//
//  1. carries out the probes that Due names, and reports each one's outcome with
//     ProbeEnded, within Settings.Timeout;
//  2. reports the outcomes of attempts with AttemptEnded;
//  3. takes Changes after each of these, and lists endpoints by them.
//
// All times are on one clock that never goes back. A Tracker is not safe for concurrent
// use: its owner serializes all calls.
package healthcheck
