package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// Runs both state machines through random steps, with messages that are lost in flight when
// either process is killed. While both are connected, at most one accepts. Connections are handed
// off only at shutdown, to a successor that takes over. A process whose peer is lost accepts.
func TestOnlyOneProcessAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var predecessor PredecessorState
		var successor *SuccessorState
		var toPredecessor, toSuccessor []string
		version := ProtocolVersion // the successor's
		connected := false         // neither process has lost the connection
		cut := func() {            // ends the connection, which both processes notice later
			connected = false
			toPredecessor, toSuccessor = append(toPredecessor, "lost"), append(toSuccessor, "lost")
		}
		predecessorAlive := true
		step := 0
		shutdownStep := rapid.IntRange(0, 40).Draw(t, "shutdown step") // the earliest step with a shutdown
		checkInvariants := func() {
			if connected && predecessorAlive && successor != nil && version == ProtocolVersion && predecessor.MayAccept() && successor.MayAccept() {
				t.Fatal("both processes may accept")
			}
			if connected && predecessorAlive && predecessor.MayHandOff() && successor != nil && successor.phase != phaseTakingOver && successor.phase != phaseTakenOver {
				t.Fatal("connections may be handed off to a successor that has not taken over")
			}
			if predecessorAlive && predecessor.MayHandOff() && !predecessor.shuttingDown {
				t.Fatal("connections may be handed off by a predecessor that is not shutting down")
			}
		}
		// Each step with its precondition. Only possible steps are drawn: skipping impossible ones could exhaust
		// rapid's limit of draws, and fail the test without a fault.
		steps := []struct {
			name string
			can  func() bool // whether the step is possible
			do   func()
		}{
			{"a successor starts", func() bool { return successor == nil && predecessorAlive && len(toPredecessor) == 0 }, func() {
				successor, toSuccessor, connected = &SuccessorState{}, nil, true
				version = rapid.SampledFrom([]int{ProtocolVersion, ProtocolVersion, ProtocolVersion, ProtocolVersion - 1, ProtocolVersion + 1}).Draw(t, "version")
				toPredecessor = append(toPredecessor, "hello")
			}},
			{"the predecessor receives", func() bool { return len(toPredecessor) > 0 && predecessorAlive }, func() {
				received := toPredecessor[0]
				toPredecessor = toPredecessor[1:]
				switch received {
				case "hello":
					if predecessor.AcceptPeer(version) != (version == ProtocolVersion) {
						t.Fatalf("successor of version %d wrongly accepted or rejected", version)
					}
					if version == ProtocolVersion {
						toSuccessor = append(toSuccessor, "offer")
					} else {
						cut()
					}
				case "takeover":
					if predecessor.AcceptTakeOver() {
						toSuccessor = append(toSuccessor, "paused")
					}
				case "lost":
					before := predecessor.MayAccept()
					if resumed := predecessor.PeerLost(); resumed == before {
						t.Fatal("PeerLost wrongly reports whether to resume accepting")
					}
					if !predecessor.MayAccept() || predecessor.MayHandOff() {
						t.Fatal("after the loss of the successor, the predecessor may not accept or may hand off")
					}
				}
			}},
			{"the successor receives", func() bool { return len(toSuccessor) > 0 && successor != nil }, func() {
				received := toSuccessor[0]
				toSuccessor = toSuccessor[1:]
				switch received {
				case "offer":
					successor.OfferReceived()
				case "paused":
					successor.PredecessorPaused()
				case "lost":
					successor.PeerLost()
					if !successor.MayAccept() {
						t.Fatal("after the loss of the predecessor, the successor may not accept")
					}
				}
			}},
			{"the successor is ready", func() bool { return successor != nil && successor.phase == phaseOffered }, func() {
				if !successor.TakeOver() {
					t.Fatal("a successor with an offer cannot take over")
				}
				if connected {
					toPredecessor = append(toPredecessor, "takeover")
				}
			}},
			{"the successor times out", func() bool { return successor != nil && !successor.MayAccept() && connected }, func() {
				successor.PeerLost()
				cut()
			}},
			{"the successor is killed", func() bool { return successor != nil }, func() {
				successor, toSuccessor, connected = nil, nil, false
				if predecessorAlive {
					toPredecessor = append(toPredecessor, "lost")
				}
			}},
			{"the predecessor is ordered to shut down", func() bool { return step >= shutdownStep }, func() { predecessor.BeginShutdown() }},
			{"the predecessor is killed", func() bool { return predecessorAlive && successor != nil }, func() {
				predecessorAlive, connected = false, false
				toPredecessor, toSuccessor = nil, append(toSuccessor, "lost")
			}},
		}
		for count := rapid.IntRange(1, 60).Draw(t, "steps"); step < count; step++ {
			var possible []int
			for i, candidate := range steps {
				if candidate.can() {
					possible = append(possible, i)
				}
			}
			if len(possible) == 0 {
				return // both processes were killed
			}
			i := rapid.SampledFrom(possible).Draw(t, "step")
			t.Log(steps[i].name)
			steps[i].do()
			checkInvariants()
		}
	})
}

func TestOneSuccessorAtATime(t *testing.T) {
	var predecessor PredecessorState
	if !predecessor.AcceptPeer(ProtocolVersion) || predecessor.AcceptPeer(ProtocolVersion) || !predecessor.AcceptTakeOver() || predecessor.AcceptTakeOver() || predecessor.MayAccept() || predecessor.MayHandOff() {
		t.Errorf("a second successor or takeover is accepted, or handoffs before shutdown: %+v", predecessor)
	}
	if predecessor.BeginShutdown(); !predecessor.MayHandOff() {
		t.Error("connections may not be handed off at shutdown")
	}
	if !predecessor.PeerLost() || !predecessor.MayAccept() || predecessor.MayHandOff() || !predecessor.AcceptPeer(ProtocolVersion) {
		t.Errorf("after the loss of the successor: %+v", predecessor)
	}
}
