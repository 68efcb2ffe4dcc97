// Package hotrestart lets a new process of a relay, the successor, take over
// from the one that runs, the predecessor: its listening sockets, its state, and
// its established connections.
//
// What each of the two may do is decided by PredecessorState and SuccessorState,
// which do no I/O. Predecessor and Successor are thin shells around them: a Unix
// socket, messages with descriptors, and a bound on every wait.
//
// The steps are: the successor connects and says hello; the predecessor offers
// its state and its listening sockets; the successor, once ready, says that it
// takes over; the predecessor stops accepting and says so; the successor
// accepts. When the predecessor shuts down, it hands off its established
// connections one by one, and each is acknowledged or declined.
//
// Whoever embeds them must
//
//  1. accept no client and spend none of the slow-start budget while it may not
//     (PredecessorState.MayAccept, SuccessorState.MayAccept);
//  2. hand connections off only through Predecessor.HandOff, and serve one that
//     was not acknowledged to its end itself;
//  3. start as if alone whenever Connect returns an error, whatever it is.
package hotrestart
