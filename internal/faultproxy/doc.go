// Package faultproxy is a TCP proxy that injects the faults of a script: it delays, cuts,
// half-closes, corrupts, splits, drops, stalls and refuses, on triggers or commands. Equal
// seeds, scripts and input give equal faults.
//
// A Flow applies the rules to the bytes of one direction of one connection; it does no I/O
// and gets the time as an argument. A Proxy performs the flows' operations between sockets.
//
// To embed a Proxy, (1) call OpenRoute for each route before anything connects, (2) call
// ResetClock, which starts the script's clock, when the first connection may arrive, and
// (3) call Close, which ends all connections.
package faultproxy
