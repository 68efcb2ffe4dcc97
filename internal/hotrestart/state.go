package hotrestart

// PredecessorState decides what the running process may do. The zero value has no
// successor. It is not safe for concurrent use.
type PredecessorState struct {
	hasPeer      bool // a successor is connected
	takenOver    bool // the successor has taken over
	shuttingDown bool // this process was ordered to shut down
}

// AcceptPeer accepts a successor that has connected, and reports whether it did:
// it accepts one at a time, and only of the same protocol version.
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

// PeerLost records that the successor has exited or cannot be reached, so that
// another one may connect. It reports whether this process has to resume accepting,
// which is the case if the successor had taken over.
func (p *PredecessorState) PeerLost() (resume bool) {
	resume = p.takenOver
	p.hasPeer, p.takenOver = false, false
	return resume
}

// BeginShutdown records that this process was ordered to shut down.
func (p *PredecessorState) BeginShutdown() { p.shuttingDown = true }

// MayAccept reports whether this process may accept clients, and spend the
// slow-start budget.
func (p *PredecessorState) MayAccept() bool { return !p.takenOver }

// MayHandOff reports whether established connections may be handed off: only at
// shutdown, so that a successor that exits before then affects no connection.
func (p *PredecessorState) MayHandOff() bool { return p.takenOver && p.shuttingDown }

// successorPhase is the progress of a takeover as the successor knows it.
type successorPhase uint8

const (
	phaseConnecting successorPhase = iota // no offer yet
	phaseOffered                          // the predecessor's offer has arrived
	phaseTakingOver                       // the predecessor is being notified of the takeover
	phaseTakenOver                        // the predecessor has confirmed that it accepts no more
	phaseAlone                            // the predecessor was lost before it confirmed
)

// SuccessorState decides what the new process may do. It is not safe for concurrent
// use.
type SuccessorState struct{ phase successorPhase }

// OfferReceived records that the predecessor's offer has arrived.
func (s *SuccessorState) OfferReceived() {
	if s.phase == phaseConnecting {
		s.phase = phaseOffered
	}
}

// TakeOver records that this process is about to notify the predecessor of the
// takeover. It returns false unless an offer has arrived and no takeover has begun.
func (s *SuccessorState) TakeOver() bool {
	if s.phase != phaseOffered {
		return false
	}
	s.phase = phaseTakingOver
	return true
}

// PredecessorPaused records that the predecessor has stopped accepting.
func (s *SuccessorState) PredecessorPaused() {
	if s.phase == phaseTakingOver {
		s.phase = phaseTakenOver
	}
}

// PeerLost records that the predecessor has exited, timed out or sent an invalid
// message. This process continues alone, with what it has received so far.
func (s *SuccessorState) PeerLost() {
	if s.phase != phaseTakenOver {
		s.phase = phaseAlone
	}
}

// MayAccept reports whether this process may accept clients, and spend the
// slow-start budget.
func (s *SuccessorState) MayAccept() bool { return s.phase == phaseTakenOver || s.phase == phaseAlone }
