package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// The two processes are driven by random steps, with messages in flight between them that
// are lost with either. What must hold: while both live and are connected, no more than one
// accepts; connections are handed off only to a successor that takes over, by a predecessor
// that shuts down; and a process that is left alone accepts.
func TestOnlyOneProcessAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var predecessor PredecessorState
		var successor *SuccessorState
		var toPredecessor, toSuccessor []string
		format := ProtocolVersion
		connected := false // neither has noticed the loss of the other
		cut := func() {    // either ends the connection; the other notices later
			connected = false
			toPredecessor, toSuccessor = append(toPredecessor, "lost"), append(toSuccessor, "lost")
		}
		predecessorLives := true
		step := 0
		shutdownStep := rapid.IntRange(0, 40).Draw(t, "leave") // no earlier step than this, lest no predecessor lives for long
		checkInvariants := func() {
			if connected && predecessorLives && successor != nil && format == ProtocolVersion && predecessor.MayAccept() && successor.MayAccept() {
				t.Fatal("both accept")
			}
			if connected && predecessorLives && predecessor.MayHandOff() && successor != nil && successor.phase != takingOver && successor.phase != tookOver {
				t.Fatal("connections are handed off to a successor that does not adopt them")
			}
			if predecessorLives && predecessor.MayHandOff() && !predecessor.shuttingDown {
				t.Fatal("connections are handed off by a predecessor that does not shut down")
			}
		}
		// Each step with its precondition. Only steps that can happen are drawn: a draw among all of them, with
		// those that can't skipped, now and then finds none in the 100 draws it has, which is no finding.
		steps := []struct {
			name string
			can  func() bool
			do   func()
		}{
			{"a successor starts", func() bool { return successor == nil && predecessorLives && len(toPredecessor) == 0 }, func() {
				successor, toSuccessor, connected = &SuccessorState{}, nil, true
				format = rapid.SampledFrom([]int{ProtocolVersion, ProtocolVersion, ProtocolVersion, ProtocolVersion - 1, ProtocolVersion + 1}).Draw(t, "format")
				toPredecessor = append(toPredecessor, "hello")
			}},
			{"the predecessor receives", func() bool { return len(toPredecessor) > 0 && predecessorLives }, func() {
				what := toPredecessor[0]
				toPredecessor = toPredecessor[1:]
				switch what {
				case "hello":
					if predecessor.AcceptPeer(format) != (format == ProtocolVersion) {
						t.Fatalf("format %d: wrongly accepted or rejected", format)
					}
					if format == ProtocolVersion {
						toSuccessor = append(toSuccessor, "offer")
					} else {
						cut()
					}
				case "take":
					if predecessor.AcceptTakeOver() {
						toSuccessor = append(toSuccessor, "go")
					}
				case "lost":
					before := predecessor.MayAccept()
					if again := predecessor.PeerLost(); again == before {
						t.Fatal("accepting resumed though it never paused, or did not resume")
					}
					if !predecessor.MayAccept() || predecessor.MayHandOff() {
						t.Fatal("the predecessor is alone and does not resume")
					}
				}
			}},
			{"the successor receives", func() bool { return len(toSuccessor) > 0 && successor != nil }, func() {
				what := toSuccessor[0]
				toSuccessor = toSuccessor[1:]
				switch what {
				case "offer":
					successor.OfferReceived()
				case "go":
					successor.PredecessorPaused()
				case "lost":
					successor.PeerLost()
					if !successor.MayAccept() {
						t.Fatal("the successor is alone and does not accept")
					}
				}
			}},
			{"the successor is ready", func() bool { return successor != nil && successor.phase == offered }, func() {
				if !successor.TakeOver() {
					t.Fatal("an offered place can not be taken over")
				}
				if connected {
					toPredecessor = append(toPredecessor, "take")
				}
			}},
			{"the successor times out", func() bool { return successor != nil && !successor.MayAccept() && connected }, func() {
				successor.PeerLost()
				cut()
			}},
			{"the successor is killed", func() bool { return successor != nil }, func() {
				successor, toSuccessor, connected = nil, nil, false
				if predecessorLives {
					toPredecessor = append(toPredecessor, "lost")
				}
			}},
			{"the predecessor is ordered to shut down", func() bool { return step >= shutdownStep }, func() { predecessor.BeginShutdown() }},
			{"the predecessor is killed", func() bool { return predecessorLives && successor != nil }, func() {
				predecessorLives, connected = false, false
				toPredecessor, toSuccessor = nil, append(toSuccessor, "lost")
			}},
		}
		for n := rapid.IntRange(1, 60).Draw(t, "steps"); step < n; step++ {
			var can []int
			for i, s := range steps {
				if s.can() {
					can = append(can, i)
				}
			}
			if len(can) == 0 {
				return // both were killed
			}
			i := rapid.SampledFrom(can).Draw(t, "step")
			t.Log(steps[i].name)
			steps[i].do()
			checkInvariants()
		}
	})
}

func TestOneSuccessorAtATime(t *testing.T) {
	var predecessor PredecessorState
	if !predecessor.AcceptPeer(ProtocolVersion) || predecessor.AcceptPeer(ProtocolVersion) || !predecessor.AcceptTakeOver() || predecessor.AcceptTakeOver() || predecessor.MayAccept() || predecessor.MayHandOff() {
		t.Errorf("%+v", predecessor)
	}
	if predecessor.BeginShutdown(); !predecessor.MayHandOff() {
		t.Error("at shutdown, nothing is handed off")
	}
	if !predecessor.PeerLost() || !predecessor.MayAccept() || predecessor.MayHandOff() || !predecessor.AcceptPeer(ProtocolVersion) {
		t.Errorf("alone again: %+v", predecessor)
	}
}
