// Package healthcheck decides which endpoints of a static list are up, from probes and
// from the outcomes of the attempts that are sent to them. It is used where no discovery
// service reports that. It does no I/O. The caller of a Tracker
//
//  1. carries out the probes that Due returns, and reports the outcome of each with
//     ProbeEnded within Settings.Timeout;
//  2. reports the outcomes of attempts with AttemptEnded;
//  3. calls Changes after each of these, and updates its endpoint list accordingly.
//
// All times are readings of one monotonic clock. A Tracker is not safe for concurrent
// use.
package healthcheck
