// Package faultproxy passes connections between sockets and injects faults, as a script
// says: it delays, cuts, half-closes, garbles, splits, swallows, stalls, refuses and vanishes,
// on command or by trigger. Equal seeds, scripts and bytes give equal faults.
//
// A Flow decides what becomes of the bytes of one direction of one connection; it does
// no I/O and is given the time. A Proxy carries that out between sockets.
//
// Who embeds a Proxy (1) opens its routes before the parties connect, (2) calls Restart,
// which starts the script's clock, when the first may connect, and (3) closes it, which ends
// all connections.
package faultproxy
