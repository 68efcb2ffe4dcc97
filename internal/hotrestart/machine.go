// Package hotrestart has a new process of a relay take over from the one that runs: its
// door, what it has learnt, and the connections that stand.
//
// What each of the two may do is decided by Old and New, which do no I/O. Host and Guest
// are the thin shells around them: a Unix socket, messages with descriptors, and bounds on
// every wait. Whoever embeds them must
//
//  1. take nobody in and spend none of the budget for cold servers while it may not (PredecessorState.MayAccept,
//     SuccessorState.MayAccept);
//  2. hand connections over only through Predecessor.HandOff, and see one that was not acknowledged to
//     its end itself;
//  3. start as if alone whenever Ask gives it nothing, for whatever reason.
package hotrestart

// ProtocolVersion is the form of the messages. A peer of another is refused, and starts alone.
const ProtocolVersion = 1

// PredecessorState decides what the process that runs may do. The zero value is one alone.
type PredecessorState struct {
	hasPeer      bool // a new process is there
	takenOver    bool // and has taken over
	shuttingDown bool // this process was told to leave
}

// AcceptPeer takes a new process that has come. It tells whether it is accepted: one at a time,
// of the same format.
func (o *PredecessorState) AcceptPeer(format int) bool {
	if o.hasPeer || format != ProtocolVersion {
		return false
	}
	o.hasPeer = true
	return true
}

// TakenOver notes that the new process has taken over. It tells whether it may.
func (o *PredecessorState) TakenOver() bool {
	if !o.hasPeer || o.takenOver {
		return false
	}
	o.takenOver = true
	return true
}

// PeerLost notes that the new process is gone, or will hear no more. It tells whether this one
// takes clients in again: all is as it was before the new one came.
func (o *PredecessorState) PeerLost() (again bool) {
	again = o.takenOver
	o.hasPeer, o.takenOver = false, false
	return again
}

// BeginShutdown notes that this process was told to leave.
func (o *PredecessorState) BeginShutdown() { o.shuttingDown = true }

// MayAccept tells whether this process takes clients in, and spends the budget for cold servers.
func (o *PredecessorState) MayAccept() bool { return !o.takenOver }

// MayHandOff tells whether connections that stand may be handed over. Not before this process
// was told to leave: if the new one ends until then, nothing has happened.
func (o *PredecessorState) MayHandOff() bool { return o.takenOver && o.shuttingDown }

// successorPhase is how far a new process has come.
type successorPhase uint8

const (
	connecting successorPhase = iota // whether there is an old one
	offered                          // it has offered its place
	taking                           // it was told that its place is taken
	taken                            // it has said go
	peerLost                         // there is nobody to take over from
)

// SuccessorState decides what the process that starts may do.
type SuccessorState struct{ phase successorPhase }

// Offered notes that the old process offers its place.
func (n *SuccessorState) Offered() {
	if n.phase == connecting {
		n.phase = offered
	}
}

// TakeOver notes that the old process is told that its place is taken. It tells whether it may be.
func (n *SuccessorState) TakeOver() bool {
	if n.phase != offered {
		return false
	}
	n.phase = taking
	return true
}

// PredecessorPaused notes that the old process takes nobody in any more.
func (n *SuccessorState) PredecessorPaused() {
	if n.phase == taking {
		n.phase = taken
	}
}

// PeerLost notes that the old process is gone, silent or strange: this one goes on alone, with
// what it has been given by then.
func (n *SuccessorState) PeerLost() {
	if n.phase != taken {
		n.phase = peerLost
	}
}

// MayAccept tells whether this process takes clients in, and spends the budget for cold servers.
func (n *SuccessorState) MayAccept() bool { return n.phase == taken || n.phase == peerLost }
