package hotrestart

// PredecessorState decides what the process that runs may do. The zero value is
// one without a successor. It is not safe for concurrent use.
type PredecessorState struct {
	hasPeer      bool // a successor is connected
	takenOver    bool // and has taken over
	shuttingDown bool // this process was ordered to shut down
}

// AcceptPeer notes a successor that has connected. It reports whether it is
// accepted: one at a time, of the same protocol version.
func (p *PredecessorState) AcceptPeer(version int) bool {
	if p.hasPeer || version != ProtocolVersion {
		return false
	}
	p.hasPeer = true
	return true
}

// AcceptTakeOver records that the connected successor takes over. It returns false
// without a successor, or if one has taken over already.
func (p *PredecessorState) AcceptTakeOver() bool {
	if !p.hasPeer || p.takenOver {
		return false
	}
	p.takenOver = true
	return true
}

// PeerLost notes that the successor is gone, or can't be reached any more. It
// reports whether this process resumes accepting: all is as it was before the
// successor came.
func (p *PredecessorState) PeerLost() (resume bool) {
	resume = p.takenOver
	p.hasPeer, p.takenOver = false, false
	return resume
}

// BeginShutdown notes that this process was ordered to shut down.
func (p *PredecessorState) BeginShutdown() { p.shuttingDown = true }

// MayAccept reports whether this process may accept clients, and spend the
// slow-start budget.
func (p *PredecessorState) MayAccept() bool { return !p.takenOver }

// MayHandOff reports whether established connections may be handed off. They
// may not before this process shuts down: if the successor ends until then,
// nothing has happened.
func (p *PredecessorState) MayHandOff() bool { return p.takenOver && p.shuttingDown }

// successorPhase is how far a successor has come.
type successorPhase uint8

const (
	connecting successorPhase = iota // no offer yet
	offered                          // the predecessor has offered its place
	takingOver                       // the predecessor was notified that its place is taken
	tookOver                         // the predecessor has paused
	alone                            // there is no predecessor to take over from
)

// SuccessorState decides what the process that starts may do. It is not safe for
// concurrent use.
type SuccessorState struct{ phase successorPhase }

// OfferReceived records that the predecessor's offer has arrived.
func (s *SuccessorState) OfferReceived() {
	if s.phase == connecting {
		s.phase = offered
	}
}

// TakeOver notes that the predecessor is about to be notified that its place is
// taken. It reports whether it may be.
func (s *SuccessorState) TakeOver() bool {
	if s.phase != offered {
		return false
	}
	s.phase = takingOver
	return true
}

// PredecessorPaused notes that the predecessor accepts no more.
func (s *SuccessorState) PredecessorPaused() {
	if s.phase == takingOver {
		s.phase = tookOver
	}
}

// PeerLost notes that the predecessor is gone, silent or not understood: this
// process continues alone, with what it has received by then.
func (s *SuccessorState) PeerLost() {
	if s.phase != tookOver {
		s.phase = alone
	}
}

// MayAccept reports whether this process may accept clients, and spend the
// slow-start budget.
func (s *SuccessorState) MayAccept() bool { return s.phase == tookOver || s.phase == alone }
