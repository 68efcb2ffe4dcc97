package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// The two processes are driven by random steps, with what they say on its way between
// them and lost with either. What must hold whatever comes: while both live and hear each
// other, no more than one takes clients in; connections are given only to a new process that
// takes, by an old one that was told to leave; and whoever is left takes clients in.
func TestOnlyOneProcessAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old PredecessorState
		var fresh *SuccessorState
		var toOld, toNew []string
		format := ProtocolVersion
		hears := false  // each still hears the other
		cut := func() { // either ends the connection: the other notices in its own time
			hears = false
			toOld, toNew = append(toOld, "lost"), append(toNew, "lost")
		}
		oldLives := true
		step := 0
		leave := rapid.IntRange(0, 40).Draw(t, "leave") // no earlier step than this, lest no old one goes on for long
		rules := func() {
			if hears && oldLives && fresh != nil && format == ProtocolVersion && old.MayAccept() && fresh.MayAccept() {
				t.Fatal("both take clients in")
			}
			if hears && oldLives && old.MayHandOff() && fresh != nil && fresh.phase != taking && fresh.phase != taken {
				t.Fatal("connections are given to who does not adopt them")
			}
			if oldLives && old.MayHandOff() && !old.shuttingDown {
				t.Fatal("connections are given by who goes on")
			}
		}
		// Each step with when it can come. Only those that can are drawn: a draw among all of them, with
		// those that can't skipped, now and then finds none in the 100 draws it has, which is no finding.
		steps := []struct {
			name string
			can  func() bool
			do   func()
		}{
			{"a new process starts", func() bool { return fresh == nil && oldLives && len(toOld) == 0 }, func() {
				fresh, toNew, hears = &SuccessorState{}, nil, true
				format = rapid.SampledFrom([]int{ProtocolVersion, ProtocolVersion, ProtocolVersion, ProtocolVersion - 1, ProtocolVersion + 1}).Draw(t, "format")
				toOld = append(toOld, "hello")
			}},
			{"the old one hears", func() bool { return len(toOld) > 0 && oldLives }, func() {
				what := toOld[0]
				toOld = toOld[1:]
				switch what {
				case "hello":
					if old.AcceptPeer(format) != (format == ProtocolVersion) {
						t.Fatalf("format %d: wrongly taken", format)
					}
					if format == ProtocolVersion {
						toNew = append(toNew, "offer")
					} else {
						cut()
					}
				case "take":
					if old.TakenOver() {
						toNew = append(toNew, "go")
					}
				case "lost":
					before := old.MayAccept()
					if again := old.PeerLost(); again == before {
						t.Fatal("clients are taken in again that were, or not that were not")
					}
					if !old.MayAccept() || old.MayHandOff() {
						t.Fatal("the old process is alone and does not go on")
					}
				}
			}},
			{"the new one hears", func() bool { return len(toNew) > 0 && fresh != nil }, func() {
				what := toNew[0]
				toNew = toNew[1:]
				switch what {
				case "offer":
					fresh.Offered()
				case "go":
					fresh.PredecessorPaused()
				case "lost":
					fresh.PeerLost()
					if !fresh.MayAccept() {
						t.Fatal("the new process is alone and takes nobody in")
					}
				}
			}},
			{"the new one is ready", func() bool { return fresh != nil && fresh.phase == offered }, func() {
				if !fresh.TakeOver() {
					t.Fatal("an offered place can't be taken")
				}
				if hears {
					toOld = append(toOld, "take")
				}
			}},
			{"the new one waits too long", func() bool { return fresh != nil && !fresh.MayAccept() && hears }, func() {
				fresh.PeerLost()
				cut()
			}},
			{"the new one is killed", func() bool { return fresh != nil }, func() {
				fresh, toNew, hears = nil, nil, false
				if oldLives {
					toOld = append(toOld, "lost")
				}
			}},
			{"the old one is told to leave", func() bool { return step >= leave }, func() { old.BeginShutdown() }},
			{"the old one is killed", func() bool { return oldLives && fresh != nil }, func() {
				oldLives, hears = false, false
				toOld, toNew = nil, append(toNew, "lost")
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
			rules()
		}
	})
}

func TestOneSuccessorAtATime(t *testing.T) {
	var o PredecessorState
	if !o.AcceptPeer(ProtocolVersion) || o.AcceptPeer(ProtocolVersion) || !o.TakenOver() || o.TakenOver() || o.MayAccept() || o.MayHandOff() {
		t.Errorf("%+v", o)
	}
	if o.BeginShutdown(); !o.MayHandOff() {
		t.Error("told to leave, it gives nothing")
	}
	if !o.PeerLost() || !o.MayAccept() || o.MayHandOff() || !o.AcceptPeer(ProtocolVersion) {
		t.Errorf("alone again: %+v", o)
	}
}
