// Package hotrestart lets a new process of a relay, the successor, take over the
// listening sockets, the state and the established connections of the running
// one, the predecessor.
//
// PredecessorState and SuccessorState decide what each process may do, without
// I/O. Predecessor and Successor add the I/O: messages with file descriptors over
// a Unix socket, with a timeout on each wait.
//
// The steps of a takeover are:
//
//  1. The successor connects and sends a hello.
//  2. The predecessor offers its state and its listening sockets. It sends its
//     current state again whenever that changes.
//  3. The successor, once ready, announces that it takes over.
//  4. The predecessor stops accepting and confirms that, with its current state.
//  5. The successor accepts clients. The predecessor passes orders on to it with
//     Call.
//  6. When the predecessor shuts down, it hands off its established connections
//     one by one, and the successor acknowledges or declines each.
//
// The newest process that is ready owns the socket at the relay's path. A process that
// loses its successor while a newer one owns the socket makes that one its successor
// (rejoin.go), so that of three processes the oldest does not serve beside the newest.
//
// The caller must
//
//  1. accept no client and spend none of the slow-start budget while
//     PredecessorState.MayAccept or SuccessorState.MayAccept returns false;
//  2. hand off connections with Predecessor.HandOff only, and continue to serve a
//     connection for which it returns an error;
//  3. start without a predecessor if Connect returns an error.
package hotrestart
